//! Receiving and sending of datagrams: the envelope, its sealing, and the checks before a body is handled.

use super::{Effect, Peers, MS};
use crate::member_id::MemberId;
use crate::rumors::RumorBatch;
use crate::sealed_datagram::{DatagramError, MAX_DATAGRAM_BYTES, MAX_SKEW_MS};
use crate::server_report::ServerReport;
use lilacpitch::interface::Nanos;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The sealed content of a datagram. The order of the fields determines the encoding.
#[derive(Serialize, Deserialize)]
struct Envelope<'a> {
    from: MemberId,
    counter: u64,
    sent_ms: u64,
    #[serde(borrow)]
    body: Body<'a>,
}

/// The body of a datagram. The order of variants and fields determines the encoding.
#[derive(Serialize, Deserialize)]
pub(super) enum Body<'a> {
    /// A packet of the membership protocol.
    Swim(&'a [u8]),
    /// A request for reports.
    RequestReports { request_id: u64 },
    /// A part of the response to such a request.
    Reports { request_id: u64, part: u8, reports: Vec<ServerReport> },
    /// Rumors, which are sent without a request.
    Rumors(RumorBatch),
}

impl Peers {
    /// Handles a datagram. Rejected datagrams are counted by reason.
    ///
    /// # Errors
    /// The [`DatagramError`] for which the datagram was rejected.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        self.now = self.now.max(now);
        let result = self.accept_datagram(bytes, effects);
        match result {
            Ok(()) => self.counters.accepted += 1,
            Err(error) => *self.counters.rejected.entry(error).or_default() += 1,
        }
        result
    }

    fn accept_datagram(&mut self, bytes: &[u8], effects: &mut Vec<Effect>) -> Result<(), DatagramError> {
        let plain = self.settings.keys.open(bytes)?;
        let envelope: Envelope =
            postcard::from_bytes(&plain).map_err(|_| DatagramError::Malformed("not an envelope"))?;
        let from = envelope.from;
        if !from.is_valid() {
            return Err(DatagramError::Malformed("a front's name"));
        }
        if from.address == self.own_id.address {
            return Err(DatagramError::Own);
        }
        if envelope.sent_ms.abs_diff(self.now / MS) > MAX_SKEW_MS {
            return Err(DatagramError::Clock);
        }
        self.replay_filter.accept(&from.address, from.epoch, envelope.counter, self.now / MS)?;
        match envelope.body {
            Body::Swim(packet) => self.handle_swim_packet(&from, packet, effects),
            Body::RequestReports { request_id } => self.accept_request(from, request_id, effects),
            Body::Rumors(batch) => self.accept_rumors(batch, effects),
            Body::Reports { request_id, part, reports } => {
                self.accept_reports(from, request_id, part, reports, effects)
            }
        }
    }

    /// Seals a datagram and adds the effect of sending it.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body, effects: &mut Vec<Effect>) {
        self.sent_counter += 1;
        let envelope =
            Envelope { from: self.own_id.clone(), counter: self.sent_counter, sent_ms: self.now / MS, body };
        // Encoding into memory does not fail.
        let plain = postcard::to_allocvec(&envelope).unwrap_or_default();
        let mut nonce = [0; 24];
        self.rng.fill_bytes(&mut nonce);
        let sealed = self.settings.keys.seal(&plain, nonce);
        debug_assert!(sealed.len() <= MAX_DATAGRAM_BYTES, "{} bytes", sealed.len());
        self.counters.sent_datagrams += 1;
        self.counters.sent_bytes += sealed.len() as u64;
        effects.push(Effect::Send(to, sealed));
    }
}
