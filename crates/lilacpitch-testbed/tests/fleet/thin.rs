//! Thin but whole: a number is registered, located, cached, called, moved, purged, and the audit tells of it.

use crate::{report, town, SOON};
use lilacpitch_protocol::message::call::Answer;
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::{Plan, Town};
use lilacpitch_testbed::record::Seen;
use std::time::Duration;

#[test]
fn a_number_is_located_cached_called_moved_and_purged_and_the_audit_tells_of_it() {
    let mut town = town(Plan::leaves(3, 2, 1));
    let (here, there) = (town.index("edge-0"), town.index("edge-1"));
    let found =
        |page: &str, front: &str| page.contains("complete true") && page.contains(&format!("front {front} "));

    // Nobody has it; then a handset connects at the other front.
    assert!(town.get(here, "/locate?number=15550100").contains("complete true"), "{}", report(&town));
    let handset = Caller::connect(town.callers(there), Some("15550100")).unwrap();
    assert!(
        town.wait(SOON, |t| found(&t.get(here, "/locate?number=15550100"), "edge-1")),
        "{}",
        report(&town)
    );
    assert!(
        town.wait(SOON, |t| t.get(here, "/locate?number=15550100").contains("cached true")),
        "{}",
        report(&town)
    );

    // A call to it goes to a server of the site that holds it. Nothing that is cached rests on calls that begin and end:
    // they order no purge.
    let root = town.index("root-0");
    let ordered = |t: &Town| t.get(root, "/purges").lines().next().map(String::from);
    let before = ordered(&town);
    let mut caller = Caller::connect(town.callers(here), None).unwrap();
    let (call, answer) = caller.call("voice", "15550100", Duration::from_secs(5)).unwrap();
    assert_eq!(answer, Answer::Stands);
    let standing = "/locate?search=1555&kind=standing";
    assert!(
        town.wait(SOON, |t| t.get(here, standing).contains("row 15550100 standing")),
        "{}",
        report(&town)
    );
    caller.release(&call).unwrap();
    assert!(town.wait(SOON, |t| !t.get(here, standing).contains("row ")), "{}", report(&town));

    assert_eq!(ordered(&town), before);

    // It moves: the cached answer is withdrawn everywhere, and the orders are complete at the root.
    drop(handset);
    let _moved = Caller::connect(town.callers(here), Some("15550100")).unwrap();
    let moved = |page: &str| found(page, "edge-0") && !page.contains("front edge-1 ");
    assert!(town.wait(SOON, |t| moved(&t.get(here, "/locate?number=15550100"))), "{}", report(&town));
    let complete = |page: &str| {
        let field = |name: &str| page.lines().find_map(|l| l.strip_prefix(name)).map(str::to_string);
        let ordered = field("ordered ").and_then(|p| p.split('/').next_back().map(str::to_string));
        ordered.is_some_and(|ordered| ordered != "0" && field("complete ") == Some(ordered))
    };
    assert!(
        town.wait(SOON, |t| complete(&t.get(root, "/purges"))),
        "{}\n{}",
        town.get(root, "/purges"),
        report(&town)
    );

    // The audit names both fronts and what they acted on, at every process of the root.
    for name in ["root-0", "root-1", "root-2"] {
        let at = town.index(name);
        let told = |page: &str| {
            page.contains("edge-0\t") && page.contains("edge-1\t") && page.contains("takes-calls true")
        };
        assert!(town.wait(SOON, |t| told(&t.get(at, "/audit"))), "{}", report(&town));
    }

    // The set-up went to the site that held the number, by the module's own sending.
    let saw = town.servers_saw();
    let setups: Vec<&str> = saw
        .iter()
        .filter_map(|r| match &r.seen {
            Seen::Setup { server, .. } => Some(server.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(setups.len(), 1, "{setups:?}");
    assert!(setups[0].starts_with("s-leaf1-"), "{setups:?}");
}
