//! A run of a cluster under random faults. Handsets connect, move between fronts and disconnect, numbers are
//! located at all fronts, and the progress of purges is read at the root. The recording goes to the checker.

use super::caller::Caller;
use super::cluster::{Cluster, ClusterError, Plan};
use super::fault_proxy::Fault;
use super::promises_checker::{self, Breach, Judged, LocateReading, PurgeProgress};
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

/// Settings of `terms` for short runs, with margins for a loaded machine.
pub const TERMS: &str =
    "lease: \"1500ms\", straggler: \"1500ms\", settle: \"1500ms\", poll: \"100ms\", ask: \"200ms\"";
/// `settle` of [`TERMS`] for the checker, in nanoseconds.
const SETTLE_NS: u64 = 1_500_000_000;
/// `straggler` of [`TERMS`] for the checker, in nanoseconds.
const STRAGGLER_NS: u64 = 1_500_000_000;
/// `lease` of [`TERMS`] for the checker, in nanoseconds.
const LEASE_NS: u64 = 1_500_000_000;
/// How much longer a lease may last by the granter's clock than by the holder's: (1 + a) / (1 - a) for the
/// default clock allowance a of 1 %.
const LEASE_STRETCH: f64 = 1.01 / 0.99;

/// A fault that affects processes or the connections between them.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetFault {
    /// A process is killed, and restarted when the fault ends.
    Kill(usize),
    /// A process is suspended.
    Freeze(usize),
    /// Frames from the first process to the second are held back.
    CutOneWay(usize, usize),
    /// Frames between two processes are held back in both directions.
    Cut(usize, usize),
    /// A group is partitioned from all other processes.
    Partition(Vec<usize>),
    /// Frames between two processes are subject to a network fault.
    Degrade(usize, usize, Fault),
    /// Connections between two processes are reset.
    Reset(usize, usize),
}

/// A fault with its start, counted from the beginning of the run, and its duration.
pub type ScheduledFault = (Duration, Duration, FleetFault);

/// Draws `count` random faults that start within the first four fifths of `length`. They may overlap.
pub fn draw_faults(cluster: &Cluster, length: Duration, count: usize, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (sites, fronts) = (cluster.site_processes(), cluster.fronts());
    let all: Vec<usize> = sites.iter().chain(&fronts).copied().collect();
    let pairs: Vec<(usize, usize)> = cluster.proxy.pairs().collect();
    let mut faults = Vec::new();
    for _ in 0..count {
        let start = length.mul_f64(rng.random_range(0.0..0.8));
        let duration = Duration::from_millis(rng.random_range(100..3_500));
        let one = *all.choose(&mut rng).unwrap_or(&0);
        let (a, b) = *pairs.choose(&mut rng).unwrap_or(&(0, 0));
        let fault = match rng.random_range(0..10) {
            0 | 1 => FleetFault::Kill(one),
            2 | 3 => FleetFault::Freeze(one),
            4 => FleetFault::CutOneWay(a, b),
            5 => FleetFault::Cut(a, b),
            6 => FleetFault::Partition(all.iter().copied().filter(|_| rng.random_bool(0.3)).collect()),
            7 => FleetFault::Reset(a, b),
            _ => {
                let network_fault = Fault {
                    delay: Duration::from_millis(rng.random_range(0..60)),
                    jitter: Duration::from_millis(rng.random_range(0..60)),
                    duplicated_per_1000: rng.random_range(0..20),
                    reordered_per_1000: rng.random_range(0..20),
                    corrupted_per_1000: rng.random_range(0..20),
                    reset_per_1000: rng.random_range(0..20),
                    bytes_per_s: if rng.random_bool(0.3) { rng.random_range(20_000..200_000) } else { 0 },
                    refuse_connections: rng.random_bool(0.15),
                    ..Fault::default()
                };
                FleetFault::Degrade(a, b, network_fault)
            }
        };
        faults.push((start, duration, fault));
    }
    faults.sort_by_key(|(start, ..)| *start);
    faults
}

/// The result of a run.
#[derive(Debug)]
pub struct Played {
    /// Violations of the guarantees.
    pub breaches: Vec<Breach>,
    /// How many observations were checked.
    pub judged: Judged,
    /// Number of complete answers to locates, and of all answers.
    pub looks: (usize, usize),
    /// Number of complete answers, and of all answers, once all faults had been over for half of
    /// [`Day::after`].
    pub after: (usize, usize),
    /// Number of successful connections of handsets.
    pub moves: usize,
    /// Processes that exited on their own, or failed to start again.
    pub fallen: Vec<String>,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Day {
    /// How long faults may last.
    pub length: Duration,
    /// How long the run continues after all faults are over.
    pub after: Duration,
    /// Number of handsets, each with its own number.
    pub numbers: u32,
    /// Time between two moves of handsets.
    pub move_gap: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for Day {
    fn default() -> Self {
        let (length, after) = (Duration::from_secs(8), Duration::from_secs(5));
        Day { length, after, numbers: 30, move_gap: Duration::from_millis(40), seed: 1 }
    }
}

/// State shared by the threads of a run.
struct Shared {
    stop: AtomicBool,
    locates: Mutex<Vec<LocateReading>>,
    progress: Mutex<Vec<PurgeProgress>>,
}

/// Locks a mutex, even if a thread panicked while it held the lock.
fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handset_number(n: u32) -> String {
    format!("1555{n:04}")
}

/// Starts a cluster, runs it with the given faults, and checks the recording.
///
/// # Errors
///
/// Returns an error if the cluster doesn't start or isn't ready in time.
pub fn run(
    plan: Plan,
    day: &Day,
    program: &Path,
    choose_faults: impl FnOnce(&Cluster) -> Vec<ScheduledFault>,
) -> Result<Played, ClusterError> {
    let mut cluster = Cluster::start(plan.clone(), program)?;
    if !cluster.wait_until_ready(Duration::from_secs(30)) {
        return Err(ClusterError::NotReady(
            "the cluster".into(),
            "no leases or summaries within 30 s".into(),
        ));
    }
    let faults = choose_faults(&cluster);
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        locates: Mutex::default(),
        progress: Mutex::default(),
    });
    let caller_addresses: Vec<SocketAddr> =
        cluster.fronts().into_iter().map(|front| cluster.caller_address(front)).collect();
    let mut threads = Vec::new();
    let mover = {
        let (shared, day) = (shared.clone(), day.clone());
        std::thread::spawn(move || move_handsets(&shared, &day, &caller_addresses))
    };
    for front in cluster.fronts() {
        let (shared, day, admin) = (shared.clone(), day.clone(), cluster.admin_address(front));
        threads.push(std::thread::spawn(move || read_locates(&shared, &day, front, admin)));
    }
    for process in
        cluster.site_processes().into_iter().filter(|index| cluster.site_of(*index) == Some("root"))
    {
        let (shared, admin) = (shared.clone(), cluster.admin_address(process));
        threads.push(std::thread::spawn(move || read_purge_progress(&shared, process, admin)));
    }
    let (fallen, faults_end_ns) = inject_faults(&mut cluster, faults, day.length);
    std::thread::sleep(day.after);
    shared.stop.store(true, Ordering::Relaxed);
    let moves = mover.join().unwrap_or(0);
    threads.into_iter().for_each(|thread| drop(thread.join()));

    let (locates, progress) = (locked(&shared.locates).clone(), locked(&shared.progress).clone());
    let is_complete = |locate: &&LocateReading| locate.page.starts_with("complete true");
    let recovered_ns = faults_end_ns + (day.after / 2).as_nanos() as u64;
    let after_recovery: Vec<&LocateReading> =
        locates.iter().filter(|locate| locate.began_ns > recovered_ns).collect();
    let (breaches, judged) = promises_checker::check(
        &describe_fleet(&cluster, &plan),
        &cluster.proxy.recorded_frames(),
        &locates,
        &progress,
    );
    Ok(Played {
        breaches,
        judged,
        looks: (locates.iter().filter(is_complete).count(), locates.len()),
        after: (after_recovery.iter().copied().filter(is_complete).count(), after_recovery.len()),
        moves,
        fallen,
    })
}

/// Returns the description of a cluster that the checker needs.
pub fn describe_fleet(cluster: &Cluster, plan: &Plan) -> promises_checker::FleetDescription {
    let names = cluster.names();
    let fronts = cluster.fronts().into_iter().zip(&plan.fronts);
    let processes = cluster.site_processes().into_iter();
    promises_checker::FleetDescription {
        sites: plan.sites.iter().map(|(name, ..)| name.clone()).collect(),
        processes: processes
            .filter_map(|process| Some((process, cluster.site_of(process)?.to_string())))
            .collect(),
        fronts: fronts
            .map(|(front, home)| (front, (names[front].clone(), home.clone())))
            .collect::<BTreeMap<_, _>>(),
        settle_ns: SETTLE_NS,
        lease_stretch: LEASE_STRETCH,
        straggler_ns: STRAGGLER_NS,
        lease_ns: LEASE_NS,
    }
}

/// Moves random handsets until the run ends. Returns the number of successful connections.
fn move_handsets(shared: &Shared, day: &Day, fronts: &[SocketAddr]) -> usize {
    let mut rng = StdRng::seed_from_u64(day.seed ^ 0x6d6f_7665);
    let (mut connected, mut moves): (BTreeMap<u32, Caller>, usize) = Default::default();
    while !shared.stop.load(Ordering::Relaxed) {
        std::thread::sleep(day.move_gap);
        let n = rng.random_range(0..day.numbers);
        // The handset disconnects from its front, if it has one. Most reconnect at once, at a random front.
        drop(connected.remove(&n));
        if rng.random_bool(0.8) {
            let front = fronts[rng.random_range(0..fronts.len())];
            if let Ok(caller) =
                Caller::connect_within(front, Some(&handset_number(n)), Duration::from_millis(300))
            {
                connected.insert(n, caller);
                moves += 1;
            }
        }
    }
    moves
}

/// Locates random numbers at a front until the run ends.
fn read_locates(shared: &Shared, day: &Day, front: usize, admin: SocketAddr) {
    let mut rng = StdRng::seed_from_u64(day.seed ^ (front as u64) << 8);
    while !shared.stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
        let number = handset_number(rng.random_range(0..day.numbers));
        locked(&shared.locates).extend(scenario::read_locate(admin, front, &number));
    }
}

/// Reads the progress of purges at a process until the run ends.
fn read_purge_progress(shared: &Shared, process: usize, admin: SocketAddr) {
    while !shared.stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(25));
        locked(&shared.progress).extend(scenario::read_purge_progress(admin, process));
    }
}

/// Starts and ends faults at their times. Returns the processes that exited on their own and when the last
/// fault was over, in nanoseconds of the monotonic clock.
fn inject_faults(cluster: &mut Cluster, faults: Vec<ScheduledFault>, length: Duration) -> (Vec<String>, u64) {
    let began = Instant::now();
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (index, (start, duration, _)) in faults.iter().enumerate() {
        steps.push((*start, index, true));
        steps.push((*start + *duration, index, false));
    }
    steps.sort_unstable();
    let (mut kills, mut fallen): (BTreeMap<usize, u32>, Vec<String>) = Default::default();
    for (at, index, begins) in steps {
        std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
        let hold = |held| Fault { held, ..Fault::default() };
        match &faults[index].2 {
            FleetFault::Kill(process) => {
                let overlapping_kills = kills.entry(*process).or_default();
                if begins {
                    if *overlapping_kills == 0 && !cluster.is_running(*process) {
                        fallen.push(cluster.names()[*process].clone());
                    }
                    *overlapping_kills += 1;
                    cluster.kill(*process);
                } else {
                    *overlapping_kills -= 1;
                    // The process restarts when the last of several overlapping kills ends.
                    if *overlapping_kills == 0 {
                        if let Err(error) = cluster.start_process(*process) {
                            fallen.push(error.to_string());
                        }
                    }
                }
            }
            FleetFault::Freeze(process) => cluster.freeze(*process, begins),
            FleetFault::CutOneWay(a, b) => cluster.proxy.set_one_way(*a, *b, hold(begins)),
            FleetFault::Cut(a, b) => cluster.proxy.set_both_ways(*a, *b, hold(begins)),
            FleetFault::Partition(group) => cluster.proxy.set_partition(group, begins),
            FleetFault::Degrade(a, b, network_fault) => {
                cluster.proxy.set_both_ways(*a, *b, if begins { *network_fault } else { Fault::default() });
            }
            FleetFault::Reset(a, b) => {
                if begins {
                    cluster.proxy.reset_connections(*a, *b);
                }
            }
        }
    }
    std::thread::sleep((began + length).saturating_duration_since(Instant::now()));
    cluster.proxy.set_all(Fault::default());
    for (index, name) in cluster.names().into_iter().enumerate() {
        cluster.freeze(index, false);
        if !cluster.is_running(index) {
            fallen.push(name);
        }
    }
    (fallen, steady_ns())
}
