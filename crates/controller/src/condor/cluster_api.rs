//! Where clusters are accepted and changed, at any node: step by step through the state
//! service, so that a node may end between any two steps.
//!
//! A cluster is recorded while it is open (`j/~<cluster>`), and the leader starts nothing of
//! it. Accepting it is one transaction, which takes the open record away. Whoever sends the
//! same submission again, to any node, goes on where the records stand.

use super::plan::{Plan, plan};
use super::{
    AcceptedCluster, AccessProof, ChangeSummary, History, HistoryJob, ProcsOutcome, SubmitRejection,
    jobs_prefix, open_key, site, without_obsolete_holds,
};
use crate::constants::{
    CLUSTER_RESPONSE_MS, CLUSTER_TXN_KEYS, CLUSTER_WRITE_SHARE, HISTORY_CLUSTERS_SHOWN,
    MAX_CLUSTER_OPERATIONS, MAX_CLUSTER_ROUNDS, MAX_TXN_BYTES, RETRY_AFTER_S, STATE_PAGE_ITEMS,
    STATE_TIMEOUT_MS, USER_WRITE_RESERVE,
};
use crate::io::{CallId, FencedDestination, Io, Method, Outcome, PendingCalls, RequestId, json};
use crate::job_api::admission::MACHINE_TYPES_UNCONFIRMED;
use crate::job_api::authorization;
use crate::model::{JobId, JobSpec, Timestamp};
use crate::protocol::{
    Change, Condition, MachineType, StoredItem, StoredPage, Transaction, TransactionResponse, paths,
};
use crate::settings::Settings;
use crate::storage::records::{self, EndedJobRecord, Ending, Record};
use crate::token_bucket::TokenBucket;
use indigopath_accounting::{Access, Entry, Owner, Team, VisibleJob, team_key_prefix};
use indigopath_condor::cluster::{
    CLUSTER_PREFIX, ClusterRecord, NEXT_CLUSTER_KEY, NextClusterRecord, OpenClusterRecord,
    SubmissionKeyRecord, cluster_key, submission_key,
};
use indigopath_condor::{Bundle, Hold, HoldReason, SubmitOrigin};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What is asked of clusters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    Submit,
    Queue,
    Change(Target, ClusterAction),
    History(Option<u64>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClusterAction {
    Hold,
    Release,
    Remove,
}

/// A cluster, or one proc of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub cluster: u64,
    pub proc: Option<u32>,
}

/// Reads `7` or `7.3`.
pub fn parse_target(text: &str) -> Option<Target> {
    let (cluster, proc) = match text.split_once('.') {
        Some((cluster, proc)) => (cluster, Some(proc.parse().ok()?)),
        None => (text, None),
    };
    let cluster = cluster
        .parse()
        .ok()
        .filter(|cluster| *cluster <= super::MAX_CLUSTER)?;
    Some(Target { cluster, proc })
}

/// What a path under `/v1/condor` asks for, or the status that refuses it.
///
/// # Errors
/// 404 or 405.
pub fn route(method: &str, path: &str) -> Result<Route, u16> {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (wanted, route) = match parts[..] {
        ["clusters"] => ("POST", Route::Submit),
        ["queue"] => ("GET", Route::Queue),
        ["history"] => ("GET", Route::History(None)),
        ["history", cluster] => {
            let target = parse_target(cluster)
                .filter(|target| target.proc.is_none())
                .ok_or(404u16)?;
            ("GET", Route::History(Some(target.cluster)))
        }
        ["clusters", target, action] => {
            let action = match action {
                "hold" => ClusterAction::Hold,
                "release" => ClusterAction::Release,
                "remove" => ClusterAction::Remove,
                _ => return Err(404),
            };
            ("POST", Route::Change(parse_target(target).ok_or(404u16)?, action))
        }
        _ => return Err(404),
    };
    if method == wanted { Ok(route) } else { Err(405) }
}

/// A step of an operation, for which a call is under way.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    ReadKey,
    /// The key's cluster is gone: given up, and cleared away.
    DropKey,
    ReadNumber,
    Allocate {
        cluster: u64,
        at_ms: u64,
    },
    ReadOpen,
    /// Another node had planned something else.
    Retake {
        at_ms: u64,
    },
    ReadStaged {
        ours: bool,
    },
    Clear,
    Stage(Vec<usize>),
    Commit,
    ReadCluster,
    ReadJobs,
    Apply(Vec<JobId>),
    Latest,
    Page,
    ReadBook,
    ReadEnded,
    ReadLive,
}

#[derive(Debug)]
struct Submit {
    bundle: Arc<Bundle>,
    digest: String,
    cluster: u64,
    plan: Option<Plan>,
    plan_digest: String,
    open_version: u64,
    at_ms: u64,
    /// Jobs that are recorded, by position.
    staged: BTreeSet<usize>,
    /// Records of another plan, to be cleared away first, with the versions read.
    foreign: Vec<(String, u64)>,
    key_version: u64,
}

#[derive(Debug)]
struct Modify {
    target: Target,
    action: ClusterAction,
    /// Who asks: another team's cluster does not exist for it.
    asks: Team,
    /// The cluster's record does not say whose it is, or names the asking team.
    known: Option<bool>,
    /// Jobs still to be changed: leave to do it, record, version.
    left: Vec<(Access, JobSpec, u64)>,
    done: u32,
    not: Vec<ProcsOutcome>,
}

#[derive(Debug)]
enum Work {
    Submit(Box<Submit>),
    Modify(Modify),
    History {
        cluster: Option<u64>,
        asks: Team,
        found: History,
    },
}

#[derive(Debug)]
struct Op {
    request: Option<RequestId>,
    /// When whoever waits is told how far it is.
    answer_at: Timestamp,
    rounds: u32,
    work: Work,
    /// A step that waits for its share of the state service's changes.
    waiting: Option<(Step, f64)>,
}

/// Operations on clusters that are under way at this node.
#[derive(Debug)]
pub struct SubmitFileService {
    ops: BTreeMap<u64, Op>,
    next: u64,
    calls: PendingCalls<(u64, Step)>,
    pace: TokenBucket,
}

/// What operations look at, beside the records.
pub struct Context<'a> {
    pub settings: &'a Settings,
    pub types: &'a [MachineType],
    /// The cloud itself has told them, and not a former leader's record.
    pub types_confirmed: bool,
}

/// How an operation goes on.
enum Next {
    Call(Step),
    /// A step that changes so many keys.
    Paced(Step, usize),
    Reply(u16, Vec<u8>),
    Error(u16, String),
    /// The state service does not do its part now.
    Later(&'static str),
    /// Others changed the same: from here again.
    Again(Step),
}

impl SubmitFileService {
    pub fn new(settings: &Settings, now: Timestamp) -> SubmitFileService {
        let rate = settings.deployment.state.write_rps * CLUSTER_WRITE_SHARE;
        let burst = CLUSTER_TXN_KEYS as f64;
        SubmitFileService {
            ops: BTreeMap::new(),
            next: 0,
            calls: PendingCalls::default(),
            pace: TokenBucket::new(rate, burst, now),
        }
    }

    /// A submission. The same one, sent again while it is worked at, waits for the same.
    pub fn submit(&mut self, request: RequestId, body: &[u8], context: &Context<'_>, io: &mut Io) {
        let bundle: Bundle = match serde_json::from_slice(body) {
            Ok(bundle) => bundle,
            Err(error) => return io.reply_error(request, 400, &error.to_string()),
        };
        if let Err(problem) = bundle.check() {
            return io.reply_error(request, 400, &problem);
        }
        if context.types.is_empty() {
            return io.reply_retry_later(request, RETRY_AFTER_S, "machine types are not known yet");
        }
        let digest = bundle.digest();
        let same = self.ops.values_mut().find_map(|op| match &op.work {
            Work::Submit(submit) if submit.bundle.key == bundle.key => {
                let same = submit.digest == digest;
                Some((op, same))
            }
            _ => None,
        });
        match same {
            Some((op, true)) => {
                if let Some(before) = op.request.replace(request) {
                    io.reply_retry_later(before, RETRY_AFTER_S, "the same submission came again");
                }
                op.answer_at = io.now + CLUSTER_RESPONSE_MS;
                return;
            }
            Some((_, false)) => return io.reply_error(request, 409, OTHER_KEY),
            None => (),
        }
        let submit = Submit {
            bundle: Arc::new(bundle),
            digest,
            cluster: 0,
            plan: None,
            plan_digest: String::new(),
            open_version: 0,
            at_ms: 0,
            staged: BTreeSet::new(),
            foreign: Vec::new(),
            key_version: 0,
        };
        self.begin(
            request,
            Work::Submit(Box::new(submit)),
            Step::ReadKey,
            context,
            io,
        );
    }

    pub fn change(
        &mut self,
        request: RequestId,
        target: Target,
        action: ClusterAction,
        asks: Team,
        context: &Context<'_>,
        io: &mut Io,
    ) {
        let work = Work::Modify(Modify {
            target,
            action,
            asks,
            known: None,
            left: Vec::new(),
            done: 0,
            not: Vec::new(),
        });
        self.begin(request, work, Step::ReadCluster, context, io);
    }

    pub fn history(
        &mut self,
        request: RequestId,
        cluster: Option<u64>,
        asks: Team,
        context: &Context<'_>,
        io: &mut Io,
    ) {
        let work = Work::History {
            cluster,
            asks,
            found: History::default(),
        };
        let first = if cluster.is_some() {
            Step::ReadCluster
        } else {
            Step::Latest
        };
        self.begin(request, work, first, context, io);
    }

    fn begin(&mut self, request: RequestId, work: Work, first: Step, context: &Context<'_>, io: &mut Io) {
        if self.ops.len() >= MAX_CLUSTER_OPERATIONS
            || !io.state_budget.try_take(1.0, USER_WRITE_RESERVE, io.now)
        {
            return io.reply_retry_later(request, RETRY_AFTER_S, "too many requests, come back later");
        }
        self.next += 1;
        let op = Op {
            request: Some(request),
            answer_at: io.now + CLUSTER_RESPONSE_MS,
            rounds: 0,
            work,
            waiting: None,
        };
        self.ops.insert(self.next, op);
        self.call(self.next, first, context, io);
    }

    /// Goes on with what waited for its share, and tells who has waited for long.
    pub fn run_due_work(&mut self, context: &Context<'_>, io: &mut Io) {
        let due: Vec<u64> = self
            .ops
            .iter()
            .filter(|(_, op)| op.waiting.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let waiting = self.ops.get_mut(&id).and_then(|op| op.waiting.take());
            if let Some((step, changes)) = waiting {
                self.paced(id, step, changes, context, io);
            }
        }
        for op in self.ops.values_mut() {
            if io.now >= op.answer_at
                && let Some(request) = op.request.take()
            {
                let text = match &op.work {
                    Work::Submit(submit) => format!(
                        "{} of {} jobs are recorded; send the same again",
                        submit.staged.len(),
                        submit.plan.as_ref().map_or(0, |plan| plan.jobs.len())
                    ),
                    _ => "it is not done yet; send the same again".to_owned(),
                };
                io.reply_retry_later(request, RETRY_AFTER_S, &text);
            }
        }
    }

    /// Whether an operation on clusters waits for this call; it goes on.
    pub fn handle_response(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        context: &Context<'_>,
        io: &mut Io,
    ) -> bool {
        let Some((id, step)) = self.calls.complete(call) else {
            return false;
        };
        let Some(op) = self.ops.get_mut(&id) else {
            return true;
        };
        let next = match &mut op.work {
            Work::Submit(submit) => submit.follow(step, outcome, context, io),
            Work::Modify(change) => change.follow(step, outcome, context),
            Work::History { cluster, asks, found } => {
                follow_history(*cluster, asks, found, &step, outcome, context)
            }
        };
        match next {
            Next::Call(step) => self.call(id, step, context, io),
            Next::Paced(step, changes) => self.paced(id, step, changes as f64, context, io),
            Next::Again(step) => {
                op.rounds += 1;
                if op.rounds > MAX_CLUSTER_ROUNDS {
                    self.end(
                        id,
                        |request, io| {
                            io.reply_retry_later(
                                request,
                                RETRY_AFTER_S,
                                "others change the same; come back later",
                            );
                        },
                        io,
                    );
                } else {
                    self.call(id, step, context, io);
                }
            }
            Next::Reply(status, body) => self.end(
                id,
                |request, io| {
                    io.reply_bytes(request, status, crate::io::ContentType::Json, body);
                },
                io,
            ),
            Next::Error(status, text) => {
                self.end(id, |request, io| io.reply_error(request, status, &text), io)
            }
            Next::Later(text) => self.end(
                id,
                |request, io| io.reply_retry_later(request, RETRY_AFTER_S, text),
                io,
            ),
        }
        true
    }

    /// Takes a step once its changes are within this node's share; until then it waits.
    fn paced(&mut self, id: u64, step: Step, changes: f64, context: &Context<'_>, io: &mut Io) {
        if self.pace.try_take(changes, 0.0, io.now) {
            self.call(id, step, context, io);
        } else if let Some(op) = self.ops.get_mut(&id) {
            op.waiting = Some((step, changes));
        }
    }

    fn end(&mut self, id: u64, tell: impl FnOnce(RequestId, &mut Io), io: &mut Io) {
        if let Some(op) = self.ops.remove(&id)
            && let Some(request) = op.request
        {
            tell(request, io);
        }
    }

    fn call(&mut self, id: u64, step: Step, context: &Context<'_>, io: &mut Io) {
        let Some(op) = self.ops.get(&id) else { return };
        let message = match &op.work {
            Work::Submit(submit) => submit.message(&step, context),
            Work::Modify(change) => change.message(&step, context, io.wall_ms),
            Work::History { cluster, asks, found } => Some(history_message(*cluster, asks, found, &step)),
        };
        let Some((method, path, body)) = message else {
            // A step without its part of the work: never planned so.
            return self.end(
                id,
                |request, io| io.reply_error(request, 503, "it cannot go on"),
                io,
            );
        };
        io.state_budget.force_take(1.0, io.now);
        let call = io.call(FencedDestination::State, method, path, body, STATE_TIMEOUT_MS);
        self.calls.insert(call, (id, step));
    }
}

const OTHER_KEY: &str = "another submission came under this key";

type Message = (Method, String, Vec<u8>);

fn get(key: &str) -> Message {
    (Method::Get, paths::key(key), Vec::new())
}

fn page(prefix: &str, after: Option<&str>) -> Message {
    (
        Method::Get,
        paths::page(prefix, after, STATE_PAGE_ITEMS),
        Vec::new(),
    )
}

fn transaction(conditions: Vec<(String, u64)>, changes: Vec<Change>) -> Message {
    let conditions = conditions
        .into_iter()
        .map(|(key, version)| Condition { key, version })
        .collect();
    let body = Transaction { conditions, changes };
    (Method::Post, paths::TRANSACTION.to_owned(), json(&body))
}

fn put(key: String, value: &impl Record) -> Change {
    Change::Put {
        key,
        value: value.to_value(),
        lease: None,
    }
}

/// Jobs that fit one transaction, if each takes so many changes.
fn batch_size(context: &Context<'_>, changes_each: usize) -> usize {
    let room = context.settings.deployment.state.txn_ops.min(CLUSTER_TXN_KEYS);
    (room / changes_each).max(1)
}

fn planned(
    bundle: &Bundle,
    cluster: u64,
    at_ms: u64,
    context: &Context<'_>,
) -> Result<Plan, SubmitRejection> {
    let operator = &context.settings.operator;
    let deployment = &context.settings.deployment;
    let condor = operator.condor.clone().unwrap_or_default();
    let site = site(deployment, context.types, &operator.counted_resources, &condor);
    plan(bundle, cluster, &site, at_ms, deployment.state.value_kb)
}

impl Submit {
    fn message(&self, step: &Step, context: &Context<'_>) -> Option<Message> {
        let open = open_key(self.cluster);
        let at_open = || (open.clone(), self.open_version);
        Some(match step {
            Step::ReadKey => get(&submission_key(&self.bundle.key)),
            Step::ReadNumber => get(NEXT_CLUSTER_KEY),
            Step::ReadOpen => get(&open),
            Step::ReadCluster => get(&cluster_key(self.cluster)),
            Step::ReadStaged { .. } => page(&jobs_prefix(records::JOB_PREFIX, self.cluster), None),
            Step::DropKey => {
                let key = submission_key(&self.bundle.key);
                let conditions = vec![
                    (key.clone(), self.key_version),
                    (open, 0),
                    (cluster_key(self.cluster), 0),
                ];
                transaction(conditions, vec![Change::Delete { key }])
            }
            Step::Allocate { cluster, at_ms } => {
                let key = submission_key(&self.bundle.key);
                let conditions = vec![(NEXT_CLUSTER_KEY.to_owned(), self.open_version), (key.clone(), 0)];
                let own = SubmissionKeyRecord {
                    cluster: *cluster,
                    digest: self.digest.clone(),
                };
                let record = OpenClusterRecord {
                    plan: self.plan_digest.clone(),
                    at_ms: *at_ms,
                    abandoned: false,
                };
                let next = NextClusterRecord { next: *cluster + 1 };
                let changes = vec![
                    put(NEXT_CLUSTER_KEY.to_owned(), &next),
                    put(key, &own),
                    put(open_key(*cluster), &record),
                ];
                transaction(conditions, changes)
            }
            Step::Retake { at_ms } => {
                let record = OpenClusterRecord {
                    plan: self.plan_digest.clone(),
                    at_ms: *at_ms,
                    abandoned: false,
                };
                transaction(vec![at_open()], vec![put(open.clone(), &record)])
            }
            Step::Clear => {
                let some = &self.foreign[..self.foreign.len().min(batch_size(context, 1))];
                let mut conditions = vec![at_open()];
                conditions.extend(some.iter().cloned());
                let changes = some.iter().map(|(key, _)| Change::Delete { key: key.clone() });
                transaction(conditions, changes.collect())
            }
            Step::Stage(positions) => {
                let jobs = &self.plan.as_ref()?.jobs;
                let mut conditions = vec![at_open()];
                let mut changes = Vec::new();
                for spec in positions.iter().filter_map(|at| jobs.get(*at)) {
                    conditions.push((records::job_key(&spec.id.0), 0));
                    conditions.push((records::ended_job_key(&spec.id.0), 0));
                    changes.push(put(records::job_key(&spec.id.0), spec));
                }
                transaction(conditions, changes)
            }
            Step::Commit => {
                let plan = self.plan.as_ref()?;
                let record = ClusterRecord {
                    cluster: self.cluster,
                    owner: self.bundle.owner.clone(),
                    file: self.bundle.file.clone(),
                    procs: plan.procs,
                    jobs: plan.jobs.len() as u32,
                    at_ms: self.at_ms,
                    teams: teams(plan),
                };
                let changes = vec![
                    Change::Delete { key: open.clone() },
                    put(cluster_key(self.cluster), &record),
                ];
                transaction(vec![at_open(), (cluster_key(self.cluster), 0)], changes)
            }
            _ => return None,
        })
    }

    /// Plans the file anew for the number and the time that hold; a refusal if it cannot be.
    fn plan(&mut self, cluster: u64, at_ms: u64, context: &Context<'_>) -> Result<(), Next> {
        let refused = |refused: SubmitRejection| match context.types_confirmed {
            // Machines that do may be among those that only the cloud can tell of.
            false if !refused.refused.is_empty() => Next::Later(MACHINE_TYPES_UNCONFIRMED),
            _ => Next::Reply(422, json(&refused)),
        };
        let plan = planned(&self.bundle, cluster, at_ms, context).map_err(refused)?;
        self.plan_digest = plan.digest();
        self.plan = Some(plan);
        self.at_ms = at_ms;
        Ok(())
    }

    fn follow(&mut self, step: Step, outcome: &Outcome, context: &Context<'_>, io: &Io) -> Next {
        const SILENT: Next = Next::Later("the state service does not answer");
        match (step, outcome.status()) {
            (Step::ReadKey, Some(404)) => Next::Call(Step::ReadNumber),
            (Step::ReadKey, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some((record, version)) = item.and_then(|item| {
                    Some((SubmissionKeyRecord::from_value(&item.value).ok()?, item.version))
                }) else {
                    return SILENT;
                };
                if record.digest != self.digest {
                    return Next::Error(409, OTHER_KEY.to_owned());
                }
                self.cluster = record.cluster;
                self.key_version = version;
                Next::Call(Step::ReadOpen)
            }
            (Step::ReadNumber, Some(200 | 404)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let (next, version) = match (&item, outcome.status()) {
                    (Some(item), _) => match NextClusterRecord::from_value(&item.value) {
                        Ok(record) => (record.next, item.version),
                        Err(_) => return SILENT,
                    },
                    (None, Some(404)) => (1, 0),
                    _ => return SILENT,
                };
                if next > super::MAX_CLUSTER {
                    return Next::Error(503, "no cluster number is left".to_owned());
                }
                let at_ms = io.wall_ms;
                if let Err(refused) = self.plan(next, at_ms, context) {
                    return refused;
                }
                self.open_version = version;
                Next::Paced(Step::Allocate { cluster: next, at_ms }, 3)
            }
            (Step::Allocate { cluster, .. }, Some(200)) => {
                let Some(answer) = outcome.read::<TransactionResponse>(&[200]) else {
                    return SILENT;
                };
                self.cluster = cluster;
                self.open_version = answer.revision;
                self.stage(context)
            }
            // Another took the number, or another node has the same submission.
            (Step::Allocate { .. } | Step::DropKey, Some(200 | 409)) => Next::Again(Step::ReadKey),
            (Step::ReadOpen, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some((record, version)) = item
                    .and_then(|item| Some((OpenClusterRecord::from_value(&item.value).ok()?, item.version)))
                else {
                    return SILENT;
                };
                if record.abandoned {
                    return Next::Later("it was left open for too long and is being cleared away");
                }
                self.open_version = version;
                if let Err(refused) = self.plan(self.cluster, record.at_ms, context) {
                    return refused;
                }
                if record.plan == self.plan_digest {
                    Next::Call(Step::ReadStaged { ours: true })
                } else {
                    Next::Paced(Step::Retake { at_ms: record.at_ms }, 1)
                }
            }
            (Step::ReadOpen, Some(404)) => Next::Call(Step::ReadCluster),
            (Step::ReadCluster, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                match item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) {
                    Some(record) => self.accepted(record.procs, record.jobs),
                    None => SILENT,
                }
            }
            (Step::ReadCluster, Some(404)) => Next::Paced(Step::DropKey, 1),
            (Step::Retake { .. }, Some(200)) => {
                let Some(answer) = outcome.read::<TransactionResponse>(&[200]) else {
                    return SILENT;
                };
                self.open_version = answer.revision;
                Next::Call(Step::ReadStaged { ours: false })
            }
            (Step::ReadStaged { ours }, Some(200)) => {
                let Some(page) = outcome.read::<StoredPage>(&[200]) else {
                    return SILENT;
                };
                self.staged.clear();
                self.foreign.clear();
                for item in page.items {
                    let position = self.plan.as_ref().and_then(|plan| {
                        plan.jobs
                            .iter()
                            .position(|spec| item.key == records::job_key(&spec.id.0))
                    });
                    match position {
                        Some(position) if ours => {
                            self.staged.insert(position);
                        }
                        _ => self.foreign.push((item.key, item.version)),
                    }
                }
                self.stage(context)
            }
            (Step::Clear, Some(200)) => {
                let done = self.foreign.len().min(batch_size(context, 1));
                self.foreign.drain(..done);
                self.stage(context)
            }
            (Step::Stage(positions), Some(200)) => {
                self.staged.extend(positions);
                self.stage(context)
            }
            (Step::Commit, Some(200)) => {
                let (procs, jobs) = self
                    .plan
                    .as_ref()
                    .map_or((0, 0), |plan| (plan.procs, plan.jobs.len() as u32));
                log::info!(
                    "cluster accepted cluster={} owner={} procs={procs} jobs={jobs}",
                    self.cluster,
                    self.bundle.owner
                );
                self.accepted(procs, jobs)
            }
            (Step::Retake { .. } | Step::Clear | Step::Stage(_) | Step::Commit, Some(409)) => {
                Next::Again(Step::ReadOpen)
            }
            _ => SILENT,
        }
    }

    /// The next thing to record.
    fn stage(&self, context: &Context<'_>) -> Next {
        if !self.foreign.is_empty() {
            return Next::Paced(Step::Clear, self.foreign.len().min(batch_size(context, 1)));
        }
        let Some(plan) = &self.plan else {
            return Next::Later("it is not planned");
        };
        let mut bytes = 0;
        let mut positions = Vec::new();
        for (at, spec) in plan.jobs.iter().enumerate() {
            if self.staged.contains(&at) {
                continue;
            }
            bytes += spec.to_text().get().len() + 256;
            if positions.len() >= batch_size(context, 1) || (bytes > MAX_TXN_BYTES && !positions.is_empty()) {
                break;
            }
            positions.push(at);
        }
        if positions.is_empty() {
            return Next::Paced(Step::Commit, 2);
        }
        let changes = positions.len();
        Next::Paced(Step::Stage(positions), changes)
    }

    fn accepted(&self, procs: u32, jobs: u32) -> Next {
        let (held, notes) = match &self.plan {
            Some(plan) => (plan.held.clone(), plan.notes.clone()),
            None => Default::default(),
        };
        Next::Reply(
            201,
            json(&AcceptedCluster {
                cluster: self.cluster,
                procs,
                jobs,
                held,
                notes,
            }),
        )
    }
}

/// Teams of a plan's jobs.
fn teams(plan: &Plan) -> Vec<String> {
    let teams: BTreeSet<&String> = plan.jobs.iter().map(|spec| &spec.team).collect();
    teams.into_iter().cloned().collect()
}

/// Whether a cluster is the asking team's too; `None` if its record does not say.
fn is_its(record: &ClusterRecord, asks: &Team, settings: &Settings) -> Option<bool> {
    let any = record
        .teams
        .iter()
        .any(|team| authorization::is_same_team(team, asks, settings));
    (!record.teams.is_empty()).then_some(any)
}

impl Modify {
    fn message(&self, step: &Step, context: &Context<'_>, wall_ms: u64) -> Option<Message> {
        Some(match step {
            Step::ReadCluster => get(&cluster_key(self.target.cluster)),
            Step::ReadJobs => page(&jobs_prefix(records::JOB_PREFIX, self.target.cluster), None),
            Step::Apply(_) => {
                let mut conditions = Vec::new();
                let mut changes = Vec::new();
                for (access, spec, version) in self.next(context) {
                    let key = records::job_key(access.job());
                    conditions.push((key.clone(), *version));
                    if self.action == ClusterAction::Remove {
                        let entry = Entry::removed(access, &authorization::ended_job(spec, wall_ms));
                        let record = EndedJobRecord::cancelled(&VisibleJob::from(access), Some(entry));
                        changes.push(Change::Delete { key });
                        changes.push(put(records::ended_job_key(&spec.id.0), &record));
                    } else {
                        changes.push(put(key, spec));
                    }
                }
                transaction(conditions, changes)
            }
            _ => return None,
        })
    }

    /// Keys that change with each job.
    fn changes_each(&self) -> usize {
        if self.action == ClusterAction::Remove {
            2
        } else {
            1
        }
    }

    /// The jobs that go into the next transaction.
    fn next(&self, context: &Context<'_>) -> &[(Access, JobSpec, u64)] {
        let mut bytes = 0;
        let most = batch_size(context, self.changes_each());
        let fitting = self.left.iter().take(most).take_while(|(_, spec, _)| {
            bytes += spec.to_text().get().len() + 256;
            bytes <= MAX_TXN_BYTES
        });
        let count = fitting.count().max(1);
        &self.left[..count.min(self.left.len())]
    }

    fn follow(&mut self, step: Step, outcome: &Outcome, context: &Context<'_>) -> Next {
        const SILENT: Next = Next::Later("the state service does not answer");
        match (step, outcome.status()) {
            (Step::ReadCluster, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some(record) = item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) else {
                    return SILENT;
                };
                self.known = is_its(&record, &self.asks, context.settings);
                if self.known == Some(false) {
                    return no_cluster(self.target.cluster);
                }
                Next::Call(Step::ReadJobs)
            }
            (Step::ReadCluster, Some(404)) => no_cluster(self.target.cluster),
            (Step::ReadJobs, Some(200)) => {
                let Some(page) = outcome.read::<StoredPage>(&[200]) else {
                    return SILENT;
                };
                self.left.clear();
                self.not.clear();
                if self.action != ClusterAction::Remove {
                    // Those that were changed before are found again, as they were asked to be.
                    self.done = 0;
                }
                let mut found_any = false;
                for item in page.items {
                    let Ok(spec) = JobSpec::from_value(&item.value) else {
                        continue;
                    };
                    // Another team's procs of the same file are not there.
                    let Ok(access) = authorization::access(&spec, &self.asks, context.settings) else {
                        continue;
                    };
                    self.known = Some(true);
                    found_any |= self.sort(access, spec, item.version, context);
                }
                if self.known.is_none() && self.done == 0 {
                    return no_cluster(self.target.cluster);
                }
                if let Some(proc) = self.target.proc.filter(|_| !found_any) {
                    return Next::Error(404, format!("{}.{proc} is not in the queue", self.target.cluster));
                }
                self.go_on(context)
            }
            (Step::Apply(changed), Some(200)) => {
                let is_done = |spec: &JobSpec| changed.contains(&spec.id);
                let procs = self.left.iter().filter(|(_, spec, _)| is_done(spec));
                self.done += procs.map(|(_, spec, _)| procs_of(spec)).sum::<u32>();
                self.left.retain(|(_, spec, _)| !is_done(spec));
                self.go_on(context)
            }
            (Step::Apply(_), Some(409)) => Next::Again(Step::ReadJobs),
            _ => SILENT,
        }
    }

    /// Puts a live job where it belongs; whether it is one that is meant.
    fn sort(&mut self, access: Access, spec: JobSpec, version: u64, context: &Context<'_>) -> bool {
        let Some(origin) = spec.condor.clone() else {
            return false;
        };
        if let Some(proc) = self.target.proc {
            if !origin.procs.contains(proc) {
                return false;
            }
            if origin.procs.count() > 1 {
                self.not.push(ProcsOutcome {
                    procs: origin.procs.text(),
                    verdict: "unchanged".to_owned(),
                    reason: format!(
                        "these procs ask for the same and are one array: name the cluster, {}, to change all",
                        origin.cluster
                    ),
                });
                return true;
            }
        }
        match self.action {
            ClusterAction::Remove => self.left.push((access, spec, version)),
            ClusterAction::Hold => {
                if origin.holds.iter().any(|hold| hold.reason == HoldReason::User) {
                    self.done += procs_of(&spec);
                    return true;
                }
                let mut origin = (*origin).clone();
                origin.holds.push(Hold {
                    reason: HoldReason::User,
                    text: "its user holds it".to_owned(),
                });
                self.left.push((access, with_origin(spec, origin), version));
            }
            ClusterAction::Release => self.release(access, spec, &origin, version, context),
        }
        true
    }

    fn release(
        &mut self,
        access: Access,
        spec: JobSpec,
        origin: &SubmitOrigin,
        version: u64,
        context: &Context<'_>,
    ) {
        // What the settings in force no longer ask for goes as well.
        let settings = context.settings;
        let default_team = settings
            .operator
            .condor
            .as_ref()
            .and_then(|condor| condor.default_team.as_deref());
        let spec = without_obsolete_holds(&spec, &settings.deployment, default_team).unwrap_or(spec);
        let mut now = spec.condor.as_deref().unwrap_or(origin).clone();
        now.holds.retain(|hold| hold.reason != HoldReason::User);
        if let Some(reason) = now.held() {
            self.not.push(ProcsOutcome {
                procs: now.procs.text(),
                verdict: "held".to_owned(),
                reason,
            });
        }
        if now.holds.len() < origin.holds.len() {
            self.left.push((access, with_origin(spec, now), version));
        } else if now.holds.is_empty() {
            self.done += procs_of(&spec);
        }
    }

    fn go_on(&self, context: &Context<'_>) -> Next {
        if self.left.is_empty() {
            let body = json(&ChangeSummary {
                cluster: self.target.cluster,
                procs: self.done,
                not: self.not.clone(),
            });
            return Next::Reply(200, body);
        }
        let ids: Vec<JobId> = self
            .next(context)
            .iter()
            .map(|(_, spec, _)| spec.id.clone())
            .collect();
        let changes = ids.len() * self.changes_each();
        Next::Paced(Step::Apply(ids), changes)
    }
}

fn with_origin(spec: JobSpec, origin: SubmitOrigin) -> JobSpec {
    JobSpec {
        condor: Some(Arc::new(origin)),
        ..spec
    }
}

fn procs_of(spec: &JobSpec) -> u32 {
    spec.condor.as_ref().map_or(0, |origin| origin.procs.count())
}

fn no_cluster(cluster: u64) -> Next {
    Next::Error(404, format!("there is no cluster {cluster}"))
}

fn history_message(cluster: Option<u64>, asks: &Team, found: &History, step: &Step) -> Message {
    let cluster = cluster.unwrap_or(0);
    match step {
        Step::Latest => get(NEXT_CLUSTER_KEY),
        Step::ReadBook => page(&team_key_prefix(asks), None),
        Step::ReadEnded => page(&jobs_prefix(records::ENDED_JOB_PREFIX, cluster), None),
        Step::ReadLive => page(&jobs_prefix(records::JOB_PREFIX, cluster), None),
        Step::Page => {
            // The number before the first that is shown; none begins the page.
            let after = found.clusters.first().map(|record| cluster_key(record.cluster));
            page(CLUSTER_PREFIX, after.as_deref())
        }
        _ => get(&cluster_key(cluster)),
    }
}

fn follow_history(
    cluster: Option<u64>,
    asks: &Team,
    found: &mut History,
    step: &Step,
    outcome: &Outcome,
    context: &Context<'_>,
) -> Next {
    const SILENT: Next = Next::Later("the state service does not answer");
    let settings = context.settings;
    match (step, outcome.status()) {
        (Step::Latest, Some(404)) => Next::Call(Step::ReadBook),
        (Step::Latest, Some(200)) => {
            let item = outcome.read::<StoredItem>(&[200]);
            let Some(next) = item.and_then(|item| NextClusterRecord::from_value(&item.value).ok()) else {
                return SILENT;
            };
            // A stand-in for where the page begins; it is replaced by what is read.
            let before = next.next.saturating_sub(1 + HISTORY_CLUSTERS_SHOWN);
            if before > 0 {
                found.clusters = vec![ClusterRecord {
                    cluster: before,
                    owner: String::new(),
                    file: String::new(),
                    procs: 0,
                    jobs: 0,
                    at_ms: 0,
                    teams: Vec::new(),
                }];
            }
            Next::Call(Step::Page)
        }
        (Step::Page, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let records = page
                    .items
                    .iter()
                    .filter_map(|item| ClusterRecord::from_value(&item.value).ok());
                found.clusters = records
                    .filter(|record| is_its(record, asks, settings) == Some(true))
                    .map(|record| of_one_team(record, asks, settings))
                    .collect();
                Next::Call(Step::ReadBook)
            }
            None => SILENT,
        },
        (Step::ReadBook, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let items: Vec<_> = page
                    .items
                    .into_iter()
                    .map(|item| (item.key, item.value))
                    .collect();
                // A page that cannot be read is the leader's to mend.
                found.book = indigopath_accounting::read_history(asks, &items).ok();
                Next::Reply(200, json(found))
            }
            None => SILENT,
        },
        (Step::ReadCluster, Some(404)) => no_cluster(cluster.unwrap_or(0)),
        (Step::ReadCluster, Some(200)) => {
            let item = outcome.read::<StoredItem>(&[200]);
            match item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) {
                Some(record) if is_its(&record, asks, settings) == Some(false) => no_cluster(record.cluster),
                Some(record) => {
                    found.clusters = vec![record];
                    Next::Call(Step::ReadLive)
                }
                None => SILENT,
            }
        }
        // Live jobs first: what ends meanwhile is seen among the ended ones, perhaps twice.
        (Step::ReadLive, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let live = page.items.iter().filter_map(|item| {
                    let spec = JobSpec::from_value(&item.value).ok()?;
                    let access = authorization::access(&spec, asks, settings).ok()?;
                    let held = spec.condor.as_ref()?.held().is_some();
                    let state = if held { "held" } else { "live" };
                    Some(history_job(&access, spec.tasks, state, None))
                });
                found.jobs = live.collect();
                Next::Call(Step::ReadEnded)
            }
            None => SILENT,
        },
        (Step::ReadEnded, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let named = found
                    .clusters
                    .first()
                    .and_then(|record| is_its(record, asks, settings));
                let ended = page.items.iter().filter_map(|item| {
                    let ended = EndedJobRecord::from_value(&item.value).ok()?;
                    let id: Arc<str> = Arc::from(item.key.strip_prefix(records::ENDED_JOB_PREFIX)?);
                    let entry = ended.entry();
                    // An earlier build did not write whose it was; its cluster may say.
                    let team = match entry {
                        Some(entry) => entry.team().name(),
                        None if named == Some(true) => asks.name(),
                        None => return None,
                    };
                    let owner =
                        Owner::from_record(&id, authorization::requesting_team(Some(team), settings).name());
                    let access = Access::for_team(&owner, asks).ok()?;
                    let state = match ended.end {
                        Ending::Done => "completed",
                        Ending::Cancelled => "removed",
                    };
                    Some(history_job(&access, ended.tasks, state, entry.cloned()))
                });
                let ended: Vec<HistoryJob> = ended.collect();
                found
                    .jobs
                    .retain(|live| ended.iter().all(|ended_job| ended_job.job != live.job));
                found.jobs.extend(ended);
                found.jobs.sort_by(|a, b| a.job.cmp(&b.job));
                let unknown = found.clusters.iter().all(|record| record.teams.is_empty());
                if unknown && found.jobs.is_empty() {
                    return no_cluster(cluster.unwrap_or(0));
                }
                let records = std::mem::take(&mut found.clusters).into_iter();
                found.clusters = records
                    .map(|record| of_one_team(record, asks, settings))
                    .collect();
                Next::Reply(200, json(found))
            }
            None => SILENT,
        },
        _ => SILENT,
    }
}

/// One job for display, to whom the gate let through to it.
fn history_job(access: &Access, tasks: u32, state: &str, entry: Option<Entry>) -> HistoryJob {
    HistoryJob {
        access_proof: AccessProof::from_access(access),
        job: access.job().to_string(),
        tasks,
        state: state.to_owned(),
        entry,
    }
}

/// A cluster's record as one of its teams may see it: the others are not named.
fn of_one_team(record: ClusterRecord, asks: &Team, settings: &Settings) -> ClusterRecord {
    let teams = record
        .teams
        .iter()
        .filter(|team| authorization::is_same_team(team, asks, settings));
    ClusterRecord {
        teams: teams.cloned().collect(),
        ..record
    }
}

#[cfg(test)]
mod tests;
