//! Failures within one site: two leaders during a partition, a lost disk beside a stale process, a full disk,
//! and a member that is replaced at another address.

use crate::broken::{complete_past, start_scenario};
use crate::{report, TIMEOUT};
use lilacpitch_testbed::fleet::cluster::{Cluster, Plan};
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::scenario::Scenario;
use std::time::Duration;

const ROOT: [&str; 3] = ["root-0", "root-1", "root-2"];
const LEASE: Duration = Duration::from_millis(1_500);

fn plan() -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(3, 2, 1) }
}

fn is_leader(cluster: &Cluster, name: &str) -> bool {
    cluster.get(cluster.index(name), "/metrics").contains("\nlilacpitch_site_leads 1\n")
}

/// Returns the leader of the root and the two other processes.
fn leader(scenario: &mut Scenario) -> (&'static str, [&'static str; 2]) {
    let mut found = None;
    scenario.wait_until(TIMEOUT, |scenario| {
        found = ROOT.iter().position(|name| is_leader(&scenario.cluster, name));
        found.is_some()
    });
    let leader = found.expect("the root has a leader");
    (ROOT[leader], [ROOT[(leader + 1) % 3], ROOT[(leader + 2) % 3]])
}

/// Orders a purge that affects no row, and returns the index of the order.
fn submit_empty_purge(scenario: &mut Scenario, process: &str) -> u64 {
    crate::submit_order(&scenario.cluster, scenario.cluster.index(process), "/purge?number=1777")
}

/// The leader of the root is partitioned together with a leaf and its front, and the others elect another
/// leader. The front has cached a number that is then withdrawn on the other side.
#[test]
fn two_leaders_during_a_partition_keep_all_guarantees() {
    let mut scenario = start_scenario(plan());
    let handset = scenario.handset("edge-1", "15550001").unwrap();
    let cached = |scenario: &mut Scenario| {
        scenario.locate("edge-0", "15550001").contains("cached true\nsite leaf0 ruled")
    };
    assert!(scenario.wait_until(TIMEOUT, cached), "{}", report(&scenario.cluster));
    let order_before = complete_past(&mut scenario, "root-0", 0).unwrap();
    let (former, others) = leader(&mut scenario);
    let group: Vec<usize> = [former, "leaf0-0", "edge-0"].map(|name| scenario.cluster.index(name)).into();
    scenario.cluster.proxy.set_partition(&group, true);
    drop(handset);
    let mut two_leaders = false;
    let gone = scenario.wait_until(TIMEOUT, |scenario| {
        scenario.locate("edge-0", "15550001");
        scenario.read_progress(former);
        two_leaders |= is_leader(&scenario.cluster, former)
            && others.iter().any(|name| is_leader(&scenario.cluster, name));
        // The purge of the withdrawn number is complete on the other side.
        let progress = others.map(|name| scenario.read_progress(name));
        progress.iter().flatten().any(|p| p.ordered > order_before && p.complete == p.ordered)
    });
    assert!(
        gone && two_leaders,
        "purge complete: {gone}, two leaders: {two_leaders}\n{}",
        report(&scenario.cluster)
    );
    (0..10).for_each(|_| drop(scenario.locate("edge-0", "15550001")));
    scenario.cluster.proxy.set_partition(&group, false);
    assert!(scenario.cluster.wait_until_ready(TIMEOUT), "{}", report(&scenario.cluster));
    let located =
        |scenario: &mut Scenario| scenario.locate("edge-0", "15550001").starts_with("complete true");
    assert!(scenario.wait_until(TIMEOUT, located), "{}", report(&scenario.cluster));
    let (breaches, judged) = scenario.check(LEASE);
    assert_eq!(breaches, vec![]);
    assert!(judged.gone > 0 && judged.acknowledged > 0, "{judged:?}");
}

/// A leader and one follower acknowledged orders. Then the leader is down, the follower's disk is lost and
/// the third process is stale. Without the safeguard, the last two elect a leader that lacks the orders.
#[test]
fn lost_disk_beside_a_stale_process_loses_no_acknowledged_order() {
    for breaks in ["", "disks"] {
        let mut scenario = start_scenario(Plan { breaks: breaks.into(), ..plan() });
        let (leader, [lost, stale]) = leader(&mut scenario);
        let [leader_at, lost_at, stale_at] = [leader, lost, stale].map(|name| scenario.cluster.index(name));
        scenario.cluster.proxy.set_partition(&[stale_at], true);
        let last_order = (0..5).map(|_| submit_empty_purge(&mut scenario, leader)).last().unwrap();
        let log = scenario.read_progress(leader).unwrap().log;
        scenario.cluster.kill(leader_at);
        scenario.cluster.kill(lost_at);
        std::fs::remove_dir_all(scenario.cluster.data_dir(lost_at)).unwrap();
        scenario.cluster.proxy.set_partition(&[stale_at], false);
        scenario.cluster.start_process(lost_at).unwrap();
        // Longer than several elections take.
        let orders_lost = scenario.wait_until(Duration::from_secs(6), |scenario| {
            let progress = [lost, stale].map(|name| scenario.read_progress(name));
            progress.iter().flatten().any(|p| p.log != log || p.ordered < last_order)
        });
        assert_eq!(orders_lost, !breaks.is_empty(), "{breaks}: {}", report(&scenario.cluster));
        if breaks.is_empty() {
            scenario.cluster.start_process(leader_at).unwrap();
            let has_all_orders = |scenario: &mut Scenario| {
                scenario
                    .read_progress(lost)
                    .is_some_and(|p| p.log == log && p.ordered >= last_order && p.complete == p.ordered)
            };
            assert!(scenario.wait_until(TIMEOUT, has_all_orders), "{}", report(&scenario.cluster));
            // It is a full member again: with the formerly stale process it forms a quorum without the old
            // leader.
            let joined =
                |scenario: &mut Scenario| scenario.cluster.log(lost_at).contains("caught up, voting enabled");
            assert!(scenario.wait_until(TIMEOUT, joined), "{}", scenario.cluster.log(lost_at));
            scenario.cluster.kill(leader_at);
            assert!(
                complete_past(&mut scenario, lost, last_order - 1).is_some(),
                "{}",
                report(&scenario.cluster)
            );
        }
    }
}

/// A process whose disk is full logs that and exits. The others continue, and once there is space again the
/// process catches up.
#[test]
fn full_disk_stops_only_its_process_with_a_clear_message() {
    let mut scenario = start_scenario(plan());
    let (_, [full, _]) = leader(&mut scenario);
    let process = scenario.cluster.index(full);
    scenario.cluster.kill(process);
    let largest = std::fs::read_dir(scenario.cluster.data_dir(process)).unwrap().flatten();
    let largest = largest.filter_map(|file| Some(file.metadata().ok()?.len())).max().unwrap();
    scenario.cluster.limit_file_size(process, Some(largest / 1024 + 1));
    scenario.cluster.start_process(process).unwrap();
    let mut last_order = 0;
    let stopped = scenario.wait_until(Duration::from_secs(60), |scenario| {
        let orders = (0..50).filter_map(|_| scenario.purge("leaf0-0", "1777"));
        last_order = orders.last().unwrap_or(last_order);
        !scenario.cluster.is_running(process)
    });
    let log = scenario.cluster.log(process);
    assert!(stopped && log.contains("disk: ") && log.contains("help: free space"), "{stopped}: {log}");
    let next_order = submit_empty_purge(&mut scenario, "leaf1-0");
    assert!(next_order > last_order && complete_past(&mut scenario, "leaf0-0", next_order - 1).is_some());
    scenario.cluster.limit_file_size(process, None);
    scenario.cluster.start_process(process).unwrap();
    let has_caught_up =
        |scenario: &mut Scenario| scenario.read_progress(full).is_some_and(|p| p.ordered >= next_order);
    assert!(scenario.wait_until(TIMEOUT, has_caught_up), "{}", report(&scenario.cluster));
}

/// A member is lost and replaced at another address with an empty disk. The other processes learn the address
/// from their settings in a rolling restart.
#[test]
fn member_is_replaced_at_another_address_without_an_outage() {
    let mut scenario = start_scenario(plan());
    let (leader, [replaced, remaining]) = leader(&mut scenario);
    let process = scenario.cluster.index(replaced);
    let order_before = submit_empty_purge(&mut scenario, "leaf0-0");
    scenario.cluster.kill(process);
    std::fs::remove_dir_all(scenario.cluster.data_dir(process)).unwrap();
    scenario.cluster.move_process(process).unwrap();
    scenario.cluster.start_process(process).unwrap();
    for other in [remaining, leader, "leaf0-0", "leaf1-0", "edge-0", "edge-1"] {
        let other = scenario.cluster.index(other);
        assert!(scenario.cluster.stop(other));
        scenario.cluster.start_process(other).unwrap();
        submit_empty_purge(&mut scenario, "leaf0-0");
    }
    let joined =
        |scenario: &mut Scenario| scenario.cluster.log(process).contains("caught up, voting enabled");
    assert!(scenario.wait_until(TIMEOUT, joined), "{}", scenario.cluster.log(process));
    // The replacement and one old member form a quorum.
    scenario.cluster.kill(scenario.cluster.index(leader));
    assert!(complete_past(&mut scenario, replaced, order_before).is_some(), "{}", report(&scenario.cluster));
    assert!(scenario.cluster.wait_until_ready(TIMEOUT), "{}", report(&scenario.cluster));
}

/// A restarted leader doesn't know the holders of leases from its previous incarnation. An order that follows
/// at once must not be reported complete before they have applied it or their leases have expired.
#[test]
fn restarted_leader_waits_for_fronts_that_hold_old_leases() {
    let mut scenario = start_scenario(Plan { terms: TERMS.into(), ..Plan::leaves(1, 2, 2) });
    let root = scenario.cluster.index("root-0");
    for _ in 0..3 {
        scenario.cluster.kill(root);
        scenario.cluster.start_process(root).unwrap();
        let order = submit_empty_purge(&mut scenario, "root-0");
        assert!(complete_past(&mut scenario, "root-0", order - 1).is_some(), "{}", report(&scenario.cluster));
        assert!(scenario.cluster.wait_until_ready(TIMEOUT), "{}", report(&scenario.cluster));
    }
    // In steady operation, the checker sees fronts that had to acknowledge orders.
    let acknowledged = scenario.wait_until(TIMEOUT, |scenario| {
        let order = submit_empty_purge(scenario, "root-0");
        complete_past(scenario, "root-0", order - 1).is_some() && scenario.check(LEASE).1.acknowledged > 0
    });
    assert!(acknowledged, "{}", report(&scenario.cluster));
    assert_eq!(scenario.check(LEASE).0, vec![]);
}
