//! The processes of one site against each other: two that both think they lead, a new disk beside a stale process, a
//! disk that fills up, a member at another address.

use crate::broken::{complete_past, scene};
use crate::{report, SOON};
use lilacpitch_testbed::fleet::cluster::{Plan, Town};
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::scenario::Scene;
use std::time::Duration;

const ROOT: [&str; 3] = ["root-0", "root-1", "root-2"];
const LEASE: Duration = Duration::from_millis(1_500);

fn plan() -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(3, 2, 1) }
}

fn leads(town: &Town, name: &str) -> bool {
    town.get(town.index(name), "/metrics").contains("\nlilacpitch_site_leads 1\n")
}

/// Who leads the root, and the two others.
fn leader(scene: &mut Scene) -> (&'static str, [&'static str; 2]) {
    let mut found = None;
    scene.until(SOON, |scene| {
        found = ROOT.iter().position(|name| leads(&scene.town, name));
        found.is_some()
    });
    let at = found.expect("somebody leads");
    (ROOT[at], [ROOT[(at + 1) % 3], ROOT[(at + 2) % 3]])
}

/// An order that withdraws nothing anybody has.
fn ordered(scene: &mut Scene, process: &str) -> u64 {
    crate::ordered(&scene.town, scene.town.index(process), "/purge?number=1777")
}

/// A leader of the root is cut off with a leaf and its front; the others have another. The front has cached where a
/// number is, and the number goes away on the other side.
#[test]
fn two_that_both_think_they_lead_keep_all_promises() {
    let mut scene = scene(plan());
    let here = scene.handset("edge-1", "15550001").unwrap();
    let cached = |s: &mut Scene| s.look("edge-0", "15550001").contains("cached true\nsite leaf0 ruled");
    assert!(scene.until(SOON, cached), "{}", report(&scene.town));
    let before = complete_past(&mut scene, "root-0", 0).unwrap();
    let (former, others) = leader(&mut scene);
    let group: Vec<usize> = [former, "leaf0-0", "edge-0"].map(|name| scene.town.index(name)).into();
    scene.town.wires.split(&group, true);
    drop(here);
    let mut both = false;
    let gone = scene.until(SOON, |scene| {
        scene.look("edge-0", "15550001");
        scene.progress(former);
        both |= leads(&scene.town, former) && others.iter().any(|name| leads(&scene.town, name));
        // The number's withdrawal is ordered and complete on the other side.
        let at = others.map(|name| scene.progress(name));
        at.iter().flatten().any(|p| p.ordered > before && p.complete == p.ordered)
    });
    assert!(gone && both, "gone {gone}, two led {both}\n{}", report(&scene.town));
    (0..10).for_each(|_| drop(scene.look("edge-0", "15550001")));
    scene.town.wires.split(&group, false);
    assert!(scene.town.settled(SOON), "{}", report(&scene.town));
    let not_there = |s: &mut Scene| s.look("edge-0", "15550001").starts_with("complete true");
    assert!(scene.until(SOON, not_there), "{}", report(&scene.town));
    let (breaches, judged) = scene.judged(LEASE);
    assert_eq!(breaches, vec![]);
    assert!(judged.gone > 0 && judged.acknowledged > 0, "{judged:?}");
}

/// Orders that a leader and one other acknowledged; the leader is down, the other's disk lost, the third stale. With
/// the switch off those two lead each other, without the orders.
#[test]
fn a_new_disk_beside_a_stale_process_loses_nothing_that_was_acknowledged() {
    for breaks in ["", "disks"] {
        let mut scene = scene(Plan { breaks: breaks.into(), ..plan() });
        let (leader, [lost, stale]) = leader(&mut scene);
        let [leader_at, lost_at, stale_at] = [leader, lost, stale].map(|name| scene.town.index(name));
        scene.town.wires.split(&[stale_at], true);
        let ordered = (0..5).map(|_| ordered(&mut scene, leader)).last().unwrap();
        let log = scene.progress(leader).unwrap().log;
        scene.town.kill(leader_at);
        scene.town.kill(lost_at);
        std::fs::remove_dir_all(scene.town.disk(lost_at)).unwrap();
        scene.town.wires.split(&[stale_at], false);
        scene.town.start_process(lost_at).unwrap();
        // Longer than several elections take.
        let without = scene.until(Duration::from_secs(6), |scene| {
            let said = [lost, stale].map(|name| scene.progress(name));
            said.iter().flatten().any(|p| p.log != log || p.ordered < ordered)
        });
        assert_eq!(without, !breaks.is_empty(), "{breaks}: {}", report(&scene.town));
        if breaks.is_empty() {
            scene.town.start_process(leader_at).unwrap();
            let all = |s: &mut Scene| {
                s.progress(lost)
                    .is_some_and(|p| p.log == log && p.ordered >= ordered && p.complete == p.ordered)
            };
            assert!(scene.until(SOON, all), "{}", report(&scene.town));
            // And it takes part in full: with the stale one it goes on without the former leader.
            let joined = |s: &mut Scene| s.town.log(lost_at).contains("caught up, voting enabled");
            assert!(scene.until(SOON, joined), "{}", scene.town.log(lost_at));
            scene.town.kill(leader_at);
            assert!(complete_past(&mut scene, lost, ordered - 1).is_some(), "{}", report(&scene.town));
        }
    }
}

/// A process whose disk is full says so and stops; the others go on, and with room again it has all.
#[test]
fn a_full_disk_stops_one_process_by_name_and_nothing_else() {
    let mut scene = scene(plan());
    let (_, [full, _]) = leader(&mut scene);
    let at = scene.town.index(full);
    scene.town.kill(at);
    let largest = std::fs::read_dir(scene.town.disk(at)).unwrap().flatten();
    let largest = largest.filter_map(|file| Some(file.metadata().ok()?.len())).max().unwrap();
    scene.town.room(at, Some(largest / 1024 + 1));
    scene.town.start_process(at).unwrap();
    let mut last = 0;
    let stopped = scene.until(Duration::from_secs(60), |scene| {
        let orders = (0..50).filter_map(|_| scene.purge("leaf0-0", "1777"));
        last = orders.last().unwrap_or(last);
        !scene.town.runs(at)
    });
    let said = scene.town.log(at);
    assert!(stopped && said.contains("disk: ") && said.contains("help: free space"), "{stopped}: {said}");
    let goes_on = ordered(&mut scene, "leaf1-0");
    assert!(goes_on > last && complete_past(&mut scene, "leaf0-0", goes_on - 1).is_some());
    scene.town.room(at, None);
    scene.town.start_process(at).unwrap();
    let has_all = |s: &mut Scene| s.progress(full).is_some_and(|p| p.ordered >= goes_on);
    assert!(scene.until(SOON, has_all), "{}", report(&scene.town));
}

/// A member's machine is gone: another takes its place at another address, with a new disk. The others learn of it by
/// their settings, one start after the other.
#[test]
fn a_member_is_replaced_at_another_address_while_the_site_goes_on() {
    let mut scene = scene(plan());
    let (leader, [gone, stays]) = leader(&mut scene);
    let at = scene.town.index(gone);
    let before = ordered(&mut scene, "leaf0-0");
    scene.town.kill(at);
    std::fs::remove_dir_all(scene.town.disk(at)).unwrap();
    scene.town.move_process(at).unwrap();
    scene.town.start_process(at).unwrap();
    for other in [stays, leader, "leaf0-0", "leaf1-0", "edge-0", "edge-1"] {
        let other = scene.town.index(other);
        assert!(scene.town.stop(other));
        scene.town.start_process(other).unwrap();
        ordered(&mut scene, "leaf0-0");
    }
    let joined = |s: &mut Scene| s.town.log(at).contains("caught up, voting enabled");
    assert!(scene.until(SOON, joined), "{}", scene.town.log(at));
    // The new one and one of the old are enough.
    scene.town.kill(scene.town.index(leader));
    assert!(complete_past(&mut scene, gone, before).is_some(), "{}", report(&scene.town));
    assert!(scene.town.settled(SOON), "{}", report(&scene.town));
}

/// A leader that is new knows of nobody who holds a lease of its former life: what is ordered at once is not complete
/// before they have applied it or are out.
#[test]
fn a_leader_that_is_new_reports_nothing_complete_for_fronts_it_has_not_heard() {
    let mut scene = scene(Plan { terms: TERMS.into(), ..Plan::leaves(1, 2, 2) });
    let root = scene.town.index("root-0");
    for _ in 0..3 {
        scene.town.kill(root);
        scene.town.start_process(root).unwrap();
        let ordered = ordered(&mut scene, "root-0");
        assert!(complete_past(&mut scene, "root-0", ordered - 1).is_some(), "{}", report(&scene.town));
        assert!(scene.town.settled(SOON), "{}", report(&scene.town));
    }
    // And an established one does, of fronts that it has heard.
    let counted = scene.until(SOON, |scene| {
        let ordered = ordered(scene, "root-0");
        complete_past(scene, "root-0", ordered - 1).is_some() && scene.judged(LEASE).1.acknowledged > 0
    });
    assert!(counted, "{}", report(&scene.town));
    assert_eq!(scene.judged(LEASE).0, vec![]);
}
