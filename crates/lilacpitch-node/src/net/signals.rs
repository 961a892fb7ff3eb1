//! The process's signals: a request to stop, or to read the configuration again.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What an operator asks for by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Command {
    /// SIGTERM or SIGINT: answer what is open, then exit.
    Stop,
    /// SIGHUP: read the configuration file again.
    Reload,
}

/// The signals that a node handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Where the machine refuses one.
    pub(super) fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> Command {
        tokio::select! {
            _ = self.terminate.recv() => Command::Stop,
            _ = self.interrupt.recv() => Command::Stop,
            _ = self.hangup.recv() => Command::Reload,
        }
    }
}
