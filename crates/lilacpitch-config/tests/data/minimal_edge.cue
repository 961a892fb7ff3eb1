// Every optional record is given, with no more than it needs.
name:      "front-1"
listen:    "127.0.0.1:7000"
metrics:   "127.0.0.1:7001"
pool_list: "pools.cue"
classes: [{name: "plain", aim: "2s", give_up: "9s", worth: 1}]
peers: {listen: "127.0.0.1:7002", reached_at: "127.0.0.1:7003", key_file: "peers.key"}
fleet: {
	home: "root"
	sites: [{name: "root", processes: ["127.0.0.1:7100"]}]
	pool:     "west"
	key_file: "fleet.key"
}
