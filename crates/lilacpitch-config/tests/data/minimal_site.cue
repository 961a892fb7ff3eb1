name:     "root-0"
site:     "root"
place:    0
listen:   "127.0.0.1:7100"
pages:    "127.0.0.1:7101"
data:     "data"
key_file: "fleet.key"
sites: [{name: "root", processes: ["127.0.0.1:7100"]}]
