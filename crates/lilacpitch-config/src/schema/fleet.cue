
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
