//! Heads of HTTP/1.1 messages (RFC 9112): a start line and fields, parsed from whatever has arrived so far.
//!
//! Strict where laxness has been an attack: line ends are CRLF, no folded lines (section 5.2), no blanks before
//! the colon (section 5.1), no control characters in values.

use thiserror::Error;

/// Longest head, in bytes, its empty line included.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most fields in a head.
pub const MAX_FIELDS: usize = 64;

/// Why a head was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// Longer than [`MAX_HEAD_BYTES`].
    #[error("head of over {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// More fields than [`MAX_FIELDS`].
    #[error("over {MAX_FIELDS} fields")]
    TooManyFields,
    /// A start line that is none (RFC 9112 section 3 and 4).
    #[error("start line: {0}")]
    StartLine(&'static str),
    /// A field line that is none (RFC 9112 section 5), by its number from 1.
    #[error("field line {0}: {1}")]
    Field(usize, &'static str),
}

/// The fields of a head, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// The value of the first field of that name; names are compared without case (RFC 9110 section 5.1).
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The values of all fields of that name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated field lists this token, without case (RFC 9110 section 5.6.1).
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|t| t.eq_ignore_ascii_case(token))
    }

    /// The tokens of a comma-separated field, over all its lines.
    pub fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.all(name).flat_map(|v| v.split(',')).map(str::trim).filter(|t| !t.is_empty())
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// The fields.
    pub fields: Fields,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The fields.
    pub fields: Fields,
}

/// Reads a request's head from the start of `bytes`. `None`: not all of it has arrived.
///
/// Returns the head and how many bytes it took.
///
/// # Errors
/// A head that is malformed or over a limit.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, HeadError> {
    let Some((start, fields, taken)) = head(bytes)? else { return Ok(None) };
    let mut parts = start.split(' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(version), None) = (method, target, version, parts.next()) else {
        return Err(HeadError::StartLine("not 'method target version'"));
    };
    if method.is_empty() || !method.bytes().all(is_token) {
        return Err(HeadError::StartLine("method is no token"));
    }
    if target.is_empty() || !target.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(HeadError::StartLine("target is empty or not visible ASCII"));
    }
    if version != "HTTP/1.1" {
        return Err(HeadError::StartLine("version is not HTTP/1.1"));
    }
    Ok(Some((Request { method: method.into(), target: target.into(), fields }, taken)))
}

/// Reads a response's head from the start of `bytes`. `None`: not all of it has arrived.
///
/// Returns the head and how many bytes it took.
///
/// # Errors
/// A head that is malformed or over a limit.
pub fn response(bytes: &[u8]) -> Result<Option<(Response, usize)>, HeadError> {
    let Some((start, fields, taken)) = head(bytes)? else { return Ok(None) };
    let Some(rest) = start.strip_prefix("HTTP/1.1 ") else {
        return Err(HeadError::StartLine("version is not HTTP/1.1"));
    };
    // The reason may be empty, and so may the blank before it be missing in practice.
    let code = rest.split(' ').next().unwrap_or("");
    match code.parse::<u16>() {
        Ok(status) if code.len() == 3 && (100..600).contains(&status) => {
            Ok(Some((Response { status, fields }, taken)))
        }
        _ => Err(HeadError::StartLine("status is not three digits")),
    }
}

/// Start line, fields and length of a head that has arrived whole; SIP heads (RFC 3261 section 7) have the same
/// form.
///
/// # Errors
/// A head that is malformed or over a limit.
pub fn head(bytes: &[u8]) -> Result<Option<(String, Fields, usize)>, HeadError> {
    let seen = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD_BYTES { Err(HeadError::TooLong) } else { Ok(None) };
    };
    let Ok(text) = std::str::from_utf8(&seen[..end]) else {
        return Err(HeadError::StartLine("head is not UTF-8"));
    };
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("");
    if start.bytes().any(|b| b.is_ascii_control()) {
        return Err(HeadError::StartLine("control character"));
    }
    let mut fields = Vec::new();
    for (index, line) in lines.enumerate() {
        if index == MAX_FIELDS {
            return Err(HeadError::TooManyFields);
        }
        let wrong = |what| Err(HeadError::Field(index + 1, what));
        if line.starts_with([' ', '\t']) {
            return wrong("folded line");
        }
        let Some((name, value)) = line.split_once(':') else { return wrong("no colon") };
        if name.is_empty() || !name.bytes().all(is_token) {
            return wrong("name is no token");
        }
        let value = value.trim_matches([' ', '\t']);
        if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            return wrong("control character in the value");
        }
        fields.push((name.to_string(), value.to_string()));
    }
    Ok(Some((start.to_string(), Fields(fields), end + 4)))
}

/// RFC 9110 section 5.6.2.
fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}
