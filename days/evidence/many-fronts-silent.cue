// A hundred and twenty fronts, one of eleven servers silent for 12 s, half load.
length: "40s"
edges: 120
per_s: 44
classes: [
	{name: "one", aim: "1.5s", give_up: "3s", worth: 1, late_worth: 0.5, share: 0.8, hold: "5s", retries: 2, try_share: 1},
	{name: "dear", aim: "1.5s", give_up: "3s", worth: 3, late_worth: 0.5, share: 0.2, hold: "5s", retries: 2, try_share: 1},
]
servers: [
	{name: "r0", pool: "p0", per_s: 8},
	{name: "r1", pool: "p1", per_s: 8},
	{name: "r2", pool: "p2", per_s: 8},
	{name: "r3", pool: "p3", per_s: 8},
	{name: "r4", pool: "p4", per_s: 8},
	{name: "r5", pool: "p5", per_s: 8},
	{name: "r6", pool: "p6", per_s: 8},
	{name: "r7", pool: "p7", per_s: 8},
	{name: "r8", pool: "p8", per_s: 8},
	{name: "r9", pool: "p9", per_s: 8},
	{name: "r10", pool: "p10", per_s: 8},
]
troubles: [
	{kind: "silent", at: "10s", for: "12s", servers: ["r4"]},
]
