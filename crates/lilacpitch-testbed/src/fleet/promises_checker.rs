//! Checks a run against the fleet's guarantees. It uses only the frames that the fault proxy recorded and
//! what was read from admin pages, and shares no code with the programs under test except the message types.

use super::fault_proxy::{Direction, RecordedFrame, DELIVERY_UNKNOWN};
use lilacpitch_fleet::message::{
    Body, CommandAction, LogPosition, PurgeScope, RecordChange, Request, Response, SiteSummaryUpdate,
};
use lilacpitch_location::{Key, Kind, Number, QueryTarget};
use std::collections::{BTreeMap, BTreeSet};

/// The answer to a locate of one number, as read from a front's admin page.
#[derive(Debug, Clone, PartialEq)]
pub struct LocateReading {
    /// The process number of the front.
    pub front: usize,
    /// The number that was located.
    pub number: Number,
    /// When the request was sent, in nanoseconds of the monotonic clock.
    pub began_ns: u64,
    /// When the response had been read, in nanoseconds of the monotonic clock.
    pub ended_ns: u64,
    /// The text of the page.
    pub page: String,
}

/// The progress of purges, as read from the admin page of a process of the root.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PurgeProgress {
    /// The number of the process.
    pub process: usize,
    /// When the request was sent, in nanoseconds of the monotonic clock.
    pub began_ns: u64,
    /// When the response had been read, in nanoseconds of the monotonic clock.
    pub ended_ns: u64,
    /// Identifier of the command log.
    pub log: u64,
    /// Index of the last order.
    pub ordered: u64,
    /// Index up to which all orders are complete.
    pub complete: u64,
}

/// The composition and time limits of the fleet under test.
#[derive(Debug, Clone)]
pub struct FleetDescription {
    /// The names of all sites.
    pub sites: Vec<String>,
    /// The site of each site process, by process number.
    pub processes: BTreeMap<usize, String>,
    /// Name and home site of each front, by process number.
    pub fronts: BTreeMap<usize, (String, String)>,
    /// Time after the acknowledgement of a record from which every locate must find it, in nanoseconds.
    pub settle_ns: u64,
    /// Factor by which a lease may last longer by the granter's clock than its length.
    pub lease_stretch: f64,
    /// A front that has not applied an order for this long gets no lease, in nanoseconds.
    pub straggler_ns: u64,
    /// Maximum length of a lease, in nanoseconds.
    pub lease_ns: u64,
}

/// A violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// Number of the guarantee, from 1 to 8.
    pub promise: u32,
    /// Description of the observation.
    pub what: String,
}

/// Number of observations that were checked. A run without any shows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Judged {
    /// Pairs of a locate and a row that it had to find.
    pub found: usize,
    /// Locate answers whose contents were checked.
    pub answers: usize,
    /// Pairs of a locate and a withdrawn row that it must not return because the purge was complete.
    pub gone: usize,
    /// Pairs of a locate and a withdrawn row that it must not return because the front had applied the purge.
    pub not_refilled: usize,
    /// Pairs of a progress report and a front that had to have acknowledged before.
    pub acknowledged: usize,
    /// Leases and writes that were checked.
    pub leases: usize,
}

/// When a row was written and withdrawn, in nanoseconds of the monotonic clock.
#[derive(Debug, Default)]
struct RowHistory {
    site: String,
    /// When the front received the acknowledgement of its write.
    acked_ns: Option<u64>,
    /// When its withdrawal was first sent.
    withdrawn_ns: Option<u64>,
    /// When the site sent the acknowledgement of its withdrawal.
    withdrawal_acked_ns: Option<u64>,
}

/// Longest time for which a process is suspended in a run, in nanoseconds.
const MAX_SUSPENSION_NS: u64 = 5_000_000_000;

/// How far before the acknowledgement of a withdrawal the submission of its purge may be recorded, in
/// nanoseconds.
const SUBMIT_TOLERANCE_NS: u64 = 1_000_000;

/// Time after the acknowledgement within which a purge counts as submitted for the withdrawal at once, in
/// nanoseconds.
const PROMPT_SUBMIT_NS: u64 = 200_000_000;

/// A recorded request, and its response if that was delivered.
type Exchange<'a> = (&'a RecordedFrame, &'a Request, Option<(&'a RecordedFrame, &'a Response)>);
/// Identifies a request: sender, receiver, connection, direction and request id.
type RequestKey = (usize, usize, u64, Direction, u64);
/// Identifies one end of a connection: its process, the other process, connection and direction of sending.
type Endpoint = (usize, usize, u64, Direction);

/// A granted lease.
struct GrantedLease {
    holder: usize,
    granter: usize,
    granter_incarnation: u64,
    /// When it was requested.
    requested_ns: u64,
    length_ns: u64,
    /// The position that the holder reported as applied.
    applied: Option<LogPosition>,
    /// The position that the holder must have applied before it uses the lease.
    required: LogPosition,
}

struct Checker<'a> {
    fleet: &'a FleetDescription,
    frames: &'a [RecordedFrame],
    exchanges: Vec<Exchange<'a>>,
    /// The incarnation that each end of a connection announced in its greeting.
    incarnations: BTreeMap<Endpoint, u64>,
    rows: BTreeMap<Key, RowHistory>,
    judged: Judged,
    breaches: BTreeSet<Breach>,
}

/// Checks guarantees 1 to 6 for a recording. Returns the violations and the number of observations checked.
pub fn check(
    fleet: &FleetDescription,
    frames: &[RecordedFrame],
    locates: &[LocateReading],
    progress: &[PurgeProgress],
) -> (Vec<Breach>, Judged) {
    let mut responses: BTreeMap<RequestKey, (&RecordedFrame, &Response)> = BTreeMap::new();
    for frame in frames.iter().filter(|frame| frame.delivered_ns != DELIVERY_UNKNOWN) {
        if let Body::Answer(id, response) = &frame.body {
            let request = (frame.to, frame.from, frame.connection, opposite(frame.direction), *id);
            responses.entry(request).or_insert((frame, response));
        }
    }
    let incarnations = frames.iter().filter_map(|frame| match &frame.body {
        Body::Hello(hello) => {
            Some(((frame.from, frame.to, frame.connection, frame.direction), hello.incarnation))
        }
        _ => None,
    });
    let exchanges = frames.iter().filter_map(|frame| match &frame.body {
        Body::Request(id, request) => {
            let key = (frame.from, frame.to, frame.connection, frame.direction, *id);
            Some((frame, request, responses.get(&key).copied()))
        }
        _ => None,
    });
    let mut checker = Checker {
        fleet,
        frames,
        exchanges: exchanges.collect(),
        incarnations: incarnations.collect(),
        rows: BTreeMap::new(),
        judged: Judged::default(),
        breaches: BTreeSet::new(),
    };
    checker.read_rows();
    checker.check_records_found(locates);
    locates.iter().for_each(|locate| checker.check_answer(locate));
    checker.check_purged_rows(locates, progress);
    checker.check_acknowledgements(progress);
    checker.check_leases();
    (checker.breaches.into_iter().collect(), checker.judged)
}

fn opposite(direction: Direction) -> Direction {
    match direction {
        Direction::FromDialer => Direction::ToDialer,
        Direction::ToDialer => Direction::FromDialer,
    }
}

fn scopes_cover(scopes: &[PurgeScope], number: &Number) -> bool {
    scopes.iter().any(|scope| match scope {
        PurgeScope::Number(purged) => purged == number,
        PurgeScope::Prefix(prefix) => number.as_str().starts_with(prefix.as_str()),
        PurgeScope::Owner(_) => false,
        PurgeScope::All => true,
    })
}

/// Returns the lines of a page that start with the word `first`, split into words.
fn lines<'a>(page: &'a str, first: &'a str) -> impl Iterator<Item = Vec<&'a str>> {
    let split_lines = page.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    split_lines.filter(move |words| words.first() == Some(&first))
}

/// Returns whether a page contains a row:
/// `row NUMBER KIND class C trunk-group T holder H front F life L serial N since MS`.
fn shows(page: &str, key: &Key) -> bool {
    let fields = [
        ("front", key.owner.front.clone()),
        ("life", key.owner.incarnation.to_string()),
        ("serial", key.owner.serial.to_string()),
    ];
    lines(page, "row").any(|words| {
        let has_field =
            |(name, value): &(&str, String)| words.windows(2).any(|pair| pair == [*name, value.as_str()]);
        words[1..3] == [key.number.as_str(), "reached"] && fields.iter().all(has_field)
    })
}

impl Checker<'_> {
    fn breach(&mut self, promise: u32, what: String) {
        self.breaches.insert(Breach { promise, what });
    }

    fn front(&self, name: &str) -> Option<&(String, String)> {
        self.fleet.fronts.values().find(|(front, _)| front == name)
    }

    /// Collects the histories of all rows from the recorded writes.
    fn read_rows(&mut self) {
        let mut rows: BTreeMap<Key, RowHistory> = BTreeMap::new();
        for (frame, request, response) in &self.exchanges {
            // Only the front's own writes: site processes forward the same changes to each other.
            let (true, Request::Write { changes, .. }) =
                (self.fleet.fronts.contains_key(&frame.from), request)
            else {
                continue;
            };
            let written = response.filter(|(_, body)| **body == Response::Written).map(|(frame, _)| frame);
            let acked_ns = written.map(|frame| frame.delivered_ns);
            for change in changes {
                match change {
                    RecordChange::Upsert(row) if row.key.kind == Kind::Binding => {
                        let site = self.front(&row.key.owner.front).map_or("", |(_, home)| home).to_string();
                        let history = rows.entry(row.key.clone()).or_default();
                        history.site = site;
                        history.acked_ns = earlier(history.acked_ns, acked_ns);
                    }
                    RecordChange::Withdraw(key) if key.kind == Kind::Binding => {
                        let history = rows.entry(key.clone()).or_default();
                        history.withdrawn_ns = earlier(history.withdrawn_ns, Some(frame.sent_ns));
                        history.withdrawal_acked_ns =
                            earlier(history.withdrawal_acked_ns, written.map(|frame| frame.sent_ns));
                    }
                    _ => {}
                }
            }
        }
        // A site also removes a front's rows of older incarnations, when a new one appears or after a long
        // absence.
        for (frame, request, _) in &self.exchanges {
            let removed = match request {
                Request::Forwarded(_, _, inner) => match &**inner {
                    Request::RemoveOlderIncarnations(front, before) => Some((front.clone(), *before)),
                    _ => None,
                },
                Request::RenewLease(_) => {
                    let front = self.fleet.fronts.get(&frame.from);
                    front.map(|(name, _)| (name.clone(), self.sender_incarnation(frame)))
                }
                _ => None,
            };
            if let Some((front, before)) = removed {
                let older_rows = rows
                    .iter_mut()
                    .filter(|(key, _)| key.owner.front == front && key.owner.incarnation < before);
                for (_, history) in older_rows {
                    history.withdrawn_ns = earlier(history.withdrawn_ns, Some(frame.sent_ns));
                }
            }
        }
        self.rows = rows;
    }

    /// Returns the incarnation that the sender of a frame announced on its connection.
    fn sender_incarnation(&self, frame: &RecordedFrame) -> u64 {
        let endpoint = (frame.from, frame.to, frame.connection, frame.direction);
        self.incarnations.get(&endpoint).copied().unwrap_or(0)
    }

    /// Returns the incarnation that the receiver of a frame announced on its connection.
    fn receiver_incarnation(&self, frame: &RecordedFrame) -> u64 {
        let endpoint = (frame.to, frame.from, frame.connection, opposite(frame.direction));
        self.incarnations.get(&endpoint).copied().unwrap_or(0)
    }

    /// Guarantee 1: a locate finds every acknowledged row, or names its site as not reached.
    fn check_records_found(&mut self, locates: &[LocateReading]) {
        let mut violations = Vec::new();
        for locate in locates.iter().filter(|locate| !locate.page.starts_with("error")) {
            for (key, history) in self.rows.iter().filter(|(key, _)| key.number == locate.number) {
                let Some(acked_ns) = history.acked_ns else { continue };
                let has_settled = acked_ns + self.fleet.settle_ns < locate.began_ns;
                let is_present = history.withdrawn_ns.is_none_or(|at| at > locate.ended_ns);
                if !has_settled || !is_present {
                    continue;
                }
                self.judged.found += 1;
                let not_reached = lines(&locate.page, "site").any(|words| {
                    words.get(1) == Some(&history.site.as_str()) && words.get(2) == Some(&"not-reached")
                });
                if !shows(&locate.page, key) && !not_reached {
                    violations.push(format!(
                        "{} of {} at {}, acknowledged {} ms before, not found at {}: {}",
                        key.number,
                        key.owner.front,
                        history.site,
                        (locate.began_ns - acked_ns) / 1_000_000,
                        locate.front,
                        locate.page.replace('\n', " / ")
                    ));
                }
            }
        }
        violations.into_iter().for_each(|what| self.breach(1, what));
    }

    /// Guarantee 2: an answer names every site and how it was covered, and says whether it is complete.
    fn check_answer(&mut self, locate: &LocateReading) {
        if locate.page.starts_with("error") {
            return;
        }
        self.judged.answers += 1;
        let site_lines: Vec<Vec<&str>> = lines(&locate.page, "site").collect();
        let mut named: Vec<&str> = site_lines.iter().filter_map(|words| words.get(1).copied()).collect();
        named.sort_unstable();
        let mut all: Vec<&str> = self.fleet.sites.iter().map(String::as_str).collect();
        all.sort_unstable();
        let complete =
            lines(&locate.page, "complete").next().is_some_and(|words| words.get(1) == Some(&"true"));
        let missing = site_lines.iter().any(|words| words.get(2) == Some(&"not-reached"));
        if named != all {
            self.breach(2, format!("sites {named:?} of {all:?} at {}", locate.front));
        }
        if complete == missing {
            self.breach(
                2,
                format!("complete {complete} with a site not reached {missing} at {}", locate.front),
            );
        }
        // A site that the answer reports as asked must have been asked by this front before the answer was
        // read.
        for words in site_lines.iter().filter(|words| words.get(2) == Some(&"asked")) {
            let site = words.get(1).copied().unwrap_or("");
            let target = QueryTarget::Number(locate.number.clone());
            let was_asked = self.exchanges.iter().any(|(frame, request, response)| {
                matches!(request, Request::FindRecords { query, .. } if query.target == target)
                    && frame.from == locate.front
                    && frame.sent_ns <= locate.ended_ns
                    && self.fleet.processes.get(&frame.to).is_some_and(|asked_site| asked_site == site)
                    && response.is_some()
            });
            if !was_asked {
                self.breach(2, format!("site {site} reported as asked by {} but was not", locate.front));
            }
        }
        // A site may be ruled out only by a summary version that this front had received.
        for words in site_lines.iter().filter(|words| words.get(2) == Some(&"ruled-out")) {
            let site = words.get(1).copied().unwrap_or("");
            let version = words.get(4).and_then(|v| v.split_once('/'));
            let version = version.and_then(|(incarnation, total)| {
                Some((incarnation.parse::<u64>().ok()?, total.parse::<u64>().ok()?))
            });
            let was_received = version.is_some_and(|(incarnation, total)| {
                self.exchanges.iter().any(|(request_frame, _, response)| {
                    let Some((frame, Response::Summaries(updates))) = response else { return false };
                    let is_this_version = |update: &SiteSummaryUpdate| {
                        (update.site.as_str(), update.incarnation, update.total) == (site, incarnation, total)
                    };
                    request_frame.from == locate.front
                        && frame.delivered_ns <= locate.ended_ns
                        && updates.iter().any(is_this_version)
                })
            });
            if !was_received {
                self.breach(
                    2,
                    format!(
                        "site {site} ruled out at {} by {version:?}, which it never received",
                        locate.front
                    ),
                );
            }
        }
    }

    /// Returns an order that purges a row's number and is certain to follow the row's withdrawal. Its site
    /// submitted it when it acknowledged the withdrawal, or later if its parent couldn't be reached.
    fn purge_of(&self, key: &Key, history: &RowHistory) -> Option<LogPosition> {
        let acked_ns = history.withdrawal_acked_ns?;
        let submitted = self.exchanges.iter().filter_map(|(frame, request, response)| {
            let Request::Submit(CommandAction::Purge(scopes)) = request else { return None };
            let is_from_site = self.fleet.processes.get(&frame.from) == Some(&history.site);
            let covers_row = is_from_site
                && frame.sent_ns + SUBMIT_TOLERANCE_NS > acked_ns
                && scopes_cover(scopes, &key.number);
            match response {
                Some((_, Response::Committed(position))) if covers_row => Some((frame.sent_ns, *position)),
                _ => None,
            }
        });
        let (prompt, later): (Vec<_>, Vec<_>) =
            submitted.partition(|(at, _)| *at < acked_ns + PROMPT_SUBMIT_NS);
        let last_prompt = prompt.into_iter().map(|(_, position)| position).max_by_key(|p| (p.log, p.index));
        last_prompt.or(later.into_iter().min_by_key(|(at, _)| *at).map(|(_, position)| position))
    }

    /// Guarantees 3 and 4: a withdrawn row isn't served once its purge is reported complete, nor by a front
    /// that has applied the purge.
    fn check_purged_rows(&mut self, locates: &[LocateReading], progress: &[PurgeProgress]) {
        let mut violations = Vec::new();
        let mut judged = self.judged;
        for (key, history) in &self.rows {
            let locates_of_number = || locates.iter().filter(|locate| locate.number == key.number);
            if locates_of_number().next().is_none() {
                continue;
            }
            let Some(position) = self.purge_of(key, history) else { continue };
            let complete_ns = progress
                .iter()
                .find(|reading| reading.log == position.log && reading.complete >= position.index)
                .map(|reading| reading.ended_ns);
            for locate in locates_of_number() {
                let is_shown = shows(&locate.page, key);
                if complete_ns.is_some_and(|at| at < locate.began_ns) {
                    judged.gone += 1;
                    if is_shown {
                        violations.push((
                            3,
                            format!(
                                "{} of {} served at {}, {} ms after order {position} was complete",
                                key.number,
                                key.owner.front,
                                locate.front,
                                (locate.began_ns - complete_ns.unwrap_or(0)) / 1_000_000
                            ),
                        ));
                    }
                }
                if self.applied_ns(locate.front, position).is_some_and(|at| at < locate.began_ns) {
                    judged.not_refilled += 1;
                    if is_shown {
                        violations.push((
                            4,
                            format!(
                                "{} of {} served at {} after it had applied order {position}",
                                key.number, key.owner.front, locate.front
                            ),
                        ));
                    }
                }
            }
        }
        self.judged = judged;
        violations.into_iter().for_each(|(promise, what)| self.breach(promise, what));
    }

    /// Returns when a process first reported that it had applied everything up to a position.
    fn applied_ns(&self, process: usize, position: LogPosition) -> Option<u64> {
        let mut reports = self.applied_reports(process);
        reports.find(|(_, applied)| applied.includes(position)).map(|(at_ns, _)| at_ns)
    }

    /// Returns the applied positions that a process reported, in the order of its reports, with their times.
    fn applied_reports(&self, process: usize) -> impl Iterator<Item = (u64, LogPosition)> + '_ {
        let sent = self.frames.iter().filter(move |frame| frame.from == process);
        sent.filter_map(|frame| match &frame.body {
            Body::Request(_, Request::RenewLease(Some(position))) => Some((frame.sent_ns, *position)),
            Body::Answer(_, Response::Applied(position)) => Some((frame.sent_ns, *position)),
            _ => None,
        })
    }

    /// Returns all leases that were granted.
    fn leases(&self) -> Vec<GrantedLease> {
        let granted =
            self.exchanges.iter().filter_map(|(frame, request, response)| match (request, response) {
                (
                    Request::RenewLease(applied),
                    Some((_, Response::LeaseGranted { for_ns, position, .. })),
                ) if *for_ns > 0 => Some(GrantedLease {
                    holder: frame.from,
                    granter: frame.to,
                    granter_incarnation: self.receiver_incarnation(frame),
                    requested_ns: frame.sent_ns,
                    length_ns: *for_ns,
                    applied: *applied,
                    required: *position,
                }),
                _ => None,
            });
        granted.collect()
    }

    /// Guarantee 5: an order that is reported complete was acknowledged by every front that held a lease
    /// throughout.
    fn check_acknowledgements(&mut self, progress: &[PurgeProgress]) {
        let leases = self.leases();
        let mut violations = Vec::new();
        for reading in progress.iter().filter(|reading| reading.complete > 0) {
            let completed = LogPosition { log: reading.log, index: reading.complete };
            for front in self.fleet.fronts.keys() {
                // The lease certainly covered the whole reading, and didn't require this order to be applied
                // first.
                let held = leases.iter().any(|lease| {
                    lease.holder == *front
                        && lease.requested_ns < reading.began_ns
                        && lease.requested_ns + lease.length_ns > reading.ended_ns
                        && !lease.required.includes(completed)
                        && lease.required.log == completed.log
                });
                if !held {
                    continue;
                }
                self.judged.acknowledged += 1;
                if self.applied_ns(*front, completed).is_none_or(|at| at > reading.ended_ns) {
                    violations.push(format!(
                        "order {completed} reported complete by {} before front {front}, with a lease, had it",
                        reading.process
                    ));
                }
            }
        }
        violations.into_iter().for_each(|what| self.breach(5, what));
    }

    /// Guarantee 6: a front that lags behind gets no lease, and a write without a lease isn't accepted.
    fn check_leases(&mut self) {
        let leases = self.leases();
        let mut violations = Vec::new();
        // When each incarnation of a site process certainly had each order, because it sent it to another
        // process. By process, incarnation, log and index.
        let mut known_since: BTreeMap<(usize, u64, u64, u64), u64> = BTreeMap::new();
        for (frame, request, _) in &self.exchanges {
            if let Request::Commands { log, commands } = request {
                for order in commands {
                    let order_key = (frame.from, self.sender_incarnation(frame), *log, order.number);
                    let since_ns = known_since.entry(order_key).or_insert(frame.sent_ns);
                    *since_ns = (*since_ns).min(frame.sent_ns);
                }
            }
        }
        for lease in &leases {
            let GrantedLease { holder, granter, granter_incarnation, requested_ns, .. } = lease;
            let Some(applied) = lease.applied else { continue };
            self.judged.leases += 1;
            let next_order = (*granter, *granter_incarnation, applied.log, applied.index + 1);
            let is_straggler = known_since
                .get(&next_order)
                .is_some_and(|since_ns| since_ns + 2 * self.fleet.straggler_ns < *requested_ns);
            if is_straggler {
                violations.push(format!(
                    "{holder} got a lease from {granter} at {applied}, long after the next order"
                ));
            }
        }
        for (write, request, response) in &self.exchanges {
            let is_from_front = self.fleet.fronts.contains_key(&write.from);
            if !is_from_front
                || !matches!(request, Request::Write { .. })
                || !matches!(response, Some((_, Response::Written)))
            {
                continue;
            }
            self.judged.leases += 1;
            // A process accepts writes only from a front that recently requested a lease from its current
            // incarnation. A frame recorded as delivered may have waited while the process was suspended.
            let max_age_ns =
                (self.fleet.lease_ns as f64 * self.fleet.lease_stretch) as u64 + MAX_SUSPENSION_NS;
            let held = self.exchanges.iter().any(|(renewal, request, _)| {
                matches!(request, Request::RenewLease(_))
                    && (renewal.from, renewal.to) == (write.from, write.to)
                    && self.receiver_incarnation(renewal) == self.receiver_incarnation(write)
                    && renewal.sent_ns <= write.delivered_ns
                    && renewal.delivered_ns.saturating_add(max_age_ns) >= write.sent_ns
            });
            if !held {
                violations.push(format!(
                    "a write of {} was accepted by {} without a lease from it",
                    write.from, write.to
                ));
            }
        }
        violations.into_iter().for_each(|what| self.breach(6, what));
    }
}

/// Returns the earlier of two times, as far as they are known.
fn earlier(known: Option<u64>, new: Option<u64>) -> Option<u64> {
    match (known, new) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
