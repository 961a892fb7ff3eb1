//! Messages, and the bytes of those that a front node sends.

use lilacpitch_protocol::http::Fields;

/// What came on a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// A response to a request that went out.
    Response(Response),
}

/// A request (RFC 3261 section 7.1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The address on the first line, as sent.
    pub uri: String,
    /// `Call-ID`, where it can be used in an answer.
    pub call_id: Option<String>,
    /// `CSeq`, as sent; empty where there is none.
    pub cseq: String,
    /// All fields.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
}

/// A response (RFC 3261 section 7.2); its body is not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// `Call-ID`, where it can be read.
    pub call_id: Option<String>,
    /// `CSeq`, as sent.
    pub cseq: String,
}

/// Whether a `Call-ID` can stand in a head as it is, and is not too long to be kept.
pub(crate) fn is_call_id(id: &str) -> bool {
    (1..=128).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

impl Request {
    /// The user part of the address: what was dialled (RFC 3261 section 19.1.1).
    pub fn user(&self) -> Option<&str> {
        let rest = self.uri.strip_prefix("sip:")?;
        rest.split_once('@').map(|(user, _)| user).filter(|user| !user.is_empty())
    }

    /// What a later response copies of this request (RFC 3261 section 8.2.6.2), as head lines.
    pub fn echo(&self) -> String {
        let mut lines = String::new();
        for name in ["Via", "From", "To"] {
            self.fields.all(name).for_each(|value| line(&mut lines, name, value));
        }
        self.call_id.iter().for_each(|id| line(&mut lines, "Call-ID", id));
        line(&mut lines, "CSeq", &self.cseq);
        lines
    }

    /// The bytes of a response without a body.
    pub fn response(&self, status: u16, reason: &str) -> Vec<u8> {
        Response::bytes(status, reason, &self.echo(), &[], &[])
    }

    /// The bytes of a request that a front node sends: `BYE` (RFC 3261 section 15.1.1) with its reason (RFC 3326).
    pub fn bye(call_id: &str, cause: u16) -> Vec<u8> {
        format!(
            "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n\
             Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }
}

impl Response {
    /// The bytes of a response: `echo` are the lines copied from the request, `more` are further fields.
    pub fn bytes(status: u16, reason: &str, echo: &str, more: &[(&str, String)], body: &[u8]) -> Vec<u8> {
        let mut head = format!("SIP/2.0 {status} {reason}\r\n{echo}");
        more.iter().for_each(|(name, value)| line(&mut head, name, value));
        line(&mut head, "Content-Length", &body.len().to_string());
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

fn line(lines: &mut String, name: &str, value: &str) {
    lines.push_str(name);
    lines.push_str(": ");
    lines.push_str(value);
    lines.push_str("\r\n");
}
