//! The WebSocket opening handshake (RFC 6455 section 4) for either role: requests and responses as bytes.
//!
//! Section numbers in this module are those of RFC 6455.

use crate::http::{Request, Response};
use base64::{engine::general_purpose::STANDARD, Engine};
use sha1::{Digest, Sha1};
use thiserror::Error;

/// The WebSocket subprotocol between callers and a front.
pub const CALL_PROTOCOL: &str = "lilacpitch.call.1";
/// The WebSocket subprotocol between a front and a signalling server.
pub const SIGNAL_PROTOCOL: &str = "lilacpitch.signal.1";
/// The constant that a server hashes together with the client's key (section 1.3).
const GUID: &str = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

/// Why a handshake failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HandshakeError {
    /// The request is not an upgrade to WebSocket (section 4.2.1).
    #[error("no WebSocket upgrade: {0}")]
    NoUpgrade(&'static str),
    /// The WebSocket version is not 13 (section 4.4).
    #[error("WebSocket version is not 13")]
    Version,
    /// The client does not offer the required subprotocol.
    #[error("subprotocol {0} was not offered")]
    Protocol(&'static str),
    /// The status of the response is not 101 (section 4.1).
    #[error("status {0} in place of 101")]
    Status(u16),
    /// The server's response does not match the request (section 4.1).
    #[error("answer: {0}")]
    Answer(&'static str),
}

/// The `Sec-WebSocket-Accept` value for a client's key (section 4.2.2, step 5.4).
pub fn accept_key(key: &str) -> String {
    let mut hash = Sha1::new();
    hash.update(key.as_bytes());
    hash.update(GUID.as_bytes());
    STANDARD.encode(hash.finalize())
}

/// The `Sec-WebSocket-Key` of a client, from 16 random bytes (section 4.1).
pub fn key(random: [u8; 16]) -> String {
    STANDARD.encode(random)
}

/// A client's opening request. `key` is one from [`key`].
pub fn client_request(host: &str, target: &str, key: &str, protocol: &str) -> Vec<u8> {
    format!(
        "GET {target} HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: {protocol}\r\n\r\n"
    )
    .into_bytes()
}

/// Checks a server's response to the request that carried `key` (section 4.1).
///
/// # Errors
/// The response does not accept the upgrade, or does not match the request.
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
    // The request offers no extension, so the server may not use one.
    if fields.get("sec-websocket-extensions").is_some_and(|extensions| !extensions.is_empty()) {
        return Err(HandshakeError::Answer("extension that was not offered"));
    }
    if fields.get("sec-websocket-protocol") != Some(protocol) {
        return Err(HandshakeError::Answer("another subprotocol"));
    }
    Ok(())
}

/// Checks a client's request and returns the response that opens the connection (section 4.2).
///
/// # Errors
/// The request is not a valid opening handshake for `protocol`.
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
    if STANDARD.decode(key).map_or(0, |bytes| bytes.len()) != 16 {
        return Err(HandshakeError::NoUpgrade("key is not 16 bytes in base64"));
    }
    if !fields.tokens("sec-websocket-protocol").any(|offered| offered == protocol) {
        return Err(HandshakeError::Protocol(protocol));
    }
    let accept = accept_key(key);
    Ok(format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Accept: {accept}\r\nSec-WebSocket-Protocol: {protocol}\r\n\r\n"
    )
    .into_bytes())
}

/// The response to a request that was refused; the server then closes the connection.
pub fn refusal(error: &HandshakeError) -> Vec<u8> {
    let (status, more_fields) = match error {
        HandshakeError::Version => ("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n"),
        _ => ("400 Bad Request", ""),
    };
    plain_response(status, more_fields, &format!("{error}\n"))
}

/// A whole response with a text body, after which the server closes the connection. `more_fields` are header
/// lines, each with its line end.
pub fn plain_response(status: &str, more_fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{more_fields}Content-Type: text/plain; charset=utf-8\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
