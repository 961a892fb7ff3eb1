// Settings of lilacpitch. Spans are a number and a unit: ns, us, ms, s, m or h.

#Span: =~"^[0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h)$"
// A name in messages: visible ASCII, without the slash that joins names to labels.
#Name: =~"^[!-.0-~]{1,64}$"
#Address: =~"^[0-9A-Za-z.:\\[\\]-]+:([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])$"

// A class of calls.
#Class: {
	name: #Name
	// The wanted set-up time.
	aim: #Span
	// How long a caller goes on trying, from its first try.
	give_up: #Span
	// What a call that stands in time is worth, and the share of it that is left when it stands later.
	worth:      number & >0
	late_worth: *0 | number & >=0 & <=1
	// The pools that can take it, by name; empty: any.
	pools: *[] | [...#Name]
}

#Edge: {
	// The name under which servers and logs know this front.
	name: #Name

	// Where callers reach it, and where GET /metrics is answered.
	listen:   #Address
	metrics?: #Address

	// The pool list: a file in this form, looked at again every so often.
	pool_list: string & !=""
	look_at_pool_list_every: *"100ms" | #Span

	// Pools that callers may name though no server of theirs is listed, as when all are gone at the front's start.
	pools: *[] | [...#Name]

	// Other fronts of the installation: left out, this front knows of none.
	peers?: #PeersOf

	// The fleet's register: left out, this front opens no socket and starts no thread for it.
	fleet?: #FleetOf

	classes: [#Class, ...#Class]

	rules: {
		// No new send of a call within this span after a time-out, reset or cancel.
		release: *"300ms" | #Span
		// Nothing new to a server later than this after it was told draining or gone.
		drain_grace: *"500ms" | #Span
		// A server starts with at least this share of its capacity, is warm within the span, and falls over
		// when sent more than so many times what it can do at its age.
		cold_from:    *0.3 | number & >0 & <=1
		cold_span:    *"14s" | #Span
		tip_multiple: *3.0 | number & >=1
		// Attempts for one call.
		max_attempts: *6 | int & >=1 & <=100
	}

	timing: {
		// A set-up unanswered for this span is sent again, then at doubling gaps.
		resend: *"400ms" | #Span
		// A connection to a server not made within this span counts as no route.
		connect: *"500ms" | #Span
		// The gaps between tries to reach a server grow from the first to the longest.
		reconnect_first:   *"100ms" | #Span
		reconnect_longest: *"5s" | #Span
		// The longest wait that a refused caller is told; 0s: none is told.
		come_back_longest: *"2s" | #Span
		// A caller not heard for this span is asked for a sign; not heard for as long again, it is cut off.
		quiet: *"30s" | #Span
		// After being told to stop: how long calls that stand may go on.
		stop: *"10s" | #Span
		// The clock's grain.
		tick: *"5ms" | #Span
	}

	limits: {
		callers:          *1000 | int & >=1 & <=100000
		calls:            *20000 | int & >=1 & <=1000000
		calls_per_caller: *2000 | int & >=1 & <=1000000
		// Messages that may wait for a caller or a server to read them.
		queue: *1024 | int & >=8 & <=65536
	}

	log: #Log
}

#Log: {
	level:  *"info" | "error" | "warn" | "debug" | "trace"
	format: *"text" | "json"
}

#PeersOf: {
	// Where their datagrams come in, and where some of them may be found at the start.
	listen: #Address
	seeds: *[] | [...#Address]
	// Where the others reach it, if that is another address than the one it listens at.
	reached_at?: #Address
	// A file with one or two keys, each 64 hex digits on a line: the first seals, both open.
	key_file: string & !=""
	// About how many fronts there are.
	fronts: *16 | int & >=2 & <=1000
}

// The pool list.
#Server: {
	// Its name, never given to another machine.
	name: #Name
	pool: #Name
	zone: *"" | string
	address: #Address
	state: *"running" | "draining" | "gone"
	// When it last started, in milliseconds since 1970; 0: long ago.
	started_ms: *0 | int & >=0
}

#Pools: servers: [...#Server]
