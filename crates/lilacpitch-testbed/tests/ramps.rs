//! Tests that all fronts together respect the slow start of a cold server. The random days have few to many
//! fronts, even and uneven traffic, a third of the fronts that get the endpoint list late or never, and a
//! third that restarts.

use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::baseline::Baseline;
use lilacpitch_testbed::call_rules_checker::Rule;
use lilacpitch_testbed::day::Day;
use lilacpitch_testbed::simulated_run::{simulate_day, simulate_day_with};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The parameters of a random day.
#[derive(Debug, Clone)]
struct Drawn {
    fronts: usize,
    servers: usize,
    each: f64,
    load: f64,
    uneven: f64,
    /// Share of the servers that are cold at once.
    cold: f64,
    replaced: bool,
    /// Delay of the endpoint list at a third of the fronts, in milliseconds; above 20 s: it doesn't arrive
    /// that day.
    late_ms: u64,
    /// Time from the start of the slow start to the restart of a third of the fronts, in milliseconds.
    restart_ms: Option<u64>,
    peers: bool,
    multiple: f64,
    cold_from: f64,
    cold_s: f64,
    tip_ms: u64,
    seed: u32,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let fronts = prop_oneof![Just(3usize), Just(20), Just(30), 31..=300usize];
    let uneven = prop_oneof![Just(0.0), Just(0.7), Just(1.3)];
    let cold = prop_oneof![Just(0.0), Just(0.2), Just(0.5), Just(1.0)];
    let late = prop_oneof![Just(0u64), 200..4_000u64, Just(60_000)];
    let ramp = (prop_oneof![Just(2.0), Just(3.0), Just(4.0)], 0.2..0.6f64, 5.0..20.0f64, 500..2_000u64);
    let first = (fronts, 2..8usize, 1.0..40.0f64, 0.4..1.2f64, uneven, cold, any::<bool>());
    let second = (late, proptest::option::of(0..5_000u64), any::<bool>(), ramp, any::<u32>());
    (first, second).prop_map(|(first, second)| {
        let (fronts, servers, each, load, uneven, cold, replaced) = first;
        let (late_ms, restart_ms, peers, (multiple, cold_from, cold_s, tip_ms), seed) = second;
        Drawn {
            fronts,
            servers,
            each,
            load,
            uneven,
            cold,
            replaced,
            late_ms,
            restart_ms,
            peers,
            multiple,
            cold_from,
            cold_s,
            tip_ms,
            seed,
        }
    })
}

impl Drawn {
    fn text(&self) -> String {
        let names: Vec<String> = (0..self.servers).map(|n| format!("r{n}")).collect();
        let cold = ((self.cold * self.servers as f64) as usize).clamp(1, self.servers);
        let third: Vec<String> = (0..self.fronts).filter(|f| f % 3 == 1).map(|f| f.to_string()).collect();
        let third = third.join(", ");
        let kind = if self.replaced { "replace" } else { "silent" };
        let list: Vec<String> = names[..cold].iter().map(|name| format!("{name:?}")).collect();
        let mut troubles =
            format!("\t{{kind: {kind:?}, at: \"4s\", for: \"1500ms\", servers: [{}]}},\n", list.join(", "));
        if self.late_ms > 0 {
            troubles += &format!(
                "\t{{kind: \"list_late\", at: \"0s\", for: \"20s\", wait: \"{}ms\", edges: [{third}]}},\n",
                self.late_ms
            );
        }
        if let Some(after) = self.restart_ms {
            troubles += &format!(
                "\t{{kind: \"restart\", at: \"{}ms\", for: \"300ms\", edges: [{third}]}},\n",
                4_000 + after
            );
        }
        let servers: Vec<String> = names
            .iter()
            .enumerate()
            .map(|(n, name)| format!("{{name: {name:?}, pool: \"p{}\", per_s: {:?}}}", n / 2, self.each))
            .collect();
        format!(
            "seed: {}\nlength: \"16s\"\nedges: {}\nper_s: {:?}\nuneven: {:?}\npeers: {}\n\
             rules: {{cold_from: {:?}, cold_span: \"{:.0}ms\", tip_multiple: {:?}, tip_span: \"{}ms\", \
             tip_chance: true}}\n\
             classes: [{{name: \"a\", aim: \"2s\", give_up: \"9s\", worth: 1, share: 0.8, hold: \"4s\"}}, \
             {{name: \"b\", aim: \"1.2s\", give_up: \"5s\", worth: 3, share: 0.2, hold: \"6s\"}}]\n\
             servers: [{}]\ntroubles: [\n{troubles}]\n",
            self.seed,
            self.fronts,
            self.each * self.load * self.servers as f64,
            self.uneven,
            self.peers,
            self.cold_from,
            self.cold_s * 1000.0,
            self.multiple,
            self.tip_ms,
            servers.join(", ")
        )
    }
}

/// `LILACPITCH_DAYS` sets the number of days and prints the result of each. `LILACPITCH_SEED` (0 to 255) selects others.
#[test]
fn fronts_together_respect_slow_start() {
    let days = std::env::var("LILACPITCH_DAYS").ok().and_then(|n| n.parse::<u32>().ok());
    let config = Config {
        cases: days.unwrap_or(8),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let ramps = std::cell::RefCell::new(Vec::new());
    let exceeding = std::cell::RefCell::new(Vec::new());
    let seed = std::env::var("LILACPITCH_SEED").ok().and_then(|n| n.parse::<u8>().ok()).unwrap_or(23);
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
        .run(&drawn(), |drawn| {
            let day = Day::from_text("drawn", &drawn.text()).unwrap();
            let result = simulate_day(&day, Safeguards::default()).unwrap();
            if days.is_some() {
                println!("{:.3} {:?}", result.ramp, drawn);
            }
            ramps.borrow_mut().push(result.ramp);
            let exceeded = result.violations.iter().any(|violation| violation.rule == Rule::ColdServers);
            // A front that gets a drain late can't keep the grace period; other tests cover that rule.
            let is_late_drain = |rule: Rule| rule == Rule::Drains && drawn.late_ms > 0;
            let is_other_rule = |rule: Rule| rule != Rule::ColdServers && !is_late_drain(rule);
            let other_violation = result.violations.iter().find(|violation| is_other_rule(violation.rule));
            prop_assert!(other_violation.is_none(), "{other_violation:?}\n{drawn:?}");
            if exceeded {
                exceeding.borrow_mut().push((result.ramp, drawn));
            }
            Ok(())
        })
        .unwrap();
    let mut ramps = ramps.into_inner();
    ramps.sort_by(f64::total_cmp);
    let quantile = |share: f64| ramps[((ramps.len() - 1) as f64 * share) as usize];
    println!(
        "of the ramp: median {:.3}, p99 {:.3}, most {:.3}, {} days",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        ramps.len()
    );
    assert!(quantile(0.5) > 0.05, "cold servers are hardly used: {ramps:?}");
    assert!(exceeding.borrow().is_empty(), "{:#?}", exceeding.borrow());
}

#[test]
fn detects_a_policy_without_slow_start() {
    // Twelve fronts and three servers, of which one restarts cold, at a load that warm servers can carry.
    let drawn = Drawn {
        fronts: 12,
        servers: 3,
        each: 40.0,
        load: 1.0,
        uneven: 0.0,
        cold: 0.4,
        replaced: false,
        late_ms: 0,
        restart_ms: None,
        peers: false,
        multiple: 1.5,
        cold_from: 0.2,
        cold_s: 40.0,
        tip_ms: 1_000,
        seed: 5,
    };
    let day = Day::from_text("without a ramp", &drawn.text()).unwrap();
    let without = simulate_day_with(&day, Safeguards::default(), Baseline::Random).unwrap();
    assert!(without.ramp > 1.0, "{} {:?}", without.ramp, without.violations);
    assert!(without.violations.iter().any(|violation| violation.rule == Rule::ColdServers));
    let with = simulate_day(&day, Safeguards::default()).unwrap();
    assert!(with.ramp < 1.0 && with.violations.is_empty(), "{} {:?}", with.ramp, with.violations);
}
