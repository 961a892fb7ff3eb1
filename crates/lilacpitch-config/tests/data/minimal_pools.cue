servers: [
	{name: "s0", pool: "west", address: "127.0.0.1:7200"},
	{name: "s1", pool: "west", address: "127.0.0.1:7201", state: "draining"},
	{name: "s2", pool: "west", address: "127.0.0.1:7202", state: "gone", zone: "z", started_ms: 5},
]
