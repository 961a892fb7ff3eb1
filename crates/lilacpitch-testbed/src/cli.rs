//! The command line of the laboratory.

use clap::{Parser, Subcommand};
use lilacpitch_edge::core::Safeguards;
use lilacpitch_testbed::baseline::Baseline;
use lilacpitch_testbed::call_rules_checker::{Breach, Rule};
use lilacpitch_testbed::compare::{compare, HEADING};
use lilacpitch_testbed::day::{Day, DAY_SCHEMA};
use lilacpitch_testbed::edges::Program;
use lilacpitch_testbed::load::load;
use lilacpitch_testbed::membership::{self, membership, Case};
use lilacpitch_testbed::newcomers::{beginnings, Talk};
use lilacpitch_testbed::record::Record;
use lilacpitch_testbed::runner::play;
use lilacpitch_testbed::simulated_run;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Breaches of one rule that are printed.
const PRINTED: usize = 5;

/// The laboratory: simulated servers and callers, bad days, load, and the judge of the rules.
#[derive(Debug, Parser)]
#[command(name = "lilacpitch-testbed", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a day with real fronts on loopback, and judge the five rules by what crossed the sockets.
    Day {
        /// The day's file.
        file: PathBuf,
        /// The front's program; this one's own front otherwise.
        #[arg(long, value_name = "PROGRAM")]
        edge_program: Option<PathBuf>,
        /// Write what was seen, one record a line.
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
    },
    /// Play a day in virtual time, with the same front and models, for several seeds in turn.
    Virtual {
        /// The day's file.
        file: PathBuf,
        /// How many seeds, from the day's own on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// So many fronts in place of the day's, at the same load.
        #[arg(long)]
        edges: Option<usize>,
        /// Write what was seen on the last day, one record a line.
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
    },
    /// Play a day with restarts in virtual time: the first minute of fronts that start anew beside warm ones, when
    /// fronts know nothing of each other, when they do, when all messages are lost, and when a peer is confused.
    Newcomers {
        /// The day's file.
        file: PathBuf,
        /// How many seeds, from the day's own on.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
    /// Play days in virtual time with the module and with policies that others use, on the same seeds: service, the
    /// bound of what could be done, the worst ten seconds, recovery, and rules broken.
    Compare {
        /// Day files, or folders of them.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// How many seeds, from each day's own on.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Only the module.
        #[arg(long)]
        module_only: bool,
        /// So many fronts in place of the days', at the same load.
        #[arg(long)]
        edges: Option<usize>,
        /// Fronts know each other, whatever the days say.
        #[arg(long)]
        peers: bool,
    },
    /// Watch fronts keep view of each other in virtual time: how soon all see all, what it costs, how soon a dead one
    /// is noticed, who is wrongly taken for dead, and how a split heals.
    Members {
        /// How many fronts, in turn.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 20, 120, 250],
              value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(2..=1000))]
        fronts: Vec<usize>,
        /// Of 100 datagrams, so many are lost, in turn.
        #[arg(long, value_delimiter = ',', default_values_t = [0, 10, 30],
              value_parser = clap::value_parser!(u32).range(0..=100))]
        lost: Vec<u32>,
        /// How many seeds.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
    },
    /// Put a steady load on one front: what it adds to a call, what it costs, and the rate one core holds.
    Load {
        /// Calls a second.
        #[arg(long, default_value_t = 740.0)]
        per_s: f64,
        /// For so many seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Then these rates, in turn, each for --ramp-seconds.
        #[arg(long, value_delimiter = ',')]
        ramp: Vec<f64>,
        /// How long each rate of the ramp lasts.
        #[arg(long, default_value_t = 15)]
        ramp_seconds: u64,
        /// The front's program; this one's own front otherwise.
        #[arg(long, value_name = "PROGRAM")]
        edge_program: Option<PathBuf>,
    },
    /// Print the schema of day files, with comments and defaults.
    Schema,
    /// This program as a front.
    #[command(hide = true, disable_help_flag = true)]
    Edge {
        /// Arguments of lilacpitch-edge.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// This program as a process of a site.
    #[command(hide = true, disable_help_flag = true)]
    Site {
        /// Arguments of lilacpitch-site.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

/// Runs the program. Exit codes: 0 done and all rules kept, 1 a rule broken, 2 could not run.
pub(crate) fn main() -> ExitCode {
    match Args::parse().command {
        Command::Edge { args } => {
            lilacpitch_edge::cli::main_with(std::iter::once("lilacpitch-edge".into()).chain(args), broken())
        }
        Command::Site { args } => {
            lilacpitch_site::cli::main_with(std::iter::once("lilacpitch-site".into()).chain(args), broken())
        }
        Command::Virtual { file, seeds, edges, records } => {
            done(virtual_days(&file, seeds, edges, records.as_deref()))
        }
        Command::Compare { files, seeds, module_only, edges, peers } => {
            done(compare_all(&files, seeds, module_only, edges, peers))
        }
        Command::Members { fronts, lost, seeds } => {
            let of = |fronts: &usize| lost.iter().map(|lost| Case { fronts: *fronts, lost: *lost }).collect();
            let cases: Vec<Case> = fronts.iter().flat_map::<Vec<Case>, _>(of).collect();
            println!("membership alone, no calls; figures of a simulated network\n{}", membership::HEADING);
            membership(&cases, seeds).iter().for_each(|row| println!("{row}"));
            ExitCode::SUCCESS
        }
        Command::Newcomers { file, seeds } => done(newcomers(&file, seeds)),
        Command::Load { per_s, seconds, ramp, ramp_seconds, edge_program } => {
            let ramp = ramp.into_iter().map(|rate| (rate, ramp_seconds));
            done(load_all(std::iter::once((per_s, seconds)).chain(ramp), edge_program))
        }
        Command::Schema => {
            print!("{DAY_SCHEMA}");
            ExitCode::SUCCESS
        }
        Command::Day { file, edge_program, records } => done(day(&file, edge_program, records.as_deref())),
    }
}

fn done(ran: Result<bool, String>) -> ExitCode {
    match ran {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("lilacpitch-testbed: {error}");
            ExitCode::from(2)
        }
    }
}

fn day(file: &Path, edge_program: Option<PathBuf>, records: Option<&Path>) -> Result<bool, String> {
    let day = Day::load(file).map_err(|e| format!("{}\n{e}", e.drawn()))?;
    let program = front(edge_program)?;
    println!(
        "{}: {} fronts, {} servers, {} calls a second for {} s, {} troubles; figures of simulated servers",
        file.display(),
        day.edges,
        day.servers.len(),
        day.per_s,
        day.length_ns / 1_000_000_000,
        day.troubles.len()
    );
    let played = play(&day, &program).map_err(|e| e.to_string())?;
    records.map_or(Ok(()), |path| write_records(path, &played.records))?;
    println!("{}", played.report);
    let seconds = day.length_ns as f64 / 1e9;
    for (edge, used) in played.used.iter().enumerate() {
        let share = 100.0 * used.cpu_s / seconds;
        println!("front {edge}: {share:.1} % of a core, {:.1} MiB at most", used.peak_mib);
    }
    Ok(verdict(&played.breaches))
}

fn write_records(path: &Path, records: &[Record]) -> Result<(), String> {
    let lines: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let text = lines.map_err(|e| e.to_string())?.join("\n") + "\n";
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn front(program: Option<PathBuf>) -> Result<Program, String> {
    match program {
        Some(path) => Ok(Program::Process(path, Vec::new())),
        None => Program::this().map_err(|e| format!("this program's own path: {e}")),
    }
}

fn load_all(rates: impl Iterator<Item = (f64, u64)>, edge_program: Option<PathBuf>) -> Result<bool, String> {
    let program = front(edge_program)?;
    println!("one front, four servers that are never short; figures of simulated servers");
    let mut kept = true;
    for (per_s, seconds) in rates {
        let load = load(&program, per_s, seconds)?;
        println!("{load}");
        load.breaches.iter().take(PRINTED).for_each(|breach| println!("  {breach}"));
        kept &= load.breaches.is_empty();
    }
    Ok(kept)
}

fn newcomers(file: &Path, seeds: u64) -> Result<bool, String> {
    let day = Day::load(file).map_err(|e| format!("{}\n{e}", e.drawn()))?;
    let mut kept = true;
    for talk in Talk::ALL {
        let beginning = beginnings(&day, talk, seeds).map_err(|e| e.to_string())?;
        println!("{:<10} {beginning}", format!("{talk:?}"));
        kept &= beginning.breaches == 0;
    }
    Ok(kept)
}

fn compare_all(
    files: &[PathBuf],
    seeds: u64,
    module_only: bool,
    edges: Option<usize>,
    peers: bool,
) -> Result<bool, String> {
    let mut days = Vec::new();
    for file in day_files(files)? {
        let mut day = Day::load(&file).map_err(|e| format!("{}\n{e}", e.drawn()))?;
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

/// The files named, and those in folders named, by name.
fn day_files(named: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in named {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut within: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        within.retain(|file| file.extension().is_some_and(|ending| ending == "cue"));
        within.sort();
        files.extend(within);
    }
    Ok(files)
}

fn virtual_days(
    file: &Path,
    seeds: u64,
    edges: Option<usize>,
    records: Option<&Path>,
) -> Result<bool, String> {
    let mut day = Day::load(file).map_err(|e| format!("{}\n{e}", e.drawn()))?;
    day.edges = edges.unwrap_or(day.edges);
    let mut kept = true;
    for _ in 0..seeds {
        let begun = std::time::Instant::now();
        let played = simulated_run::play(&day, Safeguards::default()).map_err(|e| e.to_string())?;
        println!("seed {}, {} fronts, played in {:.1} s", day.seed, day.edges, begun.elapsed().as_secs_f64());
        println!("{}", played.report);
        if day.peers {
            let each_s = day.length_ns as f64 / 1e9 * day.edges as f64;
            let (datagrams, bytes) =
                (played.talk.datagrams as f64 / each_s, played.talk.bytes as f64 / each_s);
            println!("each front told others {datagrams:.1} datagrams and {:.1} kB a second", bytes / 1e3);
        }
        records.map_or(Ok(()), |path| write_records(path, &played.records))?;
        kept &= verdict(&played.breaches);
        day.seed += 1;
    }
    Ok(kept)
}

fn verdict(breaches: &[Breach]) -> bool {
    for rule in Rule::ALL {
        let broken: Vec<&Breach> = breaches.iter().filter(|b| b.rule == rule).collect();
        let word =
            if broken.is_empty() { "kept".to_string() } else { format!("BROKEN {} times", broken.len()) };
        println!("{:<42} {word}", rule.text());
        broken.iter().take(PRINTED).for_each(|breach| println!("  {breach}"));
    }
    breaches.is_empty()
}

/// The promises that a process of this laboratory is to break, for tests of the judge.
fn broken() -> lilacpitch_fleet::Safeguards {
    let names = std::env::var("LILACPITCH_LAB_BREAKS").unwrap_or_default();
    let mut guards = lilacpitch_fleet::Safeguards::default();
    for name in names.split(',').filter(|name| !name.is_empty()) {
        let guard = match name {
            "ages" => &mut guards.summary_age,
            "disks" => &mut guards.disk_loss,
            "says" => &mut guards.unreached_sites,
            "leases" => &mut guards.cache_leases,
            "refills" => &mut guards.stale_fills,
            "acknowledgements" => &mut guards.acknowledgements,
            "stragglers" => &mut guards.lagging_holders,
            "fences" => &mut guards.write_fencing,
            "records" => &mut guards.audit_records,
            "calls_first" => &mut guards.calls_first,
            other => {
                eprintln!("LILACPITCH_LAB_BREAKS: no guard {other:?}");
                std::process::exit(2);
            }
        };
        *guard = false;
    }
    guards
}
