//! What scenarios ask of shifts, by the true time of day: no window is opened or closed twice, no
//! protected replica is stopped for economy or started on a spot machine, and none of a lower rank gets a
//! place that one of a higher rank has waited for.

use crate::simulation::{NODES, ObservedJob, Simulation};
use indigopath_controller::protocol::TaskState;
use indigopath_protection_windows::Timetable;
use std::collections::{BTreeMap, BTreeSet};

/// For how long a replica must have waited, in ms, before a place that another gets was its own: a pass,
/// a write and a command take less.
const WAITED_MS: u64 = 3_000;

#[derive(Debug, Default)]
pub(crate) struct WindowChecks {
    /// Bound on clocks in place of the settings', in ms.
    pub(crate) skew_ms: Option<f64>,
    /// By how much each node's clock is off, in ms.
    pub(crate) clocks: [i64; NODES],
    pub(crate) timetable: Timetable,
    /// Windows that stand as open on record, and those that did.
    open: BTreeSet<String>,
    over: BTreeSet<String>,
    edges: u32,
    /// Since when a job's replicas are fewer than it has.
    lacking: BTreeMap<String, u64>,
    up_ms: u64,
    due_ms: u64,
}

impl WindowChecks {
    pub(crate) fn new(skew_ms: Option<f64>) -> WindowChecks {
        WindowChecks {
            skew_ms,
            ..WindowChecks::default()
        }
    }

    pub(crate) fn part_up(&self) -> f64 {
        self.up_ms as f64 / self.due_ms.max(1) as f64
    }

    pub(crate) fn edges(&self) -> f64 {
        f64::from(self.edges)
    }
}

fn priority(facts: &ObservedJob) -> usize {
    let order = ["critical", "urgent", "standard", "low"];
    let own = facts.body["Urgency"].as_str().unwrap_or_default();
    order
        .iter()
        .position(|other| *other == own)
        .unwrap_or(order.len())
}

fn amount(facts: &ObservedJob, field: &str) -> f64 {
    facts.body[field].as_f64().unwrap_or(0.0)
}

impl Simulation {
    /// The best rank that protects the job now, by the true time of day.
    fn rank_now(&self, facts: &ObservedJob) -> Option<u16> {
        if facts.shape != "daemon" || !facts.accepted || facts.cancel_requested_at.is_some() {
            return None;
        }
        let shifts = self.guarded.timetable.iter().filter(|(_, shift)| {
            shift.covers(&facts.class, &facts.team) && shift.window_at(self.wall()).is_some()
        });
        shifts.map(|(_, shift)| shift.rank()).min()
    }

    /// Time of protected replicas that were up, and that were wanted.
    pub(crate) fn count_protected(&mut self, step_ms: u64) {
        if self.guarded.timetable.is_empty() {
            return;
        }
        self.check_windows();
        let mut up: BTreeMap<&str, u64> = BTreeMap::new();
        let mut there: BTreeMap<&str, u64> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| &worker.tasks) {
            *up.entry(&task.job).or_default() += u64::from(task.state == TaskState::Running);
            *there.entry(&task.job).or_default() += u64::from(task.state != TaskState::Exited);
        }
        let mut lacking = BTreeMap::new();
        let (mut up_ms, mut due_ms) = (0, 0);
        for (id, facts) in &self.jobs {
            let wanted = u64::from(facts.tasks);
            let of = |counts: &BTreeMap<&str, u64>| counts.get(id.as_str()).copied().unwrap_or(0);
            if self.rank_now(facts).is_some() {
                due_ms += wanted * step_ms;
                up_ms += of(&up).min(wanted) * step_ms;
            }
            if facts.shape == "daemon" && facts.accepted && of(&there) < wanted {
                let since = self.guarded.lacking.get(id).copied().unwrap_or(self.now);
                lacking.insert(id.clone(), since);
            }
        }
        self.guarded.up_ms += up_ms;
        self.guarded.due_ms += due_ms;
        self.guarded.lacking = lacking;
    }

    fn check_windows(&mut self) {
        let mut open = BTreeSet::new();
        let entries = self.state.value("t/0").and_then(|value| value["open"].as_array());
        for entry in entries.into_iter().flatten() {
            open.insert(format!("{} {}", entry["s"], entry["d"]));
        }
        let before = std::mem::replace(&mut self.guarded.open, open.clone());
        for window in open.difference(&before) {
            self.guarded.edges += 1;
            if self.guarded.over.contains(window) {
                self.violation("opened_twice", window);
            }
        }
        for window in before.difference(&open) {
            self.guarded.edges += 1;
            self.guarded.over.insert(window.clone());
        }
    }

    /// Replicas that were told to stop while they are protected, with nothing that may ask for it.
    pub(crate) fn check_stops(&mut self) {
        if self.guarded.timetable.is_empty() {
            return;
        }
        let mut stops: Vec<(String, String)> = Vec::new();
        for worker in self.workers.values_mut() {
            let stopped = std::mem::take(&mut worker.stopped_replicas);
            if worker.reclaim_at.is_none() && !worker.faulty {
                stops.extend(stopped.into_iter().map(|job| (worker.id.clone(), job)));
            }
        }
        for (machine, job) in stops {
            let facts = &self.jobs[&job];
            if self.rank_now(facts).is_none() || facts.cancel_requested {
                continue;
            }
            let asked = self
                .jobs
                .values()
                .any(|other| other.accepted && priority(other) < priority(facts));
            if !asked {
                self.violation("economy", format!("{job} on {machine} is stopped"));
            }
        }
    }

    pub(crate) fn check_protected_start(&mut self, machine: &str, job: &str) {
        if self.guarded.timetable.is_empty() {
            return;
        }
        let facts = &self.jobs[job];
        let Some(rank) = self.rank_now(facts) else { return };
        let worker = &self.workers[machine];
        if worker.spot {
            let what = format!("{job} on {machine}");
            return self.violation("protected_on_spot", what);
        }
        let fits = |other: &ObservedJob| {
            let least = |field| amount(other, field) <= amount(facts, field);
            least("Cpus") && least("Gpus") && least("MemGb")
        };
        let allows = |other: &ObservedJob| {
            let types = other.body["Rigs"].as_array();
            let type_ok =
                types.is_none_or(|types| types.iter().any(|own| *own == worker.machine_type.as_str()));
            let zone_ok = other.body["Yard"].as_str().is_none_or(|own| own == worker.zone);
            type_ok && zone_ok && other.body["Apart"] != true
        };
        let waited = |id: &String| {
            let since = self.guarded.lacking.get(id);
            since.is_some_and(|since| self.now >= since + WAITED_MS)
        };
        let before = self.jobs.iter().find(|(id, other)| {
            waited(id)
                && self.rank_now(other).is_some_and(|better| better < rank)
                && priority(other) == priority(facts)
                && fits(other)
                && allows(other)
        });
        if let Some((id, _)) = before {
            let what = format!("{job} of rank {rank} starts on {machine}, and {id} waits");
            self.violation("rank", what);
        }
    }
}
