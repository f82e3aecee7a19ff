//! Where replicas go: the measure of models' weights against fetch only, spread only and a fixed
//! mix, on machines that die in waves. Seeded, in simulated time; writes an HTML report.
#![forbid(unsafe_code)]

mod lines;
mod plots;

use clap::Parser;
use indigopath_image_locality::{
    Cache, CacheState, Candidate, EvictedImage, ImageName, OngoingFetch, cost, should_defer_fetch,
};
use lines::lines;
use minijinja::{Environment, Value, context};
use plots::PlotError;
use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Plays replicas and their weights on machines that die in waves, and writes a report
#[derive(Parser)]
#[command(name = "weights")]
struct Cli {
    /// First seed; what is drawn in full
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds in all
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Where the report goes
    #[arg(long, default_value = "target/weights.html")]
    out: PathBuf,
}

#[derive(Debug, Error)]
enum ReportError {
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("the page cannot be put together: {0}")]
    Page(#[from] minijinja::Error),
    #[error("{0}")]
    Write(#[from] std::io::Error),
}

/// How a place is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Measure,
    Fetch,
    Spread,
    Mix,
}

const WAYS: [(Way, &str); 4] = [
    (Way::Measure, "the measure"),
    (Way::Fetch, "fetch only"),
    (Way::Spread, "spread only"),
    (Way::Mix, "a fixed mix"),
];

const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 90, 166),
    RGBColor(214, 110, 30),
    RGBColor(90, 140, 60),
    RGBColor(130, 80, 150),
];

const MACHINES: usize = 60;
/// Tasks that a machine takes.
const ROOM: usize = 8;
const ZONES: usize = 3;
const MODELS: usize = 6;
const SERVICES: usize = 72;
const REPLICAS: usize = 4;
/// In GB; a machine fetches one in a second, shared by all that it fetches at one time.
const CACHE_GB: f64 = 50.0;
/// Until a dead machine has a successor, in s; and how long the day is, in s.
const BOOT_S: usize = 50;
const DAY_S: usize = 600;
/// From when on what is not up counts: the cold start is drawn, and told apart.
const COUNTED_S: usize = 100;
/// When machines die, and how many.
const WAVES: [(usize, usize); 3] = [(180, 15), (320, 20), (450, 12)];
/// A batch task comes every so many s, and runs so long.
const BATCH_EVERY_S: usize = 1;
const BATCH_S: usize = 60;

struct Task {
    image: usize,
    /// Its service; none for batch work.
    service: Option<usize>,
    up: bool,
    ends_at: usize,
}

struct Machine {
    up_at: usize,
    zone: usize,
    cache: Cache,
    tasks: Vec<Task>,
    /// Images on their way and what is left of each, in GB.
    fetching: Vec<(usize, f64)>,
}

impl Machine {
    fn new(zone: usize, up_at: usize) -> Machine {
        let mut cache = Cache::empty();
        cache.set_cache_gb(CACHE_GB);
        Machine {
            up_at,
            zone,
            cache,
            tasks: Vec::new(),
            fetching: Vec::new(),
        }
    }
}

#[derive(Default, Serialize, Clone)]
struct Outcome {
    /// Replicas up of those asked for, each second.
    up: Vec<f64>,
    /// Seconds in which a replica was not up, from [`COUNTED_S`] on.
    down_s: f64,
    /// The worst 30 s, as a share.
    worst: f64,
    /// When 0.99 were up first, in s.
    cold_s: usize,
    without_image: usize,
}

struct Day {
    way: Way,
    names: Vec<ImageName>,
    gb: Vec<f64>,
    machines: Vec<Machine>,
    /// Replicas that wait, by service.
    waiting: Vec<usize>,
    batch: Vec<usize>,
    now: usize,
    starts: usize,
}

impl Day {
    fn holds(&self, at: usize, image: usize) -> bool {
        let machine = &self.machines[at];
        machine.cache.cache_state(&self.names[image]) >= CacheState::Likely
            && machine.fetching.iter().all(|(other, _)| *other != image)
    }

    fn others(&self, at: usize, image: usize) -> Vec<OngoingFetch> {
        let machine = &self.machines[at];
        let others = machine.fetching.iter().filter(|(other, _)| *other != image);
        others
            .map(|(other, left)| OngoingFetch {
                remaining_s: *left,
                waiting_replicas: machine
                    .tasks
                    .iter()
                    .filter(|task| !task.up && task.image == *other && task.service.is_some())
                    .count() as f64,
            })
            .collect()
    }

    /// The best place for a task, and whether it had better wait there.
    fn place(&self, image: usize, service: Option<usize>, open: &[bool]) -> Option<(usize, bool)> {
        let copies = (0..self.machines.len())
            .filter(|at| self.holds(*at, image))
            .count();
        let mut best: Option<(f64, usize, bool)> = None;
        for (at, machine) in self.machines.iter().enumerate() {
            if machine.up_at > self.now || machine.tasks.len() >= ROOM || !open[machine.zone] {
                continue;
            }
            let others = self.others(at, image);
            let own = machine.fetching.iter().find(|(other, _)| *other == image);
            let held = self.holds(at, image);
            let evicts = machine.cache.evicted_by(&self.names[image], self.gb[image]);
            let evicted_gb: f64 = evicts.map(|held| held.gb).sum();
            let beside = machine.tasks.iter().filter(|task| task.service.is_some());
            let beside = beside.filter(|task| task.service == service).count() as u32;
            let choice = Candidate {
                cache_state: if held {
                    CacheState::Certain
                } else {
                    CacheState::Absent
                },
                uncontended_fetch_s: self.gb[image],
                own_fetch_remaining_s: own.map(|(_, left)| *left),
                concurrent_fetches: &others,
                sharing: 1.0,
                eviction_cost_s: if held || own.is_some() {
                    0.0
                } else {
                    EvictedImage {
                        uncontended_fetch_s: evicted_gb,
                        starts_per_s: self.starts as f64 / (self.now.max(1) * MODELS) as f64,
                        copies: (MACHINES / MODELS) as u32,
                    }
                    .cost_s()
                },
                machine_loss_rate: 0.0008,
                replicas_on_machine: beside,
                cached_on_other_machine: copies > usize::from(held),
                ..Candidate::default()
            };
            let found = cost(&choice);
            let fullness = (ROOM - machine.tasks.len()) as f64 * 0.1;
            let price = match self.way {
                Way::Measure => found.total_s() + fullness,
                Way::Fetch => found.fetch_s + fullness,
                Way::Spread => 10.0 * f64::from(beside) - fullness,
                Way::Mix => found.fetch_s + 5.0 * f64::from(beside) + 0.2 * evicted_gb + fullness,
            };
            let weight = if service.is_some() { 1.0 } else { 3.0 };
            let waits = self.way == Way::Measure && should_defer_fetch(&choice, weight);
            if best.is_none_or(|(least, ..)| price < least) {
                best = Some((price, at, waits));
            }
        }
        best.map(|(_, at, waits)| (at, waits))
    }

    fn start(&mut self, at: usize, image: usize, service: Option<usize>) -> bool {
        let held = self.holds(at, image);
        let machine = &mut self.machines[at];
        if !held && machine.fetching.iter().all(|(other, _)| *other != image) {
            machine.fetching.push((image, self.gb[image]));
        }
        machine.cache.on_start_sent(&self.names[image], self.gb[image]);
        let ends_at = match service {
            Some(_) => usize::MAX,
            None => self.now + BATCH_S,
        };
        machine.tasks.push(Task {
            image,
            service,
            up: held,
            ends_at,
        });
        held
    }

    /// Zones that hold less than half of a service.
    fn open(&self, service: usize) -> Vec<bool> {
        let mut there = [0; ZONES];
        for machine in &self.machines {
            let own = machine.tasks.iter().filter(|task| task.service == Some(service));
            there[machine.zone] += own.count();
        }
        there.iter().map(|count| *count < REPLICAS.div_ceil(2)).collect()
    }

    fn fetch(&mut self) {
        for machine in &mut self.machines {
            let share = 1.0 / machine.fetching.len().max(1) as f64;
            for (_, left) in &mut machine.fetching {
                *left -= share;
            }
            let there: Vec<usize> = machine
                .fetching
                .iter()
                .filter(|(_, left)| *left <= 0.0)
                .map(|(image, _)| *image)
                .collect();
            machine.fetching.retain(|(_, left)| *left > 0.0);
            for image in there {
                machine.cache.on_image_seen(&self.names[image], self.gb[image]);
                for task in machine.tasks.iter_mut().filter(|task| task.image == image) {
                    task.up = true;
                }
            }
            let now = self.now;
            machine.tasks.retain(|task| task.ends_at > now);
        }
    }
}

fn play(seed: u64, way: Way) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let images = 2 * MODELS;
    let gb = (0..images).map(|image| {
        if image < MODELS {
            rng.random_range(20.0..34.0)
        } else {
            rng.random_range(4.0..12.0)
        }
    });
    let gb: Vec<f64> = gb.collect();
    let machines = (0..MACHINES).map(|number| Machine::new(number % ZONES, 30 + rng.random_range(0..45)));
    let mut day = Day {
        way,
        names: (0..images)
            .map(|image| ImageName::from(image.to_string()))
            .collect(),
        gb,
        machines: machines.collect(),
        waiting: vec![REPLICAS; SERVICES],
        batch: Vec::new(),
        now: 0,
        starts: 0,
    };
    let mut outcome = Outcome::default();
    while day.now < DAY_S {
        for (_, count) in WAVES.iter().filter(|(at, _)| *at == day.now) {
            for _ in 0..*count {
                let at = rng.random_range(0..day.machines.len());
                let zone = day.machines[at].zone;
                let dead = std::mem::replace(&mut day.machines[at], Machine::new(zone, day.now + BOOT_S));
                for service in dead.tasks.iter().filter_map(|task| task.service) {
                    day.waiting[service] += 1;
                }
            }
        }
        day.fetch();
        if day.now.is_multiple_of(BATCH_EVERY_S) {
            day.batch.push(MODELS + rng.random_range(0..MODELS));
        }
        // Services in turn; batch work takes what they leave.
        for service in 0..SERVICES {
            let image = service % MODELS;
            while day.waiting[service] > 0 {
                let open = day.open(service);
                let Some((at, waits)) = day.place(image, Some(service), &open) else {
                    break;
                };
                if waits {
                    break;
                }
                day.waiting[service] -= 1;
                day.starts += 1;
                outcome.without_image += usize::from(!day.start(at, image, Some(service)));
            }
        }
        let mut left = Vec::new();
        for image in std::mem::take(&mut day.batch) {
            match day.place(image, None, &[true; ZONES]) {
                Some((at, false)) => {
                    day.start(at, image, None);
                }
                _ => left.push(image),
            }
        }
        day.batch = left;
        let up = day.machines.iter().flat_map(|machine| &machine.tasks);
        let up = up.filter(|task| task.service.is_some() && task.up).count();
        let asked = SERVICES * REPLICAS;
        let share = up as f64 / asked as f64;
        outcome.up.push(share);
        if day.now >= COUNTED_S {
            outcome.down_s += (asked - up) as f64;
        }
        if outcome.cold_s == 0 && share >= 0.99 {
            outcome.cold_s = day.now;
        }
        day.now += 1;
    }
    let windows = outcome.up[COUNTED_S..].windows(30);
    let means = windows.map(|window| window.iter().sum::<f64>() / 30.0);
    outcome.worst = means.fold(1.0, f64::min);
    outcome
}

#[derive(Serialize)]
struct Row {
    name: &'static str,
    down_s: String,
    worst: String,
    cold_s: String,
    without_image: String,
}

fn write(cli: &Cli, drawn: &[Outcome], rows: &[Row]) -> Result<(), ReportError> {
    let drawn = drawn.iter().zip(WAYS).zip(COLOURS);
    let drawn = drawn.map(|((outcome, (_, name)), colour)| {
        let line = outcome.up.iter().enumerate().map(|(at, up)| (at as f64, *up));
        (name, line.collect(), colour)
    });
    let picture = lines((900, 360), (DAY_S as f64, 1.02), Some("replicas up"), drawn)?;
    let mut page = Environment::new();
    page.add_template("weights.html", include_str!("../templates/weights.html"))?;
    let text = page.get_template("weights.html")?.render(context! {
        machines => MACHINES,
        replicas => SERVICES * REPLICAS,
        models => MODELS,
        seeds => cli.seeds,
        seed => cli.seed,
        rows => Value::from_serialize(rows),
        up_svg => picture,
    })?;
    if let Some(folder) = cli.out.parent() {
        std::fs::create_dir_all(folder)?;
    }
    Ok(std::fs::write(&cli.out, text)?)
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut rows = Vec::new();
    let mut drawn = Vec::new();
    let mut downs = Vec::new();
    for (way, name) in WAYS {
        let outcomes: Vec<Outcome> = (0..cli.seeds).map(|more| play(cli.seed + more, way)).collect();
        let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / cli.seeds as f64;
        let down_s = mean(|outcome| outcome.down_s);
        let row = Row {
            name,
            down_s: format!("{down_s:.0}"),
            worst: format!("{:.3}", mean(|outcome| outcome.worst)),
            cold_s: format!("{:.0}", mean(|outcome| outcome.cold_s as f64)),
            without_image: format!("{:.0}", mean(|outcome| outcome.without_image as f64)),
        };
        println!(
            "{name}: {} replica seconds not up, worst 30 s {}, 0.99 up after {} s, {} starts without weights",
            row.down_s, row.worst, row.cold_s, row.without_image
        );
        downs.push(down_s);
        rows.push(row);
        drawn.extend(outcomes.into_iter().take(1));
    }
    if let Err(error) = write(&cli, &drawn, &rows) {
        eprintln!("weights: {}: {error}", cli.out.display());
        return ExitCode::FAILURE;
    }
    println!("report: {}", cli.out.display());
    if downs[1..].iter().any(|other| *other < downs[0]) {
        eprintln!("weights: another way has fewer seconds not up than the measure");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
