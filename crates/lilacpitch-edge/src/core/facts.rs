//! Facts about servers, between the module's ids and the names that other fronts know.

use super::EdgeCore;
use lilacpitch::interface::{self, Nanos};
use lilacpitch::Event;
use lilacpitch_gossip::server_report::MAX_SETUPS;
use lilacpitch_gossip::ServerReport;
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;

impl EdgeCore {
    /// What this front knows of servers from its own set-ups.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let ms = |ns: Nanos| u32::try_from(ns / MS).unwrap_or(u32::MAX);
        let named = |fact: interface::ServerReport| {
            Some(ServerReport {
                server: self.servers.rows.get(&fact.server)?.name.clone(),
                age_ms: ms(fact.age_ns),
                wait_ms: ms(fact.wait_ns),
                in_flight: fact.in_flight.min(MAX_SETUPS),
                succeeded: fact.succeeded.min(MAX_SETUPS),
                is_unresponsive: fact.is_unresponsive,
                // Warm for long is of no use to anybody.
                warming_up_for_ms: fact
                    .warming_up_for_ns
                    .filter(|ns| *ns < self.settings.rules.cold_span_ns)
                    .map(ms),
                is_draining: fact.is_draining,
            })
        };
        let mut facts: Vec<ServerReport> =
            self.brain.server_reports().into_iter().filter_map(named).collect();
        // Past an hour a fact is none.
        facts.retain(|fact| fact.check().is_ok());
        // The most telling first, should there be more than are told.
        facts.sort_by_key(|fact| (!fact.is_unresponsive, fact.warming_up_for_ms.is_none(), fact.age_ms));
        facts
    }

    /// Hands the module what fronts have lately met: each origin by itself, all of it at once.
    pub(super) fn on_heard(&mut self, heard: Vec<(u64, ServerReport)>) {
        let mut by_origin: BTreeMap<u64, Vec<ServerReport>> = BTreeMap::new();
        heard.into_iter().for_each(|(origin, fact)| by_origin.entry(origin).or_default().push(fact));
        by_origin.into_iter().for_each(|(origin, facts)| self.on_told(origin, facts));
    }

    /// Hands the module what another front told, of servers that this front's own list names. Its origin is its
    /// number there: whether it answered or sent news, it has one voice, and no table of fronts fills up.
    pub(super) fn on_told(&mut self, origin: u64, facts: Vec<ServerReport>) {
        let known = |fact: ServerReport| {
            let server = self.servers.known(&fact.server)?;
            Some(interface::ServerReport {
                server,
                age_ns: Nanos::from(fact.age_ms) * MS,
                wait_ns: Nanos::from(fact.wait_ms) * MS,
                in_flight: fact.in_flight,
                succeeded: fact.succeeded,
                is_unresponsive: fact.is_unresponsive,
                warming_up_for_ns: fact.warming_up_for_ms.map(|ms| Nanos::from(ms) * MS),
                is_draining: fact.is_draining,
            })
        };
        let facts: Vec<interface::ServerReport> = facts.into_iter().filter_map(known).collect();
        self.counters.facts_told += facts.len() as u64;
        self.follow.push_back(Event::PeerReported { peer: origin, server_reports: facts });
    }
}
