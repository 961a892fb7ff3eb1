//! The socket of the talk among fronts.

use super::driver_event::{News, RunError};
use super::watched_file;
use lilacpitch::interface::Nanos;
use lilacpitch_config::PeersOf;
use lilacpitch_gossip::sealed_datagram::MAX_DATAGRAM_BYTES;
use lilacpitch_gossip::{Keys, Peers, Settings};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

pub(super) struct Talk {
    pub peers: Peers,
    socket: UdpSocket,
}

impl Talk {
    /// Opens the socket, reads the keys, and watches their file.
    pub async fn open(
        name: &str,
        of: &PeersOf,
        now: Nanos,
        seed: u64,
        every: Duration,
        news: &mpsc::Sender<News>,
    ) -> Result<Self, RunError> {
        let path = of.key_file.clone();
        let seen = watched_file::state(&path).map_err(|e| RunError::Keys(format!("{path}: {e}")))?;
        let keys = read_keys(&path).map_err(RunError::Keys)?;
        let read = |path: &str| read_keys(path).map(News::Keys);
        tokio::task::spawn_local(watched_file::watch(
            path,
            every,
            seen,
            news.clone(),
            read,
            News::KeysRefused,
        ));
        let failed = |e| RunError::Listen(of.listen, e);
        let socket = UdpSocket::bind(of.listen).await.map_err(failed)?;
        // Until it is known to take datagrams, the first ones would be dropped.
        socket.writable().await.map_err(failed)?;
        let address = of.reached_at.unwrap_or(socket.local_addr().map_err(failed)?);
        let seeds = of.seeds.clone();
        let settings = Settings { name: name.to_string(), address, seeds, keys, fronts: of.fronts };
        Ok(Talk { peers: Peers::new(settings, now, seed), socket })
    }

    /// The next datagram; one byte more than is allowed shows that it is too long. Without peers: never.
    pub async fn receive(talk: &Option<Talk>) -> Vec<u8> {
        let Some(talk) = talk else { return std::future::pending().await };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match talk.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => return buffer[..length].to_vec(),
                // A peer's port was closed: the kernel tells it here. Membership notices by itself.
                Err(error) => tracing::trace!(%error, "not received"),
            }
        }
    }

    /// Sends if the socket takes it now: a datagram may be lost in any case.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            tracing::trace!(%to, %error, "not sent");
        }
    }

    /// The view of this front, for people.
    pub fn page(&self) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        for peer in self.peers.members() {
            let _ = writeln!(out, "{}\t{}\tsince {}", peer.name, peer.address, peer.epoch / 1_000_000);
        }
        let counted = self.peers.counters();
        let _ = writeln!(
            out,
            "# sent {} datagrams, {} bytes; taken {}",
            counted.sent_datagrams, counted.sent_bytes, counted.accepted
        );
        let _ = writeln!(
            out,
            "# asked {}, answers taken {}, answered {}",
            counted.requests_sent, counted.responses_accepted, counted.requests_answered
        );
        let _ =
            writeln!(out, "# news told {}, voices heard {}", counted.rumor_batches_sent, counted.new_rumors);
        for (refused, count) in &counted.rejected {
            let _ = writeln!(out, "# refused {count}: {refused}");
        }
        out
    }
}

fn read_keys(path: &str) -> Result<Keys, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    Keys::from_text(&text).map_err(|e| format!("{path}: {e}"))
}
