//! Checks of protection windows by the true time of day: no window opens or closes twice, no
//! protected replica is stopped for economy or started on a spot machine, and no job of a lower rank
//! gets a place for which one of a higher rank has waited.

use crate::simulation::{NODES, ObservedJob, Simulation};
use indigopath_controller::protocol::TaskState;
use indigopath_protection_windows::Timetable;
use std::collections::{BTreeMap, BTreeSet};

/// Wait, in ms, from which on a replica has a claim to a place that another one gets: longer than a
/// scheduling pass, a write and a command take.
const MIN_WAIT_MS: u64 = 3_000;

/// The timetable of protection windows and how it was kept.
#[derive(Debug, Default)]
pub(crate) struct WindowChecks {
    /// Bound on clock skew, in ms, overriding the settings.
    pub(crate) max_clock_skew_ms: Option<f64>,
    /// Offset of each node's clock, in ms.
    pub(crate) clock_offsets_ms: [i64; NODES],
    pub(crate) timetable: Timetable,
    /// Windows that are recorded as open, and those that were open before.
    open: BTreeSet<String>,
    closed: BTreeSet<String>,
    transitions: u32,
    /// Since when each service has fewer replicas than it wants.
    replicas_missing_since: BTreeMap<String, u64>,
    protected_up_ms: u64,
    protected_wanted_ms: u64,
}

impl WindowChecks {
    pub(crate) fn new(skew_ms: Option<f64>) -> WindowChecks {
        WindowChecks {
            max_clock_skew_ms: skew_ms,
            ..WindowChecks::default()
        }
    }

    pub(crate) fn protected_availability(&self) -> f64 {
        self.protected_up_ms as f64 / self.protected_wanted_ms.max(1) as f64
    }

    pub(crate) fn transition_count(&self) -> f64 {
        f64::from(self.transitions)
    }
}

fn priority(observed: &ObservedJob) -> usize {
    let order = ["critical", "urgent", "standard", "low"];
    let own = observed.body["Urgency"].as_str().unwrap_or_default();
    order
        .iter()
        .position(|other| *other == own)
        .unwrap_or(order.len())
}

fn amount(observed: &ObservedJob, field: &str) -> f64 {
    observed.body[field].as_f64().unwrap_or(0.0)
}

impl Simulation {
    /// The best rank that protects the job at the true time of day.
    fn protection_rank(&self, observed: &ObservedJob) -> Option<u16> {
        if observed.shape != "daemon" || !observed.accepted || observed.cancel_requested_at.is_some() {
            return None;
        }
        let covering_windows = self
            .window_checks
            .timetable
            .iter()
            .filter(|(_, protection_window)| {
                protection_window.covers(&observed.class, &observed.team)
                    && protection_window.window_at(self.wall_clock()).is_some()
            });
        covering_windows
            .map(|(_, protection_window)| protection_window.rank())
            .min()
    }

    /// Records the time that protected replicas were up, and the time that they were wanted.
    pub(crate) fn record_protected_uptime(&mut self, step_ms: u64) {
        if self.window_checks.timetable.is_empty() {
            return;
        }
        self.check_window_transitions();
        let mut up: BTreeMap<&str, u64> = BTreeMap::new();
        let mut placed: BTreeMap<&str, u64> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| &worker.tasks) {
            *up.entry(&task.job).or_default() += u64::from(task.state == TaskState::Running);
            *placed.entry(&task.job).or_default() += u64::from(task.state != TaskState::Exited);
        }
        let mut missing_since = BTreeMap::new();
        let (mut up_ms, mut due_ms) = (0, 0);
        for (id, observed) in &self.jobs {
            let wanted = u64::from(observed.tasks);
            let count_of = |counts: &BTreeMap<&str, u64>| counts.get(id.as_str()).copied().unwrap_or(0);
            if self.protection_rank(observed).is_some() {
                due_ms += wanted * step_ms;
                up_ms += count_of(&up).min(wanted) * step_ms;
            }
            if observed.shape == "daemon" && observed.accepted && count_of(&placed) < wanted {
                let since = self
                    .window_checks
                    .replicas_missing_since
                    .get(id)
                    .copied()
                    .unwrap_or(self.now);
                missing_since.insert(id.clone(), since);
            }
        }
        self.window_checks.protected_up_ms += up_ms;
        self.window_checks.protected_wanted_ms += due_ms;
        self.window_checks.replicas_missing_since = missing_since;
    }

    fn check_window_transitions(&mut self) {
        let mut open = BTreeSet::new();
        let entries = self.state.value("t/0").and_then(|value| value["open"].as_array());
        for entry in entries.into_iter().flatten() {
            open.insert(format!("{} {}", entry["s"], entry["d"]));
        }
        let before = std::mem::replace(&mut self.window_checks.open, open.clone());
        for window in open.difference(&before) {
            self.window_checks.transitions += 1;
            if self.window_checks.closed.contains(window) {
                self.violation("opened_twice", window);
            }
        }
        for window in before.difference(&open) {
            self.window_checks.transitions += 1;
            self.window_checks.closed.insert(window.clone());
        }
    }

    /// Flags protected replicas that were stopped although nothing justifies it.
    pub(crate) fn check_protected_stops(&mut self) {
        if self.window_checks.timetable.is_empty() {
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
            let observed = &self.jobs[&job];
            if self.protection_rank(observed).is_none() || observed.cancel_requested {
                continue;
            }
            let justified = self
                .jobs
                .values()
                .any(|other| other.accepted && priority(other) < priority(observed));
            if !justified {
                self.violation("economy", format!("{job} on {machine} is stopped"));
            }
        }
    }

    pub(crate) fn check_protected_start(&mut self, machine: &str, job: &str) {
        if self.window_checks.timetable.is_empty() {
            return;
        }
        let observed = &self.jobs[job];
        let Some(rank) = self.protection_rank(observed) else {
            return;
        };
        let worker = &self.workers[machine];
        if worker.spot {
            let what = format!("{job} on {machine}");
            return self.violation("protected_on_spot", what);
        }
        let fits = |other: &ObservedJob| {
            let least = |field| amount(other, field) <= amount(observed, field);
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
            let since = self.window_checks.replicas_missing_since.get(id);
            since.is_some_and(|since| self.now >= since + MIN_WAIT_MS)
        };
        let passed_over = self.jobs.iter().find(|(id, other)| {
            waited(id)
                && self.protection_rank(other).is_some_and(|better| better < rank)
                && priority(other) == priority(observed)
                && fits(other)
                && allows(other)
        });
        if let Some((id, _)) = passed_over {
            let what = format!("{job} of rank {rank} starts on {machine}, and {id} waits");
            self.violation("rank", what);
        }
    }
}
