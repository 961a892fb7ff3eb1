//! Lookups of numbers: from the cache if the catalogue confirms the cached answer, otherwise by one query to
//! each site that may have records of the number.

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

/// Number of shards of the table of pending lookups.
const SHARDS: usize = 16;
/// Maximum number of records in the answer of a lookup.
const LOOKUP_LIMIT: usize = 16;

/// A lookup in flight. Further lookups of the same number wait for its answer.
#[derive(Clone)]
struct PendingLookup {
    /// When the lookup began: its answer reflects the state since then.
    read_from_ns: u64,
    answer: watch::Receiver<Option<Arc<LocateAnswer>>>,
}

/// Lookups in flight, by number.
#[derive(Default)]
pub(super) struct PendingLookups([Mutex<HashMap<Number, PendingLookup>>; SHARDS]);

impl PendingLookups {
    fn shard(&self, number: &Number) -> &Mutex<HashMap<Number, PendingLookup>> {
        &self.0[shard_of(number.hash64(), SHARDS)]
    }
}

impl Agent {
    /// Answers the lookup for a call from the cache if the cached answer may be used. Returns whether it has
    /// answered.
    pub(super) fn locate_from_cache(&self, call: u64, number: &str) -> bool {
        let Ok(number) = Number::new(number) else { return false };
        let Some((answer, valid_until_ns)) = self.cached_answer(&number, true) else { return false };
        let pool = answer.newest().map(|record| record.trunk_group.clone());
        let is_sent = self.to_driver.try_send(FromAgent::Located { call, pool, valid_until_ns }).is_ok();
        if is_sent {
            Counters::increment(&self.counters.lookups);
            Counters::increment(&self.counters.cache_hits);
        }
        is_sent
    }

    /// Looks up where the number of a call is reached, and reports the result to the driver.
    pub(super) async fn locate_for_call(self: Arc<Self>, call: u64, number: &str, timeout: Duration) {
        Counters::increment(&self.counters.lookups);
        let Ok(number) = Number::new(number) else {
            return self.report_located(call, None, 0).await;
        };
        match self.look_up(&number, timeout).await {
            Ok((answer, valid_until_ns)) => {
                let pool = answer.newest().map(|record| record.trunk_group.clone());
                self.report_located(call, pool, valid_until_ns).await;
            }
            Err(error) => {
                tracing::debug!(call, %error, "number not located");
                self.report_located(call, None, 0).await;
            }
        }
    }

    async fn report_located(&self, call: u64, pool: Option<String>, valid_until_ns: u64) {
        let _ = self.to_driver.send(FromAgent::Located { call, pool, valid_until_ns }).await;
    }

    /// Looks up where a number is reached. Returns the answer and the time of the steady clock until which it
    /// may be used.
    ///
    /// # Errors
    /// There is no answer within the timeout and no usable one in the cache, or too many lookups are in
    /// flight.
    pub(super) async fn look_up(
        self: &Arc<Self>,
        number: &Number,
        timeout: Duration,
    ) -> Result<(Arc<LocateAnswer>, u64), LocateError> {
        if let Some((answer, valid_until_ns)) = self.cached_answer(number, true) {
            Counters::increment(&self.counters.cache_hits);
            return Ok((Arc::new(answer), valid_until_ns));
        }
        let mut lookup = self.join_or_begin_lookup(number)?;
        let result = tokio::time::timeout(timeout, lookup.answer.wait_for(Option::is_some)).await;
        let answer = match result {
            Ok(Ok(answer)) => answer.clone(),
            _ => None,
        };
        match answer {
            Some(answer) if answer.is_complete || !answer.records.is_empty() => Ok((answer, u64::MAX)),
            // Some sites were not reached, or none answered in time. An unconfirmed cached answer is better
            // than none while the lease is valid; its outcome for each site is that of this lookup.
            answer => match self.cached_answer(number, false) {
                // A site that had the cached records has answered this lookup: they no longer exist.
                Some((cached, _)) if answer.as_ref().is_some_and(|new| owner_site_answers(&cached, new)) => {
                    answer.map(|answer| (answer, u64::MAX)).ok_or(LocateError::Late)
                }
                Some((mut cached, valid_until_ns)) => {
                    match answer {
                        Some(answer) => cached.sites = answer.sites.clone(),
                        None => {
                            let mark_late = |outcome: &mut SiteOutcome| {
                                *outcome = SiteOutcome::Unreachable(LocateError::Late);
                            };
                            cached.sites.values_mut().for_each(mark_late);
                        }
                    }
                    cached.is_complete = false;
                    Ok((Arc::new(cached), valid_until_ns))
                }
                None => answer.map(|answer| (answer, u64::MAX)).ok_or(LocateError::Late),
            },
        }
    }

    /// The cached answer for a number, if it may be used now, and until when. The lease is checked after the
    /// cache has been read, so that an answer is not used after its lease.
    fn cached_answer(&self, number: &Number, must_be_confirmed: bool) -> Option<(LocateAnswer, u64)> {
        let answer = self.cache.get(number)?;
        let (lease, position) = {
            let holder = self.lease_holder.lock();
            (holder.valid_until(steady_ns()), holder.position().unwrap_or_default())
        };
        let valid_until_ns = match lease {
            Ok(valid_until_ns) => valid_until_ns,
            Err(_) if !self.safeguards.cache_leases => u64::MAX,
            Err(_) => return None,
        };
        let is_confirmed = !must_be_confirmed
            || self.catalogue.read().confirms_cached(steady_ns(), number.hash64(), position);
        is_confirmed.then_some((answer, valid_until_ns))
    }

    /// Joins the lookup of this number that is in flight, or begins a new one.
    fn join_or_begin_lookup(self: &Arc<Self>, number: &Number) -> Result<PendingLookup, LocateError> {
        let mut pending_lookups = self.pending_lookups.shard(number).lock();
        let oldest_ns = steady_ns().saturating_sub(self.settings.terms.settle_ns);
        // A lookup that began longer ago than the settling time is not joined: it may miss records that must
        // be found by now.
        if let Some(lookup) = pending_lookups.get(number).filter(|lookup| lookup.read_from_ns >= oldest_ns) {
            Counters::increment(&self.counters.joined_lookups);
            return Ok(lookup.clone());
        }
        if self.query_slots.available_permits() == 0 {
            return Err(LocateError::TooMany);
        }
        let query = Query::binding_of(number.clone());
        let locate =
            Locate::begin(steady_ns(), query, None, LOOKUP_LIMIT, &self.catalogue.read(), self.safeguards);
        let (reply, answer) = watch::channel(None);
        let lookup = PendingLookup { read_from_ns: locate.read_from_ns(), answer };
        pending_lookups.insert(number.clone(), lookup.clone());
        drop(pending_lookups);
        let (agent, number, read_from_ns) = (self.clone(), number.clone(), lookup.read_from_ns);
        tokio::spawn(async move {
            // Without this safeguard, a lookup may hold its slot long after its call has stopped waiting.
            let factor = if agent.safeguards.calls_first { 1 } else { 100 };
            let budget = Duration::from_nanos(agent.settings.locate_longest_ns * factor);
            let answer = agent.query_sites(locate, true, budget).await;
            if answer.is_complete && !agent.cache.fill(read_from_ns, &number, &answer) {
                Counters::increment(&agent.counters.rejected_cache_fills);
            }
            {
                let mut pending_lookups = agent.pending_lookups.shard(&number).lock();
                if pending_lookups.get(&number).is_some_and(|lookup| lookup.read_from_ns == read_from_ns) {
                    pending_lookups.remove(&number);
                }
            }
            reply.send_replace(Some(Arc::new(answer)));
        });
        Ok(lookup)
    }

    /// Queries all sites that may have matching records, in parallel, within a time limit.
    async fn query_sites(
        self: &Arc<Self>,
        mut locate: Locate,
        is_urgent: bool,
        budget: Duration,
    ) -> LocateAnswer {
        let _permit = self.query_slots.acquire().await;
        let site_names: Vec<String> = locate.pending_sites().map(String::from).collect();
        let mut queries = tokio::task::JoinSet::new();
        for name in site_names {
            let Some(site) = self.sites.iter().position(|(site, _)| *site == name) else { continue };
            Counters::increment(&self.counters.site_queries);
            let (query, after) = (locate.query.clone(), locate.after.clone());
            let request =
                Request::FindRecords { query, after, limit: locate.limit() as u32, urgent: is_urgent };
            let agent = self.clone();
            queries.spawn(async move { (name, agent.queries.query(site, is_urgent, budget, request).await) });
        }
        let collect_responses = async {
            while let Some(query) = queries.join_next().await {
                if let Ok((site, response)) = query {
                    locate.record_response(&site, response);
                }
            }
        };
        let _ = tokio::time::timeout(budget, collect_responses).await;
        let answer = locate.into_answer();
        if !answer.is_complete {
            Counters::increment(&self.counters.incomplete_answers);
        }
        answer
    }

    /// Searches for records at the request of an operator, with a lower priority than lookups for calls.
    pub(super) async fn search(
        self: &Arc<Self>,
        query: Query,
        after: Option<Key>,
        limit: usize,
        budget: Duration,
    ) -> LocateAnswer {
        let locate = Locate::begin(steady_ns(), query, after, limit, &self.catalogue.read(), self.safeguards);
        self.query_sites(locate, false, budget).await
    }
}

/// Whether a site that had some of the cached records has answered a later lookup.
fn owner_site_answers(cached: &LocateAnswer, new: &LocateAnswer) -> bool {
    let owner_sites = cached
        .sites
        .iter()
        .filter(|(_, outcome)| matches!(outcome, SiteOutcome::Queried { records, .. } if *records > 0));
    owner_sites.into_iter().any(|(site, _)| !matches!(new.sites.get(site), Some(SiteOutcome::Unreachable(_))))
}
