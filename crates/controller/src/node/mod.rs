//! The state machine of one controller. It owns all state, takes commands and returns effects; sockets and
//! timers belong to its host.

mod machine_types;
mod peer_exchange;
mod peer_probes;
mod routing;

use crate::condor::{self, Context, SubmitFileService};
use crate::constants::{HEARTBEAT_MS, RETRY_AFTER_S, SECOND_MS, STATE_PROBE_MS, STATE_UNHEALTHY_AFTER_MS};
use crate::election::{Election, ElectionEvent};
use crate::io::{CallId, ContentType, Effect, Io, Method, Outcome, PendingCalls, RequestId};
use crate::job_api::admission::{self, KnownMachineTypes, Refusal};
use crate::job_api::authorization;
use crate::job_api::{self, AcceptedJob, JobApi, JobRequest, TaskCounts, TerminalState};
use crate::leader::LeaderTerm;
use crate::metrics::{Metrics, NodeGauges};
use crate::model::Timestamp;
use crate::peers::Frame;
use crate::protocol::{self, Heartbeat, MachineType, Redirect, StoredItem, paths};
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;
use crate::storage::records::{self, Ending, Record};
use indigopath_accounting::Team;
use indigopath_connection_limits::{PerClass, ShortageCounts};
use indigopath_counted_resources::status::{CountList, CountStatus, HolderList};
use indigopath_fencing::Permit;
use peer_exchange::PeerState;
use peer_probes::PeerProbes;
use rand::RngExt;
use routing::Route;
use std::collections::HashMap;

/// An input from the host.
#[derive(Debug, Clone)]
pub enum Command {
    Request {
        request: RequestId,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    Answer {
        call: CallId,
        outcome: Outcome,
    },
    /// A frame from a peer. Frames that need it carry the sender's position among all members.
    Frame(Frame),
    /// A connection to a peer was established.
    PeerConnected {
        peer: usize,
    },
}

/// Calls that the node itself makes.
#[derive(Debug)]
enum NodeCall {
    MachineTypes,
    StoredMachineTypes,
    /// Checks whether the state service responds.
    StateProbe,
}

/// A controller node.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    io: Io,
    election: Election,
    term: Option<LeaderTerm>,
    job_api: JobApi,
    submit_files: SubmitFileService,
    machine_types: MachineTypes,
    machine_type_list: Vec<MachineType>,
    machine_types_due_at: Timestamp,
    machine_types_requested: bool,
    /// Whether the types were read from the cloud; otherwise an earlier leader stored them, and new types may
    /// be missing.
    machine_types_confirmed: bool,
    peers: Vec<PeerState>,
    /// All members' names in order; frames identify their sender by its position.
    members: Vec<String>,
    heartbeat_due_at: Timestamp,
    /// When rejected requests were last logged.
    rejections_logged_at: Timestamp,
    /// Task counts that the leader reported last.
    leader_task_counts: TaskCounts,
    /// Task counts that this leader last sent to its peers.
    sent_task_counts: TaskCounts,
    /// When workers last sent this node a heartbeat.
    worker_heard_at: HashMap<String, Timestamp>,
    state_ok_at: Timestamp,
    state_failing_since: Option<Timestamp>,
    state_probed_at: Timestamp,
    calls: PendingCalls<NodeCall>,
    peer_probes: PeerProbes,
    metrics: Metrics,
    /// Open connections, and the effects of connection limits.
    connection_stats: (PerClass<u64>, ShortageCounts),
}

impl Node {
    pub fn new(settings: Settings, seed: u64, now: Timestamp, wall_ms: u64) -> Node {
        let mut io = Io::new(&settings, seed, now, wall_ms);
        let incarnation: u64 = io.rng.random();
        let submit_files = SubmitFileService::new(&settings, now);
        let mut members: Vec<String> = settings.peers.iter().map(|peer| peer.node.clone()).collect();
        members.push(settings.node.clone());
        members.sort();
        let index = members.iter().position(|name| *name == settings.node);
        let job_api = JobApi::new(&settings, index.unwrap_or(0) as u16, incarnation, now);
        Node {
            members,
            election: Election::new(&settings.node, incarnation, &settings.deployment),
            peers: vec![PeerState::default(); settings.peers.len()],
            settings,
            io,
            term: None,
            job_api,
            submit_files,
            machine_types: MachineTypes::new(),
            machine_type_list: Vec::new(),
            machine_types_due_at: 0,
            machine_types_requested: false,
            machine_types_confirmed: false,
            heartbeat_due_at: 0,
            rejections_logged_at: 0,
            leader_task_counts: TaskCounts::new(),
            sent_task_counts: TaskCounts::new(),
            worker_heard_at: HashMap::new(),
            state_ok_at: now,
            state_failing_since: None,
            state_probed_at: now,
            calls: PendingCalls::default(),
            peer_probes: PeerProbes::default(),
            metrics: Metrics::new(),
            connection_stats: Default::default(),
        }
    }

    /// The fencing token while this node leads, for the log.
    pub fn token(&self) -> Option<u64> {
        self.election.token()
    }

    /// Records that a call was dropped because its permit expired before it was sent.
    pub fn on_operation_dropped(&mut self, permit: &Permit) {
        log::warn!(
            "permit expired before sending operation={} epoch={}",
            permit.operation(),
            permit.epoch()
        );
        self.io.permits.note_late(permit.operation());
    }

    /// Sets the process's connection statistics for metrics.
    pub fn set_connection_stats(&mut self, open: PerClass<u64>, shortages: ShortageCounts) {
        self.connection_stats = (open, shortages);
    }

    /// Sets the current time. Monotonic time never goes back.
    pub fn set_time(&mut self, now: Timestamp, wall_ms: u64) {
        self.io.now = self.io.now.max(now);
        self.io.wall_ms = wall_ms;
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let effects = std::mem::take(&mut self.io.effects);
        for effect in &effects {
            self.metrics.record_effect(effect);
        }
        effects
    }

    /// Handles one command.
    pub fn handle(&mut self, command: Command) {
        match command {
            Command::Request {
                request,
                method,
                path,
                body,
            } => self.handle_request(request, &method, &path, &body),
            Command::Answer { call, outcome } => {
                self.io.starts_in_flight.complete(call);
                self.handle_response(call, &outcome);
            }
            Command::Frame(frame) => self.handle_frame(frame),
            Command::PeerConnected { peer } => self.send_task_counts(peer),
        }
        self.apply_learned_ends();
    }

    /// Does what is due after a batch of commands or at a timer tick.
    pub fn run_due_work(&mut self) {
        if let Some(event) = self.election.run_due_work(&mut self.io) {
            self.on_election_event(event);
        }
        match self.election.held_lease() {
            Some(hold) => self.io.permits.hold(hold),
            None => self.io.permits.release(),
        }
        self.request_machine_types();
        self.probe_state();
        self.job_api
            .run_due_work(4 * self.settings.deployment.state.txn_ops, &mut self.io);
        let context = Context {
            settings: &self.settings,
            types: &self.machine_type_list,
            types_confirmed: self.machine_types_confirmed,
        };
        self.submit_files.run_due_work(&context, &mut self.io);
        let peers = self.peer_view();
        if let Some(term) = &mut self.term {
            let event = term.run_due_work(
                &mut self.election,
                &self.machine_types,
                &self.settings,
                peers,
                &mut self.io,
            );
            for (count, waited_s) in term.take_unit_waits() {
                self.metrics.observe_count_wait(&count, waited_s);
            }
            for (job, team) in std::mem::take(&mut term.writer.recently_finished) {
                let ended = TerminalState {
                    end: Ending::Done,
                    tasks: 0,
                    team: Some(team),
                };
                self.job_api.learn_end(&job, ended, &mut self.io);
            }
            if let Some(event) = event {
                self.on_election_event(event);
            }
        }
        self.log_rejections();
        if self.io.now >= self.heartbeat_due_at {
            self.heartbeat_due_at = self.io.now + HEARTBEAT_MS;
            self.send_heartbeat();
        }
    }

    /// Logs rejected requests, at most one line per second.
    fn log_rejections(&mut self) {
        if self.io.rejections.is_empty() || self.io.now < self.rejections_logged_at + SECOND_MS {
            return;
        }
        self.rejections_logged_at = self.io.now;
        let rejections = std::mem::take(&mut self.io.rejections);
        let total: u32 = rejections.values().sum();
        if let Some((reason, count)) = rejections.iter().max_by_key(|(_, count)| **count) {
            log::info!("requests rejected count={total} most={count} reason={reason}");
        }
    }

    fn on_election_event(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::Elected { token } => {
                self.io.set_leader(true);
                self.term = Some(LeaderTerm::new(token, &self.settings, self.io.now));
            }
            ElectionEvent::Deposed => {
                self.io.set_leader(false);
                if let Some(term) = self.term.take() {
                    term.end(&mut self.io);
                }
                self.sent_task_counts.clear();
            }
        }
        self.heartbeat_due_at = self.io.now;
    }

    // ---- requests ------------------------------------------------------------

    fn handle_request(&mut self, request: RequestId, method: &str, path: &str, body: &[u8]) {
        let route = routing::route(method, path);
        match route {
            Route::Refuse(status) => {
                let problem = if status == 405 {
                    "method not allowed"
                } else {
                    "no such path"
                };
                self.io.reply_error(request, status, problem);
            }
            Route::Health => self.reply_health(request),
            Route::Report => self.handle_heartbeat(request, body),
            Route::Submit => self.handle_submission(request, body),
            Route::Poll(job) => self
                .job_api
                .handle_request(request, job, JobRequest::Poll, &mut self.io),
            Route::Counts | Route::Holders(_) | Route::Explain(..) => {
                self.reply_counted_resources(request, route)
            }
            Route::Metrics => self.reply_metrics(request),
            Route::Condor(..) if self.settings.operator.condor.is_none() => {
                let problem = "submit files are served where the operators set condor";
                self.io.reply_error(request, 404, problem);
            }
            Route::Condor(route, team) => {
                let requester = authorization::requesting_team(team.as_deref(), &self.settings);
                self.handle_submit_file_request(request, route, requester, body);
            }
            Route::Cancel(job) => self
                .job_api
                .handle_request(request, job, JobRequest::Cancel, &mut self.io),
        }
    }

    fn handle_submit_file_request(
        &mut self,
        request: RequestId,
        route: condor::Route,
        requester: Team,
        body: &[u8],
    ) {
        let context = Context {
            settings: &self.settings,
            types: &self.machine_type_list,
            types_confirmed: self.machine_types_confirmed,
        };
        let io = &mut self.io;
        match route {
            condor::Route::Submit => self.submit_files.submit(request, body, &context, io),
            condor::Route::Change(target, act) => self
                .submit_files
                .change(request, target, act, requester, &context, io),
            condor::Route::History(cluster) => self
                .submit_files
                .history(request, cluster, requester, &context, io),
            condor::Route::Queue => self.reply_queue(request, &requester),
        }
    }

    /// Answers with the queue, which is known only to a leader whose lease is live.
    fn reply_queue(&mut self, request: RequestId, requester: &Team) {
        let is_lease_live = self.election.is_lease_live(self.io.now);
        match self.term.as_ref().filter(|_| is_lease_live) {
            None => self.redirect_to_leader(request),
            Some(term) if !term.is_recovered() => {
                self.io
                    .reply_retry_later(request, RETRY_AFTER_S, "the records are being read");
            }
            Some(term) => {
                let jobs = term.submitted_queue(requester, &self.settings, self.io.now);
                self.io.reply(request, 200, &condor::QueueList { jobs });
            }
        }
    }

    fn handle_submission(&mut self, request: RequestId, body: &[u8]) {
        let known = KnownMachineTypes {
            list: &self.machine_type_list,
            confirmed: self.machine_types_confirmed,
        };
        let types = (!self.machine_type_list.is_empty()).then_some(known);
        let deployment = &self.settings.deployment;
        let definitions = &self.settings.operator.counted_resources;
        let accepted = admission::accept(body, deployment, definitions, types, self.io.wall_ms);
        let (job, request_kind) = match accepted {
            Ok(spec) => (spec.id.clone(), JobRequest::Submit(Box::new(spec))),
            Err((Some(job), refusal)) => (job, JobRequest::Refused(refusal)),
            Err((None, refusal)) => return job_api::reply_refusal(request, &refusal, None, &mut self.io),
        };
        // A job with the id may still exist, accepted before submit files were enabled.
        let request_kind = if self.settings.operator.condor.is_some() && condor::is_reserved(&job) {
            JobRequest::Refused(Refusal::Impossible(
                "ids of this form are given to submit files".into(),
            ))
        } else {
            request_kind
        };
        self.job_api
            .handle_request(request, job, request_kind, &mut self.io);
    }

    /// Reports unhealthy while the state service fails for this node but not for its peers, which can serve
    /// the users that this node can only reject. A node that hears no peer either is probably partitioned
    /// while its peers are served; its users would get no answers for the duration of the partition. In an
    /// outage of the state service, by contrast, it would hear that its peers are not served.
    fn reply_health(&mut self, request: RequestId) {
        let is_failing = self
            .state_failing_since
            .is_some_and(|since| self.io.now >= since + STATE_UNHEALTHY_AFTER_MS);
        let peers_served = self.fresh_heartbeats().any(|beat| beat.state_ok);
        let is_partitioned = self.fresh_heartbeats().next().is_none() && !self.peers.is_empty();
        if is_failing && (peers_served || is_partitioned) {
            self.io.reply_error(request, 503, "no state service here");
        } else if self.machine_type_list.is_empty() {
            self.io.reply_error(request, 503, "starting");
        } else {
            self.io.reply(request, 200, &serde_json::json!({ "ok": true }));
        }
    }

    fn handle_heartbeat(&mut self, request: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::info!("heartbeat rejected: {error}");
                self.io.reply_error(request, 400, "malformed report");
                return;
            }
        };
        log::debug!(
            "worker heartbeat received machine={} leads={}",
            heartbeat.machine,
            self.term.is_some()
        );
        self.worker_heard_at
            .insert(heartbeat.machine.clone(), self.io.now);
        // Checked here as well as in `run_due_work`: a process that was suspended handles heartbeats first.
        let may_renew = self.election.may_renew_worker_leases(self.io.now);
        if let Some(term) = self.term.as_mut().filter(|_| may_renew) {
            let is_lease_live = self.election.is_lease_live(self.io.now);
            match term.handle_heartbeat(request, &heartbeat, is_lease_live, &mut self.io) {
                Ok(()) => return,
                Err(superseded) => {
                    if let Some(event) = self.election.depose(&superseded.to_string()) {
                        self.on_election_event(event);
                    }
                }
            }
        }
        self.redirect_to_leader(request);
    }

    /// Redirects the sender to the leader, because this node is not entitled to answer.
    fn redirect_to_leader(&mut self, request: RequestId) {
        let redirect = Redirect {
            leader: self.known_leader(),
        };
        let body = crate::io::json(&redirect);
        self.io.reply_bytes(request, 421, ContentType::Json, body);
    }

    /// Status of all counted resources, if this node leads and has read its records.
    pub fn counted_resource_status(&self) -> Option<Vec<CountStatus>> {
        let term = self.term.as_ref().filter(|term| term.is_recovered())?;
        Some(term.count_status(&self.settings.operator.counted_resources, self.io.now))
    }

    /// Answers about counted resources, whose holders are known only to a leader whose lease is live.
    fn reply_counted_resources(&mut self, request: RequestId, route: Route) {
        let is_lease_live = self.election.is_lease_live(self.io.now);
        let operator = &self.settings.operator;
        let (definitions, now) = (&operator.counted_resources, self.io.now);
        let Some(term) = self.term.as_ref().filter(|_| is_lease_live) else {
            return self.redirect_to_leader(request);
        };
        if !term.is_recovered() {
            self.io
                .reply_retry_later(request, RETRY_AFTER_S, "the records are being read");
            return;
        }
        match route {
            Route::Holders(team) if operator.show_holders => {
                let requester = team.map(|team| authorization::requesting_team(Some(&team), &self.settings));
                let holders = term.holders(requester.as_ref(), &self.settings, now);
                self.io.reply(request, 200, &HolderList { holders });
            }
            Route::Holders(_) => {
                let problem = "holders are shown where the operators set show_holders";
                self.io.reply_error(request, 403, problem);
            }
            Route::Explain(job, team) => match term.explain(&job, team.as_deref(), &self.settings, now) {
                Some(explanation) => self.io.reply(request, 200, &explanation),
                None => self.io.reply_error(request, 404, "no such job is live"),
            },
            _ => {
                let counts = term.count_status(definitions, now);
                self.io.reply(request, 200, &CountList { counts });
            }
        }
    }

    fn reply_metrics(&mut self, request: RequestId) {
        let now = self.io.now;
        let definitions = &self.settings.operator.counted_resources;
        let counts = self.term.as_ref().map(|term| term.count_status(definitions, now));
        let metrics_snapshot = self.term.as_ref().map(|term| term.metrics_snapshot(now));
        let gauges = NodeGauges {
            token: self.election.token(),
            state_ok: self.state_failing_since.is_none(),
            peers_heard: self.fresh_heartbeats().count(),
            metrics_snapshot,
            cancellation_watermark_age_ms: self.term.as_ref().map(|term| term.watermark_age_ms(now)),
            counted_resources: counts.unwrap_or_default(),
            held_lease: self.io.permits.held(),
            refused_operations: self.io.permits.refused().collect(),
            expired_operations: self.io.permits.late().collect(),
            open_connections: self.connection_stats.0,
            shortages: self.connection_stats.1,
            throttled: {
                let throttled = self.job_api.throttled();
                throttled.map(|(team, count)| (team.clone(), count)).collect()
            },
            accounting: self.term.as_ref().map(|term| term.accounting_gauges(now)),
            served_shares: self.term.as_ref().map_or_else(Vec::new, |term| {
                let shares = term.demand_shares();
                shares
                    .map(|(owner, share)| (owner.clone(), share.served_fraction()))
                    .collect()
            }),
            protection_windows: self
                .term
                .as_ref()
                .map_or_else(Vec::new, |term| term.protection_window_status(self.io.wall_ms)),
            spare_replicas: self.term.as_ref().map_or((0, 0), LeaderTerm::spare_replicas),
        };
        match self.metrics.encode(&gauges) {
            Ok(text) => self
                .io
                .reply_bytes(request, 200, ContentType::Metrics, text.into_bytes()),
            Err(error) => {
                log::error!("metrics encoding failed: {error}");
                self.io.reply_error(request, 503, "metrics cannot be written");
            }
        }
    }

    // ---- responses -----------------------------------------------------------

    fn handle_response(&mut self, call: CallId, outcome: &Outcome) {
        if let Some(event) = self.election.handle_response(call, outcome, &mut self.io) {
            self.record_state_response(outcome);
            self.on_optional_election_event(event);
            return;
        }
        if let Some(term) = &mut self.term
            && let Some(event) =
                term.handle_response(call, outcome, &mut self.election, &self.settings, &mut self.io)
        {
            self.on_optional_election_event(event);
            return;
        }
        let counts = self
            .term
            .as_ref()
            .map_or(&self.leader_task_counts, |term| term.counts());
        if let Some(accepted) = self.job_api.handle_response(call, outcome, counts, &mut self.io) {
            self.record_state_response(outcome);
            if let Some(job) = accepted {
                self.on_job_accepted(job);
            }
            return;
        }
        let context = Context {
            settings: &self.settings,
            types: &self.machine_type_list,
            types_confirmed: self.machine_types_confirmed,
        };
        if self
            .submit_files
            .handle_response(call, outcome, &context, &mut self.io)
        {
            self.record_state_response(outcome);
            return;
        }
        if let Some(result) = self.peer_probes.handle_response(call, outcome) {
            self.answer_reachability_query(&result);
            return;
        }
        match self.calls.complete(call) {
            None => (),
            Some(NodeCall::StateProbe) => self.record_state_response(outcome),
            Some(NodeCall::MachineTypes) => self.on_machine_types_response(outcome),
            Some(NodeCall::StoredMachineTypes) => {
                self.record_state_response(outcome);
                let stored = outcome
                    .read::<StoredItem>(&[200])
                    .and_then(|item| protocol::MachineTypeList::from_value(&item.value).ok());
                if let Some(list) = stored.filter(|_| self.machine_type_list.is_empty()) {
                    self.set_machine_types(list);
                }
            }
        }
    }

    fn on_optional_election_event(&mut self, event: Option<ElectionEvent>) {
        if let Some(event) = event {
            self.on_election_event(event);
        }
    }

    /// Records whether the state service serves this node.
    fn record_state_response(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answer { status: 503, .. } | Outcome::NotSent | Outcome::NoAnswer => {
                self.state_failing_since.get_or_insert(self.io.now);
            }
            Outcome::Answer { .. } => {
                self.state_ok_at = self.io.now;
                self.state_failing_since = None;
            }
        }
    }

    fn on_job_accepted(&mut self, AcceptedJob { spec, version }: AcceptedJob) {
        // A peer may be about to answer that the job does not exist.
        self.broadcast(&Frame::JobChanged { job: spec.id.clone() });
        if let Some(term) = &mut self.term {
            term.on_job_accepted(*spec, version, &self.io);
        }
    }

    /// Tells the term of the ends that this node has learned as it served users, who may be told of them from now on:
    /// the watch may report them much later.
    fn apply_learned_ends(&mut self) {
        for job in self.job_api.take_newly_ended() {
            if let Some(term) = &mut self.term {
                term.on_job_ended(&job, self.io.now);
            }
        }
    }

    /// Sends a probe if the state service has not responded to anything recently.
    fn probe_state(&mut self) {
        let now = self.io.now;
        if now >= self.state_ok_at + STATE_PROBE_MS && now >= self.state_probed_at + STATE_PROBE_MS {
            self.state_probed_at = now;
            let path = paths::key(records::LEADER_KEY);
            let call = self.io.state_call(Method::Get, path, Vec::new(), STATE_PROBE_MS);
            self.calls.insert(call, NodeCall::StateProbe);
        }
    }
}

#[cfg(test)]
mod tests;
