//! Generates random scenarios of jobs of all shapes and sizes that wait for capacity.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Returns the scenario of a seed, with jobs of all shapes on a few machines and up to six temporary faults.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = String::from("teams 40\nshared-fetches\n");
    let mut line = |at: f64, action: String| {
        let _ = writeln!(text, "at {at:.1} {action}");
    };
    line(0.0, format!("capacity {}", rng.random_range(4..=7)));
    line(0.0, "no-capacity large ordinary".to_owned());
    if rng.random_range(0..2) == 0 {
        line(0.0, "no-capacity * spot".to_owned());
    }
    let jobs = rng.random_range(5..=12);
    for job in 0..jobs {
        let at = rng.random_range(1.0..150.0);
        let mut pick = |choices: &[&str]| choices[rng.random_range(0..choices.len())].to_owned();
        let shape = pick(&["sweep", "sweep", "gang", "daemon"]);
        let max_tasks = if shape == "gang" { 3 } else { 9 };
        let constraint = pick(&["", "", " one_zone=yes", " apart=yes", " zone=east", " spot=yes"]);
        let options = pick(&["", " checkpoint=5 save=1", " estimate=5", " estimate=90"]);
        let options = format!(
            "{} class={}",
            if shape == "daemon" { "" } else { &options },
            pick(&["batch", "live", "other"])
        );
        let priority = pick(&["critical", "urgent", "standard", "low"]);
        let team = pick(&["red", "blue", "green"]);
        let tasks = rng.random_range(1..=max_tasks);
        let gpus = if shape == "daemon" {
            1
        } else {
            rng.random_range(1..=4)
        };
        let (run, image, gb) = (
            rng.random_range(5..=60),
            rng.random_range(1..=4),
            rng.random_range(1..=6),
        );
        let broken = shape == "sweep" && rng.random_range(0..6) == 0;
        line(
            at,
            format!(
                "submit wk-{job} shape={shape} tasks={tasks} gpus={gpus} run={run} priority={priority} \
                 team={team} image=img-{image} image_gb={gb}{constraint}{options}{}",
                if broken { " broken=yes" } else { "" }
            ),
        );
        if broken {
            line(at + rng.random_range(20.0..150.0), format!("fix wk-{job}"));
        } else if rng.random_range(0..5) == 0 {
            line(at + rng.random_range(1.0..60.0), format!("withdraw wk-{job}"));
        }
    }
    for _ in 0..rng.random_range(2..=6) {
        let at = rng.random_range(15.0..170.0);
        let duration_s = rng.random_range(3..=45);
        let machine = format!("of:wk-{}/0?", rng.random_range(0..jobs));
        line(
            at,
            match rng.random_range(0..12) {
                0 => "crash leader?".to_owned(),
                1 => "crash all".to_owned(),
                2 => format!("die {machine}"),
                // Shorter than a lease: it is not defined what counts as running on a machine that hangs for longer.
                3 => format!("hang {machine} for={}", duration_s.min(25)),
                4 => format!("faulty {machine}"),
                5 => format!("kill {machine}"),
                6 => format!("notice {machine} {duration_s}"),
                7 => format!("full {machine} for={duration_s}"),
                8 => format!("cut zone:west * hold for={duration_s}"),
                9 => format!("deaf zone=east for={duration_s}"),
                10 => format!("outage state for={duration_s}"),
                _ => format!("outage cloud for={duration_s}"),
            },
        );
    }
    text.push_str("until 420\nexpect leaders = 1\n");
    text
}
