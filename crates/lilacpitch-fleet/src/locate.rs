//! One question to the sites that could answer it.

use crate::catalogue::{Catalogue, SiteVerdict};
use crate::error::LocateError;
use crate::{Nanos, Safeguards};
use lilacpitch_location::{Key, LocationRecord, Page, Query};
use std::collections::BTreeMap;

/// Most rows of one answer.
pub const MAX_LIMIT: usize = 1_000;

/// What became of a site in a locate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SiteOutcome {
    /// Its summary rules it out.
    RuledOut {
        /// The life of the process whose versions these are.
        incarnation: u64,
        /// The version.
        total: u64,
        /// When it was asked for, by this process's steady clock.
        as_of_ns: Nanos,
    },
    /// It was asked: this process answered with so many rows.
    Queried {
        /// The process.
        process: String,
        /// Its rows.
        records: usize,
    },
    /// It could not be asked.
    Unreachable(LocateError),
}

/// An answer: what was found, and what it rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateAnswer {
    /// The rows: in the order of keys.
    pub records: Vec<LocationRecord>,
    /// What became of each site.
    pub sites: BTreeMap<String, SiteOutcome>,
    /// Every site was asked or ruled out.
    pub is_complete: bool,
    /// There is more after this key.
    pub cursor: Option<Key>,
    /// It came from the cache.
    pub is_cached: bool,
}

impl LocateAnswer {
    /// The newest row: two sites may hold a number, and the later one is where it is.
    pub fn newest(&self) -> Option<&LocationRecord> {
        self.records.iter().max_by_key(|row| (row.since_ms, &row.key))
    }
}

/// A question that is out.
#[derive(Debug)]
pub struct Locate {
    /// What is asked.
    pub query: Query,
    /// From behind this key on.
    pub after: Option<Key>,
    limit: usize,
    guards: Safeguards,
    sites: BTreeMap<String, Option<SiteOutcome>>,
    pages: Vec<Page>,
    /// Everything that goes into the answer was read at this moment or later.
    read_from_ns: Nanos,
}

impl Locate {
    /// Begins a question; [`Locate::open`] tells the sites that are to be asked.
    pub fn begin(
        now: Nanos,
        query: Query,
        after: Option<Key>,
        limit: usize,
        of: &Catalogue,
        guards: Safeguards,
    ) -> Self {
        let mut read_from_ns = now;
        let mut sites = BTreeMap::new();
        for (site, verdict) in of.candidates(now, &query) {
            let said = match verdict {
                SiteVerdict::RuledOut { incarnation, total, as_of_ns } => {
                    read_from_ns = read_from_ns.min(as_of_ns);
                    Some(SiteOutcome::RuledOut { incarnation, total, as_of_ns })
                }
                SiteVerdict::MayContain | SiteVerdict::Unknown => None,
            };
            sites.insert(site.to_string(), said);
        }
        let limit = limit.clamp(1, MAX_LIMIT);
        Locate { query, after, limit, guards, sites, pages: Vec::new(), read_from_ns }
    }

    /// At most so many rows are wanted.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Sites that have not answered.
    pub fn pending_sites(&self) -> impl Iterator<Item = &str> {
        self.sites.iter().filter(|(_, said)| said.is_none()).map(|(site, _)| site.as_str())
    }

    /// A site has answered, or could not be asked. Doubled and late answers change nothing.
    pub fn record_response(&mut self, site: &str, said: Result<(Page, String), LocateError>) {
        let Some(open) = self.sites.get_mut(site).filter(|said| said.is_none()) else { return };
        *open = Some(match said {
            Ok((page, process)) => {
                let rows = page.records.len();
                self.pages.push(page);
                SiteOutcome::Queried { process, records: rows }
            }
            Err(error) => SiteOutcome::Unreachable(error),
        });
    }

    /// The moment from which on all of it was read: for [`crate::cache::Cache::fill`].
    pub fn read_from_ns(&self) -> Nanos {
        self.read_from_ns
    }

    /// The answer as far as it has come: what is open by now was not reached in time.
    pub fn into_answer(self) -> LocateAnswer {
        let late = || SiteOutcome::Unreachable(LocateError::Late);
        let mut sites: BTreeMap<String, SiteOutcome> =
            self.sites.into_iter().map(|(site, said)| (site, said.unwrap_or_else(late))).collect();
        if !self.guards.unreached_sites {
            sites.retain(|_, said| !matches!(said, SiteOutcome::Unreachable(_)));
        }
        let complete = !sites.values().any(|said| matches!(said, SiteOutcome::Unreachable(_)));
        // Past the first cut of any site rows of it are missing.
        let cut = self.pages.iter().filter_map(|page| page.cursor.clone()).min();
        let mut rows: Vec<LocationRecord> = self.pages.into_iter().flat_map(|page| page.records).collect();
        rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        rows.dedup_by(|a, b| a.key == b.key);
        if let Some(cut) = &cut {
            rows.retain(|row| row.key <= *cut);
        }
        let over = rows.len() > self.limit;
        rows.truncate(self.limit);
        let cursor = rows.last().map(|row| row.key.clone()).filter(|_| over || cut.is_some());
        LocateAnswer { records: rows, sites, is_complete: complete, cursor, is_cached: false }
    }
}
