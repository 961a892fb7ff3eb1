//! Numbers with many concurrent locates or held by two sites, and sites without capacity.

use crate::broken::start_scenario;
use crate::{report, TIMEOUT};
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::Plan;
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::scenario::{read_locate, Scenario};
use lilacpitch_testbed::record::Seen;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

fn plan() -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(1, 3, 1) }
}

/// Returns the value of a counter on a front's `/fleet` page.
fn counter(scenario: &Scenario, front: &str, name: &str) -> u64 {
    let page = scenario.cluster.get(scenario.cluster.index(front), "/fleet");
    let line = page.lines().find_map(|line| line.strip_prefix(&format!("{name} ")).map(String::from));
    line.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("{name}: {page}"))
}

/// A number that is registered at two sites is found at both, and a call goes to the later registration.
#[test]
fn number_at_two_sites_is_found_at_both_and_called_at_the_later() {
    let mut scenario = start_scenario(plan());
    let _first = scenario.handset("edge-1", "15550001").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let _later = scenario.handset("edge-2", "15550001").unwrap();
    let found_at_both = |scenario: &mut Scenario| {
        let page = scenario.locate("edge-0", "15550001");
        page.starts_with("complete true") && page.contains("front edge-1 ") && page.contains("front edge-2 ")
    };
    assert!(scenario.wait_until(TIMEOUT, found_at_both), "{}", report(&scenario.cluster));
    let mut caller =
        Caller::connect(scenario.cluster.caller_address(scenario.cluster.index("edge-0")), None).unwrap();
    assert_eq!(caller.call("voice", "15550001", Duration::from_secs(5)).unwrap().1, Answer::Stands);
    drop(caller);
    let records = scenario.cluster.stop_servers();
    let called_server = records.iter().find_map(|record| match &record.seen {
        Seen::Setup { server, .. } => Some(server.clone()),
        _ => None,
    });
    let server_is_at_later_site = called_server.as_ref().is_some_and(|server| server.starts_with("s-leaf2-"));
    assert!(server_is_at_later_site, "{called_server:?}");
}

/// Forty concurrent locates of one uncached number share one query, or few.
#[test]
fn concurrent_locates_of_a_number_share_queries() {
    let mut scenario = start_scenario(plan());
    let _handset = scenario.handset("edge-1", "15550001").unwrap();
    assert!(scenario
        .wait_until(TIMEOUT, |scenario| scenario.locate("edge-2", "15550001").contains("front edge-1 ")));
    let front = scenario.cluster.index("edge-0");
    let admin = scenario.cluster.admin_address(front);
    // Responses are delayed so that all locates start before the first response arrives.
    let slow = lilacpitch_testbed::fleet::fault_proxy::Fault {
        delay: Duration::from_millis(25),
        ..Default::default()
    };
    scenario.cluster.proxy.set_one_way(scenario.cluster.index("leaf1-0"), front, slow);
    let sites_asked = |scenario: &Scenario| counter(scenario, "edge-0", "sites_asked_total");
    let found = |scenario: &mut Scenario| scenario.locate("edge-0", "15550001").contains("front edge-1 ");
    assert!(scenario.wait_until(TIMEOUT, found), "the number is not found: {}", report(&scenario.cluster));
    let shared = scenario.wait_until(TIMEOUT, |scenario| {
        // The purge removes the number from the cache.
        let Some(order) = scenario.purge("root-0", "15550001") else { return false };
        if !scenario.wait_until(TIMEOUT, |scenario| {
            scenario.read_progress("root-0").is_some_and(|p| p.complete >= order)
        }) {
            return false;
        }
        let asked_before = sites_asked(scenario);
        let locates: Vec<_> =
            (0..40).map(|_| std::thread::spawn(move || read_locate(admin, front, "15550001"))).collect();
        let answered = locates.into_iter().filter_map(|locate| locate.join().unwrap());
        let found_count = answered.filter(|locate| locate.page.contains("front edge-1 ")).count();
        found_count >= 36 && sites_asked(scenario) - asked_before <= 10
    });
    assert!(shared, "{}", report(&scenario.cluster));
}

/// Sites with a low limit on concurrent queries, under constant searches: the sites reject searches as full,
/// and locates of single numbers still succeed.
#[test]
fn full_sites_reject_searches_and_still_locate_numbers() {
    // Long timeouts, so that a busy machine causes no failed locates. Rejections as full don't depend on
    // them.
    let (terms, fleet) = (TERMS.replace("ask: \"200ms\"", "ask: \"1s\""), "locate_longest: \"2s\"".into());
    let mut scenario = start_scenario(Plan { site: "questions: 4".into(), terms, fleet, ..plan() });
    let _handset = scenario.handset("edge-1", "15550001").unwrap();
    assert!(scenario
        .wait_until(TIMEOUT, |scenario| scenario.locate("edge-0", "15550001").contains("front edge-1 ")));
    let front = scenario.cluster.index("edge-2");
    let admin = scenario.cluster.admin_address(front);
    let (stop, refused) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (mut found, mut located) = (0, 0);
    std::thread::scope(|threads| {
        for _ in 0..16 {
            threads.spawn(|| {
                while !stop.load(Relaxed) {
                    let page = lilacpitch_edge::net::fetch(admin, "GET", "/locate?search=1");
                    let is_rejected = page.is_ok_and(|(_, page)| page.contains("not-reached"));
                    refused.fetch_add(usize::from(is_rejected), Relaxed);
                }
            });
        }
        for n in 0..200 {
            // Half of the numbers are unregistered; sites that summaries don't rule out are still asked.
            let number = if n % 2 == 0 { "15550001".into() } else { format!("1666{n:04}") };
            let page = scenario.locate("edge-0", &number);
            located += 1;
            found += usize::from(page.starts_with("complete true"));
        }
        stop.store(true, Relaxed);
    });
    let refused = refused.load(Relaxed);
    assert!(refused > 0, "no search was rejected");
    assert!(found * 4 >= located * 3, "{found} of {located} complete beside {refused} refused searches");
    let any_site_full = ["root-0", "leaf0-0", "leaf1-0", "leaf2-0"].iter().any(|name| {
        !scenario
            .cluster
            .get(scenario.cluster.index(name), "/metrics")
            .contains("lilacpitch_site_full_total 0\n")
    });
    assert!(any_site_full, "no site counted a rejection as full");
}
