//! The UDP socket of the gossip among edges, and the page that shows this edge's view of its peers.
//!
//! [`Peers`] implements the gossip protocol; this module does the I/O, and watches the key file.

use super::driver_event::DriverEvent;
use super::startup::RunError;
use super::watched_file::{self, FileVersion, ReadError};
use lilacpitch::interface::Nanos;
use lilacpitch_config::PeersOf;
use lilacpitch_gossip::sealed_datagram::MAX_DATAGRAM_BYTES;
use lilacpitch_gossip::{Keys, Peers, Settings};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The gossip protocol with its socket.
pub(super) struct GossipSocket {
    pub peers: Peers,
    socket: UdpSocket,
}

impl GossipSocket {
    /// Opens the socket, reads the keys, and starts to watch the key file.
    pub(super) async fn open(
        name: &str,
        settings: &PeersOf,
        now: Nanos,
        seed: u64,
        poll_interval: Duration,
        events: &mpsc::Sender<DriverEvent>,
    ) -> Result<Self, RunError> {
        let path = settings.key_file.clone();
        let version = FileVersion::read(&path).map_err(|error| ReadError::File(path.clone(), error))?;
        let keys = read_keys(&path)?;
        let read = |path: &str| read_keys(path).map(DriverEvent::KeysRead);
        tokio::task::spawn_local(watched_file::watch(
            path,
            poll_interval,
            version,
            events.clone(),
            read,
            DriverEvent::KeysRejected,
        ));
        let failed = |error| RunError::Listen(settings.listen, error);
        let socket = UdpSocket::bind(settings.listen).await.map_err(failed)?;
        // `try_send_to` fails, and the datagram is dropped, until tokio has found the socket writable.
        socket.writable().await.map_err(failed)?;
        let settings = Settings {
            name: name.to_string(),
            address: settings.reached_at.unwrap_or(socket.local_addr().map_err(failed)?),
            seeds: settings.seeds.clone(),
            keys,
            fronts: settings.fronts,
        };
        Ok(GossipSocket { peers: Peers::new(settings, now, seed), socket })
    }

    /// Returns the next datagram. The buffer is one byte longer than allowed, so that datagrams that are too
    /// long can be recognized. Pending for ever without peers.
    pub(super) async fn receive(gossip: &Option<GossipSocket>) -> Vec<u8> {
        let Some(gossip) = gossip else { return std::future::pending().await };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match gossip.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => return buffer[..length].to_vec(),
                // The kernel reports here that a peer's port is closed. The failure detector handles peers
                // that are gone.
                Err(error) => tracing::trace!(%error, "peer datagram not received"),
            }
        }
    }

    /// Sends a datagram, or drops it if the socket is not writable: datagrams may be lost in any case.
    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            tracing::trace!(%to, %error, "peer datagram not sent");
        }
    }

    /// The page for operators: the peers that this edge sees, and its counters.
    pub(super) fn page(&self) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        for peer in self.peers.members() {
            let _ = writeln!(out, "{}\t{}\tsince {}", peer.name, peer.address, peer.epoch / 1_000_000);
        }
        let counters = self.peers.counters();
        let _ = writeln!(
            out,
            "# sent {} datagrams, {} bytes; taken {}",
            counters.sent_datagrams, counters.sent_bytes, counters.accepted
        );
        let _ = writeln!(
            out,
            "# asked {}, answers taken {}, answered {}",
            counters.requests_sent, counters.responses_accepted, counters.requests_answered
        );
        let _ = writeln!(
            out,
            "# news told {}, voices heard {}",
            counters.rumor_batches_sent, counters.new_rumors
        );
        for (reason, count) in &counters.rejected {
            let _ = writeln!(out, "# refused {count}: {reason}");
        }
        out
    }
}

fn read_keys(path: &str) -> Result<Keys, ReadError> {
    let text = std::fs::read_to_string(path).map_err(|error| ReadError::File(path.into(), error))?;
    Keys::from_text(&text).map_err(|error| ReadError::Keys(path.into(), error))
}
