//! Addresses of loopback that are free.

use lilacpitch_net::free_addresses;
use std::net::{SocketAddr, TcpListener, UdpSocket};

#[test]
fn gives_no_address_twice_and_none_in_use() {
    let first = free_addresses(3).unwrap();
    let next = |more| SocketAddr::from(([127, 0, 0, 1], first[2].port() + more));
    let held = (TcpListener::bind(next(1)), UdpSocket::bind(next(2)));
    let second = free_addresses(40).unwrap();
    assert!(!second.iter().any(|address| first.contains(address)));
    assert!(held.0.is_err() || !second.contains(&next(1)), "{} is in use", next(1));
    assert!(held.1.is_err() || !second.contains(&next(2)), "{} is in use", next(2));
    let free = |address: &SocketAddr| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
    assert!(second.iter().all(free), "all can be listened at");
}
