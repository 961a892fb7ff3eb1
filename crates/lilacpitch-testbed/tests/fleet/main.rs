//! Tests of the fleet as real processes, with faults between them.

mod broken;
mod busy;
mod days;
mod hard;
mod parted;
mod thin;

use lilacpitch_testbed::fleet::cluster::{Cluster, Plan};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Timeout for conditions that normally hold within a second or two; generous because of busy machines.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a cluster and waits until it is ready.
pub(crate) fn start_cluster(plan: Plan) -> Cluster {
    let cluster = Cluster::start(plan, Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed"))).unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT), "{}", report(&cluster));
    cluster
}

/// Posts an order to a process, repeatedly while there is no leader, and returns the index of the order.
pub(crate) fn submit_order(cluster: &Cluster, process: usize, target: &str) -> u64 {
    let mut order = None;
    let mut failures: BTreeMap<String, u32> = BTreeMap::new();
    cluster.wait_until(TIMEOUT, |cluster| {
        let response = cluster.page(process, "POST", target);
        order = accepted_order(&response);
        if order.is_none() {
            *failures.entry(format!("{response:?}")).or_default() += 1;
        }
        order.is_some()
    });
    order
        .unwrap_or_else(|| panic!("{target} failed, with these responses: {failures:?}\n{}", report(cluster)))
}

/// The index of the order in the response of the page that accepts orders; `None` if it was not accepted.
fn accepted_order(response: &std::io::Result<(u16, String)>) -> Option<u64> {
    match response {
        Ok((200, body)) => body.trim().rsplit_once('/')?.1.parse().ok(),
        _ => None,
    }
}

/// Returns status pages and the ends of the logs of all processes, for assertion messages.
pub fn report(cluster: &Cluster) -> String {
    let mut out = String::new();
    for (index, name) in cluster.names().iter().enumerate() {
        let page = if cluster.fronts().contains(&index) { "/fleet" } else { "/metrics" };
        let log = cluster.log(index);
        let last_lines: Vec<&str> = log.lines().rev().take(8).collect();
        out += &format!("== {name}\n{}\n{}\n", cluster.get(index, page), last_lines.join("\n"));
    }
    out
}
