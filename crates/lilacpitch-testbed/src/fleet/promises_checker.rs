//! The judge of the fleet's promises. It reads what crossed the wires and what people read on pages, and shares no
//! code with what it judges but the form of the messages.

use super::fault_proxy::{Crossed, NOT_KNOWN};
use lilacpitch_fleet::message::{
    Body, CommandAction, LogPosition, PurgeScope, RecordChange, Request, Response,
};
use lilacpitch_location::{Key, Kind, Number};
use std::collections::{BTreeMap, BTreeSet};

/// A locate of one number as somebody read it from a front's page.
#[derive(Debug, Clone, PartialEq)]
pub struct Look {
    /// The front.
    pub front: usize,
    /// The number.
    pub number: Number,
    /// When it was asked for, by the steady clock,
    pub began_ns: u64,
    /// and when it had been read.
    pub ended_ns: u64,
    /// The page.
    pub page: String,
}

/// The progress of purges as somebody read it at the root.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whose page.
    pub by: usize,
    /// When it was asked for, by the steady clock,
    pub began_ns: u64,
    /// and when it had been read.
    pub ended_ns: u64,
    /// The log.
    pub log: u64,
    /// The last order.
    pub ordered: u64,
    /// Complete up to here.
    pub complete: u64,
}

/// What the judge is told of the fleet.
#[derive(Debug, Clone)]
pub struct Town {
    /// All sites.
    pub sites: Vec<String>,
    /// Processes of sites, by number, and their sites; whoever is not among them is a front.
    pub processes: BTreeMap<usize, String>,
    /// Fronts, by number: name and home site.
    pub fronts: BTreeMap<usize, (String, String)>,
    /// Promise 1: found by every locate that begins so long after the acknowledgement.
    pub settle_ns: u64,
    /// Leases are out after this many times their length.
    pub outlasts: f64,
    /// Who has not applied an order for so long gets no lease.
    pub straggler_ns: u64,
    /// A lease's length at most.
    pub lease_ns: u64,
}

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// Which of the eight.
    pub promise: u32,
    /// What was seen.
    pub what: String,
}

/// How many things were there to be judged: a judge that saw nothing says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Judged {
    /// Rows that had to be found, by look.
    pub found: usize,
    /// Answers whose words were weighed.
    pub answers: usize,
    /// Withdrawn rows that must not be served once their purge was complete, by look.
    pub gone: usize,
    /// Withdrawn rows that a front must not serve once it had applied their purge, by look.
    pub not_refilled: usize,
    /// Fronts and processes that had to have acknowledged, by report.
    pub acknowledged: usize,
    /// Leases and writes weighed.
    pub leases: usize,
}

/// The life of one row.
#[derive(Debug, Default)]
struct RowLife {
    site: String,
    /// When its writing was acknowledged.
    acked_ns: Option<u64>,
    /// When its withdrawal was first sent.
    withdrawn_ns: Option<u64>,
    /// When its acknowledgement left the site.
    gone_ns: Option<u64>,
}

/// No process stands still for longer in a day.
const STOOD_STILL_NS: u64 = 5_000_000_000;

/// A question as it crossed, and its answer, if that arrived.
type Asked<'a> = (&'a Crossed, &'a Request, Option<(&'a Crossed, &'a Response)>);
/// A question: who asked whom over which connection, from which end, and its number.
type Question = (usize, usize, u64, super::fault_proxy::Way, u64);

/// A lease as it was granted.
struct Leased {
    who: usize,
    by: usize,
    by_life: u64,
    /// When it was asked for.
    at_ns: u64,
    for_ns: u64,
    /// What the holder said that it had applied.
    applied: Option<LogPosition>,
    /// What it must have applied before it uses the lease.
    needs: LogPosition,
}

struct Case<'a> {
    town: &'a Town,
    crossed: &'a [Crossed],
    asked: Vec<Asked<'a>>,
    /// The lives that were greeted with: who said it to whom on which connection, from which end.
    lives: BTreeMap<(usize, usize, u64, super::fault_proxy::Way), u64>,
    rows: BTreeMap<Key, RowLife>,
    judged: Judged,
    breaches: BTreeSet<Breach>,
}

/// Judges promises 1 to 6 of a stretch of time.
pub fn judge(
    town: &Town,
    crossed: &[Crossed],
    looks: &[Look],
    progress: &[Progress],
) -> (Vec<Breach>, Judged) {
    let mut answers: BTreeMap<Question, (&Crossed, &Response)> = BTreeMap::new();
    for c in crossed.iter().filter(|c| c.came_ns != NOT_KNOWN) {
        if let Body::Answer(id, response) = &c.body {
            answers.entry((c.to, c.from, c.conn, opposite(c.way), *id)).or_insert((c, response));
        }
    }
    let hellos = crossed.iter().filter_map(|c| match &c.body {
        Body::Hello(hello) => Some(((c.from, c.to, c.conn, c.way), hello.incarnation)),
        _ => None,
    });
    let asked = crossed.iter().filter_map(|c| match &c.body {
        Body::Request(id, request) => {
            Some((c, request, answers.get(&(c.from, c.to, c.conn, c.way, *id)).copied()))
        }
        _ => None,
    });
    let mut case = Case {
        town,
        crossed,
        asked: asked.collect(),
        lives: hellos.collect(),
        rows: BTreeMap::new(),
        judged: Judged::default(),
        breaches: BTreeSet::new(),
    };
    case.read_rows();
    case.nothing_missed(looks);
    looks.iter().for_each(|look| case.says_what_it_is(look));
    case.purged_means_gone(looks, progress);
    case.acknowledgements(progress);
    case.stragglers();
    (case.breaches.into_iter().collect(), case.judged)
}

fn opposite(way: super::fault_proxy::Way) -> super::fault_proxy::Way {
    match way {
        super::fault_proxy::Way::Forth => super::fault_proxy::Way::Back,
        super::fault_proxy::Way::Back => super::fault_proxy::Way::Forth,
    }
}

fn scopes_cover(scopes: &[PurgeScope], number: &Number) -> bool {
    scopes.iter().any(|scope| match scope {
        PurgeScope::Number(one) => one == number,
        PurgeScope::Prefix(prefix) => number.as_str().starts_with(prefix.as_str()),
        PurgeScope::Owner(_) => false,
        PurgeScope::All => true,
    })
}

/// A page's lines that begin so, cut into words.
fn lines<'a>(page: &'a str, first: &'a str) -> impl Iterator<Item = Vec<&'a str>> {
    let all = page.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    all.filter(move |words| words.first() == Some(&first))
}

/// Whether a page shows a row:
/// `row NUMBER KIND class C trunk-group T holder H front F life L serial N since MS`.
fn shows(page: &str, key: &Key) -> bool {
    let pairs = [
        ("front", key.owner.front.clone()),
        ("life", key.owner.incarnation.to_string()),
        ("serial", key.owner.serial.to_string()),
    ];
    lines(page, "row").any(|words| {
        let said =
            |(name, value): &(&str, String)| words.windows(2).any(|pair| pair == [*name, value.as_str()]);
        words[1..3] == [key.number.as_str(), "reached"] && pairs.iter().all(said)
    })
}

impl Case<'_> {
    fn breach(&mut self, promise: u32, what: String) {
        self.breaches.insert(Breach { promise, what });
    }

    fn front(&self, name: &str) -> Option<&(String, String)> {
        self.town.fronts.values().find(|(front, _)| front == name)
    }

    fn read_rows(&mut self) {
        let mut rows: BTreeMap<Key, RowLife> = BTreeMap::new();
        for (ask, request, answer) in &self.asked {
            // As the front itself said it: what processes forward to each other is the same again.
            let (true, Request::Write { changes, .. }) = (self.town.fronts.contains_key(&ask.from), request)
            else {
                continue;
            };
            let written = answer.filter(|(_, said)| **said == Response::Written).map(|(c, _)| c);
            let done = written.map(|c| c.came_ns);
            for change in changes {
                match change {
                    RecordChange::Upsert(row) if row.key.kind == Kind::Binding => {
                        let site = self.front(&row.key.owner.front).map_or("", |(_, home)| home).to_string();
                        let life = rows.entry(row.key.clone()).or_default();
                        life.site = site;
                        life.acked_ns = earlier(life.acked_ns, done);
                    }
                    RecordChange::Withdraw(key) if key.kind == Kind::Binding => {
                        let life = rows.entry(key.clone()).or_default();
                        life.withdrawn_ns = earlier(life.withdrawn_ns, Some(ask.left_ns));
                        life.gone_ns = earlier(life.gone_ns, written.map(|c| c.left_ns));
                    }
                    _ => {}
                }
            }
        }
        // Sweeps withdraw too: a later life of a front takes its former rows with it, and so does a long absence.
        for (ask, request, _) in &self.asked {
            let swept = match request {
                Request::Forwarded(_, _, inner) => match &**inner {
                    Request::RemoveOlderIncarnations(front, before) => Some((front.clone(), *before)),
                    _ => None,
                },
                Request::RenewLease(_) => {
                    self.town.fronts.get(&ask.from).map(|(name, _)| (name.clone(), self.life(ask)))
                }
                _ => None,
            };
            if let Some((front, before)) = swept {
                let of = rows
                    .iter_mut()
                    .filter(|(key, _)| key.owner.front == front && key.owner.incarnation < before);
                of.for_each(|(_, life)| life.withdrawn_ns = earlier(life.withdrawn_ns, Some(ask.left_ns)));
            }
        }
        self.rows = rows;
    }

    /// The life of who asks, and of who is asked, as they greeted on that connection.
    fn life(&self, ask: &Crossed) -> u64 {
        self.lives.get(&(ask.from, ask.to, ask.conn, ask.way)).copied().unwrap_or(0)
    }

    fn life_asked(&self, ask: &Crossed) -> u64 {
        self.lives.get(&(ask.to, ask.from, ask.conn, opposite(ask.way))).copied().unwrap_or(0)
    }

    /// Promise 1.
    fn nothing_missed(&mut self, looks: &[Look]) {
        let mut wrong = Vec::new();
        for look in looks.iter().filter(|look| !look.page.starts_with("error")) {
            for (key, life) in self.rows.iter().filter(|(key, _)| key.number == look.number) {
                let Some(acked_ns) = life.acked_ns else { continue };
                let there = acked_ns + self.town.settle_ns < look.began_ns;
                let stays = life.withdrawn_ns.is_none_or(|at| at > look.ended_ns);
                if !there || !stays {
                    continue;
                }
                self.judged.found += 1;
                let not_reached = lines(&look.page, "site").any(|words| {
                    words.get(1) == Some(&life.site.as_str()) && words.get(2) == Some(&"not-reached")
                });
                if !shows(&look.page, key) && !not_reached {
                    wrong.push(format!(
                        "{} of {} at {}, acknowledged {} ms before, not found at {}: {}",
                        key.number,
                        key.owner.front,
                        life.site,
                        (look.began_ns - acked_ns) / 1_000_000,
                        look.front,
                        look.page.replace('\n', " / ")
                    ));
                }
            }
        }
        wrong.into_iter().for_each(|what| self.breach(1, what));
    }

    /// Promise 2.
    fn says_what_it_is(&mut self, look: &Look) {
        if look.page.starts_with("error") {
            return;
        }
        self.judged.answers += 1;
        let said: Vec<Vec<&str>> = lines(&look.page, "site").collect();
        let mut named: Vec<&str> = said.iter().filter_map(|words| words.get(1).copied()).collect();
        named.sort_unstable();
        let mut all: Vec<&str> = self.town.sites.iter().map(String::as_str).collect();
        all.sort_unstable();
        let complete =
            lines(&look.page, "complete").next().is_some_and(|words| words.get(1) == Some(&"true"));
        let missing = said.iter().any(|words| words.get(2) == Some(&"not-reached"));
        if named != all {
            self.breach(2, format!("sites {named:?} of {all:?} at {}", look.front));
        }
        if complete == missing {
            self.breach(
                2,
                format!("complete {complete} with a site not reached {missing} at {}", look.front),
            );
        }
        // A site that is said to have been asked was, by this front, and by then.
        for words in said.iter().filter(|words| words.get(2) == Some(&"asked")) {
            let site = words.get(1).copied().unwrap_or("");
            let asked = self.asked.iter().any(|(ask, request, answer)| {
                let of = matches!(request, Request::FindRecords { query, .. } if query.target == lilacpitch_location::QueryTarget::Number(look.number.clone()));
                of && ask.from == look.front
                    && ask.left_ns <= look.ended_ns
                    && self.town.processes.get(&ask.to).is_some_and(|of| of == site)
                    && answer.is_some()
            });
            if !asked {
                self.breach(2, format!("site {site} said to be asked by {} and was not", look.front));
            }
        }
        // A site that is ruled out was by a version that this front had been told.
        for words in said.iter().filter(|words| words.get(2) == Some(&"ruled-out")) {
            let site = words.get(1).copied().unwrap_or("");
            let version = words.get(4).and_then(|v| v.split_once('/'));
            let version = version
                .and_then(|(life, total)| Some((life.parse::<u64>().ok()?, total.parse::<u64>().ok()?)));
            let told = version.is_some_and(|(life, total)| {
                self.asked.iter().any(|(ask, _, answer)| {
                    let Some((c, Response::Summaries(news))) = answer else { return false };
                    let same = |n: &lilacpitch_fleet::message::SiteSummaryUpdate| {
                        (n.site.as_str(), n.incarnation, n.total) == (site, life, total)
                    };
                    ask.from == look.front && c.came_ns <= look.ended_ns && news.iter().any(same)
                })
            });
            if !told {
                self.breach(
                    2,
                    format!(
                        "site {site} ruled out at {} by {version:?}, which it was never told",
                        look.front
                    ),
                );
            }
        }
    }

    /// An order that purges a row's number after its withdrawal, for certain: its site asked for it as it
    /// acknowledged the withdrawal, or later where the way up was cut.
    fn purge_of(&self, key: &Key, life: &RowLife) -> Option<LogPosition> {
        let gone_ns = life.gone_ns?;
        let submitted = self.asked.iter().filter_map(|(ask, request, answer)| {
            let Request::Submit(CommandAction::Purge(scopes)) = request else { return None };
            let of_site = self.town.processes.get(&ask.from) == Some(&life.site);
            let of_it = of_site && ask.left_ns + 1_000_000 > gone_ns && scopes_cover(scopes, &key.number);
            match answer {
                Some((_, Response::Committed(position))) if of_it => Some((ask.left_ns, *position)),
                _ => None,
            }
        });
        let (soon, later): (Vec<_>, Vec<_>) = submitted.partition(|(at, _)| *at < gone_ns + 200_000_000);
        let last = soon.into_iter().map(|(_, position)| position).max_by_key(|p| (p.log, p.index));
        last.or(later.into_iter().min_by_key(|(at, _)| *at).map(|(_, position)| position))
    }

    /// Promises 3 and 4.
    fn purged_means_gone(&mut self, looks: &[Look], progress: &[Progress]) {
        let mut wrong = Vec::new();
        let mut judged = self.judged;
        for (key, life) in &self.rows {
            let of_it = || looks.iter().filter(|look| look.number == key.number);
            if of_it().next().is_none() {
                continue;
            }
            let Some(position) = self.purge_of(key, life) else { continue };
            let complete = progress
                .iter()
                .find(|p| p.log == position.log && p.complete >= position.index)
                .map(|p| p.ended_ns);
            for look in of_it() {
                let shown = shows(&look.page, key);
                if complete.is_some_and(|at| at < look.began_ns) {
                    judged.gone += 1;
                    if shown {
                        wrong.push((
                            3,
                            format!(
                                "{} of {} served at {}, {} ms after order {position} was complete",
                                key.number,
                                key.owner.front,
                                look.front,
                                (look.began_ns - complete.unwrap_or(0)) / 1_000_000
                            ),
                        ));
                    }
                }
                if self.applied_at(look.front, position).is_some_and(|at| at < look.began_ns) {
                    judged.not_refilled += 1;
                    if shown {
                        wrong.push((
                            4,
                            format!(
                                "{} of {} served at {} after it had applied order {position}",
                                key.number, key.owner.front, look.front
                            ),
                        ));
                    }
                }
            }
        }
        self.judged = judged;
        wrong.into_iter().for_each(|(promise, what)| self.breach(promise, what));
    }

    /// When a process had surely said that it has applied everything up to a position.
    fn applied_at(&self, who: usize, upto: LogPosition) -> Option<u64> {
        self.applications(who).find(|(_, applied)| applied.includes(upto)).map(|(at, _)| at)
    }

    /// What a process has said of its own position, in the order in which it said it.
    fn applications(&self, who: usize) -> impl Iterator<Item = (u64, LogPosition)> + '_ {
        self.crossed.iter().filter(move |c| c.from == who).filter_map(|c| match &c.body {
            Body::Request(_, Request::RenewLease(Some(position))) => Some((c.left_ns, *position)),
            Body::Answer(_, Response::Applied(position)) => Some((c.left_ns, *position)),
            _ => None,
        })
    }

    /// Leases: who, from the moment of asking, for how long, and from whom.
    fn leases(&self) -> Vec<Leased> {
        let granted = self.asked.iter().filter_map(|(ask, request, answer)| match (request, answer) {
            (Request::RenewLease(applied), Some((_, Response::LeaseGranted { for_ns, position, .. })))
                if *for_ns > 0 =>
            {
                let (at_ns, for_ns, applied, needs) = (ask.left_ns, *for_ns, *applied, *position);
                let by_life = self.life_asked(ask);
                Some(Leased { who: ask.from, by: ask.to, by_life, at_ns, for_ns, applied, needs })
            }
            _ => None,
        });
        granted.collect()
    }

    /// Promise 5: what is reported complete was acknowledged by every front that held a lease all the while.
    fn acknowledgements(&mut self, progress: &[Progress]) {
        let leases = self.leases();
        let mut wrong = Vec::new();
        for p in progress.iter().filter(|p| p.complete > 0) {
            let upto = LogPosition { log: p.log, index: p.complete };
            for front in self.town.fronts.keys() {
                // In for certain from before the question until after the answer, and not on condition that it applies
                // this order first.
                let held = leases.iter().any(|lease| {
                    lease.who == *front
                        && lease.at_ns < p.began_ns
                        && lease.at_ns + lease.for_ns > p.ended_ns
                        && !lease.needs.includes(upto)
                        && lease.needs.log == upto.log
                });
                if !held {
                    continue;
                }
                self.judged.acknowledged += 1;
                if self.applied_at(*front, upto).is_none_or(|at| at > p.ended_ns) {
                    wrong.push(format!(
                        "order {upto} reported complete by {}, and front {front}, with a lease, had not applied it",
                        p.by
                    ));
                }
            }
        }
        wrong.into_iter().for_each(|what| self.breach(5, what));
    }

    /// Promise 6: who is behind gets no lease, and who has none writes nothing.
    fn stragglers(&mut self) {
        let leases = self.leases();
        let mut wrong = Vec::new();
        // When each life of a process above had each order for certain: it had sent it to somebody.
        let mut had: BTreeMap<(usize, u64, u64, u64), u64> = BTreeMap::new();
        for (ask, request, _) in &self.asked {
            if let Request::Commands { log, commands } = request {
                for order in commands {
                    let at = had.entry((ask.from, self.life(ask), *log, order.number)).or_insert(ask.left_ns);
                    *at = (*at).min(ask.left_ns);
                }
            }
        }
        for Leased { who, by, by_life, at_ns: at, applied, .. } in &leases {
            let Some(applied) = applied else { continue };
            self.judged.leases += 1;
            let next = had.get(&(*by, *by_life, applied.log, applied.index + 1));
            let late = next.is_some_and(|had| had + 2 * self.town.straggler_ns < *at);
            if late {
                wrong.push(format!(
                    "{who} got a lease from {by} with {applied}, whose next order it had long had"
                ));
            }
        }
        for (ask, request, answer) in &self.asked {
            let front = self.town.fronts.contains_key(&ask.from);
            if !front
                || !matches!(request, Request::Write { .. })
                || !matches!(answer, Some((_, Response::Written)))
            {
                continue;
            }
            self.judged.leases += 1;
            // A process takes writes of who has asked it for a lease, in this life of its own, and not long ago. What
            // is listed as given to it may have waited while it stood still.
            let span_ns = (self.town.lease_ns as f64 * self.town.outlasts) as u64 + STOOD_STILL_NS;
            let held = self.asked.iter().any(|(renew, request, _)| {
                matches!(request, Request::RenewLease(_))
                    && (renew.from, renew.to) == (ask.from, ask.to)
                    && self.life_asked(renew) == self.life_asked(ask)
                    && renew.left_ns <= ask.came_ns
                    && renew.came_ns.saturating_add(span_ns) >= ask.left_ns
            });
            if !held {
                wrong
                    .push(format!("a write of {} was taken by {} without a lease from it", ask.from, ask.to));
            }
        }
        wrong.into_iter().for_each(|what| self.breach(6, what));
    }
}

fn earlier(known: Option<u64>, new: Option<u64>) -> Option<u64> {
    match (known, new) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
