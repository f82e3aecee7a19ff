//! Metrics in the OpenMetrics text form, for whoever scrapes `GET /metrics`.
//!
//! What accumulates is kept here; what stands is set anew for every scrape. Only the
//! leader knows machines, jobs and counts: the others say nothing of them.

use crate::constants::{SECOND_MS, SERVED_SHARES_SHOWN};
use crate::io::Effect;
use crate::scheduling::fair_share::ShareOwner;
use indigopath_accounting::{JobTotals, Queue, Team, WaitReason};
use indigopath_connection_limits::{ConnectionClass, PerClass, ShortageCounts};
use indigopath_counted_resources::status::CountStatus;
use indigopath_fencing::{GuardedOperation, HeldLease};
use indigopath_protection_windows::ShiftStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Upper ends of the histogram of waits, in s: from the pass that follows a submission
/// to a night.
const WAITS_S: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1_800.0, 3_600.0,
];

/// How much a leader knows of everything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MetricsSnapshot {
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks of jobs that are held, or whose cluster is not accepted yet.
    pub held: usize,
    /// Attempts that are, or may be, on a machine.
    pub placed: usize,
    /// Requests to the cloud whose machines are not known yet.
    pub open_launch_requests: usize,
    pub booting: usize,
    pub idle: usize,
    pub busy: usize,
    pub unreachable: usize,
    pub releasing: usize,
    /// Live models that lie nowhere, on one machine, in one zone, in several.
    pub models: [usize; 4],
    /// Replicas that this leader placed beside their image, and elsewhere.
    pub replicas_placed: [usize; 2],
}

/// How a node stands at a scrape.
#[derive(Debug, Clone)]
pub struct NodeGauges {
    pub token: Option<u64>,
    pub state_ok: bool,
    /// PeerView heard lately.
    pub peers: usize,
    /// While it leads.
    pub metrics_snapshot: Option<MetricsSnapshot>,
    /// While it leads: for how long, in ms, it has had no word of which jobs are over.
    pub watermark_age_ms: Option<u64>,
    pub counts: Vec<CountStatus>,
    /// Under which epoch this node may act on outside systems.
    pub held_lease: Option<HeldLease>,
    /// Acts that were not begun for want of a permit, and that were dropped as theirs ran out.
    pub refused: Vec<(GuardedOperation, u64)>,
    pub expired: Vec<(GuardedOperation, u64)>,
    /// Open connections by class, and what was done for want of room.
    pub open: PerClass<u64>,
    pub shortages: ShortageCounts,
    /// How much of what classes and teams ask for they have, from 0 to 1.
    pub shares: Vec<(ShareOwner, f64)>,
    /// Requests that found no room or waited for too long, by team.
    pub throttled: Vec<(Team, u64)>,
    /// Of the teams' books, while it leads.
    pub accounting: Option<AccountingGauges>,
    /// How shifts stand, and replicas' worth of room that they want kept free, and that is.
    pub protection_windows: Vec<ShiftStatus>,
    pub spare: (u32, u32),
}

/// How a leader's books stand.
#[derive(Debug, Clone, Default)]
pub struct AccountingGauges {
    pub waiting: BTreeMap<Team, Queue>,
    pub ended: BTreeMap<Team, JobTotals>,
    /// Ends that are on record and on no page yet.
    pub pending: u64,
    /// Ends whose record does not say whose they were.
    pub unowned: u64,
    pub differences: u64,
    pub checked: bool,
    /// A later build keeps them.
    pub suspended: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CountLabels {
    count: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    count: String,
    team: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

/// A class or a team, as `whose`, by its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    whose: &'static str,
    name: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShiftLabels {
    shift: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DutyLabels {
    duty: &'static str,
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Closed {
    class: &'static str,
    how: &'static str,
}

/// What becomes of a team's jobs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    team: String,
    what: &'static str,
}

type Gauges = Family<CountLabels, Gauge>;

#[derive(Debug)]
pub struct Metrics {
    answers: Family<StatusLabels, Counter>,
    calls: Counter,
    warnings: Counter,
    waits: Family<CountLabels, Histogram>,
    leads: Gauge,
    state_ok: Gauge,
    peers: Gauge,
    watermark_age: Gauge<f64, AtomicU64>,
    jobs: Gauge,
    tasks: Family<StateLabels, Gauge>,
    machines: Family<StateLabels, Gauge>,
    rentals: Gauge,
    models: Family<StateLabels, Gauge>,
    replicas: Family<StateLabels, Gauge>,
    units: Gauges,
    held: Gauges,
    lingering: Gauges,
    others: Gauges,
    free: Gauges,
    waiting: Gauges,
    used: Family<TeamLabels, Gauge>,
    oversubscribed: Gauges,
    served: Family<ReasonLabels, Gauge<f64, AtomicU64>>,
    shift_open: Family<ShiftLabels, Gauge>,
    shift_until: Family<ShiftLabels, Gauge>,
    shift_services: Family<ShiftLabels, Gauge>,
    spare: Family<StateLabels, Gauge>,
    epoch: Gauge,
    acts: Family<DutyLabels, Gauge>,
    connections: Family<ClassLabels, Gauge>,
    no_room: Family<ClassLabels, Counter>,
    closed: Family<Closed, Counter>,
    put_off: Family<AccountLabels, Gauge>,
    queued: Family<AccountLabels, Gauge>,
    ended: Family<AccountLabels, Gauge>,
    books: Family<StateLabels, Gauge>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            answers: Family::default(),
            calls: Counter::default(),
            warnings: Counter::default(),
            waits: Family::new_with_constructor(|| Histogram::new(WAITS_S)),
            leads: Gauge::default(),
            state_ok: Gauge::default(),
            peers: Gauge::default(),
            watermark_age: Gauge::default(),
            jobs: Gauge::default(),
            tasks: Family::default(),
            machines: Family::default(),
            rentals: Gauge::default(),
            models: Family::default(),
            replicas: Family::default(),
            units: Family::default(),
            held: Family::default(),
            lingering: Family::default(),
            others: Family::default(),
            free: Family::default(),
            waiting: Family::default(),
            used: Family::default(),
            oversubscribed: Family::default(),
            served: Family::default(),
            shift_open: Family::default(),
            shift_until: Family::default(),
            shift_services: Family::default(),
            spare: Family::default(),
            epoch: Gauge::default(),
            acts: Family::default(),
            connections: Family::default(),
            no_room: Family::default(),
            closed: Family::default(),
            put_off: Family::default(),
            queued: Family::default(),
            ended: Family::default(),
            books: Family::default(),
            registry: Registry::with_prefix("indigopath"),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("responses", "Requests answered, by status", self.answers.clone());
        registry.register("calls", "Calls to other systems", self.calls.clone());
        registry.register("warnings", "Warnings to operators", self.warnings.clone());
        registry.register("is_leader", "1 while this node leads", self.leads.clone());
        registry.register(
            "state_service_ok",
            "1 while the state service answers this node",
            self.state_ok.clone(),
        );
        registry.register("peers_heard", "Siblings heard lately", self.peers.clone());
        registry.register(
            "cancellation_watermark_age_seconds",
            "While it leads: for how long it has had no word of which jobs are over",
            self.watermark_age.clone(),
        );
        registry.register("jobs_live", "Jobs that are not over", self.jobs.clone());
        registry.register("tasks", "Tasks, by state", self.tasks.clone());
        registry.register("machines", "Machines, by state", self.machines.clone());
        registry.register(
            "models",
            "Live models, by where their weights lie",
            self.models.clone(),
        );
        registry.register(
            "replicas_placed",
            "Replicas that this leader placed, by whether their weights lay there",
            self.replicas.clone(),
        );
        registry.register(
            "scale_out_requests_open",
            "Rentals not answered yet",
            self.rentals.clone(),
        );
        registry.register("count_units", "Units that may be held", self.units.clone());
        registry.register("count_held", "Units that tasks hold", self.held.clone());
        registry.register(
            "count_lingering",
            "Units that no task holds, but that are not free yet",
            self.lingering.clone(),
        );
        registry.register(
            "count_others",
            "Units that users outside hold",
            self.others.clone(),
        );
        registry.register("count_free", "Units that may be taken", self.free.clone());
        registry.register("count_waiting", "Units that tasks wait for", self.waiting.clone());
        registry.register("count_team_used", "Units that a team has", self.used.clone());
        registry.register(
            "count_oversubscribed_seen",
            "How often this leader saw more held than there is",
            self.oversubscribed.clone(),
        );
        registry.register(
            "served_share",
            "How much of what a class or team asks for it has",
            self.served.clone(),
        );
        registry.register(
            "protection_window_open",
            "1 while what the shift names is protected",
            self.shift_open.clone(),
        );
        registry.register(
            "shift_until",
            "When an open shift closes, or the next window opens, in s since 1970; 0 for none soon",
            self.shift_until.clone(),
        );
        registry.register(
            "protection_window_services",
            "Services that the shift protects",
            self.shift_services.clone(),
        );
        registry.register(
            "protection_window_spare_replicas",
            "Replicas' worth of room that shifts want free, and that is kept",
            self.spare.clone(),
        );
        registry.register(
            "fencing_epoch",
            "The epoch under which this node does the duties of one controller; 0 while it does not",
            self.epoch.clone(),
        );
        registry.register(
            "guarded_operations_dropped",
            "Acts not begun for want of a permit, or dropped as theirs ran out",
            self.acts.clone(),
        );
        registry.register(
            "connections",
            "Open connections, by what they are for",
            self.connections.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections not accepted or not made for want of sockets",
            self.no_room.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections closed for want of sockets, with an answer or while unused",
            self.closed.clone(),
        );
        registry.register(
            "requests_throttled",
            "Requests told to come back as their team asks for more than its share, since this node began",
            self.put_off.clone(),
        );
        registry.register(
            "accounting_queue",
            "Live jobs of a team, by what they wait for",
            self.queued.clone(),
        );
        registry.register(
            "accounting_ended_jobs",
            "Ended jobs in a team's book, their attempts and the seconds of work lost",
            self.ended.clone(),
        );
        registry.register(
            "accounting",
            "Ends not on a page yet, ends without an owner, differences found and mended, whether \
             checked in this term, whether left alone",
            self.books.clone(),
        );
        registry.register_with_unit(
            "count_wait",
            "Age of a job when a task of it got its units",
            Unit::Seconds,
            self.waits.clone(),
        );
    }

    /// Counts what the node does.
    pub fn record_effect(&self, effect: &Effect) {
        match effect {
            Effect::Reply { status, .. } => {
                self.answers
                    .get_or_create(&StatusLabels { status: *status })
                    .inc();
            }
            Effect::Call { .. } => {
                self.calls.inc();
            }
            Effect::Warning(_) => {
                self.warnings.inc();
            }
            Effect::Frame { .. } => (),
        }
    }

    /// A task got units of a count when its job was so old.
    pub fn observe_count_wait(&self, count: &str, waited_s: f64) {
        let labels = CountLabels {
            count: count.to_owned(),
        };
        self.waits.get_or_create(&labels).observe(waited_s);
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// Only if formatting fails.
    pub fn encode(&self, gauges: &NodeGauges) -> Result<String, std::fmt::Error> {
        self.leads.set(i64::from(gauges.token.is_some()));
        self.state_ok.set(i64::from(gauges.state_ok));
        self.peers.set(amount(gauges.peers));
        let age_ms = gauges.watermark_age_ms.unwrap_or(0);
        self.watermark_age.set(age_ms as f64 / SECOND_MS as f64);
        let metrics_snapshot = gauges.metrics_snapshot.unwrap_or_default();
        self.jobs.set(amount(metrics_snapshot.jobs));
        self.rentals.set(amount(metrics_snapshot.open_launch_requests));
        for (state, tasks) in [
            ("waiting", metrics_snapshot.waiting),
            ("held", metrics_snapshot.held),
            ("placed", metrics_snapshot.placed),
        ] {
            self.tasks
                .get_or_create(&StateLabels { state })
                .set(amount(tasks));
        }
        for (state, machines) in [
            ("booting", metrics_snapshot.booting),
            ("idle", metrics_snapshot.idle),
            ("busy", metrics_snapshot.busy),
            ("silent", metrics_snapshot.unreachable),
            ("returning", metrics_snapshot.releasing),
        ] {
            self.machines
                .get_or_create(&StateLabels { state })
                .set(amount(machines));
        }
        for (state, models) in ["nowhere", "one_machine", "one_zone", "zones"]
            .into_iter()
            .zip(metrics_snapshot.models)
        {
            self.models
                .get_or_create(&StateLabels { state })
                .set(amount(models));
        }
        for (state, replicas) in ["with_image", "without_image"]
            .into_iter()
            .zip(metrics_snapshot.replicas_placed)
        {
            self.replicas
                .get_or_create(&StateLabels { state })
                .set(amount(replicas));
        }
        self.set_counts(&gauges.counts);
        self.set_shares(&gauges.shares);
        self.set_shifts(gauges);
        self.set_connections(&gauges.open, &gauges.shortages);
        let epoch = gauges
            .held_lease
            .map_or(0, |hold| i64::try_from(hold.epoch).unwrap_or(i64::MAX));
        self.epoch.set(epoch);
        for (why, counts) in [("refused", &gauges.refused), ("late", &gauges.expired)] {
            for (duty, count) in counts {
                let labels = DutyLabels {
                    duty: duty.name(),
                    why,
                };
                let count = i64::try_from(*count).unwrap_or(i64::MAX);
                self.acts.get_or_create(&labels).set(count);
            }
        }
        self.set_books(gauges);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn set_shifts(&self, gauges: &NodeGauges) {
        for family in [&self.shift_open, &self.shift_until, &self.shift_services] {
            family.clear();
        }
        self.spare.clear();
        for status in &gauges.protection_windows {
            let labels = ShiftLabels {
                shift: status.shift.to_string(),
            };
            let until_s = status.until_ms.unwrap_or(0) / 1_000;
            for (family, value) in [
                (&self.shift_open, i64::from(status.open)),
                (&self.shift_until, i64::try_from(until_s).unwrap_or(i64::MAX)),
                (&self.shift_services, amount(status.services)),
            ] {
                family.get_or_create(&labels).set(value);
            }
        }
        if !gauges.protection_windows.is_empty() {
            for (state, tasks) in [("wanted", gauges.spare.0), ("kept", gauges.spare.1)] {
                self.spare
                    .get_or_create(&StateLabels { state })
                    .set(i64::from(tasks));
            }
        }
    }

    fn set_connections(&self, open: &PerClass<u64>, tally: &ShortageCounts) {
        // The tally counts up as these do: it is the same process's.
        let set = |counter: &Counter, count: u64| {
            counter.inner().store(count, Ordering::Relaxed);
        };
        for class in ConnectionClass::ALL {
            let labels = ClassLabels { class: class.name() };
            let count = i64::try_from(open[class]).unwrap_or(i64::MAX);
            self.connections.get_or_create(&labels).set(count);
            set(&self.no_room.get_or_create(&labels), tally.refused[class]);
        }
        for class in [
            ConnectionClass::Unidentified,
            ConnectionClass::User,
            ConnectionClass::Worker,
        ] {
            for (how, counts) in [("answer", &tally.answered), ("unused", &tally.idle)] {
                let labels = Closed {
                    class: class.name(),
                    how,
                };
                set(&self.closed.get_or_create(&labels), counts[class]);
            }
        }
    }

    fn set_shares(&self, shares: &[(ShareOwner, f64)]) {
        self.served.clear();
        let mut worst: Vec<&(ShareOwner, f64)> = shares.iter().collect();
        worst.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (whose, share) in worst.into_iter().take(SERVED_SHARES_SHOWN) {
            let (whose, name) = match whose {
                ShareOwner::Class(name) => ("class", name),
                ShareOwner::Team(name) => ("team", name),
            };
            let labels = ReasonLabels {
                whose,
                name: name.clone(),
            };
            self.served.get_or_create(&labels).set(*share);
        }
    }

    fn set_books(&self, gauges: &NodeGauges) {
        let of = |team: &Team, what| AccountLabels {
            team: team.name().to_owned(),
            what,
        };
        let number = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        for (team, count) in &gauges.throttled {
            let labels = of(team, "requests");
            self.put_off.get_or_create(&labels).set(number(*count));
        }
        for family in [&self.queued, &self.ended] {
            family.clear();
        }
        self.books.clear();
        let Some(books) = &gauges.accounting else { return };
        for (team, queue) in &books.waiting {
            for what in WaitReason::ALL {
                let labels = of(team, what.text());
                self.queued
                    .get_or_create(&labels)
                    .set(amount(queue.waiting(what)));
            }
        }
        for (team, tally) in &books.ended {
            for (what, count) in [
                ("done", tally.done),
                ("cancelled", tally.cancelled),
                ("attempts", tally.attempts),
                ("lost_s", tally.lost_s),
            ] {
                self.ended.get_or_create(&of(team, what)).set(number(count));
            }
        }
        for (state, count) in [
            ("pending", books.pending),
            ("unowned", books.unowned),
            ("differences", books.differences),
            ("checked", u64::from(books.checked)),
            ("left_alone", u64::from(books.suspended)),
        ] {
            self.books
                .get_or_create(&StateLabels { state })
                .set(number(count));
        }
    }

    fn set_counts(&self, counts: &[CountStatus]) {
        // A count, or a team's use of it, may be gone since the last scrape.
        for family in [
            &self.units,
            &self.held,
            &self.lingering,
            &self.others,
            &self.free,
            &self.waiting,
            &self.oversubscribed,
        ] {
            family.clear();
        }
        self.used.clear();
        for status in counts {
            let labels = CountLabels {
                count: status.name.clone(),
            };
            for (family, units) in [
                (&self.units, i64::from(status.usable)),
                (&self.held, i64::from(status.held)),
                (&self.lingering, i64::from(status.lingering)),
                (&self.others, i64::from(status.others)),
                (&self.free, i64::from(status.free)),
                (&self.waiting, i64::try_from(status.waiting).unwrap_or(i64::MAX)),
                (
                    &self.oversubscribed,
                    i64::try_from(status.oversubscribed).unwrap_or(i64::MAX),
                ),
            ] {
                family.get_or_create(&labels).set(units);
            }
            for team in &status.teams {
                let labels = TeamLabels {
                    count: status.name.clone(),
                    team: team.team.clone(),
                };
                self.used.get_or_create(&labels).set(i64::from(team.used));
            }
        }
    }
}

fn amount(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
