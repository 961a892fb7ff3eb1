// Fronts that start anew while one server is slow and two were just replaced and are cold, each with few calls of
// its own.
length: "110s"
edges: 60
per_s: 30
peers: true
classes: [
	{name: "day-plan", aim: "2s", give_up: "9s", worth: 1, late_worth: 0.25, share: 0.78, hold: "8s", retries: 0},
	{name: "reroute", aim: "1.2s", give_up: "9s", worth: 3, late_worth: 0.25, share: 0.22, hold: "12s", retries: 0},
]
servers: [
	{name: "r1", pool: "a", per_s: 24},
	{name: "r2", pool: "b", per_s: 24},
	{name: "r3", pool: "c", per_s: 24},
	{name: "r4", pool: "d", per_s: 24},
]
troubles: [
	{kind: "slow", at: "10s", for: "95s", size: 6, servers: ["r1"]},
	{kind: "replace", at: "35s", for: "5s", servers: ["r2", "r3"]},
	{kind: "restart", at: "40s", for: "2s", edges: [7, 11, 15, 19, 23, 27, 31, 35, 39, 43, 47, 51, 55]},
]
