//! Hard cases that a drawn day seldom brings: disks, withdrawn settings, the audit beside what was seen, calls with
//! every site down, purges of everything, many rows.

use crate::{ordered, report, town, SOON};
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::{Plan, Town, TownError};
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::fault_proxy::Fault;
use lilacpitch_testbed::fleet::scenario;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn plan(root: usize) -> Plan {
    Plan { terms: TERMS.into(), ..Plan::leaves(root, 2, 1) }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn field<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    page.lines().find_map(|line| line.strip_prefix(name))
}

/// Order and completion as the root's process says.
fn progress(town: &Town, at: usize) -> Option<(u64, u64)> {
    scenario::progress(town.pages(at), at).map(|read| (read.ordered, read.complete))
}

/// A front's line in the audit of a moment.
fn audited(town: &Town, front: &str, at_ms: u64) -> Option<String> {
    let page = town.get(town.index("root-0"), &format!("/audit?at={at_ms}"));
    page.lines().find(|line| line.starts_with(&format!("{front}\t"))).map(String::from)
}

fn word(line: &str, name: &str) -> String {
    let found = line.split('\t').find_map(|part| part.strip_prefix(&format!("{name} ")));
    found.unwrap_or_default().to_string()
}

/// Promise 8, and its switch: with every site down calls are set up as without a fleet, within their share.
#[test]
fn with_every_site_down_calls_go_on_and_wait_no_longer_than_their_share() {
    let mut slowest = Vec::new();
    for breaks in ["", "calls_first"] {
        // Processes may take their time here: what bounds a call's wait is its own share alone.
        let terms = TERMS.replace("ask: \"200ms\"", "ask: \"2s\"");
        let mut town = town(Plan { breaks: breaks.into(), terms, ..plan(1) });
        // Down, but not refusing: what is asked hangs.
        let sites = town.site_processes();
        sites.iter().for_each(|index| town.freeze(*index, true));
        std::thread::sleep(Duration::from_millis(2_000));
        let mut caller = Caller::connect(town.callers(town.index("edge-0")), None).unwrap();
        let mut worst = Duration::ZERO;
        for n in 0..8 {
            let began = Instant::now();
            let asked = caller.call("voice", &format!("1777000{n}"), Duration::from_secs(4));
            worst = worst.max(began.elapsed());
            if breaks.is_empty() {
                assert_eq!(asked.unwrap().1, Answer::Stands);
            }
        }
        slowest.push(worst);
        sites.iter().for_each(|index| town.freeze(*index, false));
        if breaks.is_empty() {
            assert!(town.settled(SOON), "they come back by themselves: {}", report(&town));
        }
        drop(caller);
        assert!(!town.servers_saw().is_empty());
    }
    // The share is 150 ms at most; a noisy machine gets the rest of a second.
    assert!(slowest[0] < Duration::from_millis(1_150), "{slowest:?}");
    assert!(slowest[1] > slowest[0] * 2, "with the switch off calls wait for the fleet: {slowest:?}");
}

/// Promise 6: a withdrawn settings version takes no calls and ends those it has; reinstated, all goes on.
#[test]
fn a_front_whose_settings_are_withdrawn_takes_no_calls_and_comes_back_by_itself() {
    let town = town(plan(1));
    let (root, front) = (town.index("root-0"), town.index("edge-0"));
    let settings = field(&town.get(front, "/fleet"), "settings ").unwrap().to_string();
    let mut caller = Caller::connect(town.callers(front), None).unwrap();
    assert_eq!(caller.call("voice", "17771", Duration::from_secs(4)).unwrap().1, Answer::Stands);
    ordered(&town, root, &format!("/withdraw?settings={settings}"));
    // What stands is released,
    let ended = |message: Option<ToCaller>| matches!(message, Some(ToCaller::Released { cause, .. }) if cause.contains("withdrawn"));
    assert!(ended(caller.hear(SOON).unwrap()));
    // and what is new is refused with a wait.
    let before_ms = wall_ms();
    assert_eq!(caller.call("voice", "17772", Duration::from_secs(4)).unwrap().1, Answer::Refused);
    assert!(town.get(front, "/metrics").contains("lilacpitch_calls_turned_away_total 1"));
    assert!(town
        .wait(SOON, |t| audited(t, "edge-0", before_ms).is_some_and(|l| word(&l, "takes-calls") == "false")));
    ordered(&town, root, &format!("/reinstate?settings={settings}"));
    let again =
        |_: &Town| matches!(caller.call("voice", "17773", Duration::from_secs(4)), Ok((_, Answer::Stands)));
    assert!(town.wait(SOON, again), "{}", report(&town));
    // Orders that are none are refused by name, and change nothing.
    for target in ["/withdraw?settings=zz", "/purge?number=abc", "/purge?prefix=", "/purge?x=1"] {
        let (status, said) = town.page(root, "POST", target).unwrap();
        assert_eq!(status, 400, "{target}: {said}");
    }
    assert_eq!(town.page(root, "GET", "/audit?at=yesterday").unwrap().0, 400);
}

/// Promise 7: the audit says for a moment what a front acted on then, and its switch breaks that.
#[test]
fn the_audit_tells_what_was_acted_on_at_a_moment() {
    for breaks in ["", "records"] {
        let mut town = town(Plan { breaks: breaks.into(), ..plan(1) });
        let (root, front) = (town.index("root-0"), town.index("edge-1"));
        let start_ms = wall_ms();
        assert!(town.wait(SOON, |t| audited(t, "edge-1", start_ms).is_some()), "{}", report(&town));
        // Ten purges, one after the other: what the front itself says that it has applied, and when.
        let mut seen = Vec::new();
        for n in 0..10 {
            ordered(&town, root, &format!("/purge?number=1888{n}"));
            let ordered = progress(&town, root).unwrap().0;
            let applied = |t: &Town| {
                field(&t.get(front, "/fleet"), "position ")
                    .is_some_and(|p| p.ends_with(&format!("/{ordered}")))
            };
            assert!(town.wait(SOON, applied));
            seen.push((wall_ms(), ordered));
            std::thread::sleep(Duration::from_millis(150));
        }
        let end_ms = wall_ms() + 300;
        let told = |t: &Town| audited(t, "edge-1", end_ms).is_some();
        let heard = town.wait(Duration::from_secs(10), told);
        let right = seen.iter().all(|(at_ms, order)| {
            audited(&town, "edge-1", *at_ms).is_some_and(|line| {
                let orders = word(&line, "orders");
                let (from, to) = orders.split_once("..").unwrap_or_default();
                let from: u64 = from.split_once('/').map_or(0, |(_, n)| n.parse().unwrap());
                (from..=to.parse().unwrap()).contains(order)
            })
        });
        assert_eq!(heard && right, breaks.is_empty(), "{breaks}: {seen:?}\n{}", town.get(root, "/audit"));
        if breaks.is_empty() {
            // A life that has ended is not said to act on anything after it.
            town.kill(front);
            let gone_ms = wall_ms() + 1_500;
            assert!(town.wait(SOON, |_| wall_ms() > gone_ms + 500));
            assert_eq!(audited(&town, "edge-1", gone_ms), None);
        }
    }
}

/// A root that comes back from an older disk has lost orders: a new log begins, and everybody starts afresh.
#[test]
fn a_root_back_from_an_older_disk_begins_a_new_log_and_all_start_afresh() {
    let mut town = town(plan(1));
    let (root, front) = (town.index("root-0"), town.index("edge-0"));
    let _here = Caller::connect(town.callers(front), Some("15550001")).unwrap();
    assert!(town.wait(SOON, |t| progress(t, root).is_some_and(|(o, c)| o > 0 && o == c)));
    town.stop(root);
    let (disk, old) = (town.disk(root), town.dir.path().join("old"));
    std::fs::create_dir(&old).unwrap();
    let copy = |from: &Path, to: &Path| {
        for file in std::fs::read_dir(from).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    };
    copy(&disk, &old);
    town.start_process(root).unwrap();
    assert!(town.settled(SOON));
    for n in 0..5 {
        ordered(&town, root, &format!("/purge?number=1888{n}"));
    }
    let log = |t: &Town| {
        field(&t.get(front, "/fleet"), "position ")
            .and_then(|p| p.split_once('/').map(|(log, _)| log.to_string()))
    };
    let before = log(&town);
    let caught_up = |t: &Town| progress(t, root).is_some_and(|(o, c)| o >= 5 && o == c);
    assert!(town.wait(SOON, caught_up));
    town.kill(root);
    std::fs::remove_dir_all(&disk).unwrap();
    std::fs::create_dir(&disk).unwrap();
    copy(&old, &disk);
    town.start_process(root).unwrap();
    assert!(town.wait(SOON, |t| log(t).is_some() && log(t) != before), "{}", report(&town));
    assert!(town.settled(SOON), "{}", report(&town));
    let found = |t: &Town| t.get(front, "/locate?number=15550001").contains("front edge-0 ");
    assert!(town.wait(SOON, found), "{}", report(&town));
}

/// A leaf whose disk is gone is not said to hold nothing before its fronts have written again.
#[test]
fn a_leaf_back_without_a_disk_has_its_rows_written_again_and_never_says_none_before() {
    let mut town = town(plan(1));
    let (leaf, other) = (town.index("leaf0-0"), town.index("edge-1"));
    let _here = Caller::connect(town.callers(town.index("edge-0")), Some("15550001")).unwrap();
    let found = |page: &str| page.contains("front edge-0 ");
    assert!(town.wait(SOON, |t| found(&t.get(other, "/locate?number=15550001"))));
    town.kill(leaf);
    std::fs::remove_dir_all(town.disk(leaf)).unwrap();
    town.start_process(leaf).unwrap();
    let mut looks = 0;
    let back = town.wait(SOON, |t| {
        let page = t.get(other, "/locate?number=15550001");
        let none = page.starts_with("complete true") && !found(&page);
        assert!(!none, "said to be nowhere: {page}");
        looks += 1;
        found(&page) && page.starts_with("complete true")
    });
    assert!(back && looks > 0, "{}", report(&town));
}

/// Disks that are damaged, torn or another's are refused with their place, and nothing else stops.
#[test]
fn a_damaged_torn_or_foreign_disk_is_refused_by_name() {
    let mut town = town(plan(3));
    let (one, two) = (town.index("root-1"), town.index("root-2"));
    let refused = |town: &mut Town, what: &str| match town.start_process(one) {
        Err(TownError::NotReady(_, said)) => assert!(said.contains(what), "{said}"),
        other => panic!("it started: {other:?}"),
    };
    town.kill(one);
    std::fs::write(town.disk(one).join("snapshot"), b"torn").unwrap();
    refused(&mut town, "torn or changed");
    std::fs::remove_file(town.disk(one).join("snapshot")).unwrap();
    std::fs::write(town.disk(one).join("log.redb"), b"not a store").unwrap();
    refused(&mut town, "help: move the data folder away");
    // Its folder moved away, it fetches all from the others.
    std::fs::rename(town.disk(one), town.dir.path().join("away")).unwrap();
    town.start_process(one).unwrap();
    assert!(town.settled(SOON), "{}", report(&town));
    // Another process's folder.
    town.kill(one);
    town.kill(two);
    std::fs::remove_dir_all(town.disk(one)).unwrap();
    std::fs::rename(town.disk(two), town.disk(one)).unwrap();
    refused(&mut town, "of root/2/root-2, this is root/1/root-1");
}

/// A purge of everything and a thousand purges, while handsets come and people look.
#[test]
fn purges_of_everything_and_by_the_hundred_complete_and_slow_ways_only_delay_them() {
    let town = town(plan(1));
    let root = town.index("root-0");
    let slow =
        Fault { delay: Duration::from_millis(50), jitter: Duration::from_millis(50), ..Fault::default() };
    town.wires.between(town.index("leaf1-0"), root, slow);
    let _handsets: Vec<Caller> = (0..20)
        .map(|n| Caller::connect(town.callers(town.index("edge-0")), Some(&format!("1555{n:04}"))).unwrap())
        .collect();
    for n in 0..200 {
        let target = match n % 4 {
            0 => "/purge?all".to_string(),
            1 => format!("/purge?number=1555{n:04}"),
            2 => "/purge?prefix=1555".to_string(),
            _ => "/purge?holder=edge-0".to_string(),
        };
        ordered(&town, root, &target);
    }
    assert!(
        town.wait(SOON, |t| progress(t, root).is_some_and(|(o, c)| o >= 200 && o == c)),
        "{}",
        town.get(root, "/purges")
    );
    let all_found =
        |t: &Town| t.get(t.index("edge-1"), "/locate?search=1555&limit=100").matches("row ").count() == 20;
    assert!(town.wait(SOON, all_found), "{}", report(&town));
    // By the page, with a cursor: nothing twice, nothing left out.
    let (mut rows, mut cursor) = (Vec::new(), None::<String>);
    for _ in 0..20 {
        let after = cursor.as_ref().map_or(String::new(), |c| format!("&cursor={c}"));
        let page = town.get(town.index("edge-1"), &format!("/locate?search=1555&limit=7{after}"));
        rows.extend(page.lines().filter(|line| line.starts_with("row ")).map(String::from));
        cursor = field(&page, "cursor ").map(String::from);
        if cursor.is_none() {
            break;
        }
    }
    let distinct: std::collections::BTreeSet<&String> = rows.iter().collect();
    assert_eq!((rows.len(), distinct.len()), (20, 20));
}

/// Promise 7 beside what callers saw: a front carries calls of a class once it runs on settings that have it. The audit
/// names those for that moment, and the former ones for the moment before.
#[test]
fn the_audit_of_a_rollout_agrees_with_what_callers_saw() {
    let mut town = town(plan(1));
    let front = town.index("edge-1");
    let settings = |t: &Town| field(&t.get(front, "/fleet"), "settings ").map(String::from).unwrap();
    // When it was asked for, when it was answered, and whether it stood.
    let gold = |t: &Town| {
        let began_ms = wall_ms();
        let mut caller = Caller::connect(t.callers(front), None).unwrap();
        let stands = matches!(caller.call("gold", "1777", Duration::from_secs(1)), Ok((_, Answer::Stands)));
        (began_ms, wall_ms(), stands)
    };
    let (before, of_before) = (gold(&town), settings(&town));
    assert!(!before.2, "a class that it does not have");
    // It has said once more that it lives.
    std::thread::sleep(Duration::from_millis(1_000));
    let file = town.dir.path().join("edge-1.cue");
    let text = std::fs::read_to_string(&file).unwrap();
    let with = "classes: [{name: \"gold\", aim: \"1s\", give_up: \"5s\", worth: 2}, ";
    std::fs::write(&file, text.replacen("classes: [", with, 1)).unwrap();
    assert!(town.stop(front));
    town.start_process(front).unwrap();
    assert!(town.settled(SOON), "{}", report(&town));
    let mut after = gold(&town);
    assert!(town.wait(SOON, |t| {
        after = if after.2 { after } else { gold(t) };
        after.2
    }));
    let of_after = settings(&town);
    assert_ne!(of_before, of_after);
    let told = |t: &Town| audited(t, "edge-1", after.1).is_some();
    assert!(town.wait(SOON, told), "{}", town.get(town.index("root-0"), "/audit"));
    for ((began_ms, ended_ms, _), settings) in [(before, of_before), (after, of_after)] {
        for at_ms in [began_ms, ended_ms] {
            let line = audited(&town, "edge-1", at_ms).unwrap_or_default();
            assert_eq!(word(&line, "settings"), settings, "at {at_ms}: {line}");
        }
    }
}
