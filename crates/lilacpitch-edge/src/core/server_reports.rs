//! Reports about servers: this edge's own for its peers, and theirs for the controller.
//!
//! The controller knows servers by id and counts nanoseconds; peers know them by name and count milliseconds.

use super::{EdgeCore, NS_PER_MS};
use lilacpitch::interface::{self, Nanos};
use lilacpitch::Event;
use lilacpitch_gossip::server_report::MAX_SETUPS;
use lilacpitch_gossip::ServerReport;
use std::collections::BTreeMap;

impl EdgeCore {
    /// What this edge knows of servers from its own set-ups, the most telling first.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let mut reports: Vec<ServerReport> = self
            .controller
            .server_reports()
            .into_iter()
            .filter_map(|report| self.report_for_peers(&report))
            .collect();
        // What is too old for its field is not sent.
        reports.retain(|report| report.check().is_ok());
        // There may be more than fit into one datagram.
        reports.sort_by_key(|report| {
            (!report.is_unresponsive, report.warming_up_for_ms.is_none(), report.age_ms)
        });
        reports
    }

    fn report_for_peers(&self, report: &interface::ServerReport) -> Option<ServerReport> {
        let ms = |ns: Nanos| u32::try_from(ns / NS_PER_MS).unwrap_or(u32::MAX);
        Some(ServerReport {
            server: self.servers.by_id.get(&report.server)?.name.clone(),
            age_ms: ms(report.age_ns),
            wait_ms: ms(report.wait_ns),
            in_flight: report.in_flight.min(MAX_SETUPS),
            succeeded: report.succeeded.min(MAX_SETUPS),
            is_unresponsive: report.is_unresponsive,
            // A server that has warmed up long ago is of no interest to peers.
            warming_up_for_ms: report
                .warming_up_for_ns
                .filter(|ns| *ns < self.settings.rules.cold_span_ns)
                .map(ms),
            is_draining: report.is_draining,
        })
    }

    /// Hands the controller what peers have lately met, grouped by origin.
    pub(super) fn handle_rumors(&mut self, rumors: Vec<(u64, ServerReport)>) {
        let mut by_origin: BTreeMap<u64, Vec<ServerReport>> = BTreeMap::new();
        for (origin, report) in rumors {
            by_origin.entry(origin).or_default().push(report);
        }
        for (origin, reports) in by_origin {
            self.handle_peer_report(origin, reports);
        }
    }

    /// Hands the controller a peer's reports of servers that this edge's own list names. The peer is known by its
    /// origin, whether it answered a request or sent rumors, so that it counts once.
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
