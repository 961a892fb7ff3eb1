//! Fronts on a simulated network: they find each other, notice who dies, and ask; with loss, delay and partitions,
//! seeded. Plus everything that must be refused.

use lilacpitch_gossip::sealed_datagram::VERSION;
use lilacpitch_gossip::{DatagramError, Effect, Keys, MemberId, Peers, Requester, ServerReport, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const START: u64 = 1_700_000_000 * S;

fn keys(byte: u8) -> Keys {
    Keys::from_text(&format!("{byte:02x}").repeat(32)).unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

fn settings(index: usize, fronts: usize) -> Settings {
    let seeds = vec![address(0), address(1), address(2)];
    Settings {
        name: format!("edge-{index}"),
        address: address(index),
        seeds,
        keys: keys(7),
        fronts: fronts as u32,
    }
}

fn fact(server: &str) -> ServerReport {
    ServerReport {
        server: server.into(),
        age_ms: 40,
        wait_ms: 900,
        in_flight: 2,
        succeeded: 1,
        is_unresponsive: false,
        warming_up_for_ms: None,
        is_draining: false,
    }
}

struct Net {
    now: u64,
    fronts: Vec<Option<Peers>>,
    /// On their way, by arrival.
    flying: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    serial: u64,
    random: u64,
    /// Of 100 datagrams, so many are lost.
    loss: u64,
    /// Whether two fronts reach each other.
    reach: fn(usize, usize) -> bool,
    effects: Vec<(u64, usize, Effect)>,
    count: usize,
}

impl Net {
    fn new(count: usize, loss: u64) -> Self {
        let mut net = Net {
            now: START,
            fronts: (0..count).map(|_| None).collect(),
            flying: BTreeMap::new(),
            serial: 0,
            random: 42,
            loss,
            reach: |_, _| true,
            effects: Vec::new(),
            count,
        };
        (0..count).for_each(|index| net.start(index));
        net
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) % below
    }

    fn start(&mut self, index: usize) {
        let mut front = Peers::new(settings(index, self.count), self.now, self.now ^ index as u64);
        let mut out = Vec::new();
        front.start(self.now, &mut out);
        self.fronts[index] = Some(front);
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, from: usize, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, bytes) => {
                    let to = usize::from(to.port() - 10_000);
                    let lost = self.draw(100) < self.loss || !(self.reach)(from, to);
                    let at = self.now + MS / 2 + self.draw(2 * MS);
                    self.serial += 1;
                    if !lost && to < self.fronts.len() {
                        self.flying.insert((at, self.serial), (to, bytes));
                    }
                }
                Effect::ReportsRequested(asker) => {
                    let mut answer = Vec::new();
                    let facts = vec![fact("r1"), fact("r2")];
                    self.fronts[from].as_mut().unwrap().answer_request(self.now, asker, facts, &mut answer);
                    self.carry_out(from, answer);
                }
                other => self.effects.push((self.now, from, other)),
            }
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let timer = self
                .fronts
                .iter()
                .enumerate()
                .filter_map(|(i, f)| Some((f.as_ref()?.next_timeout()?, i)))
                .min();
            let flight = self.flying.first_key_value().map(|((at, _), _)| *at);
            let next = timer.map(|(at, _)| at).into_iter().chain(flight).min().unwrap_or(u64::MAX);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            let mut out = Vec::new();
            if flight == Some(next) {
                let Some((_, (to, bytes))) = self.flying.pop_first() else { return };
                if let Some(front) = &mut self.fronts[to] {
                    front.handle_datagram(self.now, &bytes, &mut out).unwrap_or(());
                }
                self.carry_out(to, out);
            } else if let Some((_, index)) = timer {
                self.fronts[index].as_mut().unwrap().handle_timeout(self.now, &mut out);
                self.carry_out(index, out);
            }
        }
    }

    fn sees(&self, index: usize) -> usize {
        self.fronts[index].as_ref().map_or(0, |f| f.members().len())
    }

    fn told(&self, index: usize) -> Vec<&MemberId> {
        let told = self.effects.iter().filter_map(|(_, at, effect)| match effect {
            Effect::ReportsReceived(from, _) if *at == index => Some(from),
            _ => None,
        });
        told.collect()
    }
}

#[test]
fn twenty_fronts_that_start_at_once_find_each_other_and_are_all_told() {
    let mut net = Net::new(20, 0);
    net.run(8 * S);
    assert!((0..20).all(|i| net.sees(i) == 19), "{:?}", (0..20).map(|i| net.sees(i)).collect::<Vec<_>>());
    for index in 0..20 {
        let mut from = net.told(index);
        from.dedup();
        assert!(from.len() >= 3, "{index} was told by {from:?}");
    }
    // The seeds bore it: no front answered more than its allowance, and nobody asked for ever.
    for front in net.fronts.iter().flatten() {
        let counters = front.counters();
        assert!(counters.requests_answered <= 8 * 20 + 20, "{counters:?}");
        assert!(counters.requests_sent <= 18, "{counters:?}");
    }
}

#[test]
fn with_loss_they_find_each_other_and_a_dead_one_is_noticed_by_all() {
    for loss in [10, 30] {
        let mut net = Net::new(16, loss);
        net.run(20 * S);
        // At 30 % a live one may be missing from a view for a moment: it refutes that.
        let least = if loss < 30 { 15 } else { 13 };
        let seen: Vec<usize> = (0..16).map(|i| net.sees(i)).collect();
        assert!(seen.iter().all(|n| *n >= least), "{loss} %: {seen:?}");
        net.effects.clear();
        net.fronts[5] = None;
        let died = net.now;
        net.run(if loss < 30 { 45 * S } else { 120 * S });
        let still: Vec<usize> = (0..16)
            .filter(|i| {
                net.fronts[*i].as_ref().is_some_and(|f| f.members().iter().any(|m| m.name == "edge-5"))
            })
            .collect();
        assert!(still.is_empty(), "{loss} %: noticed by all but {still:?}");
        let left =
            net.effects.iter().filter(|(_, _, e)| matches!(e, Effect::MemberLeft(p) if p.name == "edge-5"));
        let last = left.map(|(at, _, _)| *at).max().unwrap();
        // At 30 % it is a matter of chance: a front that is itself taken for dead comes back under a new life and
        // begins its suspicions anew. 50 to 60 s were seen; before it probed again after that, not within 120 s.
        let within = if loss < 30 { 20 * S } else { 100 * S };
        assert!(last - died < within, "{loss} %: after {} ms", (last - died) / MS);
    }
}

#[test]
fn a_front_that_restarts_under_its_name_replaces_its_former_life() {
    let mut net = Net::new(6, 0);
    net.run(5 * S);
    let before = net.fronts[1].as_ref().unwrap().members();
    // Killed and back at once, while it is being asked.
    net.start(4);
    net.run(3 * S);
    let after = net.fronts[1].as_ref().unwrap().members();
    let epoch = |members: &[MemberId]| members.iter().find(|m| m.name == "edge-4").map(|m| m.epoch);
    assert!(epoch(&after) > epoch(&before), "{after:?}");
    assert_eq!(after.len(), 5, "once only");
    assert_eq!(net.sees(4), 5);
}

#[test]
fn a_partition_heals_without_a_storm() {
    let mut net = Net::new(12, 0);
    net.run(8 * S);
    net.reach = |a, b| (a < 6) == (b < 6);
    net.run(40 * S);
    assert!((0..12).all(|i| net.sees(i) == 5), "each half sees itself");
    let sent = |net: &Net| net.fronts.iter().flatten().map(|f| f.counters().sent_datagrams).sum::<u64>();
    let before = sent(&net);
    net.run(10 * S);
    let apart = sent(&net) - before;
    net.reach = |_, _| true;
    let before = sent(&net);
    net.run(10 * S);
    let healing = sent(&net) - before;
    assert!(healing < 4 * apart, "{healing} datagrams while it heals, {apart} before");
    net.run(130 * S);
    assert!((0..12).all(|i| net.sees(i) == 11), "{:?}", (0..12).map(|i| net.sees(i)).collect::<Vec<_>>());
}

#[test]
fn with_all_messages_lost_a_front_starts_and_stops_asking() {
    let mut net = Net::new(4, 100);
    net.run(60 * S);
    assert!((0..4).all(|i| net.sees(i) == 0 && net.told(i).is_empty()));
    assert!(net.fronts.iter().flatten().all(|f| f.counters().requests_sent <= 24));
}

/// A front, and a datagram with a question sealed for it by another.
fn asked() -> (Peers, Vec<u8>) {
    let mut out = Vec::new();
    Peers::new(settings(1, 3), START, 1).start(START, &mut out);
    let to_0 = |e: &Effect| matches!(e, Effect::Send(to, _) if *to == address(0));
    let last = out.into_iter().rfind(to_0);
    let Some(Effect::Send(_, bytes)) = last else { panic!("seed 0 is asked among three") };
    (Peers::new(settings(0, 3), START, 0), bytes)
}

#[test]
fn what_must_be_refused_is_refused_by_name_and_counted() {
    let (mut front, good) = asked();
    let mut out = Vec::new();
    let mut refused =
        |front: &mut Peers, now, bytes: &[u8]| front.handle_datagram(now, bytes, &mut out).err();
    let mut changed = good.clone();
    *changed.last_mut().unwrap() ^= 1;
    assert_eq!(refused(&mut front, START, &changed), Some(DatagramError::Forged));
    assert_eq!(refused(&mut front, START, &good[..good.len() - 1]), Some(DatagramError::Forged));
    assert_eq!(refused(&mut front, START, &good[..20]), Some(DatagramError::TooShort));
    assert_eq!(refused(&mut front, START, &[]), Some(DatagramError::TooShort));
    assert_eq!(
        refused(&mut front, START, &[&good[..], &[0; 2000][..]].concat()),
        Some(DatagramError::TooLong)
    );
    for version in [0, VERSION - 1, VERSION + 1, 255] {
        let other = [&[version], &good[1..]].concat();
        assert_eq!(
            refused(&mut front, START, &other),
            Some(DatagramError::Version(version)),
            "older and newer fronts"
        );
    }
    assert_eq!(refused(&mut front, START + 61 * S, &good), Some(DatagramError::Clock));
    let (mut front, good) = asked();
    let mut refused =
        |front: &mut Peers, now, bytes: &[u8]| front.handle_datagram(now, bytes, &mut out).err();
    assert_eq!(refused(&mut front, START, &good), None);
    assert_eq!(refused(&mut front, START, &good), Some(DatagramError::Replayed));
    let mut stranger = Peers::new(Settings { keys: keys(8), ..settings(2, 3) }, START, 5);
    let mut sent = Vec::new();
    stranger.start(START, &mut sent);
    let Some(Effect::Send(_, foreign)) = sent.first() else { panic!("it announces itself") };
    assert_eq!(refused(&mut front, START, foreign), Some(DatagramError::Forged));
    assert_eq!(front.counters().rejected.values().sum::<u64>(), 2);
    // A front hears itself where a seed list names it under another address: its own name is no peer.
    let mut own = Peers::new(settings(1, 3), START + 1, 9);
    assert_eq!(refused(&mut own, START + 1, &good), Some(DatagramError::Own));
}

#[test]
fn answers_count_once_and_only_when_asked_for() {
    let (mut teller, question) = asked();
    let mut out = Vec::new();
    teller.handle_datagram(START, &question, &mut out).unwrap();
    let Some(Effect::ReportsRequested(asker)) = out.pop() else { panic!("{out:?}") };
    let answer = |teller: &mut Peers, asker: Requester, facts: Vec<ServerReport>| {
        let mut out = Vec::new();
        teller.answer_request(START, asker, facts, &mut out);
        let bytes = out.into_iter().map(|e| match e {
            Effect::Send(_, bytes) => bytes,
            other => panic!("{other:?}"),
        });
        bytes.collect::<Vec<_>>()
    };
    let mut front = Peers::new(settings(1, 3), START, 1);
    let mut out = Vec::new();
    front.start(START, &mut out);
    let first = answer(&mut teller, asker.clone(), vec![fact("r1")]);
    let second = answer(&mut teller, asker.clone(), vec![fact("r1")]);
    out.clear();
    assert_eq!(front.handle_datagram(START, &first[0], &mut out), Ok(()));
    assert!(
        matches!(&out[..], [Effect::ReportsReceived(from, facts)] if from.name == "edge-0" && facts.len() == 1)
    );
    assert_eq!(
        front.handle_datagram(START, &second[0], &mut out),
        Err(DatagramError::Unsolicited),
        "once from each"
    );
    let mut other = Peers::new(settings(2, 3), START, 3);
    other.start(START, &mut Vec::new());
    let third = answer(&mut teller, asker.clone(), vec![fact("r1")]);
    assert_eq!(other.handle_datagram(START, &third[0], &mut out), Err(DatagramError::Unsolicited));
    // What can be no fact is refused whole; many are told in parts that each fit.
    let mut mad = fact("r1");
    mad.in_flight = u32::MAX;
    let bad = answer(&mut teller, asker.clone(), vec![mad]);
    let mut front = Peers::new(settings(1, 3), START, 1);
    front.start(START, &mut out);
    assert_eq!(
        front.handle_datagram(START, &bad[0], &mut out),
        Err(DatagramError::Malformed("more set-ups than a front has"))
    );
    let many: Vec<ServerReport> =
        (0..90).map(|i| fact(&format!("server-with-a-long-name-of-its-own-{i}"))).collect();
    let parts = answer(&mut teller, asker, many);
    assert_eq!(parts.len(), 8, "64 facts at most");
    out.clear();
    parts.iter().for_each(|part| front.handle_datagram(START, part, &mut out).unwrap());
    assert_eq!(out.len(), 8);
}

#[test]
fn questions_past_the_allowance_are_refused() {
    let mut front = Peers::new(settings(0, 3), START, 0);
    let mut asked = 0;
    let mut too_often = 0;
    for index in 0..60 {
        let mut out = Vec::new();
        let seeds = vec![address(0)];
        Peers::new(Settings { seeds, ..settings(3 + index, 3) }, START, index as u64).start(START, &mut out);
        let Some(Effect::Send(_, bytes)) = out.last() else { panic!() };
        let mut effects = Vec::new();
        match front.handle_datagram(START, bytes, &mut effects) {
            Ok(()) => asked += 1,
            Err(DatagramError::TooOften) => too_often += 1,
            Err(other) => panic!("{other}"),
        }
    }
    assert_eq!((asked, too_often), (20, 40));
}

#[test]
fn key_files_are_read_strictly_and_two_keys_hold_during_a_change() {
    let line = "ab".repeat(32);
    assert!(Keys::from_text(&format!("# old\n{line}\n\n{line}\n")).is_ok());
    for (text, error) in [
        (String::new(), "0 keys, wanted one or two"),
        (format!("{line}\n{line}\n{line}"), "3 keys, wanted one or two"),
        (format!("{line}\n{}", &line[1..]), "line 2: not 64 hex digits"),
        (format!("{}é", &line[2..]), "line 1: not 64 hex digits"),
    ] {
        assert_eq!(Keys::from_text(&text).unwrap_err().to_string(), error);
    }
    let (old, new) = ("01".repeat(32), "02".repeat(32));
    let both = Keys::from_text(&format!("{new}\n{old}")).unwrap();
    let sealed = Keys::from_text(&old).unwrap().seal(b"x", [1; 24]);
    assert_eq!(both.open(&sealed), Ok(b"x".to_vec()));
    assert_eq!(Keys::from_text(&new).unwrap().open(&sealed), Err(DatagramError::Forged));
    assert_eq!(
        Keys::from_text(&new).unwrap().open(&both.seal(b"y", [2; 24])),
        Ok(b"y".to_vec()),
        "the first seals"
    );
}

#[test]
fn arbitrary_and_sealed_rubbish_never_panics() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]));
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);
    runner
        .run(&(bytes, any::<bool>()), |(bytes, sealed)| {
            let mut front = Peers::new(settings(0, 3), START, 0);
            let bytes = if sealed { keys(7).seal(&bytes, [9; 24]) } else { bytes };
            let mut out = Vec::new();
            let _ = front.handle_datagram(START, &bytes, &mut out);
            Ok(())
        })
        .unwrap();
}
