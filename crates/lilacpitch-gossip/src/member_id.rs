//! Who a front is among its peers.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Longest name of a front, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A front, in one of its incarnations. The order of fields is that on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name in its settings.
    pub name: String,
    /// The address of its datagram socket. One front has an address.
    pub address: SocketAddr,
    /// When this incarnation started, in nanoseconds since 1970; raised when it was declared dead and is not.
    pub epoch: u64,
}

impl MemberId {
    /// The id of this incarnation as an origin of reports and rumors, so that one front is counted once.
    pub fn origin(&self) -> u64 {
        let address = match self.address.ip() {
            IpAddr::V4(ip) => u64::from(u32::from(ip)),
            IpAddr::V6(ip) => (u128::from(ip) as u64) ^ (u128::from(ip) >> 64) as u64,
        };
        // Spread over all bits by odd factors: addresses differ in few, and so do incarnations that start together.
        let address_bits =
            (address << 16 ^ u64::from(self.address.port())).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.epoch.wrapping_mul(0xd6e8_feb8_6659_fd93) ^ address_bits.rotate_left(32)
    }

    /// Whether the name is well-formed.
    pub fn is_valid(&self) -> bool {
        self.name.len() <= MAX_NAME_BYTES && self.name.bytes().all(|b| b.is_ascii_graphic())
    }
}

impl foca::Identity for MemberId {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { epoch: self.epoch + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// The later incarnation wins: a front that restarts under its name and address replaces its former one.
    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.epoch, &self.name) > (adversary.epoch, &adversary.name)
    }
}
