//! Sorted 32-bit fingerprints in few bits: gaps, Rice-coded (Golomb-coded sets: Putze, Sanders and Singler, 'Cache-,
//! Hash- and Space-Efficient Bloom Filters', 2007; the form of BIP 158).
//!
//! Of `n` fingerprints each is scaled to a value below `n << P`; one that is not in the set meets a value by chance
//! once in `2^P`. A value costs `P` bits and about one and a half more.

use bitstream_io::{BigEndian, BitRead, BitReader, BitWrite, BitWriter};

/// Bits of a gap that are written as they are: a stranger passes once in 1,024.
pub const P: u32 = 10;
/// Most values in one set.
pub const MAX_VALUES: usize = 1 << (32 - P - 1);
/// A gap this many times the usual one is no gap but damage.
const MOST_HIGH_BITS: u32 = 1 << 20;

/// A fingerprint among `n`.
pub fn scale(fingerprint: u32, n: usize) -> u32 {
    ((u64::from(fingerprint) * ((n as u64) << P)) >> 32) as u32
}

/// Writes fingerprints, in any order and with repeats.
pub fn encode(fingerprints: &[u32]) -> Vec<u8> {
    let n = fingerprints.len();
    let mut values: Vec<u32> = fingerprints.iter().map(|f| scale(*f, n)).collect();
    values.sort_unstable();
    let mut out = BitWriter::endian(Vec::new(), BigEndian);
    let mut last = 0;
    for value in values {
        let gap = value - last;
        last = value;
        // Writing to memory cannot fail.
        let _ = out.write_unary::<0>(gap >> P).and_then(|()| out.write::<P, u32>(gap & ((1 << P) - 1)));
    }
    let _ = out.byte_align();
    out.into_writer()
}

/// Reads `n` values in their order. `None`: these are not `n` values.
pub fn decode(bytes: &[u8], n: usize) -> Option<Vec<u32>> {
    // Each takes more than P bits: no more room is taken than the bytes can hold.
    if n > MAX_VALUES || n.checked_mul(P as usize)? > bytes.len() * 8 {
        return None;
    }
    let mut input = BitReader::endian(bytes, BigEndian);
    let (mut values, mut last) = (Vec::with_capacity(n), 0u32);
    for _ in 0..n {
        let high = input.read_unary::<0>().ok().filter(|high| *high < MOST_HIGH_BITS)?;
        let gap = (high << P) | input.read::<P, u32>().ok()?;
        last = last.checked_add(gap)?;
        values.push(last);
    }
    (u64::from(last) < (n as u64) << P || n == 0).then_some(values)
}
