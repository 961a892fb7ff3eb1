//! The `lilacpitch-site` program.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    lilacpitch_site::cli::main(std::env::args_os())
}
