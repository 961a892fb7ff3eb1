length: "30s"
per_s:  50
classes: [{name: "plain", aim: "1500ms", give_up: "6s", worth: 1}]
servers: [{name: "a", pool: "north", per_s: 80}]
troubles: [{kind: "slow", at: "10s"}]
