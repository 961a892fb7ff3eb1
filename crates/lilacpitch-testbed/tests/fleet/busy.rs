//! Numbers that many want, that two sites hold, and sites that have no room.

use crate::broken::scene;
use crate::{report, SOON};
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::Plan;
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::scenario::{look, Scene};
use lilacpitch_testbed::record::Seen;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

fn plan() -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(1, 3, 1) }
}

fn counted(scene: &Scene, front: &str, name: &str) -> u64 {
    let page = scene.town.get(scene.town.index(front), "/fleet");
    let line = page.lines().find_map(|line| line.strip_prefix(&format!("{name} ")).map(String::from));
    line.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("{name}: {page}"))
}

/// A number that is reached at two sites is found at both, and a call goes where it came last.
#[test]
fn a_number_that_two_sites_hold_is_found_at_both_and_called_at_the_later() {
    let mut scene = scene(plan());
    let _first = scene.handset("edge-1", "15550001").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let _later = scene.handset("edge-2", "15550001").unwrap();
    let both = |s: &mut Scene| {
        let page = s.look("edge-0", "15550001");
        page.starts_with("complete true") && page.contains("front edge-1 ") && page.contains("front edge-2 ")
    };
    assert!(scene.until(SOON, both), "{}", report(&scene.town));
    let mut caller = Caller::connect(scene.town.callers(scene.town.index("edge-0")), None).unwrap();
    assert_eq!(caller.call("voice", "15550001", Duration::from_secs(5)).unwrap().1, Answer::Stands);
    drop(caller);
    let saw = scene.town.servers_saw();
    let at = saw.iter().find_map(|r| match &r.seen {
        Seen::Setup { server, .. } => Some(server.clone()),
        _ => None,
    });
    assert!(at.as_ref().is_some_and(|server| server.starts_with("s-leaf2-")), "{at:?}");
}

/// Forty at once want one number that is not cached: one question, or few, goes out.
#[test]
fn a_number_that_many_want_is_asked_for_once() {
    let mut scene = scene(plan());
    let _here = scene.handset("edge-1", "15550001").unwrap();
    assert!(scene.until(SOON, |s| s.look("edge-2", "15550001").contains("front edge-1 ")));
    let front = scene.town.index("edge-0");
    let pages = scene.town.pages(front);
    // Answers come late enough for all to want the number before the first is there.
    let slow = lilacpitch_testbed::fleet::fault_proxy::Fault {
        delay: Duration::from_millis(25),
        ..Default::default()
    };
    scene.town.wires.one_way(scene.town.index("leaf1-0"), front, slow);
    let asked = |s: &Scene| counted(s, "edge-0", "sites_asked_total");
    let found = |s: &mut Scene| s.look("edge-0", "15550001").contains("front edge-1 ");
    assert!(scene.until(SOON, found), "the way is there: {}", report(&scene.town));
    let once = scene.until(SOON, |scene| {
        // Withdrawn by an order, it is wanted anew.
        let Some(order) = scene.purge("root-0", "15550001") else { return false };
        if !scene.until(SOON, |s| s.progress("root-0").is_some_and(|p| p.complete >= order)) {
            return false;
        }
        let before = asked(scene);
        let looks: Vec<_> =
            (0..40).map(|_| std::thread::spawn(move || look(pages, front, "15550001"))).collect();
        let answered = looks.into_iter().filter_map(|look| look.join().unwrap());
        let with_it = answered.filter(|look| look.page.contains("front edge-1 ")).count();
        with_it >= 36 && asked(scene) - before <= 10
    });
    assert!(once, "{}", report(&scene.town));
}

/// Sites with little room, and people who search without end: they are told 'full', and numbers are found.
#[test]
fn searches_are_told_full_and_numbers_are_found_all_the_same() {
    // Answers may take their time here: what is told 'full' is told so all the same.
    let (terms, fleet) = (TERMS.replace("ask: \"200ms\"", "ask: \"1s\""), "locate_longest: \"2s\"".into());
    let mut scene = scene(Plan { site: "questions: 4".into(), terms, fleet, ..plan() });
    let _here = scene.handset("edge-1", "15550001").unwrap();
    assert!(scene.until(SOON, |s| s.look("edge-0", "15550001").contains("front edge-1 ")));
    let front = scene.town.index("edge-2");
    let pages = scene.town.pages(front);
    let (over, refused) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (mut found, mut looks) = (0, 0);
    std::thread::scope(|threads| {
        for _ in 0..16 {
            threads.spawn(|| {
                while !over.load(Relaxed) {
                    let page = lilacpitch_edge::net::fetch(pages, "GET", "/locate?search=1");
                    let full = page.is_ok_and(|(_, page)| page.contains("not-reached"));
                    refused.fetch_add(usize::from(full), Relaxed);
                }
            });
        }
        for n in 0..200 {
            // Nobody has most of them: what is not ruled out is asked.
            let number = if n % 2 == 0 { "15550001".into() } else { format!("1666{n:04}") };
            let page = scene.look("edge-0", &number);
            looks += 1;
            found += usize::from(page.starts_with("complete true"));
        }
        over.store(true, Relaxed);
    });
    let refused = refused.load(Relaxed);
    assert!(refused > 0, "searches had room");
    assert!(found * 4 >= looks * 3, "{found} of {looks} complete beside {refused} refused searches");
    let full = ["root-0", "leaf0-0", "leaf1-0", "leaf2-0"].iter().any(|name| {
        !scene.town.get(scene.town.index(name), "/metrics").contains("lilacpitch_site_full_total 0\n")
    });
    assert!(full, "a site said full");
}
