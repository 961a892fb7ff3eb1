//! How a front that starts anew does in its first minute, beside the warm ones: alone, with peers, with all their
//! messages lost, and with one of them confused; on the same days.

use crate::day::{Day, Kind, Trouble};
use crate::record::{Record, Seen};
use crate::report::report;
use crate::simulated_run::play;
use crate::simulation::server::By;
use lilacpitch::interface::Nanos;
use lilacpitch_config::ConfigError;
use lilacpitch_edge::core::Safeguards;
use std::fmt;

/// What counts as a front's beginning.
const FIRST_NS: Nanos = 60_000_000_000;

/// How fronts know each other on a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Talk {
    /// They don't.
    None,
    /// They do.
    Sound,
    /// All messages are lost.
    Lost,
    /// One of the peers that are asked first tells nonsense.
    Confused,
}

impl Talk {
    /// All of them.
    pub const ALL: [Talk; 4] = [Talk::None, Talk::Sound, Talk::Lost, Talk::Confused];
}

/// Service over the same span of the fronts that started anew, and of all others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Beginning {
    /// Of those that started anew.
    pub new: f64,
    /// Of the others.
    pub warm: f64,
    /// Rules broken on the day.
    pub breaches: usize,
}

/// Plays a day with its restarts, for so many seeds, and takes the means.
pub fn beginnings(day: &Day, talk: Talk, seeds: u64) -> Result<Beginning, ConfigError> {
    let mut day = Day { peers: talk != Talk::None, ..day.clone() };
    match talk {
        Talk::Lost => day.peer_loss = 100,
        Talk::Confused => {
            let (kind, at_ns, for_ns, size) = (Kind::PeersConfused, 0, 0, 1.0);
            let (servers, edges, wait_ns, by, first) = (Vec::new(), vec![0], 0, By::Setup, 0);
            day.troubles.push(Trouble { kind, at_ns, for_ns, size, servers, edges, wait_ns, by, first });
        }
        Talk::None | Talk::Sound => {}
    }
    let script = day.script();
    let starts: Vec<(Nanos, usize)> = script.restart.iter().map(|(_, to, edge)| (*to, *edge)).collect();
    let mut sum = Beginning { new: 0.0, warm: 0.0, breaches: 0 };
    for _ in 0..seeds {
        let played = play(&day, Safeguards::default())?;
        let in_first = |at: Nanos, from: Nanos| (from..from + FIRST_NS).contains(&at);
        let new = |edge: usize, at: Nanos| starts.iter().any(|(from, e)| *e == edge && in_first(at, *from));
        let warm = |edge: usize, at: Nanos| {
            starts.iter().all(|(_, e)| *e != edge) && starts.iter().any(|(from, _)| in_first(at, *from))
        };
        sum.new += service(&day, &played.records, new);
        sum.warm += service(&day, &played.records, warm);
        sum.breaches += played.breaches.len();
        day.seed += 1;
    }
    let count = seeds.max(1) as f64;
    Ok(Beginning { new: sum.new / count, warm: sum.warm / count, ..sum })
}

/// Service of the calls that were first offered to some fronts at some times.
fn service(day: &Day, records: &[Record], counts: impl Fn(usize, Nanos) -> bool) -> f64 {
    let keep = |record: &&Record| match &record.seen {
        Seen::Offered { edge, .. } => counts(*edge, record.at_ns),
        _ => true,
    };
    let kept: Vec<Record> = records.iter().filter(keep).cloned().collect();
    report(day, &kept, 0).service
}

impl fmt::Display for Beginning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (new, warm) = (self.new, self.warm);
        write!(f, "first minute of new fronts {new:.3}, warm fronts {warm:.3}, breaches {}", self.breaches)
    }
}
