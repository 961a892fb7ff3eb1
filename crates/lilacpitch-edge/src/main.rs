//! `lilacpitch-edge`: see `lilacpitch-edge --help`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    lilacpitch_edge::cli::main(std::env::args_os())
}
