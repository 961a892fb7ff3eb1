//! Addresses of loopback for programs that are told where to listen.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports that are given out: below those that Linux gives to sockets that ask for none
/// (`net.ipv4.ip_local_port_range`), so that no connection takes one before its program listens there.
const PORTS: (u16, u16) = (10_000, 32_000);
/// Processes that ask at the same time begin so far apart.
const APART: u32 = 199;
/// Where the machine tells of its sockets (proc(5)).
const TABLES: [&str; 4] = ["/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp", "/proc/net/udp6"];

/// How many ports this process has looked at.
static LOOKED_AT: AtomicU16 = AtomicU16::new(0);

/// Addresses of loopback that are free for UDP and TCP: none is given twice by this process. They are not bound
/// to find out: a child process started meanwhile would hold the port until it runs its program.
///
/// # Errors
/// Where the machine tells of no sockets, or too few ports are free.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let used = used_ports()?;
    let span = PORTS.1 - PORTS.0;
    let first = std::process::id().wrapping_mul(APART) % u32::from(span);
    let mut found = Vec::with_capacity(count);
    while found.len() < count {
        let next = |n: u16| (n < span).then_some(n + 1);
        let step = LOOKED_AT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let step = step.map_err(|_| io::Error::from(io::ErrorKind::AddrInUse))?;
        let port = PORTS.0 + ((first + u32::from(step)) % u32::from(span)) as u16;
        if !used.contains(&port) {
            found.push(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    Ok(found)
}

/// The local ports of all sockets there are.
fn used_ports() -> io::Result<BTreeSet<u16>> {
    let mut ports = BTreeSet::new();
    for table in TABLES {
        let text = match std::fs::read_to_string(table) {
            Ok(text) => text,
            // A machine without IPv6.
            Err(error) if table.ends_with('6') && error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) => return Err(error),
        };
        let local = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(1)?.rsplit_once(':'));
        ports.extend(local.filter_map(|(_, port)| u16::from_str_radix(port, 16).ok()));
    }
    Ok(ports)
}
