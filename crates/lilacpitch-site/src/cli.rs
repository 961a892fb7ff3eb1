//! The command line of `lilacpitch-site`.

use crate::process::{self, Ready};
use clap::{Parser, Subcommand};
use lilacpitch_config::{ConfigError, LogFormat, Site, EDGE_SCHEMA};
use lilacpitch_fleet::Safeguards;
use miette::Diagnostic;
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::EnvFilter;

/// A process of a site: part of the register of numbers.
#[derive(Debug, Parser)]
#[command(name = "lilacpitch-site", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a process until SIGTERM or SIGINT. Prints one line once it listens: {"links":"ADDRESS","pages":"ADDRESS"}.
    Run {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Read the settings as a start would, and say what is wrong.
    Check {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Print the schema of the settings, with comments and defaults.
    Schema,
}

/// Runs the program. Exit codes: 0 done, 1 could not run or stopped by a fault, 2 wrong arguments or settings.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    main_with(args, Safeguards::default())
}

/// With guards switched off: for the laboratory.
#[doc(hidden)]
pub fn main_with(args: impl IntoIterator<Item = OsString>, guards: Safeguards) -> ExitCode {
    let args = match Args::try_parse_from(args) {
        Ok(args) => args,
        Err(error) => {
            let code = if error.use_stderr() { 2 } else { 0 };
            // Nowhere to say that saying it failed.
            let _ = error.print();
            return ExitCode::from(code);
        }
    };
    match args.command {
        Command::Schema => {
            say(EDGE_SCHEMA.trim_end());
            ExitCode::SUCCESS
        }
        Command::Check { config } => match Site::load(&config) {
            Ok(loaded) => {
                let sites = loaded.value.sites.len();
                say(&format!("{}: {sites} sites, no mistakes", config.display()));
                ExitCode::SUCCESS
            }
            Err(error) => complain(&error),
        },
        Command::Run { config } => run(&config, guards),
    }
}

fn say(line: &str) {
    // Whoever reads may have gone: no reason to fail.
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn complain(error: &ConfigError) -> ExitCode {
    if std::io::stderr().is_terminal() {
        eprintln!("{}", error.drawn());
    } else {
        eprintln!("{error}");
    }
    ExitCode::from(2)
}

fn run(config: &Path, guards: Safeguards) -> ExitCode {
    let settings = match Site::load(config) {
        Ok(loaded) => loaded.value,
        Err(error) => return complain(&error),
    };
    let filter = EnvFilter::try_new(&settings.log.level).unwrap_or_default();
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    let set = match settings.log.format {
        LogFormat::Text => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
    if let Err(error) = set {
        eprintln!("lilacpitch-site: logging: {error}");
    }
    // One more than asked for: a write to the disk holds one of them.
    let threads = settings.threads + 1;
    let runtime =
        match tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                eprintln!("lilacpitch-site: no runtime: {error}");
                return ExitCode::FAILURE;
            }
        };
    let ready = |ready: Ready| {
        let pages = ready.pages.map(|p| format!(",\"pages\":\"{p}\"")).unwrap_or_default();
        say(&format!("{{\"links\":\"{}\"{pages}}}", ready.links));
    };
    let ran = runtime.block_on(async {
        let machine = |e: std::io::Error| process::RunError::Machine(format!("signals: {e}"));
        let mut term = signal(SignalKind::terminate()).map_err(machine)?;
        let mut int = signal(SignalKind::interrupt()).map_err(machine)?;
        let stop = async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        process::run(settings, guards, ready, stop).await
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let help = error.help().map(|help| format!("\nhelp: {help}")).unwrap_or_default();
            eprintln!("lilacpitch-site: {error}{help}");
            ExitCode::FAILURE
        }
    }
}
