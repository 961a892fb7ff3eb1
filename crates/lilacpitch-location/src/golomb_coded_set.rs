//! A compact form of a set of 32-bit fingerprints: the gaps between the sorted values, Rice-coded
//! (Golomb-coded sets: Putze, Sanders and Singler, 'Cache-, Hash- and Space-Efficient Bloom Filters', 2007;
//! in the form of BIP 158).
//!
//! Each of `n` fingerprints is scaled to a value below `n << P`, so a fingerprint that is not in the set
//! equals one of the values with probability `2^-P`. A value takes `P` bits and about one and a half more.

use bitstream_io::{BigEndian, BitRead, BitReader, BitWrite, BitWriter};

/// Low bits of a gap that are written unencoded. The rate of false positives is 1 in 1,024.
pub const P: u32 = 10;
/// Most values in one set.
pub const MAX_VALUES: usize = 1 << (32 - P - 1);
/// Least value of a gap's high bits that is rejected as corrupt: the gap would be about this many times the
/// mean.
const CORRUPT_HIGH_BITS: u32 = 1 << 20;

/// Scales a fingerprint to its value in a set of `n`.
pub fn scale(fingerprint: u32, n: usize) -> u32 {
    ((u64::from(fingerprint) * ((n as u64) << P)) >> 32) as u32
}

/// Encodes fingerprints, which may come in any order and with repeats.
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

/// Decodes `n` values, in ascending order. `None` if the bytes do not encode `n` values.
pub fn decode(bytes: &[u8], n: usize) -> Option<Vec<u32>> {
    // Each value takes more than P bits, so a false `n` cannot make this allocate more than the bytes can
    // hold.
    if n > MAX_VALUES || n.checked_mul(P as usize)? > bytes.len() * 8 {
        return None;
    }
    let mut input = BitReader::endian(bytes, BigEndian);
    let (mut values, mut last) = (Vec::with_capacity(n), 0u32);
    for _ in 0..n {
        let high = input.read_unary::<0>().ok().filter(|high| *high < CORRUPT_HIGH_BITS)?;
        let gap = (high << P) | input.read::<P, u32>().ok()?;
        last = last.checked_add(gap)?;
        values.push(last);
    }
    (u64::from(last) < (n as u64) << P || n == 0).then_some(values)
}
