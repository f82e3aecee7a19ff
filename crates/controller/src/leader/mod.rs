//! The leader: recovers the recorded state, fences former leaders, schedules tasks, scales the fleet and
//! persists every change.
//!
//! [`LeaderTerm`] composes the components that own the state of one term, each in its own module. It runs
//! the work that is due and dispatches responses to the component that made the call.

mod accounting;
mod autoscaling;
mod buffered_heartbeats;
mod calls;
mod counted_resources;
mod demand_forecast;
mod direct_commands;
mod image_locality;
mod job_events;
mod job_table;
mod liveness;
mod machine_table;
mod one_way_partition;
mod oversubscription;
mod partition_detection;
mod persistence;
mod protection_windows;
mod reachability_comparison;
mod reconciliation;
mod record_watch;
mod recovery;
mod scheduling_pass;
mod status;
mod submit_clusters;
mod zone_health;

use crate::allocations::StartPermission;
use crate::election::cancellation_watermark::CancellationWatermark;
use crate::election::{Election, ElectionEvent};
use crate::io::{CallId, Io, Outcome, PendingCalls};
use crate::job_api::TaskCounts;
use crate::model::Timestamp;
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;
use crate::storage::batch_writer::BatchWriter;
use accounting::Accounting;
use autoscaling::Autoscaler;
use buffered_heartbeats::BufferedHeartbeats;
use calls::TermCall;
use counted_resources::CountedResources;
use demand_forecast::DemandForecast;
use direct_commands::CommandQueue;
use job_table::JobTable;
use liveness::Liveness;
use machine_table::MachineTable;
use one_way_partition::OneWayPartition;
use partition_detection::PartitionDetector;
use persistence::Persistence;
use protection_windows::ProtectionWindows;
use record_watch::RecordWatch;
use recovery::Recovery;
use scheduling_pass::Scheduler;
use submit_clusters::SubmitClusters;
use zone_health::ZoneHealth;

pub use image_locality::ImageLocality;

/// A worker has seen a newer fencing token, so this term is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a worker has seen a newer leader")]
pub struct Superseded;

/// What the other controllers report. The leader uses it to tell whether it is partitioned itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerView {
    /// Number of configured peers.
    pub total: usize,
    /// Number of peers that were heard recently.
    pub recently_heard: usize,
    /// Position of this node's name among all controllers' names in order.
    pub own_index: u16,
    /// How long workers take to find a peer after they lose the leader, in ms.
    pub worker_failover_ms: u64,
}

/// The state of one leadership term, from election to step-down.
#[derive(Debug)]
pub struct LeaderTerm {
    /// The fencing token at the start of the term. Renewals raise the current token, not this one.
    first_token: u64,
    started: Timestamp,
    recovery: Recovery,
    /// How recent the known cancellations are, which decides whether worker leases may be renewed.
    watermark: CancellationWatermark,
    /// Heartbeats received during recovery.
    buffered_heartbeats: BufferedHeartbeats,
    watch: RecordWatch,
    jobs: JobTable,
    machines: MachineTable,
    pub(crate) writer: BatchWriter,
    persistence: Persistence,
    commands: CommandQueue,
    calls: PendingCalls<TermCall>,
    liveness: Liveness,
    partition_detector: PartitionDetector,
    zone_health: ZoneHealth,
    one_way_partitions: OneWayPartition,
    scheduler: Scheduler,
    forecast: DemandForecast,
    autoscaler: Autoscaler,
    counted_resources: CountedResources,
    protection_windows: ProtectionWindows,
    submit_clusters: SubmitClusters,
    image_locality: ImageLocality,
    accounting: Accounting,
}

impl LeaderTerm {
    /// Starts a term with this fencing token.
    pub fn new(token: u64, settings: &Settings, now: Timestamp) -> LeaderTerm {
        LeaderTerm {
            first_token: token,
            started: now,
            recovery: Recovery::new(),
            watermark: CancellationWatermark::unread(&settings.deployment.workers, now),
            buffered_heartbeats: BufferedHeartbeats::default(),
            watch: RecordWatch::default(),
            jobs: JobTable::default(),
            machines: MachineTable::new(now),
            writer: BatchWriter::new(token, settings),
            persistence: Persistence::default(),
            commands: CommandQueue::default(),
            calls: PendingCalls::default(),
            liveness: Liveness::new(settings, now),
            partition_detector: PartitionDetector::default(),
            zone_health: ZoneHealth::default(),
            one_way_partitions: OneWayPartition::default(),
            scheduler: Scheduler::new(token),
            forecast: DemandForecast::default(),
            autoscaler: Autoscaler::new(),
            counted_resources: CountedResources::new(&settings.operator.counted_resources),
            protection_windows: ProtectionWindows::new(settings),
            submit_clusters: SubmitClusters::default(),
            image_locality: ImageLocality::default(),
            accounting: Accounting::new(settings),
        }
    }

    /// The current fencing token, sent with every command and write.
    pub fn token(&self) -> u64 {
        self.writer.token
    }

    /// Ends the term and rejects all buffered heartbeats, so that their workers ask another controller.
    pub fn end(mut self, io: &mut Io) {
        while let Some((request, _)) = self.buffered_heartbeats.pop() {
            buffered_heartbeats::reject(request, io);
        }
    }

    /// Age of the cancellation watermark, in ms.
    pub fn watermark_age_ms(&self, now: Timestamp) -> u64 {
        self.watermark.age_ms(now)
    }

    /// Which starts may be sent, given whether the leader's lease is live.
    fn start_permission(&self, lease_live: bool) -> StartPermission {
        let ends_known_until = self.watermark.ends_known_until().filter(|_| lease_live);
        ends_known_until.map_or(StartPermission::NONE, StartPermission::with_ends_known_until)
    }

    /// Whether recovery is complete. Before that, the leader has no state to answer from.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_complete()
    }

    /// Number of completed and running tasks of each live job, for display.
    pub fn counts(&self) -> &TaskCounts {
        self.jobs.task_counts()
    }

    /// Runs all work that is due. Returns an event if leadership ends.
    pub fn run_due_work(
        &mut self,
        election: &mut Election,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if self.watermark.has_stalled(io.now) {
            return step_down_expired(election, io);
        }
        if !self.recovery.is_complete() {
            self.poll_recovery(io);
            self.buffered_heartbeats.reject_expired(io);
            return None;
        }
        if let Some(event) = self.answer_buffered_heartbeats(election, io) {
            return Some(event);
        }
        self.update_protection_windows(types, settings, io);
        let lease_live = election.is_lease_live(io.now);
        if let Some(event) = self.check_fleet(election, types, settings, peers, io) {
            return Some(event);
        }
        self.poll_listing(io);
        self.poll_licence_servers(&settings.operator.counted_resources, io);
        if lease_live && !types.is_empty() {
            self.schedule(types, settings, io);
            self.store_types_once(types, io);
        }
        self.drop_cancelled_starts(io);
        self.send_due_write(election, settings, io);
        self.send_due_commands(lease_live, io);
        self.poll_watch(io);
        if lease_live {
            self.update_accounting(settings, io);
        }
        None
    }

    /// Answers the heartbeats that were buffered during recovery.
    fn answer_buffered_heartbeats(&mut self, election: &mut Election, io: &mut Io) -> Option<ElectionEvent> {
        while let Some((request, heartbeat)) = self.buffered_heartbeats.pop() {
            if let Err(superseded) =
                self.handle_heartbeat(request, &heartbeat, election.is_lease_live(io.now), io)
            {
                buffered_heartbeats::reject(request, io);
                return election.depose(&superseded.to_string());
            }
        }
        None
    }

    /// Checks the liveness of machines and scales in, if a check is due.
    fn check_fleet(
        &mut self,
        election: &mut Election,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if !self.liveness.take_check_due(io.now) {
            return None;
        }
        self.machines.reindex_when_due(io.now);
        self.check_machines(settings, peers, io);
        self.remove_listed_requests(settings, io.now);
        if let Some(event) = self.check_own_partition(election, peers, io) {
            return Some(event);
        }
        self.scale_in(types, settings, peers, io);
        None
    }

    /// Runs a scheduling pass, scales out and updates what depends on both, each if it is due.
    fn schedule(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        if self.scheduler.is_due(self.machines.len(), io.now) && !self.writer.is_stalled(io.now) {
            self.run_pass(types, settings, io);
        }
        if self.autoscaler.take_sizing_due(io.now) {
            self.size_fleet(types, settings, io);
        }
        self.forecast_when_due(types, settings, io);
        self.update_count_warnings(&settings.operator.counted_resources, io);
        self.update_submit_clusters(settings, io);
        self.send_scale_out_requests(io);
    }

    /// Handles the response to a call. Returns `None` if the call was not made in this term, otherwise the
    /// leadership event that results, if any.
    pub fn handle_response(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<Option<ElectionEvent>> {
        let completed = self.calls.complete(call)?;
        Some(self.dispatch_response(completed, outcome, election, settings, io))
    }

    fn dispatch_response(
        &mut self,
        call: TermCall,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        match call {
            TermCall::RecordsPage { sent } => {
                return self.handle_records_page(sent, outcome, election, settings, io);
            }
            TermCall::Watch { sent } => return self.handle_watch_response(sent, outcome, election, io),
            TermCall::Transaction { sent } => {
                return self.handle_transaction_response(sent, outcome, election, io);
            }
            TermCall::Reread { key, end_notices } => {
                return self.handle_reread(key, end_notices, outcome, election, io);
            }
            TermCall::Direct(direct) => return self.handle_direct_response(direct, outcome, election, io),
            TermCall::Probe { machine } => {
                return self.handle_probe_response(&machine, outcome, election, io);
            }
            TermCall::ListMachines => self.handle_list_page(outcome, io),
            TermCall::Launch { request } => self.handle_launch_response(&request, outcome, io),
            TermCall::Release { machines, sent } => self.handle_release_response(machines, sent, outcome, io),
            TermCall::LicenceUsage { server } => {
                self.handle_licence_response(server, outcome, &settings.operator.counted_resources, io.now);
            }
            // The record watch delivers the result.
            TermCall::SubmitCluster => (),
            TermCall::Accounting(call) => self.handle_accounting_response(call, outcome, io.now),
            TermCall::StoreMachineTypes => self.handle_store_types_response(outcome),
        }
        None
    }
}

/// Gives up leadership because the cancellation watermark has expired.
fn step_down_expired(election: &mut Election, io: &mut Io) -> Option<ElectionEvent> {
    // The leader's own lease may still be valid, but worker leases can no longer be renewed here. A peer may
    // be able to read newer cancellations.
    let reason = "the cancellation watermark has expired";
    if election.is_lease_live(io.now) {
        election.hand_over(reason, io)
    } else {
        election.depose(reason)
    }
}
