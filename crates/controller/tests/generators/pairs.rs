//! Generates random scenarios of two combinations of faults, the second of which occurs within the first.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Names of the combinations of faults.
const COMBINATIONS: [&str; 18] = [
    "ends-unheard",
    "cut-off",
    "held",
    "late-writes",
    "late-reports",
    "slow-or-refused",
    "hand-over",
    "all-end",
    "stream",
    "all-away",
    "area-cut",
    "over-and-back",
    "close-looks",
    "lost-answers",
    "mute",
    "for-next",
    "called-off",
    // Add further combinations here, each with an arm of its own in `add_combination`.
    "ends-apart",
];

/// Number of seeds that run by default: each ordered pair once.
pub const SEEDS: u64 = (COMBINATIONS.len() * COMBINATIONS.len()) as u64;

/// How long, in s, a leader keeps its lease after its last renewal.
const LEASE_S: f64 = 2.5;
/// How long, in s, a leader answers workers after its last renewal.
const HORIZON_S: f64 = 18.0;

/// Jobs that every scenario begins with and that users may cancel.
const JOBS: [u32; 5] = [1, 2, 3, 4, 5];

/// A scenario under construction.
struct ScenarioBuilder {
    rng: SmallRng,
    /// Actions with the times at which they occur, in s.
    lines: Vec<(f64, String)>,
    /// Turning points in s, near which the second combination and cancellations are placed.
    turning_points: Vec<f64>,
    /// Jobs that users cancel.
    cancelled_jobs: Vec<u32>,
    /// Jobs that must be done at the end, unless jobs of any number may be cancelled.
    must_end: Vec<usize>,
    /// Whether jobs of any number may be cancelled.
    may_cancel_any_job: bool,
    /// When the last fault ends, in s.
    last_fault_end: f64,
}

impl ScenarioBuilder {
    /// Adds an action.
    fn add_action(&mut self, at: f64, action: impl Into<String>) {
        self.lines.push((at, action.into()));
    }

    /// Adds a fault of limited duration, whose start and end are turning points.
    fn add_lasting_fault(&mut self, at: f64, action: &str, seconds: f64) {
        self.add_action(at, format!("{action} for={seconds:.2}"));
        self.turning_points.extend([at, at + seconds]);
        self.last_fault_end = self.last_fault_end.max(at + seconds);
    }

    fn random_between(&mut self, least: f64, most: f64) -> f64 {
        self.rng.random_range(least..most)
    }

    fn random_node(&mut self) -> String {
        format!("n{}", self.rng.random_range(0..3))
    }

    fn pick<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.rng.random_range(0..of.len())]
    }

    /// Lets responses to the next leader's reads get lost, so that its recovery takes longer.
    fn slow_down_recovery(&mut self, at: f64) {
        for _ in 0..[0, 0, 1, 3][self.rng.random_range(0..4)] {
            self.add_action(at, "lose-answer /store?Under=j/&Limit=500");
        }
    }

    /// Crashes a leader, so that another is elected.
    fn crash(&mut self, at: f64, node: &str) {
        let downtime_s = if self.rng.random_range(0..2) == 0 {
            self.random_between(0.1, 1.0)
        } else {
            self.random_between(1.0, 6.0)
        };
        self.add_lasting_fault(at, &format!("crash {node}"), downtime_s);
        self.turning_points.push(at + LEASE_S);
        self.slow_down_recovery(at);
    }

    /// Cancels one of the jobs through one node and polls another node soon after.
    fn cancel_job(&mut self, at: f64) {
        // Mostly a job that runs for long.
        let job = [2, 3, 2, 3, JOBS[self.rng.random_range(0..JOBS.len())]][self.rng.random_range(0..5)];
        let (node, other) = (self.random_node(), self.random_node());
        // Not before its submission.
        let at = at.max(25.5);
        self.add_action(at, format!("withdraw wk-{job} node={node}"));
        let later = at + self.random_between(0.05, 3.0);
        self.add_action(later, format!("ask wk-{job} node={other}"));
        self.turning_points.push(at);
        if !self.cancelled_jobs.contains(&job) {
            self.cancelled_jobs.push(job);
        }
    }

    fn random_machine(&mut self) -> String {
        let task = self.pick(&["2/0", "3/0", "3/1", "4/0", "4/1", "5/0"]);
        format!("of:wk-{task}?")
    }

    /// Adds a combination of faults.
    fn add_combination(&mut self, name: &str, at: f64) {
        match name {
            // A leader crashes while machines with long tasks are unreachable or receive no responses.
            "ends-unheard" => {
                let (duration_s, machine) = (self.random_between(5.0, 60.0), self.random_machine());
                let fault = match self.rng.random_range(0..6) {
                    0 => "cut zone:west *".to_owned(),
                    1 => "cut zone:west * hold".to_owned(),
                    2 => "deaf zone=west".to_owned(),
                    3 => format!("deaf {machine}"),
                    4 => format!("cut {machine} * hold"),
                    _ => "deaf share=0.5".to_owned(),
                };
                self.add_lasting_fault(at, &fault, duration_s);
                let crash_at = at + self.random_between(0.1, duration_s.min(12.0));
                self.crash(crash_at, "leader?");
            }
            // The leader can reach neither the state service nor its peers. Jobs are cancelled through other nodes.
            "cut-off" => {
                let node = if self.rng.random_range(0..4) == 0 {
                    self.random_node()
                } else {
                    "leader?".to_owned()
                };
                let mode = self.pick(&["", "", " silent"]);
                let duration_s = self.random_between(2.0, 70.0);
                self.add_lasting_fault(at, &format!("cut-off {node}{mode}"), duration_s);
                self.turning_points.extend([at + LEASE_S, at + HORIZON_S]);
                for _ in 0..self.rng.random_range(1..=2) {
                    let cancel_at = at + self.random_between(0.1, duration_s.min(20.0));
                    self.cancel_job(cancel_at);
                }
            }
            // A command or its response is delayed for seconds, and the machine continues.
            "held" => {
                let (duration_s, machine, node) = (
                    self.random_between(2.0, 28.0),
                    self.random_machine(),
                    self.random_node(),
                );
                match self.rng.random_range(0..7) {
                    0 => self.add_lasting_fault(at, &format!("hang {machine}"), duration_s),
                    1 => self.add_lasting_fault(at, &format!("cut {machine} {node} hold"), duration_s),
                    2 => self.add_lasting_fault(at, &format!("cut {node} workers hold"), duration_s),
                    3 => self.add_action(at, format!("late /do {duration_s:.2}")),
                    4 => self.add_lasting_fault(at, &format!("stall {node}"), duration_s),
                    5 => self.add_lasting_fault(at, &format!("freeze {node}"), duration_s),
                    _ => self.add_lasting_fault(at, "stall leader?", duration_s),
                }
                if self.rng.random_range(0..2) == 0 {
                    let cancel_at = at + self.random_between(0.1, duration_s);
                    self.cancel_job(cancel_at);
                }
                let copy_delay_s = self.random_between(1.0, 20.0);
                if self.rng.random_range(0..3) == 0 {
                    self.add_lasting_fault(at, &format!("copies /do later={copy_delay_s:.2}"), duration_s);
                }
            }
            // Transactions get no response and are executed late, after newer ones.
            "late-writes" => {
                let (share, duration_s) = (self.random_between(0.05, 0.7), self.random_between(3.0, 40.0));
                self.add_lasting_fault(at, &format!("late-writes share={share:.2}"), duration_s);
                let cancel_at = at + self.random_between(0.0, duration_s);
                self.cancel_job(cancel_at);
                if self.rng.random_range(0..2) == 0 {
                    let crash_at = at + self.random_between(0.1, duration_s);
                    self.crash(crash_at, "leader?");
                }
            }
            // Old reports arrive after newer ones.
            "late-reports" => {
                let (share, duration_s) = (self.random_between(0.1, 0.8), self.random_between(20.0, 70.0));
                self.add_lasting_fault(at, &format!("late-reports share={share:.2}"), duration_s);
                let machine = self.random_machine();
                let fault_at = at + self.random_between(0.0, duration_s);
                match self.rng.random_range(0..4) {
                    0 => self.add_lasting_fault(fault_at, &format!("cut {machine} *"), 36.0),
                    1 => self.add_action(fault_at, format!("kill {machine}")),
                    2 => self.add_action(fault_at, format!("die {machine}")),
                    _ => self.crash(fault_at, "leader?"),
                }
            }
            // The state service is slow, or refuses the leader and then all nodes, while users cancel jobs.
            "slow-or-refused" => {
                if self.rng.random_range(0..3) == 0 {
                    let (times, share) = (self.random_between(20.0, 200.0), self.random_between(0.02, 0.4));
                    let duration_s = self.random_between(10.0, 60.0);
                    self.add_lasting_fault(
                        at,
                        &format!("slow-state times={times:.0} share={share:.2}"),
                        duration_s,
                    );
                    let cancel_at = at + self.random_between(0.0, duration_s);
                    self.cancel_job(cancel_at);
                } else {
                    let mut refused_s = self.random_between(0.1, 9.0);
                    if self.rng.random_range(0..2) == 0 {
                        self.add_lasting_fault(at, "refuse leader?", refused_s + 2.0);
                        self.slow_down_recovery(at);
                        self.turning_points.push(at + LEASE_S);
                    } else {
                        refused_s = 0.0;
                    }
                    let long = self.rng.random_range(0..2) == 0;
                    let duration_s = if long {
                        self.random_between(52.0, 65.0)
                    } else {
                        self.random_between(3.0, 52.0)
                    };
                    let outage_at = at + refused_s;
                    self.add_lasting_fault(outage_at, "outage state", duration_s);
                    self.turning_points.push(outage_at + HORIZON_S);
                    // One cancellation just before the outage, and one at any time.
                    let early_cancel_at = outage_at - self.random_between(0.05, 2.0);
                    self.cancel_job(early_cancel_at);
                    let cancel_at = at + self.random_between(0.0, refused_s + duration_s);
                    self.cancel_job(cancel_at);
                }
            }
            // Leadership changes several times.
            "hand-over" => {
                let mut next = at;
                for _ in 0..self.rng.random_range(2..=4) {
                    match self.rng.random_range(0..3) {
                        0 => self.crash(next, "leader?"),
                        1 => {
                            let (node, duration_s) = (self.random_node(), self.random_between(1.0, 12.0));
                            self.add_lasting_fault(next, &format!("cut {node} workers"), duration_s);
                        }
                        _ => {
                            let duration_s = self.random_between(1.0, 8.0);
                            self.add_lasting_fault(next, "refuse leader?", duration_s);
                        }
                    }
                    next += self.random_between(0.2, 6.0);
                }
            }
            // All controllers crash, and one restarts within a second.
            "all-end" => {
                let first = self.rng.random_range(0..3);
                for node in 0..3 {
                    let least = if node == first { 0.05 } else { 0.5 };
                    let downtime_s = self.random_between(least, if node == first { 1.0 } else { 10.0 });
                    self.add_lasting_fault(at, &format!("crash n{node}"), downtime_s);
                }
                self.turning_points.push(at + LEASE_S);
                if self.rng.random_range(0..2) == 0 {
                    let next_fault_at = at + self.random_between(0.2, 4.0);
                    self.crash(next_fault_at, "leader?");
                }
            }
            // Four jobs of one task are submitted per second. A quarter of them is cancelled and as many are
            // submitted again.
            "stream" => {
                let (duration_s, run) = (self.random_between(15.0, 40.0), self.random_between(1.0, 8.0));
                let begin_at = (at - self.random_between(0.0, 15.0)).max(1.0);
                let first = 1_000 * (1 + self.lines.len());
                self.add_lasting_fault(
                    begin_at,
                    &format!("stream wk-{first} rate=4 cancel=0.25 run={run:.1} gpus=1 class=one"),
                    duration_s,
                );
                if self.rng.random_range(0..2) == 0 {
                    let crash_at = at + self.random_between(0.0, 4.0);
                    self.crash(crash_at, "leader?");
                }
            }
            // All controllers are down for longer than a worker lease of 30 s. One may restart first.
            "all-away" => {
                let first = self.rng.random_range(0..3);
                let duration_s = self.random_between(30.5, 45.0);
                for node in 0..3 {
                    let more = if node == first {
                        0.0
                    } else {
                        self.random_between(0.0, 20.0)
                    };
                    let from = at + self.random_between(0.0, 0.5);
                    self.add_lasting_fault(from, &format!("crash n{node}"), duration_s + more);
                }
                self.turning_points
                    .extend([at + duration_s, at + duration_s + LEASE_S]);
                // If the state service is also unavailable until then, no node can serve users for two
                // minutes, in which half of all work of the scenario was due (seed 919). The jobs that are
                // submitted once all controllers are back must be done.
                let job = 900 + self.lines.len();
                self.add_action(
                    at + duration_s + 21.0,
                    format!("submit wk-{job} tasks=12 run=5 gpus=1"),
                );
                self.must_end.push(job);
                let cancel_at = at - self.random_between(0.0, 1.5);
                self.cancel_job(cancel_at);
                if self.rng.random_range(0..2) == 0 {
                    let machine = self.random_machine();
                    let fault_at = at + self.random_between(0.0, duration_s);
                    self.add_action(fault_at, format!("die {machine}"));
                }
            }
            // A zone with its machines and its controllers is partitioned for longer than a worker lease.
            "area-cut" => {
                let (duration_s, area) = (
                    self.random_between(31.0, 60.0),
                    self.pick(&["west", "west", "east", "leader"]),
                );
                let mode = self.pick(&["", " hold"]);
                // There may be no leader at that time.
                let area = if area == "leader" { "leader?" } else { area };
                self.add_lasting_fault(at, &format!("cut area:{area} *{mode}"), duration_s);
                self.turning_points.extend([at + LEASE_S, at + HORIZON_S]);
                let cancel_at = at + self.random_between(-1.0, duration_s);
                self.cancel_job(cancel_at);
                if self.rng.random_range(0..2) == 0 {
                    let crash_at = at + self.random_between(0.1, duration_s);
                    self.crash(crash_at, "leader?");
                }
            }
            // Leadership changes several times within about a second, and all controllers may crash meanwhile.
            "over-and-back" => {
                let mut next = at;
                for _ in 0..self.rng.random_range(2..=5) {
                    let node = self.pick(&["leader?", "leader?", "n0", "n1", "n2"]);
                    let downtime_s = self.random_between(0.05, 0.4);
                    self.add_lasting_fault(next, &format!("crash {node}"), downtime_s);
                    next += self.random_between(0.1, 1.0);
                }
                if self.rng.random_range(0..2) == 0 {
                    for node in 0..3 {
                        let downtime_s = self.random_between(0.05, 1.0);
                        self.add_lasting_fault(next, &format!("crash n{node}"), downtime_s);
                    }
                }
                self.turning_points.extend([next, next + LEASE_S]);
                let cancel_at = self.random_between(at - 0.5, next + 1.0);
                self.cancel_job(cancel_at);
            }
            // Users poll all nodes within milliseconds, resubmit, cancel jobs as they end, and send invalid
            // requests.
            "close-looks" => {
                let duration_s = self.random_between(5.0, 40.0);
                self.add_lasting_fault(at, "close-looks", duration_s);
                if self.rng.random_range(0..2) == 0 {
                    self.add_lasting_fault(at, "odd-requests", duration_s);
                }
                if self.rng.random_range(0..2) == 0 {
                    self.may_cancel_any_job = true;
                    let share = self.random_between(0.2, 0.8);
                    self.add_lasting_fault(at, &format!("cancel-at-end share={share:.2}"), duration_s);
                }
                for _ in 0..2 {
                    let cancel_at = at + self.random_between(0.0, duration_s);
                    self.cancel_job(cancel_at);
                }
            }
            // Transactions are executed at once, and only their responses are lost.
            "lost-answers" => {
                let (share, duration_s) = (self.random_between(0.1, 0.8), self.random_between(3.0, 40.0));
                self.add_lasting_fault(at, &format!("late-writes at-once share={share:.2}"), duration_s);
                self.add_lasting_fault(at, "close-looks", duration_s);
                let cancel_at = at + self.random_between(0.0, duration_s);
                self.cancel_job(cancel_at);
                if self.rng.random_range(0..2) == 0 {
                    let crash_at = at + self.random_between(0.1, duration_s);
                    self.crash(crash_at, "leader?");
                }
            }
            // Machines can reach no controller, while direct commands still reach them.
            "mute" => {
                let duration_s = self.random_between(5.0, 60.0);
                let target = match self.rng.random_range(0..3) {
                    0 => "zone=west".to_owned(),
                    1 => "share=0.4".to_owned(),
                    _ => self.random_machine(),
                };
                self.add_lasting_fault(at, &format!("mute {target}"), duration_s);
                let cancel_at = at + self.random_between(0.0, duration_s);
                self.cancel_job(cancel_at);
                if self.rng.random_range(0..2) == 0 {
                    let crash_at = at + self.random_between(0.1, duration_s);
                    self.crash(crash_at, "leader?");
                }
            }
            // Copies of heartbeats are delivered to the next leader.
            "for-next" => {
                let (share, duration_s) = (self.random_between(0.1, 0.8), self.random_between(10.0, 50.0));
                let after = [0.0, self.random_between(0.0, 8.0)][self.rng.random_range(0..2)];
                self.add_lasting_fault(
                    at,
                    &format!("late-reports share={share:.2} for-next after={after:.2}"),
                    duration_s,
                );
                for _ in 0..2 {
                    let crash_at = at + self.random_between(0.1, duration_s);
                    self.crash(crash_at, "leader?");
                }
            }
            // Jobs with much remaining run time are cancelled, their machines hang, and the leader is refused,
            // crashes or is partitioned. The state service may then be unavailable for all nodes.
            "called-off" => {
                self.may_cancel_any_job = true;
                let (count, hang_s) = (self.rng.random_range(1..=4), self.random_between(0.0, 28.0));
                self.add_action(at, format!("cancel-now ? count={count} hang={hang_s:.2}"));
                self.last_fault_end = self.last_fault_end.max(at + hang_s);
                let fault_at = at + self.random_between(-0.5, 1.0);
                match self.rng.random_range(0..3) {
                    0 => self.crash(fault_at, "leader?"),
                    1 => self.add_lasting_fault(fault_at, "refuse leader?", 8.0),
                    _ => self.add_lasting_fault(fault_at, "cut-off leader?", 12.0),
                }
                if self.rng.random_range(0..2) == 0 {
                    let duration_s = self.random_between(3.0, 60.0);
                    self.add_lasting_fault(fault_at + 1.0, "outage state", duration_s);
                }
            }
            // Tasks of a small job end far apart, before and after a change of leader.
            _ => {
                let job = 50 + self.lines.len() as u32;
                let (tasks, run) = (self.rng.random_range(2..=3), self.random_between(4.0, 25.0));
                let shape = self.pick(&["sweep", "sweep", "gang"]);
                self.add_action(
                    at - 20.0,
                    format!("submit wk-{job} shape={shape} tasks={tasks} run={run:.1} gpus=2"),
                );
                let kill_at = at - self.random_between(0.0, 12.0);
                self.add_action(kill_at, format!("kill of:wk-{job}/1?"));
                let next_fault_at = at + self.random_between(0.0, 10.0);
                if self.rng.random_range(0..2) == 0 {
                    self.add_action(next_fault_at, format!("hang of:wk-{job}/0? for=10"));
                }
                self.crash(at, "leader?");
            }
        }
    }
}

/// Returns the names of the two combinations of a seed.
pub fn pair(seed: u64) -> (&'static str, &'static str) {
    let pair = (seed % SEEDS) as usize;
    (
        COMBINATIONS[pair / COMBINATIONS.len()],
        COMBINATIONS[pair % COMBINATIONS.len()],
    )
}

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let (first, second) = pair(seed);
    let mut builder = ScenarioBuilder {
        rng: SmallRng::seed_from_u64(seed),
        lines: Vec::new(),
        turning_points: Vec::new(),
        cancelled_jobs: Vec::new(),
        must_end: Vec::new(),
        may_cancel_any_job: false,
        last_fault_end: 0.0,
    };
    if builder.rng.random_range(0..2) == 0 {
        builder.add_action(0.0, "no-capacity large ordinary");
    }
    let (tasks, run) = (builder.rng.random_range(2..=8), builder.random_between(5.0, 30.0));
    let at = builder.random_between(1.0, 25.0);
    builder.add_action(at, format!("submit wk-1 tasks={tasks} run={run:.1} gpus=2"));
    let (replicas, gpus) = (builder.rng.random_range(2..=6), builder.pick(&["1", "4"]));
    builder.add_action(
        1.1,
        format!("submit wk-2 shape=daemon tasks={replicas} gpus={gpus}"),
    );
    let (tasks, run) = (
        builder.rng.random_range(2..=6),
        builder.random_between(60.0, 150.0),
    );
    builder.add_action(1.2, format!("submit wk-3 tasks={tasks} run={run:.1} gpus=4"));
    let (tasks, run) = (
        builder.rng.random_range(2..=3),
        builder.random_between(15.0, 60.0),
    );
    let checkpoints = builder.pick(&["", " checkpoint=10 save=2"]);
    let at = builder.random_between(1.0, 24.0);
    builder.add_action(
        at,
        format!("submit wk-4 shape=gang tasks={tasks} run={run:.1} gpus=2{checkpoints}"),
    );
    let (tasks, run) = (builder.rng.random_range(2..=3), builder.random_between(2.0, 60.0));
    let at = builder.random_between(1.0, 24.0);
    builder.add_action(
        at,
        format!("submit wk-5 tasks={tasks} run={run:.1} gpus=1 zone=west"),
    );

    let at = builder.random_between(25.0, 45.0);
    builder.add_combination(first, at);
    builder.turning_points.push(at);
    let turning_point = builder.turning_points[builder.rng.random_range(0..builder.turning_points.len())];
    let at = if builder.rng.random_range(0..4) == 0 {
        let last_fault_end = builder.last_fault_end.max(at + 1.0);
        builder.random_between(at, last_fault_end)
    } else {
        turning_point
            + builder.random_between(0.1, 3.0)
                * if builder.rng.random_range(0..3) == 0 {
                    -1.0
                } else {
                    1.0
                }
    };
    builder.add_combination(second, at);
    for _ in 0..builder.rng.random_range(1..=3) {
        let turning_point = builder.turning_points[builder.rng.random_range(0..builder.turning_points.len())];
        let at = turning_point + builder.random_between(-2.0, 3.0);
        builder.cancel_job(at);
    }

    builder.lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = format!("# Seed {seed}: {second} within {first}.\nteams 200\n");
    for (at, action) in &builder.lines {
        let _ = writeln!(text, "at {at:.2} {action}");
    }
    let until = (builder.last_fault_end.max(60.0) + 140.0) as u64;
    let _ = writeln!(text, "until {until}\nexpect leaders = 1\nexpect unknown acts = 0");
    for job in [1, 5] {
        if !builder.cancelled_jobs.contains(&job) && !builder.may_cancel_any_job {
            let _ = writeln!(text, "expect wk-{job} told done");
        }
    }
    for job in &builder.must_end {
        let end = if builder.may_cancel_any_job {
            "running = 0"
        } else {
            "told done"
        };
        let _ = writeln!(text, "expect wk-{job} {end}");
    }
    for job in &builder.cancelled_jobs {
        let _ = writeln!(text, "expect wk-{job} running = 0");
    }
    text
}
