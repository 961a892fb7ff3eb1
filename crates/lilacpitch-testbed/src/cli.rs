//! The command line of the testbed.

use clap::{Parser, Subcommand};
use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::baseline::Baseline;
use lilacpitch_testbed::call_rules_checker::{Rule, Violation};
use lilacpitch_testbed::compare::{compare, HEADING};
use lilacpitch_testbed::day::{Day, DAY_SCHEMA};
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::load::load;
use lilacpitch_testbed::membership::{self, membership, Case};
use lilacpitch_testbed::newcomers::{newcomer_service, GossipMode};
use lilacpitch_testbed::record::Record;
use lilacpitch_testbed::runner;
use lilacpitch_testbed::simulated_run;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Most violations of one rule that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// The testbed: runs fronts against simulated servers and callers, injects faults, and checks the call rules.
#[derive(Debug, Parser)]
#[command(name = "lilacpitch-testbed", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a day with real fronts on loopback, and check the five call rules by what crossed the sockets.
    Day {
        /// Path of the day file.
        file: PathBuf,
        /// Program to run as fronts, in place of this program's own front.
        #[arg(long, value_name = "PROGRAM")]
        edge_program: Option<PathBuf>,
        /// Write the records to this file, as one JSON object per line.
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
    },
    /// Run a day in virtual time, with the same front and models, for several seeds in turn.
    Virtual {
        /// Path of the day file.
        file: PathBuf,
        /// Number of seeds, from the day's own on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of fronts in place of the day's, with the same total load.
        #[arg(long)]
        edges: Option<usize>,
        /// Write the records of the last seed to this file, as one JSON object per line.
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
    },
    /// Run a day with restarts in virtual time, and compare restarted fronts in their first minute with the
    /// others: without gossip, with gossip, with all gossip lost, and with a peer that sends false reports.
    Newcomers {
        /// Path of the day file.
        file: PathBuf,
        /// Number of seeds, from the day's own on.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Run days in virtual time with the module and with well-known policies, on the same seeds: service, its
    /// upper bound, the worst ten seconds, recovery, and violated rules.
    Compare {
        /// Paths of day files, or of folders with day files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Number of seeds, from each day's own on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Run only the module.
        #[arg(long)]
        module_only: bool,
        /// Number of fronts in place of the days', with the same total load.
        #[arg(long)]
        edges: Option<usize>,
        /// Let fronts gossip, whatever the days say.
        #[arg(long)]
        peers: bool,
    },
    /// Measure membership in virtual time: the time until all fronts know each other, the traffic, the time
    /// until a failure is detected, false detections, and the recovery from a partition.
    Members {
        /// Numbers of fronts, one after another.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 20, 120, 250],
              value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(2..=1000))]
        fronts: Vec<usize>,
        /// Percentages of datagrams lost, one after another.
        #[arg(long, value_delimiter = ',', default_values_t = [0, 10, 30],
              value_parser = clap::value_parser!(u32).range(0..=100))]
        lost: Vec<u32>,
        /// Number of seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
    },
    /// Put a steady load on one front, and measure the latency it adds to calls, its use of processor and
    /// memory, and the rate that one core sustains.
    Load {
        /// Calls per second.
        #[arg(long, default_value_t = 740.0)]
        per_s: f64,
        /// Duration of the load in seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Further rates to run afterwards, each for --ramp-seconds.
        #[arg(long, value_delimiter = ',')]
        ramp: Vec<f64>,
        /// Duration of each rate of the ramp, in seconds.
        #[arg(long, default_value_t = 15)]
        ramp_seconds: u64,
        /// Program to run as the front, in place of this program's own front.
        #[arg(long, value_name = "PROGRAM")]
        edge_program: Option<PathBuf>,
    },
    /// Print the schema of day files, with comments and defaults.
    Schema,
    /// Run as a front.
    #[command(hide = true, disable_help_flag = true)]
    Edge {
        /// Arguments of lilacpitch-edge.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// Run as a process of a site.
    #[command(hide = true, disable_help_flag = true)]
    Site {
        /// Arguments of lilacpitch-site.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

/// Runs the program. Exit codes: 0 success and no rule violated, 1 a rule violated, 2 could not run.
pub(crate) fn main() -> ExitCode {
    match Args::parse().command {
        Command::Edge { args } => {
            let arguments = std::iter::once("lilacpitch-edge".into()).chain(args);
            lilacpitch_edge::cli::main_with(arguments, safeguards_from_environment())
        }
        Command::Site { args } => {
            let arguments = std::iter::once("lilacpitch-site".into()).chain(args);
            lilacpitch_site::cli::main_with(arguments, safeguards_from_environment())
        }
        Command::Virtual { file, seeds, edges, records } => {
            exit_code(run_virtual(&file, seeds, edges, records.as_deref()))
        }
        Command::Compare { files, seeds, module_only, edges, peers } => {
            exit_code(run_compare(&files, seeds, module_only, edges, peers))
        }
        Command::Members { fronts, lost, seeds } => {
            let cases_of =
                |fronts: &usize| lost.iter().map(|lost| Case { fronts: *fronts, lost: *lost }).collect();
            let cases: Vec<Case> = fronts.iter().flat_map::<Vec<Case>, _>(cases_of).collect();
            println!("membership alone, no calls; figures of a simulated network\n{}", membership::HEADING);
            membership(&cases, seeds).iter().for_each(|row| println!("{row}"));
            ExitCode::SUCCESS
        }
        Command::Newcomers { file, seeds } => exit_code(run_newcomers(&file, seeds)),
        Command::Load { per_s, seconds, ramp, ramp_seconds, edge_program } => {
            let ramp = ramp.into_iter().map(|rate| (rate, ramp_seconds));
            exit_code(run_loads(std::iter::once((per_s, seconds)).chain(ramp), edge_program))
        }
        Command::Schema => {
            print!("{DAY_SCHEMA}");
            ExitCode::SUCCESS
        }
        Command::Day { file, edge_program, records } => {
            exit_code(run_day(&file, edge_program, records.as_deref()))
        }
    }
}

/// The exit code for a subcommand's result: an error, or whether all rules were kept.
fn exit_code(result: Result<bool, String>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("lilacpitch-testbed: {error}");
            ExitCode::from(2)
        }
    }
}

fn load_day(file: &Path) -> Result<Day, String> {
    Day::load(file).map_err(|e| format!("{}\n{e}", e.drawn()))
}

fn run_day(file: &Path, edge_program: Option<PathBuf>, records: Option<&Path>) -> Result<bool, String> {
    let day = load_day(file)?;
    let program = front_program(edge_program)?;
    println!(
        "{}: {} fronts, {} servers, {} calls a second for {} s, {} troubles; figures of simulated servers",
        file.display(),
        day.edges,
        day.servers.len(),
        day.per_s,
        day.length_ns / 1_000_000_000,
        day.troubles.len()
    );
    let result = runner::run_day(&day, &program).map_err(|e| e.to_string())?;
    records.map_or(Ok(()), |path| write_records(path, &result.records))?;
    println!("{}", result.report);
    let seconds = day.length_ns as f64 / 1e9;
    for (edge, usage) in result.resource_usage.iter().enumerate() {
        let share = 100.0 * usage.cpu_s / seconds;
        println!("front {edge}: {share:.1} % of a core, {:.1} MiB at most", usage.peak_mib);
    }
    Ok(print_verdict(&result.violations))
}

fn write_records(path: &Path, records: &[Record]) -> Result<(), String> {
    let lines: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let text = lines.map_err(|e| e.to_string())?.join("\n") + "\n";
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn front_program(path: Option<PathBuf>) -> Result<Program, String> {
    match path {
        Some(path) => Ok(Program::Process(path, Vec::new())),
        None => Program::current_executable().map_err(|e| format!("this program's own path: {e}")),
    }
}

/// Runs loads of calls per second for a number of seconds, one after another.
fn run_loads(loads: impl Iterator<Item = (f64, u64)>, edge_program: Option<PathBuf>) -> Result<bool, String> {
    let program = front_program(edge_program)?;
    println!("one front, four servers that are never short; figures of simulated servers");
    let mut rules_kept = true;
    for (per_s, seconds) in loads {
        let load = load(&program, per_s, seconds)?;
        println!("{load}");
        load.violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|violation| println!("  {violation}"));
        rules_kept &= load.violations.is_empty();
    }
    Ok(rules_kept)
}

fn run_newcomers(file: &Path, seeds: u64) -> Result<bool, String> {
    let day = load_day(file)?;
    let mut rules_kept = true;
    for gossip in GossipMode::ALL {
        let service = newcomer_service(&day, gossip, seeds).map_err(|e| e.to_string())?;
        println!("{:<10} {service}", format!("{gossip:?}"));
        rules_kept &= service.violations == 0;
    }
    Ok(rules_kept)
}

fn run_compare(
    files: &[PathBuf],
    seeds: u64,
    module_only: bool,
    edges: Option<usize>,
    peers: bool,
) -> Result<bool, String> {
    let mut days = Vec::new();
    for file in day_files(files)? {
        let mut day = load_day(&file)?;
        day.edges = edges.unwrap_or(day.edges);
        day.peers |= peers;
        let name = file.file_stem().map_or(String::new(), |name| name.to_string_lossy().into_owned());
        days.push((name, day));
    }
    let policies = if module_only { &Baseline::ALL[..1] } else { &Baseline::ALL };
    let rows = compare(&days, policies, seeds, std::io::stderr().is_terminal()).map_err(|e| e.to_string())?;
    println!("{HEADING}");
    rows.iter().for_each(|row| println!("{row}"));
    Ok(rows.iter().all(|row| row.policy != Baseline::Module || row.broken.is_empty()))
}

/// The files among the paths, and the day files in the folders among them, sorted by name in each folder.
fn day_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut in_folder: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        in_folder.retain(|file| file.extension().is_some_and(|extension| extension == "cue"));
        in_folder.sort();
        files.extend(in_folder);
    }
    Ok(files)
}

fn run_virtual(
    file: &Path,
    seeds: u64,
    edges: Option<usize>,
    records: Option<&Path>,
) -> Result<bool, String> {
    let mut day = load_day(file)?;
    day.edges = edges.unwrap_or(day.edges);
    let mut rules_kept = true;
    for _ in 0..seeds {
        let start = std::time::Instant::now();
        let result = simulated_run::simulate_day(&day, Safeguards::default()).map_err(|e| e.to_string())?;
        println!("seed {}, {} fronts, played in {:.1} s", day.seed, day.edges, start.elapsed().as_secs_f64());
        println!("{}", result.report);
        if day.peers {
            let front_seconds = day.length_ns as f64 / 1e9 * day.edges as f64;
            let datagrams_per_s = result.gossip_traffic.datagrams as f64 / front_seconds;
            let bytes_per_s = result.gossip_traffic.bytes as f64 / front_seconds;
            println!(
                "each front told others {datagrams_per_s:.1} datagrams and {:.1} kB a second",
                bytes_per_s / 1e3
            );
        }
        records.map_or(Ok(()), |path| write_records(path, &result.records))?;
        rules_kept &= print_verdict(&result.violations);
        day.seed += 1;
    }
    Ok(rules_kept)
}

/// Prints for each rule whether it was kept, with the first violations. Returns whether all rules were kept.
fn print_verdict(violations: &[Violation]) -> bool {
    for rule in Rule::ALL {
        let of_rule: Vec<&Violation> = violations.iter().filter(|b| b.rule == rule).collect();
        let verdict =
            if of_rule.is_empty() { "kept".to_string() } else { format!("BROKEN {} times", of_rule.len()) };
        println!("{:<42} {verdict}", rule.text());
        of_rule.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|violation| println!("  {violation}"));
    }
    violations.is_empty()
}

/// The safeguards of a process of the fleet, without those that the environment variable
/// `LILACPITCH_LAB_BREAKS` names. Tests switch them off to show that the checker detects the violations that
/// follow.
fn safeguards_from_environment() -> lilacpitch_fleet::Safeguards {
    let names = std::env::var("LILACPITCH_LAB_BREAKS").unwrap_or_default();
    let mut safeguards = lilacpitch_fleet::Safeguards::default();
    for name in names.split(',').filter(|name| !name.is_empty()) {
        let safeguard = match name {
            "ages" => &mut safeguards.summary_age,
            "disks" => &mut safeguards.disk_loss,
            "says" => &mut safeguards.unreached_sites,
            "leases" => &mut safeguards.cache_leases,
            "refills" => &mut safeguards.stale_fills,
            "acknowledgements" => &mut safeguards.acknowledgements,
            "stragglers" => &mut safeguards.lagging_holders,
            "fences" => &mut safeguards.write_fencing,
            "records" => &mut safeguards.audit_records,
            "calls_first" => &mut safeguards.calls_first,
            other => {
                eprintln!("LILACPITCH_LAB_BREAKS: no safeguard {other:?}");
                std::process::exit(2);
            }
        };
        *safeguard = false;
    }
    safeguards
}
