//! The signals of the process: a request to stop, or to reload the configuration.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A request that an operator sends by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Command {
    /// SIGTERM or SIGINT: complete the open calls, then exit.
    Stop,
    /// SIGHUP: reload the configuration file.
    Reload,
}

/// The handlers of the signals.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if one can't be installed.
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
