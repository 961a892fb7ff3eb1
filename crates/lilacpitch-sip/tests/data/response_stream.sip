SIP/2.0 200 OK
Call-ID: 00000000000000a1
CSeq: 2 BYE
Content-Length: 5

helloSIP/2.0 481 No Such Call
Content-Length: 0

