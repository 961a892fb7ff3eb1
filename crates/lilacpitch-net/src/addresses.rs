//! Free loopback addresses for programs whose listening address is configured before they start, as in tests.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is returned.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that may be returned. All are below the ephemeral ports of Linux
/// (`net.ipv4.ip_local_port_range`), so that no outgoing connection takes one before its program listens
/// there.
const PORT_COUNT: u16 = 22_000;
/// Distance in ports between the starting points of processes with consecutive ids.
const PROCESS_STRIDE: u32 = 199;
/// The kernel's tables of sockets (proc(5)).
const SOCKET_TABLES: [&str; 4] = ["/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp", "/proc/net/udp6"];

/// Number of ports that this process has tried.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns loopback addresses that are free for UDP and TCP; never the same address twice in one process.
///
/// The check reads the kernel's tables of sockets rather than binding each port: a child process that is
/// forked meanwhile would inherit the socket and hold the port until it executes its program.
///
/// # Errors
/// Returns an error if the kernel's tables can't be read, or too few ports are free.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let used = used_ports()?;
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    let mut addresses = Vec::with_capacity(count);
    while addresses.len() < count {
        let increment = |tried: u16| (tried < PORT_COUNT).then_some(tried + 1);
        let offset = TRIED_PORTS.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        let offset = offset.map_err(|_| io::Error::from(io::ErrorKind::AddrInUse))?;
        let port = FIRST_PORT + ((start + u32::from(offset)) % u32::from(PORT_COUNT)) as u16;
        if !used.contains(&port) {
            addresses.push(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    Ok(addresses)
}

/// Returns the local ports of all sockets of the machine.
fn used_ports() -> io::Result<BTreeSet<u16>> {
    let mut ports = BTreeSet::new();
    for table in SOCKET_TABLES {
        let text = match std::fs::read_to_string(table) {
            Ok(text) => text,
            // The kernel has no IPv6.
            Err(error) if table.ends_with('6') && error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) => return Err(error),
        };
        let local_addresses =
            text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(1)?.rsplit_once(':'));
        ports.extend(local_addresses.filter_map(|(_, port)| u16::from_str_radix(port, 16).ok()));
    }
    Ok(ports)
}
