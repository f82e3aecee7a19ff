//! What the leading controller does in its term: it reads the records, fences
//! former leaders, places tasks, sizes the fleet and writes everything down.
//!
//! [`LeaderTerm`] composes the owners of the term's state, each in a module of its own, calls what is
//! due and passes answers on.

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
mod reconciliation;
mod record_watch;
mod recovery;
mod scheduling_pass;
mod status;
mod submit_clusters;
mod zone_health;

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
use zone_health::Zones;

pub use image_locality::ImageLocality;

/// A worker has seen a newer leader, so this term is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a worker has seen a newer leader")]
pub struct Superseded;

/// What the leader knows of its peers: whether it is cut off itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerView {
    /// How many peers there are.
    pub all: usize,
    /// How many of them were heard lately.
    pub fresh: usize,
    /// Most workers that one of them hears.
    pub hears: u32,
    /// How long workers take, in ms, to find a peer when they lose the leader.
    pub found_ms: u64,
}

/// One term of a leader, from its election to its end.
#[derive(Debug)]
pub struct LeaderTerm {
    /// The fencing token with which the term began: renewals raise it.
    first_token: u64,
    started: Timestamp,
    recovery: Recovery,
    /// Which ends of jobs this leader knows, and so whose lease it may renew.
    watermark: CancellationWatermark,
    /// Heartbeats that came while the records were being read.
    buffered_heartbeats: BufferedHeartbeats,
    watch: RecordWatch,
    jobs: JobTable,
    machines: MachineTable,
    pub(crate) writer: BatchWriter,
    persistence: Persistence,
    commands: CommandQueue,
    calls: PendingCalls<TermCall>,
    liveness: Liveness,
    partition: PartitionDetector,
    zones: Zones,
    one_way_partition: OneWayPartition,
    scheduler: Scheduler,
    forecast: DemandForecast,
    autoscaler: Autoscaler,
    counted: CountedResources,
    shifts: ProtectionWindows,
    clusters: SubmitClusters,
    weights: ImageLocality,
    books: Accounting,
}

impl LeaderTerm {
    /// A term that begins now, with this fencing token.
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
            partition: PartitionDetector::default(),
            zones: Zones::default(),
            one_way_partition: OneWayPartition::default(),
            scheduler: Scheduler::new(token),
            forecast: DemandForecast::default(),
            autoscaler: Autoscaler::new(),
            counted: CountedResources::new(&settings.operator.counts),
            shifts: ProtectionWindows::new(settings),
            clusters: SubmitClusters::default(),
            weights: ImageLocality::default(),
            books: Accounting::new(settings),
        }
    }

    /// The fencing token of all that this leader sends now.
    pub fn token(&self) -> u64 {
        self.writer.token
    }

    /// The term is over: whoever waits here must ask elsewhere.
    pub fn end(mut self, io: &mut Io) {
        while let Some((request, _)) = self.buffered_heartbeats.next() {
            buffered_heartbeats::turn_away(request, io);
        }
    }

    /// For how long, in ms, this leader has not learned which jobs are over.
    pub fn watermark_age_ms(&self, now: Timestamp) -> u64 {
        self.watermark.age_ms(now)
    }

    /// Whether the records have been read: before, this leader knows nothing.
    pub fn has_read(&self) -> bool {
        self.recovery.is_complete()
    }

    /// Tasks done and running of each live job, for display.
    pub fn counts(&self) -> &TaskCounts {
        self.jobs.counts()
    }

    /// Does what is due. Returns `Deposed` where leadership is given up.
    pub fn settle(
        &mut self,
        election: &mut Election,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if self.watermark.is_expired(io.now) {
            return give_up_expired(election, io);
        }
        if !self.recovery.is_complete() {
            self.poll_load(io);
            self.buffered_heartbeats.give_up(io);
            return None;
        }
        if let Some(deposed) = self.answer_buffered(election, io) {
            return Some(deposed);
        }
        self.poll_watch(io);
        self.update_protection_windows(types, settings, io);
        let certain = election.certain(io.now);
        if let Some(deposed) = self.check_fleet(election, types, settings, peers, io) {
            return Some(deposed);
        }
        self.poll_listing(io);
        self.poll_licence_servers(&settings.operator.counts, io);
        if certain && !types.is_empty() {
            self.schedule(types, settings, io);
            self.store_types_once(types, io);
        }
        self.drop_cancelled_starts(io);
        self.write(election, settings, io);
        self.send_direct(certain, io);
        if certain {
            self.update_accounting(settings, io);
        }
        None
    }

    /// Answers the heartbeats that came while the records were being read.
    fn answer_buffered(&mut self, election: &mut Election, io: &mut Io) -> Option<ElectionEvent> {
        while let Some((request, heartbeat)) = self.buffered_heartbeats.next() {
            if let Err(superseded) = self.report(request, &heartbeat, election.certain(io.now), io) {
                buffered_heartbeats::turn_away(request, io);
                return election.deposed(&superseded.to_string());
            }
        }
        None
    }

    /// Checks the machines, and gives back what is not needed, if that is due.
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
        self.forget_requests(settings, io.now);
        if let Some(deposed) = self.check_self(election, peers, io) {
            return Some(deposed);
        }
        self.scale_in(types, settings, peers, io);
        None
    }

    /// Places tasks, sizes the fleet and looks at what depends on both, each if it is due.
    fn schedule(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        if self.scheduler.is_due(self.machines.len(), io.now) && !self.writer.stalled(io.now) {
            self.pass(types, settings, io);
        }
        if self.autoscaler.take_sizing_due(io.now) {
            self.size_fleet(types, settings, io);
        }
        self.forecast_when_due(types, settings, io);
        self.update_count_warnings(&settings.operator.counts, io);
        self.update_submit_clusters(settings, io);
        self.send_rentals(io);
    }

    /// A call was answered. `None` if it was not made in this term, else what follows.
    pub fn answered(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<Option<ElectionEvent>> {
        let kind = self.calls.complete(call)?;
        Some(self.follow(kind, outcome, election, settings, io))
    }

    fn follow(
        &mut self,
        kind: TermCall,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        match kind {
            TermCall::Load { sent } => return self.loaded(sent, outcome, election, settings, io),
            TermCall::Watch { sent } => return self.handle_watch_response(sent, outcome, election, io),
            TermCall::Write => return self.written(outcome, election, io),
            TermCall::Reread { key, end_notices } => {
                return self.reread(key, end_notices, outcome, election, io);
            }
            TermCall::Direct(direct) => return self.direct_answered(direct, outcome, election, io),
            TermCall::Inspect { machine } => return self.inspected(&machine, outcome, election, io),
            TermCall::List => self.listed(outcome, io),
            TermCall::Rent { request } => self.rented(&request, outcome, io),
            TermCall::Return { machines, sent } => self.returned(machines, sent, outcome, io),
            TermCall::Licences { server } => {
                self.handle_licence_response(server, outcome, &settings.operator.counts, io.now);
            }
            // The watch tells.
            TermCall::Cluster => (),
            TermCall::Books(call) => self.handle_accounting_response(call, outcome, io.now),
            TermCall::StoreTypes => self.types_stored(outcome),
        }
        None
    }
}

/// Leadership ends, as nobody has told for too long which jobs are over.
fn give_up_expired(election: &mut Election, io: &mut Io) -> Option<ElectionEvent> {
    // Its own lease may live, but workers' do not with it: a peer may see more.
    let why = "no word of which jobs are over";
    if election.certain(io.now) {
        election.hand_over(why, io)
    } else {
        election.deposed(why)
    }
}
