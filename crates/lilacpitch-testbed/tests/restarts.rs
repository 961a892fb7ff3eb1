//! Runs on sockets with real processes that gossip over a faulty network and are killed and restarted, and
//! tests of the relay that injects the faults.

use lilacpitch_testbed::datagram_relay::Relay;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::record::{Record, Seen};
use lilacpitch_testbed::runner::{run_day, RunError};
use lilacpitch_testbed::simulated_network::NetworkConditions;
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
fn restarted_fronts_keep_all_rules_and_carry_calls_again() {
    let day = Day::from_text("day.cue", DAY).unwrap();
    let program =
        Program::Process(PathBuf::from(env!("CARGO_BIN_EXE_lilacpitch-testbed")), vec!["edge".into()]);
    let result = run_day(&day, &program).unwrap();
    assert_eq!(result.violations, vec![]);
    assert!(result.report.service > 0.5, "{}", result.report);
    assert!(result.gossip_traffic.datagrams > 100, "too little gossip: {:?}", result.gossip_traffic);
    let setups = |front: usize, from_s: u64, to_s: u64| {
        let is_within = |at_ns: u64| (from_s * 1_000_000_000..to_s * 1_000_000_000).contains(&at_ns);
        let is_setup = |seen: &Seen| matches!(seen, Seen::Setup { edge, .. } if *edge == front);
        let records = result.records.iter();
        records.filter(|record| is_within(record.at_ns) && is_setup(&record.seen)).count()
    };
    for (front, restarted_s) in [(0, 3), (1, 5), (2, 5)] {
        assert!(setups(front, restarted_s, 7) > 10, "front {front} carries too few calls after its restart");
    }
    let was_down = setups(0, 0, 1) > 0 && {
        let is_in_downtime = |record: &&Record| (1_100_000_000..1_900_000_000).contains(&record.at_ns);
        let mut records_in_downtime = result.records.iter().filter(is_in_downtime);
        !records_in_downtime.any(|record| matches!(record.seen, Seen::Setup { edge: 0, .. }))
    };
    assert!(was_down, "front 0 was not down from 1 s to 2 s");
}

#[test]
fn unsupported_faults_are_rejected() {
    let threads = Program::Thread(lilacpitch_edge::core::Safeguards::default());
    let day_with_restarts = Day::from_text("day.cue", DAY).unwrap();
    assert!(matches!(run_day(&day_with_restarts, &threads), Err(RunError::ProcessesOnly)));
    let confused_text = DAY.replace("peers_damaged", "peers_confused");
    let day_with_confused_front = Day::from_text("day.cue", &confused_text).unwrap();
    assert!(matches!(run_day(&day_with_confused_front, &threads), Err(RunError::VirtualOnly)));
}

#[test]
fn relay_forwards_drops_damages_and_partitions() {
    let ends: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    ends[1].set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let relay = Relay::start(ends.iter().map(|end| end.local_addr().unwrap()).collect(), 3).unwrap();
    let send_and_receive = |count: u8| -> Vec<Vec<u8>> {
        for i in 0..count {
            ends[0].send_to(&[i; 100], relay.public[1]).unwrap();
        }
        let mut buffer = [0; 4_000];
        std::iter::from_fn(|| ends[1].recv(&mut buffer).ok().map(|length| buffer[..length].to_vec()))
            .collect()
    };
    assert_eq!(send_and_receive(3), [[0; 100], [1; 100], [2; 100]], "datagrams must arrive in order");
    relay.set_conditions(NetworkConditions { lost: 100, ..NetworkConditions::default() });
    assert_eq!(send_and_receive(3), Vec::<Vec<u8>>::new());
    relay.set_conditions(NetworkConditions { split: 1, ..NetworkConditions::default() });
    assert_eq!(send_and_receive(3), Vec::<Vec<u8>>::new());
    relay.set_conditions(NetworkConditions { damaged: 100, ..NetworkConditions::default() });
    let damaged = send_and_receive(60);
    assert!(damaged.iter().any(|datagram| datagram.len() < 100), "none was truncated");
    assert!(damaged.iter().any(|datagram| datagram.len() > 1_452), "none was extended");
    assert!(
        damaged
            .iter()
            .any(|datagram| datagram.len() == 100 && datagram.iter().any(|byte| *byte != datagram[50])),
        "none was changed"
    );
    assert!(damaged.len() > 60, "none was duplicated: {}", damaged.len());
    let counts = relay.stop().unwrap();
    assert_eq!((counts.received, counts.lost), ((69, 6_900), 6));
}
