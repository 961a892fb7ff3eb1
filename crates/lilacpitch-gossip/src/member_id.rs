//! The identity of a front among its peers.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Longest name of a front, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One incarnation of a front. The order of the fields determines the encoding.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name in the front's settings.
    pub name: String,
    /// The address of the front's datagram socket; no two fronts share one.
    pub address: SocketAddr,
    /// Start of this incarnation, in nanoseconds of Unix time. Incremented when peers have declared the front
    /// dead by mistake.
    pub epoch: u64,
}

impl MemberId {
    /// The id of this incarnation as the origin of reports and rumors, by which each front is counted once.
    pub fn origin(&self) -> u64 {
        let address = match self.address.ip() {
            IpAddr::V4(ip) => u64::from(u32::from(ip)),
            IpAddr::V6(ip) => (u128::from(ip) as u64) ^ (u128::from(ip) >> 64) as u64,
        };
        // Odd factors spread the difference over all bits: addresses differ in few bits, and so do the epochs
        // of fronts that start together.
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

    /// The later incarnation wins: a front that restarts with the same address replaces its former
    /// incarnation.
    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.epoch, &self.name) > (adversary.epoch, &adversary.name)
    }
}
