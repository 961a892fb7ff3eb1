// One call in ten meets a fault wherever it goes.
length: "45s"
edges: 1
per_s: 100
classes: [
	{name: "one", aim: "1.5s", give_up: "3s", worth: 1, late_worth: 0.5, share: 0.8, hold: "5s", retries: 0, try_share: 1},
	{name: "dear", aim: "1.5s", give_up: "3s", worth: 3, late_worth: 0.5, share: 0.2, hold: "5s", retries: 0, try_share: 1},
]
servers: [
	{name: "r0", pool: "p0", per_s: 1000},
	{name: "r1", pool: "p1", per_s: 1000},
]
troubles: [
	{kind: "fault_share", at: "15s", for: "30s", size: 0.1, by: "call"},
]
