//! Exchange of server reports: a front that has just started requests them from a few members, and all fronts
//! spread them as rumors.

use super::datagrams::Body;
use super::{Effect, Peers, Requester, TimerEvent, DATAGRAM_CAPACITY_BYTES, MS};
use crate::member_id::MemberId;
use crate::rumors::RumorBatch;
use crate::sealed_datagram::DatagramError;
use crate::server_report::{ServerReport, MAX_REPORTS, REPORTS_PER_DATAGRAM};
use lilacpitch::interface::Nanos;
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Peers that are sent a request in one round, so many that one with wrong reports is in the minority.
const REQUESTS_PER_ROUND: usize = 3;
/// The delay before the second round of requests; it doubles with each round.
const FIRST_REQUEST_DELAY_NS: Nanos = 300 * MS;
/// Time after the start at which requests end: the front has observations of its own by then.
const REQUEST_DURATION_NS: Nanos = 20_000 * MS;
/// Number of peers after whose responses requests end.
const ENOUGH_RESPONSES: usize = 3;
/// Most requests answered per second, and in one burst: fronts that start together must not overload their
/// peers.
const MAX_ANSWERS_PER_S: u64 = 20;
/// Nanoseconds in a second. Also the tokens that one answer takes from the budget, which gains
/// [`MAX_ANSWERS_PER_S`] tokens in each nanosecond.
const NS_PER_S: u64 = 1_000_000_000;
/// Random members that each batch of rumors is sent to.
const RUMOR_RECEIVERS: usize = 3;

/// State of this front's requests for reports.
#[derive(Debug)]
pub(super) struct ReportRequests {
    /// Id of the requests; 0 before the first.
    id: u64,
    /// The parts of the response that each peer has sent so far.
    received_parts: BTreeMap<MemberId, BTreeSet<u8>>,
    /// The delay before the next round.
    delay_ns: Nanos,
}

impl Default for ReportRequests {
    fn default() -> Self {
        ReportRequests { id: 0, received_parts: BTreeMap::new(), delay_ns: FIRST_REQUEST_DELAY_NS }
    }
}

/// A token bucket that limits the rate of answers.
#[derive(Debug)]
pub(super) struct AnswerBudget {
    /// Answers allowed now, in billionths of an answer.
    tokens: u64,
    refilled_ns: Nanos,
}

impl AnswerBudget {
    pub(super) fn new(now: Nanos) -> Self {
        AnswerBudget { tokens: MAX_ANSWERS_PER_S * NS_PER_S, refilled_ns: now }
    }

    fn try_take(&mut self, now: Nanos) -> bool {
        let gained = now.saturating_sub(self.refilled_ns).saturating_mul(MAX_ANSWERS_PER_S);
        self.tokens = self.tokens.saturating_add(gained).min(MAX_ANSWERS_PER_S * NS_PER_S);
        self.refilled_ns = now;
        if self.tokens < NS_PER_S {
            return false;
        }
        self.tokens -= NS_PER_S;
        true
    }
}

impl Peers {
    /// Sends rumors to a few random members: this front's recent observations of servers and those it has
    /// received from others.
    pub fn publish_reports(&mut self, now: Nanos, reports: &[ServerReport], effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let (now, origin) = (self.now, self.own_id.origin());
        for report in reports {
            self.rumor_board.record_report(now, origin, report);
        }
        let mut members = self.member_addresses();
        if members.is_empty() {
            return;
        }
        let batch = self.rumor_board.next_batch(now, DATAGRAM_CAPACITY_BYTES);
        if batch.is_empty() {
            return;
        }
        for _ in 0..RUMOR_RECEIVERS.min(members.len()) {
            let to = members.swap_remove(self.rng.random_range(0..members.len()));
            self.counters.rumor_batches_sent += 1;
            self.send(to, Body::Rumors(batch.clone()), effects);
        }
    }

    /// Answers a peer's request. `reports` are in order of importance, the most important first.
    pub fn answer_request(
        &mut self,
        now: Nanos,
        requester: Requester,
        reports: Vec<ServerReport>,
        effects: &mut Vec<Effect>,
    ) {
        self.now = self.now.max(now);
        self.counters.requests_answered += 1;
        let reports = &reports[..reports.len().min(MAX_REPORTS)];
        for (part, reports) in reports.chunks(REPORTS_PER_DATAGRAM).enumerate() {
            let (request_id, reports) = (requester.request_id, reports.to_vec());
            let body = Body::Reports { request_id, part: part as u8, reports };
            self.send(requester.peer.address, body, effects);
        }
    }

    /// Requests reports from a few random peers that have not responded yet. They are members, or seeds while
    /// there are no members.
    pub(super) fn request_reports(&mut self, effects: &mut Vec<Effect>) {
        let has_enough = self.report_requests.received_parts.len() >= ENOUGH_RESPONSES;
        if has_enough || self.now > self.started_ns + REQUEST_DURATION_NS {
            return;
        }
        if self.report_requests.id == 0 {
            self.report_requests.id = self.rng.next_u64() | 1;
        }
        let members: Vec<SocketAddr> = self.members().iter().map(|member| member.address).collect();
        let mut candidates = if members.is_empty() { self.seeds() } else { members };
        let received_parts = &self.report_requests.received_parts;
        candidates.retain(|address| !received_parts.keys().any(|peer| peer.address == *address));
        for _ in 0..REQUESTS_PER_ROUND.min(candidates.len()) {
            let to = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            self.counters.requests_sent += 1;
            self.send(to, Body::RequestReports { request_id: self.report_requests.id }, effects);
        }
        // Half of the delay is random, so that fronts that start together don't send requests simultaneously.
        let delay_ns = self.report_requests.delay_ns;
        let jittered_ns = delay_ns / 2 + self.rng.random_range(0..=delay_ns / 2);
        self.report_requests.delay_ns = delay_ns.saturating_mul(2);
        self.schedule(jittered_ns, TimerEvent::RequestReports);
    }

    pub(super) fn accept_request(
        &mut self,
        from: MemberId,
        request_id: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        if !self.answer_budget.try_take(self.now) {
            return Err(DatagramError::TooOften);
        }
        effects.push(Effect::ReportsRequested(Requester { peer: from, request_id }));
        Ok(())
    }

    pub(super) fn accept_rumors(
        &mut self,
        batch: RumorBatch,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let (now, origin) = (self.now, self.own_id.origin());
        let new_rumors = self.rumor_board.receive(now, origin, batch)?;
        self.counters.new_rumors += new_rumors.len() as u64;
        if !new_rumors.is_empty() {
            effects.push(Effect::RumorsReceived(new_rumors));
        }
        Ok(())
    }

    pub(super) fn accept_reports(
        &mut self,
        from: MemberId,
        request_id: u64,
        part: u8,
        reports: Vec<ServerReport>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let is_part = usize::from(part) < MAX_REPORTS / REPORTS_PER_DATAGRAM;
        if request_id != self.report_requests.id || !is_part {
            return Err(DatagramError::Unsolicited);
        }
        if reports.len() > REPORTS_PER_DATAGRAM {
            return Err(DatagramError::Malformed("too many reports"));
        }
        reports.iter().try_for_each(ServerReport::check)?;
        // Each part is accepted once from each peer, so that a peer that repeats itself doesn't count more.
        if !self.report_requests.received_parts.entry(from.clone()).or_default().insert(part) {
            return Err(DatagramError::Unsolicited);
        }
        self.counters.responses_accepted += 1;
        effects.push(Effect::ReportsReceived(from, reports));
        Ok(())
    }
}
