//! Pins the encodings of the messages between processes, as they are in an unsealed frame. Processes of
//! different builds exchange messages, so renaming or reordering in the code must not change the encodings.
//!
//! `tests/data/frames.txt` was written by the build of version 0.2.0. After an intended change of the format,
//! write it again with `cargo test -p lilacpitch-fleet --test pinned_frames -- --ignored`.
//! The labels below are those in the file.

mod pinned;

use lilacpitch_fleet::audit::{AuditRecord, Change, Version};
use lilacpitch_fleet::disk_loss_recovery::LogVote;
use lilacpitch_fleet::frame::{peek, FrameWriter};
use lilacpitch_fleet::message::{
    Body, CommandAction, FleetCommand, Hello, KnownSummary, LogMessage, LogPosition, PendingPurges,
    PurgeScope, RecordChange, RejectReason, Request, Response, Role, SiteSummaryUpdate,
};
use lilacpitch_gossip::Keys;
use lilacpitch_location::{Key, Kind, LocationRecord, Number, Owner, Page, Query, QueryTarget, ShardUpdate};
use pinned::{assert_pinned, read, Sample};

const FILE: &str = "frames.txt";
const PURPOSE: &[u8] = b"lilacpitch.fleet.1";
const NONCE: [u8; 24] = [9; 24];
/// The nonce in the Hello of the other end.
const PEER_NONCE: u64 = 0x0102_0304_0506_0708;

fn keys() -> Keys {
    Keys::from_bytes([7; 32])
}

fn key() -> Key {
    let owner =
        Owner { name: "server-3".into(), front: "edge-1".into(), incarnation: 1_700_000_001, serial: 77 };
    Key { number: Number::new("+4930123").unwrap(), kind: Kind::ActiveCall, owner }
}

fn location_record() -> LocationRecord {
    let mut key = key();
    key.kind = Kind::Binding;
    LocationRecord {
        key,
        class: "emergency".into(),
        trunk_group: "north".into(),
        since_ms: 1_700_000_002_345,
    }
}

fn position(index: u64) -> LogPosition {
    LogPosition { log: 1_700_000_003, index }
}

fn hello(role: Role) -> Hello {
    Hello { version: 1, name: "north-1".into(), incarnation: 1_700_000_004, role, nonce: PEER_NONCE }
}

fn audit_record() -> AuditRecord {
    let version = Version {
        settings: 301,
        endpoint_list: 302,
        build: "b1".into(),
        uses_cache: true,
        accepts_calls: false,
    };
    let change = Change { serial: 5, at_ms: 1_700_000_005, version, position: position(6), moved_to: 8 };
    AuditRecord { front: "edge-1".into(), incarnation: 9, seen_ms: 1_700_000_006, changes: vec![change] }
}

fn commands() -> Vec<FleetCommand> {
    let number = PurgeScope::Number(Number::new("*31#").unwrap());
    let scopes =
        vec![number, PurgeScope::Prefix("+49".into()), PurgeScope::Owner("server-3".into()), PurgeScope::All];
    let actions = [CommandAction::Purge(scopes), CommandAction::Withdraw(401), CommandAction::Reinstate(402)];
    actions.into_iter().zip(11..).map(|(action, number)| FleetCommand { number, action }).collect()
}

fn summary_update(pending: PendingPurges) -> SiteSummaryUpdate {
    let base = Some((2, vec![0xab, 0xcd, 0xef]));
    let shard_updates = vec![ShardUpdate { shard: 3, version: 9, base, added: vec![70_000, 5] }];
    SiteSummaryUpdate {
        site: "north".into(),
        incarnation: 21,
        shards: 8,
        total: 33,
        age_ns: 900_000,
        pending,
        purge_position: position(4),
        shard_updates,
        has_more: true,
    }
}

fn queries() -> [Query; 2] {
    let target = QueryTarget::Prefix("+4930".into());
    let (class, trunk_group) = (Some("emergency".into()), Some("north".into()));
    let by_prefix =
        Query { target, kind: Some(Kind::ActiveCall), class, trunk_group, since_ms: Some((500, 600)) };
    [by_prefix, Query::binding_of(Number::new("112").unwrap())]
}

fn requests() -> Vec<(&'static str, Request)> {
    let [by_prefix, by_number] = queries();
    let find = |query, after| Request::FindRecords { query, after, limit: 300, urgent: true };
    let known = KnownSummary { site: "north".into(), incarnation: 21, shards: vec![4, 500], total: 504 };
    let report = Request::ReportAcknowledged {
        acknowledged: position(12),
        missing: vec!["edge-2".into(), "edge-3".into()],
        missing_count: 40,
    };
    let changes = vec![RecordChange::Upsert(location_record()), RecordChange::Withdraw(key())];
    let log = Request::Log;
    vec![
        ("renew-none", Request::RenewLease(None)),
        ("renew", Request::RenewLease(Some(position(300)))),
        ("sum", report),
        ("leave", Request::ReleaseLease),
        ("orders", Request::Commands { log: 1_700_000_003, commands: commands() }),
        ("submit", Request::Submit(CommandAction::Withdraw(401))),
        ("progress", Request::Progress),
        ("audit", Request::Audit(vec![audit_record()])),
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

fn reject_reasons() -> Vec<(&'static str, RejectReason)> {
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
    let page = Page { records: vec![location_record()], cursor: Some(key()) };
    let (missing, missing_count) = (vec!["edge-2".into()], 40);
    let progress = Response::Progress { ordered: position(14), complete: 13, missing, missing_count };
    let granted = Response::LeaseGranted {
        for_ns: 2_000_000,
        position: position(15),
        commands: commands(),
        store_id: 1_700_000_007,
    };
    let updates =
        vec![summary_update(PendingPurges::Some(vec![1 << 40, 2])), summary_update(PendingPurges::Many)];
    let responses = [
        ("granted", granted),
        ("fresh", Response::ResetRequired { position: position(16), withdrawn: vec![401, 403] }),
        ("applied", Response::Applied(position(17))),
        ("ordered", Response::Committed(position(18))),
        ("progress", progress),
        ("written", Response::Written),
        ("found", Response::Found { page, process: "north-1".into() }),
        ("summaries", Response::Summaries(updates)),
        ("read-index", Response::ReadIndex(1_000)),
        ("standing-none", Response::HeldVote(None)),
        ("standing", Response::HeldVote(Some(vote))),
        ("log-answer", Response::Log(Ok(vec![1, 2]))),
        ("log-error", Response::Log(Err(vec![3]))),
        ("done", Response::Done),
    ];
    let responses = responses.into_iter().map(|(label, response)| (label.to_string(), response));
    let rejections = reject_reasons().into_iter();
    let rejections =
        rejections.map(|(label, reason)| (format!("refused-{label}"), Response::Rejected(reason)));
    responses.chain(rejections).collect()
}

fn bodies() -> Vec<(String, Body)> {
    let hellos = [
        ("hello-process".to_string(), Body::Hello(hello(Role::Process("north".into(), 2)))),
        ("hello-front".to_string(), Body::Hello(hello(Role::Front))),
    ];
    let requests = requests().into_iter();
    let requests = requests.map(|(label, request)| (format!("ask-{label}"), Body::Request(51, request)));
    let responses = responses().into_iter();
    let responses =
        responses.map(|(label, response)| (format!("answer-{label}"), Body::Answer(52, response)));
    hellos.into_iter().chain(requests).chain(responses).collect()
}

/// The unsealed payload of the second frame on a connection, so that it contains the nonce of the other end.
fn encode(label: &str, body: &Body) -> Sample {
    let mut writer = FrameWriter::new(keys());
    writer.seal(body, NONCE).unwrap();
    writer.set_peer(&hello(Role::Front));
    let sealed = writer.seal(body, NONCE).unwrap();
    (label.to_string(), keys().open_for(PURPOSE, &sealed).unwrap())
}

fn encode_all() -> Vec<Sample> {
    bodies().iter().map(|(label, body)| encode(label, body)).collect()
}

#[test]
fn encodes_every_message_as_pinned() {
    assert_pinned(FILE, &encode_all());
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
#[ignore = "overwrites the pinned file"]
fn write_pinned_frames() {
    pinned::write(FILE, &encode_all());
}
