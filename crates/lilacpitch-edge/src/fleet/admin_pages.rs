//! The agent's pages for operators: `/fleet` shows its state, `/locate` looks up numbers and searches for
//! records.
//!
//! Operators' tools read the pages by their names and words, which must stay as they are.

use super::Agent;
use lilacpitch_fleet::error::LocateError;
use lilacpitch_fleet::locate::{LocateAnswer, SiteOutcome, MAX_LIMIT};
use lilacpitch_location::{Key, Kind, LocationError, Number, Owner, Query, QueryTarget};
use lilacpitch_rpc::steady_ns;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Time limit of an operator's search.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of records on a page unless `limit` is given.
const DEFAULT_LIMIT: usize = 100;
/// Maximum length of a prefix to search for, in bytes: a number with its plus sign.
const MAX_PREFIX_BYTES: usize = 33;
/// The usage text of `/locate`, shown after an error.
const USAGE: &str = "/locate?number=N, or /locate?search=PREFIX&kind=reached|standing&class=C&trunk_group=T&\
                     from_ms=A&to_ms=B&limit=L&cursor=CURSOR\n";

/// Why `/locate` shows no records. The page shows the text and then the usage.
#[derive(Debug, Error)]
enum LocatePageError {
    #[error(transparent)]
    Number(#[from] LocationError),
    #[error(transparent)]
    Locate(#[from] LocateError),
    #[error("the lease ran out meanwhile: ask again")]
    LeaseExpired,
    #[error("neither number nor search")]
    NothingNamed,
    #[error("search {0:?}: not a prefix")]
    Prefix(String),
    #[error("{name} {value:?}")]
    Field { name: &'static str, value: String },
}

/// The query arguments of a page: `name=value` pairs joined by `&`.
struct PageArguments<'a>(&'a str);

impl PageArguments<'_> {
    fn field(&self, name: &str) -> Option<String> {
        let mut fields = self.0.split('&').filter_map(|part| part.split_once('='));
        fields.find(|(found, _)| *found == name).map(|(_, value)| value.replace("%23", "#"))
    }

    fn whole_number(&self, name: &'static str) -> Result<Option<u64>, LocatePageError> {
        let parse = |value: String| value.parse().map_err(|_| LocatePageError::Field { name, value });
        self.field(name).map(parse).transpose()
    }
}

/// The parameters of a search for location records by prefix.
struct Search {
    query: Query,
    after: Option<Key>,
    limit: usize,
}

impl Search {
    fn parse(arguments: &PageArguments<'_>) -> Result<Self, LocatePageError> {
        let prefix = arguments.field("search").ok_or(LocatePageError::NothingNamed)?;
        if !prefix.bytes().all(|b| b.is_ascii_graphic()) || prefix.len() > MAX_PREFIX_BYTES {
            return Err(LocatePageError::Prefix(prefix));
        }
        let kind = Self::parse_kind(arguments.field("kind"))?;
        let since_ms = match (arguments.whole_number("from_ms")?, arguments.whole_number("to_ms")?) {
            (None, None) => None,
            (from, to) => Some((from.unwrap_or(0), to.unwrap_or(u64::MAX))),
        };
        let class = arguments.field("class");
        let trunk_group = arguments.field("trunk_group");
        let query = Query { target: QueryTarget::Prefix(prefix), kind, class, trunk_group, since_ms };
        let limit = arguments.whole_number("limit")?;
        let limit = limit.map_or(DEFAULT_LIMIT, |limit| limit as usize).clamp(1, MAX_LIMIT);
        let after = arguments.field("cursor").map(Self::parse_cursor).transpose()?;
        Ok(Search { query, after, limit })
    }

    fn parse_kind(value: Option<String>) -> Result<Option<Kind>, LocatePageError> {
        match value.as_deref() {
            None => Ok(None),
            Some("reached") => Ok(Some(Kind::Binding)),
            Some("standing") => Ok(Some(Kind::ActiveCall)),
            Some(other) => Err(LocatePageError::Field { name: "kind", value: other.into() }),
        }
    }

    fn parse_cursor(value: String) -> Result<Key, LocatePageError> {
        key_from_cursor(&value).ok_or(LocatePageError::Field { name: "cursor", value })
    }
}

impl Agent {
    /// Returns the page for a request target, or `None` if it does not exist.
    pub(super) async fn page(self: &Arc<Self>, target: &str) -> Option<String> {
        let (path, arguments) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/fleet" => Some(self.fleet_page()),
            "/locate" => Some(match self.locate_page(arguments).await {
                Ok(page) => page,
                Err(error) => format!("error: {error}\n{USAGE}"),
            }),
            _ => None,
        }
    }

    async fn locate_page(self: &Arc<Self>, arguments: &str) -> Result<String, LocatePageError> {
        let arguments = PageArguments(arguments);
        if let Some(number) = arguments.field("number") {
            return self.locate_number(&Number::new(&number)?).await;
        }
        let search = Search::parse(&arguments)?;
        let answer = self.search(search.query, search.after, search.limit, SEARCH_TIMEOUT).await;
        Ok(format_answer(&answer))
    }

    /// Looks up a number in the same way as for a call: from the cache if the cached answer may be used, and
    /// with a check of the lease after the lookup.
    async fn locate_number(self: &Arc<Self>, number: &Number) -> Result<String, LocatePageError> {
        let timeout = Duration::from_nanos(self.settings.locate_longest_ns * 2);
        let (answer, valid_until_ns) = self.look_up(number, timeout).await?;
        if steady_ns() >= valid_until_ns && self.safeguards.cache_leases {
            return Err(LocatePageError::LeaseExpired);
        }
        Ok(format_answer(&answer))
    }

    fn fleet_page(&self) -> String {
        let now = steady_ns();
        let (position, lease, is_in_force) = {
            let holder = self.lease_holder.lock();
            (holder.position(), holder.valid_until(now), !holder.is_withdrawn())
        };
        let mut out = String::new();
        let _ = writeln!(out, "home {} at {}", self.settings.home, self.home_dialer().address);
        let _ = writeln!(out, "life {}", self.identity.incarnation);
        let _ = writeln!(out, "settings {:016x}", self.settings_digest);
        let _ = writeln!(out, "in-force {is_in_force}");
        let position = position.map_or("none".into(), |position| position.to_string());
        let lease = match lease {
            Ok(valid_until_ns) => format!("for {} ms", valid_until_ns.saturating_sub(now) / 1_000_000),
            Err(error) => format!("none: {error}"),
        };
        let _ = writeln!(out, "position {position}\nlease {lease}");
        let stale_sites = self.catalogue.read().stale_sites(now);
        let _ = writeln!(out, "summaries unknown {}: {}", stale_sites.len(), stale_sites.join(" "));
        let _ = writeln!(out, "rows waiting {}", self.publish_queue.lock().len());
        let backlog = self.audit_recorder.lock().backlog();
        let _ = writeln!(out, "audit waiting {}, joined {}", backlog.pending, backlog.merged);
        let counters = &self.counters;
        let values = [
            ("cached", self.cache.len() as u64),
            ("located_total", counters.lookups.load(Relaxed)),
            ("from_cache_total", counters.cache_hits.load(Relaxed)),
            ("sites_asked_total", counters.site_queries.load(Relaxed)),
            ("incomplete_total", counters.incomplete_answers.load(Relaxed)),
            ("joined_total", counters.joined_lookups.load(Relaxed)),
            ("not_filled_total", counters.rejected_cache_fills.load(Relaxed)),
            ("orders_total", counters.applied_commands.load(Relaxed)),
            ("fresh_starts_total", counters.lease_resets.load(Relaxed)),
            ("writes_total", counters.acknowledged_writes.load(Relaxed)),
            ("summaries_refused_total", counters.rejected_summaries.load(Relaxed)),
        ];
        for (name, value) in values {
            let _ = writeln!(out, "{name} {value}");
        }
        out
    }
}

/// Parses a cursor from a page: the parts of the key, separated by `|`.
fn key_from_cursor(text: &str) -> Option<Key> {
    let mut parts = text.split('|');
    let number = Number::new(parts.next()?).ok()?;
    let kind = match parts.next()? {
        "reached" => Kind::Binding,
        "standing" => Kind::ActiveCall,
        _ => return None,
    };
    let (name, front) = (parts.next()?.to_string(), parts.next()?.to_string());
    let (incarnation, serial) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some(Key { number, kind, owner: Owner { name, front, incarnation, serial } })
}

/// The text of an answer on the page `/locate`.
fn format_answer(answer: &LocateAnswer) -> String {
    let mut out = format!("complete {}\ncached {}\n", answer.is_complete, answer.is_cached);
    let now = steady_ns();
    for (site, outcome) in &answer.sites {
        let _ = match outcome {
            SiteOutcome::RuledOut { incarnation, total, as_of_ns } => {
                let age_ms = now.saturating_sub(*as_of_ns) / 1_000_000;
                writeln!(out, "site {site} ruled-out version {incarnation}/{total} age-ms {age_ms}")
            }
            SiteOutcome::Queried { process, records } => {
                writeln!(out, "site {site} asked {process} rows {records}")
            }
            SiteOutcome::Unreachable(error) => writeln!(out, "site {site} not-reached {error}"),
        };
    }
    for record in &answer.records {
        let (key, kind) = (&record.key, record.key.kind.as_str());
        let _ = writeln!(
            out,
            "row {} {kind} class {:?} trunk-group {} holder {} front {} life {} serial {} since {}",
            key.number,
            record.class,
            record.trunk_group,
            key.owner.name,
            key.owner.front,
            key.owner.incarnation,
            key.owner.serial,
            record.since_ms
        );
    }
    if let Some(key) = &answer.cursor {
        let (kind, owner) = (key.kind.as_str(), &key.owner);
        let _ = writeln!(
            out,
            "cursor {}|{kind}|{}|{}|{}|{}",
            key.number, owner.name, owner.front, owner.incarnation, owner.serial
        );
    }
    out
}
