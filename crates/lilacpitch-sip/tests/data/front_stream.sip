SIP/2.0 200 OK
Via: SIP/2.0/TCP one
Via: SIP/2.0/TCP two
From: <sip:a@net>;tag=1
To: <sip:15550001@net>
Call-ID: 00000000000000a1
CSeq: 1 INVITE
Content-Length: 19

c=IN IP4 10.0.0.9
SIP/2.0 503 Service Unavailable
Via: SIP/2.0/TCP one
Via: SIP/2.0/TCP two
From: <sip:a@net>;tag=1
To: <sip:15550001@net>
Call-ID: 00000000000000a1
CSeq: 1 INVITE
Retry-After: 2
Content-Length: 0

SIP/2.0 400 Bad Call-ID
Via: SIP/2.0/TCP one
Via: SIP/2.0/TCP two
From: <sip:a@net>;tag=1
To: <sip:15550001@net>
Call-ID: 00000000000000a1
CSeq: 1 INVITE
Content-Length: 0

SIP/2.0 200 OK
Via: three
Call-ID: 00000000000000a2
CSeq: 2 BYE
Content-Length: 0

SIP/2.0 405 Method Not Allowed
CSeq: 
Content-Length: 0

BYE sip:call@net SIP/2.0
Via: SIP/2.0/TCP front
Call-ID: 00000000000000a1
CSeq: 2 BYE
Reason: Q.850;cause=16
Content-Length: 0

BYE sip:call@net SIP/2.0
Via: SIP/2.0/TCP front
Call-ID: 00000000000000a2
CSeq: 2 BYE
Reason: Q.850;cause=41
Content-Length: 0

