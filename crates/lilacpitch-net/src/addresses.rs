//! Free loopback addresses for programs that are configured where to listen, as tests and clusters do.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is given out.
const FIRST_PORT: u16 = 10_000;
/// How many ports may be given out: below those that Linux assigns to sockets without one
/// (`net.ipv4.ip_local_port_range`), so that no connection uses one before its program listens there.
const PORT_COUNT: u16 = 22_000;
/// Processes with successive ids begin their search so many ports apart.
const PROCESS_STRIDE: u32 = 199;
/// The kernel's tables of sockets (proc(5)).
const SOCKET_TABLES: [&str; 4] = ["/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp", "/proc/net/udp6"];

/// How many ports this process has tried.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns loopback addresses that are free for UDP and TCP; none twice in this process. They are not bound to find
/// out: a child process started meanwhile would hold the port until it runs its program.
///
/// # Errors
/// Where the kernel's tables can't be read, or too few ports are free.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let used = used_ports()?;
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    let mut found = Vec::with_capacity(count);
    while found.len() < count {
        let next = |n: u16| (n < PORT_COUNT).then_some(n + 1);
        let step = TRIED_PORTS.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let step = step.map_err(|_| io::Error::from(io::ErrorKind::AddrInUse))?;
        let port = FIRST_PORT + ((first + u32::from(step)) % u32::from(PORT_COUNT)) as u16;
        if !used.contains(&port) {
            found.push(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    Ok(found)
}

/// The local ports of all sockets of the machine.
fn used_ports() -> io::Result<BTreeSet<u16>> {
    let mut ports = BTreeSet::new();
    for table in SOCKET_TABLES {
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
