//! One controller: the single owner of all state. Commands go in, effects come
//! out; sockets and timers are somebody else's.

mod routing;

use crate::condor::{self, Context, Desk};
use crate::constants::{
    CLOUD_RETRY_MS, ENDED_JOB_CACHE_SIZE, HEARTBEAT_MAX_AGE_MS, HEARTBEAT_MS, MACHINE_TYPES_INTERVAL_MS,
    RETRY_AFTER_S, SECOND_MS, STATE_PROBE_MS, STATE_TIMEOUT_MS, STATE_UNHEALTHY_AFTER_MS,
    WORKER_CONTACT_MAX_AGE_MS,
};
use crate::election::{Election, ElectionEvent};
use crate::io::{CallId, ContentType, Effect, Io, Method, Outcome, PendingCalls, RequestId};
use crate::job_api::admission::{self, KnownMachineTypes, Refusal};
use crate::job_api::authorization;
use crate::job_api::{self, JobApi, JobRequest, RequestOutcome, TaskCounts, TerminalState};
use crate::leader::{LeaderTerm, PeerView};
use crate::metrics::{Metrics, NodeGauges};
use crate::model::{JobId, Timestamp};
use crate::peers::{Frame, PeerHeartbeat};
use crate::protocol::{self, Heartbeat, MachineType, Redirect, StoredItem, paths};
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;
use crate::storage::records::{self, Ending, Record};
use indigopath_accounting::Team;
use indigopath_connection_limits::{PerClass, ShortageCounts};
use indigopath_counted_resources::status::{CountList, CountStatus, HolderList};
use indigopath_fencing::Permit;
use rand::RngExt;
use routing::Route;
use std::collections::HashMap;

/// Something that happened outside.
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
    /// A frame from a peer; its heartbeat says which.
    Frame(Frame),
    /// A connection to a peer has just come about.
    PeerConnected {
        peer: usize,
    },
}

/// What the node itself asks.
#[derive(Debug)]
enum Question {
    MachineTypes,
    StoredTypes,
    /// Only whether the state service answers.
    Probe,
}

#[derive(Debug, Default, Clone, Copy)]
struct PeerState {
    beat: Option<PeerHeartbeat>,
    at: Timestamp,
}

#[derive(Debug)]
pub struct Node {
    settings: Settings,
    io: Io,
    election: Election,
    term: Option<LeaderTerm>,
    job_api: JobApi,
    desk: Desk,
    types: MachineTypes,
    type_list: Vec<MachineType>,
    types_at: Timestamp,
    types_busy: bool,
    /// The cloud itself has told them; else they may be a former leader's, and a new one may lack.
    types_certain: bool,
    peers: Vec<PeerState>,
    /// All members' names in order; a heartbeat names its sender by position.
    members: Vec<String>,
    beat_at: Timestamp,
    /// When requests that were told to come back were last logged.
    refused_at: Timestamp,
    /// Counts of jobs as the leader last told them.
    told: TaskCounts,
    /// Counts as this leader last told its peers.
    sent: TaskCounts,
    /// Workers that addressed this node, and when.
    workers: HashMap<String, Timestamp>,
    state_ok_at: Timestamp,
    state_failed_at: Option<Timestamp>,
    probed_at: Timestamp,
    calls: PendingCalls<Question>,
    metrics: Metrics,
    /// Open connections, and what was done for want of room.
    sockets: (PerClass<u64>, ShortageCounts),
}

impl Node {
    pub fn new(settings: Settings, seed: u64, now: Timestamp, wall_ms: u64) -> Node {
        let mut io = Io::new(&settings, seed, now, wall_ms);
        let incarnation: u64 = io.rng.random();
        let desk = Desk::new(&settings, now);
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
            desk,
            types: MachineTypes::new(),
            type_list: Vec::new(),
            types_at: 0,
            types_busy: false,
            types_certain: false,
            beat_at: 0,
            refused_at: 0,
            told: TaskCounts::new(),
            sent: TaskCounts::new(),
            workers: HashMap::new(),
            state_ok_at: now,
            state_failed_at: None,
            probed_at: now,
            calls: PendingCalls::default(),
            metrics: Metrics::new(),
            sockets: Default::default(),
        }
    }

    /// The token while this node leads, for the log.
    pub fn token(&self) -> Option<u64> {
        self.election.token()
    }

    /// An act's permit ran out before its bytes went out: it was dropped.
    pub fn on_operation_dropped(&mut self, permit: &Permit) {
        log::warn!(
            "permit expired before sending operation={} epoch={}",
            permit.operation(),
            permit.epoch()
        );
        self.io.permits.note_late(permit.operation());
    }

    /// How the process stands with its sockets, for metrics.
    pub fn set_connection_stats(&mut self, open: PerClass<u64>, tally: ShortageCounts) {
        self.sockets = (open, tally);
    }

    pub fn set_time(&mut self, now: Timestamp, wall_ms: u64) {
        self.io.now = self.io.now.max(now);
        self.io.wall_ms = wall_ms;
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        let effects = std::mem::take(&mut self.io.effects);
        for effect in &effects {
            self.metrics.record_effect(effect);
        }
        effects
    }

    pub fn handle(&mut self, command: Command) {
        match command {
            Command::Request {
                request,
                method,
                path,
                body,
            } => self.request(request, &method, &path, &body),
            Command::Answer { call, outcome } => self.answer(call, &outcome),
            Command::Frame(frame) => self.frame(frame),
            Command::PeerConnected { peer } => self.tell_all(peer),
        }
    }

    /// Does what is due after a batch of commands, or at a tick.
    pub fn run_due_work(&mut self) {
        if let Some(news) = self.election.poll(&mut self.io) {
            self.news(news);
        }
        match self.election.held_lease() {
            Some(hold) => self.io.permits.hold(hold),
            None => self.io.permits.release(),
        }
        self.poll_types();
        self.probe_state();
        self.job_api
            .run_due_work(4 * self.settings.deployment.state.txn_ops, &mut self.io);
        let context = Context {
            settings: &self.settings,
            types: &self.type_list,
            certain: self.types_certain,
        };
        self.desk.settle(&context, &mut self.io);
        let peers = self.hearing();
        if let Some(term) = &mut self.term {
            let news = term.run_due_work(
                &mut self.election,
                &self.types,
                &self.settings,
                peers,
                &mut self.io,
            );
            for (count, waited_s) in term.take_waits() {
                self.metrics.observe_count_wait(&count, waited_s);
            }
            for (job, team) in std::mem::take(&mut term.writer.recently_finished) {
                let over = TerminalState {
                    end: Ending::Done,
                    tasks: 0,
                    team: Some(team),
                };
                self.job_api.learn_end(&job, over, &mut self.io);
            }
            if let Some(news) = news {
                self.news(news);
            }
        }
        self.tell_refusals();
        if self.io.now >= self.beat_at {
            self.beat_at = self.io.now + HEARTBEAT_MS;
            self.beat();
        }
    }

    /// One line a second at most, however many were refused.
    fn tell_refusals(&mut self) {
        if self.io.rejections.is_empty() || self.io.now < self.refused_at + SECOND_MS {
            return;
        }
        self.refused_at = self.io.now;
        let refusals = std::mem::take(&mut self.io.rejections);
        let all: u32 = refusals.values().sum();
        if let Some((why, count)) = refusals.iter().max_by_key(|(_, count)| **count) {
            log::info!("requests rejected count={all} most={count} reason={why}");
        }
    }

    fn news(&mut self, news: ElectionEvent) {
        match news {
            ElectionEvent::Elected { token } => {
                self.io.set_leader(true);
                self.term = Some(LeaderTerm::new(token, &self.settings, self.io.now));
            }
            ElectionEvent::Deposed => {
                self.io.set_leader(false);
                if let Some(term) = self.term.take() {
                    term.end(&mut self.io);
                }
                self.sent.clear();
            }
        }
        self.beat_at = self.io.now;
    }

    // ---- requests ------------------------------------------------------------

    fn request(&mut self, request: RequestId, method: &str, path: &str, body: &[u8]) {
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
            Route::Health => self.health(request),
            Route::Report => self.report(request, body),
            Route::Submit => self.submit(request, body),
            Route::Poll(job) => self
                .job_api
                .handle_request(request, job, JobRequest::Poll, &mut self.io),
            Route::Counts | Route::Holders(_) | Route::Explain(..) => self.tell_counts(request, route),
            Route::Metrics => self.tell_metrics(request),
            Route::Condor(..) if self.settings.operator.condor.is_none() => {
                let problem = "submit files are served where the operators set condor";
                self.io.reply_error(request, 404, problem);
            }
            Route::Condor(route, team) => {
                let asks = authorization::requesting_team(team.as_deref(), &self.settings);
                self.condor(request, route, asks, body);
            }
            Route::Cancel(job) => self
                .job_api
                .handle_request(request, job, JobRequest::Cancel, &mut self.io),
        }
    }

    fn condor(&mut self, request: RequestId, route: condor::Route, asks: Team, body: &[u8]) {
        let context = Context {
            settings: &self.settings,
            types: &self.type_list,
            certain: self.types_certain,
        };
        let io = &mut self.io;
        match route {
            condor::Route::Submit => self.desk.submit(request, body, &context, io),
            condor::Route::Change(target, act) => self.desk.change(request, target, act, asks, &context, io),
            condor::Route::History(cluster) => self.desk.history(request, cluster, asks, &context, io),
            condor::Route::Queue => self.tell_queue(request, &asks),
        }
    }

    /// Only who leads, and surely still does, knows what runs.
    fn tell_queue(&mut self, request: RequestId, asks: &Team) {
        let certain = self.election.is_lease_live(self.io.now);
        match self.term.as_ref().filter(|_| certain) {
            None => self.send_to_leader(request),
            Some(term) if !term.is_recovered() => {
                self.io
                    .reply_retry_later(request, RETRY_AFTER_S, "the records are being read");
            }
            Some(term) => {
                let jobs = term.queue(asks, &self.settings, self.io.now);
                self.io.reply(request, 200, &condor::QueueList { jobs });
            }
        }
    }

    fn submit(&mut self, request: RequestId, body: &[u8]) {
        let known = KnownMachineTypes {
            list: &self.type_list,
            confirmed: self.types_certain,
        };
        let types = (!self.type_list.is_empty()).then_some(known);
        let deployment = &self.settings.deployment;
        let definitions = &self.settings.operator.counted_resources;
        let accepted = admission::accept(body, deployment, definitions, types, self.io.wall_ms);
        let (job, request_kind) = match accepted {
            Ok(spec) => (spec.id.clone(), JobRequest::Submit(Box::new(spec))),
            Err((Some(job), refusal)) => (job, JobRequest::Refused(refusal)),
            Err((None, refusal)) => return job_api::reply_refusal(request, &refusal, &mut self.io),
        };
        // Unless it is known: it may have been accepted before submit files were served.
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

    /// Not healthy while the state service fails this node but not its peers: they can serve
    /// the users that it can only send away. A node that hears none of them either may be cut
    /// off, where they are served; in an outage it would hear that they are not. Its users would
    /// get no answer for as long as that lasts, and those of the others would.
    fn health(&mut self, request: RequestId) {
        let failing = self
            .state_failed_at
            .is_some_and(|since| self.io.now >= since + STATE_UNHEALTHY_AFTER_MS);
        let others_fine = self.fresh().any(|beat| beat.state_ok);
        let cut_off = self.fresh().next().is_none() && !self.peers.is_empty();
        if failing && (others_fine || cut_off) {
            self.io.reply_error(request, 503, "no state service here");
        } else if self.type_list.is_empty() {
            self.io.reply_error(request, 503, "starting");
        } else {
            self.io.reply(request, 200, &serde_json::json!({ "ok": true }));
        }
    }

    fn report(&mut self, request: RequestId, body: &[u8]) {
        let report: Heartbeat = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => {
                log::info!("heartbeat rejected: {error}");
                self.io.reply_error(request, 400, "malformed report");
                return;
            }
        };
        self.workers.insert(report.machine.clone(), self.io.now);
        // Asked here as well as when time passes: a process that stood still finds reports first.
        let may_renew = self.election.may_renew_worker_leases(self.io.now);
        if let Some(term) = self.term.as_mut().filter(|_| may_renew) {
            let certain = self.election.is_lease_live(self.io.now);
            match term.handle_heartbeat(request, &report, certain, &mut self.io) {
                Ok(()) => return,
                Err(superseded) => {
                    if let Some(news) = self.election.depose(&superseded.to_string()) {
                        self.news(news);
                    }
                }
            }
        }
        self.send_to_leader(request);
    }

    /// This node is not entitled to answer; another may be.
    fn send_to_leader(&mut self, request: RequestId) {
        let redirect = Redirect {
            leader: self.leader(),
        };
        let body = crate::io::json(&redirect);
        self.io.reply_bytes(request, 421, ContentType::Json, body);
    }

    /// Every count at a glance, as whoever leads sees it once its records are read.
    pub fn counted_resource_status(&self) -> Option<Vec<CountStatus>> {
        let term = self.term.as_ref().filter(|term| term.is_recovered())?;
        Some(term.count_status(&self.settings.operator.counted_resources, self.io.now))
    }

    /// Only who leads, and surely still does, knows who holds what.
    fn tell_counts(&mut self, request: RequestId, route: Route) {
        let certain = self.election.is_lease_live(self.io.now);
        let operator = &self.settings.operator;
        let (definitions, now) = (&operator.counted_resources, self.io.now);
        let Some(term) = self.term.as_ref().filter(|_| certain) else {
            return self.send_to_leader(request);
        };
        if !term.is_recovered() {
            self.io
                .reply_retry_later(request, RETRY_AFTER_S, "the records are being read");
            return;
        }
        match route {
            Route::Holders(team) if operator.show_holders => {
                let asks = team.map(|team| authorization::requesting_team(Some(&team), &self.settings));
                let holders = term.holders(asks.as_ref(), &self.settings, now);
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

    fn tell_metrics(&mut self, request: RequestId) {
        let now = self.io.now;
        let definitions = &self.settings.operator.counted_resources;
        let counts = self.term.as_ref().map(|term| term.count_status(definitions, now));
        let metrics_snapshot = self.term.as_ref().map(LeaderTerm::metrics_snapshot);
        let standing = NodeGauges {
            token: self.election.token(),
            state_ok: self.state_failed_at.is_none(),
            peers: self.fresh().count(),
            metrics_snapshot,
            watermark_age_ms: self.term.as_ref().map(|term| term.watermark_age_ms(now)),
            counts: counts.unwrap_or_default(),
            held_lease: self.io.permits.held(),
            refused: self.io.permits.refused().collect(),
            expired: self.io.permits.late().collect(),
            open: self.sockets.0,
            shortages: self.sockets.1,
            throttled: {
                let put_off = self.job_api.throttled();
                put_off.map(|(team, count)| (team.clone(), count)).collect()
            },
            accounting: self.term.as_ref().map(|term| term.book_standing(now)),
            shares: self.term.as_ref().map_or_else(Vec::new, |term| {
                let shares = term.shares();
                shares
                    .map(|(whose, share)| (whose.clone(), share.part()))
                    .collect()
            }),
            protection_windows: self
                .term
                .as_ref()
                .map_or_else(Vec::new, |term| term.shifts(self.io.wall_ms)),
            spare: self.term.as_ref().map_or((0, 0), LeaderTerm::spare),
        };
        match self.metrics.encode(&standing) {
            Ok(text) => self
                .io
                .reply_bytes(request, 200, ContentType::Metrics, text.into_bytes()),
            Err(error) => {
                log::error!("metrics encoding failed: {error}");
                self.io.reply_error(request, 503, "metrics cannot be written");
            }
        }
    }

    /// The node that leads, as far as this one knows.
    fn leader(&self) -> Option<&str> {
        // A fresh heartbeat is sooner than the watch.
        let beat = self.peers.iter().enumerate().filter_map(|(index, peer)| {
            let beat = peer
                .beat
                .filter(|beat| beat.leads && self.io.now < peer.at + HEARTBEAT_MAX_AGE_MS)?;
            Some((beat.token, self.settings.peers[index].node.as_str()))
        });
        beat.max()
            .map(|(_, node)| node)
            .or_else(|| self.election.other_leader())
    }

    // ---- answers -------------------------------------------------------------

    fn answer(&mut self, call: CallId, outcome: &Outcome) {
        if let Some(news) = self.election.handle_response(call, outcome, &mut self.io) {
            self.note_state(outcome);
            self.follow(news);
            return;
        }
        if let Some(term) = &mut self.term
            && let Some(news) =
                term.handle_response(call, outcome, &mut self.election, &self.settings, &mut self.io)
        {
            self.follow(news);
            return;
        }
        let counts = self.term.as_ref().map_or(&self.told, |term| term.counts());
        if let Some(done) = self.job_api.handle_response(call, outcome, counts, &mut self.io) {
            self.note_state(outcome);
            self.user_done(done);
            return;
        }
        let context = Context {
            settings: &self.settings,
            types: &self.type_list,
            certain: self.types_certain,
        };
        if self.desk.answered(call, outcome, &context, &mut self.io) {
            self.note_state(outcome);
            return;
        }
        match self.calls.complete(call) {
            None => (),
            Some(Question::Probe) => self.note_state(outcome),
            Some(Question::MachineTypes) => self.types_answered(outcome),
            Some(Question::StoredTypes) => {
                self.note_state(outcome);
                let stored = outcome
                    .read::<StoredItem>(&[200])
                    .and_then(|item| protocol::MachineTypeList::from_value(&item.value).ok());
                if let Some(flavors) = stored.filter(|_| self.type_list.is_empty()) {
                    self.learn_types(flavors);
                }
            }
        }
    }

    fn follow(&mut self, news: Option<ElectionEvent>) {
        if let Some(news) = news {
            self.news(news);
        }
    }

    fn types_answered(&mut self, outcome: &Outcome) {
        self.types_busy = false;
        if let Some(flavors) = outcome.read::<protocol::MachineTypeList>(&[200]) {
            self.types_at = self.io.now + MACHINE_TYPES_INTERVAL_MS;
            self.types_certain = true;
            self.learn_types(flavors);
            return;
        }
        self.types_at = self.io.now + CLOUD_RETRY_MS;
    }

    /// Whether the state service serves this node.
    fn note_state(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answer { status: 503, .. } | Outcome::NotSent | Outcome::NoAnswer => {
                self.state_failed_at.get_or_insert(self.io.now);
            }
            Outcome::Answer { .. } => {
                self.state_ok_at = self.io.now;
                self.state_failed_at = None;
            }
        }
    }

    fn user_done(&mut self, done: Option<RequestOutcome>) {
        match done {
            Some(RequestOutcome::Accepted { spec, version }) => {
                // PeerView may be about to say that there is no such job.
                self.send_all(&Frame::JobChanged { job: spec.id.clone() });
                if let Some(term) = &mut self.term {
                    term.job_accepted(*spec, version, &self.io);
                }
            }
            Some(RequestOutcome::Cancelled(job)) => {
                if let Some(term) = &mut self.term {
                    term.job_over(&job, self.io.now);
                }
            }
            None => (),
        }
    }

    /// Asks the state service for a sign of life when nothing else has lately.
    fn probe_state(&mut self) {
        let now = self.io.now;
        if now >= self.state_ok_at + STATE_PROBE_MS && now >= self.probed_at + STATE_PROBE_MS {
            self.probed_at = now;
            let path = paths::key(records::LEADER_KEY);
            let call = self.io.state_call(Method::Get, path, Vec::new(), STATE_PROBE_MS);
            self.calls.insert(call, Question::Probe);
        }
    }

    fn poll_types(&mut self) {
        if self.types_busy || self.io.now < self.types_at {
            return;
        }
        self.types_busy = true;
        self.io.cloud_budget.force_take(1.0, self.io.now);
        let call = self.io.machine_types_call();
        self.calls.insert(call, Question::MachineTypes);
        // A leader has stored them, and the state service answers many times sooner: a node that
        // is back after a moment has users at once, as nobody saw it go.
        if self.type_list.is_empty() {
            let path = paths::key(records::MACHINE_TYPES_KEY);
            let call = self
                .io
                .state_call(Method::Get, path, Vec::new(), STATE_TIMEOUT_MS);
            self.calls.insert(call, Question::StoredTypes);
        }
    }

    fn learn_types(&mut self, flavors: protocol::MachineTypeList) {
        let types: Vec<MachineType> = flavors.types.into_iter().filter(sane).collect();
        if types.is_empty() {
            log::error!("machine types rejected: the cloud names none that can be used");
            return;
        }
        self.types = types
            .iter()
            .map(|machine_type| (machine_type.name.clone(), machine_type.clone()))
            .collect();
        self.type_list = types;
    }

    // ---- peers ------------------------------------------------------------

    fn fresh(&self) -> impl Iterator<Item = PeerHeartbeat> + '_ {
        self.peers
            .iter()
            .filter(|peer| self.io.now < peer.at + HEARTBEAT_MAX_AGE_MS)
            .filter_map(|peer| peer.beat)
    }

    /// A worker that loses its node goes round all of them, about a second each.
    fn found_ms(&self) -> u64 {
        WORKER_CONTACT_MAX_AGE_MS + self.members.len() as u64 * SECOND_MS
    }

    fn hearing(&self) -> PeerView {
        PeerView {
            total: self.peers.len(),
            recently_heard: self.fresh().count(),
            max_workers_heard: self.fresh().map(|beat| beat.workers_heard).max().unwrap_or(0),
            worker_failover_ms: self.found_ms(),
        }
    }

    fn send_all(&mut self, frame: &Frame) {
        self.send_bytes(&frame.encode());
    }

    fn send_bytes(&mut self, bytes: &[u8]) {
        for peer in 0..self.peers.len() {
            self.io.effects.push(Effect::Frame {
                peer,
                bytes: bytes.to_vec(),
            });
        }
    }

    fn beat(&mut self) {
        let now = self.io.now;
        let hears_ms = self.found_ms();
        self.workers.retain(|_, at| now < *at + hears_ms);
        let beat = PeerHeartbeat {
            index: self.job_api.index(),
            token: self.election.token().unwrap_or(0),
            leads: self.term.is_some(),
            state_ok: self.state_failed_at.is_none() && now < self.state_ok_at + 2 * STATE_PROBE_MS,
            workers_heard: self.workers.len() as u32,
        };
        self.send_all(&Frame::PeerHeartbeat(beat));
        let Some(term) = &self.term else { return };
        let mut bytes = Vec::new();
        for (job, counts) in term.counts() {
            if self.sent.get(job) != Some(counts) {
                bytes.extend(counts_frame(job, *counts));
            }
        }
        if !bytes.is_empty() {
            self.sent = term.counts().clone();
            self.send_bytes(&bytes);
        }
    }

    /// A peer that has just connected knows no counts yet.
    fn tell_all(&mut self, peer: usize) {
        let Some(term) = &self.term else { return };
        let bytes: Vec<u8> = term
            .counts()
            .iter()
            .flat_map(|(job, counts)| counts_frame(job, *counts))
            .collect();
        if !bytes.is_empty() {
            self.io.effects.push(Effect::Frame { peer, bytes });
        }
    }

    fn frame(&mut self, frame: Frame) {
        match frame {
            Frame::PeerHeartbeat(beat) => {
                let peer = self.peer(beat.index);
                if let Some(peer) = peer.and_then(|peer| self.peers.get_mut(peer)) {
                    *peer = PeerState {
                        beat: Some(beat),
                        at: self.io.now,
                    };
                }
                if beat.leads
                    && self.election.token().is_some_and(|own| beat.token > own)
                    && let Some(news) = self.election.depose("a sibling leads with a higher token")
                {
                    self.news(news);
                }
            }
            Frame::TaskCounts { job, done, running } => {
                if self.told.len() >= ENDED_JOB_CACHE_SIZE {
                    self.told.clear();
                }
                self.told.insert(job, (done, running));
            }
            // What follows from the change, the watch tells.
            Frame::JobChanged { job } => {
                self.job_api.on_peer_notice(job, false, self.io.now);
            }
            Frame::EndNotice { job, nonce, index } => {
                // Before it is sent back: its user is told then, and from then on nothing of the job starts.
                if let Some(term) = &mut self.term {
                    term.ended_elsewhere(&job);
                }
                // Only what was noted is sent back.
                if self.job_api.on_peer_notice(job.clone(), true, self.io.now)
                    && let Some(peer) = self.peer(index)
                {
                    let index = self.job_api.index();
                    let bytes = Frame::EndAcknowledged { job, nonce, index }.encode();
                    self.io.effects.push(Effect::Frame { peer, bytes });
                }
            }
            Frame::EndAcknowledged { job, nonce, .. } => {
                self.job_api.on_end_acknowledged(&job, nonce, &mut self.io)
            }
        }
    }

    /// The peer at this position among all members.
    fn peer(&self, index: u16) -> Option<usize> {
        let name = self.members.get(usize::from(index))?;
        self.settings.peers.iter().position(|peer| peer.node == *name)
    }
}

fn counts_frame(job: &JobId, (done, running): (u32, u32)) -> Vec<u8> {
    Frame::TaskCounts {
        job: job.clone(),
        done,
        running,
    }
    .encode()
}

/// A machine type with which placement can reckon.
fn sane(machine_type: &MachineType) -> bool {
    let amounts = [
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.cache_gb,
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
    ];
    amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
}

#[cfg(test)]
mod tests;
