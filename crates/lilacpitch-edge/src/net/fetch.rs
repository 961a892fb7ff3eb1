//! Reading a page of a running process, for commands and the laboratory.

use lilacpitch_protocol::http;
use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest page that is read.
const MAX_BYTES: u64 = 4 << 20;

/// A page's status and body. Waits for no more than a few seconds.
///
/// # Errors
/// An address that can't be reached, or a response that is no HTTP.
pub fn fetch(address: SocketAddr, method: &str, target: &str) -> Result<(u16, String)> {
    let patience = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_read_timeout(Some(patience))?;
    write!(stream, "{method} {target} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    let mut bytes = Vec::new();
    stream.take(MAX_BYTES).read_to_end(&mut bytes)?;
    match http::response(&bytes) {
        Ok(Some((head, taken))) => Ok((head.status, String::from_utf8_lossy(&bytes[taken..]).into_owned())),
        Ok(None) => Err(Error::other("no answer")),
        Err(error) => Err(Error::other(error.to_string())),
    }
}
