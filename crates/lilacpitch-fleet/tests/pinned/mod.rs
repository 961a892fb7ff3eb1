//! Reads and writes files of pinned encodings. Each line holds a label and the encoded bytes in hex.

use std::fmt::Write;
use std::path::PathBuf;

/// The label of a value and its encoding.
pub(crate) type Sample = (String, Vec<u8>);

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(file)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |index| u8::from_str_radix(&digits[index..index + 2], 16).expect("two hex digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Reads the samples of a file, in order.
pub(crate) fn read(file: &str) -> Vec<Sample> {
    let text = std::fs::read_to_string(path(file)).expect("reading the pinned file");
    let sample = |line: &str| {
        let (label, digits) = line.split_once(' ').expect("a label and hex digits");
        (label.to_string(), from_hex(digits))
    };
    text.lines().map(sample).collect()
}

/// Writes a file again, after an intended change of the format.
pub(crate) fn write(file: &str, samples: &[Sample]) {
    let lines: String = samples.iter().map(|(label, bytes)| format!("{label} {}\n", to_hex(bytes))).collect();
    std::fs::write(path(file), lines).expect("writing the pinned file");
}

/// Panics if a sample differs from the pinned one, or if the labels differ.
pub(crate) fn assert_pinned(file: &str, samples: &[Sample]) {
    let pinned = read(file);
    let labels = |samples: &[Sample]| samples.iter().map(|(label, _)| label.clone()).collect::<Vec<_>>();
    assert_eq!(labels(&pinned), labels(samples), "labels of {file}");
    for ((label, pinned), (_, encoded)) in pinned.iter().zip(samples) {
        assert_eq!(to_hex(encoded), to_hex(pinned), "{label}");
    }
}
