//! Lookups of numbers: from the cache where the catalogue confirms it, else by one query to the sites that may know.

use super::{Agent, Counters, FromAgent};
use lilacpitch_fleet::error::LocateError;
use lilacpitch_fleet::locate::{Locate, LocateAnswer, SiteOutcome};
use lilacpitch_fleet::message::Request;
use lilacpitch_location::summary::shard_of;
use lilacpitch_location::{Key, Number, Query};
use lilacpitch_rpc::steady_ns;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const SHARDS: usize = 16;

/// A lookup in flight: others who want the number wait for the same answer.
#[derive(Clone)]
struct PendingLookup {
    read_from_ns: u64,
    answer: watch::Receiver<Option<Arc<LocateAnswer>>>,
}

/// Lookups in flight, by number.
#[derive(Default)]
pub(super) struct PendingLookups([Mutex<HashMap<Number, PendingLookup>>; SHARDS]);

impl PendingLookups {
    fn of(&self, number: &Number) -> &Mutex<HashMap<Number, PendingLookup>> {
        &self.0[shard_of(number.hash64(), SHARDS)]
    }
}

impl Agent {
    /// Answers a call from the cache, without another task, where that may be used; whether it did.
    pub(super) fn locate_at_once(&self, call: u64, number: &str) -> bool {
        let Ok(number) = Number::new(number) else { return false };
        let Some((answer, good_until_ns)) = self.cached(&number, true) else { return false };
        let pool = answer.newest().map(|row| row.trunk_group.clone());
        let said = self.front.try_send(FromAgent::Located { call, pool, good_until_ns }).is_ok();
        if said {
            Counters::one(&self.counters.located);
            Counters::one(&self.counters.from_cache);
        }
        said
    }

    /// Looks up where a call's number is reached, and reports it to the driver.
    pub(super) async fn locate_for_call(self: Arc<Self>, call: u64, number: &str, patience: Duration) {
        Counters::one(&self.counters.located);
        let Ok(number) = Number::new(number) else {
            return self.located(call, None, 0).await;
        };
        match self.number(&number, patience).await {
            Ok((answer, good_until_ns)) => {
                let pool = answer.newest().map(|row| row.trunk_group.clone());
                self.located(call, pool, good_until_ns).await;
            }
            Err(error) => {
                tracing::debug!(call, %error, "number not located");
                self.located(call, None, 0).await;
            }
        }
    }

    async fn located(&self, call: u64, pool: Option<String>, good_until_ns: u64) {
        let _ = self.front.send(FromAgent::Located { call, pool, good_until_ns }).await;
    }

    /// What is known of where a number is reached, and until when by the steady clock that may be used.
    pub(super) async fn number(
        self: &Arc<Self>,
        number: &Number,
        patience: Duration,
    ) -> Result<(Arc<LocateAnswer>, u64), LocateError> {
        if let Some((answer, until_ns)) = self.cached(number, true) {
            Counters::one(&self.counters.from_cache);
            return Ok((Arc::new(answer), until_ns));
        }
        let mut lookup = self.join_or_begin_lookup(number)?;
        let waited = tokio::time::timeout(patience, lookup.answer.wait_for(Option::is_some)).await;
        let heard = match waited {
            Ok(Ok(answer)) => answer.clone(),
            _ => None,
        };
        match heard {
            Some(answer) if answer.is_complete || !answer.records.is_empty() => Ok((answer, u64::MAX)),
            // Some sites are not reached, or none in time: what is cached is better than nothing while the lease runs,
            // and the answer says of each site what became of it.
            heard => match self.cached(number, false) {
                // Whoever held the rows and answers now has said that they are there no more.
                Some((cached, _)) if heard.as_ref().is_some_and(|now| owner_site_answers(&cached, now)) => {
                    heard.map(|answer| (answer, u64::MAX)).ok_or(LocateError::Late)
                }
                Some((mut cached, until_ns)) => {
                    match heard {
                        Some(answer) => cached.sites = answer.sites.clone(),
                        None => {
                            let late =
                                |site: &mut SiteOutcome| *site = SiteOutcome::Unreachable(LocateError::Late);
                            cached.sites.values_mut().for_each(late);
                        }
                    }
                    cached.is_complete = false;
                    Ok((Arc::new(cached), until_ns))
                }
                None => heard.map(|answer| (answer, u64::MAX)).ok_or(LocateError::Late),
            },
        }
    }

    /// What is cached of a number, if it may be used now: the lease is judged after the look.
    fn cached(&self, number: &Number, must_be_confirmed: bool) -> Option<(LocateAnswer, u64)> {
        let answer = self.cache.get(number)?;
        let (until, position) = {
            let holder = self.holder.lock();
            (holder.valid_until(steady_ns()), holder.position().unwrap_or_default())
        };
        let until_ns = match until {
            Ok(until_ns) => until_ns,
            Err(_) if !self.guards.cache_leases => u64::MAX,
            Err(_) => return None,
        };
        let is_confirmed = !must_be_confirmed
            || self.catalogue.read().confirms_cached(steady_ns(), number.hash64(), position);
        is_confirmed.then_some((answer, until_ns))
    }

    /// Joins the lookup of a number that is in flight, or begins one.
    fn join_or_begin_lookup(self: &Arc<Self>, number: &Number) -> Result<PendingLookup, LocateError> {
        let mut pending_lookups = self.pending_lookups.of(number).lock();
        let oldest_ns = steady_ns().saturating_sub(self.of.terms.settle_ns);
        // One that began before the settling time is not joined: it may miss what must be found by now.
        if let Some(lookup) = pending_lookups.get(number).filter(|lookup| lookup.read_from_ns >= oldest_ns) {
            Counters::one(&self.counters.joined);
            return Ok(lookup.clone());
        }
        if self.query_slots.available_permits() == 0 {
            return Err(LocateError::TooMany);
        }
        let query = Query::binding_of(number.clone());
        let locate = Locate::begin(steady_ns(), query, None, 16, &self.catalogue.read(), self.guards);
        let (give, answer) = watch::channel(None);
        let lookup = PendingLookup { read_from_ns: locate.read_from_ns(), answer };
        pending_lookups.insert(number.clone(), lookup.clone());
        drop(pending_lookups);
        let (agent, number, read_from_ns) = (self.clone(), number.clone(), lookup.read_from_ns);
        tokio::spawn(async move {
            let times = if agent.guards.calls_first { 1 } else { 100 };
            let budget = Duration::from_nanos(agent.of.locate_longest_ns * times);
            let answer = agent.query_sites(locate, true, budget).await;
            if answer.is_complete && !agent.cache.fill(read_from_ns, &number, &answer) {
                Counters::one(&agent.counters.not_filled);
            }
            {
                let mut pending_lookups = agent.pending_lookups.of(&number).lock();
                if pending_lookups.get(&number).is_some_and(|lookup| lookup.read_from_ns == read_from_ns) {
                    pending_lookups.remove(&number);
                }
            }
            give.send_replace(Some(Arc::new(answer)));
        });
        Ok(lookup)
    }

    /// Queries all sites that may know, in parallel, within a time limit.
    async fn query_sites(
        self: &Arc<Self>,
        mut locate: Locate,
        urgent: bool,
        budget: Duration,
    ) -> LocateAnswer {
        let _permit = self.query_slots.acquire().await;
        let open: Vec<String> = locate.pending_sites().map(String::from).collect();
        let mut asking = tokio::task::JoinSet::new();
        for name in open {
            let Some(site) = self.sites.iter().position(|(site, _)| *site == name) else { continue };
            Counters::one(&self.counters.asked);
            let (query, after) = (locate.query.clone(), locate.after.clone());
            let request = Request::FindRecords { query, after, limit: locate.limit() as u32, urgent };
            let agent = self.clone();
            asking.spawn(async move { (name, agent.queries.query(site, urgent, budget, request).await) });
        }
        let answers = async {
            while let Some(answered) = asking.join_next().await {
                if let Ok((site, said)) = answered {
                    locate.record_response(&site, said);
                }
            }
        };
        let _ = tokio::time::timeout(budget, answers).await;
        let answer = locate.into_answer();
        if !answer.is_complete {
            Counters::one(&self.counters.incomplete);
        }
        answer
    }

    /// An operator's search.
    pub(super) async fn search(
        self: &Arc<Self>,
        query: Query,
        after: Option<Key>,
        limit: usize,
        budget: Duration,
    ) -> LocateAnswer {
        let locate = Locate::begin(steady_ns(), query, after, limit, &self.catalogue.read(), self.guards);
        self.query_sites(locate, false, budget).await
    }
}

/// Whether a site that owns cached records answered a later lookup.
fn owner_site_answers(cached: &LocateAnswer, now: &LocateAnswer) -> bool {
    let held = cached
        .sites
        .iter()
        .filter(|(_, said)| matches!(said, SiteOutcome::Queried { records, .. } if *records > 0));
    held.into_iter().any(|(site, _)| !matches!(now.sites.get(site), Some(SiteOutcome::Unreachable(_))))
}
