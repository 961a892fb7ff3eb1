INVITE sip:15550001@net SIP/2.0
Via: SIP/2.0/TCP one
Via: SIP/2.0/TCP two
From: <sip:a@net>;tag=1
To: <sip:15550001@net>
Call-ID: 00000000000000a1
CSeq: 1 INVITE
P-Kind: plain
P-Time-Left: 3000
P-Path: dest:2
Content-Length: 19

c=IN IP4 10.0.0.1

BYE sip:call@net SIP/2.0
via: three
i: 00000000000000a2
CSeq: 2 BYE
l: 0

INFO tel:15550001 SIP/2.0
Call-ID: a b
Content-Length: 0

