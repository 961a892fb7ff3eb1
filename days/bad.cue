// A bad day: troubles that overlap. A slow server, one silent and back cold, a replacement, a jump in calls,
// answers lost, connections reset, a front that stands still, callers that leave.
length: "45s"
edges: 3
per_s: 90
classes: [
	{name: "day-plan", aim: "2s", give_up: "9s", worth: 1, late_worth: 0.25, share: 0.78, hold: "8s"},
	{name: "reroute", aim: "1.2s", give_up: "9s", worth: 3, late_worth: 0.25, share: 0.22, hold: "12s"},
]
servers: [
	{name: "r1", pool: "mobile", per_s: 40},
	{name: "r2", pool: "mobile", per_s: 40},
	{name: "r3", pool: "home", per_s: 40},
	{name: "r4", pool: "home", per_s: 40},
]
troubles: [
	{kind: "slow", at: "5s", for: "12s", size: 3, servers: ["r1"]},
	{kind: "silent", at: "9s", for: "9s", servers: ["r2"]},
	{kind: "jump", at: "12s", for: "6s", size: 1.6},
	{kind: "answers_lost", at: "16s", for: "8s", size: 0.3, servers: ["r3"]},
	{kind: "replace", at: "20s", for: "8s", servers: ["r4"]},
	{kind: "reset", at: "23s", servers: ["r1", "r3"]},
	{kind: "freeze", at: "27s", for: "2s", edges: [1]},
	{kind: "callers_leave", at: "31s", edges: [0]},
	{kind: "still", at: "33s", for: "6s", size: 400},
	{kind: "silent", at: "36s", for: "2s", servers: ["r3"]},
]
