//! Requests and responses, and the encoding of those that a front node sends.

use lilacpitch_protocol::http::Fields;

/// A message read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// A response to a request that this node sent.
    Response(Response),
}

/// A request (RFC 3261 section 7.1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The request URI, as sent.
    pub uri: String,
    /// `Call-ID`, where it is valid.
    pub call_id: Option<String>,
    /// `CSeq`, as sent; empty where there is none.
    pub cseq: String,
    /// All header fields.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
}

/// A response (RFC 3261 section 7.2), without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// `Call-ID`, where it is valid.
    pub call_id: Option<String>,
    /// `CSeq`, as sent.
    pub cseq: String,
}

/// Longest `Call-ID` that is kept, in bytes.
const MAX_CALL_ID_BYTES: usize = 128;

/// Whether a `Call-ID` can be copied into a head as it is, and is of a bounded length.
pub(crate) fn is_call_id(id: &str) -> bool {
    (1..=MAX_CALL_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

impl Request {
    /// The user part of the request URI: the dialled number (RFC 3261 section 19.1.1).
    pub fn user(&self) -> Option<&str> {
        let rest = self.uri.strip_prefix("sip:")?;
        rest.split_once('@').map(|(user, _)| user).filter(|user| !user.is_empty())
    }

    /// The fields that a response copies from this request (RFC 3261 section 8.2.6.2), as header lines.
    pub fn echo(&self) -> String {
        let mut lines = String::new();
        for name in ["Via", "From", "To"] {
            self.fields.all(name).for_each(|value| push_field(&mut lines, name, value));
        }
        self.call_id.iter().for_each(|id| push_field(&mut lines, "Call-ID", id));
        push_field(&mut lines, "CSeq", &self.cseq);
        lines
    }

    /// Encodes a response to this request, without a body.
    pub fn response(&self, status: u16, reason: &str) -> Vec<u8> {
        Response::bytes(status, reason, &self.echo(), &[], &[])
    }

    /// Encodes the request that a front node sends: `BYE` (RFC 3261 section 15.1.1) with its reason (RFC 3326) as a
    /// Q.850 cause.
    pub fn bye(call_id: &str, cause: u16) -> Vec<u8> {
        format!(
            "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n\
             Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }
}

impl Response {
    /// Encodes a response: `echo` holds the lines copied from the request, `fields` further header fields.
    pub fn bytes(status: u16, reason: &str, echo: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
        let mut head = format!("SIP/2.0 {status} {reason}\r\n{echo}");
        fields.iter().for_each(|(name, value)| push_field(&mut head, name, value));
        push_field(&mut head, "Content-Length", &body.len().to_string());
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

fn push_field(lines: &mut String, name: &str, value: &str) {
    lines.push_str(name);
    lines.push_str(": ");
    lines.push_str(value);
    lines.push_str("\r\n");
}
