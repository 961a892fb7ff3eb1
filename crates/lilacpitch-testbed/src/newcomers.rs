//! Service of fronts in their first minute after a restart, compared with that of fronts that have run for a
//! while: on the same days without gossip, with gossip, with all gossip lost, and with a peer that sends
//! false reports.

use crate::day::{Day, Trouble, TroubleKind};
use crate::record::{Record, Seen};
use crate::report::report;
use crate::simulated_run::simulate_day;
use crate::simulation::server::FaultSelector;
use lilacpitch::interface::Nanos;
use lilacpitch_config::ConfigError;
use lilacpitch_edge::core::Safeguards;
use std::fmt;

/// Time after its start in which a front counts as new.
const NEW_NS: Nanos = 60_000_000_000;

/// The state of the gossip among fronts on a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipMode {
    /// Fronts do not gossip.
    None,
    /// Gossip works.
    Sound,
    /// All datagrams are lost.
    Lost,
    /// A peer that new fronts send requests to first reports that all servers are silent.
    Confused,
}

impl GossipMode {
    /// All modes.
    pub const ALL: [GossipMode; 4] =
        [GossipMode::None, GossipMode::Sound, GossipMode::Lost, GossipMode::Confused];
}

/// Service of new fronts, and of the others over the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NewcomerService {
    /// Service of fronts in their first minute after a restart.
    pub new: f64,
    /// Service of fronts that are not restarted.
    pub warm: f64,
    /// Violations of the call rules.
    pub violations: usize,
}

/// Runs a day that has restarts with this many seeds, and returns the means.
pub fn newcomer_service(day: &Day, gossip: GossipMode, seeds: u64) -> Result<NewcomerService, ConfigError> {
    let mut day = Day { peers: gossip != GossipMode::None, ..day.clone() };
    match gossip {
        GossipMode::Lost => day.peer_loss = 100,
        GossipMode::Confused => day.troubles.push(Trouble {
            kind: TroubleKind::PeersConfused,
            at_ns: 0,
            for_ns: 0,
            size: 1.0,
            servers: Vec::new(),
            edges: vec![0],
            wait_ns: 0,
            by: FaultSelector::Setup,
            first: 0,
        }),
        GossipMode::None | GossipMode::Sound => {}
    }
    let script = day.script();
    let starts: Vec<(Nanos, usize)> = script.restarts.iter().map(|(_, up, edge)| (*up, *edge)).collect();
    let mut sum = NewcomerService { new: 0.0, warm: 0.0, violations: 0 };
    for _ in 0..seeds {
        let result = simulate_day(&day, Safeguards::default())?;
        let is_within = |at: Nanos, start: Nanos| (start..start + NEW_NS).contains(&at);
        let is_new =
            |edge: usize, at: Nanos| starts.iter().any(|(start, e)| *e == edge && is_within(at, *start));
        let is_warm = |edge: usize, at: Nanos| {
            starts.iter().all(|(_, e)| *e != edge) && starts.iter().any(|(start, _)| is_within(at, *start))
        };
        sum.new += service(&day, &result.records, is_new);
        sum.warm += service(&day, &result.records, is_warm);
        sum.violations += result.violations.len();
        day.seed += 1;
    }
    let count = seeds.max(1) as f64;
    Ok(NewcomerService { new: sum.new / count, warm: sum.warm / count, ..sum })
}

/// Service of the calls whose first try is selected by front and time.
fn service(day: &Day, records: &[Record], is_selected: impl Fn(usize, Nanos) -> bool) -> f64 {
    let is_kept = |record: &&Record| match &record.seen {
        Seen::Offered { edge, .. } => is_selected(*edge, record.at_ns),
        _ => true,
    };
    let kept: Vec<Record> = records.iter().filter(is_kept).cloned().collect();
    report(day, &kept, 0).service
}

impl fmt::Display for NewcomerService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (new, warm) = (self.new, self.warm);
        write!(f, "first minute of new fronts {new:.3}, warm fronts {warm:.3}, breaches {}", self.violations)
    }
}
