//! The program `lilacpitch-testbed`; see `lilacpitch-testbed --help`.
#![forbid(unsafe_code)]

mod cli;

fn main() -> std::process::ExitCode {
    cli::main()
}
