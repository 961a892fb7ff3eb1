seed: 7
length: "2m"
edges: 2
callers_per_edge: 5
per_s: 120.5
uneven: 0.5
classes: [
	{name: "plain", aim: "1500ms", give_up: "6s", worth: 1, late_worth: 0.25, share: 3, hold: "4.5s", retries: 1, try_share: 0.5, backoff: "250ms"},
	{name: "urgent", aim: "1s", give_up: "9s", worth: 3},
]
servers: [
	{name: "a", pool: "north", per_s: 80, circuits: 400, full_after: "1.5s"},
	{name: "b", pool: "south", per_s: 60},
]
rules: {release: "200ms", drain_grace: "400ms", cold_from: 0.4, cold_span: "9s", tip_multiple: 2.5, tip_span: "2s", tip_chance: true}
resend: "300ms"
peers: true
peer_loss: 10
troubles: [
	{kind: "slow", at: "1s", for: "2s", size: 0.5, servers: ["a"], edges: [0], wait: "100ms", by: "setup", first: 0},
	{kind: "silent", at: "2s", for: "3s", size: 0.5, servers: ["b"], edges: [1], wait: "101ms", by: "call", first: 1},
	{kind: "still", at: "3s", for: "4s", size: 0.5, servers: ["a"], edges: [0], wait: "102ms", by: "number", first: 2},
	{kind: "drain", at: "4s", for: "5s", size: 0.5, servers: ["b"], edges: [1], wait: "103ms", by: "setup", first: 3},
	{kind: "replace", at: "5s", for: "6s", size: 0.5, servers: ["a"], edges: [0], wait: "104ms", by: "call", first: 4},
	{kind: "jump", at: "6s", for: "7s", size: 0.5, servers: ["b"], edges: [1], wait: "105ms", by: "number", first: 5},
	{kind: "answers_lost", at: "7s", for: "8s", size: 0.5, servers: ["a"], edges: [0], wait: "106ms", by: "setup", first: 6},
	{kind: "full_share", at: "8s", for: "9s", size: 0.5, servers: ["b"], edges: [1], wait: "107ms", by: "call", first: 7},
	{kind: "no_circuit_share", at: "9s", for: "10s", size: 0.5, servers: ["a"], edges: [0], wait: "108ms", by: "number", first: 8},
	{kind: "unanswered_share", at: "10s", for: "11s", size: 0.5, servers: ["b"], edges: [1], wait: "109ms", by: "setup", first: 9},
	{kind: "fault_share", at: "11s", for: "12s", size: 0.5, servers: ["a"], edges: [0], wait: "110ms", by: "call", first: 10},
	{kind: "busy_share", at: "12s", for: "13s", size: 0.5, servers: ["b"], edges: [1], wait: "111ms", by: "number", first: 11},
	{kind: "flap", at: "13s", for: "14s", size: 0.5, servers: ["a"], edges: [0], wait: "112ms", by: "setup", first: 12},
	{kind: "reset", at: "14s", for: "15s", size: 0.5, servers: ["b"], edges: [1], wait: "113ms", by: "call", first: 13},
	{kind: "freeze", at: "15s", for: "16s", size: 0.5, servers: ["a"], edges: [0], wait: "114ms", by: "number", first: 14},
	{kind: "callers_leave", at: "16s", for: "17s", size: 0.5, servers: ["b"], edges: [1], wait: "115ms", by: "setup", first: 15},
	{kind: "restart", at: "17s", for: "18s", size: 0.5, servers: ["a"], edges: [0], wait: "116ms", by: "call", first: 16},
	{kind: "peers_lost", at: "18s", for: "19s", size: 0.5, servers: ["b"], edges: [1], wait: "117ms", by: "number", first: 17},
	{kind: "peers_damaged", at: "19s", for: "20s", size: 0.5, servers: ["a"], edges: [0], wait: "118ms", by: "setup", first: 18},
	{kind: "peers_confused", at: "20s", for: "21s", size: 0.5, servers: ["b"], edges: [1], wait: "119ms", by: "call", first: 19},
	{kind: "list_late", at: "21s", for: "22s", size: 0.5, servers: ["a"], edges: [0], wait: "120ms", by: "number", first: 20},
]
