// A day of the laboratory. Spans are a number and a unit: ms, s, m.

#Span: =~"^[0-9]+(\\.[0-9]+)?(ms|s|m)$"
#Name: =~"^[!-.0-~]{1,40}$"

#Day: {
	seed: *1 | int & >=0
	// Calls come for this span; then what is under way ends.
	length: #Span
	// Fronts, each a process, and sockets of callers at each.
	edges:            *3 | int & >=1 & <=300
	callers_per_edge: *4 | int & >=1 & <=1000
	// Calls a second at all fronts together.
	per_s: number & >0 & <=100000
	// The n-th front gets a share of them by 1 over n to this power.
	uneven: *0 | number & >=0 & <=3
	classes: [#Class, ...#Class]
	servers: [#Server, ...#Server]
	troubles: *[] | [...#Trouble]
	rules: {
		release:      *"300ms" | #Span
		drain_grace:  *"500ms" | #Span
		cold_from:    *0.3 | number & >0 & <=1
		cold_span:    *"14s" | #Span
		tip_multiple: *3.0 | number & >=1
		tip_span:     *"1s" | #Span
		// Whether a cold server bears 2 roots of N, and 2, more than the N set-ups that this allows it, for chance.
		tip_chance:   *false | bool
	}
	resend: *"400ms" | #Span
	// Whether fronts know each other, and how many of a hundred of their datagrams are lost.
	peers:     *false | bool
	peer_loss: *0 | int & >=0 & <=100
}

#Class: {
	name:       #Name
	aim:        #Span
	give_up:    #Span
	worth:      number & >0
	late_worth: *0 | number & >=0 & <=1
	// Its share of the calls, how long they last on average, and how their callers dial again.
	share:     *1 | number & >0
	hold:      *"8s" | #Span
	retries:   *2 | int & >=0 & <=10
	try_share: *0.35 | number & >0 & <=1
	backoff:   *"500ms" | #Span
}

#Server: {
	name: #Name
	pool: #Name
	// Calls a second that it can do when warm.
	per_s:      number & >0
	circuits:   *100000 | int & >=1
	full_after: *"2.5s" | #Span
}

// What goes wrong, from when, for how long, where (no names: everywhere), and how badly.
#Trouble: {
	kind:  "slow" | "silent" | "still" | "drain" | "replace" | "jump" | "answers_lost" | "full_share" | "no_circuit_share" | "unanswered_share" | "fault_share" | "busy_share" | "flap" | "reset" | "freeze" | "callers_leave" | "restart" | "peers_lost" | "peers_damaged" | "peers_confused" | "list_late"
	at:    #Span
	for:   *"0s" | #Span
	size:  *1 | number & >=0
	servers: *[] | [...#Name]
	edges:   *[] | [...int]
	// Of the shares: the wait told with 'full', what decides which set-ups are met, and how many at most (0: all).
	// Of a flap: how often. Of a late list: how late.
	wait:  *"50ms" | #Span
	by:    *"setup" | "call" | "number"
	first: *0 | int & >=0
}
