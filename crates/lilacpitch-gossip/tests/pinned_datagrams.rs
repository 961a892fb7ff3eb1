//! Pins the plaintext of datagrams between fronts. Fronts of different builds gossip with one another, so
//! renaming or reordering of fields must not change the encoding.
//!
//! Each line of `tests/data/datagrams.txt` is `label hex`, written by the build of version 0.2.0. Random
//! numbers come from fixed seeds. After an intended change of the format, write the file again with `cargo
//! test -p lilacpitch-gossip --test pinned_datagrams -- --ignored`.

use lilacpitch_gossip::{Effect, Keys, MemberId, Peers, Requester, ServerReport, Settings};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

const START: u64 = 1_700_000_000_000_000_000;
const REQUESTER: usize = 0;
const RESPONDER: usize = 1;

type Sample = (String, Vec<u8>);

fn keys() -> Keys {
    Keys::from_bytes([7; 32])
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

fn front(index: usize) -> Peers {
    let seeds = vec![address(1 - index)];
    let settings =
        Settings { name: format!("edge-{index}"), address: address(index), seeds, keys: keys(), fronts: 2 };
    Peers::new(settings, START + index as u64, index as u64)
}

fn report() -> ServerReport {
    ServerReport {
        server: "r1".into(),
        age_ms: 40,
        wait_ms: 900,
        in_flight: 2,
        succeeded: 300,
        is_unresponsive: true,
        warming_up_for_ms: Some(700),
        is_draining: false,
    }
}

fn reports() -> Vec<ServerReport> {
    vec![
        report(),
        ServerReport {
            server: "r2".into(),
            warming_up_for_ms: None,
            is_unresponsive: false,
            is_draining: true,
            ..report()
        },
    ]
}

fn sent(effects: &[Effect]) -> Vec<Vec<u8>> {
    let datagram = |effect: &Effect| match effect {
        Effect::Send(_, bytes) => Some(bytes.clone()),
        _ => None,
    };
    effects.iter().filter_map(datagram).collect()
}

fn requester(effects: &[Effect]) -> Option<Requester> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReportsRequested(requester) => Some(requester.clone()),
        _ => None,
    })
}

fn deliver(receiver: &mut Peers, datagrams: &[Vec<u8>]) -> Vec<Effect> {
    let mut effects = Vec::new();
    datagrams.iter().for_each(|bytes| receiver.handle_datagram(START, bytes, &mut effects).unwrap());
    effects
}

/// One front starts and requests reports; the other responds and then publishes rumors.
fn exchange() -> Vec<Sample> {
    let (mut requesting, mut responding) = (front(REQUESTER), front(RESPONDER));
    let mut effects = Vec::new();
    requesting.start(START, &mut effects);
    let start = sent(&effects);
    let effects = deliver(&mut responding, &start);
    let mut response = Vec::new();
    let requester = requester(&effects).expect("a request for reports");
    responding.answer_request(START, requester, reports(), &mut response);
    let membership = sent(&effects);
    deliver(&mut requesting, &membership);
    let mut rumors = Vec::new();
    responding.publish_reports(START, &reports(), &mut rumors);
    let groups =
        [("start", start), ("membership", membership), ("answer", sent(&response)), ("news", sent(&rumors))];
    let label = |(name, datagrams): (&str, Vec<Vec<u8>>)| {
        let open =
            |(index, sealed): (usize, Vec<u8>)| (format!("{name}-{index}"), keys().open(&sealed).unwrap());
        datagrams.into_iter().enumerate().map(open).collect::<Vec<_>>()
    };
    groups.into_iter().flat_map(label).collect()
}

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/datagrams.txt")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn lines(samples: &[Sample]) -> String {
    samples.iter().map(|(label, bytes)| format!("{label} {}\n", hex(bytes))).collect()
}

fn pinned(group: &str) -> Vec<Vec<u8>> {
    let byte = |hex: &str, offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16).unwrap();
    let text = std::fs::read_to_string(path()).unwrap();
    let samples = text.lines().filter_map(|line| line.split_once(' '));
    let in_group = samples.filter(|(label, _)| label.starts_with(group));
    let plain = in_group.map(|(_, hex)| (0..hex.len()).step_by(2).map(|o| byte(hex, o)).collect::<Vec<u8>>());
    plain.map(|plain| keys().seal(&plain, [9; 24])).collect()
}

fn responder_id() -> MemberId {
    MemberId { name: "edge-1".into(), address: address(RESPONDER), epoch: START + RESPONDER as u64 }
}

#[test]
fn encodes_every_datagram_as_pinned() {
    assert_eq!(lines(&exchange()), std::fs::read_to_string(path()).unwrap());
}

#[test]
fn decodes_every_pinned_datagram() {
    let mut requesting = front(REQUESTER);
    requesting.start(START, &mut Vec::new());
    let mut responding = front(RESPONDER);
    assert!(requester(&deliver(&mut responding, &pinned("start"))).is_some());
    let effects = deliver(&mut requesting, &pinned("answer"));
    assert!(effects.contains(&Effect::ReportsReceived(responder_id(), reports())), "{effects:?}");
    let effects = deliver(&mut requesting, &pinned("membership"));
    assert!(effects.contains(&Effect::MemberJoined(responder_id())), "{effects:?}");
    let effects = deliver(&mut requesting, &pinned("news"));
    let origin = responder_id().origin();
    let without_draining =
        reports().into_iter().map(|report| (origin, ServerReport { is_draining: false, ..report }));
    assert!(effects.contains(&Effect::RumorsReceived(without_draining.collect())), "{effects:?}");
}

#[test]
#[ignore = "writes the pinned file anew"]
fn write_pinned_datagrams() {
    std::fs::write(path(), lines(&exchange())).unwrap();
}
