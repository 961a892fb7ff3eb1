//! Pages of the agent, beside the front's metrics: `/fleet` and `/locate`.

use super::Agent;
use lilacpitch_fleet::locate::{LocateAnswer, SiteOutcome, MAX_LIMIT};
use lilacpitch_location::{Kind, Number, Query, QueryTarget};
use lilacpitch_rpc::steady_ns;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// How long an operator's search may take.
const SEARCH: Duration = Duration::from_secs(2);
const USAGE: &str = "/locate?number=N, or /locate?search=PREFIX&kind=reached|standing&class=C&trunk_group=T&\
                     from_ms=A&to_ms=B&limit=L&cursor=CURSOR\n";

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

    async fn locate(self: &Arc<Self>, asked: &str) -> Result<String, String> {
        let fields = || asked.split('&').filter_map(|part| part.split_once('='));
        let field = |name: &str| fields().find(|(n, _)| *n == name).map(|(_, v)| v.replace("%23", "#"));
        if let Some(number) = field("number") {
            let number = Number::new(&number).map_err(|e| e.to_string())?;
            let patience = Duration::from_nanos(self.of.locate_longest_ns * 2);
            // As for a call: from the cache where that may be used, and judged as it would be there.
            let (answer, until_ns) = self.number(&number, patience).await.map_err(|e| e.to_string())?;
            if steady_ns() >= until_ns && self.guards.cache_leases {
                return Err("the lease ran out meanwhile: ask again".into());
            }
            return Ok(written(&answer));
        }
        let prefix = field("search").ok_or("neither number nor search")?;
        if !prefix.bytes().all(|b| b.is_ascii_graphic()) || prefix.len() > 33 {
            return Err(format!("search {prefix:?}: not a prefix"));
        }
        let whole = |name: &str| {
            field(name).map(|v| v.parse::<u64>().map_err(|_| format!("{name} {v:?}"))).transpose()
        };
        let kind = match field("kind").as_deref() {
            None => None,
            Some("reached") => Some(Kind::Binding),
            Some("standing") => Some(Kind::ActiveCall),
            Some(other) => return Err(format!("kind {other:?}")),
        };
        let since = (whole("from_ms")?, whole("to_ms")?);
        let since_ms = match since {
            (None, None) => None,
            (from, to) => Some((from.unwrap_or(0), to.unwrap_or(u64::MAX))),
        };
        let query = Query {
            target: QueryTarget::Prefix(prefix),
            kind,
            class: field("class"),
            trunk_group: field("trunk_group"),
            since_ms,
        };
        let limit = whole("limit")?.map_or(100, |limit| limit as usize).clamp(1, MAX_LIMIT);
        let after = match field("cursor") {
            Some(cursor) => Some(read_cursor(&cursor).ok_or(format!("cursor {cursor:?}"))?),
            None => None,
        };
        Ok(written(&self.search(query, after, limit, SEARCH).await))
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
fn read_cursor(text: &str) -> Option<lilacpitch_location::Key> {
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
    Some(lilacpitch_location::Key { number, kind, owner: holder })
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
