//! Accepts, changes and lists the clusters of submit files. Any node can do so: each operation is a
//! sequence of calls to the state service, and the node may crash between any two of them.
//!
//! While a cluster is being recorded it is open (`j/~<cluster>`), and the leader starts none of its
//! jobs. A single transaction accepts the cluster and deletes the open record. A submission that is
//! sent again, to any node, continues from what is recorded.

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

/// A request to the submit file API.
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

/// A cluster, or one of its procs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub cluster: u64,
    pub proc: Option<u32>,
}

/// Parses `7` (a cluster) or `7.3` (a proc).
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

/// Finds the route of a path under `/v1/condor`, or the HTTP status that rejects it.
///
/// # Errors
/// 404 for an unknown path, 405 for a wrong method.
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

/// A step of an operation: one call to the state service.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    ReadKey,
    /// Deletes a submission key whose cluster was abandoned and deleted.
    DeleteStaleKey,
    ReadNumber,
    AllocateNumber {
        cluster: u64,
        at_ms: u64,
    },
    ReadOpen,
    /// Replaces the plan of an open cluster for which another node had made a different one.
    ReplacePlan {
        at_ms: u64,
    },
    ReadStaged {
        same_plan: bool,
    },
    DeleteForeign,
    StageJobs(Vec<usize>),
    Commit,
    ReadCluster,
    ReadJobs,
    ApplyChanges(Vec<JobId>),
    ReadLastNumber,
    ReadClusters,
    ReadTeamHistory,
    ReadEnded,
    ReadLive,
}

#[derive(Debug)]
struct SubmitOperation {
    bundle: Arc<Bundle>,
    digest: String,
    cluster: u64,
    plan: Option<Plan>,
    plan_digest: String,
    open_version: u64,
    at_ms: u64,
    /// Positions in the plan of the jobs that are already recorded.
    staged: BTreeSet<usize>,
    /// Keys and versions of jobs recorded under another plan, which are deleted first.
    foreign_jobs: Vec<(String, u64)>,
    key_version: u64,
}

#[derive(Debug)]
struct ChangeOperation {
    target: Target,
    action: ClusterAction,
    /// The requesting team, to which clusters of other teams are invisible.
    requesting_team: Team,
    /// Whether the cluster belongs to the requesting team; `None` if its record does not say.
    belongs_to_requester: Option<bool>,
    /// Jobs still to be changed: access right, new record, version read.
    remaining: Vec<(Access, JobSpec, u64)>,
    procs_done: u32,
    unchanged: Vec<ProcsOutcome>,
}

#[derive(Debug)]
enum OperationKind {
    Submit(Box<SubmitOperation>),
    Change(ChangeOperation),
    History {
        cluster: Option<u64>,
        requesting_team: Team,
        history: History,
    },
}

#[derive(Debug)]
struct Operation {
    request: Option<RequestId>,
    /// Time at which the client is told to retry if the operation has not finished by then.
    response_due: Timestamp,
    conflicts: u32,
    kind: OperationKind,
    /// A step, with its number of changes, that waits for the write budget.
    throttled: Option<(Step, f64)>,
}

/// Runs this node's operations on clusters.
#[derive(Debug)]
pub struct SubmitFileService {
    operations: BTreeMap<u64, Operation>,
    last_id: u64,
    calls: PendingCalls<(u64, Step)>,
    write_budget: TokenBucket,
}

/// What operations depend on besides the stored records.
pub struct Context<'a> {
    pub settings: &'a Settings,
    pub types: &'a [MachineType],
    /// Whether the cloud has confirmed the machine types; else they come from a former leader's
    /// record.
    pub types_confirmed: bool,
}

/// What an operation does next.
enum NextAction {
    Call(Step),
    /// A step and the number of keys it changes, which count against the write budget.
    ThrottledCall(Step, usize),
    Reply(u16, Vec<u8>),
    Error(u16, String),
    /// The operation cannot go on now; the client is told to retry.
    RetryLater(&'static str),
    /// Others changed the same records: the operation restarts from this step.
    Restart(Step),
}

impl SubmitFileService {
    pub fn new(settings: &Settings, now: Timestamp) -> SubmitFileService {
        let rate = settings.deployment.state.write_rps * CLUSTER_WRITE_SHARE;
        let burst = CLUSTER_TXN_KEYS as f64;
        SubmitFileService {
            operations: BTreeMap::new(),
            last_id: 0,
            calls: PendingCalls::default(),
            write_budget: TokenBucket::new(rate, burst, now),
        }
    }

    /// Handles a submission. If the same submission is already in progress, the new request takes
    /// over its response.
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
        let same = self
            .operations
            .values_mut()
            .find_map(|operation| match &operation.kind {
                OperationKind::Submit(submit) if submit.bundle.key == bundle.key => {
                    let same = submit.digest == digest;
                    Some((operation, same))
                }
                _ => None,
            });
        match same {
            Some((operation, true)) => {
                if let Some(before) = operation.request.replace(request) {
                    io.reply_retry_later(before, RETRY_AFTER_S, "the same submission came again");
                }
                operation.response_due = io.now + CLUSTER_RESPONSE_MS;
                return;
            }
            Some((_, false)) => return io.reply_error(request, 409, KEY_REUSED),
            None => (),
        }
        let submit = SubmitOperation {
            bundle: Arc::new(bundle),
            digest,
            cluster: 0,
            plan: None,
            plan_digest: String::new(),
            open_version: 0,
            at_ms: 0,
            staged: BTreeSet::new(),
            foreign_jobs: Vec::new(),
            key_version: 0,
        };
        self.start_operation(
            request,
            OperationKind::Submit(Box::new(submit)),
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
        requesting_team: Team,
        context: &Context<'_>,
        io: &mut Io,
    ) {
        let kind = OperationKind::Change(ChangeOperation {
            target,
            action,
            requesting_team,
            belongs_to_requester: None,
            remaining: Vec::new(),
            procs_done: 0,
            unchanged: Vec::new(),
        });
        self.start_operation(request, kind, Step::ReadCluster, context, io);
    }

    pub fn history(
        &mut self,
        request: RequestId,
        cluster: Option<u64>,
        requesting_team: Team,
        context: &Context<'_>,
        io: &mut Io,
    ) {
        let kind = OperationKind::History {
            cluster,
            requesting_team,
            history: History::default(),
        };
        let first = if cluster.is_some() {
            Step::ReadCluster
        } else {
            Step::ReadLastNumber
        };
        self.start_operation(request, kind, first, context, io);
    }

    fn start_operation(
        &mut self,
        request: RequestId,
        kind: OperationKind,
        first: Step,
        context: &Context<'_>,
        io: &mut Io,
    ) {
        if self.operations.len() >= MAX_CLUSTER_OPERATIONS
            || !io.state_budget.try_take(1.0, USER_WRITE_RESERVE, io.now)
        {
            return io.reply_retry_later(request, RETRY_AFTER_S, "too many requests, come back later");
        }
        self.last_id += 1;
        let operation = Operation {
            request: Some(request),
            response_due: io.now + CLUSTER_RESPONSE_MS,
            conflicts: 0,
            kind,
            throttled: None,
        };
        self.operations.insert(self.last_id, operation);
        self.send_call(self.last_id, first, context, io);
    }

    /// Sends steps for which the write budget now suffices, and tells clients that have waited too
    /// long to retry.
    pub fn run_due_work(&mut self, context: &Context<'_>, io: &mut Io) {
        let due: Vec<u64> = self
            .operations
            .iter()
            .filter(|(_, operation)| operation.throttled.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let throttled = self
                .operations
                .get_mut(&id)
                .and_then(|operation| operation.throttled.take());
            if let Some((step, changes)) = throttled {
                self.call_throttled(id, step, changes, context, io);
            }
        }
        for operation in self.operations.values_mut() {
            if io.now >= operation.response_due
                && let Some(request) = operation.request.take()
            {
                let text = match &operation.kind {
                    OperationKind::Submit(submit) => format!(
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

    /// Handles the response to a call and continues its operation. Returns false if the call
    /// belongs to no operation on clusters.
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
        let Some(operation) = self.operations.get_mut(&id) else {
            return true;
        };
        let next_action = match &mut operation.kind {
            OperationKind::Submit(submit) => submit.handle_step_response(step, outcome, context, io),
            OperationKind::Change(change) => change.handle_step_response(step, outcome, context),
            OperationKind::History {
                cluster,
                requesting_team,
                history,
            } => handle_history_response(*cluster, requesting_team, history, &step, outcome, context),
        };
        match next_action {
            NextAction::Call(step) => self.send_call(id, step, context, io),
            NextAction::ThrottledCall(step, changes) => {
                self.call_throttled(id, step, changes as f64, context, io)
            }
            NextAction::Restart(step) => {
                operation.conflicts += 1;
                if operation.conflicts > MAX_CLUSTER_ROUNDS {
                    self.finish(
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
                    self.send_call(id, step, context, io);
                }
            }
            NextAction::Reply(status, body) => self.finish(
                id,
                |request, io| {
                    io.reply_bytes(request, status, crate::io::ContentType::Json, body);
                },
                io,
            ),
            NextAction::Error(status, text) => {
                self.finish(id, |request, io| io.reply_error(request, status, &text), io)
            }
            NextAction::RetryLater(text) => self.finish(
                id,
                |request, io| io.reply_retry_later(request, RETRY_AFTER_S, text),
                io,
            ),
        }
        true
    }

    /// Sends a step once the write budget covers its changes; until then the step waits.
    fn call_throttled(&mut self, id: u64, step: Step, changes: f64, context: &Context<'_>, io: &mut Io) {
        if self.write_budget.try_take(changes, 0.0, io.now) {
            self.send_call(id, step, context, io);
        } else if let Some(operation) = self.operations.get_mut(&id) {
            operation.throttled = Some((step, changes));
        }
    }

    fn finish(&mut self, id: u64, send_response: impl FnOnce(RequestId, &mut Io), io: &mut Io) {
        if let Some(operation) = self.operations.remove(&id)
            && let Some(request) = operation.request
        {
            send_response(request, io);
        }
    }

    fn send_call(&mut self, id: u64, step: Step, context: &Context<'_>, io: &mut Io) {
        let Some(operation) = self.operations.get(&id) else {
            return;
        };
        let state_request = match &operation.kind {
            OperationKind::Submit(submit) => submit.state_request(&step, context),
            OperationKind::Change(change) => change.state_request(&step, context, io.wall_ms),
            OperationKind::History {
                cluster,
                requesting_team,
                history,
            } => Some(history_request(*cluster, requesting_team, history, &step)),
        };
        let Some((method, path, body)) = state_request else {
            // Unreachable: the step does not belong to this kind of operation.
            return self.finish(
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

const KEY_REUSED: &str = "another submission came under this key";

type StateRequest = (Method, String, Vec<u8>);

fn get(key: &str) -> StateRequest {
    (Method::Get, paths::key(key), Vec::new())
}

fn get_page(prefix: &str, after: Option<&str>) -> StateRequest {
    (
        Method::Get,
        paths::page(prefix, after, STATE_PAGE_ITEMS),
        Vec::new(),
    )
}

fn transaction(conditions: Vec<(String, u64)>, changes: Vec<Change>) -> StateRequest {
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

/// Jobs that fit into one transaction when each needs `changes_per_job` changes.
fn batch_size(context: &Context<'_>, changes_per_job: usize) -> usize {
    let room = context.settings.deployment.state.txn_ops.min(CLUSTER_TXN_KEYS);
    (room / changes_per_job).max(1)
}

fn plan_bundle(
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

impl SubmitOperation {
    fn state_request(&self, step: &Step, context: &Context<'_>) -> Option<StateRequest> {
        let open = open_key(self.cluster);
        let at_open = || (open.clone(), self.open_version);
        Some(match step {
            Step::ReadKey => get(&submission_key(&self.bundle.key)),
            Step::ReadNumber => get(NEXT_CLUSTER_KEY),
            Step::ReadOpen => get(&open),
            Step::ReadCluster => get(&cluster_key(self.cluster)),
            Step::ReadStaged { .. } => get_page(&jobs_prefix(records::JOB_PREFIX, self.cluster), None),
            Step::DeleteStaleKey => {
                let key = submission_key(&self.bundle.key);
                let conditions = vec![
                    (key.clone(), self.key_version),
                    (open, 0),
                    (cluster_key(self.cluster), 0),
                ];
                transaction(conditions, vec![Change::Delete { key }])
            }
            Step::AllocateNumber { cluster, at_ms } => {
                let key = submission_key(&self.bundle.key);
                let conditions = vec![(NEXT_CLUSTER_KEY.to_owned(), self.open_version), (key.clone(), 0)];
                let key_record = SubmissionKeyRecord {
                    cluster: *cluster,
                    digest: self.digest.clone(),
                };
                let record = OpenClusterRecord {
                    plan: self.plan_digest.clone(),
                    at_ms: *at_ms,
                    abandoned: false,
                };
                let next_record = NextClusterRecord { next: *cluster + 1 };
                let changes = vec![
                    put(NEXT_CLUSTER_KEY.to_owned(), &next_record),
                    put(key, &key_record),
                    put(open_key(*cluster), &record),
                ];
                transaction(conditions, changes)
            }
            Step::ReplacePlan { at_ms } => {
                let record = OpenClusterRecord {
                    plan: self.plan_digest.clone(),
                    at_ms: *at_ms,
                    abandoned: false,
                };
                transaction(vec![at_open()], vec![put(open.clone(), &record)])
            }
            Step::DeleteForeign => {
                let batch = &self.foreign_jobs[..self.foreign_jobs.len().min(batch_size(context, 1))];
                let mut conditions = vec![at_open()];
                conditions.extend(batch.iter().cloned());
                let changes = batch.iter().map(|(key, _)| Change::Delete { key: key.clone() });
                transaction(conditions, changes.collect())
            }
            Step::StageJobs(positions) => {
                let jobs = &self.plan.as_ref()?.jobs;
                let mut conditions = vec![at_open()];
                let mut changes = Vec::new();
                for spec in positions.iter().filter_map(|position| jobs.get(*position)) {
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
                    teams: plan_teams(plan),
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

    /// Plans the file for the given cluster number and submission time; on failure, returns the
    /// rejection.
    fn plan(&mut self, cluster: u64, at_ms: u64, context: &Context<'_>) -> Result<(), NextAction> {
        let refused = |refused: SubmitRejection| match context.types_confirmed {
            // Suitable machines may be among types that only the cloud can confirm.
            false if !refused.refused.is_empty() => NextAction::RetryLater(MACHINE_TYPES_UNCONFIRMED),
            _ => NextAction::Reply(422, json(&refused)),
        };
        let plan = plan_bundle(&self.bundle, cluster, at_ms, context).map_err(refused)?;
        self.plan_digest = plan.digest();
        self.plan = Some(plan);
        self.at_ms = at_ms;
        Ok(())
    }

    fn handle_step_response(
        &mut self,
        step: Step,
        outcome: &Outcome,
        context: &Context<'_>,
        io: &Io,
    ) -> NextAction {
        const STATE_UNAVAILABLE: NextAction = NextAction::RetryLater("the state service does not answer");
        match (step, outcome.status()) {
            (Step::ReadKey, Some(404)) => NextAction::Call(Step::ReadNumber),
            (Step::ReadKey, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some((record, version)) = item.and_then(|item| {
                    Some((SubmissionKeyRecord::from_value(&item.value).ok()?, item.version))
                }) else {
                    return STATE_UNAVAILABLE;
                };
                if record.digest != self.digest {
                    return NextAction::Error(409, KEY_REUSED.to_owned());
                }
                self.cluster = record.cluster;
                self.key_version = version;
                NextAction::Call(Step::ReadOpen)
            }
            (Step::ReadNumber, Some(200 | 404)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let (next, version) = match (&item, outcome.status()) {
                    (Some(item), _) => match NextClusterRecord::from_value(&item.value) {
                        Ok(record) => (record.next, item.version),
                        Err(_) => return STATE_UNAVAILABLE,
                    },
                    (None, Some(404)) => (1, 0),
                    _ => return STATE_UNAVAILABLE,
                };
                if next > super::MAX_CLUSTER {
                    return NextAction::Error(503, "no cluster number is left".to_owned());
                }
                let at_ms = io.wall_ms;
                if let Err(refused) = self.plan(next, at_ms, context) {
                    return refused;
                }
                self.open_version = version;
                NextAction::ThrottledCall(Step::AllocateNumber { cluster: next, at_ms }, 3)
            }
            (Step::AllocateNumber { cluster, .. }, Some(200)) => {
                let Some(answer) = outcome.read::<TransactionResponse>(&[200]) else {
                    return STATE_UNAVAILABLE;
                };
                self.cluster = cluster;
                self.open_version = answer.revision;
                self.next_staging_step(context)
            }
            // Another submission took the number, or another node is recording the same submission.
            (Step::AllocateNumber { .. } | Step::DeleteStaleKey, Some(200 | 409)) => {
                NextAction::Restart(Step::ReadKey)
            }
            (Step::ReadOpen, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some((record, version)) = item
                    .and_then(|item| Some((OpenClusterRecord::from_value(&item.value).ok()?, item.version)))
                else {
                    return STATE_UNAVAILABLE;
                };
                if record.abandoned {
                    return NextAction::RetryLater("it was left open for too long and is being cleared away");
                }
                self.open_version = version;
                if let Err(refused) = self.plan(self.cluster, record.at_ms, context) {
                    return refused;
                }
                if record.plan == self.plan_digest {
                    NextAction::Call(Step::ReadStaged { same_plan: true })
                } else {
                    NextAction::ThrottledCall(Step::ReplacePlan { at_ms: record.at_ms }, 1)
                }
            }
            (Step::ReadOpen, Some(404)) => NextAction::Call(Step::ReadCluster),
            (Step::ReadCluster, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                match item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) {
                    Some(record) => self.accepted_response(record.procs, record.jobs),
                    None => STATE_UNAVAILABLE,
                }
            }
            (Step::ReadCluster, Some(404)) => NextAction::ThrottledCall(Step::DeleteStaleKey, 1),
            (Step::ReplacePlan { .. }, Some(200)) => {
                let Some(answer) = outcome.read::<TransactionResponse>(&[200]) else {
                    return STATE_UNAVAILABLE;
                };
                self.open_version = answer.revision;
                NextAction::Call(Step::ReadStaged { same_plan: false })
            }
            (Step::ReadStaged { same_plan }, Some(200)) => {
                let Some(page) = outcome.read::<StoredPage>(&[200]) else {
                    return STATE_UNAVAILABLE;
                };
                self.staged.clear();
                self.foreign_jobs.clear();
                for item in page.items {
                    let position = self.plan.as_ref().and_then(|plan| {
                        plan.jobs
                            .iter()
                            .position(|spec| item.key == records::job_key(&spec.id.0))
                    });
                    match position {
                        Some(position) if same_plan => {
                            self.staged.insert(position);
                        }
                        _ => self.foreign_jobs.push((item.key, item.version)),
                    }
                }
                self.next_staging_step(context)
            }
            (Step::DeleteForeign, Some(200)) => {
                let deleted = self.foreign_jobs.len().min(batch_size(context, 1));
                self.foreign_jobs.drain(..deleted);
                self.next_staging_step(context)
            }
            (Step::StageJobs(positions), Some(200)) => {
                self.staged.extend(positions);
                self.next_staging_step(context)
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
                self.accepted_response(procs, jobs)
            }
            (
                Step::ReplacePlan { .. } | Step::DeleteForeign | Step::StageJobs(_) | Step::Commit,
                Some(409),
            ) => NextAction::Restart(Step::ReadOpen),
            _ => STATE_UNAVAILABLE,
        }
    }

    /// Returns the next step of recording the plan.
    fn next_staging_step(&self, context: &Context<'_>) -> NextAction {
        if !self.foreign_jobs.is_empty() {
            return NextAction::ThrottledCall(
                Step::DeleteForeign,
                self.foreign_jobs.len().min(batch_size(context, 1)),
            );
        }
        let Some(plan) = &self.plan else {
            return NextAction::RetryLater("it is not planned");
        };
        let mut bytes = 0;
        let mut positions = Vec::new();
        for (position, spec) in plan.jobs.iter().enumerate() {
            if self.staged.contains(&position) {
                continue;
            }
            bytes += spec.to_text().get().len() + 256;
            if positions.len() >= batch_size(context, 1) || (bytes > MAX_TXN_BYTES && !positions.is_empty()) {
                break;
            }
            positions.push(position);
        }
        if positions.is_empty() {
            return NextAction::ThrottledCall(Step::Commit, 2);
        }
        let changes = positions.len();
        NextAction::ThrottledCall(Step::StageJobs(positions), changes)
    }

    fn accepted_response(&self, procs: u32, jobs: u32) -> NextAction {
        let (held, notes) = match &self.plan {
            Some(plan) => (plan.held.clone(), plan.notes.clone()),
            None => Default::default(),
        };
        NextAction::Reply(
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

/// Returns the teams of a plan's jobs, each once.
fn plan_teams(plan: &Plan) -> Vec<String> {
    let teams: BTreeSet<&String> = plan.jobs.iter().map(|spec| &spec.team).collect();
    teams.into_iter().cloned().collect()
}

/// Whether some of a cluster's jobs belong to the requesting team; `None` if its record does not
/// say.
fn belongs_to_team(record: &ClusterRecord, requesting_team: &Team, settings: &Settings) -> Option<bool> {
    let any = record
        .teams
        .iter()
        .any(|team| authorization::is_same_team(team, requesting_team, settings));
    (!record.teams.is_empty()).then_some(any)
}

impl ChangeOperation {
    fn state_request(&self, step: &Step, context: &Context<'_>, wall_ms: u64) -> Option<StateRequest> {
        Some(match step {
            Step::ReadCluster => get(&cluster_key(self.target.cluster)),
            Step::ReadJobs => get_page(&jobs_prefix(records::JOB_PREFIX, self.target.cluster), None),
            Step::ApplyChanges(_) => {
                let mut conditions = Vec::new();
                let mut changes = Vec::new();
                for (access, spec, version) in self.next_batch(context) {
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

    /// Number of keys that change with each job.
    fn changes_per_job(&self) -> usize {
        if self.action == ClusterAction::Remove {
            2
        } else {
            1
        }
    }

    /// Returns the jobs of the next transaction.
    fn next_batch(&self, context: &Context<'_>) -> &[(Access, JobSpec, u64)] {
        let mut bytes = 0;
        let most = batch_size(context, self.changes_per_job());
        let fitting = self.remaining.iter().take(most).take_while(|(_, spec, _)| {
            bytes += spec.to_text().get().len() + 256;
            bytes <= MAX_TXN_BYTES
        });
        let count = fitting.count().max(1);
        &self.remaining[..count.min(self.remaining.len())]
    }

    fn handle_step_response(&mut self, step: Step, outcome: &Outcome, context: &Context<'_>) -> NextAction {
        const STATE_UNAVAILABLE: NextAction = NextAction::RetryLater("the state service does not answer");
        match (step, outcome.status()) {
            (Step::ReadCluster, Some(200)) => {
                let item = outcome.read::<StoredItem>(&[200]);
                let Some(record) = item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) else {
                    return STATE_UNAVAILABLE;
                };
                self.belongs_to_requester = belongs_to_team(&record, &self.requesting_team, context.settings);
                if self.belongs_to_requester == Some(false) {
                    return unknown_cluster(self.target.cluster);
                }
                NextAction::Call(Step::ReadJobs)
            }
            (Step::ReadCluster, Some(404)) => unknown_cluster(self.target.cluster),
            (Step::ReadJobs, Some(200)) => {
                let Some(page) = outcome.read::<StoredPage>(&[200]) else {
                    return STATE_UNAVAILABLE;
                };
                self.remaining.clear();
                self.unchanged.clear();
                if self.action != ClusterAction::Remove {
                    // Jobs changed before a restart are read again, already in the requested state,
                    // and counted anew.
                    self.procs_done = 0;
                }
                let mut found_any = false;
                for item in page.items {
                    let Ok(spec) = JobSpec::from_value(&item.value) else {
                        continue;
                    };
                    // Other teams' procs of the same file are invisible to this team.
                    let Ok(access) = authorization::access(&spec, &self.requesting_team, context.settings)
                    else {
                        continue;
                    };
                    self.belongs_to_requester = Some(true);
                    found_any |= self.classify(access, spec, item.version, context);
                }
                if self.belongs_to_requester.is_none() && self.procs_done == 0 {
                    return unknown_cluster(self.target.cluster);
                }
                if let Some(proc) = self.target.proc.filter(|_| !found_any) {
                    return NextAction::Error(
                        404,
                        format!("{}.{proc} is not in the queue", self.target.cluster),
                    );
                }
                self.next_step(context)
            }
            (Step::ApplyChanges(changed), Some(200)) => {
                let is_done = |spec: &JobSpec| changed.contains(&spec.id);
                let procs = self.remaining.iter().filter(|(_, spec, _)| is_done(spec));
                self.procs_done += procs.map(|(_, spec, _)| proc_count(spec)).sum::<u32>();
                self.remaining.retain(|(_, spec, _)| !is_done(spec));
                self.next_step(context)
            }
            (Step::ApplyChanges(_), Some(409)) => NextAction::Restart(Step::ReadJobs),
            _ => STATE_UNAVAILABLE,
        }
    }

    /// Sorts a live job into those to be changed, those already done and those left unchanged.
    /// Returns whether the request applies to it.
    fn classify(&mut self, access: Access, spec: JobSpec, version: u64, context: &Context<'_>) -> bool {
        let Some(origin) = spec.condor.clone() else {
            return false;
        };
        if let Some(proc) = self.target.proc {
            if !origin.procs.contains(proc) {
                return false;
            }
            if origin.procs.count() > 1 {
                self.unchanged.push(ProcsOutcome {
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
            ClusterAction::Remove => self.remaining.push((access, spec, version)),
            ClusterAction::Hold => {
                if origin.holds.iter().any(|hold| hold.reason == HoldReason::User) {
                    self.procs_done += proc_count(&spec);
                    return true;
                }
                let mut origin = (*origin).clone();
                origin.holds.push(Hold {
                    reason: HoldReason::User,
                    text: "its user holds it".to_owned(),
                });
                self.remaining.push((access, with_origin(spec, origin), version));
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
        // Holds that the current settings no longer require are released as well.
        let settings = context.settings;
        let default_team = settings
            .operator
            .condor
            .as_ref()
            .and_then(|condor| condor.default_team.as_deref());
        let spec = without_obsolete_holds(&spec, &settings.deployment, default_team).unwrap_or(spec);
        let mut updated = spec.condor.as_deref().unwrap_or(origin).clone();
        updated.holds.retain(|hold| hold.reason != HoldReason::User);
        if let Some(reason) = updated.hold_text() {
            self.unchanged.push(ProcsOutcome {
                procs: updated.procs.text(),
                verdict: "held".to_owned(),
                reason,
            });
        }
        if updated.holds.len() < origin.holds.len() {
            self.remaining.push((access, with_origin(spec, updated), version));
        } else if updated.holds.is_empty() {
            self.procs_done += proc_count(&spec);
        }
    }

    fn next_step(&self, context: &Context<'_>) -> NextAction {
        if self.remaining.is_empty() {
            let body = json(&ChangeSummary {
                cluster: self.target.cluster,
                procs: self.procs_done,
                not: self.unchanged.clone(),
            });
            return NextAction::Reply(200, body);
        }
        let ids: Vec<JobId> = self
            .next_batch(context)
            .iter()
            .map(|(_, spec, _)| spec.id.clone())
            .collect();
        let changes = ids.len() * self.changes_per_job();
        NextAction::ThrottledCall(Step::ApplyChanges(ids), changes)
    }
}

fn with_origin(spec: JobSpec, origin: SubmitOrigin) -> JobSpec {
    JobSpec {
        condor: Some(Arc::new(origin)),
        ..spec
    }
}

fn proc_count(spec: &JobSpec) -> u32 {
    spec.condor.as_ref().map_or(0, |origin| origin.procs.count())
}

fn unknown_cluster(cluster: u64) -> NextAction {
    NextAction::Error(404, format!("there is no cluster {cluster}"))
}

fn history_request(
    cluster: Option<u64>,
    requesting_team: &Team,
    history: &History,
    step: &Step,
) -> StateRequest {
    let cluster = cluster.unwrap_or(0);
    match step {
        Step::ReadLastNumber => get(NEXT_CLUSTER_KEY),
        Step::ReadTeamHistory => get_page(&team_key_prefix(requesting_team), None),
        Step::ReadEnded => get_page(&jobs_prefix(records::ENDED_JOB_PREFIX, cluster), None),
        Step::ReadLive => get_page(&jobs_prefix(records::JOB_PREFIX, cluster), None),
        Step::ReadClusters => {
            // The page begins after this key; without it, at the first cluster.
            let after = history.clusters.first().map(|record| cluster_key(record.cluster));
            get_page(CLUSTER_PREFIX, after.as_deref())
        }
        _ => get(&cluster_key(cluster)),
    }
}

fn handle_history_response(
    cluster: Option<u64>,
    requesting_team: &Team,
    history: &mut History,
    step: &Step,
    outcome: &Outcome,
    context: &Context<'_>,
) -> NextAction {
    const STATE_UNAVAILABLE: NextAction = NextAction::RetryLater("the state service does not answer");
    let settings = context.settings;
    match (step, outcome.status()) {
        (Step::ReadLastNumber, Some(404)) => NextAction::Call(Step::ReadTeamHistory),
        (Step::ReadLastNumber, Some(200)) => {
            let item = outcome.read::<StoredItem>(&[200]);
            let Some(next_record) = item.and_then(|item| NextClusterRecord::from_value(&item.value).ok())
            else {
                return STATE_UNAVAILABLE;
            };
            // A placeholder that says where the page begins; the records read replace it.
            let before = next_record.next.saturating_sub(1 + HISTORY_CLUSTERS_SHOWN);
            if before > 0 {
                history.clusters = vec![ClusterRecord {
                    cluster: before,
                    owner: String::new(),
                    file: String::new(),
                    procs: 0,
                    jobs: 0,
                    at_ms: 0,
                    teams: Vec::new(),
                }];
            }
            NextAction::Call(Step::ReadClusters)
        }
        (Step::ReadClusters, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let records = page
                    .items
                    .iter()
                    .filter_map(|item| ClusterRecord::from_value(&item.value).ok());
                history.clusters = records
                    .filter(|record| belongs_to_team(record, requesting_team, settings) == Some(true))
                    .map(|record| redact_other_teams(record, requesting_team, settings))
                    .collect();
                NextAction::Call(Step::ReadTeamHistory)
            }
            None => STATE_UNAVAILABLE,
        },
        (Step::ReadTeamHistory, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let items: Vec<_> = page
                    .items
                    .into_iter()
                    .map(|item| (item.key, item.value))
                    .collect();
                // An invalid page is reported and rebuilt by the leader.
                history.book = indigopath_accounting::read_history(requesting_team, &items).ok();
                NextAction::Reply(200, json(history))
            }
            None => STATE_UNAVAILABLE,
        },
        (Step::ReadCluster, Some(404)) => unknown_cluster(cluster.unwrap_or(0)),
        (Step::ReadCluster, Some(200)) => {
            let item = outcome.read::<StoredItem>(&[200]);
            match item.and_then(|item| ClusterRecord::from_value(&item.value).ok()) {
                Some(record) if belongs_to_team(&record, requesting_team, settings) == Some(false) => {
                    unknown_cluster(record.cluster)
                }
                Some(record) => {
                    history.clusters = vec![record];
                    NextAction::Call(Step::ReadLive)
                }
                None => STATE_UNAVAILABLE,
            }
        }
        // Live jobs are read first: a job that ends in between appears among the ended ones, and
        // perhaps in both.
        (Step::ReadLive, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let live = page.items.iter().filter_map(|item| {
                    let spec = JobSpec::from_value(&item.value).ok()?;
                    let access = authorization::access(&spec, requesting_team, settings).ok()?;
                    let held = spec.condor.as_ref()?.hold_text().is_some();
                    let state = if held { "held" } else { "live" };
                    Some(history_job(&access, spec.tasks, state, None))
                });
                history.jobs = live.collect();
                NextAction::Call(Step::ReadEnded)
            }
            None => STATE_UNAVAILABLE,
        },
        (Step::ReadEnded, Some(200)) => match outcome.read::<StoredPage>(&[200]) {
            Some(page) => {
                let belongs_to_requester = history
                    .clusters
                    .first()
                    .and_then(|record| belongs_to_team(record, requesting_team, settings));
                let ended = page.items.iter().filter_map(|item| {
                    let ended = EndedJobRecord::from_value(&item.value).ok()?;
                    let id: Arc<str> = Arc::from(item.key.strip_prefix(records::ENDED_JOB_PREFIX)?);
                    let entry = ended.entry();
                    // Records of earlier builds lack the team; the cluster's record may name it.
                    let team = match entry {
                        Some(entry) => entry.team().name(),
                        None if belongs_to_requester == Some(true) => requesting_team.name(),
                        None => return None,
                    };
                    let owner =
                        Owner::from_record(&id, authorization::requesting_team(Some(team), settings).name());
                    let access = Access::for_team(&owner, requesting_team).ok()?;
                    let state = match ended.end {
                        Ending::Done => "completed",
                        Ending::Cancelled => "removed",
                    };
                    Some(history_job(&access, ended.tasks, state, entry.cloned()))
                });
                let ended: Vec<HistoryJob> = ended.collect();
                history
                    .jobs
                    .retain(|live| ended.iter().all(|ended_job| ended_job.job != live.job));
                history.jobs.extend(ended);
                history.jobs.sort_by(|a, b| a.job.cmp(&b.job));
                let unknown = history.clusters.iter().all(|record| record.teams.is_empty());
                if unknown && history.jobs.is_empty() {
                    return unknown_cluster(cluster.unwrap_or(0));
                }
                let records = std::mem::take(&mut history.clusters).into_iter();
                history.clusters = records
                    .map(|record| redact_other_teams(record, requesting_team, settings))
                    .collect();
                NextAction::Reply(200, json(history))
            }
            None => STATE_UNAVAILABLE,
        },
        _ => STATE_UNAVAILABLE,
    }
}

/// Describes one job to a requester that has access to it.
fn history_job(access: &Access, tasks: u32, state: &str, entry: Option<Entry>) -> HistoryJob {
    HistoryJob {
        access_proof: AccessProof::from_access(access),
        job: access.job().to_string(),
        tasks,
        state: state.to_owned(),
        entry,
    }
}

/// Removes the names of other teams from a cluster's record.
fn redact_other_teams(record: ClusterRecord, requesting_team: &Team, settings: &Settings) -> ClusterRecord {
    let teams = record
        .teams
        .iter()
        .filter(|team| authorization::is_same_team(team, requesting_team, settings));
    ClusterRecord {
        teams: teams.cloned().collect(),
        ..record
    }
}

#[cfg(test)]
mod tests;
