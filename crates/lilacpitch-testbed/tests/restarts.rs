//! Days on sockets with real processes that know each other, are killed and start anew, on a network that damages.

use lilacpitch_testbed::datagram_relay::Relay;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::record::Seen;
use lilacpitch_testbed::runner::{play, PlayError};
use lilacpitch_testbed::simulated_network::Weather;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::Duration;

const DAY: &str = r#"
length: "7s"
edges: 3
per_s: 60
peers: true
peer_loss: 10
classes: [{name: "one", aim: "1.5s", give_up: "6s", worth: 1, hold: "1s"}]
servers: [
	{name: "r1", pool: "a", per_s: 60},
	{name: "r2", pool: "a", per_s: 60},
	{name: "r3", pool: "b", per_s: 60},
]
troubles: [
	{kind: "restart", at: "1s", for: "1s", edges: [0]},
	{kind: "freeze", at: "700ms", for: "2s", edges: [0]},
	{kind: "restart", at: "3s", for: "500ms", edges: [1, 2]},
	{kind: "restart", at: "3.2s", for: "200ms", edges: [1]},
	{kind: "peers_damaged", at: "0s", for: "6s", size: 0.4},
	{kind: "silent", at: "2s", for: "3s", servers: ["r3"]},
]
"#;

#[test]
fn fronts_that_are_killed_and_start_anew_keep_all_rules_and_carry_calls_again() {
    let day = Day::from_text("day.cue", DAY).unwrap();
    let program =
        Program::Process(PathBuf::from(env!("CARGO_BIN_EXE_lilacpitch-testbed")), vec!["edge".into()]);
    let played = play(&day, &program).unwrap();
    assert_eq!(played.breaches, vec![]);
    assert!(played.report.service > 0.5, "{}", played.report);
    assert!(played.talk.datagrams > 100, "they talk: {:?}", played.talk);
    let setups = |of: usize, from_s: u64, to_s: u64| {
        let within = |at: u64| (from_s * 1_000_000_000..to_s * 1_000_000_000).contains(&at);
        let is = |seen: &Seen| matches!(seen, Seen::Setup { edge, .. } if *edge == of);
        played.records.iter().filter(|r| within(r.at_ns) && is(&r.seen)).count()
    };
    for (edge, back_s) in [(0, 3), (1, 5), (2, 5)] {
        assert!(setups(edge, back_s, 7) > 10, "front {edge} carries again");
    }
    let down = setups(0, 0, 1) > 0 && {
        let at = |r: &&lilacpitch_testbed::record::Record| (1_100_000_000..1_900_000_000).contains(&r.at_ns);
        !played.records.iter().filter(at).any(|r| matches!(r.seen, Seen::Setup { edge: 0, .. }))
    };
    assert!(down, "front 0 was down from 1 s to 2 s");
}

#[test]
fn what_cannot_be_played_on_sockets_is_said() {
    let threads = Program::Thread(lilacpitch_edge::core::Safeguards::default());
    let restarts = Day::from_text("day.cue", DAY).unwrap();
    assert!(matches!(play(&restarts, &threads), Err(PlayError::ProcessesOnly)));
    let confused = DAY.replace("peers_damaged", "peers_confused");
    let confused = Day::from_text("day.cue", &confused).unwrap();
    assert!(matches!(play(&confused, &threads), Err(PlayError::VirtualOnly)));
}

#[test]
fn a_relay_carries_loses_damages_and_cuts_off() {
    let ends: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    ends[1].set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let relay = Relay::start(ends.iter().map(|e| e.local_addr().unwrap()).collect(), 3).unwrap();
    let through = |count: u8| -> Vec<Vec<u8>> {
        for i in 0..count {
            ends[0].send_to(&[i; 100], relay.public[1]).unwrap();
        }
        let mut buffer = [0; 4_000];
        std::iter::from_fn(|| ends[1].recv(&mut buffer).ok().map(|length| buffer[..length].to_vec()))
            .collect()
    };
    assert_eq!(through(3), [[0; 100], [1; 100], [2; 100]], "as they came");
    relay.weather(Weather { lost: 100, ..Weather::default() });
    assert_eq!(through(3), Vec::<Vec<u8>>::new());
    relay.weather(Weather { split: 1, ..Weather::default() });
    assert_eq!(through(3), Vec::<Vec<u8>>::new());
    relay.weather(Weather { damaged: 100, ..Weather::default() });
    let damaged = through(60);
    assert!(damaged.iter().any(|d| d.len() < 100), "cut short");
    assert!(damaged.iter().any(|d| d.len() > 1_452), "too long");
    assert!(damaged.iter().any(|d| d.len() == 100 && d.iter().any(|b| *b != d[50])), "changed");
    assert!(damaged.len() > 60, "and some twice: {}", damaged.len());
    let counts = relay.stop().unwrap();
    assert_eq!((counts.came, counts.lost), ((69, 6_900), 6));
}
