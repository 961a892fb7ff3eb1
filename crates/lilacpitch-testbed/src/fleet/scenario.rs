//! A town in which one thing happens after the other: what people read there is kept for the judge.

use super::caller::Caller;
use super::cluster::{Plan, Town, TownError};
use super::day::case;
use super::promises_checker::{self, Breach, Judged, Look, Progress};
use lilacpitch_edge::net::fetch;
use lilacpitch_location::Number;
use lilacpitch_rpc::steady_ns;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Looks a number up on a front's page; `None`: no page came.
pub fn look(pages: SocketAddr, front: usize, number: &str) -> Option<Look> {
    let began_ns = steady_ns();
    let (_, page) =
        fetch(pages, "GET", &format!("/locate?number={number}")).ok().filter(|said| said.0 == 200)?;
    let ended_ns = steady_ns();
    Some(Look { front, number: Number::new(number).ok()?, began_ns, ended_ns, page })
}

/// Reads how far purges are on a site's page; `None`: it does not say.
pub fn progress(pages: SocketAddr, by: usize) -> Option<Progress> {
    let began_ns = steady_ns();
    let (_, page) = fetch(pages, "GET", "/purges").ok().filter(|said| said.0 == 200)?;
    let ended_ns = steady_ns();
    let field = |name: &str| page.lines().find_map(|line| line.strip_prefix(name));
    let (log, ordered) = field("ordered ")?.split_once('/')?;
    let log = u64::from_str_radix(log, 16).ok()?;
    let (ordered, complete) = (ordered.parse().ok()?, field("complete ")?.parse().ok()?);
    Some(Progress { by, began_ns, ended_ns, log, ordered, complete })
}

/// A town, and what was read there.
pub struct Scene {
    /// The town.
    pub town: Town,
    plan: Plan,
    looks: Vec<Look>,
    progress: Vec<Progress>,
}

impl Scene {
    /// Starts a town and waits until all of it is at work.
    pub fn start(plan: Plan, program: &Path, patience: Duration) -> Result<Self, TownError> {
        let town = Town::start(plan.clone(), program)?;
        if !town.settled(patience) {
            return Err(TownError::NotReady("the town".into(), "no leases or summaries in time".into()));
        }
        Ok(Scene { town, plan, looks: Vec::new(), progress: Vec::new() })
    }

    /// A handset that connects at a front.
    pub fn handset(&self, front: &str, number: &str) -> std::io::Result<Caller> {
        Caller::connect(self.town.callers(self.town.index(front)), Some(number))
    }

    /// Looks a number up; the page, empty where none came.
    pub fn look(&mut self, front: &str, number: &str) -> String {
        let at = self.town.index(front);
        let seen = look(self.town.pages(at), at, number);
        let page = seen.as_ref().map_or(String::new(), |look| look.page.clone());
        self.looks.extend(seen);
        page
    }

    /// Keeps a look that somebody else took.
    pub fn keep(&mut self, seen: Option<Look>) {
        self.looks.extend(seen);
    }

    /// Reads how far purges are.
    pub fn progress(&mut self, process: &str) -> Option<Progress> {
        let at = self.town.index(process);
        let read = progress(self.town.pages(at), at);
        self.progress.extend(read);
        read
    }

    /// Does something again and again until it says that it is done; `false`: it was not in time.
    pub fn until(&mut self, patience: Duration, mut done: impl FnMut(&mut Scene) -> bool) -> bool {
        let until_ns = steady_ns() + patience.as_nanos() as u64;
        loop {
            if done(self) {
                return true;
            }
            if steady_ns() >= until_ns {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Orders a purge of a number that nobody has; the order's number.
    pub fn purge(&self, process: &str, number: &str) -> Option<u64> {
        let asked = self.town.page(self.town.index(process), "POST", &format!("/purge?number={number}"));
        let (_, said) = asked.ok().filter(|said| said.0 == 200)?;
        said.trim().rsplit_once('/')?.1.parse().ok()
    }

    /// Judges all that crossed and was read so far, where leases and stragglers' spans are this long.
    pub fn judged(&self, lease: Duration) -> (Vec<Breach>, Judged) {
        let lease_ns = lease.as_nanos() as u64;
        let of = promises_checker::Town { lease_ns, straggler_ns: lease_ns, ..case(&self.town, &self.plan) };
        promises_checker::judge(&of, &self.town.wires.crossed(), &self.looks, &self.progress)
    }
}
