//! Scripted steps in a cluster. Everything that is read from admin pages is kept for the checker.

use super::caller::Caller;
use super::cluster::{Cluster, ClusterError, Plan};
use super::day::describe_fleet;
use super::promises_checker::{self, Breach, Judged, LocateReading, PurgeProgress};
use lilacpitch_edge::net::fetch;
use lilacpitch_location::Number;
use lilacpitch_rpc::steady_ns;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Locates a number on a front's admin page. Returns `None` if the request failed.
pub fn read_locate(admin: SocketAddr, front: usize, number: &str) -> Option<LocateReading> {
    let began_ns = steady_ns();
    let (_, page) =
        fetch(admin, "GET", &format!("/locate?number={number}")).ok().filter(|(status, _)| *status == 200)?;
    let ended_ns = steady_ns();
    Some(LocateReading { front, number: Number::new(number).ok()?, began_ns, ended_ns, page })
}

/// Reads the progress of purges from a site process's admin page. Returns `None` if the request failed or the
/// page doesn't state it.
pub fn read_purge_progress(admin: SocketAddr, process: usize) -> Option<PurgeProgress> {
    let began_ns = steady_ns();
    let (_, page) = fetch(admin, "GET", "/purges").ok().filter(|(status, _)| *status == 200)?;
    let ended_ns = steady_ns();
    let field = |name: &str| page.lines().find_map(|line| line.strip_prefix(name));
    let (log, ordered) = field("ordered ")?.split_once('/')?;
    let log = u64::from_str_radix(log, 16).ok()?;
    let (ordered, complete) = (ordered.parse().ok()?, field("complete ")?.parse().ok()?);
    Some(PurgeProgress { process, began_ns, ended_ns, log, ordered, complete })
}

/// A running cluster and what was read from its admin pages.
pub struct Scenario {
    /// The running cluster.
    pub cluster: Cluster,
    plan: Plan,
    locate_readings: Vec<LocateReading>,
    progress_readings: Vec<PurgeProgress>,
}

impl Scenario {
    /// Starts a cluster and waits until every front has a lease and all summaries.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster doesn't start or isn't ready within `timeout`.
    pub fn start(plan: Plan, program: &Path, timeout: Duration) -> Result<Self, ClusterError> {
        let cluster = Cluster::start(plan.clone(), program)?;
        if !cluster.wait_until_ready(timeout) {
            return Err(ClusterError::NotReady(
                "the cluster".into(),
                "no leases or summaries in time".into(),
            ));
        }
        Ok(Scenario { cluster, plan, locate_readings: Vec::new(), progress_readings: Vec::new() })
    }

    /// Connects a handset with a number to a front.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or its handshake fails.
    pub fn handset(&self, front: &str, number: &str) -> std::io::Result<Caller> {
        Caller::connect(self.cluster.caller_address(self.cluster.index(front)), Some(number))
    }

    /// Locates a number at a front and returns the page; empty if the request failed.
    pub fn locate(&mut self, front: &str, number: &str) -> String {
        let front = self.cluster.index(front);
        let reading = read_locate(self.cluster.admin_address(front), front, number);
        let page = reading.as_ref().map_or(String::new(), |reading| reading.page.clone());
        self.locate_readings.extend(reading);
        page
    }

    /// Keeps a locate that was read elsewhere, for the checker.
    pub fn add_locate_reading(&mut self, reading: Option<LocateReading>) {
        self.locate_readings.extend(reading);
    }

    /// Reads the progress of purges at a site process.
    pub fn read_progress(&mut self, process: &str) -> Option<PurgeProgress> {
        let process = self.cluster.index(process);
        let reading = read_purge_progress(self.cluster.admin_address(process), process);
        self.progress_readings.extend(reading);
        reading
    }

    /// Repeats `done` until it returns `true`. Returns `false` if that takes longer than `timeout`.
    pub fn wait_until(&mut self, timeout: Duration, mut done: impl FnMut(&mut Scenario) -> bool) -> bool {
        let deadline_ns = steady_ns() + timeout.as_nanos() as u64;
        loop {
            if done(self) {
                return true;
            }
            if steady_ns() >= deadline_ns {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Orders a purge of a number and returns the index of the order.
    pub fn purge(&self, process: &str, number: &str) -> Option<u64> {
        let response =
            self.cluster.page(self.cluster.index(process), "POST", &format!("/purge?number={number}"));
        let (_, body) = response.ok().filter(|(status, _)| *status == 200)?;
        body.trim().rsplit_once('/')?.1.parse().ok()
    }

    /// Checks everything recorded so far. `lease` is the length of leases and also the time after which a
    /// front counts as a straggler.
    pub fn check(&self, lease: Duration) -> (Vec<Breach>, Judged) {
        let lease_ns = lease.as_nanos() as u64;
        let fleet = promises_checker::FleetDescription {
            lease_ns,
            straggler_ns: lease_ns,
            ..describe_fleet(&self.cluster, &self.plan)
        };
        promises_checker::check(
            &fleet,
            &self.cluster.proxy.recorded_frames(),
            &self.locate_readings,
            &self.progress_readings,
        )
    }
}
