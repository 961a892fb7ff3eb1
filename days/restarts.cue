// Fronts that know each other are killed and start anew, one after another and two at once, while datagrams between
// them are damaged and lost, a server goes silent and comes back cold, and another drains.
length: "30s"
edges: 6
per_s: 90
peers: true
peer_loss: 10
classes: [
	{name: "urgent", aim: "1.2s", give_up: "5s", worth: 3, share: 0.2, hold: "6s"},
	{name: "plain", aim: "2s", give_up: "9s", worth: 1, share: 0.8, hold: "4s"},
]
servers: [
	{name: "r1", pool: "a", per_s: 40},
	{name: "r2", pool: "a", per_s: 40},
	{name: "r3", pool: "b", per_s: 40},
	{name: "r4", pool: "b", per_s: 40},
]
troubles: [
	{kind: "restart", at: "4s", for: "2s", edges: [0]},
	{kind: "silent", at: "6s", for: "6s", servers: ["r2"]},
	{kind: "restart", at: "8s", for: "1s", edges: [1, 2]},
	{kind: "peers_damaged", at: "5s", for: "15s", size: 0.3},
	{kind: "peers_lost", at: "14s", for: "4s"},
	{kind: "restart", at: "15s", for: "1s", edges: [3]},
	{kind: "drain", at: "18s", for: "6s", servers: ["r3"]},
	{kind: "restart", at: "19s", for: "500ms", edges: [4, 5]},
]
