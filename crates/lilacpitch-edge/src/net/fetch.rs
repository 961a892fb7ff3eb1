//! Fetches a page from a running process, for commands and the testbed.

use lilacpitch_protocol::http;
use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum number of bytes of a response that are read.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Time limit for the connection, and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Requests a page; returns its status and its body. Connecting and each read time out after a few seconds.
///
/// # Errors
/// The address cannot be reached, or the response is not HTTP.
pub fn fetch(address: SocketAddr, method: &str, target: &str) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(stream, "{method} {target} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    let mut bytes = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut bytes)?;
    match http::response(&bytes) {
        Ok(Some((head, length))) => {
            let body = String::from_utf8_lossy(&bytes[length..]).into_owned();
            Ok((head.status, body))
        }
        Ok(None) => Err(Error::other("no answer")),
        Err(error) => Err(Error::other(error.to_string())),
    }
}
