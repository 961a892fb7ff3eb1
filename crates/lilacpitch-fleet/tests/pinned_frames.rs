//! Pins the bytes of the messages between processes, as they stand in a frame once it is unsealed: processes of
//! different builds talk to one another, so no renaming and no reordering may change them.
//!
//! `tests/data/frames.txt` was written by the build of version 0.2.0. After a change of the format that is meant:
//! `cargo test -p lilacpitch-fleet --test pinned_frames -- --ignored`.

mod pinned;

use lilacpitch_fleet::audit::{AuditRecord, Change, Version};
use lilacpitch_fleet::disk_loss_recovery::LogVote;
use lilacpitch_fleet::frame::{peek, FrameWriter};
use lilacpitch_fleet::message::{
    Body, CommandAction, FleetCommand, Hello, KnownSummary, LogMessage, LogPosition, PendingPurges,
    PurgeScope, RecordChange, RejectReason, Request, Response, Role, SiteSummaryUpdate,
};
use lilacpitch_gossip::Keys;
use lilacpitch_location::{
    Key, Kind, LocationRecord, Number, Owner, Page, Query, QueryTarget as Wanted, ShardUpdate,
};
use pinned::{assert_pinned, read, Sample};

const FILE: &str = "frames.txt";
const PURPOSE: &[u8] = b"lilacpitch.fleet.1";
const NONCE: [u8; 24] = [9; 24];
/// What the other end drew for the connection.
const OTHER_END: u64 = 0x0102_0304_0506_0708;

fn keys() -> Keys {
    Keys::from_bytes([7; 32])
}

fn key() -> Key {
    let holder =
        Owner { name: "server-3".into(), front: "edge-1".into(), incarnation: 1_700_000_001, serial: 77 };
    Key { number: Number::new("+4930123").unwrap(), kind: Kind::ActiveCall, owner: holder }
}

fn row() -> LocationRecord {
    let mut key = key();
    key.kind = Kind::Binding;
    LocationRecord {
        key,
        class: "emergency".into(),
        trunk_group: "north".into(),
        since_ms: 1_700_000_002_345,
    }
}

fn at(order: u64) -> LogPosition {
    LogPosition { log: 1_700_000_003, index: order }
}

fn hello(role: Role) -> Hello {
    Hello { version: 1, name: "north-1".into(), incarnation: 1_700_000_004, role, nonce: OTHER_END }
}

fn record() -> AuditRecord {
    let version = Version {
        settings: 301,
        endpoint_list: 302,
        build: "b1".into(),
        uses_cache: true,
        accepts_calls: false,
    };
    let change = Change { serial: 5, at_ms: 1_700_000_005, version, position: at(6), moved_to: 8 };
    AuditRecord { front: "edge-1".into(), incarnation: 9, seen_ms: 1_700_000_006, changes: vec![change] }
}

fn orders() -> Vec<FleetCommand> {
    let number = PurgeScope::Number(Number::new("*31#").unwrap());
    let scopes =
        vec![number, PurgeScope::Prefix("+49".into()), PurgeScope::Owner("server-3".into()), PurgeScope::All];
    let all = [CommandAction::Purge(scopes), CommandAction::Withdraw(401), CommandAction::Reinstate(402)];
    all.into_iter().zip(11..).map(|(what, number)| FleetCommand { number, action: what }).collect()
}

fn site_news(pending: PendingPurges) -> SiteSummaryUpdate {
    let base = Some((2, vec![0xab, 0xcd, 0xef]));
    let news = vec![ShardUpdate { shard: 3, version: 9, base, added: vec![70_000, 5] }];
    let (site, life, shards, total) = ("north".into(), 21, 8, 33);
    SiteSummaryUpdate {
        site,
        incarnation: life,
        shards,
        total,
        age_ns: 900_000,
        pending,
        purge_position: at(4),
        shard_updates: news,
        has_more: true,
    }
}

fn queries() -> [Query; 2] {
    let what = Wanted::Prefix("+4930".into());
    let (class, trunk_group) = (Some("emergency".into()), Some("north".into()));
    let full =
        Query { target: what, kind: Some(Kind::ActiveCall), class, trunk_group, since_ms: Some((500, 600)) };
    [full, Query::binding_of(Number::new("112").unwrap())]
}

fn requests() -> Vec<(&'static str, Request)> {
    let [by_prefix, by_number] = queries();
    let find = |query, after| Request::FindRecords { query, after, limit: 300, urgent: true };
    let known = KnownSummary { site: "north".into(), incarnation: 21, shards: vec![4, 500], total: 504 };
    let sum = Request::ReportAcknowledged {
        acknowledged: at(12),
        missing: vec!["edge-2".into(), "edge-3".into()],
        missing_count: 40,
    };
    let changes = vec![RecordChange::Upsert(row()), RecordChange::Withdraw(key())];
    let log = Request::Log;
    vec![
        ("renew-none", Request::RenewLease(None)),
        ("renew", Request::RenewLease(Some(at(300)))),
        ("sum", sum),
        ("leave", Request::ReleaseLease),
        ("orders", Request::Commands { log: 1_700_000_003, commands: orders() }),
        ("submit", Request::Submit(CommandAction::Withdraw(401))),
        ("progress", Request::Progress),
        ("audit", Request::Audit(vec![record()])),
        ("write", Request::Write { first: 31, changes }),
        ("find-prefix", find(by_prefix, Some(key()))),
        ("find-number", find(by_number, None)),
        ("summaries", Request::Summaries(vec![known])),
        ("read-index", Request::ReadIndex),
        ("standing", Request::HeldVote),
        ("sweep", Request::RemoveOlderIncarnations("edge-1".into(), 1_700_000_001)),
        ("forwarded", Request::Forwarded("edge-1".into(), 13, Box::new(Request::Progress))),
        ("log-append", log(LogMessage::Append(vec![1, 2, 3]))),
        ("log-vote", log(LogMessage::Vote(vec![4, 5]))),
        ("log-snapshot", log(LogMessage::Snapshot(vec![6]))),
    ]
}

fn refusals() -> Vec<(&'static str, RejectReason)> {
    vec![
        ("full", RejectReason::Overloaded { wait_ms: 250 }),
        ("behind", RejectReason::Behind),
        ("no-lease", RejectReason::NoLease),
        ("superseded", RejectReason::Superseded),
        ("fenced", RejectReason::Fenced),
        ("straggler", RejectReason::Lagging),
        ("ahead", RejectReason::Ahead),
        ("no-leader", RejectReason::NoLeader),
        ("unwanted", RejectReason::Unsupported),
        ("malformed", RejectReason::Malformed("a row".into())),
        ("failed", RejectReason::Failed("a disk".into())),
    ]
}

fn responses() -> Vec<(String, Response)> {
    let vote = LogVote { term: 6, node: 2, committed: true };
    let page = Page { records: vec![row()], cursor: Some(key()) };
    let (missing, missing_count) = (vec!["edge-2".into()], 40);
    let progress = Response::Progress { ordered: at(14), complete: 13, missing, missing_count };
    let granted = Response::LeaseGranted {
        for_ns: 2_000_000,
        position: at(15),
        commands: orders(),
        store_id: 1_700_000_007,
    };
    let news = vec![site_news(PendingPurges::Some(vec![1 << 40, 2])), site_news(PendingPurges::Many)];
    let all = [
        ("granted", granted),
        ("fresh", Response::ResetRequired { position: at(16), withdrawn: vec![401, 403] }),
        ("applied", Response::Applied(at(17))),
        ("ordered", Response::Committed(at(18))),
        ("progress", progress),
        ("written", Response::Written),
        ("found", Response::Found { page, process: "north-1".into() }),
        ("summaries", Response::Summaries(news)),
        ("read-index", Response::ReadIndex(1_000)),
        ("standing-none", Response::HeldVote(None)),
        ("standing", Response::HeldVote(Some(vote))),
        ("log-answer", Response::Log(Ok(vec![1, 2]))),
        ("log-error", Response::Log(Err(vec![3]))),
        ("done", Response::Done),
    ];
    let all = all.into_iter().map(|(label, response)| (label.to_string(), response));
    let refused =
        refusals().into_iter().map(|(label, why)| (format!("refused-{label}"), Response::Rejected(why)));
    all.chain(refused).collect()
}

fn bodies() -> Vec<(String, Body)> {
    let hellos = [
        ("hello-process".to_string(), Body::Hello(hello(Role::Process("north".into(), 2)))),
        ("hello-front".to_string(), Body::Hello(hello(Role::Front))),
    ];
    let asks = requests().into_iter().map(|(label, ask)| (format!("ask-{label}"), Body::Request(51, ask)));
    let answers =
        responses().into_iter().map(|(label, answer)| (format!("answer-{label}"), Body::Answer(52, answer)));
    hellos.into_iter().chain(asks).chain(answers).collect()
}

/// The unsealed payload of the second frame of an end, so that what it names of the other end is in it too.
fn encoded(label: &str, body: &Body) -> Sample {
    let mut writer = FrameWriter::new(keys());
    writer.seal(body, NONCE).unwrap();
    writer.set_peer(&hello(Role::Front));
    let sealed = writer.seal(body, NONCE).unwrap();
    (label.to_string(), keys().open_for(PURPOSE, &sealed).unwrap())
}

fn all_encoded() -> Vec<Sample> {
    bodies().iter().map(|(label, body)| encoded(label, body)).collect()
}

#[test]
fn encodes_every_message_as_pinned() {
    assert_pinned(FILE, &all_encoded());
}

#[test]
fn decodes_every_pinned_message_to_the_same_value() {
    let pinned = read(FILE);
    assert_eq!(pinned.len(), bodies().len());
    for ((label, payload), (_, body)) in pinned.iter().zip(bodies()) {
        let sealed = keys().seal_for(PURPOSE, payload, NONCE);
        assert_eq!(peek(&keys(), &sealed), Some(body), "{label}");
    }
}

#[test]
#[ignore = "writes the pinned file anew"]
fn write_pinned_frames() {
    pinned::write(FILE, &all_encoded());
}
