//! One locate: a query to all sites that may have a matching record, and the answer merged from their responses. Sites
//! that their summary rules out are not queried; sites that did not respond are named in the answer.

use crate::catalogue::{Catalogue, SiteVerdict};
use crate::error::LocateError;
use crate::{Nanos, Safeguards};
use lilacpitch_location::{Key, LocationRecord, Page, Query};
use std::collections::BTreeMap;

/// Most records of one answer.
pub const MAX_LIMIT: usize = 1_000;

/// What became of a site in a locate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SiteOutcome {
    /// Its summary rules it out.
    RuledOut {
        /// The incarnation of the process whose versions these are.
        incarnation: u64,
        /// The version.
        total: u64,
        /// When it was requested, by this process's steady clock.
        as_of_ns: Nanos,
    },
    /// It was queried, and responded.
    Queried {
        /// The process that responded.
        process: String,
        /// How many records it found.
        records: usize,
    },
    /// It could not be queried, or did not respond.
    Unreachable(LocateError),
}

/// An answer: what was found, and what it rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateAnswer {
    /// The records, in the order of keys.
    pub records: Vec<LocationRecord>,
    /// What became of each site.
    pub sites: BTreeMap<String, SiteOutcome>,
    /// Every site has responded or is ruled out.
    pub is_complete: bool,
    /// There is more after this key.
    pub cursor: Option<Key>,
    /// It came from the cache.
    pub is_cached: bool,
}

impl LocateAnswer {
    /// The newest record: two sites may hold a number, and the later one is where it is.
    pub fn newest(&self) -> Option<&LocationRecord> {
        self.records.iter().max_by_key(|record| (record.since_ms, &record.key))
    }
}

/// A locate in progress.
#[derive(Debug)]
pub struct Locate {
    /// The query.
    pub query: Query,
    /// Only records behind this key.
    pub after: Option<Key>,
    limit: usize,
    safeguards: Safeguards,
    sites: BTreeMap<String, Option<SiteOutcome>>,
    pages: Vec<Page>,
    /// Everything that goes into the answer was read at this moment or later.
    read_from_ns: Nanos,
}

impl Locate {
    /// Begins a locate; [`Locate::pending_sites`] are to be queried. `limit` is the number of records wanted, up to
    /// [`MAX_LIMIT`].
    pub fn begin(
        now: Nanos,
        query: Query,
        after: Option<Key>,
        limit: usize,
        catalogue: &Catalogue,
        safeguards: Safeguards,
    ) -> Self {
        let mut read_from_ns = now;
        let mut sites = BTreeMap::new();
        for (site, verdict) in catalogue.candidates(now, &query) {
            let outcome = match verdict {
                SiteVerdict::RuledOut { incarnation, total, as_of_ns } => {
                    read_from_ns = read_from_ns.min(as_of_ns);
                    Some(SiteOutcome::RuledOut { incarnation, total, as_of_ns })
                }
                SiteVerdict::MayContain | SiteVerdict::Unknown => None,
            };
            sites.insert(site.to_string(), outcome);
        }
        let limit = limit.clamp(1, MAX_LIMIT);
        Locate { query, after, limit, safeguards, sites, pages: Vec::new(), read_from_ns }
    }

    /// Most records of the answer.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The sites that have not responded.
    pub fn pending_sites(&self) -> impl Iterator<Item = &str> {
        self.sites.iter().filter(|(_, outcome)| outcome.is_none()).map(|(site, _)| site.as_str())
    }

    /// Records a site's response, with the name of the process, or why there is none. Duplicate and late responses change
    /// nothing.
    pub fn record_response(&mut self, site: &str, outcome: Result<(Page, String), LocateError>) {
        let Some(site_outcome) = self.sites.get_mut(site).filter(|outcome| outcome.is_none()) else { return };
        *site_outcome = Some(match outcome {
            Ok((page, process)) => {
                let records = page.records.len();
                self.pages.push(page);
                SiteOutcome::Queried { process, records }
            }
            Err(error) => SiteOutcome::Unreachable(error),
        });
    }

    /// Everything in the answer was read at this moment or later: for [`crate::cache::Cache::fill`].
    pub fn read_from_ns(&self) -> Nanos {
        self.read_from_ns
    }

    /// The answer by now: sites that have not responded were not reached in time.
    pub fn into_answer(self) -> LocateAnswer {
        let timed_out = || SiteOutcome::Unreachable(LocateError::Late);
        let mut sites: BTreeMap<String, SiteOutcome> =
            self.sites.into_iter().map(|(site, outcome)| (site, outcome.unwrap_or_else(timed_out))).collect();
        if !self.safeguards.unreached_sites {
            sites.retain(|_, outcome| !matches!(outcome, SiteOutcome::Unreachable(_)));
        }
        let is_complete = !sites.values().any(|outcome| matches!(outcome, SiteOutcome::Unreachable(_)));
        // Behind the first cursor of any site, records of that site are missing.
        let first_cut = self.pages.iter().filter_map(|page| page.cursor.clone()).min();
        let mut records: Vec<LocationRecord> = self.pages.into_iter().flat_map(|page| page.records).collect();
        records.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        records.dedup_by(|a, b| a.key == b.key);
        if let Some(first_cut) = &first_cut {
            records.retain(|record| record.key <= *first_cut);
        }
        let exceeds_limit = records.len() > self.limit;
        records.truncate(self.limit);
        let cursor =
            records.last().map(|record| record.key.clone()).filter(|_| exceeds_limit || first_cut.is_some());
        LocateAnswer { records, sites, is_complete, cursor, is_cached: false }
    }
}
