//! News that spreads: what fronts met at servers in the last seconds, passed on from front to front.
//!
//! A question and its answers suit a front that starts. Fronts with few calls each need what all of them see while
//! it is fresh, so each tells a few others drawn anew several times a second, and passes on what it heard: an
//! epidemic (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987). A voice keeps its
//! origin and ages on its way, the newest of an origin replaces what it said before, and no more than the newest few
//! voices of a server are kept or passed on: what one datagram holds does not grow with the number of fronts.

use crate::sealed_datagram::DatagramError;
use crate::server_report::ServerReport;
use lilacpitch::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// Voices of one server that are kept and passed on, the newest.
pub const MAX_RUMORS_PER_SERVER: usize = 24;
/// Servers of which news is kept.
pub const MAX_SERVERS: usize = 256;
/// News older than this is none.
pub const RUMOR_LIFETIME_NS: Nanos = 3_000 * MS;
/// A voice replaces one of its origin that is older by more than this: longer than its ways.
const NEWER_NS: Nanos = 20 * MS;
/// Rounds in which a front passes a voice on, each time to a few drawn anew: it reaches nearly all of them.
const ROUNDS: u8 = 2;
/// What the number of servers in a sheet takes at most.
const COUNT_BYTES: usize = 2;

/// What one front says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The front it comes from, by a number drawn from its address and life.
    pub origin: u64,
    /// How old its evidence is, in milliseconds.
    pub age_ms: u32,
    /// The wait it expects there, in milliseconds.
    pub wait_ms: u32,
    /// Its set-ups unanswered there.
    pub in_flight: u32,
    /// Those that stood there within the window.
    pub succeeded: u32,
    /// It takes the server to be silent.
    pub is_unresponsive: bool,
    /// Since when the server is cold, in milliseconds ago.
    pub warming_up_for_ms: Option<u32>,
}

/// News as it crosses the wire: by server.
pub type RumorBatch = Vec<(String, Vec<Rumor>)>;

/// A voice on the board.
#[derive(Debug)]
struct StoredRumor {
    as_of: Nanos,
    rumor: Rumor,
    /// The rounds in which it was passed on.
    rounds: u8,
}

/// One front's board of news.
#[derive(Debug, Default)]
pub struct RumorBoard {
    /// By server and origin.
    rumors: BTreeMap<String, BTreeMap<u64, StoredRumor>>,
    /// The server at which the next sheet begins, so that all get their turn.
    next: String,
}

impl RumorBoard {
    /// Takes a sheet that another front sent, and returns what is new in it. `own`: this front's origin, whose voice
    /// it does not hear from others.
    pub fn receive(
        &mut self,
        now: Nanos,
        own: u64,
        sheet: RumorBatch,
    ) -> Result<Vec<(u64, ServerReport)>, DatagramError> {
        if sheet.len() > MAX_SERVERS || sheet.iter().any(|(_, voices)| voices.len() > MAX_RUMORS_PER_SERVER) {
            return Err(DatagramError::Malformed("too much news"));
        }
        let facts: Vec<(u64, ServerReport)> = sheet
            .into_iter()
            .flat_map(|(server, voices)| voices.into_iter().map(move |v| (v.origin, v.to_report(&server))))
            .collect();
        facts.iter().try_for_each(|(_, fact)| fact.check())?;
        let fresh =
            |(origin, fact): &(u64, ServerReport)| *origin != own && self.record_report(now, *origin, fact);
        Ok(facts.into_iter().filter(fresh).collect())
    }

    /// Enters what a front knows; whether it was news.
    pub fn record_report(&mut self, now: Nanos, origin: u64, fact: &ServerReport) -> bool {
        let as_of = now.saturating_sub(Nanos::from(fact.age_ms) * MS);
        if now - as_of > RUMOR_LIFETIME_NS {
            return false;
        }
        if !self.rumors.contains_key(&fact.server) && self.rumors.len() >= MAX_SERVERS {
            return false;
        }
        let of_server = self.rumors.entry(fact.server.clone()).or_default();
        // Its way is not counted into its age: a voice must not seem newer each time it comes round.
        if of_server.get(&origin).is_some_and(|known| as_of <= known.as_of + NEWER_NS) {
            return false;
        }
        let ServerReport {
            age_ms, wait_ms, in_flight, succeeded, is_unresponsive, warming_up_for_ms, ..
        } = *fact;
        let voice = Rumor {
            origin,
            age_ms,
            wait_ms,
            in_flight: in_flight,
            succeeded: succeeded,
            is_unresponsive: is_unresponsive,
            warming_up_for_ms: warming_up_for_ms,
        };
        of_server.insert(origin, StoredRumor { as_of, rumor: voice, rounds: 0 });
        if of_server.len() > MAX_RUMORS_PER_SERVER {
            let oldest = of_server.iter().min_by_key(|(_, kept)| kept.as_of).map(|(origin, _)| *origin);
            oldest.map(|oldest| of_server.remove(&oldest));
            return oldest != Some(origin);
        }
        true
    }

    /// A sheet of at most so many bytes, from the server on whose turn it is.
    pub fn next_batch(&mut self, now: Nanos, room_bytes: usize) -> RumorBatch {
        self.rumors.retain(|_, voices| {
            voices.retain(|_, kept| now.saturating_sub(kept.as_of) <= RUMOR_LIFETIME_NS);
            !voices.is_empty()
        });
        let names: Vec<String> = self.rumors.keys().cloned().collect();
        let from = names.iter().position(|name| *name >= self.next).unwrap_or(0);
        let (mut sheet, mut left) = (RumorBatch::new(), room_bytes.saturating_sub(COUNT_BYTES));
        for name in names.iter().cycle().skip(from).take(names.len()) {
            let of_server = self.rumors.get_mut(name).into_iter().flat_map(BTreeMap::values_mut);
            let voices: Vec<&mut StoredRumor> = of_server.filter(|kept| kept.rounds < ROUNDS).collect();
            if voices.is_empty() {
                continue;
            }
            let entry = (name.clone(), voices.iter().map(|kept| kept.aged(now)).collect());
            // By what it takes, not by its longest form: news of ten servers waited for datagrams half empty.
            let takes = postcard::experimental::serialized_size(&entry).ok();
            let Some(rest) = takes.and_then(|takes| left.checked_sub(takes)) else {
                self.next.clone_from(name);
                return sheet;
            };
            left = rest;
            voices.into_iter().for_each(|kept| kept.rounds += 1);
            sheet.push(entry);
        }
        sheet
    }
}

impl StoredRumor {
    fn aged(&self, now: Nanos) -> Rumor {
        let age = now.saturating_sub(self.as_of).div_ceil(MS);
        Rumor { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..self.rumor }
    }
}

impl Rumor {
    fn to_report(&self, server: &str) -> ServerReport {
        let Rumor { age_ms, wait_ms, in_flight, succeeded, is_unresponsive, warming_up_for_ms, .. } = *self;
        let server = server.to_string();
        ServerReport {
            server,
            age_ms,
            wait_ms,
            in_flight,
            succeeded,
            is_unresponsive,
            warming_up_for_ms,
            is_draining: false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fact(server: &str, age_ms: u32, wait_ms: u32) -> ServerReport {
        ServerReport {
            server: server.into(),
            age_ms,
            wait_ms,
            in_flight: 0,
            succeeded: 0,
            is_unresponsive: false,
            warming_up_for_ms: None,
            is_draining: false,
        }
    }

    const NOW: Nanos = 1_700_000_000_000_000_000;

    #[test]
    fn a_voice_is_news_once_however_often_it_comes_round() {
        let (mut one, mut two) = (RumorBoard::default(), RumorBoard::default());
        assert!(one.record_report(NOW, 1, &fact("r1", 10, 700)));
        let heard = two.receive(NOW + 5 * MS, 2, one.next_batch(NOW + 3 * MS, 1_000)).unwrap();
        assert_eq!(heard.len(), 1);
        assert_eq!((heard[0].0, heard[0].1.wait_ms), (1, 700));
        // Back at its origin, and to the other again: nobody hears it as new, and its age only grows.
        assert_eq!(one.receive(NOW + 9 * MS, 1, two.next_batch(NOW + 7 * MS, 1_000)).unwrap(), vec![]);
        assert_eq!(two.receive(NOW + 900 * MS, 2, one.next_batch(NOW + 890 * MS, 1_000)).unwrap(), vec![]);
        assert!(two.next_batch(NOW + 900 * MS, 1_000)[0].1[0].age_ms >= 905);
        assert!(two.next_batch(NOW + 901 * MS, 1_000).is_empty(), "passed on in two rounds, no more");
        assert!(one.record_report(NOW + 3_000 * MS, 1, &fact("r1", 0, 700)));
        assert!(one.next_batch(NOW + 6_001 * MS, 1_000).is_empty(), "old news is none");
    }

    #[test]
    fn what_a_front_has_out_goes_with_its_voice() {
        let (mut one, mut two) = (RumorBoard::default(), RumorBoard::default());
        assert!(one.record_report(NOW, 1, &ServerReport { in_flight: 3, ..fact("r1", 0, 20) }));
        let heard = two.receive(NOW + 5 * MS, 2, one.next_batch(NOW + 3 * MS, 1_000)).unwrap();
        assert_eq!(heard[0].1.in_flight, 3);
        // Answered 40 ms later: news again, though it is so soon.
        assert!(one.record_report(NOW + 40 * MS, 1, &fact("r1", 0, 20)));
        let heard = two.receive(NOW + 45 * MS, 2, one.next_batch(NOW + 43 * MS, 1_000)).unwrap();
        assert_eq!(heard.iter().map(|(_, fact)| fact.in_flight).collect::<Vec<_>>(), [0]);
        let many = Rumor {
            origin: 9,
            age_ms: 0,
            wait_ms: 0,
            in_flight: u32::MAX,
            succeeded: 0,
            is_unresponsive: false,
            warming_up_for_ms: None,
        };
        assert!(two.receive(NOW, 2, vec![("r1".to_string(), vec![many])]).is_err(), "no front has so many");
    }

    #[test]
    fn only_the_newest_few_voices_are_kept_and_sheets_keep_to_their_room() {
        let mut board = RumorBoard::default();
        for origin in 0..50 {
            for server in 0..40 {
                board.record_report(NOW, origin, &fact(&format!("server-{server}"), 50 - origin as u32, 1));
            }
        }
        let mut told = BTreeMap::new();
        for _ in 0..200 {
            let sheet = board.next_batch(NOW, 1_000);
            if sheet.is_empty() {
                break;
            }
            let bytes = postcard::to_allocvec(&sheet).unwrap().len();
            assert!((100..=1_000).contains(&bytes), "{bytes}");
            for (server, voices) in sheet {
                assert_eq!(voices.iter().map(|v| v.origin).collect::<Vec<_>>(), (26..50).collect::<Vec<_>>());
                *told.entry(server).or_insert(0) += 1;
            }
        }
        assert!(told.values().all(|rounds| *rounds == ROUNDS), "{told:?}");
        assert_eq!(told.len(), 40, "each server has its turn");
    }

    #[test]
    fn too_much_and_impossible_news_is_refused_whole() {
        let voice = Rumor {
            origin: 9,
            age_ms: 0,
            wait_ms: 0,
            in_flight: 0,
            succeeded: 0,
            is_unresponsive: false,
            warming_up_for_ms: None,
        };
        let mut board = RumorBoard::default();
        let many = vec![("r1".to_string(), vec![voice; MAX_RUMORS_PER_SERVER + 1])];
        assert_eq!(board.receive(NOW, 1, many), Err(DatagramError::Malformed("too much news")));
        let bad = vec![("r1".to_string(), vec![voice]), ("a b".to_string(), vec![voice])];
        assert_eq!(board.receive(NOW, 1, bad), Err(DatagramError::Malformed("a server's name")));
        let long = Rumor { wait_ms: u32::MAX, ..voice };
        assert!(board.receive(NOW, 1, vec![("r1".to_string(), vec![long])]).is_err());
        assert!(board.next_batch(NOW, 1_000).is_empty(), "nothing of it was taken");
    }
}
