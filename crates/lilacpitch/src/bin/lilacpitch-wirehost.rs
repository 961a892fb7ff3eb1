//! Hosts controllers, one for each front, on the text wire: standard input to standard output.
#![forbid(unsafe_code)]

use lilacpitch::wire::Host;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lilacpitch-wirehost: {message}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::new();
    let (mut bytes, mut reply) = (Vec::new(), String::new());
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(|e| format!("reading: {e}"))? == 0 {
            return host.end_of_input().map_err(|e| e.to_string());
        }
        let line = std::str::from_utf8(&bytes)
            .map_err(|_| format!("line {}: field line: not UTF-8", host.lines_read() + 1))?;
        if host.line(line.trim_end_matches(['\n', '\r']), &mut reply).map_err(|e| e.to_string())? {
            output.write_all(reply.as_bytes()).map_err(|e| format!("writing: {e}"))?;
            output.flush().map_err(|e| format!("writing: {e}"))?;
            reply.clear();
        }
    }
}
