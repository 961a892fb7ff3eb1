//! Measurements of the fleet for docs/measurements.md, in one run:
//! `cargo test --release -p lilacpitch-testbed --test fleet_measures -- --ignored --nocapture --test-threads 1`

use lilacpitch_edge::net::fetch;
use lilacpitch_fleet::message::{RecordChange, Request, Response, Role};
use lilacpitch_gossip::Keys;
use lilacpitch_location::{Key, Kind, LocationRecord, LocationStore, Number, Owner, Query, ShardSummary};
use lilacpitch_rpc::{accept, LocalIdentity, RequestHandler, ResponseFuture, RpcConnection};
use lilacpitch_testbed::fleet::caller::Caller;
use lilacpitch_testbed::fleet::cluster::{Cluster, Plan};
use lilacpitch_testbed::fleet::day::TERMS;
use lilacpitch_testbed::fleet::simulated_cluster::{Shape, SimulatedCluster};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of requests and conditions.
const TIMEOUT: Duration = Duration::from_secs(60);

fn row(n: u64, front: &str, incarnation: u64) -> LocationRecord {
    let holder = Owner { name: front.into(), front: front.into(), incarnation, serial: n };
    let key = Key { number: Number::new(&format!("1{n:09}")).unwrap(), kind: Kind::Binding, owner: holder };
    LocationRecord { key, class: String::new(), trunk_group: "p".into(), since_ms: 1 }
}

/// Returns the median and the 99th percentile of some durations in milliseconds.
fn percentiles(mut spans: Vec<f64>) -> (f64, f64) {
    spans.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| {
        spans.get(((spans.len() as f64 * share) as usize).min(spans.len().saturating_sub(1))).copied()
    };
    (at(0.5).unwrap_or(f64::NAN), at(0.99).unwrap_or(f64::NAN))
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

#[test]
#[ignore = "figures"]
fn register() {
    for shards in [1, 16, 64] {
        for threads in [1u64, 2, 4] {
            let register = Arc::new(LocationStore::new(shards).unwrap());
            let each = 200_000 / threads;
            let start = Instant::now();
            let all: Vec<_> = (0..threads)
                .map(|thread| {
                    let register = register.clone();
                    std::thread::spawn(move || {
                        (0..each).for_each(|n| drop(register.upsert(row(thread * each + n, "e", 1))))
                    })
                })
                .collect();
            all.into_iter().for_each(|thread| thread.join().unwrap());
            println!(
                "register: {shards} shards, {threads} threads: {:.0} rows/s",
                200_000.0 / start.elapsed().as_secs_f64()
            );
        }
    }
    let register = LocationStore::new(64).unwrap();
    (0..1_000_000).for_each(|n| drop(register.upsert(row(n, "e", 1))));
    let start = Instant::now();
    let (mut bytes, mut kept) = (0, Vec::new());
    for shard in 0..64 {
        let update = register.summary(shard, None).unwrap();
        bytes += update.base.as_ref().map_or(0, |(_, b)| b.len()) + 4 * update.added.len();
        let mut summary = ShardSummary::default();
        summary.apply_update(&update).unwrap();
        kept.push(summary);
    }
    println!(
        "summaries of 1,000,000 rows: {:.2} bits a row, built and read in {:.0} ms",
        bytes as f64 * 8.0 / 1e6,
        ms(start.elapsed())
    );
    let unknown_numbers = (0..1_000_000u64).filter(|n| {
        let hash = Number::new(&format!("2{n:09}")).unwrap().hash64();
        kept[lilacpitch_location::summary::shard_of(hash, 64)]
            .may_contain(lilacpitch_location::summary::fingerprint(hash))
    });
    println!("false 'could': {:.4} % of 1,000,000 strangers", unknown_numbers.count() as f64 / 1e4);
    for per_s in [10u64, 100, 1_000] {
        // Ten seconds of polls 200 ms apart.
        let mut sent = 0;
        for poll in 0..50u64 {
            (0..per_s / 5).for_each(|n| {
                drop(register.upsert(row(2_000_000 + per_s * 1_000 + poll * 1_000 + n, "e", 1)))
            });
            for (shard, kept) in kept.iter_mut().enumerate() {
                if let Some(update) = register.summary(shard, Some(kept.version())) {
                    sent += postcard::to_allocvec(&update).unwrap().len();
                    kept.apply_update(&update).unwrap();
                }
            }
        }
        println!("summaries at {per_s} new rows a second: {} bytes/s", sent / 10);
    }
    let register = Arc::new(register);
    let (writer, mut reads) = (register.clone(), Vec::new());
    let snapshots = std::thread::spawn(move || {
        for n in 0..20 {
            let snapshot = writer.snapshot();
            (0..2_000).for_each(|m| drop(writer.upsert(row(5_000_000 + n * 2_000 + m, "e", 1))));
            drop(snapshot);
        }
    });
    while !snapshots.is_finished() {
        let start = Instant::now();
        let found = register.find(&Query::binding_of(Number::new("1000000777").unwrap()), None, 1);
        reads.push(ms(start.elapsed()));
        assert_eq!(found.records.len(), 1);
    }
    let (p50, p99) = percentiles(reads);
    println!("reads while snapshots run and rows are written: p50 {p50:.4} ms, p99 {p99:.4} ms");
}

#[test]
#[ignore = "figures"]
fn purges_in_virtual_time() {
    for (name, shape) in [
        ("one tier, 2 holders", Shape::tiers(1, 0, 2)),
        ("one tier, 24 holders", Shape::tiers(1, 0, 24)),
        ("one tier, 300 holders", Shape::tiers(1, 0, 300)),
        ("three tiers, 24 holders", Shape::tiers(2, 2, 6)),
        ("three tiers, 300 holders", Shape::tiers(5, 3, 20)),
    ] {
        for faults in [0, 30] {
            let length_ns = if shape.homes.len() > 100 { 5_000_000_000 } else { 12_000_000_000 };
            let shape = Shape {
                faults,
                length_ns,
                move_interval_ns: 60_000_000,
                locate_interval_ns: 50_000_000,
                ..shape.clone()
            };
            let day = SimulatedCluster::new(shape, 3).run();
            assert_eq!(day.breaches, vec![]);
            let count = day.complete_ms.len() as f64;
            let (p50, p99) = percentiles(day.complete_ms);
            println!(
                "purge, {name}, {faults} faults: p50 {p50:.1} ms, p99 {p99:.1} ms, {:.0} messages and {:.0} bytes each",
                day.purge_messages.0 as f64 / count,
                day.purge_messages.1 as f64 / count
            );
        }
    }
}

/// The request handler of a front without a cache.
struct CachelessFront;

impl RequestHandler for CachelessFront {
    fn handle(self: Arc<Self>, _: Arc<RpcConnection>, request: Request) -> ResponseFuture {
        // Without a cache, every order counts as applied at once.
        Box::pin(async move {
            match request {
                Request::Commands { log, commands } => {
                    let order = commands.last().map_or(0, |order| order.number);
                    Response::Applied(lilacpitch_fleet::message::LogPosition { log, index: order })
                }
                _ => Response::Done,
            }
        })
    }
}

/// Writes rows to a process in the role of a front, and waits until all are ordered.
fn load(cluster: &Cluster, process: usize, address: std::net::SocketAddr, from: u64, count: u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let front = format!("loader-{process}");
    runtime.block_on(async {
        let identity = LocalIdentity {
            name: front.clone(),
            incarnation: 1,
            role: Role::Front,
            keys: Keys::from_bytes([0x5a; 32]),
        };
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let link = accept(stream, &identity, Arc::new(CachelessFront), TIMEOUT).await.unwrap();
        let mut position = None;
        let mut renewed = Instant::now() - TIMEOUT;
        for (nth, first) in (from..from + count).step_by(512).enumerate() {
            while renewed.elapsed() > Duration::from_millis(300) {
                match link.request(Request::RenewLease(position), TIMEOUT).await.unwrap() {
                    Response::ResetRequired { position: at, .. } => position = Some(at),
                    Response::LeaseGranted { position: at, .. } => {
                        position = Some(at);
                        renewed = Instant::now();
                    }
                    // The process is reconnecting to its own parent.
                    Response::Rejected(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                    other => panic!("{other:?}"),
                }
            }
            let rows =
                (first..(first + 512).min(from + count)).map(|n| RecordChange::Upsert(row(n, &front, 1)));
            let write = Request::Write { first: nth as u64 * 512 + 1, changes: rows.collect() };
            assert_eq!(link.request(write, TIMEOUT).await.unwrap(), Response::Written);
        }
        let _ = link.request(Request::ReleaseLease, TIMEOUT).await;
    });
    let all_ordered =
        |cluster: &Cluster| cluster.get(process, "/metrics").contains("changes_not_ordered 0\n");
    assert!(cluster.wait_until(Duration::from_secs(120), all_ordered), "some rows are not ordered");
}

fn counter(page: &str, name: &str) -> f64 {
    page.lines().find_map(|l| l.strip_prefix(&format!("{name} "))).and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

fn locates(cluster: &Cluster, what: &str, count: u64, target: impl Fn(u64) -> String) {
    let front = cluster.index("edge-0");
    let before = counter(&cluster.get(front, "/fleet"), "sites_asked_total");
    let (start, mut spans, mut complete) = (Instant::now(), Vec::new(), 0);
    for n in 0..count {
        let request_start = Instant::now();
        let (_, page) = fetch(cluster.admin_address(front), "GET", &target(n)).unwrap();
        spans.push(ms(request_start.elapsed()));
        complete += u64::from(page.starts_with("complete true"));
    }
    let rate = count as f64 / start.elapsed().as_secs_f64();
    let asked = (counter(&cluster.get(front, "/fleet"), "sites_asked_total") - before) / count as f64;
    let (p50, p99) = percentiles(spans);
    println!("locate, {what}: {rate:.0} a second one by one, p50 {p50:.2} ms, p99 {p99:.2} ms, {asked:.2} sites asked each, {complete} of {count} complete");
}

#[test]
#[ignore = "figures"]
fn locates_through_processes() {
    for (leaves, rows) in [(0, 10_000u64), (3, 1_000), (3, 100_000), (23, 1_000), (23, 100_000)] {
        let mut plan = Plan { terms: TERMS.into(), record: false, ..Plan::leaves(1, leaves, 0) };
        plan.fronts = vec!["root".into()];
        let cluster = Cluster::start(plan, Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed"))).unwrap();
        assert!(cluster.wait_until_ready(TIMEOUT));
        let holders: Vec<usize> =
            cluster.site_processes().into_iter().filter(|at| leaves == 0 || *at > 0).collect();
        let each = rows / holders.len() as u64;
        for (nth, holder) in holders.iter().enumerate() {
            load(&cluster, *holder, cluster.caller_address(*holder), nth as u64 * each, each);
        }
        std::thread::sleep(Duration::from_secs(2));
        let (sites, all) = (leaves + 1, each * holders.len() as u64);
        let name = |what: &str| format!("{sites} sites, {rows} rows, {what}");
        locates(&cluster, &name("hit"), 1_000, |n| format!("/locate?number=1{:09}", n * 7919 % all));
        locates(&cluster, &name("hit again"), 1_000, |n| format!("/locate?number=1{:09}", n * 7919 % all));
        locates(&cluster, &name("miss"), 1_000, |n| format!("/locate?number=2{n:09}"));
        locates(&cluster, &name("asking all"), 500, |n| {
            format!("/locate?search=1{:09}&limit=16", n * 7919 % all)
        });
    }
}

/// Compares a front with a fleet agent with one without, by time and processor use for the same calls in
/// turns: with the terms of test clusters and with the default terms.
#[test]
#[ignore = "figures"]
fn calls_with_an_agent_beside_one_without() {
    for terms in [TERMS, ""] {
        let fronts = vec!["leaf0".into(), "leaf1".into(), String::new()];
        let plan = Plan { terms: terms.into(), record: false, fronts, ..Plan::leaves(3, 2, 1) };
        let cluster = Cluster::start(plan, Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed"))).unwrap();
        assert!(cluster.wait_until_ready(TIMEOUT));
        println!("terms: {}", if terms.is_empty() { "as settings have them" } else { terms });
        compare_agent_and_none(&cluster);
    }
}

/// Prints the setup times and processor use of a front with an agent and of one without.
fn compare_agent_and_none(cluster: &Cluster) {
    let fronts = [cluster.index("edge-0"), cluster.index("edge-2")];
    let mut callers = fronts.map(|front| Caller::connect(cluster.caller_address(front), None).unwrap());
    let (mut spans, mut cpu_s) = ([Vec::new(), Vec::new()], [0.0, 0.0]);
    for _ in 0..40 {
        for (at, caller) in callers.iter_mut().enumerate() {
            let before = cluster.resource_usage(fronts[at]).unwrap().cpu_s;
            for n in 0..100 {
                let start = Instant::now();
                let number = format!("1888{n:04}");
                let (call, _) =
                    caller.call_pool("voice", Some("leaf1"), &number, Duration::from_secs(5)).unwrap();
                spans[at].push(ms(start.elapsed()));
                caller.release(&call).unwrap();
            }
            cpu_s[at] += cluster.resource_usage(fronts[at]).unwrap().cpu_s - before;
        }
    }
    let [with, without] = spans.map(percentiles);
    println!(
        "4,000 calls each, pool named: with an agent p50 {:.3} ms p99 {:.3} ms, {:.2} s of processor; without one \
         p50 {:.3} ms p99 {:.3} ms, {:.2} s",
        with.0, with.1, cpu_s[0], without.0, without.1, cpu_s[1]
    );
}

#[test]
#[ignore = "figures"]
#[allow(
    clippy::too_many_lines,
    reason = "the testbed is split by concern after the packages in service; see docs/ROADMAP.md"
)]
fn calls_purges_and_recovery() {
    let mut cluster = Cluster::start(
        Plan { terms: TERMS.into(), record: false, ..Plan::leaves(3, 2, 1) },
        Path::new(env!("CARGO_BIN_EXE_lilacpitch-testbed")),
    )
    .unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT));
    let (front, other) = (cluster.index("edge-0"), cluster.index("edge-1"));
    let _handsets: Vec<Caller> = (0..50)
        .map(|n| Caller::connect(cluster.caller_address(other), Some(&format!("1555{n:04}"))).unwrap())
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let mut caller = Caller::connect(cluster.caller_address(front), None).unwrap();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for n in 0..2_000 {
        for (pool, spans) in [(None, &mut with), (Some("leaf1"), &mut without)] {
            let start = Instant::now();
            let (call, _) = caller
                .call_pool("voice", pool, &format!("1555{:04}", n % 50), Duration::from_secs(5))
                .unwrap();
            spans.push(ms(start.elapsed()));
            caller.release(&call).unwrap();
        }
    }
    let (with, without) = (percentiles(with), percentiles(without));
    println!(
        "calls: located p50 {:.3} ms p99 {:.3} ms, pool named p50 {:.3} ms p99 {:.3} ms",
        with.0, with.1, without.0, without.1
    );

    let root = (0..3).find(|at| cluster.get(*at, "/metrics").contains("leads 1")).unwrap();
    let complete = |cluster: &Cluster, at: usize| {
        let page = cluster.get(at, "/purges");
        let field = |name: &str| page.lines().find_map(|l| l.strip_prefix(name).map(str::to_string));
        let ordered = field("ordered ").and_then(|o| o.split('/').next_back().map(str::to_string));
        ordered.is_some() && ordered == field("complete ")
    };
    let purge = |cluster: &Cluster, at: usize| {
        let start = Instant::now();
        assert_eq!(cluster.page(at, "POST", "/purge?number=1888").unwrap().0, 200);
        while !complete(cluster, at) {
            std::thread::sleep(Duration::from_millis(1));
        }
        ms(start.elapsed())
    };
    let (p50, p99) = percentiles((0..200).map(|_| purge(&cluster, root)).collect());
    println!("purge through seven processes, asked for and complete: p50 {p50:.1} ms, p99 {p99:.1} ms");
    let pairs: Vec<(usize, usize)> = cluster.proxy.pairs().collect();
    let spans = (0..300).map(|n| {
        if n % 10 == 0 {
            let (a, b) = pairs[n / 10 * 7 % pairs.len()];
            cluster.proxy.reset_connections(a, b);
        }
        std::thread::sleep(Duration::from_millis(50));
        purge(&cluster, root)
    });
    let (p50, p99) = percentiles(spans.collect());
    println!("and with one of {} ways reset each half second: p50 {p50:.1} ms, p99 {p99:.1} ms", pairs.len());
    cluster.kill(other);
    println!(
        "purge with one holder just killed: {:.0} ms (lease 1,500 ms, allowance 2 %)",
        purge(&cluster, root)
    );
    cluster.start_process(other).unwrap();
    assert!(cluster.wait_until_ready(TIMEOUT));

    cluster.kill(root);
    let next = (root + 1) % 3;
    let start = Instant::now();
    let found =
        |cluster: &Cluster| cluster.get(front, "/locate?number=15550001").starts_with("complete true");
    let mut at = [None; 2];
    let both = |cluster: &Cluster| {
        let now = [complete(cluster, next), found(cluster)];
        for (at, _) in at.iter_mut().zip(now).filter(|(_, now)| *now) {
            at.get_or_insert(ms(start.elapsed()));
        }
        at.iter().all(Option::is_some)
    };
    assert!(cluster.wait_until(TIMEOUT, both));
    println!("the root's leader killed: ms until purges are reported complete, and locates are: {at:?}");

    let leaf = cluster.index("leaf1-0");
    let start = Instant::now();
    load(&cluster, leaf, cluster.caller_address(leaf), 0, 1_000_000);
    println!("1,000,000 rows written at a leaf, each purged: {:.0} s", start.elapsed().as_secs_f64());
    std::thread::sleep(Duration::from_secs(2));
    locates(&cluster, "1,000,000 rows at one of 3 sites, hit", 1_000, |n| {
        format!("/locate?number=1{:09}", n * 7919 % 1_000_000)
    });
    locates(&cluster, "1,000,000 rows, miss", 1_000, |n| format!("/locate?number=2{n:09}"));
    cluster.kill(leaf);
    let start = Instant::now();
    cluster.start_process(leaf).unwrap();
    let back =
        |cluster: &Cluster| cluster.get(front, "/locate?number=1000000001").starts_with("complete true");
    assert!(cluster.wait_until(TIMEOUT * 2, back));
    println!(
        "a site of 1,000,000 rows back from its disk: locates complete after {:.0} ms",
        ms(start.elapsed())
    );
}
