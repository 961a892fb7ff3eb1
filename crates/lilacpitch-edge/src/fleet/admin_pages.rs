//! Pages of the agent, beside the front's metrics: `/fleet` and `/locate`.

use super::Agent;
use lilacpitch_fleet::error::LocateError;
use lilacpitch_fleet::locate::{LocateAnswer, SiteOutcome, MAX_LIMIT};
use lilacpitch_location::{Key, Kind, LocationError, Number, Query, QueryTarget};
use lilacpitch_rpc::steady_ns;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long an operator's search may take.
const SEARCH: Duration = Duration::from_secs(2);
/// Records on a page unless `limit` names another number.
const DEFAULT_LIMIT: usize = 100;
/// The longest prefix that is searched for: a number with its plus sign.
const MAX_PREFIX_BYTES: usize = 33;
const USAGE: &str = "/locate?number=N, or /locate?search=PREFIX&kind=reached|standing&class=C&trunk_group=T&\
                     from_ms=A&to_ms=B&limit=L&cursor=CURSOR\n";

/// Why a page of `/locate` shows no records. Each text is followed by the page's usage.
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

/// The arguments of a page, `name=value` joined by `&`.
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

/// A search for location records by prefix.
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
        read_cursor(&value).ok_or(LocatePageError::Field { name: "cursor", value })
    }
}

impl Agent {
    /// A page by its target; `None`: there is none.
    pub(super) async fn page(self: &Arc<Self>, target: &str) -> Option<String> {
        let (path, asked) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/fleet" => Some(self.state()),
            "/locate" => Some(match self.locate(asked).await {
                Ok(page) => page,
                Err(what) => format!("error: {what}\n{USAGE}"),
            }),
            _ => None,
        }
    }

    async fn locate(self: &Arc<Self>, arguments: &str) -> Result<String, LocatePageError> {
        let arguments = PageArguments(arguments);
        if let Some(number) = arguments.field("number") {
            return self.locate_number(&Number::new(&number)?).await;
        }
        let search = Search::parse(&arguments)?;
        let found = self.search(search.query, search.after, search.limit, SEARCH).await;
        Ok(written(&found))
    }

    /// As for a call: from the cache where that may be used, and judged as it would be there.
    async fn locate_number(self: &Arc<Self>, number: &Number) -> Result<String, LocatePageError> {
        let timeout = Duration::from_nanos(self.of.locate_longest_ns * 2);
        let (answer, until_ns) = self.number(number, timeout).await?;
        if steady_ns() >= until_ns && self.guards.cache_leases {
            return Err(LocatePageError::LeaseExpired);
        }
        Ok(written(&answer))
    }

    fn state(&self) -> String {
        let now = steady_ns();
        let (position, usable, in_force) = {
            let holder = self.holder.lock();
            (holder.position(), holder.valid_until(now), !holder.is_withdrawn())
        };
        let mut out = String::new();
        let _ = writeln!(out, "home {} at {}", self.of.home, self.home_dialer().address);
        let _ = writeln!(out, "life {}", self.me.incarnation);
        let _ = writeln!(out, "settings {:016x}", self.settings);
        let _ = writeln!(out, "in-force {in_force}");
        let position = position.map_or("none".into(), |position| position.to_string());
        let lease = match usable {
            Ok(until_ns) => format!("for {} ms", until_ns.saturating_sub(now) / 1_000_000),
            Err(error) => format!("none: {error}"),
        };
        let _ = writeln!(out, "position {position}\nlease {lease}");
        let unknown = self.catalogue.read().stale_sites(now);
        let _ = writeln!(out, "summaries unknown {}: {}", unknown.len(), unknown.join(" "));
        let _ = writeln!(out, "rows waiting {}", self.record_publisher.lock().waiting());
        let backlog = self.recorder.lock().backlog();
        let _ = writeln!(out, "audit waiting {}, joined {}", backlog.pending, backlog.merged);
        let c = &self.counters;
        let all = [
            ("cached", self.cache.len() as u64),
            ("located_total", c.located.load(Relaxed)),
            ("from_cache_total", c.from_cache.load(Relaxed)),
            ("sites_asked_total", c.asked.load(Relaxed)),
            ("incomplete_total", c.incomplete.load(Relaxed)),
            ("joined_total", c.joined.load(Relaxed)),
            ("not_filled_total", c.not_filled.load(Relaxed)),
            ("orders_total", c.orders.load(Relaxed)),
            ("fresh_starts_total", c.fresh_starts.load(Relaxed)),
            ("writes_total", c.written.load(Relaxed)),
            ("summaries_refused_total", c.summaries_refused.load(Relaxed)),
        ];
        for (name, value) in all {
            let _ = writeln!(out, "{name} {value}");
        }
        out
    }
}

/// A cursor as it is written on a page: the key's parts, in an order that reads back.
fn read_cursor(text: &str) -> Option<Key> {
    let mut parts = text.split('|');
    let number = Number::new(parts.next()?).ok()?;
    let kind = match parts.next()? {
        "reached" => Kind::Binding,
        "standing" => Kind::ActiveCall,
        _ => return None,
    };
    let (name, front) = (parts.next()?.to_string(), parts.next()?.to_string());
    let (life, serial) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let holder = lilacpitch_location::Owner { name, front, incarnation: life, serial };
    Some(Key { number, kind, owner: holder })
}

fn written(answer: &LocateAnswer) -> String {
    let mut out = format!("complete {}\ncached {}\n", answer.is_complete, answer.is_cached);
    let now = steady_ns();
    for (site, said) in &answer.sites {
        let _ = match said {
            SiteOutcome::RuledOut { incarnation, total, as_of_ns } => {
                let age_ms = now.saturating_sub(*as_of_ns) / 1_000_000;
                writeln!(out, "site {site} ruled-out version {incarnation}/{total} age-ms {age_ms}")
            }
            SiteOutcome::Queried { process, records } => {
                writeln!(out, "site {site} asked {process} rows {records}")
            }
            SiteOutcome::Unreachable(why) => writeln!(out, "site {site} not-reached {why}"),
        };
    }
    for row in &answer.records {
        let (key, kind) = (&row.key, row.key.kind.as_str());
        let _ = writeln!(
            out,
            "row {} {kind} class {:?} trunk-group {} holder {} front {} life {} serial {} since {}",
            key.number,
            row.class,
            row.trunk_group,
            key.owner.name,
            key.owner.front,
            key.owner.incarnation,
            key.owner.serial,
            row.since_ms
        );
    }
    if let Some(key) = &answer.cursor {
        let (kind, holder) = (key.kind.as_str(), &key.owner);
        let _ = writeln!(
            out,
            "cursor {}|{kind}|{}|{}|{}|{}",
            key.number, holder.name, holder.front, holder.incarnation, holder.serial
        );
    }
    out
}
