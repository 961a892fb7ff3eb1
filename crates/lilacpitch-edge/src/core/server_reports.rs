//! Reports about servers: this edge's own ones for its peers, and those of peers for the controller.
//!
//! The controller identifies servers by id and uses nanoseconds; peers identify them by name and use
//! milliseconds.

use super::{EdgeCore, NS_PER_MS};
use lilacpitch::interface::{self, Nanos};
use lilacpitch::Event;
use lilacpitch_gossip::server_report::MAX_SETUPS;
use lilacpitch_gossip::ServerReport;
use std::collections::BTreeMap;

impl EdgeCore {
    /// This edge's reports about servers, from its own set-ups: unresponsive servers first, then those that
    /// warm up, then the others, the most recent first.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let mut reports: Vec<ServerReport> = self
            .controller
            .server_reports()
            .into_iter()
            .filter_map(|report| self.report_for_peers(&report))
            .collect();
        // A report whose age exceeds the range of its field is not sent.
        reports.retain(|report| report.check().is_ok());
        // The most important reports come first, as not all may fit into one datagram.
        reports.sort_by_key(|report| {
            (!report.is_unresponsive, report.warming_up_for_ms.is_none(), report.age_ms)
        });
        reports
    }

    fn report_for_peers(&self, report: &interface::ServerReport) -> Option<ServerReport> {
        let to_ms = |ns: Nanos| u32::try_from(ns / NS_PER_MS).unwrap_or(u32::MAX);
        Some(ServerReport {
            server: self.servers.by_id.get(&report.server)?.name.clone(),
            age_ms: to_ms(report.age_ns),
            wait_ms: to_ms(report.wait_ns),
            in_flight: report.in_flight.min(MAX_SETUPS),
            succeeded: report.succeeded.min(MAX_SETUPS),
            is_unresponsive: report.is_unresponsive,
            // Peers need no report of a server that has finished warming up.
            warming_up_for_ms: report
                .warming_up_for_ns
                .filter(|ns| *ns < self.settings.rules.cold_span_ns)
                .map(to_ms),
            is_draining: report.is_draining,
        })
    }

    /// Passes recent reports that peers spread by gossip to the controller, grouped by origin.
    pub(super) fn handle_rumors(&mut self, rumors: Vec<(u64, ServerReport)>) {
        let mut by_origin: BTreeMap<u64, Vec<ServerReport>> = BTreeMap::new();
        for (origin, report) in rumors {
            by_origin.entry(origin).or_default().push(report);
        }
        for (origin, reports) in by_origin {
            self.handle_peer_report(origin, reports);
        }
    }

    /// Passes a peer's reports about servers of this edge's own list to the controller. A peer is identified
    /// by its origin, whether it answered a request or sent rumors, so that it counts once.
    pub(super) fn handle_peer_report(&mut self, origin: u64, reports: Vec<ServerReport>) {
        let server_reports: Vec<interface::ServerReport> =
            reports.iter().filter_map(|report| self.report_for_controller(report)).collect();
        self.counters.peer_reports += server_reports.len() as u64;
        self.pending_events.push_back(Event::PeerReported { peer: origin, server_reports });
    }

    fn report_for_controller(&self, report: &ServerReport) -> Option<interface::ServerReport> {
        Some(interface::ServerReport {
            server: self.servers.id(&report.server)?,
            age_ns: Nanos::from(report.age_ms) * NS_PER_MS,
            wait_ns: Nanos::from(report.wait_ms) * NS_PER_MS,
            in_flight: report.in_flight,
            succeeded: report.succeeded,
            is_unresponsive: report.is_unresponsive,
            warming_up_for_ns: report.warming_up_for_ms.map(|ms| Nanos::from(ms) * NS_PER_MS),
            is_draining: report.is_draining,
        })
    }
}
