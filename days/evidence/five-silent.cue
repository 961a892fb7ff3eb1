// A hundred and twenty fronts with many calls, five of eleven servers silent, load 0.8.
length: "40s"
edges: 120
per_s: 704
classes: [
	{name: "one", aim: "1.5s", give_up: "3s", worth: 1, late_worth: 0.5, share: 0.8, hold: "5s", retries: 0, try_share: 1},
	{name: "dear", aim: "1.5s", give_up: "3s", worth: 3, late_worth: 0.5, share: 0.2, hold: "5s", retries: 0, try_share: 1},
]
servers: [
	{name: "r0", pool: "p0", per_s: 80},
	{name: "r1", pool: "p1", per_s: 80},
	{name: "r2", pool: "p2", per_s: 80},
	{name: "r3", pool: "p3", per_s: 80},
	{name: "r4", pool: "p4", per_s: 80},
	{name: "r5", pool: "p5", per_s: 80},
	{name: "r6", pool: "p6", per_s: 80},
	{name: "r7", pool: "p7", per_s: 80},
	{name: "r8", pool: "p8", per_s: 80},
	{name: "r9", pool: "p9", per_s: 80},
	{name: "r10", pool: "p10", per_s: 80},
]
troubles: [
	{kind: "silent", at: "10s", for: "12s", servers: ["r1", "r3", "r5", "r7", "r9"]},
]
