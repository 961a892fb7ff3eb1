//! Listening sockets.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Most connections that the kernel holds until they are accepted; `net.core.somaxconn` may limit it further. A
/// connection beyond it is retried by its client after a second.
const BACKLOG: u32 = 4_096;

/// Listens on an address. Unlike [`TcpListener::bind`], which holds 128 connections until they are accepted, this
/// allows for hundreds of clients that connect at once.
///
/// # Errors
/// The address can't be bound: it is in use, or not an address of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Allows a restart while connections of the former process are in the state TIME-WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
