//! Seeded contention for counted resources: the scheduler's own placement, jobs that ask
//! for units, and kills, in simulated time. Writes an HTML report.
#![forbid(unsafe_code)]

mod lines;
mod play;
mod plots;
mod report;

use clap::Parser;
use play::{Outcome, Plan, Way};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Plays contention for counted resources and writes a report
#[derive(Parser)]
#[command(name = "contention")]
struct Cli {
    /// First seed; what is shown in full
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tasks of the run that is shown in full
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    tasks: u32,
    /// Work offered, as a part of all units
    #[arg(long, default_value_t = 1.0, value_parser = load)]
    load: f64,
    /// Further seeds, each with a tenth of the tasks, to look for oversubscription
    #[arg(long, default_value_t = 1_000)]
    seeds: u64,
    /// Where the report goes
    #[arg(long, default_value = "target/contention.html")]
    out: PathBuf,
}

/// Without a sound load nothing ever waits, and every bar is met.
fn load(text: &str) -> Result<f64, String> {
    let load = text.parse::<f64>().map_err(|error| error.to_string())?;
    if (0.1..=10.0).contains(&load) {
        Ok(load)
    } else {
        Err("must be between 0.1 and 10".to_owned())
    }
}

/// Least part of the units in use while work waits for them and no kill lingers.
const USE_BAR: f64 = 0.95;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let began = Instant::now();
    eprintln!("seed {}: {} tasks, three ways", cli.seed, cli.tasks);
    let shown: Vec<Outcome> = std::thread::scope(|scope| {
        let runs: Vec<_> = Way::ALL
            .into_iter()
            .map(|way| scope.spawn(move || play::play(&Plan::new(cli.seed, cli.tasks, cli.load, way))))
            .collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    });
    if shown.len() != Way::ALL.len() {
        eprintln!("contention: a run broke off");
        return ExitCode::FAILURE;
    }
    eprintln!(
        "played after {:.0} s; now {} seeds",
        began.elapsed().as_secs_f64(),
        cli.seeds
    );
    let many = seeds(&cli);
    let (oversubscribed, unfinished, least_use) = many;
    for outcome in &shown {
        println!("{}", outcome.line());
    }
    println!(
        "{} seeds: oversubscribed {oversubscribed}, unfinished {unfinished}, least use {:.3}",
        cli.seeds, least_use
    );
    if let Err(error) = report::write(&cli.out, &shown, cli.seeds, oversubscribed, least_use) {
        eprintln!("contention: {}: {error}", cli.out.display());
        return ExitCode::FAILURE;
    }
    println!("report: {}", cli.out.display());
    let ours = &shown[0];
    let good = oversubscribed == 0
        && unfinished == 0
        && ours.in_use >= USE_BAR
        && shown
            .iter()
            .all(|outcome| outcome.oversubscribed == 0 && outcome.unfinished == 0);
    if !good {
        eprintln!("contention: a bar is missed");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Plays many seeds on all processors: times oversubscribed, tasks unfinished, and the
/// least use of any seed.
fn seeds(cli: &Cli) -> (u64, u64, f64) {
    let next = AtomicU64::new(0);
    let found = Mutex::new((0, 0, f64::INFINITY));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= cli.seeds {
                        return;
                    }
                    if at > 0 && at.is_multiple_of(100) {
                        eprintln!("{at} of {} seeds", cli.seeds);
                    }
                    let plan = Plan::new(cli.seed + 1 + at, (cli.tasks / 10).max(1), cli.load, Way::Ours);
                    let outcome = play::play(&plan);
                    if let Ok(mut found) = found.lock() {
                        found.0 += outcome.oversubscribed;
                        found.1 += outcome.unfinished;
                        found.2 = found.2.min(outcome.in_use);
                    }
                }
            });
        }
    });
    found.into_inner().unwrap_or((u64::MAX, u64::MAX, 0.0))
}
