//! One end-to-end run without faults: a number is registered, located, cached, called, moved and purged, and
//! the audit lists both fronts.

use crate::{report, start_cluster, TIMEOUT};
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::{Cluster, Plan};
use lilacpitch_testbed::record::Seen;
use std::time::Duration;

#[test]
fn number_is_located_cached_called_moved_and_purged_and_audited() {
    let mut cluster = start_cluster(Plan::leaves(3, 2, 1));
    let (near, far) = (cluster.index("edge-0"), cluster.index("edge-1"));
    let found =
        |page: &str, front: &str| page.contains("complete true") && page.contains(&format!("front {front} "));

    // The number isn't registered at first. Then a handset connects at the other front.
    assert!(cluster.get(near, "/locate?number=15550100").contains("complete true"), "{}", report(&cluster));
    let handset = Caller::connect(cluster.caller_address(far), Some("15550100")).unwrap();
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| found(&cluster.get(near, "/locate?number=15550100"), "edge-1")),
        "{}",
        report(&cluster)
    );
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| cluster
            .get(near, "/locate?number=15550100")
            .contains("cached true")),
        "{}",
        report(&cluster)
    );

    // A call goes to a server of the site that holds the number. Cached answers don't depend on active calls,
    // so the start and end of a call order no purge.
    let root = cluster.index("root-0");
    let last_order = |cluster: &Cluster| cluster.get(root, "/purges").lines().next().map(String::from);
    let order_before_call = last_order(&cluster);
    let mut caller = Caller::connect(cluster.caller_address(near), None).unwrap();
    let (call, answer) = caller.call("voice", "15550100", Duration::from_secs(5)).unwrap();
    assert_eq!(answer, Answer::Stands);
    let standing = "/locate?search=1555&kind=standing";
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| cluster.get(near, standing).contains("row 15550100 standing")),
        "{}",
        report(&cluster)
    );
    caller.release(&call).unwrap();
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| !cluster.get(near, standing).contains("row ")),
        "{}",
        report(&cluster)
    );

    assert_eq!(last_order(&cluster), order_before_call);

    // The handset moves: the cached answer is purged at all fronts, and the orders complete at the root.
    drop(handset);
    let _moved_handset = Caller::connect(cluster.caller_address(near), Some("15550100")).unwrap();
    let has_moved = |page: &str| found(page, "edge-0") && !page.contains("front edge-1 ");
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| has_moved(&cluster.get(near, "/locate?number=15550100"))),
        "{}",
        report(&cluster)
    );
    let is_complete = |page: &str| {
        let field = |name: &str| page.lines().find_map(|l| l.strip_prefix(name)).map(str::to_string);
        let ordered = field("ordered ").and_then(|p| p.split('/').next_back().map(str::to_string));
        ordered.is_some_and(|ordered| ordered != "0" && field("complete ") == Some(ordered))
    };
    assert!(
        cluster.wait_until(TIMEOUT, |cluster| is_complete(&cluster.get(root, "/purges"))),
        "{}\n{}",
        cluster.get(root, "/purges"),
        report(&cluster)
    );

    // Every process of the root has both fronts in its audit.
    for name in ["root-0", "root-1", "root-2"] {
        let process = cluster.index(name);
        let lists_both_fronts = |page: &str| {
            page.contains("edge-0\t") && page.contains("edge-1\t") && page.contains("takes-calls true")
        };
        assert!(
            cluster.wait_until(TIMEOUT, |cluster| lists_both_fronts(&cluster.get(process, "/audit"))),
            "{}",
            report(&cluster)
        );
    }

    // The only set-up went to a server of the site that held the number.
    let records = cluster.stop_servers();
    let setups: Vec<&str> = records
        .iter()
        .filter_map(|record| match &record.seen {
            Seen::Setup { server, .. } => Some(server.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(setups.len(), 1, "{setups:?}");
    assert!(setups[0].starts_with("s-leaf1-"), "{setups:?}");
}
