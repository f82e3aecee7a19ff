//! What scenarios ask of shifts, by the true time of day: no window is opened or closed twice, no
//! protected replica is stopped for economy or started on a spot machine, and none of a lower rank gets a
//! place that one of a higher rank has waited for.

use crate::simulation::{NODES, ObservedJob, Simulation};
use indigopath_controller::protocol::TaskState;
use indigopath_protection_windows::Timetable;
use std::collections::{BTreeMap, BTreeSet};

/// For how long a replica must have waited, in ms, before a place that another gets was its own: a pass,
/// a write and a command take less.
const MIN_WAIT_MS: u64 = 3_000;

#[derive(Debug, Default)]
pub(crate) struct WindowChecks {
    /// Bound on clocks in place of the settings', in ms.
    pub(crate) max_clock_skew_ms: Option<f64>,
    /// By how much each node's clock is off, in ms.
    pub(crate) clock_offsets_ms: [i64; NODES],
    pub(crate) timetable: Timetable,
    /// Windows that stand as open on record, and those that did.
    open: BTreeSet<String>,
    closed: BTreeSet<String>,
    transitions: u32,
    /// Since when a job's replicas are fewer than it has.
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
    /// The best rank that protects the job now, by the true time of day.
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

    /// Time of protected replicas that were up, and that were wanted.
    pub(crate) fn record_protected_uptime(&mut self, step_ms: u64) {
        if self.window_checks.timetable.is_empty() {
            return;
        }
        self.check_window_transitions();
        let mut up: BTreeMap<&str, u64> = BTreeMap::new();
        let mut there: BTreeMap<&str, u64> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| &worker.tasks) {
            *up.entry(&task.job).or_default() += u64::from(task.state == TaskState::Running);
            *there.entry(&task.job).or_default() += u64::from(task.state != TaskState::Exited);
        }
        let mut lacking = BTreeMap::new();
        let (mut up_ms, mut due_ms) = (0, 0);
        for (id, observed) in &self.jobs {
            let wanted = u64::from(observed.tasks);
            let of = |counts: &BTreeMap<&str, u64>| counts.get(id.as_str()).copied().unwrap_or(0);
            if self.protection_rank(observed).is_some() {
                due_ms += wanted * step_ms;
                up_ms += of(&up).min(wanted) * step_ms;
            }
            if observed.shape == "daemon" && observed.accepted && of(&there) < wanted {
                let since = self
                    .window_checks
                    .replicas_missing_since
                    .get(id)
                    .copied()
                    .unwrap_or(self.now);
                lacking.insert(id.clone(), since);
            }
        }
        self.window_checks.protected_up_ms += up_ms;
        self.window_checks.protected_wanted_ms += due_ms;
        self.window_checks.replicas_missing_since = lacking;
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

    /// Replicas that were told to stop while they are protected, with nothing that may ask for it.
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
            let asked = self
                .jobs
                .values()
                .any(|other| other.accepted && priority(other) < priority(observed));
            if !asked {
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
        let before = self.jobs.iter().find(|(id, other)| {
            waited(id)
                && self.protection_rank(other).is_some_and(|better| better < rank)
                && priority(other) == priority(observed)
                && fits(other)
                && allows(other)
        });
        if let Some((id, _)) = before {
            let what = format!("{job} of rank {rank} starts on {machine}, and {id} waits");
            self.violation("rank", what);
        }
    }
}
