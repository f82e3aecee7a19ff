//! A deterministic simulation of a site in simulated time: real controllers with models of the state
//! service, the cloud, workers and users. The rules of the protocol are checked throughout. A
//! scenario gives the same run every time.

use crate::accounting_checks::{self, AccountingCheck};
use crate::admission_checks::AdmissionChecks;
use crate::cloud::Cloud;
use crate::count_checks::COUNT_CHECK_INTERVAL_MS;
use crate::effect_digest::EffectDigest;
use crate::fault_combinations::FaultCombinations;
use crate::job_stream::JobStream;
use crate::licence_server::{ClientState, Feature, LicenceServer};
use crate::response_checks::ResponseChecks;
use crate::state::{Reply, StateService};
use crate::waiting_checks::WaitingChecks;
use crate::window_checks::WindowChecks;
use crate::worker::{self, GANG_PEER_MS, Worker};
use indigopath_controller::constants::RETRY_AFTER_S;
use indigopath_controller::io::{CallId, Destination, Effect, Outcome, RequestId, SendCondition};
use indigopath_controller::node::{Command, Node};
use indigopath_controller::peers::Frame;
use indigopath_controller::protocol::{
    Change, LaunchRequest, MachineNames, MachineTypeList, TaskState, Transaction,
};
use indigopath_controller::settings::{OperatorSettings, Peer, Settings};
use indigopath_controller::storage::records::{Record, ShardRecord};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Resolution of simulated time, in ms.
const STEP_MS: u64 = 10;
/// One-way network latency, in ms.
const NETWORK_LATENCY_MS: u64 = 5;
pub(crate) const NODE_RESTART_MS: u64 = 4_000;
const MAX_CANCEL_MS: u64 = 50_000;
pub(crate) const NODES: usize = 3;

/// Age from which a job counts as due for service, in ms: the time of a boot and an image fetch.
const MIN_SERVED_JOB_AGE_MS: u64 = 60_000;
/// How long a user waits for the response to a poll, in ms.
const USER_POLL_TIMEOUT_MS: u64 = 2_000;
/// Interval at which users poll each accepted job, in ms.
const USER_POLL_INTERVAL_MS: u64 = 5_000;
/// Interval at which the teams' accounting is compared with the job records, in ms.
const ACCOUNTING_CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval at which running replicas are counted, in ms.
const REPLICA_COUNT_INTERVAL_MS: u64 = 200;

/// What the simulation observes of a job, independently of any controller.
#[derive(Debug, Clone, Default)]
pub struct ObservedJob {
    pub body: Value,
    pub shape: String,
    pub team: String,
    pub tasks: u32,
    pub gpus: f64,
    pub run_s: f64,
    pub checkpoint_interval_s: f64,
    pub checkpoint_save_s: f64,
    pub image: String,
    pub image_gb: f64,
    pub completed_tasks: BTreeSet<u32>,
    pub checkpointed_s: f64,
    /// The job has an error of its own and fails on every machine.
    pub always_fails: bool,
    /// Licence units that each task checks out, by counted resource.
    pub counted_units: BTreeMap<String, u32>,
    pub accepted: bool,
    /// When its user first learned of the acceptance, and when a request about it was last answered.
    pub accepted_at: Option<u64>,
    pub last_answered_at: Option<u64>,
    /// When it first ran: all tasks of a gang together, all replicas of a service.
    pub started_at: Option<u64>,
    pub cancel_requested: bool,
    pub reported_status: Option<String>,
    pub cancel_confirmed_at: Option<u64>,
    pub completion_reported_at: Option<u64>,
    pub task_starts: u32,
    pub class: String,
    /// When its user submitted it, and when its user asked to cancel it.
    pub submitted_at: Option<u64>,
    pub cancel_requested_at: Option<u64>,
    /// Rejected because it can never run.
    pub rejected: bool,
    /// Tasks that ever started on a machine; for a gang, all tasks once it has run.
    pub started_tasks: BTreeSet<u32>,
    /// Replica time since the job was due for service, in ms: delivered, and wanted.
    pub replica_up_ms: u64,
    pub replica_wanted_ms: u64,
    /// For a job of a submit file: its job record, and its cluster number.
    pub spec: Option<Value>,
    pub cluster: Option<u64>,
}

impl ObservedJob {
    /// Records that the user asks to cancel the job from this time on.
    pub(crate) fn request_cancel(&mut self, at: u64) {
        self.cancel_requested = true;
        self.cancel_requested_at.get_or_insert(at);
    }
}

/// A submit file that a user sends until a node answers it.
#[derive(Debug, Clone)]
pub struct SubmittedFile {
    pub body: Vec<u8>,
    pub next_attempt_at: u64,
    pub nodes: Vec<usize>,
    /// Status and body of the final response.
    pub response: Option<(u16, Value)>,
}

/// A controller's call to another system.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
    pub(crate) call: CallId,
    pub(crate) to: Destination,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
    /// A repetition of a call that was already executed.
    pub(crate) is_duplicate: bool,
}

/// An event in the queue, delivered at its time.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Call(Call),
    Response {
        node: usize,
        incarnation: u32,
        call: CallId,
        outcome: Outcome,
    },
    Heartbeat {
        worker: String,
        agent_epoch: u64,
        number: u64,
        node: usize,
        body: Vec<u8>,
    },
    HeartbeatResponse {
        worker: String,
        agent_epoch: u64,
        number: u64,
        outcome: Option<(u16, Vec<u8>)>,
    },
    Frame {
        to: usize,
        bytes: Vec<u8>,
    },
    User {
        node: usize,
        job: String,
        kind: UserRequest,
    },
    /// Delivers a message to this node a second time.
    Duplicate {
        to: usize,
        command: Command,
    },
}

/// Messages of one kind that are delivered and answered a second time.
#[derive(Debug, Clone)]
pub(crate) struct DuplicateDelivery {
    /// A path, a suffix of a path (`/withdraw`), or `frames`.
    pub(crate) kind: String,
    pub(crate) delay_ms: u64,
    pub(crate) until: u64,
}

impl DuplicateDelivery {
    fn matches(&self, path: &str) -> bool {
        let holds = self.kind == "/holds" && path.starts_with("/holds/");
        path == self.kind || holds || path != "/rentals/return" && path.ends_with(&self.kind)
    }
}

/// A user's request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum UserRequest {
    Submit,
    Poll,
    Cancel,
    /// A request whose response must have this status.
    Probe {
        method: &'static str,
        path: String,
        body: Vec<u8>,
        status: u16,
    },
    /// A submit file, identified by its name in the scenario.
    SubmitFile,
}

impl UserRequest {
    /// A submission whose response must have this status; 0 accepts any.
    pub(crate) fn submission(body: &Value, status: u16) -> UserRequest {
        UserRequest::Probe {
            method: "POST",
            path: "/v1/jobs".to_owned(),
            body: body.to_string().into_bytes(),
            status,
        }
    }
}

/// Who receives a node's reply.
#[derive(Debug, Clone)]
pub(crate) enum ReplyRecipient {
    Worker {
        id: String,
        agent_epoch: u64,
        number: u64,
    },
    User {
        job: String,
        kind: UserRequest,
        at: u64,
    },
}

/// A controller process and its queues.
pub(crate) struct Controller {
    pub(crate) node: Option<Node>,
    pub(crate) incarnation: u32,
    pub(crate) restart_at: u64,
    pub(crate) pending_requests: HashMap<RequestId, ReplyRecipient>,
    pub(crate) next_request: u64,
    pub(crate) frozen_until: u64,
    /// Everything that it sends is held back until then.
    pub(crate) stalled_until: u64,
    pub(crate) outbox: Vec<Effect>,
    pub(crate) inbox: Vec<Command>,
}

/// A watch that waits for changes.
pub(crate) struct PendingWatch {
    pub(crate) node: usize,
    pub(crate) incarnation: u32,
    pub(crate) call: CallId,
    pub(crate) prefix: String,
    pub(crate) after: u64,
    pub(crate) until: u64,
    /// Additional delay of its response.
    pub(crate) response_delay_ms: u64,
}

/// What happens to messages across a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NetworkCut {
    /// Messages are lost.
    Drop,
    /// Messages are delivered once the cut ends.
    Hold,
}

/// A fault that lasts for some time and affects a share of all messages of its kind.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// This share of transactions is executed late, after newer ones, and the response is lost.
    LateWrites { share: f64 },
    /// This share of transactions is executed at once, and the response is lost.
    LostWriteResponses { share: f64 },
    /// For this share of heartbeats, a copy arrives late.
    LateHeartbeats { share: f64 },
    /// This share of calls to the state service is slower by this factor.
    SlowState { share: f64, times: f64 },
    /// Messages to these machines are lost; messages from them arrive.
    DropInbound {
        machines: BTreeSet<String>,
        zone: Option<String>,
    },
    /// Heartbeats of these machines are lost; direct commands reach them and are answered.
    DropHeartbeats {
        machines: BTreeSet<String>,
        zone: Option<String>,
    },
    /// For this share of heartbeats, a copy is kept and delivered to the next leader.
    HeartbeatsForNextLeader { share: f64, after_ms: u64 },
    /// This share of the jobs that complete is cancelled around the moment of completion.
    CancelNearCompletion { share: f64 },
    /// A node reaches neither the state service nor its peers. The service refuses its calls, or
    /// does not respond if `silent`.
    IsolateNode { node: usize, silent: bool },
}

/// Delay of late transactions and late heartbeats, in ms: the bounds that the platform states, where
/// "well over a lease" is one and a half leases.
const LATE_WRITE_DELAY_MS: (f64, f64) = (2_000.0, 12_000.0);
const LATE_HEARTBEAT_DELAY_MS: (f64, f64) = (2_000.0, 45_000.0);

/// A fault of the next matching call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum MessageFault {
    /// The call is executed, but its response is lost.
    LoseResponse { path: String },
    /// The call is executed this many ms later, without a response.
    Delay { path: String, by_ms: u64 },
}

/// The next node that makes this call to the state service crashes with it.
#[derive(Debug, Clone)]
pub(crate) struct CrashOn {
    pub(crate) call: ElectionCall,
    pub(crate) executed: bool,
    /// Time until the node restarts, in ms.
    pub(crate) restart_ms: u64,
}

/// Calls of a leader election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ElectionCall {
    Lease,
    Claim,
    Renew,
    /// Reading a page of the records.
    ReadRecords,
}

impl ElectionCall {
    fn matches(self, method: &str, path: &str, body: &[u8]) -> bool {
        match self {
            ElectionCall::Lease => method == "POST" && path == "/holds",
            ElectionCall::Renew => path.ends_with("/touch"),
            // Followers also read the leader's key as a page.
            ElectionCall::ReadRecords => {
                path.starts_with("/store?") && !path.starts_with("/store?Under=leader")
            }
            ElectionCall::Claim => {
                let transaction = serde_json::from_slice::<Transaction>(body);
                path == "/multi"
                    && transaction.is_ok_and(|transaction| {
                        let conditions = &transaction.conditions;
                        conditions
                            .iter()
                            .any(|condition| condition.key == "leader" && condition.version == 0)
                    })
            }
        }
    }
}

/// What happens to one operation of a leader instead of its regular execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deviation {
    /// Executed; the response is lost.
    LoseResponse,
    /// Never executed, and there is no response.
    LoseRequest,
    /// Executed 12 s later, when its sender has given up.
    Delay,
    /// Its sender crashes before it is executed.
    CrashBefore,
    /// Its sender crashes once it is executed.
    CrashAfter,
    /// The state service refuses its sender from now on, for longer than a lease.
    RefuseSender,
}

impl Deviation {
    pub const ALL: [Deviation; 6] = [
        Deviation::LoseResponse,
        Deviation::LoseRequest,
        Deviation::Delay,
        Deviation::CrashBefore,
        Deviation::CrashAfter,
        Deviation::RefuseSender,
    ];
}

/// Counts the operations of leaders and makes some of them deviate.
#[derive(Debug, Clone, Default)]
pub struct DeviationPlan {
    /// By the number of the operation, counted from 0.
    pub deviations: BTreeMap<usize, Deviation>,
    /// Operations so far.
    pub leader_operations: usize,
}

/// Delay of a delayed operation, in ms.
const DEVIATION_DELAY_MS: u64 = 12_000;
/// How long the state service refuses the sender, in ms.
const DEVIATION_REFUSAL_MS: u64 = 8_000;

/// The simulated site and the observations of the checks.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) next_event_number: u64,
    pub(crate) nodes: Vec<Controller>,
    pub(crate) state: StateService,
    pub(crate) refused_until: BTreeMap<usize, u64>,
    pub(crate) cloud: Cloud,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) jobs: BTreeMap<String, ObservedJob>,
    pub(crate) watches: Vec<PendingWatch>,
    pub(crate) cuts: Vec<(String, String, NetworkCut)>,
    pub(crate) held_events: Vec<Event>,
    pub(crate) message_faults: Vec<MessageFault>,
    pub(crate) duplicate_deliveries: Vec<DuplicateDelivery>,
    /// Faults, each with its end time.
    pub(crate) faults: Vec<(u64, Fault)>,
    /// Messages that faults affected.
    pub(crate) affected_messages: u32,
    /// Random numbers drawn so far.
    draws: u64,
    /// Duplicates that arrived.
    pub(crate) duplicates_delivered: u32,
    pub(crate) next_user_request_at: BTreeMap<String, u64>,
    pub(crate) user_turn: usize,
    pub(crate) probe_responses: Vec<(String, u16)>,
    pub(crate) violations: Vec<String>,
    pub(crate) refused_responses: u32,
    /// When there last was a leader, and the longest time without one since then, in ms.
    last_led_at: Option<u64>,
    pub(crate) longest_leaderless_ms: u64,
    /// Tasks that waited for an image fetch.
    pub(crate) tasks_awaiting_fetch: u32,
    /// Image fetches that machines started.
    pub(crate) fetches_started: u32,
    /// Concurrent fetches share a machine's bandwidth.
    pub(crate) fetches_share_rate: bool,
    /// Calls dropped because their permits had expired.
    pub(crate) expired_permits: u32,
    pub(crate) deviation_plan: Option<DeviationPlan>,
    /// Cloud operations of a replaced leader that took effect although no record tells its successor
    /// of them.
    pub(crate) unrecorded_operations: u32,
    /// Warnings to operators.
    pub(crate) warnings: Vec<String>,
    /// GPU limit of each team, overriding the settings.
    pub(crate) gpus_max: Option<f64>,
    /// Largest value of the key-value store, in KB, overriding the settings.
    pub(crate) max_value_kb: Option<f64>,
    /// The operators' settings, which nodes read when they start.
    pub(crate) operator: OperatorSettings,
    pub(crate) licences: LicenceServer,
    pub(crate) call_statistics: CallStatistics,
    /// Protection windows and how they were kept.
    pub(crate) window_checks: WindowChecks,
    /// The node that makes a certain call about clusters crashes with it: the number of calls before
    /// that one, and whether it is executed.
    pub(crate) crash_at_cluster_call: Option<(u32, bool)>,
    /// Crashes still to come, in this order.
    pub(crate) crashes_on_call: VecDeque<CrashOn>,
    /// When a fault last kept users from being answered.
    pub(crate) last_control_plane_fault_at: u64,
    /// Submit files that users sent, by name.
    pub(crate) submitted_files: BTreeMap<String, SubmittedFile>,
    /// How long tasks of submit files run, in s.
    pub(crate) condor_run_s: f64,
    pub(crate) accounting_check: AccountingCheck,
    pub(crate) streams: Vec<JobStream>,
    pub(crate) admission_checks: AdmissionChecks,
    pub(crate) waiting_checks: WaitingChecks,
    pub(crate) response_checks: ResponseChecks,
    pub(crate) fault_combinations: FaultCombinations,
    /// Digest of everything that the controllers sent.
    pub(crate) effect_digest: EffectDigest,
}

/// Counts the controllers' calls, for rates that must stay small however large the fleet is.
#[derive(Debug, Default)]
pub(crate) struct CallStatistics {
    /// By destination: the times of the calls of the last second, and the most calls in any second.
    pub(crate) last_second: BTreeMap<&'static str, (VecDeque<u64>, usize)>,
    pub(crate) total: BTreeMap<&'static str, usize>,
}

impl CallStatistics {
    fn record(&mut self, kind: &'static str, count: usize, now: u64) {
        *self.total.entry(kind).or_default() += count;
        let (times, most) = self.last_second.entry(kind).or_default();
        times.extend(std::iter::repeat_n(now, count));
        while times.front().is_some_and(|at| *at + 1_000 <= now) {
            times.pop_front();
        }
        *most = (*most).max(times.len());
    }

    pub(crate) fn peak_per_second(&self, kind: &str) -> usize {
        self.last_second.get(kind).map_or(0, |(_, most)| *most)
    }
}

/// Settings that a scenario overrides.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SettingOverrides {
    /// GPU limit of each team.
    pub(crate) gpus_max: Option<f64>,
    /// Bound on clock skew, in ms.
    pub(crate) max_clock_skew_ms: Option<f64>,
    /// Largest value of the key-value store, in KB.
    pub(crate) max_value_kb: Option<f64>,
}

impl Simulation {
    #[cfg(test)]
    pub(crate) fn new(gpus_max: Option<f64>, operator: OperatorSettings) -> Simulation {
        let overrides = SettingOverrides {
            gpus_max,
            ..SettingOverrides::default()
        };
        Simulation::with_settings(overrides, operator)
    }

    /// Creates a simulation whose controllers have these settings.
    pub(crate) fn with_settings(overrides: SettingOverrides, operator: OperatorSettings) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            queue: BTreeMap::new(),
            next_event_number: 0,
            nodes: Vec::new(),
            state: StateService::default(),
            refused_until: BTreeMap::new(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            watches: Vec::new(),
            cuts: Vec::new(),
            held_events: Vec::new(),
            message_faults: Vec::new(),
            duplicate_deliveries: Vec::new(),
            faults: Vec::new(),
            affected_messages: 0,
            draws: 0,
            duplicates_delivered: 0,
            next_user_request_at: BTreeMap::new(),
            user_turn: 0,
            probe_responses: Vec::new(),
            violations: Vec::new(),
            refused_responses: 0,
            last_led_at: None,
            longest_leaderless_ms: 0,
            tasks_awaiting_fetch: 0,
            fetches_started: 0,
            fetches_share_rate: false,
            expired_permits: 0,
            deviation_plan: None,
            unrecorded_operations: 0,
            warnings: Vec::new(),
            max_value_kb: overrides.max_value_kb,
            gpus_max: overrides.gpus_max,
            licences: LicenceServer::default(),
            operator,
            call_statistics: CallStatistics::default(),
            window_checks: WindowChecks::new(overrides.max_clock_skew_ms),
            crash_at_cluster_call: None,
            crashes_on_call: VecDeque::new(),
            last_control_plane_fault_at: 0,
            submitted_files: BTreeMap::new(),
            condor_run_s: 10.0,
            accounting_check: AccountingCheck::default(),
            streams: Vec::new(),
            admission_checks: AdmissionChecks::default(),
            waiting_checks: WaitingChecks::default(),
            response_checks: ResponseChecks::default(),
            fault_combinations: FaultCombinations::default(),
            effect_digest: EffectDigest::default(),
        };
        for (name, definition) in &simulation.operator.counted_resources {
            let feature = Feature::new(definition.units, (definition.linger_s * 1000.0) as u64);
            simulation.licences.features.insert(name.to_string(), feature);
        }
        let flavors: MachineTypeList =
            serde_json::from_str(include_str!("../../controller/tests/support/flavors.json")).unwrap();
        simulation.cloud.types = flavors.types;
        for index in 0..NODES {
            simulation.nodes.push(Controller {
                node: None,
                incarnation: 0,
                restart_at: 0,
                pending_requests: HashMap::new(),
                next_request: 0,
                frozen_until: 0,
                stalled_until: 0,
                outbox: Vec::new(),
                inbox: Vec::new(),
            });
            simulation.start_node(index);
        }
        simulation
    }

    fn start_node(&mut self, index: usize) {
        let mut settings =
            Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let mut peers: Vec<Peer> = settings.peers.clone();
        peers.push(Peer {
            node: "n0".to_owned(),
            addr: settings.peer_listen,
        });
        settings.node = format!("n{index}");
        peers.retain(|peer| peer.node != settings.node);
        peers.sort_by(|a, b| a.node.cmp(&b.node));
        settings.peers = peers;
        if let Some(gpu_limit) = self.gpus_max {
            for team in &mut settings.deployment.teams {
                team.gpus = gpu_limit / 2.0;
                team.gpus_max = gpu_limit;
            }
        }
        if let Some(value_kb) = self.max_value_kb {
            settings.deployment.state.value_kb = value_kb;
        }
        if let Some(skew_ms) = self.window_checks.max_clock_skew_ms {
            settings.deployment.clock_skew_ms = skew_ms;
        }
        let settings = settings.with_operator(self.operator.clone()).unwrap();
        if self.window_checks.timetable.is_empty() {
            // The scenario's own timetable; later changes concern the nodes alone.
            self.window_checks.timetable = settings.protection_windows.clone();
        }
        let (now, wall) = (self.now, self.node_wall_clock(index));
        let controller = &mut self.nodes[index];
        controller.incarnation += 1;
        controller.pending_requests.clear();
        controller.inbox.clear();
        controller.outbox.clear();
        controller.stalled_until = 0;
        let seed = index as u64 + 100 * u64::from(controller.incarnation);
        controller.node = Some(Node::new(settings, seed, now, wall));
    }

    /// The true wall-clock time, in ms since 1970: a scenario begins at 22:13:20 UTC on a Tuesday.
    pub(crate) fn wall_clock(&self) -> u64 {
        1_700_000_000_000 + self.now
    }

    /// The wall-clock time by a node's own clock.
    fn node_wall_clock(&self, index: usize) -> u64 {
        self.wall_clock()
            .saturating_add_signed(self.window_checks.clock_offsets_ms[index])
    }

    /// The node with the newest leader token, if any.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..NODES)
            .filter(|index| {
                self.nodes[*index]
                    .node
                    .as_ref()
                    .is_some_and(|node| node.token().is_some())
            })
            .max_by_key(|index| self.nodes[*index].node.as_ref().and_then(Node::token))
    }

    /// Records a violation of a rule; only the first five are kept.
    pub(crate) fn violation(&mut self, rule: &str, what: impl std::fmt::Display) {
        let line = format!("{rule} at {:.2} s: {what}", self.now as f64 / 1000.0);
        if !self.violations.contains(&line) && self.violations.len() < 5 {
            self.violations.push(line);
        }
    }

    // ---- lasting faults ------------------------------------------------------

    /// The next pseudorandom number in [0, 1), the same in each run (splitmix64).
    pub(crate) fn draw(&mut self) -> f64 {
        self.draws += 1;
        let mut bits = self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn draw_ms(&mut self, (least, most): (f64, f64)) -> u64 {
        (least + (most - least) * self.draw()) as u64
    }

    pub(crate) fn active_faults(&self) -> impl Iterator<Item = &Fault> {
        let now = self.now;
        let lasting = self.faults.iter().filter(move |(until, _)| now < *until);
        lasting.map(|(_, fault)| fault)
    }

    /// Whether this message is in the share that an active fault affects.
    fn affects_message(&mut self, share: impl Fn(&Fault) -> Option<f64>) -> bool {
        let Some(share) = self.active_faults().find_map(share) else {
            return false;
        };
        let strikes = self.draw() < share;
        self.affected_messages += u32::from(strikes);
        strikes
    }

    /// Additional delay of this call to the state service, in ms.
    fn state_delay_ms(&mut self) -> u64 {
        let slow = |fault: &Fault| match fault {
            Fault::SlowState { share, times } => Some((*share, *times)),
            _ => None,
        };
        let Some((_, times)) = self.active_faults().find_map(slow) else {
            return 0;
        };
        if !self.affects_message(|fault| slow(fault).map(|(share, _)| share)) {
            return 0;
        }
        let usual_ms = 2.0 * NETWORK_LATENCY_MS as f64;
        self.draw_ms((usual_ms * times, 2.0 * usual_ms * times))
    }

    /// Whether an active fault drops messages from one host to another.
    fn is_dropped(&self, from: &str, to: &str) -> bool {
        self.active_faults().any(|fault| match fault {
            Fault::DropInbound { machines, zone } => {
                let in_zone = self
                    .workers
                    .get(to)
                    .is_some_and(|worker| Some(&worker.zone) == zone.as_ref());
                in_zone || machines.contains(to)
            }
            Fault::IsolateNode { node, silent } => {
                let name = format!("n{node}");
                let other = if from == name { to } else { from };
                (from == name || to == name) && (other.starts_with('n') || *silent && other == "state")
            }
            _ => false,
        })
    }

    /// Whether the state service refuses this node's calls.
    pub(crate) fn state_refuses(&self, node: usize) -> bool {
        let cut = |fault: &Fault| matches!(fault, Fault::IsolateNode { node: cut, .. } if *cut == node);
        self.refused_until
            .get(&node)
            .is_some_and(|until| self.now < *until)
            || self.active_faults().any(cut)
    }

    /// Whether an active fault keeps nodes from the state service or from each other.
    pub(crate) fn has_node_fault(&self) -> bool {
        let affects_machines = |fault: &Fault| {
            let late_heartbeats = matches!(
                fault,
                Fault::LateHeartbeats { .. } | Fault::HeartbeatsForNextLeader { .. }
            );
            let one_way = matches!(fault, Fault::DropInbound { .. } | Fault::DropHeartbeats { .. });
            late_heartbeats || one_way || matches!(fault, Fault::CancelNearCompletion { .. })
        };
        self.active_faults().any(|fault| !affects_machines(fault))
    }

    // ---- the network ---------------------------------------------------------

    pub(crate) fn schedule(&mut self, after: u64, event: Event) {
        self.next_event_number += 1;
        self.queue
            .insert((self.now + after, self.next_event_number), event);
    }

    /// Sends an event between two hosts, subject to the current network cuts.
    pub(crate) fn send(&mut self, from: &str, to: &str, event: Event) {
        if self.is_dropped(from, to) || self.drops_heartbeat(&event) {
            self.affected_messages += 1;
            return;
        }
        let matches = |pattern: &str, host: &str| {
            let in_zone = |zone: &str| self.workers.get(host).is_some_and(|worker| worker.zone == zone);
            pattern == "*"
                || pattern == host
                || (pattern == "workers" && host.starts_with("m-"))
                || pattern.strip_prefix("zone:").is_some_and(in_zone)
        };
        let cut = self
            .cuts
            .iter()
            .find(|(a, b, _)| {
                (matches(a, from) && matches(b, to))
                    || (matches(b, from) && matches(a, to))
                    || self.crosses_area(a, from, to)
            })
            .map(|(_, _, cut)| *cut);
        match cut {
            None => self.schedule(NETWORK_LATENCY_MS, event),
            Some(NetworkCut::Hold) => self.held_events.push(event),
            Some(NetworkCut::Drop) => (),
        }
    }

    /// Ends all cuts and delivers the messages that they held back.
    pub(crate) fn heal_cuts(&mut self) {
        self.cuts.clear();
        for event in std::mem::take(&mut self.held_events) {
            self.schedule(NETWORK_LATENCY_MS, event);
        }
    }

    // ---- one step ------------------------------------------------------------

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        self.state.expire_leases(self.now);
        for index in 0..NODES {
            if self.nodes[index].node.is_none() && self.now >= self.nodes[index].restart_at {
                self.start_node(index);
            }
        }
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let event = entry.remove();
            self.deliver(event);
        }
        self.step_machines();
        self.step_licences();
        self.step_watches();
        self.step_streams();
        self.step_users();
        self.step_unusual_requests();
        for index in 0..NODES {
            self.step_node(index);
        }
        if self.leader().is_some() {
            let led_at = self.last_led_at.replace(self.now).unwrap_or(self.now);
            self.longest_leaderless_ms = self.longest_leaderless_ms.max(self.now - led_at);
        }
        if self.now.is_multiple_of(REPLICA_COUNT_INTERVAL_MS) {
            self.record_replica_uptime();
            self.record_protected_uptime(REPLICA_COUNT_INTERVAL_MS);
        }
        if self.now.is_multiple_of(COUNT_CHECK_INTERVAL_MS) && !self.licences.features.is_empty() {
            self.check_counts();
        }
        if self.now.is_multiple_of(ACCOUNTING_CHECK_INTERVAL_MS) && !self.accounting_check.modified_externally
        {
            self.check_accounting();
        }
        self.step_fault_combinations();
        self.check_protected_stops();
        // Checking thousands of tasks is slow, and no violation lasts only 10 ms.
        if self.workers.len() < 200 || self.now.is_multiple_of(200) {
            self.check_invariants();
        }
        self.check_unanswered_jobs();
        self.check_waiting();
    }

    fn step_node(&mut self, index: usize) {
        let (now, wall) = (self.now, self.node_wall_clock(index));
        let controller = &mut self.nodes[index];
        if now < controller.frozen_until {
            return;
        }
        let inbox = std::mem::take(&mut controller.inbox);
        let incarnation = controller.incarnation;
        let Some(node) = &mut controller.node else { return };
        node.set_time(now, wall);
        for command in inbox {
            node.handle(command);
        }
        node.run_due_work();
        let effects = node.take_effects();
        self.effect_digest.record(now, index, &effects);
        // A stalled node has decided, but nothing that it sends goes out yet.
        if now < controller.stalled_until {
            controller.outbox.extend(effects);
            return;
        }
        let mut outbox = std::mem::take(&mut controller.outbox);
        outbox.extend(effects);
        let effects = outbox;
        let name = format!("n{index}");
        for effect in effects {
            match effect {
                Effect::Reply {
                    request,
                    status,
                    body,
                    retry_after_s,
                    until,
                    ..
                } => {
                    // The event loop checks the same when the bytes go out.
                    let late = until.is_some_and(|until| now >= until);
                    let (status, retry_after_s, body) = if late {
                        (503, Some(RETRY_AFTER_S), b"{}".to_vec())
                    } else {
                        (status, retry_after_s, body)
                    };
                    let asker = self.nodes[index].pending_requests.remove(&request);
                    self.check_retry_after(asker.as_ref(), status, retry_after_s);
                    self.deliver_reply(index, asker, status, body);
                }
                Effect::Call {
                    call,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    condition,
                } => {
                    // As the event loop does when the bytes go out.
                    if !condition.holds(now) {
                        if let SendCondition::Permitted(permit) = &condition {
                            if let Some(node) = &mut self.nodes[index].node {
                                node.on_operation_dropped(permit);
                            }
                            self.expired_permits += 1;
                        }
                        let outcome = Outcome::NotSent;
                        let answer = Event::Response {
                            node: index,
                            incarnation,
                            call,
                            outcome,
                        };
                        self.schedule(STEP_MS, answer);
                        continue;
                    }
                    let timeout = Event::Response {
                        node: index,
                        incarnation,
                        call,
                        outcome: Outcome::NoAnswer,
                    };
                    self.schedule(timeout_ms, timeout);
                    let host = host(&to);
                    if let Destination::Worker(addr) = &to
                        && !self.workers.contains_key(addr)
                    {
                        continue;
                    }
                    let controller_call = Call {
                        node: index,
                        incarnation,
                        call,
                        to,
                        method: method.as_str(),
                        path,
                        body,
                        is_duplicate: false,
                    };
                    self.check_outgoing_call(&controller_call);
                    self.send(&name, &host, Event::Call(controller_call));
                }
                Effect::Warning(text) => self.warnings.push(text),
                Effect::Frame { peer, bytes } => {
                    let to = (0..NODES).filter(|other| *other != index).nth(peer).unwrap();
                    self.call_statistics.record("frames", 1, now);
                    self.send(&name, &format!("n{to}"), Event::Frame { to, bytes });
                }
            }
        }
    }

    /// Delivers an event to its recipient.
    fn deliver(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.handle_call(call),
            Event::Response {
                node,
                incarnation,
                call,
                outcome,
            } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].node.is_some() {
                    let command = Command::Answer { call, outcome };
                    self.record_ended_jobs(node, &command);
                    self.nodes[node].inbox.push(command);
                }
            }
            Event::Heartbeat {
                worker,
                agent_epoch,
                number,
                node,
                body,
            } => {
                if self.nodes[node].node.is_some() {
                    let request = self.register_request(
                        node,
                        ReplyRecipient::Worker {
                            id: worker,
                            agent_epoch,
                            number,
                        },
                    );
                    let command = Command::Request {
                        request,
                        method: "POST".to_owned(),
                        path: "/v1/report".to_owned(),
                        body,
                    };
                    self.duplicate_command(node, "/v1/report", &command);
                    self.keep_heartbeat(&command);
                    if self.affects_message(|fault| match fault {
                        Fault::LateHeartbeats { share } => Some(*share),
                        _ => None,
                    }) {
                        let (later_ms, command) = (self.draw_ms(LATE_HEARTBEAT_DELAY_MS), command.clone());
                        self.schedule(later_ms, Event::Duplicate { to: node, command });
                    }
                    self.nodes[node].inbox.push(command);
                } else {
                    let event = Event::HeartbeatResponse {
                        worker: worker.clone(),
                        agent_epoch,
                        number,
                        outcome: None,
                    };
                    self.schedule(NETWORK_LATENCY_MS, event);
                }
            }
            Event::HeartbeatResponse {
                worker,
                agent_epoch,
                number,
                outcome,
            } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.handle_heartbeat_response(
                        number,
                        agent_epoch,
                        outcome,
                        NODES,
                        &self.jobs,
                        self.now,
                    );
                }
            }
            Event::Frame { to, bytes } => {
                if self.nodes[to].node.is_some()
                    && let Ok(Some((Some(frame), _))) = Frame::decode(&bytes)
                {
                    self.duplicate_command(to, "frames", &Command::Frame(frame.clone()));
                    self.nodes[to].inbox.push(Command::Frame(frame));
                }
            }
            Event::Duplicate { to, mut command } => {
                self.duplicates_delivered += 1;
                if let Command::Request { request, .. } = &mut command {
                    // No one waits for the response.
                    self.nodes[to].next_request += 1;
                    *request = RequestId(self.nodes[to].next_request);
                }
                if self.nodes[to].node.is_some() {
                    self.nodes[to].inbox.push(command);
                }
            }
            Event::User { node, job, kind } => {
                if self.nodes[node].node.is_none() {
                    return;
                }
                let (method, path, body) = match &kind {
                    UserRequest::Submit => (
                        "POST",
                        "/v1/jobs".to_owned(),
                        self.jobs[&job].body.to_string().into_bytes(),
                    ),
                    UserRequest::Poll => ("GET", format!("/v1/jobs/{job}"), Vec::new()),
                    UserRequest::SubmitFile => {
                        let body = self.submitted_files.get(&job).map(|sent| sent.body.clone());
                        ("POST", "/v1/condor/clusters".to_owned(), body.unwrap_or_default())
                    }
                    UserRequest::Cancel => ("POST", format!("/v1/jobs/{job}/withdraw"), Vec::new()),
                    UserRequest::Probe {
                        method, path, body, ..
                    } => (*method, path.clone(), body.clone()),
                };
                if path == "/v1/jobs" {
                    self.record_submission(&body);
                }
                let at = self.now;
                let request = self.register_request(node, ReplyRecipient::User { job, kind, at });
                let command = Command::Request {
                    request,
                    method: method.to_owned(),
                    path: path.clone(),
                    body,
                };
                self.duplicate_command(node, &path, &command);
                self.nodes[node].inbox.push(command);
            }
        }
    }

    /// Delay after which a message on this path is delivered a second time, if it is.
    fn duplicate_delay_ms(&self, path: &str) -> Option<u64> {
        let mut duplicates = self.duplicate_deliveries.iter();
        let duplicates =
            duplicates.find(|duplicates| self.now < duplicates.until && duplicates.matches(path))?;
        Some(duplicates.delay_ms)
    }

    fn duplicate_command(&mut self, to: usize, path: &str, command: &Command) {
        if let Some(later_ms) = self.duplicate_delay_ms(path) {
            let command = command.clone();
            self.schedule(later_ms, Event::Duplicate { to, command });
        }
    }

    /// Sends a user's request to a node over the network.
    pub(crate) fn send_user_request(&mut self, node: usize, job: &str, kind: UserRequest) {
        let job = job.to_owned();
        self.send("users", &format!("n{node}"), Event::User { node, job, kind });
    }

    /// Submits a job after a delay; its user does not repeat the request.
    pub(crate) fn submit_once(&mut self, after_ms: u64, node: usize, job: String) {
        let kind = UserRequest::Submit;
        self.schedule(after_ms, Event::User { node, job, kind });
    }

    /// The state service's limits on requests and writes per second, from the settings.
    pub(crate) fn state_limits(&self) -> (f64, f64) {
        let settings = Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let state = settings.deployment.state;
        (state.rps, state.write_rps)
    }

    fn register_request(&mut self, node: usize, asker: ReplyRecipient) -> RequestId {
        let controller = &mut self.nodes[node];
        controller.next_request += 1;
        let request = RequestId(controller.next_request);
        controller.pending_requests.insert(request, asker);
        request
    }

    /// Executes a controller's call, subject to the active faults.
    fn handle_call(&mut self, controller_call: Call) {
        let Call {
            node,
            incarnation,
            call,
            ref to,
            method,
            ref path,
            ref body,
            is_duplicate,
        } = controller_call;
        let from = host(to);
        let kind = match to {
            Destination::State => "requests",
            Destination::Cloud => "cloud",
            Destination::Worker(_) => "workers",
            Destination::Licences(_) => "licences",
        };
        self.call_statistics.record(kind, 1, self.now);
        let mut response_lost = false;
        let mut response_delay_ms = 0;
        let message_fault = self.message_faults.iter().position(|message_fault| {
            let (MessageFault::LoseResponse { path: wanted } | MessageFault::Delay { path: wanted, .. }) =
                message_fault;
            // `/multi:b/~` matches only bodies that contain the text after the colon.
            let (wanted, body_text) = wanted.split_once(':').unwrap_or((wanted, ""));
            !is_duplicate
                && wanted == path
                && String::from_utf8_lossy(body).contains(body_text)
                && (path != "/do" || String::from_utf8_lossy(body).contains("\"run\""))
        });
        if let Some(at) = message_fault {
            match self.message_faults.remove(at) {
                MessageFault::LoseResponse { .. } => response_lost = true,
                MessageFault::Delay { by_ms, .. } => {
                    // The sender has given up by then and ignores the response.
                    self.schedule(
                        by_ms,
                        Event::Call(Call {
                            incarnation: 0,
                            ..controller_call
                        }),
                    );
                    return;
                }
            }
        }
        if *to == Destination::State && !is_duplicate {
            let late = path == "/multi"
                && self.affects_message(|fault| match fault {
                    Fault::LateWrites { share } => Some(*share),
                    _ => None,
                });
            let delay_ms = self.state_delay_ms();
            // A slow call is either executed late or answered late.
            if late || delay_ms > 0 && self.draw() < 0.5 {
                let after_ms = if late {
                    self.draw_ms(LATE_WRITE_DELAY_MS)
                } else {
                    delay_ms
                };
                let incarnation = if late { 0 } else { incarnation };
                let call = Call {
                    incarnation,
                    is_duplicate: true,
                    ..controller_call
                };
                self.schedule(after_ms, Event::Call(call));
                return;
            }
            response_delay_ms = delay_ms + self.response_delay_ms(node, path, body);
            response_lost |= path == "/multi"
                && self.affects_message(|fault| match fault {
                    Fault::LostWriteResponses { share } => Some(*share),
                    _ => None,
                });
        }
        match self.next_deviation(to, method, path, body) {
            None => (),
            Some(Deviation::LoseResponse) => response_lost = true,
            Some(Deviation::LoseRequest) => return,
            Some(Deviation::Delay) => {
                self.schedule(
                    DEVIATION_DELAY_MS,
                    Event::Call(Call {
                        incarnation: 0,
                        ..controller_call
                    }),
                );
                return;
            }
            Some(Deviation::CrashBefore) => {
                self.crash(node, NODE_RESTART_MS);
                return;
            }
            Some(Deviation::CrashAfter) => self.crash(node, NODE_RESTART_MS),
            Some(Deviation::RefuseSender) => {
                self.refused_until.insert(node, self.now + DEVIATION_REFUSAL_MS);
            }
        }
        if *to == Destination::State
            && self.nodes[node].incarnation == incarnation
            && let Some((carried_out, back_ms)) = self.crash_for_call(method, path, body)
        {
            self.crash(node, back_ms);
            if !carried_out {
                return;
            }
        }
        if *to == Destination::State
            && let Some(carried_out) = self.accounting_check.crash_for_write(path, body)
        {
            self.crash(node, NODE_RESTART_MS);
            if !carried_out {
                return;
            }
        }
        let answer: Option<(u16, Vec<u8>)> = match to {
            Destination::State if !self.state.admits_request(path, body, self.now) => {
                Some((429, json_bytes(&Value::Null)))
            }
            Destination::State => {
                if self.state.outage || self.state_refuses(node) {
                    Some((503, json_bytes(&Value::Null)))
                } else {
                    let (changes, now) = (self.state.applied_changes, self.now);
                    let reply = self.state.handle(method, path, body, now);
                    self.call_statistics.record(
                        "changes",
                        (self.state.applied_changes - changes) as usize,
                        now,
                    );
                    if self.state.applied_changes > changes {
                        if let Err(problem) = self.accounting_check.record_owners(body) {
                            self.violation("owner_changed", problem);
                        }
                        record_condor_jobs(&mut self.jobs, body, self.condor_run_s);
                    }
                    match reply {
                        Reply::Immediate(status, value) => Some((status, json_bytes(&value))),
                        Reply::LongPoll { prefix, after, until } => {
                            self.watches.push(PendingWatch {
                                node,
                                incarnation,
                                call,
                                prefix,
                                after,
                                until,
                                response_delay_ms,
                            });
                            None
                        }
                    }
                }
            }
            Destination::Cloud => {
                // A duplicate of a call that the cloud refused is in no record.
                if !is_duplicate {
                    self.check_replaced_leader(node, path, body);
                }
                let (status, value) = self.cloud.handle(method, path, body, self.now);
                for id in self.cloud.take_released() {
                    self.workers.remove(&id);
                }
                Some((status, json_bytes(&value)))
            }
            Destination::Licences(_) => {
                (!self.licences.outage).then(|| (200, self.licences.lmstat().into_bytes()))
            }
            Destination::Worker(addr) => {
                let Some(worker) = self.workers.get_mut(addr) else {
                    return;
                };
                if self.now < worker.hung_until {
                    let wait = worker.hung_until - self.now;
                    self.schedule(wait, Event::Call(controller_call));
                    return;
                }
                Some(if path == "/do" {
                    worker.handle_direct_commands(body, &self.jobs, self.now)
                } else {
                    (200, worker.heartbeat(self.now))
                })
            }
        };
        if answer.is_some()
            && !is_duplicate
            && let Some(later_ms) = self.duplicate_delay_ms(&controller_call.path)
        {
            self.duplicates_delivered += 1;
            let copy = Call {
                incarnation: 0,
                is_duplicate: true,
                ..controller_call.clone()
            };
            self.schedule(later_ms, Event::Call(copy));
        }
        if let Some((status, body)) = answer
            && !response_lost
        {
            let answer = Event::Response {
                node,
                incarnation,
                call,
                outcome: Outcome::Answer { status, body },
            };
            if response_delay_ms > 0 {
                self.schedule(response_delay_ms, answer);
            } else {
                self.send(&from, &format!("n{node}"), answer);
            }
        }
    }

    /// Crashes a controller and restarts it after a delay.
    pub(crate) fn crash(&mut self, node: usize, after_ms: u64) {
        self.nodes[node].node = None;
        self.nodes[node].restart_at = self.now + after_ms;
    }

    /// Whether the sender of this call to the state service crashes with it: if so, whether the call
    /// is executed, and the time until the sender restarts, in ms.
    fn crash_for_call(&mut self, method: &str, path: &str, body: &[u8]) -> Option<(bool, u64)> {
        if self.concerns_clusters(method, path, body) {
            match &mut self.crash_at_cluster_call {
                Some((0, carried_out)) => {
                    let carried_out = *carried_out;
                    self.crash_at_cluster_call = None;
                    return Some((carried_out, NODE_RESTART_MS));
                }
                Some((left, _)) => *left -= 1,
                None => (),
            }
        }
        let next = self.crashes_on_call.front()?;
        // A claim while the key exists is refused and is no step of an election.
        let second = next.call == ElectionCall::Claim && self.state.value("leader").is_some();
        if second || !next.call.matches(method, path, body) {
            return None;
        }
        let end = self.crashes_on_call.pop_front()?;
        Some((end.executed, end.restart_ms))
    }

    /// The deviation for this operation of a leader, if any. Operations are a leader's own
    /// transactions, direct commands, and launches and releases at the cloud.
    fn next_deviation(
        &mut self,
        to: &Destination,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Deviation> {
        let plan = self.deviation_plan.as_mut()?;
        let text = String::from_utf8_lossy(body);
        let act = match to {
            Destination::State => path == "/multi" && text.contains("\"leader\""),
            Destination::Cloud => method == "POST",
            Destination::Worker(_) => path == "/do" && text.contains("\"Verb\""),
            Destination::Licences(_) => false,
        };
        if !act {
            return None;
        }
        plan.leader_operations += 1;
        plan.deviations.get(&(plan.leader_operations - 1)).copied()
    }

    /// Flags cloud operations of a replaced leader that are not in the records that its successor
    /// reads: the cloud does not compare tokens.
    fn check_replaced_leader(&mut self, node: usize, path: &str, body: &[u8]) {
        let holder = self
            .state
            .value("leader")
            .and_then(|value| value["node"].as_str());
        let replaced = holder.is_some_and(|holder| holder != format!("n{node}"));
        if !replaced || self.cloud.outage {
            return;
        }
        let unknown: Vec<String> = match path {
            "/rentals/return" => {
                let names: MachineNames = serde_json::from_slice(body).unwrap();
                let known = self.recorded_releases();
                let exists = |id: &String| {
                    let machine = self.cloud.machines.get(id);
                    machine.is_some_and(|machine| machine.removed_at.is_none())
                };
                let names = names.machines.into_iter();
                names.filter(|id| exists(id) && !known.contains(id)).collect()
            }
            "/rentals" => {
                let request: LaunchRequest = serde_json::from_slice(body).unwrap();
                let key = format!("h/{}", request.request);
                let known = self.state.value(&key).is_some() || self.cloud.has_executed(&request.request);
                if known { Vec::new() } else { vec![request.request] }
            }
            _ => Vec::new(),
        };
        for what in unknown {
            self.unrecorded_operations += 1;
            self.violation("replaced_holder", format!("n{node} {path} {what}"));
        }
    }

    /// Machines that are marked as releasing in the records.
    fn recorded_releases(&self) -> BTreeSet<String> {
        let shards = self.state.values_under("s/");
        let records = shards
            .filter_map(|value| ShardRecord::from_value(value).ok())
            .filter_map(|shard| shard.machines().ok())
            .flatten();
        records
            .filter(|record| record.releasing)
            .map(|record| record.name.to_string())
            .collect()
    }

    /// Whether a call to the state service concerns clusters, other than the leader's own calls and
    /// reads for a user's question about one job.
    fn concerns_clusters(&self, method: &str, path: &str, body: &[u8]) -> bool {
        if method == "GET" && path.contains("/wk-99") {
            return false;
        }
        let keys = ["k/", "n/cluster", "c/0", "j/~", "wk-99"];
        let body = String::from_utf8_lossy(body);
        let named = keys.iter().any(|key| path.contains(key) || body.contains(key));
        named && !body.contains("\"leader\"") && !path.contains("/changes")
    }

    /// Whether the records allow a submit file's job to run.
    pub(crate) fn check_runnable(&self, job: &str, cluster: u64) -> Result<(), &'static str> {
        if self.state.value(&format!("c/{cluster:010}")).is_none() {
            return Err("its cluster is not accepted");
        }
        let held = self.state.value(&format!("j/{job}")).is_some_and(|spec| {
            let holds = spec["condor"]["holds"].as_array();
            holds.is_some_and(|holds| !holds.is_empty())
        });
        if held { Err("it is held") } else { Ok(()) }
    }

    fn step_watches(&mut self) {
        if self.state.outage {
            return;
        }
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            if self.state_refuses(watch.node) {
                self.watches.push(watch);
                continue;
            }
            let watch_response = self
                .state
                .watch_response(&watch.prefix, watch.after)
                .or_else(|| (self.now >= watch.until).then(|| self.state.empty_watch_response()));
            match watch_response {
                Some(watch_response) => {
                    let outcome = Outcome::Answer {
                        status: 200,
                        body: watch_response.to_string().into_bytes(),
                    };
                    let event = Event::Response {
                        node: watch.node,
                        incarnation: watch.incarnation,
                        call: watch.call,
                        outcome,
                    };
                    if watch.response_delay_ms > 0 {
                        self.schedule(watch.response_delay_ms, event);
                    } else {
                        self.send("state", &format!("n{}", watch.node), event);
                    }
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn step_machines(&mut self) {
        let booted: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, machine)| {
                machine.ready_at <= self.now
                    && machine.removed_at.is_none()
                    && !self.workers.contains_key(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in booted {
            let machine = &self.cloud.machines[&id];
            let mut worker = Worker::new(&id, &machine.machine_type, &machine.zone, machine.spot, self.now);
            let known = self
                .cloud
                .types
                .iter()
                .find(|known| known.name == machine.machine_type);
            worker.cache_gb = known.map_or(f64::INFINITY, |known| known.cache_gb);
            worker.fetches_share_rate = self.fetches_share_rate;
            self.workers.insert(id, worker);
        }
        let reclaimed: Vec<String> = self
            .workers
            .values()
            .filter(|worker| worker.reclaim_at.is_some_and(|at| self.now >= at))
            .map(|worker| worker.id.clone())
            .collect();
        for id in reclaimed {
            self.cloud.remove(&id, self.now);
            self.workers.remove(&id);
        }
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let arrived = worker.step(&mut self.jobs, self.now);
            self.fetches_started += std::mem::take(&mut worker.fetches_started);
            let (node, agent_epoch) = (worker.node, worker.agent_epoch);
            if let Some((number, body)) = worker.due_heartbeat(self.now) {
                let event = Event::Heartbeat {
                    worker: id.clone(),
                    agent_epoch,
                    number,
                    node,
                    body,
                };
                self.send(&id, &format!("n{node}"), event);
            }
            for task in arrived {
                self.tasks_awaiting_fetch += u32::from(self.now > task.state_since + STEP_MS);
                self.check_out_units(&id, &task);
                self.check_start(&id, &task.job, task.index);
            }
        }
        self.step_gangs();
    }

    /// Updates the licence server with the state of its clients.
    fn step_licences(&mut self) {
        if self.licences.features.is_empty() {
            return;
        }
        let workers = &self.workers;
        self.licences.step(self.now, |client| {
            ClientState::of(workers.get(&client.host), client)
        });
    }

    /// Checks out the licence units of a task that arrived on a machine.
    fn check_out_units(&mut self, machine: &str, task: &worker::Task) {
        let counts = &self.jobs[&task.job].counted_units;
        for count in self.licences.check_out_all(counts, machine, task) {
            self.violation(
                "oversubscribed",
                format!("{} is refused a seat of {count}", task.name()),
            );
        }
    }

    /// Gangs start and end together and notice a lost member.
    fn step_gangs(&mut self) {
        if self.jobs.values().all(|job| job.shape != "gang") {
            return;
        }
        let mut gangs: BTreeMap<(String, u64), Vec<TaskState>> = BTreeMap::new();
        for worker in self.workers.values() {
            let hung = self.now < worker.hung_until;
            for task in worker.tasks.iter().filter(|task| task.is_on_machine() && !hung) {
                gangs
                    .entry((task.job.clone(), task.attempt))
                    .or_default()
                    .push(task.state);
            }
        }
        let mut ran: BTreeSet<String> = BTreeSet::new();
        for ((job, attempt), states) in gangs {
            let observed = &self.jobs[&job];
            if observed.shape != "gang" {
                continue;
            }
            let all = states.len() as u32 == observed.tasks;
            let start = all && states.iter().all(|state| *state == TaskState::Waiting);
            let done = observed.completed_tasks.len() as u32 == observed.tasks;
            for task in self.workers.values_mut().flat_map(|worker| &mut worker.tasks) {
                if task.job != job || task.attempt != attempt || !task.is_on_machine() {
                    continue;
                }
                if start {
                    ran.insert(job.clone());
                    task.state = TaskState::Running;
                    task.state_since = self.now;
                    task.base_progress_s = observed.checkpointed_s;
                } else if done && task.state == TaskState::Running {
                    task.exit(indigopath_controller::protocol::TaskEndCause::Done);
                } else if task.state == TaskState::Running {
                    let missing = !all;
                    task.gang_exit_at = missing.then(|| task.gang_exit_at.unwrap_or(self.now + GANG_PEER_MS));
                }
            }
        }
        for id in ran {
            if let Some(observed) = self.jobs.get_mut(&id) {
                observed.started_tasks = (0..observed.tasks).collect();
                observed.started_at.get_or_insert(self.now);
            }
        }
    }

    // ---- users ---------------------------------------------------------------

    fn step_users(&mut self) {
        let due: Vec<String> = self
            .next_user_request_at
            .iter()
            .filter(|(_, at)| self.now >= **at)
            .map(|(job, _)| job.clone())
            .collect();
        self.step_submit_files();
        for job in due {
            let observed = &self.jobs[&job];
            let ended = matches!(observed.reported_status.as_deref(), Some("done" | "cancelled"));
            let kind = if !observed.accepted {
                UserRequest::Submit
            } else if observed.cancel_requested && !ended {
                UserRequest::Cancel
            } else {
                UserRequest::Poll
            };
            let again_ms = if kind == UserRequest::Poll {
                USER_POLL_INTERVAL_MS
            } else {
                1_000
            };
            self.next_user_request_at.insert(job.clone(), self.now + again_ms);
            self.user_turn += 1;
            let node = self.user_turn % NODES;
            self.send_user_request(node, &job, kind);
        }
    }

    /// Sends submit files that are unanswered so far, to one node after the other.
    fn step_submit_files(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (name, sent) in &mut self.submitted_files {
            if sent.response.is_none() && now >= sent.next_attempt_at {
                sent.next_attempt_at = now + 1_000;
                sent.nodes.rotate_left(1);
                due.push((name.clone(), sent.nodes[0]));
            }
        }
        for (job, node) in due {
            let kind = UserRequest::SubmitFile;
            self.send_user_request(node, &job, kind);
        }
    }

    fn handle_cluster_response(&mut self, name: &str, status: u16, body: &[u8]) {
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let before = self
            .submitted_files
            .get(name)
            .and_then(|sent| sent.response.clone());
        match (&before, status) {
            // The user retries.
            (_, 503) | (Some((201, _)), 201) => (),
            (None, _) => (),
            (Some(before), _) => {
                self.violation("went_back", format!("{name} was {}, is {status}", before.0));
            }
        }
        if let Some((201, first_body)) = &before
            && status == 201
            && first_body["cluster"] != answer["cluster"]
        {
            self.violation(
                "two_clusters",
                format!("{name} is {} and {}", first_body["cluster"], answer["cluster"]),
            );
        }
        let others: Vec<Value> = self
            .submitted_files
            .iter()
            .filter(|(_, sent)| {
                self.submitted_files
                    .get(name)
                    .is_none_or(|own| own.body != sent.body)
            })
            .filter_map(|(_, sent)| Some(sent.response.as_ref()?.1["cluster"].clone()))
            .collect();
        if status == 201 && others.contains(&answer["cluster"]) {
            self.violation(
                "same_number",
                format!("{name} is {}, which another is", answer["cluster"]),
            );
        }
        if status == 201 {
            // From now on its submitter polls each of its jobs.
            let number = answer["cluster"].as_u64();
            for (id, observed) in &mut self.jobs {
                if observed.cluster == number && observed.accepted_at.is_none() {
                    observed.accepted_at = Some(self.now);
                    self.next_user_request_at
                        .insert(id.clone(), self.now + USER_POLL_INTERVAL_MS);
                }
            }
        }
        if let Some(sent) = self.submitted_files.get_mut(name)
            && status != 503
        {
            sent.response = Some((status, answer));
        }
    }

    fn deliver_reply(&mut self, node: usize, asker: Option<ReplyRecipient>, status: u16, body: Vec<u8>) {
        let name = format!("n{node}");
        match asker {
            None => (),
            Some(ReplyRecipient::Worker {
                id,
                agent_epoch,
                number,
            }) => {
                self.check_outgoing_commands(node, &body);
                let event = Event::HeartbeatResponse {
                    worker: id.clone(),
                    agent_epoch,
                    number,
                    outcome: Some((status, body)),
                };
                self.send(&name, &id, event);
            }
            // A user gives up on a poll after 2 s; a later response of a frozen node reaches no one.
            Some(ReplyRecipient::User {
                kind: UserRequest::Poll,
                at,
                ..
            }) if self.now > at + USER_POLL_TIMEOUT_MS => (),
            Some(ReplyRecipient::User { job, kind, at }) => {
                self.check_response_order(node, &job, &kind, at, status, &body);
                self.handle_user_response(&job, kind, status, &body);
                self.record_confirmed_cancellation(node, &job, status);
            }
        }
    }

    fn handle_user_response(&mut self, job: &str, kind: UserRequest, status: u16, body: &[u8]) {
        self.check_submission_response(job, &kind, status, body);
        if let UserRequest::Probe {
            method,
            path,
            body: submitted_body,
            status: wanted,
        } = kind
        {
            if path == "/v1/jobs"
                && let Err(problem) = self
                    .accounting_check
                    .check_foreign_submission(&submitted_body, body)
            {
                self.violation("told_too_much", problem);
            }
            // 421: only the leader can answer, and this node is not the leader.
            if let Err(problem) = self.accounting_check.check_team_isolation(&path, body) {
                self.violation("told_of_another", problem);
            }
            if wanted != 0 && status != wanted && status != 503 && status != 421 {
                self.violation("answer", format!("{method} {path} got {status}, not {wanted}"));
            }
            if status != 421 {
                self.probe_responses.push((path, status));
            }
            // The reported status counts for any route and any node.
            let answer: Value = serde_json::from_slice(body).unwrap_or_default();
            let known_job = answer["Id"].as_str().filter(|id| self.jobs.contains_key(*id));
            if let (200 | 201, Some(id), Some(reported)) = (status, known_job, answer["Status"].as_str()) {
                self.record_reported_status(id, reported);
            }
            return;
        }
        if kind == UserRequest::SubmitFile {
            return self.handle_cluster_response(job, status, body);
        }
        if let Err(problem) = accounting_checks::check_job_response(job, body) {
            self.violation("told_too_much", problem);
        }
        let now = self.now;
        let observed = self.jobs.get_mut(job).unwrap();
        match (kind, status) {
            (UserRequest::Submit, 200 | 201) => {
                observed.accepted = true;
                observed.accepted_at.get_or_insert(now);
            }
            (UserRequest::Submit, 400 | 422) if !observed.accepted => observed.rejected = true,
            (_, 400 | 404 | 422) if observed.accepted => {
                self.violation("forgotten", format!("{job} got {status}"));
                return;
            }
            (_, 503) => self.refused_responses += 1,
            _ => (),
        }
        if status != 200 && status != 201 {
            return;
        }
        let answer: Value = serde_json::from_slice(body).unwrap();
        let reported = answer["Status"].as_str().unwrap().to_owned();
        self.jobs.get_mut(job).unwrap().last_answered_at = Some(now);
        self.record_reported_status(job, &reported);
    }

    /// Records the status of a job that any node reported to a user on any route.
    fn record_reported_status(&mut self, job: &str, reported: &str) {
        let now = self.now;
        let observed = self.jobs.get_mut(job).unwrap();
        let before = observed.reported_status.replace(reported.to_owned());
        let complete = observed.completed_tasks.len() as u32 == observed.tasks && observed.shape != "daemon";
        // Jobs of submit files are cancelled by their cluster number.
        let (wanted, of_file) = (observed.cancel_requested, observed.cluster.is_some());
        if reported == "cancelled" {
            observed.cancel_confirmed_at.get_or_insert(now);
        }
        if reported == "done" {
            observed.completion_reported_at.get_or_insert(now);
        }
        if let Some(before) = before.filter(|before| matches!(before.as_str(), "done" | "cancelled"))
            && before != reported
        {
            self.violation("went_back", format!("{job} was {before}, is {reported}"));
        }
        if reported == "done" && !complete {
            self.violation("not_done", job);
        }
        if reported == "cancelled" && !wanted && !of_file {
            self.violation("went_back", format!("{job} is cancelled, but not by its user"));
        }
    }

    // ---- invariants ----------------------------------------------------------

    pub(crate) fn tasks_on_machines(&self) -> impl Iterator<Item = (&Worker, &worker::Task)> {
        self.workers.values().flat_map(|worker| {
            worker
                .tasks
                .iter()
                .filter(|task| task.is_on_machine())
                .map(move |task| (worker, task))
        })
    }

    /// Checks a task that arrived on a machine against the job's constraints.
    fn check_start(&mut self, machine: &str, job: &str, index: u32) {
        let observed = self.jobs.get_mut(job).unwrap();
        observed.task_starts += 1;
        self.record_start_after_cancel(job);
        let observed = self.jobs.get_mut(job).unwrap();
        if observed.shape != "gang" {
            observed.started_tasks.insert(index);
        }
        if observed.shape == "sweep" {
            observed.started_at.get_or_insert(self.now);
        }
        let observed = observed.clone();
        self.check_protected_start(machine, job);
        let worker = &self.workers[machine];
        let (zone, machine_type, spot) = (worker.zone.clone(), worker.machine_type.clone(), worker.spot);
        let name = format!("{job}/{index}");
        let elsewhere: Vec<(String, String, String)> = self
            .tasks_on_machines()
            .filter(|(_, task)| task.job == job)
            .map(|(worker, task)| (worker.id.clone(), worker.zone.clone(), task.name()))
            .collect();
        if elsewhere
            .iter()
            .any(|(id, _, task)| *task == name && id != machine)
        {
            self.violation("ran_twice", &name);
        }
        if let Some(cluster) = observed.cluster {
            // A start that was in flight when the job was held is stopped on the machine.
            if let Err(why) = self.check_runnable(job, cluster)
                && why != "it is held"
            {
                self.violation("too_soon", format!("{name}: {why}"));
            }
            let spec = observed.spec.clone().unwrap_or_default();
            let kind = &spec["kinds"][&machine_type][&zone][usize::from(spot)];
            let bound = spec.get("kinds").is_some();
            if (bound && !kind.is_u64()) || (spot && spec["spot"] != true) {
                self.violation(
                    "wrong_place",
                    format!("{name} on {machine_type}, {zone}, spot {spot}"),
                );
            }
            return;
        }
        let body = &observed.body;
        let type_ok = body["Rigs"]
            .as_array()
            .is_none_or(|types| types.iter().any(|allowed| *allowed == machine_type.as_str()));
        let zone_ok = body["Yard"].as_str().is_none_or(|only| only == zone);
        let one_zone_ok = body["OneZone"] != true || elsewhere.iter().all(|(_, other, _)| *other == zone);
        let mut in_zone: BTreeSet<&String> = elsewhere
            .iter()
            .filter(|(_, other, _)| *other == zone)
            .map(|(_, _, task)| task)
            .collect();
        in_zone.insert(&name);
        let apart_ok = body["Apart"] != true || in_zone.len() as u32 <= observed.tasks.div_ceil(2);
        if !(type_ok && zone_ok && one_zone_ok && apart_ok) || (spot && body["Loaners"] != true) {
            self.violation(
                "wrong_place",
                format!("{name} on {machine} ({machine_type}, {zone}, spot {spot})"),
            );
        }
        if observed
            .cancel_confirmed_at
            .is_some_and(|at| self.now > at + MAX_CANCEL_MS)
        {
            self.violation("ran_cancelled", format!("{name} starts"));
        }
    }

    /// Checks team limits and the time limit of cancellations.
    fn check_invariants(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut overdue = Vec::new();
        for (_, task) in self.tasks_on_machines() {
            let observed = &self.jobs[&task.job];
            *used.entry(observed.team.clone()).or_default() += observed.gpus;
            if observed
                .cancel_confirmed_at
                .is_some_and(|at| self.now > at + MAX_CANCEL_MS)
            {
                overdue.push(task.name());
            }
        }
        for name in overdue {
            self.violation("ran_cancelled", name);
        }
        for (team, limit) in [("red", 16.0), ("blue", 32.0)] {
            let limit = self.gpus_max.unwrap_or(limit);
            let used = used.get(team).copied().unwrap_or(0.0);
            if used > limit {
                self.violation("quota", format!("{team} uses {used} GPUs"));
            }
        }
    }

    /// Checks that the accounting agrees with the records of ended jobs up to its position.
    pub(crate) fn check_accounting(&mut self) {
        if let Err(problem) = self.accounting_check.check(&self.state) {
            self.violation("books", problem);
        }
    }

    // ---- served share --------------------------------------------------------

    fn record_replica_uptime(&mut self) {
        let mut up: BTreeMap<String, u64> = BTreeMap::new();
        for (_, task) in self
            .tasks_on_machines()
            .filter(|(_, task)| task.state == TaskState::Running)
        {
            *up.entry(task.job.clone()).or_default() += 1;
        }
        let now = self.now;
        for (id, observed) in &mut self.jobs {
            let up = up.get(id).copied().unwrap_or(0);
            if observed.shape == "daemon" && up >= u64::from(observed.tasks) {
                observed.started_at.get_or_insert(now);
            }
            let due = observed
                .submitted_at
                .is_some_and(|at| now >= at + MIN_SERVED_JOB_AGE_MS);
            if observed.shape == "daemon" && due && observed.cancel_requested_at.is_none() {
                let tasks = u64::from(observed.tasks);
                observed.replica_wanted_ms += tasks * REPLICA_COUNT_INTERVAL_MS;
                observed.replica_up_ms += up.min(tasks) * REPLICA_COUNT_INTERVAL_MS;
            }
        }
    }

    /// Tasks served and requested so far, by class and by team. Requested are all tasks of a job
    /// that is old enough, unless its user cancelled it before, it can never run, or it has an error
    /// of its own. Served are, for an array, tasks that ever started; for a gang, all tasks once it
    /// has run; for a service, each replica in proportion to the time that it was up.
    pub(crate) fn served_shares(&self) -> BTreeMap<String, (f64, f64)> {
        let mut shares: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for observed in self.jobs.values() {
            let Some((served, requested)) = self.job_served(observed) else {
                continue;
            };
            for owner in [
                format!("class={}", observed.class),
                format!("team={}", observed.team),
            ] {
                let share = shares.entry(owner).or_default();
                share.0 += served;
                share.1 += requested;
            }
        }
        shares
    }

    /// Tasks of one job served and requested, if the job counts.
    pub(crate) fn job_served(&self, observed: &ObservedJob) -> Option<(f64, f64)> {
        let due_at = observed.submitted_at? + MIN_SERVED_JOB_AGE_MS;
        let until = observed.cancel_requested_at.unwrap_or(self.now);
        if until < due_at || observed.rejected || observed.always_fails {
            return None;
        }
        let requested = f64::from(observed.tasks);
        let served = match observed.shape.as_str() {
            "daemon" if observed.replica_wanted_ms == 0 => return None,
            "daemon" => requested * observed.replica_up_ms as f64 / observed.replica_wanted_ms as f64,
            _ => observed.started_tasks.union(&observed.completed_tasks).count() as f64,
        };
        Some((served, requested))
    }

    /// The machine that a task is on now.
    pub(crate) fn machine_of(&self, name: &str) -> Option<String> {
        self.workers
            .values()
            .find(|worker| {
                worker
                    .tasks
                    .iter()
                    .any(|task| task.name() == name && task.state != TaskState::Exited)
            })
            .map(|worker| worker.id.clone())
    }
}

/// Records jobs of submit files from their job records, as no user submits them by name. `run_s` is
/// the run time of their tasks.
pub(crate) fn record_condor_jobs(jobs: &mut BTreeMap<String, ObservedJob>, body: &[u8], run_s: f64) {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
        return;
    };
    for change in transaction.changes {
        let Change::Put { key, value, .. } = change else {
            continue;
        };
        let Some(cluster) = value["condor"]["cluster"].as_u64() else {
            continue;
        };
        let id = key.trim_start_matches("j/").to_owned();
        let text = |field: &str| value[field].as_str().unwrap_or_default().to_owned();
        let observed = jobs.entry(id).or_insert_with(|| ObservedJob {
            shape: text("shape"),
            tasks: value["tasks"].as_u64().unwrap_or(0) as u32,
            gpus: value["needs"]["gpus"].as_f64().unwrap_or(0.0),
            run_s,
            image: text("image"),
            image_gb: value["image_gb"].as_f64().unwrap_or(0.0),
            accepted: true,
            cluster: Some(cluster),
            ..ObservedJob::default()
        });
        observed.team = text("team");
        observed.spec = Some(value);
    }
}

fn json_bytes(value: &Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

fn host(to: &Destination) -> String {
    match to {
        Destination::State => "state".to_owned(),
        Destination::Cloud => "cloud".to_owned(),
        Destination::Worker(addr) => addr.clone(),
        Destination::Licences(_) => "licences".to_owned(),
    }
}
