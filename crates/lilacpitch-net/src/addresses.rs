//! Addresses of loopback for programs that are told where to listen.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that are given out: below those that Linux gives to sockets that ask for none
/// (`net.ipv4.ip_local_port_range`), so that no connection takes one before its program listens there.
const PORTS: (u16, u16) = (10_000, 32_000);
/// Processes that ask at the same time begin so far apart.
const APART: u32 = 199;

/// How many ports this process has looked at.
static LOOKED_AT: AtomicU16 = AtomicU16::new(0);

/// Addresses of loopback that are free for UDP and TCP: none is given twice by this process.
///
/// # Errors
/// The last error of the machine, where too few ports are free.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let span = PORTS.1 - PORTS.0;
    let first = (std::process::id().wrapping_mul(APART) % u32::from(span)) as u16;
    let mut found = Vec::with_capacity(count);
    let mut failed = io::Error::from(io::ErrorKind::AddrInUse);
    while found.len() < count {
        let step =
            LOOKED_AT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n < span).then_some(n + 1));
        let Ok(step) = step else { return Err(failed) };
        let port = PORTS.0 + ((u32::from(first) + u32::from(step)) % u32::from(span)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match UdpSocket::bind(address).and_then(|_| TcpListener::bind(address)) {
            Ok(_) => found.push(address),
            Err(error) => failed = error,
        }
    }
    Ok(found)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn none_is_given_twice_nor_one_that_is_in_use() {
        let first = free_addresses(3).unwrap();
        let next = SocketAddr::from(([127, 0, 0, 1], first[2].port() + 1));
        let held = TcpListener::bind(next);
        let second = free_addresses(40).unwrap();
        assert!(!second.iter().any(|address| first.contains(address)));
        assert!(held.is_err() || !second.contains(&next), "{next} is in use");
        let used = |address: &SocketAddr| TcpListener::bind(address).is_err();
        assert!(!second.iter().any(used), "all can be listened at");
    }
}
