// A server that goes silent for three seconds in every six.
length: "45s"
edges: 3
per_s: 60
classes: [
	{name: "one", aim: "1.5s", give_up: "3s", worth: 1, late_worth: 0.5, share: 0.8, hold: "5s", retries: 0, try_share: 1},
	{name: "dear", aim: "1.5s", give_up: "3s", worth: 3, late_worth: 0.5, share: 0.2, hold: "5s", retries: 0, try_share: 1},
]
servers: [
	{name: "r0", pool: "p0", per_s: 30},
	{name: "r1", pool: "p1", per_s: 30},
	{name: "r2", pool: "p2", per_s: 30},
	{name: "r3", pool: "p3", per_s: 30},
]
troubles: [
	{kind: "flap", at: "8s", for: "24s", wait: "6s", servers: ["r1"]},
]
