//! Pins the bytes of datagrams among fronts, as they stand once unsealed: fronts of different builds gossip with one
//! another, so no renaming and no reordering may change them.
//!
//! Each line of `tests/data/datagrams.txt` is `label hex`, written by the build of version 0.2.0. Drawn numbers come
//! from fixed seeds. After a change of the format that is meant:
//! `cargo test -p lilacpitch-gossip --test pinned_datagrams -- --ignored`.

use lilacpitch_gossip::{Effect, Keys, MemberId, Peers, Requester, ServerReport, Settings};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

const START: u64 = 1_700_000_000_000_000_000;
const ASKING: usize = 0;
const TELLING: usize = 1;

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

fn fact() -> ServerReport {
    let (age_ms, wait_ms, out, stood) = (40, 900, 2, 300);
    ServerReport {
        server: "r1".into(),
        age_ms,
        wait_ms,
        in_flight: out,
        succeeded: stood,
        is_unresponsive: true,
        warming_up_for_ms: Some(700),
        is_draining: false,
    }
}

fn facts() -> Vec<ServerReport> {
    vec![
        fact(),
        ServerReport {
            server: "r2".into(),
            warming_up_for_ms: None,
            is_unresponsive: false,
            is_draining: true,
            ..fact()
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

fn asker(effects: &[Effect]) -> Option<Requester> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReportsRequested(asker) => Some(asker.clone()),
        _ => None,
    })
}

fn hand(to: &mut Peers, datagrams: &[Vec<u8>]) -> Vec<Effect> {
    let mut effects = Vec::new();
    datagrams.iter().for_each(|bytes| to.handle_datagram(START, bytes, &mut effects).unwrap());
    effects
}

/// One front starts and asks, the other answers it and then tells news.
fn talk() -> Vec<Sample> {
    let (mut asking, mut telling) = (front(ASKING), front(TELLING));
    let mut effects = Vec::new();
    asking.start(START, &mut effects);
    let first = sent(&effects);
    let heard = hand(&mut telling, &first);
    let mut answer = Vec::new();
    telling.answer_request(START, asker(&heard).expect("a question"), facts(), &mut answer);
    let membership = sent(&heard);
    hand(&mut asking, &membership);
    let mut news = Vec::new();
    telling.publish_reports(START, &facts(), &mut news);
    let groups =
        [("start", first), ("membership", membership), ("answer", sent(&answer)), ("news", sent(&news))];
    let label = |(name, datagrams): (&str, Vec<Vec<u8>>)| {
        let open = |(at, sealed): (usize, Vec<u8>)| (format!("{name}-{at}"), keys().open(&sealed).unwrap());
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
    let byte = |hex: &str, at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    let text = std::fs::read_to_string(path()).unwrap();
    let of_group =
        text.lines().filter_map(|line| line.split_once(' ')).filter(|(at, _)| at.starts_with(group));
    let plain =
        of_group.map(|(_, hex)| (0..hex.len()).step_by(2).map(|at| byte(hex, at)).collect::<Vec<u8>>());
    plain.map(|plain| keys().seal(&plain, [9; 24])).collect()
}

fn origin() -> MemberId {
    MemberId { name: "edge-1".into(), address: address(TELLING), epoch: START + TELLING as u64 }
}

#[test]
fn encodes_every_datagram_as_pinned() {
    assert_eq!(lines(&talk()), std::fs::read_to_string(path()).unwrap());
}

#[test]
fn takes_every_pinned_datagram_for_what_was_said() {
    let mut asking = front(ASKING);
    asking.start(START, &mut Vec::new());
    let mut telling = front(TELLING);
    assert!(asker(&hand(&mut telling, &pinned("start"))).is_some());
    let told = hand(&mut asking, &pinned("answer"));
    assert!(told.contains(&Effect::ReportsReceived(origin(), facts())), "{told:?}");
    let joined = hand(&mut asking, &pinned("membership"));
    assert!(joined.contains(&Effect::MemberJoined(origin())), "{joined:?}");
    let heard = hand(&mut asking, &pinned("news"));
    let without_draining =
        facts().into_iter().map(|fact| (origin().origin(), ServerReport { is_draining: false, ..fact }));
    assert!(heard.contains(&Effect::RumorsReceived(without_draining.collect())), "{heard:?}");
}

#[test]
#[ignore = "writes the pinned file anew"]
fn write_pinned_datagrams() {
    std::fs::write(path(), lines(&talk())).unwrap();
}
