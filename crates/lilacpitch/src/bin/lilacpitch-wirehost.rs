//! Runs controllers for a simulator, one for each front, over the line protocol on standard input and output.
#![forbid(unsafe_code)]

use lilacpitch::wire::{Host, WireError};
use std::fmt;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// Size of the buffer of standard input, and of that of standard output.
const BUFFER_BYTES: usize = 1 << 16;

/// An error that ends the program.
enum HostError {
    /// Standard input could not be read.
    Read(io::Error),
    /// Standard output could not be written.
    Write(io::Error),
    /// An input line is not UTF-8.
    NotUtf8 {
        /// The line's number, from 1.
        line: u64,
    },
    /// An input line is malformed.
    Wire(WireError),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostError::Read(error) => write!(f, "reading standard input: {error}"),
            HostError::Write(error) => write!(f, "writing standard output: {error}"),
            HostError::NotUtf8 { line } => write!(f, "line {line}: field line: not UTF-8"),
            HostError::Wire(error) => error.fmt(f),
        }
    }
}

impl From<WireError> for HostError {
    fn from(error: WireError) -> Self {
        HostError::Wire(error)
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lilacpitch-wirehost: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), HostError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::new();
    let (mut bytes, mut reply) = (Vec::new(), String::new());
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(HostError::Read)? == 0 {
            return Ok(host.end_of_input()?);
        }
        let line =
            std::str::from_utf8(&bytes).map_err(|_| HostError::NotUtf8 { line: host.lines_read() + 1 })?;
        if host.handle_line(line.trim_end_matches(['\n', '\r']), &mut reply)? {
            output.write_all(reply.as_bytes()).map_err(HostError::Write)?;
            output.flush().map_err(HostError::Write)?;
            reply.clear();
        }
    }
}
