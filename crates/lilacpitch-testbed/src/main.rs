//! `lilacpitch-lab`: see `lilacpitch-lab --help`.
#![forbid(unsafe_code)]

mod cli;

fn main() -> std::process::ExitCode {
    cli::main()
}
