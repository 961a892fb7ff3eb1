// A hundred and twenty fronts offered a fifth more than eleven servers can do, from the first second on. Three fronts
// hold the load off and keep the servers at work; many fronts, each with a call every 1.1 s, must do so together.
length: "40s"
edges: 120
per_s: 105.6
peers: true
classes: [
	{name: "a", aim: "2s", give_up: "9s", worth: 1, share: 0.8, hold: "4s"},
	{name: "b", aim: "1.2s", give_up: "5s", worth: 3, share: 0.2, hold: "6s"},
]
servers: [
	{name: "r0", pool: "p0", per_s: 8},
	{name: "r1", pool: "p0", per_s: 8},
	{name: "r2", pool: "p1", per_s: 8},
	{name: "r3", pool: "p1", per_s: 8},
	{name: "r4", pool: "p2", per_s: 8},
	{name: "r5", pool: "p2", per_s: 8},
	{name: "r6", pool: "p3", per_s: 8},
	{name: "r7", pool: "p3", per_s: 8},
	{name: "r8", pool: "p4", per_s: 8},
	{name: "r9", pool: "p4", per_s: 8},
	{name: "r10", pool: "p5", per_s: 8},
]
troubles: [
	{kind: "jump", at: "0s", for: "100ms", size: 1},
]
