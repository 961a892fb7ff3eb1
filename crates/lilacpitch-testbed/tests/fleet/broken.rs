//! Tests of the checker: with a safeguard disabled, it must report the violated guarantee. With all
//! safeguards enabled, the same scenario must pass.

use crate::TIMEOUT;
use lilacpitch_testbed::fleet::cluster::Plan;
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::fault_proxy::Fault;
use lilacpitch_testbed::fleet::scenario::{self, Scenario};
use std::path::Path;
use std::time::Duration;

const NUMBER: &str = "15550001";
/// Attempts at provoking a violation: a short stall of the machine may spoil one.
const MAX_ATTEMPTS: usize = 6;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts a cluster for a scenario and waits until it is ready.
pub(crate) fn start_scenario(plan: Plan) -> Scenario {
    Scenario::start(plan, Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed")), TIMEOUT).unwrap()
}

/// Plays a scenario with a safeguard disabled until the checker reports a violation of the guarantee, and
/// once with it enabled, where no guarantee may be violated. `play` returns whether the intended situation
/// arose.
fn assert_violation_detected(
    safeguard: &str,
    guarantee: u32,
    lease: Duration,
    plan: Plan,
    play: impl Fn(&mut Scenario) -> bool,
) {
    let is_detected = |_| {
        let mut scenario = start_scenario(Plan { breaks: safeguard.into(), ..plan.clone() });
        play(&mut scenario);
        scenario.check(lease).0.iter().any(|breach| breach.promise == guarantee)
    };
    assert!((0..MAX_ATTEMPTS).any(is_detected), "{safeguard} disabled, but no violation was reported");
    let mut intact = start_scenario(plan.clone());
    assert!(play(&mut intact), "{safeguard} enabled, but the intended situation did not arise");
    assert_eq!(intact.check(lease).0, vec![], "{safeguard} enabled");
}

fn plan(fronts_each: usize) -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(1, 2, fronts_each) }
}

const LEASE: Duration = Duration::from_millis(1_500);

/// Waits until the last order is later than `after` and all orders are complete. Returns the index of the
/// last order.
pub(crate) fn complete_past(scenario: &mut Scenario, process: &str, after: u64) -> Option<u64> {
    let mut progress = None;
    scenario.wait_until(TIMEOUT, |scenario| {
        progress = scenario.read_progress(process).filter(|p| p.ordered > after && p.complete == p.ordered);
        progress.is_some()
    });
    progress.map(|progress| progress.ordered)
}

/// Waits until a front has written all its rows to its site.
fn wait_until_written(scenario: &mut Scenario, front: &str) -> bool {
    let front = scenario.cluster.index(front);
    scenario.wait_until(TIMEOUT, |scenario| scenario.cluster.get(front, "/fleet").contains("rows waiting 0"))
}

/// A leaf is cut off from its parent, so that its summary at other sites becomes stale.
#[test]
fn detects_stale_summaries_that_rule_out_a_site() {
    assert_violation_detected("ages", 1, LEASE, plan(1), |scenario| {
        let (leaf, root) = (scenario.cluster.index("leaf0-0"), scenario.cluster.index("root-0"));
        scenario.cluster.proxy.set_both_ways(leaf, root, Fault { held: true, ..Fault::default() });
        let _handset = scenario.handset("edge-0", NUMBER).unwrap();
        let is_written = wait_until_written(scenario, "edge-0");
        std::thread::sleep(LEASE + ms(400));
        is_written && !scenario.locate("edge-1", NUMBER).is_empty()
    });
}

#[test]
fn detects_an_unreached_site_that_the_answer_omits() {
    assert_violation_detected("says", 2, LEASE, plan(1), |scenario| {
        let leaf = scenario.cluster.index("leaf0-0");
        scenario.cluster.kill(leaf);
        scenario.wait_until(TIMEOUT, |scenario| {
            let page = scenario.locate("edge-1", NUMBER);
            page.contains("site ") && !page.contains("site leaf0 ruled-out")
        })
    });
}

/// A front that is partitioned from all others serves a cached row that has been withdrawn meanwhile.
#[test]
fn detects_cached_answers_after_the_lease_expired() {
    assert_violation_detected("leases", 3, LEASE, plan(1), |scenario| {
        let handset = scenario.handset("edge-0", NUMBER).unwrap();
        let cached = scenario.wait_until(TIMEOUT, |scenario| {
            let page = scenario.locate("edge-1", NUMBER);
            page.contains("cached true") && page.contains("front edge-0 ")
        });
        let ordered = complete_past(scenario, "root-0", 0).unwrap_or(0);
        scenario.cluster.proxy.set_partition(&[scenario.cluster.index("edge-1")], true);
        drop(handset);
        let gone = complete_past(scenario, "root-0", ordered).is_some();
        scenario.locate("edge-1", NUMBER);
        cached && gone
    });
}

/// Responses of one site are delayed, but purges are not: a row that was read before a purge arrives after
/// it.
#[test]
fn detects_cache_fills_with_rows_read_before_a_purge() {
    let terms = TERMS.replace("ask: \"200ms\"", "ask: \"2s\"");
    let fleet = "locate_longest: \"1500ms\"".into();
    assert_violation_detected("refills", 4, LEASE, Plan { terms, fleet, ..plan(1) }, |scenario| {
        let (leaf, front) = (scenario.cluster.index("leaf0-0"), scenario.cluster.index("edge-1"));
        let admin = scenario.cluster.admin_address(front);
        let mut purge_overtook_response = false;
        // The front connects to the leaf now, so that the later delay doesn't affect the handshake.
        let _other_handset = scenario.handset("edge-0", "15559999").unwrap();
        scenario
            .wait_until(TIMEOUT, |scenario| scenario.locate("edge-1", "15559999").contains("front edge-0 "));
        for n in 0..3 {
            let number = format!("1555000{n}");
            let handset = scenario.handset("edge-0", &number).unwrap();
            wait_until_written(scenario, "edge-0");
            std::thread::sleep(ms(100));
            let ordered = complete_past(scenario, "root-0", 0).unwrap_or(0);
            // Once the summaries have spread, the site is queried, and its response takes long to arrive.
            std::thread::sleep(ms(500));
            scenario.cluster.proxy.set_one_way(leaf, front, Fault { delay: ms(600), ..Fault::default() });
            let locate = std::thread::spawn({
                let number = number.clone();
                move || scenario::read_locate(admin, front, &number)
            });
            std::thread::sleep(ms(150));
            drop(handset);
            purge_overtook_response |= complete_past(scenario, "root-0", ordered).is_some();
            let late_reading = locate.join().unwrap();
            scenario.add_locate_reading(late_reading);
            scenario.cluster.proxy.set_one_way(leaf, front, Fault::default());
            (0..10).for_each(|_| drop(scenario.locate("edge-1", &number)));
        }
        purge_overtook_response
    });
}

/// Orders reach one front with a delay.
#[test]
fn detects_orders_reported_complete_without_acknowledgement() {
    assert_violation_detected("acknowledgements", 5, LEASE, plan(1), |scenario| {
        let (leaf, front) = (scenario.cluster.index("leaf0-0"), scenario.cluster.index("edge-0"));
        scenario.cluster.proxy.set_one_way(leaf, front, Fault { delay: ms(400), ..Fault::default() });
        (0..4).all(|_| {
            let ordered = scenario.purge("root-0", "1777").unwrap();
            for _ in 0..5 {
                scenario.read_progress("root-0");
            }
            complete_past(scenario, "root-0", ordered - 1).is_some()
        })
    });
}

/// One of two fronts of a site is cut off for several lease lengths and then requests a lease at its old
/// position.
#[test]
fn detects_a_lease_granted_to_a_straggler() {
    assert_violation_detected("stragglers", 6, LEASE, plan(2), |scenario| {
        let (leaf, front) = (scenario.cluster.index("leaf0-0"), scenario.cluster.index("edge-0"));
        scenario.cluster.proxy.set_both_ways(leaf, front, Fault { held: true, ..Fault::default() });
        let ordered = (0..3).filter_map(|_| scenario.purge("root-0", "1777")).last();
        std::thread::sleep(LEASE * 3 + ms(300));
        scenario.cluster.proxy.set_both_ways(leaf, front, Fault::default());
        ordered.is_some() && scenario.cluster.wait_until_ready(TIMEOUT)
    });
}

/// A restarted process has granted no lease yet. A front with a long lease from the previous incarnation
/// writes to it at once.
#[test]
fn detects_writes_without_a_lease() {
    let lease = Duration::from_secs(10);
    let terms =
        TERMS.replace("lease: \"1500ms\", straggler: \"1500ms\"", "lease: \"10s\", straggler: \"10s\"");
    assert_violation_detected("fences", 6, lease, Plan { terms, ..plan(1) }, |scenario| {
        let leaf = scenario.cluster.index("leaf0-0");
        (0..3).all(|n| {
            scenario.cluster.kill(leaf);
            scenario.cluster.start_process(leaf).unwrap();
            let _handset = scenario.handset("edge-0", &format!("1555000{n}")).unwrap();
            let is_written = wait_until_written(scenario, "edge-0");
            let has_granted = |scenario: &mut Scenario| {
                !scenario.cluster.get(leaf, "/metrics").contains("site_granted_total 0\n")
            };
            is_written && scenario.wait_until(TIMEOUT, has_granted)
        })
    });
}
