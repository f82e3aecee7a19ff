//! Metrics in the OpenMetrics text format, served at `GET /metrics`.
//!
//! Counters and histograms are kept here; gauges are set for every scrape. Only the leader knows machines,
//! jobs and counted resources, so other nodes do not report them.

use crate::constants::{SECOND_MS, SERVED_SHARES_SHOWN};
use crate::io::Effect;
use crate::scheduling::fair_share::ShareOwner;
use indigopath_accounting::{JobTotals, Queue, Team, WaitReason};
use indigopath_connection_limits::{ConnectionClass, PerClass, ShortageCounts};
use indigopath_counted_resources::status::CountStatus;
use indigopath_fencing::{GuardedOperation, HeldLease};
use indigopath_protection_windows::WindowStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Upper bounds of the buckets of the wait histogram, in s. The first covers the scheduling pass that follows a
/// submission; waits beyond the last, such as overnight waits, fall into the overflow bucket.
const COUNT_WAIT_BUCKETS_S: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1_800.0, 3_600.0,
];

/// What a leader currently knows of jobs, tasks and machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MetricsSnapshot {
    pub jobs: usize,
    /// Waiting tasks.
    pub waiting: usize,
    /// Tasks of jobs that are on hold or whose submit cluster is not accepted yet.
    pub held: usize,
    /// Attempts that are or may be on a machine.
    pub placed: usize,
    /// Those of them whose start is not recorded yet, so that it is not sent.
    pub unrecorded: usize,
    /// Age, in ms, of the oldest of these.
    pub oldest_unrecorded_ms: u64,
    /// Launch requests to the cloud whose machines are not known yet.
    pub open_launch_requests: usize,
    pub booting: usize,
    pub idle: usize,
    pub busy: usize,
    pub unreachable: usize,
    pub releasing: usize,
    /// Live models whose images are cached nowhere, on one machine, in one zone, in several zones.
    pub models: [usize; 4],
    /// Replicas that this leader placed on machines with and without their image.
    pub replicas_placed: [usize; 2],
}

/// Values of a node's gauges at a scrape.
#[derive(Debug, Clone)]
pub struct NodeGauges {
    pub token: Option<u64>,
    pub state_ok: bool,
    /// Number of peers heard recently.
    pub peers_heard: usize,
    /// Only while the node leads.
    pub metrics_snapshot: Option<MetricsSnapshot>,
    /// Only while the node leads: age, in ms, of its cancellation watermark.
    pub cancellation_watermark_age_ms: Option<u64>,
    pub counted_resources: Vec<CountStatus>,
    /// The lease under which this node may perform guarded operations.
    pub held_lease: Option<HeldLease>,
    /// Guarded operations that were not started because there was no permit.
    pub refused_operations: Vec<(GuardedOperation, u64)>,
    /// Guarded operations that were dropped because their permit expired.
    pub expired_operations: Vec<(GuardedOperation, u64)>,
    /// Open connections by class.
    pub open_connections: PerClass<u64>,
    /// Connections that were refused or closed because of the limits.
    pub shortages: ShortageCounts,
    /// Share of their demand that classes and teams have, from 0 to 1.
    pub served_shares: Vec<(ShareOwner, f64)>,
    /// Requests by team that were rejected because a queue was full or they had waited too long.
    pub throttled: Vec<(Team, u64)>,
    /// Only while the node leads.
    pub accounting: Option<AccountingGauges>,
    /// Status of the protection windows.
    pub protection_windows: Vec<WindowStatus>,
    /// Spare capacity for replicas that protection windows request, and that is reserved.
    pub spare_replicas: (u32, u32),
}

/// State of a leader's accounting.
#[derive(Debug, Clone, Default)]
pub struct AccountingGauges {
    pub waiting: BTreeMap<Team, Queue>,
    pub ended: BTreeMap<Team, JobTotals>,
    /// Recorded ends that are not on an accounting page yet.
    pub pending: u64,
    /// Ends whose record names no owner.
    pub unowned: u64,
    pub differences: u64,
    pub checked: bool,
    /// Accounting is suspended because a later version maintains it.
    pub suspended: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CountLabels {
    count: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CountTeamLabels {
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

/// The kind of share owner (`whose`, a class or a team) and its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShareLabels {
    whose: &'static str,
    name: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProtectionWindowLabels {
    shift: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GuardedOperationLabels {
    duty: &'static str,
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionClassLabels {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClosedConnectionLabels {
    class: &'static str,
    how: &'static str,
}

/// A team and one of its accounting figures.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountingLabels {
    team: String,
    what: &'static str,
}

type CountGauges = Family<CountLabels, Gauge>;

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    responses: Family<StatusLabels, Counter>,
    calls: Counter,
    warnings: Counter,
    count_waits: Family<CountLabels, Histogram>,
    is_leader: Gauge,
    state_ok: Gauge,
    peers_heard: Gauge,
    cancellation_watermark_age: Gauge<f64, AtomicU64>,
    live_jobs: Gauge,
    tasks: Family<StateLabels, Gauge>,
    machines: Family<StateLabels, Gauge>,
    oldest_unrecorded: Gauge<f64, AtomicU64>,
    open_launch_requests: Gauge,
    models: Family<StateLabels, Gauge>,
    replicas_placed: Family<StateLabels, Gauge>,
    count_units: CountGauges,
    count_held: CountGauges,
    count_lingering: CountGauges,
    count_others: CountGauges,
    count_free: CountGauges,
    count_waiting: CountGauges,
    count_team_used: Family<CountTeamLabels, Gauge>,
    count_oversubscribed: CountGauges,
    served_share: Family<ShareLabels, Gauge<f64, AtomicU64>>,
    window_open: Family<ProtectionWindowLabels, Gauge>,
    window_until: Family<ProtectionWindowLabels, Gauge>,
    window_services: Family<ProtectionWindowLabels, Gauge>,
    spare_replicas: Family<StateLabels, Gauge>,
    fencing_epoch: Gauge,
    dropped_operations: Family<GuardedOperationLabels, Gauge>,
    connections: Family<ConnectionClassLabels, Gauge>,
    refused_connections: Family<ConnectionClassLabels, Counter>,
    closed_connections: Family<ClosedConnectionLabels, Counter>,
    throttled_requests: Family<AccountingLabels, Gauge>,
    accounting_queue: Family<AccountingLabels, Gauge>,
    accounting_ended_jobs: Family<AccountingLabels, Gauge>,
    accounting: Family<StateLabels, Gauge>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            responses: Family::default(),
            calls: Counter::default(),
            warnings: Counter::default(),
            count_waits: Family::new_with_constructor(|| Histogram::new(COUNT_WAIT_BUCKETS_S)),
            is_leader: Gauge::default(),
            state_ok: Gauge::default(),
            peers_heard: Gauge::default(),
            cancellation_watermark_age: Gauge::default(),
            live_jobs: Gauge::default(),
            tasks: Family::default(),
            machines: Family::default(),
            oldest_unrecorded: Gauge::default(),
            open_launch_requests: Gauge::default(),
            models: Family::default(),
            replicas_placed: Family::default(),
            count_units: Family::default(),
            count_held: Family::default(),
            count_lingering: Family::default(),
            count_others: Family::default(),
            count_free: Family::default(),
            count_waiting: Family::default(),
            count_team_used: Family::default(),
            count_oversubscribed: Family::default(),
            served_share: Family::default(),
            window_open: Family::default(),
            window_until: Family::default(),
            window_services: Family::default(),
            spare_replicas: Family::default(),
            fencing_epoch: Gauge::default(),
            dropped_operations: Family::default(),
            connections: Family::default(),
            refused_connections: Family::default(),
            closed_connections: Family::default(),
            throttled_requests: Family::default(),
            accounting_queue: Family::default(),
            accounting_ended_jobs: Family::default(),
            accounting: Family::default(),
            registry: Registry::with_prefix("indigopath"),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "responses",
            "Requests answered, by status",
            self.responses.clone(),
        );
        registry.register("calls", "Calls to other systems", self.calls.clone());
        registry.register("warnings", "Warnings to operators", self.warnings.clone());
        registry.register("is_leader", "1 while this node leads", self.is_leader.clone());
        registry.register(
            "state_service_ok",
            "1 while the state service answers this node",
            self.state_ok.clone(),
        );
        registry.register("peers_heard", "Siblings heard lately", self.peers_heard.clone());
        registry.register(
            "cancellation_watermark_age_seconds",
            "While it leads: for how long it has had no word of which jobs are over",
            self.cancellation_watermark_age.clone(),
        );
        registry.register("jobs_live", "Jobs that are not over", self.live_jobs.clone());
        registry.register("tasks", "Tasks, by state", self.tasks.clone());
        registry.register(
            "starts_unrecorded_age_seconds",
            "Age of the oldest placed task whose start is not recorded yet",
            self.oldest_unrecorded.clone(),
        );
        registry.register("machines", "Machines, by state", self.machines.clone());
        registry.register(
            "models",
            "Live models, by where their weights lie",
            self.models.clone(),
        );
        registry.register(
            "replicas_placed",
            "Replicas that this leader placed, by whether their weights lay there",
            self.replicas_placed.clone(),
        );
        registry.register(
            "scale_out_requests_open",
            "Rentals not answered yet",
            self.open_launch_requests.clone(),
        );
        registry.register("count_units", "Units that may be held", self.count_units.clone());
        registry.register("count_held", "Units that tasks hold", self.count_held.clone());
        registry.register(
            "count_lingering",
            "Units that no task holds, but that are not free yet",
            self.count_lingering.clone(),
        );
        registry.register(
            "count_others",
            "Units that users outside hold",
            self.count_others.clone(),
        );
        registry.register("count_free", "Units that may be taken", self.count_free.clone());
        registry.register(
            "count_waiting",
            "Units that tasks wait for",
            self.count_waiting.clone(),
        );
        registry.register(
            "count_team_used",
            "Units that a team has",
            self.count_team_used.clone(),
        );
        registry.register(
            "count_oversubscribed_seen",
            "How often this leader saw more held than there is",
            self.count_oversubscribed.clone(),
        );
        registry.register(
            "served_share",
            "How much of what a class or team asks for it has",
            self.served_share.clone(),
        );
        registry.register(
            "protection_window_open",
            "1 while what the shift names is protected",
            self.window_open.clone(),
        );
        registry.register(
            "shift_until",
            "When an open shift closes, or the next window opens, in s since 1970; 0 for none soon",
            self.window_until.clone(),
        );
        registry.register(
            "protection_window_services",
            "Services that the shift protects",
            self.window_services.clone(),
        );
        registry.register(
            "protection_window_spare_replicas",
            "Replicas' worth of room that shifts want free, and that is kept",
            self.spare_replicas.clone(),
        );
        registry.register(
            "fencing_epoch",
            "The epoch under which this node does the duties of one controller; 0 while it does not",
            self.fencing_epoch.clone(),
        );
        registry.register(
            "guarded_operations_dropped",
            "Acts not begun for want of a permit, or dropped as theirs ran out",
            self.dropped_operations.clone(),
        );
        registry.register(
            "connections",
            "Open connections, by what they are for",
            self.connections.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections not accepted or not made for want of sockets",
            self.refused_connections.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections closed for want of sockets, with an answer or while unused",
            self.closed_connections.clone(),
        );
        registry.register(
            "requests_throttled",
            "Requests told to come back as their team asks for more than its share, since this node began",
            self.throttled_requests.clone(),
        );
        registry.register(
            "accounting_queue",
            "Live jobs of a team, by what they wait for",
            self.accounting_queue.clone(),
        );
        registry.register(
            "accounting_ended_jobs",
            "Ended jobs in a team's book, their attempts and the seconds of work lost",
            self.accounting_ended_jobs.clone(),
        );
        registry.register(
            "accounting",
            "Ends not on a page yet, ends without an owner, differences found and mended, whether \
             checked in this term, whether left alone",
            self.accounting.clone(),
        );
        registry.register_with_unit(
            "count_wait",
            "Age of a job when a task of it got its units",
            Unit::Seconds,
            self.count_waits.clone(),
        );
    }

    /// Counts an effect of the node.
    pub fn record_effect(&self, effect: &Effect) {
        match effect {
            Effect::Reply { status, .. } => {
                self.responses
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

    /// Records the age of a job, in s, when one of its tasks got its units of a counted resource.
    pub fn observe_count_wait(&self, count: &str, waited_s: f64) {
        let labels = CountLabels {
            count: count.to_owned(),
        };
        self.count_waits.get_or_create(&labels).observe(waited_s);
    }

    /// Sets the gauges and encodes all metrics as text.
    ///
    /// # Errors
    /// Only if formatting fails.
    pub fn encode(&self, gauges: &NodeGauges) -> Result<String, std::fmt::Error> {
        self.is_leader.set(i64::from(gauges.token.is_some()));
        self.state_ok.set(i64::from(gauges.state_ok));
        self.peers_heard.set(gauge_value(gauges.peers_heard));
        let age_ms = gauges.cancellation_watermark_age_ms.unwrap_or(0);
        self.cancellation_watermark_age
            .set(age_ms as f64 / SECOND_MS as f64);
        let snapshot = gauges.metrics_snapshot.unwrap_or_default();
        self.live_jobs.set(gauge_value(snapshot.jobs));
        self.open_launch_requests
            .set(gauge_value(snapshot.open_launch_requests));
        for (state, tasks) in [
            ("waiting", snapshot.waiting),
            ("held", snapshot.held),
            ("placed", snapshot.placed),
            ("unrecorded", snapshot.unrecorded),
        ] {
            self.tasks
                .get_or_create(&StateLabels { state })
                .set(gauge_value(tasks));
        }
        self.oldest_unrecorded
            .set(snapshot.oldest_unrecorded_ms as f64 / SECOND_MS as f64);
        for (state, machines) in [
            ("booting", snapshot.booting),
            ("idle", snapshot.idle),
            ("busy", snapshot.busy),
            ("silent", snapshot.unreachable),
            ("returning", snapshot.releasing),
        ] {
            self.machines
                .get_or_create(&StateLabels { state })
                .set(gauge_value(machines));
        }
        for (state, models) in ["nowhere", "one_machine", "one_zone", "zones"]
            .into_iter()
            .zip(snapshot.models)
        {
            self.models
                .get_or_create(&StateLabels { state })
                .set(gauge_value(models));
        }
        for (state, replicas) in ["with_image", "without_image"]
            .into_iter()
            .zip(snapshot.replicas_placed)
        {
            self.replicas_placed
                .get_or_create(&StateLabels { state })
                .set(gauge_value(replicas));
        }
        self.set_counts(&gauges.counted_resources);
        self.set_served_shares(&gauges.served_shares);
        self.set_protection_windows(gauges);
        self.set_connections(&gauges.open_connections, &gauges.shortages);
        let epoch = gauges
            .held_lease
            .map_or(0, |hold| i64::try_from(hold.epoch).unwrap_or(i64::MAX));
        self.fencing_epoch.set(epoch);
        for (why, counts) in [
            ("refused", &gauges.refused_operations),
            ("late", &gauges.expired_operations),
        ] {
            for (duty, count) in counts {
                let labels = GuardedOperationLabels {
                    duty: duty.name(),
                    why,
                };
                let count = i64::try_from(*count).unwrap_or(i64::MAX);
                self.dropped_operations.get_or_create(&labels).set(count);
            }
        }
        self.set_accounting(gauges);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn set_protection_windows(&self, gauges: &NodeGauges) {
        for family in [&self.window_open, &self.window_until, &self.window_services] {
            family.clear();
        }
        self.spare_replicas.clear();
        for status in &gauges.protection_windows {
            let labels = ProtectionWindowLabels {
                shift: status.schedule.to_string(),
            };
            let until_s = status.until_ms.unwrap_or(0) / 1_000;
            for (family, value) in [
                (&self.window_open, i64::from(status.open)),
                (&self.window_until, i64::try_from(until_s).unwrap_or(i64::MAX)),
                (&self.window_services, gauge_value(status.services)),
            ] {
                family.get_or_create(&labels).set(value);
            }
        }
        if !gauges.protection_windows.is_empty() {
            for (state, tasks) in [
                ("wanted", gauges.spare_replicas.0),
                ("kept", gauges.spare_replicas.1),
            ] {
                self.spare_replicas
                    .get_or_create(&StateLabels { state })
                    .set(i64::from(tasks));
            }
        }
    }

    fn set_connections(&self, open: &PerClass<u64>, shortages: &ShortageCounts) {
        // The counts only increase, like the counters, because both belong to this process.
        let set = |counter: &Counter, count: u64| {
            counter.inner().store(count, Ordering::Relaxed);
        };
        for class in ConnectionClass::ALL {
            let labels = ConnectionClassLabels { class: class.name() };
            let count = i64::try_from(open[class]).unwrap_or(i64::MAX);
            self.connections.get_or_create(&labels).set(count);
            set(
                &self.refused_connections.get_or_create(&labels),
                shortages.refused[class],
            );
        }
        for class in [
            ConnectionClass::Unidentified,
            ConnectionClass::User,
            ConnectionClass::Worker,
        ] {
            for (how, counts) in [
                ("answer", &shortages.closed_by_response),
                ("unused", &shortages.idle_closed),
            ] {
                let labels = ClosedConnectionLabels {
                    class: class.name(),
                    how,
                };
                set(&self.closed_connections.get_or_create(&labels), counts[class]);
            }
        }
    }

    fn set_served_shares(&self, shares: &[(ShareOwner, f64)]) {
        self.served_share.clear();
        let mut worst: Vec<&(ShareOwner, f64)> = shares.iter().collect();
        worst.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (whose, share) in worst.into_iter().take(SERVED_SHARES_SHOWN) {
            let (whose, name) = match whose {
                ShareOwner::Class(name) => ("class", name),
                ShareOwner::Team(name) => ("team", name),
            };
            let labels = ShareLabels {
                whose,
                name: name.clone(),
            };
            self.served_share.get_or_create(&labels).set(*share);
        }
    }

    fn set_accounting(&self, gauges: &NodeGauges) {
        let labels_for = |team: &Team, what| AccountingLabels {
            team: team.name().to_owned(),
            what,
        };
        let to_gauge_value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        for (team, count) in &gauges.throttled {
            let labels = labels_for(team, "requests");
            self.throttled_requests
                .get_or_create(&labels)
                .set(to_gauge_value(*count));
        }
        for family in [&self.accounting_queue, &self.accounting_ended_jobs] {
            family.clear();
        }
        self.accounting.clear();
        let Some(stats) = &gauges.accounting else { return };
        for (team, queue) in &stats.waiting {
            for what in WaitReason::ALL {
                let labels = labels_for(team, what.as_str());
                self.accounting_queue
                    .get_or_create(&labels)
                    .set(gauge_value(queue.count_waiting(what)));
            }
        }
        for (team, totals) in &stats.ended {
            for (what, count) in [
                ("done", totals.done),
                ("cancelled", totals.cancelled),
                ("attempts", totals.attempts),
                ("lost_s", totals.lost_s),
            ] {
                self.accounting_ended_jobs
                    .get_or_create(&labels_for(team, what))
                    .set(to_gauge_value(count));
            }
        }
        for (state, count) in [
            ("pending", stats.pending),
            ("unowned", stats.unowned),
            ("differences", stats.differences),
            ("checked", u64::from(stats.checked)),
            ("left_alone", u64::from(stats.suspended)),
        ] {
            self.accounting
                .get_or_create(&StateLabels { state })
                .set(to_gauge_value(count));
        }
    }

    fn set_counts(&self, counts: &[CountStatus]) {
        // A counted resource, or a team's use of it, may have disappeared since the last scrape.
        for family in [
            &self.count_units,
            &self.count_held,
            &self.count_lingering,
            &self.count_others,
            &self.count_free,
            &self.count_waiting,
            &self.count_oversubscribed,
        ] {
            family.clear();
        }
        self.count_team_used.clear();
        for status in counts {
            let labels = CountLabels {
                count: status.name.clone(),
            };
            for (family, units) in [
                (&self.count_units, i64::from(status.usable)),
                (&self.count_held, i64::from(status.held)),
                (&self.count_lingering, i64::from(status.lingering)),
                (&self.count_others, i64::from(status.others)),
                (&self.count_free, i64::from(status.free)),
                (
                    &self.count_waiting,
                    i64::try_from(status.waiting).unwrap_or(i64::MAX),
                ),
                (
                    &self.count_oversubscribed,
                    i64::try_from(status.oversubscribed).unwrap_or(i64::MAX),
                ),
            ] {
                family.get_or_create(&labels).set(units);
            }
            for team in &status.teams {
                let labels = CountTeamLabels {
                    count: status.name.clone(),
                    team: team.team.clone(),
                };
                self.count_team_used
                    .get_or_create(&labels)
                    .set(i64::from(team.used));
            }
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
