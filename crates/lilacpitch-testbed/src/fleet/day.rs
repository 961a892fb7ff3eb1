//! A day of a town: handsets connect, move and leave, people look numbers up and ask how far purges are, and faults
//! are drawn over all of it. What comes of it goes to the judge.

use super::caller::Caller;
use super::cluster::{Plan, Town, TownError};
use super::fault_proxy::Fault;
use super::promises_checker::{self, Breach, Judged, Look, Progress};
use super::scenario;
use lilacpitch_rpc::steady_ns;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Terms that suit short days on machines that are loaded.
pub const TERMS: &str =
    "lease: \"1500ms\", straggler: \"1500ms\", settle: \"1500ms\", poll: \"100ms\", ask: \"200ms\"";
/// The same, for the judge.
const SETTLE_NS: u64 = 1_500_000_000;
const STRAGGLER_NS: u64 = 1_500_000_000;
const LEASE_NS: u64 = 1_500_000_000;
/// (1 + a) / (1 - a) for the settings' default of 1 %.
const OUTLASTS: f64 = 1.01 / 0.99;

/// What goes wrong with whom.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// A process is killed, and starts again after a while.
    Kill(usize),
    /// It stands still for a while.
    Freeze(usize),
    /// What the first sends the second does not arrive for a while, and then it does.
    CutOneWay(usize, usize),
    /// Neither way.
    Cut(usize, usize),
    /// A group and all others are cut off from each other.
    Split(Vec<usize>),
    /// This happens to what crosses between two.
    Bad(usize, usize, Fault),
    /// Connections between two end.
    Reset(usize, usize),
}

/// A trouble: from when on, and for how long.
pub type Drawn = (Duration, Duration, Trouble);

/// Draws troubles for a stretch of time. They overlap as they come.
pub fn draw(town: &Town, length: Duration, count: usize, seed: u64) -> Vec<Drawn> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (sites, fronts) = (town.site_processes(), town.fronts());
    let all: Vec<usize> = sites.iter().chain(&fronts).copied().collect();
    let pairs: Vec<(usize, usize)> = town.wires.pairs().collect();
    let mut troubles = Vec::new();
    for _ in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let lasts = Duration::from_millis(rng.random_range(100..3_500));
        let one = *all.choose(&mut rng).unwrap_or(&0);
        let (a, b) = *pairs.choose(&mut rng).unwrap_or(&(0, 0));
        let trouble = match rng.random_range(0..10) {
            0 | 1 => Trouble::Kill(one),
            2 | 3 => Trouble::Freeze(one),
            4 => Trouble::CutOneWay(a, b),
            5 => Trouble::Cut(a, b),
            6 => Trouble::Split(all.iter().copied().filter(|_| rng.random_bool(0.3)).collect()),
            7 => Trouble::Reset(a, b),
            _ => {
                let fault = Fault {
                    delay: Duration::from_millis(rng.random_range(0..60)),
                    jitter: Duration::from_millis(rng.random_range(0..60)),
                    doubled: rng.random_range(0..20),
                    swapped: rng.random_range(0..20),
                    damaged: rng.random_range(0..20),
                    reset: rng.random_range(0..20),
                    bytes_per_s: if rng.random_bool(0.3) { rng.random_range(20_000..200_000) } else { 0 },
                    refused: rng.random_bool(0.15),
                    ..Fault::default()
                };
                Trouble::Bad(a, b, fault)
            }
        };
        troubles.push((at, lasts, trouble));
    }
    troubles.sort_by_key(|(at, ..)| *at);
    troubles
}

/// What became of a day.
#[derive(Debug)]
pub struct Played {
    /// Promises not kept.
    pub breaches: Vec<Breach>,
    /// What was there to be judged.
    pub judged: Judged,
    /// Locates that were answered, and of them those that were complete.
    pub looks: (usize, usize),
    /// Locates that were complete in the last stretch, when all troubles were over, and all of them.
    pub after: (usize, usize),
    /// Handsets that connected.
    pub moves: usize,
    /// Processes that ended by themselves.
    pub fallen: Vec<String>,
}

/// How a day goes.
#[derive(Debug, Clone)]
pub struct Day {
    /// Its length.
    pub length: Duration,
    /// And so much more once all troubles are over.
    pub after: Duration,
    /// Numbers that handsets have.
    pub numbers: u32,
    /// The gap between two handsets' moves.
    pub move_gap: Duration,
    /// Of draws.
    pub seed: u64,
}

impl Default for Day {
    fn default() -> Self {
        let (length, after) = (Duration::from_secs(8), Duration::from_secs(5));
        Day { length, after, numbers: 30, move_gap: Duration::from_millis(40), seed: 1 }
    }
}

/// What everybody in a day shares.
struct Shared {
    over: AtomicBool,
    looks: Mutex<Vec<Look>>,
    progress: Mutex<Vec<Progress>>,
}

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn number(n: u32) -> String {
    format!("1555{n:04}")
}

/// Plays a day with the troubles given, or drawn where `troubles` is a count.
pub fn play(
    plan: Plan,
    day: &Day,
    program: &Path,
    troubles: impl FnOnce(&Town) -> Vec<Drawn>,
) -> Result<Played, TownError> {
    let mut town = Town::start(plan.clone(), program)?;
    if !town.settled(Duration::from_secs(30)) {
        return Err(TownError::NotReady("the town".into(), "no leases or summaries within 30 s".into()));
    }
    let troubles = troubles(&town);
    let shared = Arc::new(Shared {
        over: AtomicBool::new(false),
        looks: Mutex::default(),
        progress: Mutex::default(),
    });
    let callers: Vec<SocketAddr> = town.fronts().into_iter().map(|front| town.callers(front)).collect();
    let mut threads = Vec::new();
    let mover = {
        let (shared, day, callers) = (shared.clone(), day.clone(), callers.clone());
        std::thread::spawn(move || move_handsets(&shared, &day, &callers))
    };
    for front in town.fronts() {
        let (shared, day, pages) = (shared.clone(), day.clone(), town.pages(front));
        threads.push(std::thread::spawn(move || look(&shared, &day, front, pages)));
    }
    for process in town.site_processes().into_iter().filter(|index| town.site_of(*index) == Some("root")) {
        let (shared, pages) = (shared.clone(), town.pages(process));
        threads.push(std::thread::spawn(move || ask_progress(&shared, process, pages)));
    }
    let (fallen, healed_ns) = trouble(&mut town, troubles, day.length);
    std::thread::sleep(day.after);
    shared.over.store(true, Ordering::Relaxed);
    let moves = mover.join().unwrap_or(0);
    threads.into_iter().for_each(|thread| drop(thread.join()));

    let (looks, progress) = (locked(&shared.looks).clone(), locked(&shared.progress).clone());
    let complete = |look: &&Look| look.page.starts_with("complete true");
    let calm_ns = healed_ns + (day.after / 2).as_nanos() as u64;
    let late: Vec<&Look> = looks.iter().filter(|look| look.began_ns > calm_ns).collect();
    let (breaches, judged) =
        promises_checker::judge(&case(&town, &plan), &town.wires.crossed(), &looks, &progress);
    Ok(Played {
        breaches,
        judged,
        looks: (looks.iter().filter(complete).count(), looks.len()),
        after: (late.iter().copied().filter(complete).count(), late.len()),
        moves,
        fallen,
    })
}

/// What the judge is told of a town.
pub fn case(town: &Town, plan: &Plan) -> promises_checker::Town {
    let names = town.names();
    let fronts = town.fronts().into_iter().zip(&plan.fronts);
    let processes = town.site_processes().into_iter();
    promises_checker::Town {
        sites: plan.sites.iter().map(|(name, ..)| name.clone()).collect(),
        processes: processes.filter_map(|at| Some((at, town.site_of(at)?.to_string()))).collect(),
        fronts: fronts.map(|(at, home)| (at, (names[at].clone(), home.clone()))).collect::<BTreeMap<_, _>>(),
        settle_ns: SETTLE_NS,
        outlasts: OUTLASTS,
        straggler_ns: STRAGGLER_NS,
        lease_ns: LEASE_NS,
    }
}

fn move_handsets(shared: &Shared, day: &Day, fronts: &[SocketAddr]) -> usize {
    let mut rng = StdRng::seed_from_u64(day.seed ^ 0x6d6f_7665);
    let (mut held, mut moves): (BTreeMap<u32, Caller>, usize) = Default::default();
    while !shared.over.load(Ordering::Relaxed) {
        std::thread::sleep(day.move_gap);
        let n = rng.random_range(0..day.numbers);
        // It leaves where it is, if it is anywhere; most of them come back at once, at any front.
        drop(held.remove(&n));
        if rng.random_bool(0.8) {
            let front = fronts[rng.random_range(0..fronts.len())];
            if let Ok(caller) = Caller::connect_within(front, Some(&number(n)), Duration::from_millis(300)) {
                held.insert(n, caller);
                moves += 1;
            }
        }
    }
    moves
}

fn look(shared: &Shared, day: &Day, front: usize, pages: SocketAddr) {
    let mut rng = StdRng::seed_from_u64(day.seed ^ (front as u64) << 8);
    while !shared.over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
        let seen = scenario::look(pages, front, &number(rng.random_range(0..day.numbers)));
        locked(&shared.looks).extend(seen);
    }
}

fn ask_progress(shared: &Shared, by: usize, pages: SocketAddr) {
    while !shared.over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(25));
        locked(&shared.progress).extend(scenario::progress(pages, by));
    }
}

/// Brings troubles about and ends them; who fell by itself, and when the last trouble was over.
fn trouble(town: &mut Town, troubles: Vec<Drawn>, length: Duration) -> (Vec<String>, u64) {
    let began = Instant::now();
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (index, (at, lasts, _)) in troubles.iter().enumerate() {
        steps.push((*at, index, true));
        steps.push((*at + *lasts, index, false));
    }
    steps.sort_unstable();
    let (mut down, mut fallen): (BTreeMap<usize, u32>, Vec<String>) = Default::default();
    for (at, index, begins) in steps {
        std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
        let fault = |held| Fault { held, ..Fault::default() };
        match &troubles[index].2 {
            Trouble::Kill(one) => {
                let times = down.entry(*one).or_default();
                if begins {
                    if *times == 0 && !town.runs(*one) {
                        fallen.push(town.names()[*one].clone());
                    }
                    *times += 1;
                    town.kill(*one);
                } else {
                    *times -= 1;
                    // A start that overlaps another's end waits for that.
                    if *times == 0 {
                        if let Err(error) = town.start_process(*one) {
                            fallen.push(error.to_string());
                        }
                    }
                }
            }
            Trouble::Freeze(one) => town.freeze(*one, begins),
            Trouble::CutOneWay(a, b) => town.wires.one_way(*a, *b, fault(begins)),
            Trouble::Cut(a, b) => town.wires.between(*a, *b, fault(begins)),
            Trouble::Split(group) => town.wires.split(group, begins),
            Trouble::Bad(a, b, bad) => {
                town.wires.between(*a, *b, if begins { *bad } else { Fault::default() });
            }
            Trouble::Reset(a, b) => {
                if begins {
                    town.wires.reset(*a, *b);
                }
            }
        }
    }
    std::thread::sleep((began + length).saturating_duration_since(Instant::now()));
    town.wires.all(Fault::default());
    for (index, name) in town.names().into_iter().enumerate() {
        town.freeze(index, false);
        if !town.runs(index) {
            fallen.push(name);
        }
    }
    (fallen, steady_ns())
}
