//! One locate: a query to all sites that may have a matching record, and the answer that is merged from their
//! responses. A site that is ruled out by its summary is not queried. The answer names the sites that did not
//! respond.

use crate::catalogue::{Catalogue, SiteVerdict};
use crate::error::LocateError;
use crate::{Nanos, Safeguards};
use lilacpitch_location::{Key, LocationRecord, Page, Query};
use std::collections::BTreeMap;

/// Most records of one answer.
pub const MAX_LIMIT: usize = 1_000;

/// The outcome of a locate at one site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SiteOutcome {
    /// The site's summary shows that it has no matching record.
    RuledOut {
        /// The incarnation of the process that numbered the summary's versions.
        incarnation: u64,
        /// The version of the summary: the sum of the versions of all shards.
        total: u64,
        /// The time as of which the summary is valid, by this process's steady clock.
        as_of_ns: Nanos,
    },
    /// The site responded to the query.
    Queried {
        /// The name of the process that responded.
        process: String,
        /// The number of records that it found.
        records: usize,
    },
    /// The site could not be queried, rejected the query, or did not respond in time.
    Unreachable(LocateError),
}

/// The answer of a locate: the records found, and the outcome at each site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocateAnswer {
    /// The records found, in key order.
    pub records: Vec<LocationRecord>,
    /// The outcome at each site, by name.
    pub sites: BTreeMap<String, SiteOutcome>,
    /// Whether every site has responded or is ruled out.
    pub is_complete: bool,
    /// The key after which there are more records; `None`: there are no more.
    pub cursor: Option<Key>,
    /// Whether the answer came from the cache.
    pub is_cached: bool,
}

impl LocateAnswer {
    /// The newest record. If two sites have a record of the number, the later one is valid.
    pub fn newest(&self) -> Option<&LocationRecord> {
        self.records.iter().max_by_key(|record| (record.since_ms, &record.key))
    }
}

/// A locate in progress.
#[derive(Debug)]
pub struct Locate {
    /// The query.
    pub query: Query,
    /// Only records after this key are wanted.
    pub after: Option<Key>,
    limit: usize,
    safeguards: Safeguards,
    sites: BTreeMap<String, Option<SiteOutcome>>,
    pages: Vec<Page>,
    /// Everything in the answer was read at this time or later.
    read_from_ns: Nanos,
}

impl Locate {
    /// Begins a locate; the caller then queries [`Locate::pending_sites`]. `limit` is the number of records
    /// wanted, up to [`MAX_LIMIT`].
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

    /// The maximum number of records in the answer.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The sites that have yet to respond.
    pub fn pending_sites(&self) -> impl Iterator<Item = &str> {
        self.sites.iter().filter(|(_, outcome)| outcome.is_none()).map(|(site, _)| site.as_str())
    }

    /// Records a site's response: a page of records with the name of the process, or the error. Duplicate and
    /// late responses are ignored.
    pub fn record_response(&mut self, site: &str, response: Result<(Page, String), LocateError>) {
        let Some(site_outcome) = self.sites.get_mut(site).filter(|outcome| outcome.is_none()) else { return };
        *site_outcome = Some(match response {
            Ok((page, process)) => {
                let records = page.records.len();
                self.pages.push(page);
                SiteOutcome::Queried { process, records }
            }
            Err(error) => SiteOutcome::Unreachable(error),
        });
    }

    /// The time at or after which everything in the answer was read; passed to [`crate::cache::Cache::fill`].
    pub fn read_from_ns(&self) -> Nanos {
        self.read_from_ns
    }

    /// Returns the answer. Sites that have not responded yet count as timed out.
    pub fn into_answer(self) -> LocateAnswer {
        let timed_out = || SiteOutcome::Unreachable(LocateError::Late);
        let mut sites: BTreeMap<String, SiteOutcome> =
            self.sites.into_iter().map(|(site, outcome)| (site, outcome.unwrap_or_else(timed_out))).collect();
        if !self.safeguards.unreached_sites {
            sites.retain(|_, outcome| !matches!(outcome, SiteOutcome::Unreachable(_)));
        }
        let is_complete = !sites.values().any(|outcome| matches!(outcome, SiteOutcome::Unreachable(_)));
        // A site with a cursor has more records after it, so the answer must end at the lowest cursor of any
        // site.
        let lowest_cursor = self.pages.iter().filter_map(|page| page.cursor.clone()).min();
        let mut records: Vec<LocationRecord> = self.pages.into_iter().flat_map(|page| page.records).collect();
        records.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        records.dedup_by(|a, b| a.key == b.key);
        if let Some(lowest_cursor) = &lowest_cursor {
            records.retain(|record| record.key <= *lowest_cursor);
        }
        let exceeds_limit = records.len() > self.limit;
        records.truncate(self.limit);
        let cursor = records
            .last()
            .map(|record| record.key.clone())
            .filter(|_| exceeds_limit || lowest_cursor.is_some());
        LocateAnswer { records, sites, is_complete, cursor, is_cached: false }
    }
}
