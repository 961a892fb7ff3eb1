//! The opening handshake of WebSocket (RFC 6455 section 4), as bytes for either role.

use crate::http::{Request, Response};
use base64::{engine::general_purpose::STANDARD, Engine};
use sha1::{Digest, Sha1};
use thiserror::Error;

/// The subprotocol between callers and a front.
pub const CALL_PROTOCOL: &str = "lilacpitch.call.1";
/// The subprotocol between a front and a signalling server.
pub const SIGNAL_PROTOCOL: &str = "lilacpitch.signal.1";
/// RFC 6455 section 1.3.
const GUID: &str = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

/// Why a handshake failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HandshakeError {
    /// The request is no upgrade to WebSocket (section 4.2.1).
    #[error("no WebSocket upgrade: {0}")]
    NoUpgrade(&'static str),
    /// A version other than 13 (section 4.4).
    #[error("WebSocket version is not 13")]
    Version,
    /// The subprotocol wanted is not among those offered.
    #[error("subprotocol {0} was not offered")]
    Protocol(&'static str),
    /// The server answered with another status (section 4.1).
    #[error("status {0} in place of 101")]
    Status(u16),
    /// The server's answer does not fit the request (section 4.1).
    #[error("answer: {0}")]
    Answer(&'static str),
}

/// What a server answers to a key (section 4.2.2, step 5.4).
pub fn accept_key(key: &str) -> String {
    let mut hash = Sha1::new();
    hash.update(key.as_bytes());
    hash.update(GUID.as_bytes());
    STANDARD.encode(hash.finalize())
}

/// A client's key from 16 random bytes (section 4.1).
pub fn key(random: [u8; 16]) -> String {
    STANDARD.encode(random)
}

/// The request of a client.
pub fn client_request(host: &str, target: &str, key: &str, protocol: &str) -> Vec<u8> {
    format!(
        "GET {target} HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: {protocol}\r\n\r\n"
    )
    .into_bytes()
}

/// Checks a server's answer to the request that carried `key` (section 4.1).
///
/// # Errors
/// What in the response does not fit the request that carried `key`.
pub fn check_answer(answer: &Response, key: &str, protocol: &str) -> Result<(), HandshakeError> {
    let fields = &answer.fields;
    if answer.status != 101 {
        return Err(HandshakeError::Status(answer.status));
    }
    if !fields.lists("upgrade", "websocket") || !fields.lists("connection", "upgrade") {
        return Err(HandshakeError::Answer("no upgrade to websocket"));
    }
    if fields.get("sec-websocket-accept") != Some(accept_key(key).as_str()) {
        return Err(HandshakeError::Answer("accept key does not fit"));
    }
    // No extension was offered, so none may be in use.
    if fields.get("sec-websocket-extensions").is_some_and(|e| !e.is_empty()) {
        return Err(HandshakeError::Answer("extension that was not offered"));
    }
    if fields.get("sec-websocket-protocol") != Some(protocol) {
        return Err(HandshakeError::Answer("another subprotocol"));
    }
    Ok(())
}

/// Checks a client's request and returns the answer that opens the connection (section 4.2).
///
/// # Errors
/// What makes the request no opening handshake for `protocol`.
pub fn server_answer(request: &Request, protocol: &'static str) -> Result<Vec<u8>, HandshakeError> {
    let fields = &request.fields;
    if request.method != "GET" {
        return Err(HandshakeError::NoUpgrade("method is not GET"));
    }
    if fields.get("host").is_none() {
        return Err(HandshakeError::NoUpgrade("no Host"));
    }
    if !fields.lists("upgrade", "websocket") || !fields.lists("connection", "upgrade") {
        return Err(HandshakeError::NoUpgrade("no Upgrade or Connection field for it"));
    }
    if fields.get("sec-websocket-version") != Some("13") {
        return Err(HandshakeError::Version);
    }
    let Some(key) = fields.get("sec-websocket-key") else {
        return Err(HandshakeError::NoUpgrade("no Sec-WebSocket-Key"));
    };
    if STANDARD.decode(key).map_or(0, |k| k.len()) != 16 {
        return Err(HandshakeError::NoUpgrade("key is not 16 bytes in base64"));
    }
    if !fields.tokens("sec-websocket-protocol").any(|p| p == protocol) {
        return Err(HandshakeError::Protocol(protocol));
    }
    let accept = accept_key(key);
    Ok(format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Accept: {accept}\r\nSec-WebSocket-Protocol: {protocol}\r\n\r\n"
    )
    .into_bytes())
}

/// What a server answers to a request that it refuses, before it closes the connection.
pub fn refusal(error: &HandshakeError) -> Vec<u8> {
    let (status, more) = match error {
        HandshakeError::Version => ("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n"),
        _ => ("400 Bad Request", ""),
    };
    plain_response(status, more, &format!("{error}\n"))
}

/// A whole response with a text body, after which the connection closes.
pub fn plain_response(status: &str, more_fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{more_fields}Content-Type: text/plain; charset=utf-8\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
