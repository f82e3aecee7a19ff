//! A small world in simulated time round real controllers: state service, cloud,
//! workers and users are stand-ins; the rules of the protocol are checked all the
//! time. The same scenario always plays the same way.

use crate::accounting_checks::{self, AccountingCheck};
use crate::admission_checks::Intake;
use crate::cloud::Cloud;
use crate::count_checks::COUNTS_STEP_MS;
use crate::effect_digest::EffectDigest;
use crate::fault_combinations::FaultCombinations;
use crate::job_stream::Stream;
use crate::licence_server::{ClientState, Feature, LicenceServer};
use crate::response_checks::Answers;
use crate::state::{Reply, StateService};
use crate::waiting_checks::Waiting;
use crate::window_checks::WindowChecks;
use crate::worker::{self, GANG_PEER_MS, Worker};
use indigopath_controller::constants::RETRY_AFTER_S;
use indigopath_controller::io::{CallId, Destination, Effect, Outcome, RequestId};
use indigopath_controller::node::{Command, Node};
use indigopath_controller::peers::Frame;
use indigopath_controller::protocol::{
    Change, LaunchRequest, MachineNames, MachineTypeList, TaskState, Transaction,
};
use indigopath_controller::settings::{OperatorSettings, Peer, Settings};
use indigopath_controller::storage::records::{Record, ShardRecord};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Grain of simulated time, in ms.
const STEP_MS: u64 = 10;
/// One way through the network, in ms.
const LATENCY_MS: u64 = 5;
pub(crate) const RESTART_MS: u64 = 4_000;
const CANCEL_MS: u64 = 50_000;
pub(crate) const NODES: usize = 3;

/// Age of a job from which on it must be served: what a boot and a fetch take.
const SERVED_AFTER_MS: u64 = 60_000;
/// How long a user waits for the answer to a poll, in ms.
const POLL_MS: u64 = 2_000;
/// How often users ask about each accepted job, in ms.
const ASK_MS: u64 = 5_000;
/// Interval at which the teams' books are held against the records, in ms.
const BOOKS_STEP_MS: u64 = 1_000;
/// Interval at which replicas that are up are counted.
const SERVED_STEP_MS: u64 = 200;

/// What the world knows of a job, apart from any controller.
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
    /// Submitted with a mistake: it fails everywhere.
    pub always_fails: bool,
    /// Seats that each task checks out.
    pub counted_units: BTreeMap<String, u32>,
    pub accepted: bool,
    /// When its user first knew of that, and when any question about it was last answered.
    pub accepted_at: Option<u64>,
    pub last_answered_at: Option<u64>,
    /// When it first ran: of a gang all tasks together, of a service all replicas.
    pub started_at: Option<u64>,
    pub cancel_requested: bool,
    pub reported_status: Option<String>,
    pub cancel_confirmed_at: Option<u64>,
    pub completion_reported_at: Option<u64>,
    pub task_starts: u32,
    pub class: String,
    /// When its user first asked, and asked for its end.
    pub submitted_at: Option<u64>,
    pub cancel_requested_at: Option<u64>,
    /// It can never run, its user was told.
    pub rejected: bool,
    /// Tasks that were ever on a machine; of a gang, all of them once it ran.
    pub started_tasks: BTreeSet<u32>,
    /// Replica time since it must be served, in ms: what there was, and what was asked for.
    pub replica_up_ms: u64,
    pub replica_wanted_ms: u64,
    /// Of a submit file: what its record says of machines, and which cluster it is of.
    pub spec: Option<Value>,
    pub cluster: Option<u64>,
}

impl ObservedJob {
    /// Its user wants its end, from then on.
    pub(crate) fn request_cancel(&mut self, at: u64) {
        self.cancel_requested = true;
        self.cancel_requested_at.get_or_insert(at);
    }
}

/// A submit file that a user sends until it is answered.
#[derive(Debug, Clone)]
pub struct SubmittedFile {
    pub body: Vec<u8>,
    pub next_attempt_at: u64,
    pub nodes: Vec<usize>,
    /// Status and body of the answer that settled it.
    pub response: Option<(u16, Value)>,
}

/// What a controller asks of another system.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) node: usize,
    pub(crate) life: u32,
    pub(crate) call: CallId,
    pub(crate) to: Destination,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
    /// It has been carried out before.
    pub(crate) again: bool,
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Call(Call),
    Answer {
        node: usize,
        life: u32,
        call: CallId,
        outcome: Outcome,
    },
    Report {
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
        kind: UserKind,
    },
    /// What this node has had once, again.
    Again {
        to: usize,
        command: Command,
    },
}

/// Messages of one kind that are delivered, and answered, once more.
#[derive(Debug, Clone)]
pub(crate) struct DuplicateDelivery {
    /// A path, or the end of one (`/withdraw`), or `frames`.
    pub(crate) kind: String,
    pub(crate) later_ms: u64,
    pub(crate) until: u64,
}

impl DuplicateDelivery {
    fn of(&self, path: &str) -> bool {
        let holds = self.kind == "/holds" && path.starts_with("/holds/");
        path == self.kind || holds || path != "/rentals/return" && path.ends_with(&self.kind)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum UserKind {
    Submit,
    Poll,
    Cancel,
    /// A request whose answer's status must be this.
    Probe {
        method: &'static str,
        path: String,
        body: Vec<u8>,
        status: u16,
    },
    /// A submit file, by the name that the scenario gives it.
    Cluster,
}

impl UserKind {
    /// Any submission, whose answer's status must be this; 0 for any.
    pub(crate) fn submission(body: &Value, status: u16) -> UserKind {
        UserKind::Probe {
            method: "POST",
            path: "/v1/jobs".to_owned(),
            body: body.to_string().into_bytes(),
            status,
        }
    }
}

/// Who waits for a reply of a node.
#[derive(Debug, Clone)]
pub(crate) enum Asker {
    Worker {
        id: String,
        agent_epoch: u64,
        number: u64,
    },
    User {
        job: String,
        kind: UserKind,
        at: u64,
    },
}

pub(crate) struct Controller {
    pub(crate) node: Option<Node>,
    pub(crate) life: u32,
    pub(crate) restart_at: u64,
    pub(crate) asked: HashMap<RequestId, Asker>,
    pub(crate) next_request: u64,
    pub(crate) frozen_until: u64,
    /// What it sends until then goes out only then.
    pub(crate) stalls_until: u64,
    pub(crate) outbox: Vec<Effect>,
    pub(crate) inbox: Vec<Command>,
}

pub(crate) struct Watch {
    pub(crate) node: usize,
    pub(crate) life: u32,
    pub(crate) call: CallId,
    pub(crate) prefix: String,
    pub(crate) after: u64,
    pub(crate) until: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Packets vanish.
    Drop,
    /// Packets are delivered when it is over.
    Hold,
}

/// A fault that lasts for a while, and befalls a share of all messages of its kind.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// That share of transactions is carried out late, after newer ones, and nobody hears the answer.
    LateWrites { share: f64 },
    /// That share of transactions is carried out at once, and nobody hears the answer.
    LostAnswers { share: f64 },
    /// Of that share of the workers' reports a copy arrives late.
    LateReports { share: f64 },
    /// That share of calls to the state service is answered so many times slower.
    SlowState { share: f64, times: f64 },
    /// Nothing reaches these machines; what they send arrives.
    Deaf {
        machines: BTreeSet<String>,
        zone: Option<String>,
    },
    /// Nothing of these machines reaches a controller unasked; direct commands do, and are answered.
    Mute {
        machines: BTreeSet<String>,
        zone: Option<String>,
    },
    /// Of that share of the workers' reports a copy is kept for the next leader.
    ReportsForNext { share: f64, after_ms: u64 },
    /// Of the jobs that end, that share is called off at that moment.
    CancelAtEnd { share: f64 },
    /// A node has neither the state service nor its peers. The service refuses it, or is silent.
    CutOff { node: usize, silent: bool },
}

/// How late late transactions are carried out and late reports arrive, in ms: the platform's own
/// bounds, "well over a lease" being one and a half.
const LATE_WRITE_MS: (f64, f64) = (2_000.0, 12_000.0);
const LATE_REPORT_MS: (f64, f64) = (2_000.0, 45_000.0);

/// What the next matching messages suffer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum MessageFault {
    /// Carried out, but the answer is lost.
    LoseAnswer { path: String },
    /// Carried out so many ms later, without an answer.
    Late { path: String, by_ms: u64 },
}

/// Whoever next makes such a call to the state service ends with it.
#[derive(Debug, Clone)]
pub(crate) struct EndOn {
    pub(crate) stage: Stage,
    pub(crate) carried_out: bool,
    /// When it is back, in ms.
    pub(crate) back_ms: u64,
}

/// Calls that make an election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Lease,
    Claim,
    Touch,
    /// A page of the records.
    Page,
}

impl Stage {
    fn is(self, method: &str, path: &str, body: &[u8]) -> bool {
        match self {
            Stage::Lease => method == "POST" && path == "/holds",
            Stage::Touch => path.ends_with("/touch"),
            // Followers read the leader's key as a page, too.
            Stage::Page => path.starts_with("/store?") && !path.starts_with("/store?Under=leader"),
            Stage::Claim => {
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

/// What becomes of one call in a walk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deviation {
    /// Carried out; the answer is lost.
    LoseResponse,
    /// Never carried out, and nobody says so.
    LoseRequest,
    /// Carried out 12 s later, when its sender has given up.
    Delay,
    /// Its sender ends before it is carried out.
    CrashBefore,
    /// Its sender ends once it is carried out.
    CrashAfter,
    /// From now on the state service refuses its sender, for longer than a lease.
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

/// A walk: acts of leaders are counted, and some of them go another way.
#[derive(Debug, Clone, Default)]
pub struct DeviationPlan {
    /// By the number of the act, counted from 0.
    pub deviations: BTreeMap<usize, Deviation>,
    /// Acts so far.
    pub leader_operations: usize,
}

/// How late a late call is carried out in a walk, in ms.
const WALK_LATE_MS: u64 = 12_000;
/// For how long the state service refuses a node in a walk, in ms.
const WALK_LAPSE_MS: u64 = 8_000;

pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) next_event: u64,
    pub(crate) nodes: Vec<Controller>,
    pub(crate) state: StateService,
    pub(crate) refused: BTreeMap<usize, u64>,
    pub(crate) cloud: Cloud,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) jobs: BTreeMap<String, ObservedJob>,
    pub(crate) watches: Vec<Watch>,
    pub(crate) cuts: Vec<(String, String, Cut)>,
    pub(crate) held: Vec<Event>,
    pub(crate) message_faults: Vec<MessageFault>,
    pub(crate) copies: Vec<DuplicateDelivery>,
    /// Faults, and until when they last.
    pub(crate) faults: Vec<(u64, Fault)>,
    /// Messages that faults befell.
    pub(crate) troubled: u32,
    /// Draws so far.
    draws: u64,
    /// Copies that arrived.
    pub(crate) copied: u32,
    pub(crate) user_at: BTreeMap<String, u64>,
    pub(crate) user_turn: usize,
    pub(crate) probes: Vec<(String, u16)>,
    pub(crate) broken: Vec<String>,
    pub(crate) most_refused: u32,
    /// When somebody last led, and the longest time since then in which nobody did, in ms.
    led_at: Option<u64>,
    pub(crate) most_leaderless: u64,
    /// Tasks that waited for their image.
    pub(crate) fetches: u32,
    /// Fetches that machines began.
    pub(crate) begun: u32,
    /// Fetches at one time share a machine's rate.
    pub(crate) shares_rate: bool,
    /// Calls dropped as their permits had run out.
    pub(crate) late_permits: u32,
    pub(crate) deviation_plan: Option<DeviationPlan>,
    /// Acts of a replaced leader at the cloud that took effect, and of which no record told its
    /// successor.
    pub(crate) unknown_acts: u32,
    /// What operators were warned of.
    pub(crate) warnings: Vec<String>,
    /// GPUs that each team may use, in place of the settings'.
    pub(crate) gpus_max: Option<f64>,
    /// Largest value of the key-value store, in KB, in place of the settings'.
    pub(crate) value_kb: Option<f64>,
    /// The operators' own settings, as nodes find them when they start.
    pub(crate) operator: OperatorSettings,
    pub(crate) licences: LicenceServer,
    pub(crate) calls: Calls,
    /// What is asked of shifts, and how it was kept.
    pub(crate) guarded: WindowChecks,
    /// The node that sends so manieth call about clusters ends with it: the calls left
    /// until then, and whether that one is carried out.
    pub(crate) end_at: Option<(u32, bool)>,
    /// Ends still to come, in this order.
    pub(crate) end_on: VecDeque<EndOn>,
    /// When anything last kept users from being answered.
    pub(crate) trouble_at: u64,
    /// Submit files that were sent, by name.
    pub(crate) sent: BTreeMap<String, SubmittedFile>,
    /// How long tasks of submit files run, in s.
    pub(crate) condor_run_s: f64,
    pub(crate) books: AccountingCheck,
    pub(crate) streams: Vec<Stream>,
    pub(crate) intake: Intake,
    pub(crate) waiting: Waiting,
    pub(crate) answers: Answers,
    pub(crate) fault_combinations: FaultCombinations,
    /// Over all that the controllers sent.
    pub(crate) effects: EffectDigest,
}

/// Calls of the controllers, for what is to stay small however large the fleet is.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    /// By destination, the calls of the last second, and the most in any second.
    pub(crate) recent: BTreeMap<&'static str, (VecDeque<u64>, usize)>,
    pub(crate) total: BTreeMap<&'static str, usize>,
}

impl Calls {
    fn note(&mut self, kind: &'static str, count: usize, now: u64) {
        *self.total.entry(kind).or_default() += count;
        let (times, most) = self.recent.entry(kind).or_default();
        times.extend(std::iter::repeat_n(now, count));
        while times.front().is_some_and(|at| *at + 1_000 <= now) {
            times.pop_front();
        }
        *most = (*most).max(times.len());
    }

    pub(crate) fn most(&self, kind: &str) -> usize {
        self.recent.get(kind).map_or(0, |(_, most)| *most)
    }
}

/// Settings that a scenario has in place of the usual ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SettingOverrides {
    /// GPUs that each team may use.
    pub(crate) gpus_max: Option<f64>,
    /// By how much a clock may be off, in ms.
    pub(crate) skew_ms: Option<f64>,
    /// Largest value of the key-value store, in KB.
    pub(crate) value_kb: Option<f64>,
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

    /// A world whose controllers have these settings.
    pub(crate) fn with_settings(overrides: SettingOverrides, operator: OperatorSettings) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            state: StateService::default(),
            refused: BTreeMap::new(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            watches: Vec::new(),
            cuts: Vec::new(),
            held: Vec::new(),
            message_faults: Vec::new(),
            copies: Vec::new(),
            faults: Vec::new(),
            troubled: 0,
            draws: 0,
            copied: 0,
            user_at: BTreeMap::new(),
            user_turn: 0,
            probes: Vec::new(),
            broken: Vec::new(),
            most_refused: 0,
            led_at: None,
            most_leaderless: 0,
            fetches: 0,
            begun: 0,
            shares_rate: false,
            late_permits: 0,
            deviation_plan: None,
            unknown_acts: 0,
            warnings: Vec::new(),
            value_kb: overrides.value_kb,
            gpus_max: overrides.gpus_max,
            licences: LicenceServer::default(),
            operator,
            calls: Calls::default(),
            guarded: WindowChecks::new(overrides.skew_ms),
            end_at: None,
            end_on: VecDeque::new(),
            trouble_at: 0,
            sent: BTreeMap::new(),
            condor_run_s: 10.0,
            books: AccountingCheck::default(),
            streams: Vec::new(),
            intake: Intake::default(),
            waiting: Waiting::default(),
            answers: Answers::default(),
            fault_combinations: FaultCombinations::default(),
            effects: EffectDigest::default(),
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
                life: 0,
                restart_at: 0,
                asked: HashMap::new(),
                next_request: 0,
                frozen_until: 0,
                stalls_until: 0,
                outbox: Vec::new(),
                inbox: Vec::new(),
            });
            simulation.boot(index);
        }
        simulation
    }

    fn boot(&mut self, index: usize) {
        let mut settings =
            Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let mut names: Vec<Peer> = settings.peers.clone();
        names.push(Peer {
            node: "n0".to_owned(),
            addr: settings.peer_listen,
        });
        settings.node = format!("n{index}");
        names.retain(|peer| peer.node != settings.node);
        names.sort_by(|a, b| a.node.cmp(&b.node));
        settings.peers = names;
        if let Some(most) = self.gpus_max {
            for team in &mut settings.deployment.teams {
                team.gpus = most / 2.0;
                team.gpus_max = most;
            }
        }
        if let Some(value_kb) = self.value_kb {
            settings.deployment.state.value_kb = value_kb;
        }
        if let Some(skew_ms) = self.guarded.skew_ms {
            settings.deployment.clock_skew_ms = skew_ms;
        }
        let settings = settings.with_operator(self.operator.clone()).unwrap();
        if self.guarded.timetable.is_empty() {
            // As the scenario has it; what nodes find later is theirs.
            self.guarded.timetable = settings.protection_windows.clone();
        }
        let (now, wall) = (self.now, self.wall_of(index));
        let controller = &mut self.nodes[index];
        controller.life += 1;
        controller.asked.clear();
        controller.inbox.clear();
        controller.outbox.clear();
        controller.stalls_until = 0;
        let seed = index as u64 + 100 * u64::from(controller.life);
        controller.node = Some(Node::new(settings, seed, now, wall));
    }

    /// The true time of day, in ms since 1970: 22:13:20 UTC on a Tuesday when a scenario begins.
    pub(crate) fn wall(&self) -> u64 {
        1_700_000_000_000 + self.now
    }

    /// By a node's own clock.
    fn wall_of(&self, index: usize) -> u64 {
        self.wall().saturating_add_signed(self.guarded.clocks[index])
    }

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

    pub(crate) fn violation(&mut self, rule: &str, what: impl std::fmt::Display) {
        let line = format!("{rule} at {:.2} s: {what}", self.now as f64 / 1000.0);
        if !self.broken.contains(&line) && self.broken.len() < 5 {
            self.broken.push(line);
        }
    }

    // ---- faults that last ---------------------------------------------------

    /// The next number of at least 0 and less than 1, the same in each playing (splitmix64).
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

    pub(crate) fn lasting(&self) -> impl Iterator<Item = &Fault> {
        let now = self.now;
        let lasting = self.faults.iter().filter(move |(until, _)| now < *until);
        lasting.map(|(_, trouble)| trouble)
    }

    /// Whether this message is one of the share that some fault befalls.
    fn strikes(&mut self, share: impl Fn(&Fault) -> Option<f64>) -> bool {
        let Some(share) = self.lasting().find_map(share) else {
            return false;
        };
        let strikes = self.draw() < share;
        self.troubled += u32::from(strikes);
        strikes
    }

    /// By how much this call to the state service is slower, in ms.
    fn slower(&mut self) -> u64 {
        let slow = |trouble: &Fault| match trouble {
            Fault::SlowState { share, times } => Some((*share, *times)),
            _ => None,
        };
        let Some((_, times)) = self.lasting().find_map(slow) else {
            return 0;
        };
        if !self.strikes(|trouble| slow(trouble).map(|(share, _)| share)) {
            return 0;
        }
        let usual_ms = 2.0 * LATENCY_MS as f64;
        self.draw_ms((usual_ms * times, 2.0 * usual_ms * times))
    }

    /// Whether a fault swallows what one host sends another.
    fn swallowed(&self, from: &str, to: &str) -> bool {
        self.lasting().any(|trouble| match trouble {
            Fault::Deaf { machines, zone } => {
                let of = self
                    .workers
                    .get(to)
                    .is_some_and(|worker| Some(&worker.zone) == zone.as_ref());
                of || machines.contains(to)
            }
            Fault::CutOff { node, silent } => {
                let name = format!("n{node}");
                let other = if from == name { to } else { from };
                (from == name || to == name) && (other.starts_with('n') || *silent && other == "state")
            }
            _ => false,
        })
    }

    /// Whether the state service refuses this node alone.
    pub(crate) fn refuses(&self, node: usize) -> bool {
        let cut = |trouble: &Fault| matches!(trouble, Fault::CutOff { node: cut, .. } if *cut == node);
        self.refused.get(&node).is_some_and(|until| self.now < *until) || self.lasting().any(cut)
    }

    /// Whether a fault keeps nodes from the state service or from each other.
    pub(crate) fn nodes_troubled(&self) -> bool {
        let of_machines = |trouble: &Fault| {
            let reports = matches!(trouble, Fault::LateReports { .. } | Fault::ReportsForNext { .. });
            let deaf = matches!(trouble, Fault::Deaf { .. } | Fault::Mute { .. });
            reports || deaf || matches!(trouble, Fault::CancelAtEnd { .. })
        };
        self.lasting().any(|trouble| !of_machines(trouble))
    }

    // ---- the network ---------------------------------------------------------

    pub(crate) fn post(&mut self, after: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + after, self.next_event), event);
    }

    /// Sends an event between two hosts, through whatever cuts there are.
    pub(crate) fn send(&mut self, from: &str, to: &str, event: Event) {
        if self.swallowed(from, to) || self.mute(&event) {
            self.troubled += 1;
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
                    || self.crosses(a, from, to)
            })
            .map(|(_, _, cut)| *cut);
        match cut {
            None => self.post(LATENCY_MS, event),
            Some(Cut::Hold) => self.held.push(event),
            Some(Cut::Drop) => (),
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        for event in std::mem::take(&mut self.held) {
            self.post(LATENCY_MS, event);
        }
    }

    // ---- one step ------------------------------------------------------------

    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        self.state.expire_leases(self.now);
        for index in 0..NODES {
            if self.nodes[index].node.is_none() && self.now >= self.nodes[index].restart_at {
                self.boot(index);
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
        self.step_odd();
        for index in 0..NODES {
            self.step_node(index);
        }
        if self.leader().is_some() {
            let led_at = self.led_at.replace(self.now).unwrap_or(self.now);
            self.most_leaderless = self.most_leaderless.max(self.now - led_at);
        }
        if self.now.is_multiple_of(SERVED_STEP_MS) {
            self.count_replicas();
            self.count_protected(SERVED_STEP_MS);
        }
        if self.now.is_multiple_of(COUNTS_STEP_MS) && !self.licences.features.is_empty() {
            self.check_counts();
        }
        if self.now.is_multiple_of(BOOKS_STEP_MS) && !self.books.spoilt {
            self.check_books();
        }
        self.step_meetings();
        self.check_stops();
        // Looking at thousands of tasks takes time, and nothing lasts only 10 ms.
        if self.workers.len() < 200 || self.now.is_multiple_of(200) {
            self.check_rules();
        }
        self.check_known();
        self.check_waiting();
    }

    fn step_node(&mut self, index: usize) {
        let (now, wall) = (self.now, self.wall_of(index));
        let controller = &mut self.nodes[index];
        if now < controller.frozen_until {
            return;
        }
        let inbox = std::mem::take(&mut controller.inbox);
        let life = controller.life;
        let Some(node) = &mut controller.node else { return };
        node.set_time(now, wall);
        for command in inbox {
            node.handle(command);
        }
        node.run_due_work();
        let effects = node.take_effects();
        self.effects.record(now, index, &effects);
        // It stands still after it has decided and before anything goes out.
        if now < controller.stalls_until {
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
                    // As the event loop does when the bytes go out.
                    let late = until.is_some_and(|until| now >= until);
                    let (status, retry_after_s, body) = if late {
                        (503, Some(RETRY_AFTER_S), b"{}".to_vec())
                    } else {
                        (status, retry_after_s, body)
                    };
                    let asker = self.nodes[index].asked.remove(&request);
                    self.check_refusal(asker.as_ref(), status, retry_after_s);
                    self.replied(index, asker, status, body);
                }
                Effect::Call {
                    call,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    permit,
                } => {
                    // As the event loop does when the bytes go out.
                    if let Some(permit) = permit.filter(|permit| !permit.allows(now)) {
                        if let Some(node) = &mut self.nodes[index].node {
                            node.on_operation_dropped(&permit);
                        }
                        self.late_permits += 1;
                        let outcome = Outcome::NotSent;
                        let answer = Event::Answer {
                            node: index,
                            life,
                            call,
                            outcome,
                        };
                        self.post(STEP_MS, answer);
                        continue;
                    }
                    let timeout = Event::Answer {
                        node: index,
                        life,
                        call,
                        outcome: Outcome::NoAnswer,
                    };
                    self.post(timeout_ms, timeout);
                    let host = host(&to);
                    if let Destination::Worker(addr) = &to
                        && !self.workers.contains_key(addr)
                    {
                        continue;
                    }
                    let asked = Call {
                        node: index,
                        life,
                        call,
                        to,
                        method: method.as_str(),
                        path,
                        body,
                        again: false,
                    };
                    self.call_leaves(&asked);
                    self.send(&name, &host, Event::Call(asked));
                }
                Effect::Warning(text) => self.warnings.push(text),
                Effect::Frame { peer, bytes } => {
                    let to = (0..NODES).filter(|other| *other != index).nth(peer).unwrap();
                    self.calls.note("frames", 1, now);
                    self.send(&name, &format!("n{to}"), Event::Frame { to, bytes });
                }
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.serve(call),
            Event::Answer {
                node,
                life,
                call,
                outcome,
            } => {
                if self.nodes[node].life == life && self.nodes[node].node.is_some() {
                    let command = Command::Answer { call, outcome };
                    self.node_learns(node, &command);
                    self.nodes[node].inbox.push(command);
                }
            }
            Event::Report {
                worker,
                agent_epoch,
                number,
                node,
                body,
            } => {
                if self.nodes[node].node.is_some() {
                    let request = self.ask(
                        node,
                        Asker::Worker {
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
                    self.copy_command(node, "/v1/report", &command);
                    self.keep_report(&command);
                    if self.strikes(|trouble| match trouble {
                        Fault::LateReports { share } => Some(*share),
                        _ => None,
                    }) {
                        let (later_ms, command) = (self.draw_ms(LATE_REPORT_MS), command.clone());
                        self.post(later_ms, Event::Again { to: node, command });
                    }
                    self.nodes[node].inbox.push(command);
                } else {
                    let event = Event::HeartbeatResponse {
                        worker: worker.clone(),
                        agent_epoch,
                        number,
                        outcome: None,
                    };
                    self.post(LATENCY_MS, event);
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
                    self.copy_command(to, "frames", &Command::Frame(frame.clone()));
                    self.nodes[to].inbox.push(Command::Frame(frame));
                }
            }
            Event::Again { to, mut command } => {
                self.copied += 1;
                if let Command::Request { request, .. } = &mut command {
                    // Nobody waits for the answer.
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
                    UserKind::Submit => (
                        "POST",
                        "/v1/jobs".to_owned(),
                        self.jobs[&job].body.to_string().into_bytes(),
                    ),
                    UserKind::Poll => ("GET", format!("/v1/jobs/{job}"), Vec::new()),
                    UserKind::Cluster => {
                        let body = self.sent.get(&job).map(|sent| sent.body.clone());
                        ("POST", "/v1/condor/clusters".to_owned(), body.unwrap_or_default())
                    }
                    UserKind::Cancel => ("POST", format!("/v1/jobs/{job}/withdraw"), Vec::new()),
                    UserKind::Probe {
                        method, path, body, ..
                    } => (*method, path.clone(), body.clone()),
                };
                if path == "/v1/jobs" {
                    self.note_submission(&body);
                }
                let at = self.now;
                let request = self.ask(node, Asker::User { job, kind, at });
                let command = Command::Request {
                    request,
                    method: method.to_owned(),
                    path: path.clone(),
                    body,
                };
                self.copy_command(node, &path, &command);
                self.nodes[node].inbox.push(command);
            }
        }
    }

    /// After how long a message on this path is delivered once more, if it is.
    fn copied_after(&self, path: &str) -> Option<u64> {
        let mut copies = self.copies.iter();
        let copies = copies.find(|copies| self.now < copies.until && copies.of(path))?;
        Some(copies.later_ms)
    }

    fn copy_command(&mut self, to: usize, path: &str, command: &Command) {
        if let Some(later_ms) = self.copied_after(path) {
            let command = command.clone();
            self.post(later_ms, Event::Again { to, command });
        }
    }

    /// A user asks a node, by way of the network.
    pub(crate) fn user_asks(&mut self, node: usize, job: &str, kind: UserKind) {
        let job = job.to_owned();
        self.send("users", &format!("n{node}"), Event::User { node, job, kind });
    }

    /// A submission whose user does not come again, after so many ms.
    pub(crate) fn flood(&mut self, after_ms: u64, node: usize, job: String) {
        let kind = UserKind::Submit;
        self.post(after_ms, Event::User { node, job, kind });
    }

    /// What the settings say of the state service's rates.
    pub(crate) fn state_limits(&self) -> (f64, f64) {
        let settings = Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let state = settings.deployment.state;
        (state.rps, state.write_rps)
    }

    fn ask(&mut self, node: usize, asker: Asker) -> RequestId {
        let controller = &mut self.nodes[node];
        controller.next_request += 1;
        let request = RequestId(controller.next_request);
        controller.asked.insert(request, asker);
        request
    }

    fn serve(&mut self, asked: Call) {
        let Call {
            node,
            life,
            call,
            ref to,
            method,
            ref path,
            ref body,
            again,
        } = asked;
        let from = host(to);
        let kind = match to {
            Destination::State => "requests",
            Destination::Cloud => "cloud",
            Destination::Worker(_) => "workers",
            Destination::Licences(_) => "licences",
        };
        self.calls.note(kind, 1, self.now);
        let mut silent = false;
        let mut answer_ms = 0;
        let mishap = self.message_faults.iter().position(|mishap| {
            let (MessageFault::LoseAnswer { path: wanted } | MessageFault::Late { path: wanted, .. }) =
                mishap;
            // `/multi:b/~`: only with these words in its body.
            let (wanted, words) = wanted.split_once(':').unwrap_or((wanted, ""));
            !again
                && wanted == path
                && String::from_utf8_lossy(body).contains(words)
                && (path != "/do" || String::from_utf8_lossy(body).contains("\"run\""))
        });
        if let Some(at) = mishap {
            match self.message_faults.remove(at) {
                MessageFault::LoseAnswer { .. } => silent = true,
                MessageFault::Late { by_ms, .. } => {
                    // The sender has given up by then; nobody hears the answer.
                    self.post(by_ms, Event::Call(Call { life: 0, ..asked }));
                    return;
                }
            }
        }
        if *to == Destination::State && !again {
            let late = path == "/multi"
                && self.strikes(|trouble| match trouble {
                    Fault::LateWrites { share } => Some(*share),
                    _ => None,
                });
            let slower_ms = self.slower();
            // A slow call may be carried out late, or answered late.
            if late || slower_ms > 0 && self.draw() < 0.5 {
                let after_ms = if late {
                    self.draw_ms(LATE_WRITE_MS)
                } else {
                    slower_ms
                };
                let life = if late { 0 } else { life };
                let call = Call {
                    life,
                    again: true,
                    ..asked
                };
                self.post(after_ms, Event::Call(call));
                return;
            }
            answer_ms = slower_ms + self.withheld(node, path, body);
            silent |= path == "/multi"
                && self.strikes(|trouble| match trouble {
                    Fault::LostAnswers { share } => Some(*share),
                    _ => None,
                });
        }
        match self.deviation(to, method, path, body) {
            None => (),
            Some(Deviation::LoseResponse) => silent = true,
            Some(Deviation::LoseRequest) => return,
            Some(Deviation::Delay) => {
                self.post(WALK_LATE_MS, Event::Call(Call { life: 0, ..asked }));
                return;
            }
            Some(Deviation::CrashBefore) => {
                self.end(node, RESTART_MS);
                return;
            }
            Some(Deviation::CrashAfter) => self.end(node, RESTART_MS),
            Some(Deviation::RefuseSender) => {
                self.refused.insert(node, self.now + WALK_LAPSE_MS);
            }
        }
        if *to == Destination::State
            && self.nodes[node].life == life
            && let Some((carried_out, back_ms)) = self.ends_with(method, path, body)
        {
            self.end(node, back_ms);
            if !carried_out {
                return;
            }
        }
        if *to == Destination::State
            && let Some(carried_out) = self.books.ends_at(path, body)
        {
            self.end(node, RESTART_MS);
            if !carried_out {
                return;
            }
        }
        let answer: Option<(u16, Vec<u8>)> = match to {
            Destination::State if !self.state.admits_request(path, body, self.now) => {
                Some((429, json_bytes(&Value::Null)))
            }
            Destination::State => {
                if self.state.outage || self.refuses(node) {
                    Some((503, json_bytes(&Value::Null)))
                } else {
                    let (changes, now) = (self.state.applied_changes, self.now);
                    let reply = self.state.handle(method, path, body, now);
                    self.calls
                        .note("changes", (self.state.applied_changes - changes) as usize, now);
                    if self.state.applied_changes > changes {
                        if let Err(problem) = self.books.learn(body) {
                            self.violation("owner_changed", problem);
                        }
                        learn_jobs(&mut self.jobs, body, self.condor_run_s);
                    }
                    match reply {
                        Reply::Immediate(status, value) => Some((status, json_bytes(&value))),
                        Reply::LongPoll { prefix, after, until } => {
                            self.watches.push(Watch {
                                node,
                                life,
                                call,
                                prefix,
                                after,
                                until,
                            });
                            None
                        }
                    }
                }
            }
            Destination::Cloud => {
                // What the cloud refused is known to nobody when a copy of it is carried out.
                if !again {
                    self.check_holder(node, path, body);
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
                    self.post(wait, Event::Call(asked));
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
            && !again
            && let Some(later_ms) = self.copied_after(&asked.path)
        {
            self.copied += 1;
            let copy = Call {
                life: 0,
                again: true,
                ..asked.clone()
            };
            self.post(later_ms, Event::Call(copy));
        }
        if let Some((status, body)) = answer
            && !silent
        {
            let answer = Event::Answer {
                node,
                life,
                call,
                outcome: Outcome::Answer { status, body },
            };
            if answer_ms > 0 {
                self.post(answer_ms, answer);
            } else {
                self.send(&from, &format!("n{node}"), answer);
            }
        }
    }

    /// A controller ends, and is started again after so many ms.
    pub(crate) fn end(&mut self, node: usize, after_ms: u64) {
        self.nodes[node].node = None;
        self.nodes[node].restart_at = self.now + after_ms;
    }

    /// Whether the sender of this call to the state service ends with it: if so, whether it is carried
    /// out, and when the sender is back, in ms.
    fn ends_with(&mut self, method: &str, path: &str, body: &[u8]) -> Option<(bool, u64)> {
        if self.of_clusters(method, path, body) {
            match &mut self.end_at {
                Some((0, carried_out)) => {
                    let carried_out = *carried_out;
                    self.end_at = None;
                    return Some((carried_out, RESTART_MS));
                }
                Some((left, _)) => *left -= 1,
                None => (),
            }
        }
        let next = self.end_on.front()?;
        // A claim that comes second is refused, and no stage of an election.
        let second = next.stage == Stage::Claim && self.state.value("leader").is_some();
        if second || !next.stage.is(method, path, body) {
            return None;
        }
        let end = self.end_on.pop_front()?;
        Some((end.carried_out, end.back_ms))
    }

    /// What becomes of this act of a leader in a walk: a transaction of its own, a direct command
    /// with orders, a rental or a return.
    fn deviation(&mut self, to: &Destination, method: &str, path: &str, body: &[u8]) -> Option<Deviation> {
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

    /// What a replaced leader does at the cloud must stand in the records that its successor reads:
    /// nobody at the cloud compares tokens.
    fn check_holder(&mut self, node: usize, path: &str, body: &[u8]) {
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
                let known = self.returns_on_record();
                let there = |id: &String| {
                    let machine = self.cloud.machines.get(id);
                    machine.is_some_and(|machine| machine.removed_at.is_none())
                };
                let names = names.machines.into_iter();
                names.filter(|id| there(id) && !known.contains(id)).collect()
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
            self.unknown_acts += 1;
            self.violation("replaced_holder", format!("n{node} {path} {what}"));
        }
    }

    /// Machines whose return stands in the records.
    fn returns_on_record(&self) -> BTreeSet<String> {
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

    /// Whether a call to the state service is about clusters, and neither the leader's own nor for
    /// a user's question about one job.
    fn of_clusters(&self, method: &str, path: &str, body: &[u8]) -> bool {
        if method == "GET" && path.contains("/wk-99") {
            return false;
        }
        let keys = ["k/", "n/cluster", "c/0", "j/~", "wk-99"];
        let body = String::from_utf8_lossy(body);
        let named = keys.iter().any(|key| path.contains(key) || body.contains(key));
        named && !body.contains("\"leader\"") && !path.contains("/changes")
    }

    /// Of a submit file's job: whether nothing holds it back, by the records.
    pub(crate) fn may_run(&self, job: &str, cluster: u64) -> Result<(), &'static str> {
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
            if self.refuses(watch.node) {
                self.watches.push(watch);
                continue;
            }
            let news = self
                .state
                .watch_response(&watch.prefix, watch.after)
                .or_else(|| (self.now >= watch.until).then(|| self.state.empty_watch_response()));
            match news {
                Some(news) => {
                    let outcome = Outcome::Answer {
                        status: 200,
                        body: news.to_string().into_bytes(),
                    };
                    let event = Event::Answer {
                        node: watch.node,
                        life: watch.life,
                        call: watch.call,
                        outcome,
                    };
                    self.send("state", &format!("n{}", watch.node), event);
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn step_machines(&mut self) {
        let up: Vec<String> = self
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
        for id in up {
            let machine = &self.cloud.machines[&id];
            let mut worker = Worker::new(&id, &machine.machine_type, &machine.zone, machine.spot, self.now);
            let known = self
                .cloud
                .types
                .iter()
                .find(|known| known.name == machine.machine_type);
            worker.cache_gb = known.map_or(f64::INFINITY, |known| known.cache_gb);
            worker.fetches_share_rate = self.shares_rate;
            self.workers.insert(id, worker);
        }
        let taken: Vec<String> = self
            .workers
            .values()
            .filter(|worker| worker.reclaim_at.is_some_and(|at| self.now >= at))
            .map(|worker| worker.id.clone())
            .collect();
        for id in taken {
            self.cloud.remove(&id, self.now);
            self.workers.remove(&id);
        }
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let arrived = worker.step(&mut self.jobs, self.now);
            self.begun += std::mem::take(&mut worker.fetches_started);
            let (node, agent_epoch) = (worker.node, worker.agent_epoch);
            if let Some((number, body)) = worker.due_heartbeat(self.now) {
                let event = Event::Report {
                    worker: id.clone(),
                    agent_epoch,
                    number,
                    node,
                    body,
                };
                self.send(&id, &format!("n{node}"), event);
            }
            for task in arrived {
                self.fetches += u32::from(self.now > task.state_since + STEP_MS);
                self.check_out(&id, &task);
                self.check_start(&id, &task.job, task.index);
            }
        }
        self.step_gangs();
    }

    /// The licence server sees which of its clients still run.
    fn step_licences(&mut self) {
        if self.licences.features.is_empty() {
            return;
        }
        let workers = &self.workers;
        self.licences.step(self.now, |client| {
            ClientState::of(workers.get(&client.host), client)
        });
    }

    /// A task that came to be on a machine checks its seats out.
    fn check_out(&mut self, machine: &str, task: &worker::Task) {
        let counts = &self.jobs[&task.job].counted_units;
        for count in self.licences.check_out_all(counts, machine, task) {
            self.violation(
                "oversubscribed",
                format!("{} is refused a seat of {count}", task.name()),
            );
        }
    }

    /// Gangs start together, end together and notice a lost member.
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
            let facts = &self.jobs[&job];
            if facts.shape != "gang" {
                continue;
            }
            let all = states.len() as u32 == facts.tasks;
            let start = all && states.iter().all(|state| *state == TaskState::Waiting);
            let done = facts.completed_tasks.len() as u32 == facts.tasks;
            for task in self.workers.values_mut().flat_map(|worker| &mut worker.tasks) {
                if task.job != job || task.attempt != attempt || !task.is_on_machine() {
                    continue;
                }
                if start {
                    ran.insert(job.clone());
                    task.state = TaskState::Running;
                    task.state_since = self.now;
                    task.base_progress_s = facts.checkpointed_s;
                } else if done && task.state == TaskState::Running {
                    task.exit(indigopath_controller::protocol::TaskEndCause::Done);
                } else if task.state == TaskState::Running {
                    let missing = !all;
                    task.gang_exit_at = missing.then(|| task.gang_exit_at.unwrap_or(self.now + GANG_PEER_MS));
                }
            }
        }
        for id in ran {
            if let Some(facts) = self.jobs.get_mut(&id) {
                facts.started_tasks = (0..facts.tasks).collect();
                facts.started_at.get_or_insert(self.now);
            }
        }
    }

    // ---- users ---------------------------------------------------------------

    fn step_users(&mut self) {
        let due: Vec<String> = self
            .user_at
            .iter()
            .filter(|(_, at)| self.now >= **at)
            .map(|(job, _)| job.clone())
            .collect();
        self.step_clusters();
        for job in due {
            let facts = &self.jobs[&job];
            let over = matches!(facts.reported_status.as_deref(), Some("done" | "cancelled"));
            let kind = if !facts.accepted {
                UserKind::Submit
            } else if facts.cancel_requested && !over {
                UserKind::Cancel
            } else {
                UserKind::Poll
            };
            let again_ms = if kind == UserKind::Poll { ASK_MS } else { 1_000 };
            self.user_at.insert(job.clone(), self.now + again_ms);
            self.user_turn += 1;
            let node = self.user_turn % NODES;
            self.user_asks(node, &job, kind);
        }
    }

    /// Sends submit files that nobody has answered yet, node by node.
    fn step_clusters(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (name, sent) in &mut self.sent {
            if sent.response.is_none() && now >= sent.next_attempt_at {
                sent.next_attempt_at = now + 1_000;
                sent.nodes.rotate_left(1);
                due.push((name.clone(), sent.nodes[0]));
            }
        }
        for (job, node) in due {
            let kind = UserKind::Cluster;
            self.user_asks(node, &job, kind);
        }
    }

    fn cluster_told(&mut self, name: &str, status: u16, body: &[u8]) {
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let before = self.sent.get(name).and_then(|sent| sent.response.clone());
        match (&before, status) {
            // Come again.
            (_, 503) | (Some((201, _)), 201) => (),
            (None, _) => (),
            (Some(before), _) => {
                self.violation("went_back", format!("{name} was {}, is {status}", before.0));
            }
        }
        if let Some((201, told)) = &before
            && status == 201
            && told["cluster"] != answer["cluster"]
        {
            self.violation(
                "two_clusters",
                format!("{name} is {} and {}", told["cluster"], answer["cluster"]),
            );
        }
        let others: Vec<Value> = self
            .sent
            .iter()
            .filter(|(_, sent)| self.sent.get(name).is_none_or(|own| own.body != sent.body))
            .filter_map(|(_, sent)| Some(sent.response.as_ref()?.1["cluster"].clone()))
            .collect();
        if status == 201 && others.contains(&answer["cluster"]) {
            self.violation(
                "same_number",
                format!("{name} is {}, which another is", answer["cluster"]),
            );
        }
        if status == 201 {
            // Its submitter asks about each of its jobs from now on.
            let number = answer["cluster"].as_u64();
            for (id, facts) in &mut self.jobs {
                if facts.cluster == number && facts.accepted_at.is_none() {
                    facts.accepted_at = Some(self.now);
                    self.user_at.insert(id.clone(), self.now + ASK_MS);
                }
            }
        }
        if let Some(sent) = self.sent.get_mut(name)
            && status != 503
        {
            sent.response = Some((status, answer));
        }
    }

    fn replied(&mut self, node: usize, asker: Option<Asker>, status: u16, body: Vec<u8>) {
        let name = format!("n{node}");
        match asker {
            None => (),
            Some(Asker::Worker {
                id,
                agent_epoch,
                number,
            }) => {
                self.commands_leave(node, &body);
                let event = Event::HeartbeatResponse {
                    worker: id.clone(),
                    agent_epoch,
                    number,
                    outcome: Some((status, body)),
                };
                self.send(&name, &id, event);
            }
            // Whoever polls waits for 2 s and has gone by then; a frozen node's late word reaches
            // nobody.
            Some(Asker::User {
                kind: UserKind::Poll,
                at,
                ..
            }) if self.now > at + POLL_MS => (),
            Some(Asker::User { job, kind, at }) => {
                self.judge_answer(node, &job, &kind, at, status, &body);
                self.user_told(&job, kind, status, &body);
                self.node_tells(node, &job, status);
            }
        }
    }

    fn user_told(&mut self, job: &str, kind: UserKind, status: u16, body: &[u8]) {
        self.judge_submission(job, &kind, status, body);
        if let UserKind::Probe {
            method,
            path,
            body: asked,
            status: wanted,
        } = kind
        {
            if path == "/v1/jobs"
                && let Err(problem) = self.books.keeps(&asked, body)
            {
                self.violation("told_too_much", problem);
            }
            // 421: only the leader can tell, and this is another node.
            if let Err(problem) = self.books.hides(&path, body) {
                self.violation("told_of_another", problem);
            }
            if wanted != 0 && status != wanted && status != 503 && status != 421 {
                self.violation("answer", format!("{method} {path} got {status}, not {wanted}"));
            }
            if status != 421 {
                self.probes.push((path, status));
            }
            // Whatever the route, and whichever the node: the first word counts.
            let answer: Value = serde_json::from_slice(body).unwrap_or_default();
            let about = answer["Id"].as_str().filter(|id| self.jobs.contains_key(*id));
            if let (200 | 201, Some(id), Some(told)) = (status, about, answer["Status"].as_str()) {
                self.told(id, told);
            }
            return;
        }
        if kind == UserKind::Cluster {
            return self.cluster_told(job, status, body);
        }
        if let Err(problem) = accounting_checks::plain(job, body) {
            self.violation("told_too_much", problem);
        }
        let now = self.now;
        let facts = self.jobs.get_mut(job).unwrap();
        match (kind, status) {
            (UserKind::Submit, 200 | 201) => {
                facts.accepted = true;
                facts.accepted_at.get_or_insert(now);
            }
            (UserKind::Submit, 400 | 422) if !facts.accepted => facts.rejected = true,
            (_, 400 | 404 | 422) if facts.accepted => {
                self.violation("forgotten", format!("{job} got {status}"));
                return;
            }
            (_, 503) => self.most_refused += 1,
            _ => (),
        }
        if status != 200 && status != 201 {
            return;
        }
        let answer: Value = serde_json::from_slice(body).unwrap();
        let told = answer["Status"].as_str().unwrap().to_owned();
        self.jobs.get_mut(job).unwrap().last_answered_at = Some(now);
        self.told(job, &told);
    }

    /// A user was told of a job, by any node and on any route.
    fn told(&mut self, job: &str, told: &str) {
        let now = self.now;
        let facts = self.jobs.get_mut(job).unwrap();
        let before = facts.reported_status.replace(told.to_owned());
        let complete = facts.completed_tasks.len() as u32 == facts.tasks && facts.shape != "daemon";
        // A submit file's jobs are taken back under their cluster's number.
        let (wanted, of_file) = (facts.cancel_requested, facts.cluster.is_some());
        if told == "cancelled" {
            facts.cancel_confirmed_at.get_or_insert(now);
        }
        if told == "done" {
            facts.completion_reported_at.get_or_insert(now);
        }
        if let Some(before) = before.filter(|before| matches!(before.as_str(), "done" | "cancelled"))
            && before != told
        {
            self.violation("went_back", format!("{job} was {before}, is {told}"));
        }
        if told == "done" && !complete {
            self.violation("not_done", job);
        }
        if told == "cancelled" && !wanted && !of_file {
            self.violation("went_back", format!("{job} is cancelled, but not by its user"));
        }
    }

    // ---- the rules -----------------------------------------------------------

    pub(crate) fn on_machines(&self) -> impl Iterator<Item = (&Worker, &worker::Task)> {
        self.workers.values().flat_map(|worker| {
            worker
                .tasks
                .iter()
                .filter(|task| task.is_on_machine())
                .map(move |task| (worker, task))
        })
    }

    fn check_start(&mut self, machine: &str, job: &str, index: u32) {
        let facts = self.jobs.get_mut(job).unwrap();
        facts.task_starts += 1;
        self.note_start(job);
        let facts = self.jobs.get_mut(job).unwrap();
        if facts.shape != "gang" {
            facts.started_tasks.insert(index);
        }
        if facts.shape == "sweep" {
            facts.started_at.get_or_insert(self.now);
        }
        let facts = facts.clone();
        self.check_protected_start(machine, job);
        let worker = &self.workers[machine];
        let (zone, machine_type, spot) = (worker.zone.clone(), worker.machine_type.clone(), worker.spot);
        let name = format!("{job}/{index}");
        let elsewhere: Vec<(String, String, String)> = self
            .on_machines()
            .filter(|(_, task)| task.job == job)
            .map(|(worker, task)| (worker.id.clone(), worker.zone.clone(), task.name()))
            .collect();
        if elsewhere
            .iter()
            .any(|(id, _, task)| *task == name && id != machine)
        {
            self.violation("ran_twice", &name);
        }
        if let Some(cluster) = facts.cluster {
            // What was under way to the machine when somebody held it stops there.
            if let Err(why) = self.may_run(job, cluster)
                && why != "it is held"
            {
                self.violation("too_soon", format!("{name}: {why}"));
            }
            let spec = facts.spec.clone().unwrap_or_default();
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
        let body = &facts.body;
        let type_ok = body["Rigs"]
            .as_array()
            .is_none_or(|types| types.iter().any(|allowed| *allowed == machine_type.as_str()));
        let zone_ok = body["Yard"].as_str().is_none_or(|only| only == zone);
        let one_ok = body["OneZone"] != true || elsewhere.iter().all(|(_, other, _)| *other == zone);
        let mut in_zone: BTreeSet<&String> = elsewhere
            .iter()
            .filter(|(_, other, _)| *other == zone)
            .map(|(_, _, task)| task)
            .collect();
        in_zone.insert(&name);
        let apart_ok = body["Apart"] != true || in_zone.len() as u32 <= facts.tasks.div_ceil(2);
        if !(type_ok && zone_ok && one_ok && apart_ok) || (spot && body["Loaners"] != true) {
            self.violation(
                "wrong_place",
                format!("{name} on {machine} ({machine_type}, {zone}, spot {spot})"),
            );
        }
        if facts
            .cancel_confirmed_at
            .is_some_and(|at| self.now > at + CANCEL_MS)
        {
            self.violation("ran_cancelled", format!("{name} starts"));
        }
    }

    fn check_rules(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut overdue = Vec::new();
        for (_, task) in self.on_machines() {
            let facts = &self.jobs[&task.job];
            *used.entry(facts.team.clone()).or_default() += facts.gpus;
            if facts
                .cancel_confirmed_at
                .is_some_and(|at| self.now > at + CANCEL_MS)
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

    /// The books say what the records of ended jobs say, as far as they go.
    pub(crate) fn check_books(&mut self) {
        if let Err(problem) = self.books.check(&self.state) {
            self.violation("books", problem);
        }
    }

    // ---- served share --------------------------------------------------------

    fn count_replicas(&mut self) {
        let mut up: BTreeMap<String, u64> = BTreeMap::new();
        for (_, task) in self
            .on_machines()
            .filter(|(_, task)| task.state == TaskState::Running)
        {
            *up.entry(task.job.clone()).or_default() += 1;
        }
        let now = self.now;
        for (id, facts) in &mut self.jobs {
            let up = up.get(id).copied().unwrap_or(0);
            if facts.shape == "daemon" && up >= u64::from(facts.tasks) {
                facts.started_at.get_or_insert(now);
            }
            let due = facts.submitted_at.is_some_and(|at| now >= at + SERVED_AFTER_MS);
            if facts.shape == "daemon" && due && facts.cancel_requested_at.is_none() {
                let tasks = u64::from(facts.tasks);
                facts.replica_wanted_ms += tasks * SERVED_STEP_MS;
                facts.replica_up_ms += up.min(tasks) * SERVED_STEP_MS;
            }
        }
    }

    /// Tasks served and asked for so far, by class and by team. Asked for is every task of a job
    /// that is old enough, unless its user took it back before, it can never run, or it was
    /// submitted with a mistake. Served is, of an array, a task that was ever started; of
    /// a gang, all once it ran; of a service, each replica by the time that it was up.
    pub(crate) fn served(&self) -> BTreeMap<String, (f64, f64)> {
        let mut shares: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for facts in self.jobs.values() {
            let Some((served, asked)) = self.served_of(facts) else {
                continue;
            };
            for whose in [format!("class={}", facts.class), format!("team={}", facts.team)] {
                let share = shares.entry(whose).or_default();
                share.0 += served;
                share.1 += asked;
            }
        }
        shares
    }

    /// Of one job, if it counts.
    pub(crate) fn served_of(&self, facts: &ObservedJob) -> Option<(f64, f64)> {
        let due_at = facts.submitted_at? + SERVED_AFTER_MS;
        let until = facts.cancel_requested_at.unwrap_or(self.now);
        if until < due_at || facts.rejected || facts.always_fails {
            return None;
        }
        let asked = f64::from(facts.tasks);
        let served = match facts.shape.as_str() {
            "daemon" if facts.replica_wanted_ms == 0 => return None,
            "daemon" => asked * facts.replica_up_ms as f64 / facts.replica_wanted_ms as f64,
            _ => facts.started_tasks.union(&facts.completed_tasks).count() as f64,
        };
        Some((served, asked))
    }

    /// The machine on which a task is now.
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

/// Jobs of submit files are known by their records alone: nobody else names them. `run_s` is
/// how long their tasks run.
pub(crate) fn learn_jobs(jobs: &mut BTreeMap<String, ObservedJob>, body: &[u8], run_s: f64) {
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
        let facts = jobs.entry(id).or_insert_with(|| ObservedJob {
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
        facts.team = text("team");
        facts.spec = Some(value);
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
