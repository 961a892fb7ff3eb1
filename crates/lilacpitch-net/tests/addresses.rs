//! Allocation of free loopback addresses.

use lilacpitch_net::free_addresses;
use std::net::{SocketAddr, TcpListener, UdpSocket};

#[test]
fn returns_no_address_twice_and_none_in_use() {
    let first = free_addresses(3).unwrap();
    let following = |offset| SocketAddr::from(([127, 0, 0, 1], first[2].port() + offset));
    let (tcp, udp) = (TcpListener::bind(following(1)), UdpSocket::bind(following(2)));
    let second = free_addresses(40).unwrap();
    assert!(!second.iter().any(|address| first.contains(address)));
    assert!(tcp.is_err() || !second.contains(&following(1)), "{} is in use", following(1));
    assert!(udp.is_err() || !second.contains(&following(2)), "{} is in use", following(2));
    let can_bind =
        |address: &SocketAddr| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
    assert!(second.iter().all(can_bind), "an address is not free");
}
