//! Cases that random faults seldom produce: lost and damaged disks, withdrawn settings, the accuracy of the
//! audit, calls while all sites are down, and large numbers of purges.

use crate::{report, start_cluster, submit_order, TIMEOUT};
use lilacpitch_protocol::message::call::{Answer, ToCaller};
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::{Cluster, ClusterError, Plan};
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

/// Returns the rest of the line of a page that starts with `name`.
fn field<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    page.lines().find_map(|line| line.strip_prefix(name))
}

/// Returns the indexes of the last order and of the last completed order at a process of the root.
fn progress(cluster: &Cluster, process: usize) -> Option<(u64, u64)> {
    scenario::read_purge_progress(cluster.admin_address(process), process)
        .map(|reading| (reading.ordered, reading.complete))
}

/// Returns a front's line in the audit for a point in time.
fn audit_line(cluster: &Cluster, front: &str, at_ms: u64) -> Option<String> {
    let page = cluster.get(cluster.index("root-0"), &format!("/audit?at={at_ms}"));
    page.lines().find(|line| line.starts_with(&format!("{front}\t"))).map(String::from)
}

/// Returns the value of a field of an audit line; empty if it is missing.
fn audit_field(line: &str, name: &str) -> String {
    let found = line.split('\t').find_map(|part| part.strip_prefix(&format!("{name} ")));
    found.unwrap_or_default().to_string()
}

/// Guarantee 8: while all sites are down, calls are set up as without a fleet, and the locate takes at most
/// its share of the call's budget. With the safeguard disabled, calls wait for the fleet.
#[test]
fn calls_continue_while_all_sites_are_down() {
    let mut slowest = Vec::new();
    for breaks in ["", "calls_first"] {
        // A long query timeout, so that only the call's own share limits how long it waits.
        let terms = TERMS.replace("ask: \"200ms\"", "ask: \"2s\"");
        let mut cluster = start_cluster(Plan { breaks: breaks.into(), terms, ..plan(1) });
        // Suspended processes don't refuse connections: queries stay unanswered.
        let sites = cluster.site_processes();
        sites.iter().for_each(|index| cluster.freeze(*index, true));
        std::thread::sleep(Duration::from_millis(2_000));
        let mut caller = Caller::connect(cluster.caller_address(cluster.index("edge-0")), None).unwrap();
        let mut worst = Duration::ZERO;
        for n in 0..8 {
            let start = Instant::now();
            let result = caller.call("voice", &format!("1777000{n}"), Duration::from_secs(4));
            worst = worst.max(start.elapsed());
            if breaks.is_empty() {
                assert_eq!(result.unwrap().1, Answer::Stands);
            }
        }
        slowest.push(worst);
        sites.iter().for_each(|index| cluster.freeze(*index, false));
        if breaks.is_empty() {
            assert!(cluster.wait_until_ready(TIMEOUT), "the fleet does not recover: {}", report(&cluster));
        }
        drop(caller);
        assert!(!cluster.stop_servers().is_empty());
    }
    // The share is at most 150 ms; one second is allowed for a busy machine.
    assert!(slowest[0] < Duration::from_millis(1_150), "{slowest:?}");
    assert!(
        slowest[1] > slowest[0] * 2,
        "calls do not wait for the fleet without the safeguard: {slowest:?}"
    );
}

/// Guarantee 6: a front whose settings version is withdrawn takes no calls and releases the active ones. Once
/// the version is reinstated, it takes calls again.
#[test]
fn front_with_withdrawn_settings_takes_no_calls_until_they_are_reinstated() {
    let cluster = start_cluster(plan(1));
    let (root, front) = (cluster.index("root-0"), cluster.index("edge-0"));
    let settings = field(&cluster.get(front, "/fleet"), "settings ").unwrap().to_string();
    let mut caller = Caller::connect(cluster.caller_address(front), None).unwrap();
    assert_eq!(caller.call("voice", "17771", Duration::from_secs(4)).unwrap().1, Answer::Stands);
    submit_order(&cluster, root, &format!("/withdraw?settings={settings}"));
    // The active call is released.
    let is_released = |message: Option<ToCaller>| matches!(message, Some(ToCaller::Released { cause, .. }) if cause.contains("withdrawn"));
    assert!(is_released(caller.receive(TIMEOUT).unwrap()));
    // New calls are refused.
    let before_ms = wall_ms();
    assert_eq!(caller.call("voice", "17772", Duration::from_secs(4)).unwrap().1, Answer::Refused);
    assert!(cluster.get(front, "/metrics").contains("lilacpitch_calls_turned_away_total 1"));
    assert!(cluster.wait_until(TIMEOUT, |cluster| audit_line(cluster, "edge-0", before_ms)
        .is_some_and(|l| audit_field(&l, "takes-calls") == "false")));
    submit_order(&cluster, root, &format!("/reinstate?settings={settings}"));
    let takes_calls = |_: &Cluster| {
        matches!(caller.call("voice", "17773", Duration::from_secs(4)), Ok((_, Answer::Stands)))
    };
    assert!(cluster.wait_until(TIMEOUT, takes_calls), "{}", report(&cluster));
    // Malformed orders are rejected.
    for target in ["/withdraw?settings=zz", "/purge?number=abc", "/purge?prefix=", "/purge?x=1"] {
        let (status, body) = cluster.page(root, "POST", target).unwrap();
        assert_eq!(status, 400, "{target}: {body}");
    }
    assert_eq!(cluster.page(root, "GET", "/audit?at=yesterday").unwrap().0, 400);
}

/// Guarantee 7: the audit for a point in time shows the orders that a front acted on then. It doesn't with
/// the safeguard disabled.
#[test]
fn audit_shows_the_orders_that_were_in_effect() {
    for breaks in ["", "records"] {
        let mut cluster = start_cluster(Plan { breaks: breaks.into(), ..plan(1) });
        let (root, front) = (cluster.index("root-0"), cluster.index("edge-1"));
        let start_ms = wall_ms();
        assert!(
            cluster.wait_until(TIMEOUT, |cluster| audit_line(cluster, "edge-1", start_ms).is_some()),
            "{}",
            report(&cluster)
        );
        // Ten purges, with the time at which the front reports each as applied.
        let mut applied_orders = Vec::new();
        for n in 0..10 {
            submit_order(&cluster, root, &format!("/purge?number=1888{n}"));
            let last_order = progress(&cluster, root).unwrap().0;
            let applied = |cluster: &Cluster| {
                field(&cluster.get(front, "/fleet"), "position ")
                    .is_some_and(|p| p.ends_with(&format!("/{last_order}")))
            };
            assert!(cluster.wait_until(TIMEOUT, applied));
            applied_orders.push((wall_ms(), last_order));
            std::thread::sleep(Duration::from_millis(150));
        }
        let end_ms = wall_ms() + 300;
        let is_audited = |cluster: &Cluster| audit_line(cluster, "edge-1", end_ms).is_some();
        let has_audit = cluster.wait_until(Duration::from_secs(10), is_audited);
        let is_accurate = applied_orders.iter().all(|(at_ms, order)| {
            audit_line(&cluster, "edge-1", *at_ms).is_some_and(|line| {
                let orders = audit_field(&line, "orders");
                let (from, to) = orders.split_once("..").unwrap_or_default();
                let from: u64 = from.split_once('/').map_or(0, |(_, n)| n.parse().unwrap());
                (from..=to.parse().unwrap()).contains(order)
            })
        });
        assert_eq!(
            has_audit && is_accurate,
            breaks.is_empty(),
            "{breaks}: {applied_orders:?}\n{}",
            cluster.get(root, "/audit")
        );
        if breaks.is_empty() {
            // The audit doesn't list an incarnation after its end.
            cluster.kill(front);
            let gone_ms = wall_ms() + 1_500;
            assert!(cluster.wait_until(TIMEOUT, |_| wall_ms() > gone_ms + 500));
            assert_eq!(audit_line(&cluster, "edge-1", gone_ms), None);
        }
    }
}

/// A root that is restored from an older copy of its disk has lost orders. It begins a new log, and all
/// others reset their state.
#[test]
fn root_restored_from_an_old_disk_begins_a_new_log() {
    let mut cluster = start_cluster(plan(1));
    let (root, front) = (cluster.index("root-0"), cluster.index("edge-0"));
    let _handset = Caller::connect(cluster.caller_address(front), Some("15550001")).unwrap();
    assert!(cluster.wait_until(TIMEOUT, |cluster| progress(cluster, root)
        .is_some_and(|(ordered, complete)| ordered > 0 && ordered == complete)));
    cluster.stop(root);
    let (disk, old) = (cluster.data_dir(root), cluster.dir.path().join("old"));
    std::fs::create_dir(&old).unwrap();
    let copy = |from: &Path, to: &Path| {
        for file in std::fs::read_dir(from).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    };
    copy(&disk, &old);
    cluster.start_process(root).unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT));
    for n in 0..5 {
        submit_order(&cluster, root, &format!("/purge?number=1888{n}"));
    }
    let log = |cluster: &Cluster| {
        field(&cluster.get(front, "/fleet"), "position ")
            .and_then(|p| p.split_once('/').map(|(log, _)| log.to_string()))
    };
    let log_before = log(&cluster);
    let caught_up = |cluster: &Cluster| {
        progress(cluster, root).is_some_and(|(ordered, complete)| ordered >= 5 && ordered == complete)
    };
    assert!(cluster.wait_until(TIMEOUT, caught_up));
    cluster.kill(root);
    std::fs::remove_dir_all(&disk).unwrap();
    std::fs::create_dir(&disk).unwrap();
    copy(&old, &disk);
    cluster.start_process(root).unwrap();
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| log(cluster).is_some() && log(cluster) != log_before),
        "{}",
        report(&cluster)
    );
    assert!(cluster.wait_until_ready(TIMEOUT), "{}", report(&cluster));
    let found = |cluster: &Cluster| cluster.get(front, "/locate?number=15550001").contains("front edge-0 ");
    assert!(cluster.wait_until(TIMEOUT, found), "{}", report(&cluster));
}

/// A leaf that lost its disk must not be reported as holding no rows before its fronts have written them
/// again.
#[test]
fn leaf_without_its_disk_gets_its_rows_back_and_is_never_reported_empty() {
    let mut cluster = start_cluster(plan(1));
    let (leaf, other) = (cluster.index("leaf0-0"), cluster.index("edge-1"));
    let _handset =
        Caller::connect(cluster.caller_address(cluster.index("edge-0")), Some("15550001")).unwrap();
    let found = |page: &str| page.contains("front edge-0 ");
    assert!(cluster.wait_until(TIMEOUT, |cluster| found(&cluster.get(other, "/locate?number=15550001"))));
    cluster.kill(leaf);
    std::fs::remove_dir_all(cluster.data_dir(leaf)).unwrap();
    cluster.start_process(leaf).unwrap();
    let mut locates = 0;
    let is_found_again = cluster.wait_until(TIMEOUT, |cluster| {
        let page = cluster.get(other, "/locate?number=15550001");
        let is_reported_absent = page.starts_with("complete true") && !found(&page);
        assert!(!is_reported_absent, "reported as not registered: {page}");
        locates += 1;
        found(&page) && page.starts_with("complete true")
    });
    assert!(is_found_again && locates > 0, "{}", report(&cluster));
}

/// A process refuses to start on a damaged disk or on that of another process, and names the cause.
#[test]
fn damaged_or_foreign_disk_is_refused_with_its_cause() {
    let mut cluster = start_cluster(plan(3));
    let (first, second) = (cluster.index("root-1"), cluster.index("root-2"));
    let assert_refused = |cluster: &mut Cluster, message: &str| match cluster.start_process(first) {
        Err(ClusterError::NotReady(_, reason)) => assert!(reason.contains(message), "{reason}"),
        other => panic!("it started: {other:?}"),
    };
    cluster.kill(first);
    std::fs::write(cluster.data_dir(first).join("snapshot"), b"torn").unwrap();
    assert_refused(&mut cluster, "torn or changed");
    std::fs::remove_file(cluster.data_dir(first).join("snapshot")).unwrap();
    std::fs::write(cluster.data_dir(first).join("log.redb"), b"not a store").unwrap();
    assert_refused(&mut cluster, "help: move the data folder away");
    // With its folder moved away, it fetches everything from the other members.
    std::fs::rename(cluster.data_dir(first), cluster.dir.path().join("away")).unwrap();
    cluster.start_process(first).unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT), "{}", report(&cluster));
    // The data folder of another process.
    cluster.kill(first);
    cluster.kill(second);
    std::fs::remove_dir_all(cluster.data_dir(first)).unwrap();
    std::fs::rename(cluster.data_dir(second), cluster.data_dir(first)).unwrap();
    assert_refused(&mut cluster, "of root/2/root-2, this is root/1/root-1");
}

/// 200 purges of all kinds over delayed connections, with 20 registered handsets.
#[test]
fn many_purges_complete_over_slow_connections() {
    let cluster = start_cluster(plan(1));
    let root = cluster.index("root-0");
    let slow =
        Fault { delay: Duration::from_millis(50), jitter: Duration::from_millis(50), ..Fault::default() };
    cluster.proxy.set_both_ways(cluster.index("leaf1-0"), root, slow);
    let _handsets: Vec<Caller> = (0..20)
        .map(|n| {
            Caller::connect(cluster.caller_address(cluster.index("edge-0")), Some(&format!("1555{n:04}")))
                .unwrap()
        })
        .collect();
    for n in 0..200 {
        let target = match n % 4 {
            0 => "/purge?all".to_string(),
            1 => format!("/purge?number=1555{n:04}"),
            2 => "/purge?prefix=1555".to_string(),
            _ => "/purge?holder=edge-0".to_string(),
        };
        submit_order(&cluster, root, &target);
    }
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| progress(cluster, root)
            .is_some_and(|(ordered, complete)| ordered >= 200 && ordered == complete)),
        "{}",
        cluster.get(root, "/purges")
    );
    let all_found = |cluster: &Cluster| {
        cluster.get(cluster.index("edge-1"), "/locate?search=1555&limit=100").matches("row ").count() == 20
    };
    assert!(cluster.wait_until(TIMEOUT, all_found), "{}", report(&cluster));
    // Paging with a cursor returns each row exactly once.
    let (mut rows, mut cursor) = (Vec::new(), None::<String>);
    for _ in 0..20 {
        let after = cursor.as_ref().map_or(String::new(), |c| format!("&cursor={c}"));
        let page = cluster.get(cluster.index("edge-1"), &format!("/locate?search=1555&limit=7{after}"));
        rows.extend(page.lines().filter(|line| line.starts_with("row ")).map(String::from));
        cursor = field(&page, "cursor ").map(String::from);
        if cursor.is_none() {
            break;
        }
    }
    let distinct: std::collections::BTreeSet<&String> = rows.iter().collect();
    assert_eq!((rows.len(), distinct.len()), (20, 20));
}

/// Guarantee 7 during a rollout: a front takes calls of a class once it runs with settings that define it.
/// The audit must show the new settings for that time, and the old ones for the time before.
#[test]
fn audit_of_a_rollout_agrees_with_answers_to_callers() {
    let mut cluster = start_cluster(plan(1));
    let front = cluster.index("edge-1");
    let settings =
        |cluster: &Cluster| field(&cluster.get(front, "/fleet"), "settings ").map(String::from).unwrap();
    // Sets up a call of class `gold`: its start and end, and whether it was established.
    let call_gold = |cluster: &Cluster| {
        let began_ms = wall_ms();
        let mut caller = Caller::connect(cluster.caller_address(front), None).unwrap();
        let is_established =
            matches!(caller.call("gold", "1777", Duration::from_secs(1)), Ok((_, Answer::Stands)));
        (began_ms, wall_ms(), is_established)
    };
    let (call_before, settings_before) = (call_gold(&cluster), settings(&cluster));
    assert!(!call_before.2, "a call of an unknown class was established");
    // Time for another report of the front to the audit.
    std::thread::sleep(Duration::from_millis(1_000));
    let file = cluster.dir.path().join("edge-1.cue");
    let text = std::fs::read_to_string(&file).unwrap();
    let classes = "classes: [{name: \"gold\", aim: \"1s\", give_up: \"5s\", worth: 2}, ";
    std::fs::write(&file, text.replacen("classes: [", classes, 1)).unwrap();
    assert!(cluster.stop(front));
    cluster.start_process(front).unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT), "{}", report(&cluster));
    let mut call_after = call_gold(&cluster);
    assert!(cluster.wait_until(TIMEOUT, |cluster| {
        call_after = if call_after.2 { call_after } else { call_gold(cluster) };
        call_after.2
    }));
    let settings_after = settings(&cluster);
    assert_ne!(settings_before, settings_after);
    let is_audited = |cluster: &Cluster| audit_line(cluster, "edge-1", call_after.1).is_some();
    assert!(cluster.wait_until(TIMEOUT, is_audited), "{}", cluster.get(cluster.index("root-0"), "/audit"));
    for ((began_ms, ended_ms, _), settings) in [(call_before, settings_before), (call_after, settings_after)]
    {
        for at_ms in [began_ms, ended_ms] {
            let line = audit_line(&cluster, "edge-1", at_ms).unwrap_or_default();
            assert_eq!(audit_field(&line, "settings"), settings, "at {at_ms}: {line}");
        }
    }
}
