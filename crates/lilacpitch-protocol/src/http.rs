//! Heads of HTTP/1.1 messages (RFC 9112): a start line and fields, parsed from the bytes that have arrived so
//! far.
//!
//! The parser is strict where lenient ones have been attacked: line ends are CRLF, and there are no folded
//! lines (section 5.2), no whitespace before the colon (section 5.1) and no control characters in values.

use thiserror::Error;

/// Maximum length of a head, in bytes, including the empty line at its end.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of fields in a head.
pub const MAX_FIELDS: usize = 64;

/// Why a head was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("head of over {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// The head has more fields than [`MAX_FIELDS`].
    #[error("over {MAX_FIELDS} fields")]
    TooManyFields,
    /// The start line is malformed (RFC 9112 sections 3 and 4).
    #[error("start line: {0}")]
    StartLine(&'static str),
    /// The field line with this number, counted from 1, is malformed (RFC 9112 section 5).
    #[error("field line {0}: {1}")]
    Field(usize, &'static str),
}

/// The fields of a head, in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// The value of the first field with this name. Names are case-insensitive (RFC 9110 section 5.1).
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a comma-separated field contains this token, compared without regard to case (RFC 9110 section
    /// 5.6.1).
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|listed| listed.eq_ignore_ascii_case(token))
    }

    /// The tokens of a comma-separated field, from all lines with this name.
    pub fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name).flat_map(|value| value.split(',')).map(str::trim).filter(|token| !token.is_empty())
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as received.
    pub method: String,
    /// The request target, as received.
    pub target: String,
    /// The header fields.
    pub fields: Fields,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
}

/// Parses the head of a request at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` if it has not arrived whole.
///
/// # Errors
/// The head is malformed or exceeds a limit.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, HeadError> {
    let Some((start_line, fields, length)) = head(bytes)? else { return Ok(None) };
    let mut parts = start_line.split(' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(version), None) = (method, target, version, parts.next()) else {
        return Err(HeadError::StartLine("not 'method target version'"));
    };
    if method.is_empty() || !method.bytes().all(is_token_byte) {
        return Err(HeadError::StartLine("method is no token"));
    }
    if target.is_empty() || !target.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(HeadError::StartLine("target is empty or not visible ASCII"));
    }
    if version != "HTTP/1.1" {
        return Err(HeadError::StartLine("version is not HTTP/1.1"));
    }
    Ok(Some((Request { method: method.into(), target: target.into(), fields }, length)))
}

/// Parses the head of a response at the start of `bytes`.
///
/// Returns the head and its length in bytes, or `None` if it has not arrived whole.
///
/// # Errors
/// The head is malformed or exceeds a limit.
pub fn response(bytes: &[u8]) -> Result<Option<(Response, usize)>, HeadError> {
    let Some((start_line, fields, length)) = head(bytes)? else { return Ok(None) };
    let Some(status_and_reason) = start_line.strip_prefix("HTTP/1.1 ") else {
        return Err(HeadError::StartLine("version is not HTTP/1.1"));
    };
    // The reason phrase may be empty; then some servers omit the space before it, too.
    let code = status_and_reason.split(' ').next().unwrap_or("");
    match code.parse::<u16>() {
        Ok(status) if code.len() == 3 && (100..600).contains(&status) => {
            Ok(Some((Response { status, fields }, length)))
        }
        _ => Err(HeadError::StartLine("status is not three digits")),
    }
}

/// Parses a head whose start line is of any form. Heads of SIP messages (RFC 3261 section 7) can be parsed
/// with it, too.
///
/// Returns the start line, the fields and the length in bytes, or `None` if the head has not arrived whole.
///
/// # Errors
/// The head is malformed or exceeds a limit.
pub fn head(bytes: &[u8]) -> Result<Option<(String, Fields, usize)>, HeadError> {
    let limited = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    let Some(end) = limited.windows(4).position(|window| window == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD_BYTES { Err(HeadError::TooLong) } else { Ok(None) };
    };
    let Ok(text) = std::str::from_utf8(&limited[..end]) else {
        return Err(HeadError::StartLine("head is not UTF-8"));
    };
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or("");
    if start_line.bytes().any(|b| b.is_ascii_control()) {
        return Err(HeadError::StartLine("control character"));
    }
    let mut fields = Vec::new();
    for (index, line) in lines.enumerate() {
        if index == MAX_FIELDS {
            return Err(HeadError::TooManyFields);
        }
        let malformed = |problem| Err(HeadError::Field(index + 1, problem));
        if line.starts_with([' ', '\t']) {
            return malformed("folded line");
        }
        let Some((name, value)) = line.split_once(':') else { return malformed("no colon") };
        if name.is_empty() || !name.bytes().all(is_token_byte) {
            return malformed("name is no token");
        }
        let value = value.trim_matches([' ', '\t']);
        if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            return malformed("control character in the value");
        }
        fields.push((name.to_string(), value.to_string()));
    }
    Ok(Some((start_line.to_string(), Fields(fields), end + 4)))
}

/// Whether a byte may be part of a token (RFC 9110 section 5.6.2).
fn is_token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}
