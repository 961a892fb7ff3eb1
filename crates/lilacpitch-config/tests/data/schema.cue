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

// The fleet, as edges and processes of sites share it.

// A site, as one process reaches it.
#SiteAt: {
	name: #Name
	// The site above; one site, the root, has none.
	parent: *"" | #Name
	// Its processes: one, or three that outlive the loss of one.
	processes: [#Address, ...#Address]
}

// What the whole fleet agrees on: the same in all settings.
#Terms: {
	// What is cached may be used for so long without hearing more.
	lease: *"3s" | #Span
	// Clocks run at most so much faster or slower than true time, as a share.
	clock_allowance: *0.01 | number & >=0 & <=0.2
	// Who has not applied an order for so long gets no further lease.
	straggler: *"3s" | #Span
	// A row is found by every locate that begins so long after it was acknowledged: an older summary rules nothing out.
	settle: *"2s" | #Span
	// Summaries are asked for this far apart.
	poll: *"200ms" | #Span
	// Wanted time of an answer of one process.
	ask: *"100ms" | #Span
	// The rows of a front that has no lease any more are kept for so long.
	rows_kept: *"30s" | #Span
}

// A front's side.
#FleetOf: {
	// The site that this front writes to and hears purges from.
	home: #Name
	sites: [#SiteAt, ...#SiteAt]
	// The pool through which callers of this front are reached, as rows name it.
	pool: #Name
	// One or two keys, as those of peers.
	key_file: string & !=""
	// A call waits for a locate no longer than this share of its budget, and never longer than this.
	locate_share:   *0.1 | number & >0 & <=0.5
	locate_longest: *"150ms" | #Span
	// Numbers whose answers are kept, and questions under way at once.
	cache:     *100000 | int & >=1 & <=10000000
	questions: *4096 | int & >=1 & <=1000000
	threads:   *2 | int & >=1 & <=64
	terms: #Terms
}

// Settings of lilacpitch-site.
#Site: {
	// The process's own name, and its site and place there, from 0.
	name:  #Name
	site:  #Name
	place: int & >=0 & <=63
	// Where links come in, and where GET /metrics, /audit, /purges and /locate are answered.
	listen: #Address
	pages?: #Address
	// Its folder, of no other process.
	data: string & !=""
	sites: [#SiteAt, ...#SiteAt]
	key_file: string & !=""
	// Shards of the register.
	shards:  *64 | int & >=1 & <=65536
	threads: *2 | int & >=1 & <=64
	// Questions worked on at once; more are told 'full'.
	questions: *1024 | int & >=1 & <=1000000
	terms: #Terms
	log: #Log
}
