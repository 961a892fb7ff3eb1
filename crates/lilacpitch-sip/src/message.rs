//! SIP requests and responses, and the encoders for those that a front node sends.

use lilacpitch_protocol::http::Fields;

/// A message decoded from a stream.
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
    /// The method, as received.
    pub method: String,
    /// The request URI, as received.
    pub uri: String,
    /// The value of `Call-ID`; `None` if it is missing or invalid.
    pub call_id: Option<String>,
    /// The value of `CSeq`, as received; empty if it is missing.
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
    /// The value of `Call-ID`; `None` if it is missing or invalid.
    pub call_id: Option<String>,
    /// The value of `CSeq`, as received; empty if it is missing.
    pub cseq: String,
}

/// Longest valid `Call-ID`, in bytes.
const MAX_CALL_ID_BYTES: usize = 128;

/// Whether a `Call-ID` is short enough and can be copied into the head of another message unchanged.
pub(crate) fn is_valid_call_id(id: &str) -> bool {
    (1..=MAX_CALL_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

impl Request {
    /// Returns the user part of the request URI: the dialled number (RFC 3261 section 19.1.1).
    pub fn user(&self) -> Option<&str> {
        let address = self.uri.strip_prefix("sip:")?;
        address.split_once('@').map(|(user, _)| user).filter(|user| !user.is_empty())
    }

    /// Returns the fields that a response copies from this request (RFC 3261 section 8.2.6.2), as header
    /// lines.
    pub fn copied_fields(&self) -> String {
        let mut lines = String::new();
        for name in ["Via", "From", "To"] {
            self.fields.all(name).for_each(|value| push_field(&mut lines, name, value));
        }
        self.call_id.iter().for_each(|id| push_field(&mut lines, "Call-ID", id));
        push_field(&mut lines, "CSeq", &self.cseq);
        lines
    }

    /// Encodes a response to this request, without a body.
    pub fn encode_response(&self, status: u16, reason: &str) -> Vec<u8> {
        Response::encode(status, reason, &self.copied_fields(), &[], &[])
    }

    /// Encodes a `BYE` (RFC 3261 section 15.1.1), the only request that a front node sends. Its reason (RFC
    /// 3326) is a Q.850 cause.
    pub fn encode_bye(call_id: &str, cause: u16) -> Vec<u8> {
        format!(
            "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n\
             Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }
}

impl Response {
    /// Encodes a response. `copied_fields` are the header lines that [`Request::copied_fields`] returned for
    /// its request, `fields` further header fields as name and value.
    pub fn encode(
        status: u16,
        reason: &str,
        copied_fields: &str,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> Vec<u8> {
        let mut head = format!("SIP/2.0 {status} {reason}\r\n{copied_fields}");
        fields.iter().for_each(|(name, value)| push_field(&mut head, name, value));
        push_field(&mut head, "Content-Length", &body.len().to_string());
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Appends one header line.
fn push_field(lines: &mut String, name: &str, value: &str) {
    lines.push_str(name);
    lines.push_str(": ");
    lines.push_str(value);
    lines.push_str("\r\n");
}
