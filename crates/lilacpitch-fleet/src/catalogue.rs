//! Summaries of sites as a process has them, and which sites could hold what is asked for.

use crate::lease::LeaseTerms;
use crate::message::{KnownSummary, LogPosition, PendingPurges, SiteSummaryUpdate};
use crate::{Nanos, Safeguards};
use lilacpitch_location::summary::{fingerprint, shard_of};
use lilacpitch_location::{LocationError, Query, QueryTarget, ShardSummary, ShardUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of news in one answer; the rest is asked for again.
pub const MAX_UPDATE_BYTES: usize = 1 << 20;
/// Most shards that a site may say it has.
const MAX_SHARDS: u32 = 1 << 16;

/// What a summary says of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteVerdict {
    /// Nothing there, by this version as of then.
    RuledOut {
        /// The life of the process whose versions these are.
        incarnation: u64,
        /// The sum of the versions of all shards.
        total: u64,
        /// When it was asked for.
        as_of_ns: Nanos,
    },
    /// To be asked: it could be there.
    MayContain,
    /// To be asked: the summary is too old, of a question that it does not cover, or not there.
    Unknown,
}

#[derive(Debug, Default)]
struct Summary {
    incarnation: u64,
    shards: Vec<ShardSummary>,
    total: u64,
    /// When what it says was asked for by the first of the way; `None`: not whole yet.
    as_of_ns: Option<Nanos>,
    pending: BTreeSet<u64>,
    many_pending: bool,
    ordered: LogPosition,
    lacks: bool,
}

/// The summaries of all sites.
#[derive(Debug)]
pub struct Catalogue {
    settle_ns: Nanos,
    terms: LeaseTerms,
    guards: Safeguards,
    sites: BTreeMap<String, Summary>,
}

impl Catalogue {
    /// Of these sites, none heard of yet; a summary older than `settle_ns` rules nothing out.
    pub fn new<'a>(
        sites: impl IntoIterator<Item = &'a str>,
        settle_ns: Nanos,
        terms: LeaseTerms,
        guards: Safeguards,
    ) -> Self {
        let sites = sites.into_iter().map(|name| (name.to_string(), Summary::default())).collect();
        Catalogue { settle_ns, terms, guards, sites }
    }

    fn fresh(&self, summary: &Summary, now: Nanos) -> Option<Nanos> {
        let young = |at: &Nanos| now.saturating_sub(*at) <= self.settle_ns || !self.guards.summary_age;
        summary.as_of_ns.filter(young)
    }

    /// What each site's summary says of a question.
    pub fn candidates<'a>(
        &'a self,
        now: Nanos,
        query: &'a Query,
    ) -> impl Iterator<Item = (&'a str, SiteVerdict)> {
        let hash = match &query.target {
            QueryTarget::Number(number) => Some(number.hash64()),
            // A summary knows whole numbers only.
            QueryTarget::Prefix(_) => None,
        };
        self.sites.iter().map(move |(site, summary)| {
            let verdict = match (self.fresh(summary, now), hash) {
                (Some(as_of_ns), Some(hash)) => {
                    let shard = &summary.shards[shard_of(hash, summary.shards.len())];
                    let out = SiteVerdict::RuledOut {
                        incarnation: summary.incarnation,
                        total: summary.total,
                        as_of_ns,
                    };
                    if shard.may_contain(fingerprint(hash)) {
                        SiteVerdict::MayContain
                    } else {
                        out
                    }
                }
                _ => SiteVerdict::Unknown,
            };
            (site.as_str(), verdict)
        })
    }

    /// Whether what was cached of a number, by a holder that has applied orders up to `applied`, is still what the
    /// sites would say: every summary is fresh, and all that changed has been ordered and applied.
    pub fn confirms_cached(&self, now: Nanos, hash: u64, applied: LogPosition) -> bool {
        self.sites.values().all(|summary| {
            let ordered = summary.ordered.index == 0 || applied.includes(summary.ordered);
            let pending = summary.many_pending || summary.pending.contains(&hash);
            self.fresh(summary, now).is_some() && ordered && !pending
        })
    }

    /// Sites whose summaries are too old or not there.
    pub fn stale_sites(&self, now: Nanos) -> Vec<String> {
        let stale = self.sites.iter().filter(|(_, summary)| self.fresh(summary, now).is_none());
        stale.map(|(site, _)| site.clone()).collect()
    }

    /// What to ask for news with.
    pub fn known_summaries(&self) -> Vec<KnownSummary> {
        let known = |(site, summary): (&String, &Summary)| KnownSummary {
            site: site.clone(),
            incarnation: summary.incarnation,
            shards: match summary.lacks {
                true => summary.shards.iter().map(ShardSummary::version).collect(),
                false => Vec::new(),
            },
            total: summary.total,
        };
        self.sites.iter().map(known).collect()
    }

    /// Takes an answer to a question that was asked at `asked_ns`; whether more is to be asked for at once. News that
    /// does not read costs that site its summary until the next, and nothing else.
    pub fn take(&mut self, asked_ns: Nanos, all: Vec<SiteSummaryUpdate>) -> (bool, Vec<LocationError>) {
        let (mut more, mut wrong) = (false, Vec::new());
        for news in all {
            let Some(summary) = self.sites.get_mut(&news.site) else { continue };
            // Each process of a site numbers its versions for itself: one is kept to while it is heard.
            let heard = |at: Nanos| asked_ns.saturating_sub(at) <= self.settle_ns / 2;
            if summary.incarnation != news.incarnation && summary.as_of_ns.is_some_and(heard) {
                continue;
            }
            // Its age was measured by a clock that may be slower than this one.
            let as_of_ns = asked_ns.saturating_sub(self.terms.worst_case_ns(news.age_ns));
            match take(summary, as_of_ns, news) {
                Ok(lacks) => more |= lacks,
                Err(error) => {
                    *summary = Summary::default();
                    wrong.push(error);
                }
            }
        }
        (more, wrong)
    }

    /// What another process lacks of these summaries, but for those that `skip` names.
    pub fn updates_since(
        &self,
        now: Nanos,
        known: &[KnownSummary],
        skip: impl Fn(&str) -> bool,
    ) -> Vec<SiteSummaryUpdate> {
        let mut room = MAX_UPDATE_BYTES;
        let mut all = Vec::new();
        for known in known.iter().filter(|known| !skip(&known.site)) {
            let Some(summary) = self.sites.get(&known.site) else { continue };
            let Some(as_of_ns) = summary.as_of_ns else { continue };
            let shard = |at: usize, version| summary.shards[at].since(at as u32, Some(version));
            let (life, total, shards) = (summary.incarnation, summary.total, summary.shards.len());
            let (news, total, more) = shard_updates_since(known, life, total, shards, &mut room, shard);
            all.push(SiteSummaryUpdate {
                site: known.site.clone(),
                incarnation: summary.incarnation,
                shards: summary.shards.len() as u32,
                total,
                age_ns: now.saturating_sub(as_of_ns),
                pending: match summary.many_pending {
                    true => PendingPurges::Many,
                    false => PendingPurges::Some(summary.pending.iter().copied().collect()),
                },
                ordered: summary.ordered,
                shard_updates: news,
                has_more: more,
            });
        }
        all
    }
}

/// What is new of a site's shards for one that knows so much, within the room that is left: the news, the sum of the
/// versions that it has once it has taken them, and whether there is more.
pub fn shard_updates_since(
    known: &KnownSummary,
    incarnation: u64,
    total: u64,
    shards: usize,
    room: &mut usize,
    mut since: impl FnMut(usize, u64) -> Option<ShardUpdate>,
) -> (Vec<ShardUpdate>, u64, bool) {
    if known.incarnation == incarnation && known.total == total {
        return (Vec::new(), total, false);
    }
    if known.incarnation != incarnation || known.shards.len() != shards {
        return (Vec::new(), total, true);
    }
    let (mut news, mut sum) = (Vec::new(), 0);
    for (at, version) in known.shards.iter().enumerate() {
        if *room == 0 {
            return (news, total, true);
        }
        let one = since(at, *version);
        sum += one.as_ref().map_or(*version, |one| one.version);
        if let Some(one) = one {
            let bytes = one.base.as_ref().map_or(0, |(_, bytes)| bytes.len()) + 5 * one.added.len() + 16;
            *room = room.saturating_sub(bytes);
            news.push(one);
        }
    }
    (news, sum, false)
}

/// Takes one site's news; whether it lacks something.
fn take(summary: &mut Summary, as_of_ns: Nanos, news: SiteSummaryUpdate) -> Result<bool, LocationError> {
    if news.shards == 0 || news.shards > MAX_SHARDS {
        return Err(LocationError::Shards(news.shards as usize));
    }
    if summary.incarnation != news.incarnation || summary.shards.len() != news.shards as usize {
        let shards = vec![ShardSummary::default(); news.shards as usize];
        *summary = Summary { incarnation: news.incarnation, shards, ..Summary::default() };
    }
    for one in &news.shard_updates {
        let what = "a shard that the site does not have";
        let shard = summary.shards.get_mut(one.shard as usize);
        shard.ok_or(LocationError::Summary { shard: one.shard, what })?.apply_update(one)?;
    }
    summary.total = summary.shards.iter().map(ShardSummary::version).sum();
    // Who says less than is known here lags behind: nothing is to be had from it.
    summary.lacks = summary.total < news.total;
    if summary.total == news.total {
        // The older of two answers takes nothing back.
        if summary.as_of_ns.is_none_or(|held| held <= as_of_ns) {
            summary.as_of_ns = Some(as_of_ns);
            summary.ordered = news.ordered;
            (summary.pending, summary.many_pending) = match news.pending {
                PendingPurges::Some(some) => (some.into_iter().collect(), false),
                PendingPurges::Many => (BTreeSet::new(), true),
            };
        }
    }
    Ok(summary.lacks)
}
