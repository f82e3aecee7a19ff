//! Every constant of the scheduler, with its unit and its reason.
//!
//! Deployment facts (rates, lease times, zones) come from the settings file and
//! are never repeated here.

/// Milliseconds in a second, to keep conversions readable.
pub const SECOND_MS: u64 = 1_000;

/// Life of the leader's state lease, in ms. Short, because nobody places work
/// between a leader's end and the lease's; long enough for three touches.
pub const LEADER_LEASE_MS: u64 = 2_500;

/// Life, in ms, of a lease that is asked for after a call of an election went unanswered: lease and
/// claim, one after the other, must be answered within it, by a service that takes 2 s for each. Its
/// holder still counts on [`LEADER_LEASE_MS`] only.
pub const LEADER_SLOW_LEASE_MS: u64 = 3 * LEADER_LEASE_MS;

/// Interval between touches of the leader's lease, in ms: a third of its life.
pub const LEADER_RENEWAL_MS: u64 = 700;

/// How long one call of an election may stay unanswered, in ms. The state service now and then
/// takes a few hundred ms; beyond this another try is the better bet. If that is not answered
/// either, the service is slow, and the next ones have [`LEADER_LEASE_MS`].
pub const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// Worst drift between two steady clocks, in parts per million (protocol: 0.05 %).
pub const CLOCK_DRIFT_PPM: u64 = 500;

/// Parts in a whole of which [`CLOCK_DRIFT_PPM`] is a share.
pub const PARTS_PER_MILLION: u64 = 1_000_000;

/// Safety margin, in ms, wherever a lease's end is computed rather than observed.
pub const LEASE_MARGIN_MS: u64 = 500;

/// Margin, in ms, kept between a cancellation's bound and the latest moment at
/// which a leader without the state service lets workers' leases run out.
pub const CANCEL_MARGIN_MS: u64 = 2_000;

/// Largest random wait, in ms, before claiming a free leadership, so that
/// followers do not all spend a write on the same claim.
pub const CLAIM_JITTER_MS: u64 = 60;

/// How long a node that released the lease of its life before leaves the claim to its
/// peers, in ms: a few ways through the network and [`CLAIM_JITTER_MS`]. They know the
/// machine types and have users already.
pub const RELEASED_LEASE_BACKOFF_MS: u64 = 150;

/// Wait, in ms, between attempts to learn who leads while the state service fails.
pub const LEADER_LOOKUP_RETRY_MS: u64 = 300;

/// How long a node that handed leadership over leaves it to others, in ms.
pub const ELECTION_BACKOFF_MS: u64 = 20_000;

/// How long, in ms, nobody may have led before a node that abstains claims all the same: whoever
/// else can claim does so within a few ways through the network and [`CLAIM_JITTER_MS`], or comes
/// back within a second. A leader that hears few workers is better than none, which hears nobody.
pub const ELECTION_BACKOFF_VACANT_MS: u64 = 3_000;

/// Longest hold, in ms, of a watch on the state service; bounds how long a watch
/// lost to a silent cut can hide changes.
pub const WATCH_LONG_POLL_MS: u64 = 4_000;

/// The same of the leader's watch on jobs: an answer tells that no end was missed up to its sending,
/// so a quiet site's leader knows that at most so old, and one request a second is its price.
pub const JOB_WATCH_LONG_POLL_MS: u64 = 1_000;

/// Reports, with the tasks that they name, that a leader keeps while it reads the records: a
/// fleet's worth of workers whose leader has just ended, of some 200 bytes a task. 4,000 machines with
/// 20,000 tasks, and as many that ended and are not forgotten yet, are 44,000.
pub const BUFFERED_HEARTBEATS: usize = 50_000;

/// How long, in ms, such a report is kept at most: its worker waits 4 s (protocol), and is better
/// told to go on than left without an answer.
pub const BUFFERED_HEARTBEAT_MS: u64 = 3_000;

/// Time beyond its hold, in ms, after which a watch counts as lost.
pub const WATCH_SLACK_MS: u64 = 1_500;

/// Timeout, in ms, of a request to the state service on a user's behalf. The
/// user gives up after 2 s (poll) or 5 s (submission): a refusal must come sooner.
pub const USER_STATE_TIMEOUT_MS: u64 = 1_500;

/// Age, in ms, from which on a reading of a job as live is no answer any more: counted from when it was
/// asked for, on this node's own clock. As long as a poll's call may take, so that none is lost by it.
pub const LIVE_READ_MAX_AGE_MS: u64 = USER_STATE_TIMEOUT_MS;

/// Time, in ms, since a node knew that a job's end is committed, after which no peer can give a
/// reading that is older: the age above, by clocks that drift apart, each of which shows whole ms.
pub const COMMIT_WAIT_MS: u64 =
    LIVE_READ_MAX_AGE_MS + LIVE_READ_MAX_AGE_MS * 2 * CLOCK_DRIFT_PPM / 1_000_000 + 3;

/// Time, in ms since its request came, until which a poll waits for leave to be told an end, and a
/// submission or withdrawal: then its user is told to come back, just before it gives up after 2 and 5 s.
pub const POLL_RESPONSE_DEADLINE_MS: u64 = 1_800;
pub const WRITE_RESPONSE_DEADLINE_MS: u64 = 4_600;

/// Ends that may wait for leave to be told: some seconds' worth of them, however many end together.
pub const MAX_COMMIT_WAITS: usize = 5_000;

/// Time, in ms since its request came, that a submission or withdrawal has for its second call to
/// the state service and those after it. Its user waits for 5 s.
pub const USER_WRITE_TIMEOUT_MS: u64 = 4_000;

/// Timeout, in ms, of the leader's own transactions and reads.
pub const STATE_TIMEOUT_MS: u64 = 2_000;

/// Timeout, in ms, of a call to the cloud. Its answers take some 150 ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// Timeout, in ms, of a direct command to a worker.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_000;

/// Timeout, in ms, of `/inspect` on a silent machine, the last question before
/// it is given back.
pub const INSPECT_TIMEOUT_MS: u64 = 1_200;

/// Retry-After, in s, told to users when the service cannot decide yet.
pub const RETRY_AFTER_S: u64 = 1;

/// How long, in ms, a node counts as new: whom it refuses meanwhile comes back after one
/// second or two, by turns, so that not all who met its start ask again in one crowd.
pub const NODE_WARMUP_MS: u64 = 2_000;

/// Share of the state service's request rate that the leader allows itself.
pub const LEADER_STATE_SHARE: f64 = 0.5;

/// Share of the state service's request rate that the followers allow themselves
/// together.
pub const FOLLOWERS_STATE_SHARE: f64 = 0.45;

/// Share of the state service's change rate that the leader's batches may use;
/// the rest is for users' submissions and cancellations on any node.
pub const LEADER_WRITE_SHARE: f64 = 0.7;

/// Part of a full bucket of changes with which a leader begins. The leader before may have used
/// the state service's own burst up, and users whom nobody could serve come back at the same
/// moment: with a full one, 117 changes went out in a second where 100 are allowed.
pub const NEW_LEADER_WRITE_BURST: f64 = 0.3;

/// Share of the cloud's request rate that the leader uses; other nodes ask for
/// machine types only.
pub const CLOUD_SHARE: f64 = 0.8;

/// Part of the cloud's bucket that rentals and listings leave to returns: a silent
/// machine's tasks wait for its return.
pub const RELEASE_CALL_RESERVE: f64 = 0.3;

/// Part of a bucket that polls must leave for submissions and cancellations.
pub const USER_WRITE_RESERVE: f64 = 0.25;

/// Wait, in ms, before a leader's failed write is tried again.
pub const WRITE_RETRY_MS: u64 = 200;

/// How long polls gather, in ms, before one comparison in the state service answers
/// for all of them; their users wait 2 s.
pub const POLL_BATCH_MS: u64 = 60;

/// Live jobs whose record's version a node remembers for that.
pub const LIVE_JOB_CACHE_SIZE: usize = 20_000;

/// Bytes of one transaction's body that the leader fills at most (protocol: 64 KiB).
pub const MAX_TXN_BYTES: usize = 56 * 1024;

/// Bytes that a transaction's body takes beside its conditions and changes, at most: its field names
/// and brackets.
pub const TXN_ENVELOPE_BYTES: usize = 64;

/// Bytes that a condition takes beside its key, at most: field names, punctuation and the version.
pub const CONDITION_OVERHEAD_BYTES: usize = 40;

/// Bytes that a change takes beside its key and value, at most: field names and punctuation.
pub const CHANGE_OVERHEAD_BYTES: usize = 32;

/// Conditions that a transaction may have for each change that `txn_ops` allows: many starts of one
/// shard belong to different jobs, each of which must still live.
pub const TXN_CONDITIONS_PER_OP: usize = 4;

/// Conditions that a transaction keeps free for the versions of the shards that it writes: two, as a
/// shard that is split is written together with its other half.
pub const SHARD_VERSION_CONDITIONS: usize = 2;

/// How long, in ms, ended tasks may wait for a higher token before their workers forget
/// them. Each renewal makes every worker report once more; each task that waits makes its
/// worker's reports some 100 bytes longer, and a task of 40 s has two or so waiting.
pub const FORGET_TOKEN_RENEWAL_MS: u64 = 60_000;

/// Ended tasks of one machine that wait for a higher token before it is renewed at once: a
/// report holds some 600 (protocol: 64 KiB).
pub const MAX_PENDING_FORGETS: usize = 150;

/// Number of items asked for in one page of a state listing.
pub const STATE_PAGE_ITEMS: u32 = 500;

/// How long, in ms, completed tasks gather before they are recorded. Workers keep
/// the results meanwhile.
pub const COMPLETED_TASKS_BATCH_MS: u64 = 500;

/// Interval, in ms, at which a leader compares its clock with the windows of shifts: an edge is at
/// most so late, and the ledger decides before anybody's clock has it.
pub const PROTECTION_WINDOW_CHECK_MS: u64 = 250;

/// Most replicas that are kept room for at a time, over all shifts: bounds the work of a pass. An eighth of
/// what 4,000 machines with eight replicas each hold.
pub const MAX_SPARE_REPLICAS: u32 = 4_000;

/// What stopping a replica counts as beyond the work lost, in s, for the sake of a protected one: more
/// than any batch loses, which gives way first.
pub const SERVICE_PREEMPTION_COST_S: f64 = 1.0e6;

/// The same of a protected replica, for the sake of anybody: it gives way last of all that may.
pub const PROTECTED_PREEMPTION_COST_S: f64 = 1.0e9;

/// For how long, in ms, protected replicas must find no room before operators are told: longer
/// than most boots take.
pub const PROTECTED_WAIT_WARNING_MS: u64 = 60_000;

/// Bytes in a KB of the setting `value_kb`.
pub const BYTES_PER_KB: f64 = 1024.0;

/// Part of `value_kb` that a value of ours fills at most: the service may write the
/// same JSON a little longer.
pub const MAX_VALUE_SHARE: f64 = 0.9;

/// What a machine takes of a shared record, in bytes, with some eight tasks: so many
/// of them share one that it stays within `value_kb`. Fuller ones are halved.
pub const SHARD_MACHINE_BYTES: usize = 500;

/// Most machines that are gone, but whose clients a licence server may still name, in one record: some
/// 30 bytes each, so that a record's room stays that of its machines. The client of one that is left out
/// counts as a user outside to the next leader, until the server has its seat back.
pub const RELEASED_MACHINES_PER_SHARD: usize = 16;

/// Tasks per chunk of a job's record of completed tasks. As a bitmap a chunk
/// takes 1 KiB, far below any `value_kb` that the platform sets.
pub const COMPLETED_TASKS_PER_CHUNK: u32 = 8_192;

/// Bytes that a chunk takes beside its bitmap in a record of completed tasks, at most: its name
/// (`<job>/<chunk>`), quotes and punctuation.
pub const CHUNK_KEY_OVERHEAD_BYTES: usize = 48;

/// Bytes of punctuation between two chunks in a record of completed tasks.
pub const CHUNK_SEPARATOR_BYTES: usize = 2;

/// Most tasks of one job (protocol).
pub const MAX_TASKS_PER_JOB: u64 = 100_000;

/// Longest request body, in bytes (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest text of an error to a user, in letters: it may repeat what came, a letter of which takes up to
/// six bytes as JSON, and no line of an answer may be longer than a body (protocol).
pub const MAX_ERROR_CHARS: usize = 1024;

/// Longest name (class, team, image, machine type) in a submission, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Longest run time, deadline or interval accepted, in s: a year and more.
pub const MAX_DURATION_S: f64 = 1e8;

/// Largest amount of a resource that a task may ask for.
pub const MAX_AMOUNT: f64 = 1e7;

/// Jobs of which peers told users lately that a node remembers, for as long as a request of its own
/// may last: some seconds' worth of a crowd's submissions.
pub const MAX_PEER_NOTICES: usize = 5_000;

/// Ended jobs whose final state a node remembers without asking again.
pub const ENDED_JOB_CACHE_SIZE: usize = 20_000;

/// Users' requests that may wait for the state service at one node; more are
/// answered 503 at once, which bounds memory.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// Rounds of reading a job again, because it changed meanwhile, before its user is asked to come back:
/// each takes a call, and few fit into the time that users wait.
pub const MAX_REREADS: u32 = 4;

/// How long, in ms, a request waits for its team's turn at most. A poll's user listens for 2 s,
/// and the state service needs its share of that.
pub const MAX_QUEUE_WAIT_MS: u64 = 700;

/// Share of the state service's change rate that submissions and withdrawals use, all nodes
/// together, while a flood lasts: with [`LEADER_WRITE_SHARE`] nearly all of it, so that the
/// leader's starts are not refused for others' floods.
pub const USER_WRITE_SHARE: f64 = 0.25;

/// Part of these budgets that is kept for teams which have just begun to ask.
pub const NEW_TEAM_RESERVE: f64 = 0.25;

/// Requests of one team that wait at a node beyond which it is a flood, and users keep to
/// [`USER_WRITE_SHARE`]. The crowd of a morning is of all teams, some dozen of each at a node.
pub const FLOOD_QUEUE_LENGTH: usize = 50;

/// Part of one second's changes that one node takes at once for users after a quiet while: a
/// morning's crowd is no flood.
pub const USER_WRITE_BURST: f64 = 0.5;

/// Interval of the heartbeat between nodes, in ms.
pub const HEARTBEAT_MS: u64 = 500;

/// Most bytes that wait for a peer; beyond that, frames are dropped. A peer that connects is told
/// the task counts of all live jobs at once, 40 bytes each: of 20,000 jobs, 800 KB.
pub const MAX_PEER_BACKLOG_BYTES: usize = 1024 * 1024;

/// Age, in ms, beyond which a peer's heartbeat says nothing any more.
pub const HEARTBEAT_MAX_AGE_MS: u64 = 2_000;

/// Age, in ms, of a node's last answer from the state service at which it asks for
/// one: a follower has little else to ask, and peers rely on what it says.
pub const STATE_PROBE_MS: u64 = 1_000;

/// How long, in ms, the state service must fail a node before it asks the load
/// balancer, through `/healthz`, to send users to a peer.
pub const STATE_UNHEALTHY_AFTER_MS: u64 = 1_500;

/// Time without a word from a machine, in ms, after which it is asked directly: well
/// before its next report is late, as an answer costs little and replicas on a dead
/// machine wait for the proof.
pub const PROBE_AFTER_MS: u64 = 2_000;

/// Multiple of the report interval after which a report is missing, not just slow:
/// workers vary it by a quarter (protocol).
pub const REPORT_LATE_FACTOR: f64 = 1.25;

/// What a report may take beyond that, in ms: its way, and a busy leader.
pub const REPORT_SLACK_MS: u64 = 700;

/// Machines that the leader asks unbidden in a second (greetings after a take-over,
/// questions to silent ones). Each takes a socket and some 0.2 ms of processor time;
/// a fleet of thousands must not take a second's worth of either at once, and most
/// workers report by themselves within seconds.
pub const PROBES_PER_S: f64 = 50.0;

/// The same for each core that a node has: on a tenth of one, the questions of a whole
/// second would keep reports and starts waiting, and so make machines look silent.
pub const PROBES_PER_S_PER_CORE: f64 = 250.0;

/// Part of that which questions of doubtful use leave to the others.
pub const URGENT_PROBE_RESERVE: f64 = 0.5;

/// Machines asked, spread over the fleet, before a silent one is given back: enough
/// to tell whether it is the leader who is cut off.
pub const PROBE_SAMPLE: usize = 24;

/// Machines of a zone asked when one of it is newly silent: enough to tell a zone that is cut
/// off from a machine that is gone.
pub const ZONE_PROBE_SAMPLE: usize = 12;

/// Machines that a zone must have for its silence to say more than theirs.
pub const ZONE_OUTAGE_MIN_MACHINES: usize = 6;

/// Share of all machines beyond which a zone's silence is rather everybody's.
pub const ZONE_OUTAGE_MAX_FLEET_SHARE: f64 = 0.75;

/// Share of a zone's machines that, silent, make it cut off, whoever else answers.
pub const ZONE_OUTAGE_SILENT_SHARE: f64 = 0.8;

/// For how many of the workers' leases machines of a zone that is cut off are kept. After one they
/// run nothing any more; but they hold images, and renting as many costs a boot each.
pub const ZONE_OUTAGE_KEPT_LEASES: u64 = 2;

/// Mute machines of a zone from which on its being mute says more than theirs.
pub const MUTE_ZONE_MIN_MACHINES: usize = 2;

/// How long, in ms, nothing is rented in a zone that was cut off once none of its machines is
/// silent and there: then it is tried again.
pub const ZONE_RENTAL_BACKOFF_MS: u64 = 20_000;

/// Direct commands under way at a time: each takes a socket.
pub const DIRECT_COMMANDS_IN_FLIGHT: usize = 200;

/// Interval, in ms, at which all machines are looked at for what time alone brings:
/// silence, leases, repeated stops.
pub const LIVENESS_CHECK_MS: u64 = 200;

/// Interval, in ms, at which the index of jobs' machines is built anew. It only ever
/// names too many meanwhile.
pub const MACHINE_INDEX_REBUILD_MS: u64 = 5_000;

/// Interval, in ms, at which tasks are counted for display (protocol: the state may
/// lag by 3 s).
pub const TASK_COUNT_INTERVAL_MS: u64 = 1_000;

/// How long, in ms, silent machines are kept once a zone answers again, or once this node no longer
/// doubts itself: their workers time out, go round the controllers and report within that. Without
/// it, hundreds were given back in the second in which a cut ended.
pub const RECONNECT_GRACE_MS: u64 = 8_000;

/// Share of the machines heard recently that, silent at once, make a leader
/// doubt itself rather than them.
pub const SELF_PARTITION_SILENT_SHARE: f64 = 0.5;

/// How long a leader waits, in ms, while doubting itself, before it hands over to
/// a peer that hears workers.
pub const SELF_PARTITION_HANDOVER_MS: u64 = 1_500;

/// How long a leader waits, in ms, while doubting itself, before it hands over although no peer
/// can be asked: longer than peers are back after a break, and far shorter than workers' leases.
pub const SELF_PARTITION_HANDOVER_ALONE_MS: u64 = 5_000;

/// How recently, in ms, a node must have been addressed by a worker to say that it
/// hears it, beyond a second for each node: a worker waits 4 s for a silent node, and
/// goes round the others, about a second each.
pub const WORKER_CONTACT_MAX_AGE_MS: u64 = 4_000;

/// Interval of the cloud listing, in ms: several times its usual lag, as reports
/// tell most of it sooner.
pub const LIST_INTERVAL_MS: u64 = 6_000;

/// Multiple of its usual lag by which the cloud's list may be late (protocol).
pub const LIST_LAG_MAX_FACTOR: f64 = 2.0;

/// What reading the list may take beyond that, in ms, for a leader that has just taken
/// over: some pages of 150 ms each, behind repeated rentals.
pub const LIST_LAG_SLACK_MS: u64 = 2_000;

/// What each full page of machines adds to that, in ms: at three calls a second beyond the first three,
/// nine pages, of 4,000 machines, take 3.4 s.
pub const LIST_PAGE_MS: u64 = 250;

/// Machines on a page of the cloud's list.
pub const LIST_PAGE_MACHINES: usize = 500;

/// Interval at which the machine types (and current spot prices) are read, in ms.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;

/// Wait, in ms, before the cloud is asked again after it failed or refused.
pub const CLOUD_RETRY_MS: u64 = 1_000;

/// Wait, in ms, before a machine type, zone and kind that the cloud refused for
/// want of capacity is asked for again.
pub const CAPACITY_RETRY_MS: u64 = 8_000;

/// Machines one rental request may ask for (protocol).
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Machines one return request may name (protocol).
pub const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Multiple of the observed boot time after which a machine that never reported
/// is given back: a few never come up, some take several times as long.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;

/// Boot time assumed, in s, before any machine of a type has been seen to boot.
pub const DEFAULT_BOOT_S: f64 = 60.0;

/// Weight of a new observation in the average boot time.
pub const BOOT_SMOOTHING: f64 = 0.2;

/// Time to give a machine back, in ms, before it has been observed.
pub const DEFAULT_RELEASE_MS: u64 = 1_000;

/// The paper's factor: queued walltime is divided by this many waste times.
pub const WASTE_FACTOR: f64 = 2.0;

/// Most machines rented at a time, unless the operators say otherwise: no limit, as
/// the cloud's capacity and the paper's rule are.
pub const DEFAULT_FLEET_MAX: u32 = u32::MAX;

/// Interval of the fleet loop, in ms. The paper sleeps 10 to 15 s to spare its
/// queue command; ours reads memory, and people wait for what it rents.
pub const AUTOSCALER_INTERVAL_MS: u64 = 500;

/// How long a machine must be idle, in ms, before it is surplus.
pub const IDLE_RELEASE_MS: u64 = 25_000;

/// Idle machines of a kind that are kept so long. Of a large fleet many are idle at a
/// time, and the next job needs few of them: the others are surplus sooner.
pub const IDLE_KEPT_PER_KIND: usize = 3;

/// How long, in ms, a machine must be idle to be surplus while more than that are.
pub const EXCESS_IDLE_RELEASE_MS: u64 = 10_000;

/// Interval, in ms, between scheduling passes when nothing changed: wakes
/// backed-off jobs and moves stops along.
pub const PASS_INTERVAL_MS: u64 = 1_000;

/// Shortest time, in ms, between two scheduling passes: changes gather in a batch.
pub const PASS_SPACING_MS: u64 = 20;

/// What each machine adds to that, in us: a pass looks at every machine and must not
/// take more than a part of a small share of a core.
pub const PASS_SPACING_PER_MACHINE_US: u64 = 120;

/// Starts that one pass plans at most, so that a pass stays short on a small
/// share of a core; the next pass goes on.
pub const STARTS_PER_PASS: usize = 400;

/// Searches for work that could give way which one pass makes at most: each looks at
/// every task that runs.
pub const PREEMPTION_SEARCHES_PER_PASS: usize = 40;

/// Machines that one pass tries to empty of replicas at most.
pub const CONSOLIDATION_TRIES_PER_PASS: usize = 8;

/// Failures of a machine, by different jobs, after which it is drained.
pub const FAULTY_MACHINE_FAILURES: usize = 2;

/// Machines on which a job must have failed before the job is held back.
pub const FAILING_JOB_MACHINES: usize = 2;

/// First wait, in ms, of a job that fails everywhere; doubles with each failure.
pub const FAILING_JOB_BACKOFF_MS: u64 = 4_000;

/// Doublings of that wait at most: a mistake may be mended, and what failed on machines that are gone may not
/// wait for 90 s beside a sound one, so it ends at 64 s.
pub const FAILING_JOB_MAX_DOUBLINGS: u32 = 4;

/// For how long, in ms, a job avoids the machine on which a task of it failed last: less than the 90 s for
/// which it may wait beside one that is sound, and longer than it takes to rent another.
pub const FAILED_MACHINE_AVOIDANCE_MS: u64 = 60_000;

/// Age, in ms, from which on work that can meet no objective any more has turns before its peers: a gang
/// among it can then begin within the four minutes in which users want the largest jobs to. On a small fleet a gang of four waited 551 s, while
/// others of its class that came later began.
pub const AGING_AFTER_MS: u64 = 200_000;

/// Starts of late work that go first for each other start: one in five, so that what can still be in time
/// hardly suffers.
pub const AGING_CREDIT_PER_START: f64 = 0.25;

/// Turns that late work may save up, and those that a large gang of it may owe.
pub const AGING_MAX_CREDIT: f64 = 4.0;
pub const AGING_MAX_DEBT: f64 = 16.0;

/// Age, in ms, up to which work that may use spot machines leaves the ordinary ones to a gang that finds no room
/// on them: it may wait for no more than 90 s while they stand idle, and a pass and a record take some of it.
pub const SPOT_ONLY_MAX_AGE_MS: u64 = 75_000;

/// Wait, in ms, before a machine that refused a start as full gets another.
pub const FULL_MACHINE_BACKOFF_MS: u64 = 2_000;

/// Time, in ms, after which an unanswered stop is repeated.
pub const STOP_RETRY_MS: u64 = 3_000;

/// Extra seconds granted to a save beyond what its owner says it needs.
pub const STOP_GRACE_EXTRA_S: f64 = 2.0;

/// Bits of an attempt number below the token: attempts a leader may hand out in
/// one term, so that numbers never repeat across leaders without being stored.
pub const ATTEMPT_BITS: u32 = 24;

/// Time, in ms, for which a returned machine's name is remembered, to tell a
/// lagging listing or a late report from a machine that is really there.
pub const GONE_MACHINE_RETENTION_MS: u64 = 300_000;

/// How often, in ms, what stays wrong (a class behind, a count) is warned of again: often enough that
/// whoever comes on call sees it, too seldom to bury the rest of the log.
pub const WARNING_REPEAT_MS: u64 = 300_000;

/// Part of the late jobs that a class is allowed, below which it has caught up. Without
/// a margin it would be behind and not behind by turns.
pub const OBJECTIVE_RECOVERED_SHARE: f64 = 0.7;

/// How long, in ms, after a warning a class counts as behind at least.
pub const OBJECTIVE_MIN_WARNED_MS: u64 = 60_000;

/// Jobs of a class that were done lately and are remembered for the forecast: their share
/// is what matters, and owners' deadlines may be days.
pub const FORECAST_JOBS: usize = 1_000;

/// Interval, in ms, of the forecast against objectives and deadlines.
pub const FORECAST_INTERVAL_MS: u64 = 2_000;

/// What a machine on which a task failed costs a placement, in s of waiting.
pub const FAILED_MACHINE_COST_S: f64 = 30.0;

/// What an ordinary machine costs a placement that may use a spot one, in s.
pub const ON_DEMAND_COST_S: f64 = 2.0;

/// What a spot machine costs a placement whose task could not be run again in time,
/// in s: more than any fetch.
pub const SPOT_RISK_COST_S: f64 = 40.0;

/// Chance that a machine is lost during a task, above which a task that could not be
/// run again in time stays off it.
pub const SPOT_MAX_LOSS_PROBABILITY: f64 = 0.05;

/// Spot machines assumed lost, per second and machine, before any was seen: one an
/// hour. It weighs as much as `SPOT_LOSS_PRIOR_WEIGHT_S` seconds of one machine.
pub const SPOT_LOSS_PRIOR_PER_S: f64 = 1.0 / 3_600.0;
pub const SPOT_LOSS_PRIOR_WEIGHT_S: f64 = 3_600.0;

/// Runs, by the owner's estimate, that must fit into what is left of a job's time, or
/// a lost task comes too late: estimates are often wrong by half.
pub const RERUN_MARGIN_RUNS: f64 = 2.5;

/// What a machine that the task holds wholly longer than others do costs a placement,
/// in s.
pub const OUTLASTING_COST_S: f64 = 5.0;

/// Age of a large job, in ms, from which on it goes before its peers if it has not begun. Its users
/// hold a day against us on which the largest of a class begin later than four minutes; a boot, a fetch
/// and the loss of a machine before the start take half of that. At 75 s too many small gangs waited
/// beyond what their users expect, at 130 s one of the largest came near four minutes.
pub const LARGE_JOB_PRIORITY_AFTER_MS: u64 = 110_000;

/// Age, in ms, at which operators are warned of a large job that has not begun: there is time left
/// to act within the four minutes.
pub const LARGE_JOB_WARNING_AFTER_MS: u64 = 150_000;

/// Part of a class's live jobs, by size, that count as large: twice what users look at, as what lives
/// now is not what comes in a day.
pub const LARGE_JOB_SHARE: f64 = 0.2;

/// Large jobs of a class that go first at a time: a few, or small jobs would wait instead.
pub const PRIORITIZED_LARGE_JOBS_PER_CLASS: usize = 3;

/// Large jobs that go first at a time, of all classes: users name classes, and a pass looks for
/// machines for each.
pub const PRIORITIZED_LARGE_JOBS: usize = 16;

/// Tasks of an array or a service that go first: all replicas of a service of usual size, and a part of
/// an array that lets it begin.
pub const PRIORITIZED_LARGE_JOB_TASKS: u32 = 12;

/// For what is free within so many s machines are kept for a large gang: most runs
/// are shorter, and what is longer off is rented meanwhile.
pub const RESERVATION_HORIZON_S: f64 = 60.0;

/// For how long, in ms, of each [`QUOTA_RESERVATION_PERIOD_MS`] of a large gang's waiting a part of its team's limit is kept
/// for it: that its team's work ends and a machine boots takes less. Its team's other work may wait for no more
/// than 90 s beside room while the gang finds no machines; a pass and a record take some of it.
pub const QUOTA_RESERVATION_MS: u64 = 75_000;

/// Of so many ms: where the gang finds no machines all the same, its team's other work has the rest.
pub const QUOTA_RESERVATION_PERIOD_MS: u64 = 240_000;

/// Part of the machines that is kept at most, beyond the oldest gang's own: they stand idle until the
/// last of them is free.
pub const MAX_RESERVED_SHARE: f64 = 0.03;

/// What a machine that is kept for a gang costs the placement of a more urgent task, in s: about a boot,
/// as that takes the place of one of the gang's.
pub const RESERVED_MACHINE_COST_S: f64 = 20.0;

/// For how long, in s, a task without an estimate counts as holding its machine.
pub const DEFAULT_OCCUPANCY_S: f64 = 400.0;

/// For how long, in s, one with an estimate does at least, also once it has run past that.
pub const MIN_OCCUPANCY_S: f64 = 10.0;

/// Runs that must still fit for a task to wait for a spot machine while ordinary ones
/// are short: its own, and some for a wrong estimate.
pub const RUN_MARGIN_FACTOR: f64 = 1.3;

/// Part of its estimate that a run takes at least, as a rule: a job for which even this no longer fits
/// cannot meet an objective any more.
pub const MIN_RUN_ESTIMATE_SHARE: f64 = 1.0;

/// Within what time, in s, a job whose class has no objectives is to start: it stands beside
/// others by this.
pub const DEFAULT_START_OBJECTIVE_S: f64 = 120.0;

/// What an empty machine costs a placement, in s: work gathers on few machines, so
/// that others fall idle and go back.
pub const EMPTY_MACHINE_COST_S: f64 = 3.0;

/// Whether replicas are gathered on few machines while all that waits finds room. Long-lived
/// replicas otherwise hold many machines, each nearly empty, that cannot go back.
pub const CONSOLIDATE_REPLICAS: bool = true;

/// Used share of a machine up to which its replicas are moved off it.
pub const CONSOLIDATE_BELOW_SHARE: f64 = 0.6;

/// Replicas moved in one pass: a job's users notice a few at a time at most.
pub const REPLICA_MOVES_PER_PASS: usize = 2;

/// Replicas moved in one pass as a share of the machines, where that is more: a move
/// takes its replica away for half a second, out of thousands.
pub const REPLICA_MOVES_SHARE: f64 = 0.004;

/// How long a replica must have run, in ms, before it is moved: an early stop would
/// make its start worthless to its users (protocol: 30 s).
pub const MIN_RUN_BEFORE_MOVE_MS: u64 = 35_000;

/// Work that may be lost, in s of a task, to start a task beside its image when a
/// fetch would make it late.
pub const PREEMPT_FOR_IMAGE_S: f64 = 30.0;

/// The same, at most, where the measure says how much a fetch elsewhere costs: a minute and a half
/// of a task is most of it, as a rule.
pub const PREEMPT_FOR_IMAGE_MAX_S: f64 = 90.0;

/// How long, in ms, a task whose image was thought to be on its machine must be seen to fetch it
/// for that to count as wrong: the answer to a start may name it so in any case.
pub const IMAGE_MISS_AFTER_MS: u64 = 2_000;

/// Weight of a fetch against lost work when room is made: somebody waits for the
/// urgent task, while lost work is only run again.
pub const FETCH_COST_WEIGHT: f64 = 3.0;

/// Machines assumed lost, per second and machine, before any was seen: one in ten hours. It weighs
/// as much as `MACHINE_LOSS_PRIOR_WEIGHT_S` seconds of one machine.
pub const MACHINE_LOSS_PRIOR_PER_S: f64 = 1.0 / 36_000.0;
pub const MACHINE_LOSS_PRIOR_WEIGHT_S: f64 = 36_000.0;

/// Time, in s, in which what is known of replicas' starts with an image fades to a third: some
/// minutes, as crowds come and go.
pub const IMAGE_STARTS_DECAY_S: f64 = 240.0;

/// Replicas started with an image, per s, below which it is forgotten.
pub const MIN_IMAGE_START_RATE: f64 = 1e-6;

/// Shortest fetch, in s by the cloud's figure, that teaches rates: orders and reports take up to a
/// second of it.
pub const MIN_SAMPLED_FETCH_S: f64 = 4.0;

/// Interval, in ms, at which it is looked where live models lie: every machine's images count.
pub const IMAGE_COPIES_INTERVAL_MS: u64 = 1_000;

/// Part of the fleet's price an hour that idle machines may cost which stay for the rare weights on
/// them.
pub const IDLE_IMAGE_PRICE_SHARE: f64 = 0.02;

/// Images whose size operators were told of that a leader remembers before it forgets those that no
/// job has any more.
pub const MAX_WARNED_IMAGES: usize = 1_000;

/// What is left, in s, of a fetch that should be over by the cloud's rate: it varies by
/// a third, and the worker's word of it is on its way.
pub const MIN_REMAINING_FETCH_S: f64 = 1.0;

// ---- served share ------------------------------------------------------------

/// Age of a job, in ms, from which on its tasks count as asked for: a boot and a fetch, within
/// which nobody could have had more.
pub const SERVED_SHARE_AFTER_MS: u64 = 60_000;

/// How long, in ms, a job that was done speaks for its class and team.
pub const SERVED_WINDOW_MS: u64 = 300_000;

/// Share of what a class or team asks for under which it counts as not served. Users hold a
/// day against us on which a class has less than half.
pub const SERVED_MIN_SHARE: f64 = 0.6;

/// Share under which operators are warned: early enough to act before it falls under
/// [`SERVED_MIN_SHARE`].
pub const SERVED_WARN_SHARE: f64 = 0.7;

/// How long, in ms, it must have been so: a burst's first minute is no trouble.
pub const SERVED_WARN_AFTER_MS: u64 = 10_000;

/// Share from which on a warned class or team has recovered.
pub const SERVED_RECOVERED_SHARE: f64 = 0.8;

/// Age of a term, in ms, at which its leader has heard all machines that it can hear, and
/// may judge shares: two of the longest report intervals seen.
pub const SERVED_MIN_TERM_MS: u64 = 16_000;

/// For how long, in ms, it must have been so for the trouble to be over.
pub const SERVED_RECOVERED_MS: u64 = 60_000;

/// Share of old work under which a class or team is starved.
pub const STARVED_SHARE: f64 = 0.5;

/// Age of a job, in ms, from which on its work is old in this sense: what priority is for must be
/// given time to work.
pub const STARVED_AFTER_MS: u64 = 120_000;

/// Turns that a start of other work earns for starved work: one start in five is its own.
pub const STARVED_CREDIT_PER_START: f64 = 0.25;

/// Most turns that can be earned beforehand: what is placed at once must not sweep others
/// off all machines.
pub const STARVED_MAX_CREDIT: f64 = 4.0;

/// Most turns that can be owed, by a large gang, which needs all its places at once.
pub const STARVED_MAX_DEBT: f64 = 16.0;

/// Classes whose share stands in the metrics, the worst served first; users name them, so there
/// may be any number.
pub const SERVED_SHARES_SHOWN: usize = 100;

// ---- counted resources -------------------------------------------------------

/// How long, in ms, something must have been wrong with a count before operators are
/// told. A new leader hears its servers within seconds.
pub const COUNT_WARNING_AFTER_MS: u64 = 10_000;

/// Most attempts, lingering units and outside clients, of each, that the log names when more of a count
/// is taken than there is: enough to see where a sum comes from, and at some 100 bytes each a line that
/// can still be read.
pub const OVERSUBSCRIPTION_PARTS_LOGGED: usize = 16;

/// Most victims, gangs counted once, that one pass stops to free units for others: each
/// costs work done, and the next pass sees what came of it.
pub const UNIT_PREEMPTIONS_PER_PASS: usize = 64;

/// Most tasks of a job for which one pass tries to free units.
pub const UNIT_SEARCHES_PER_JOB: u32 = 16;

/// What a step down in a job's own ranking of machine kinds costs a placement, in s: more
/// than all that placement itself weighs, so that a rank decides among the machines that have
/// room, and never keeps a task from one.
pub const RANK_STEP_COST_S: f64 = 100_000.0;

/// Sets of machine kinds that a leader keeps, so that jobs with equal ones share them.
pub const MAX_KIND_SETS: usize = 4_096;

/// How long a cluster may stay open, in ms: its submitter tries again within seconds. After
/// that the leader gives it up and clears its records away.
pub const CLUSTER_OPEN_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// Interval, in ms, at which the leader looks for clusters that were left open, and for holds
/// that the limits in force allow to end.
pub const CLUSTER_CHECK_MS: u64 = 5_000;

/// Clusters that one node accepts or changes at a time; more are told at once to come back.
/// Each holds the text of a file, at most [`MAX_SUBMIT_BODY_BYTES`], for as long as it is read.
pub const MAX_CLUSTER_OPERATIONS: usize = 4;

/// Longest body of a submit file with all that goes along, in bytes: 10,000 items of 80
/// letters, and some room.
pub const MAX_SUBMIT_BODY_BYTES: usize = 1024 * 1024;

/// Share of the state service's change rate that one node uses to record clusters. Users'
/// native submissions and the leader's own batches share the rest.
pub const CLUSTER_WRITE_SHARE: f64 = 0.1;

/// Keys that one transaction of a cluster changes at most. Three nodes that record clusters
/// at once stay, with the leader's batches, within the state service's changes a second.
pub const CLUSTER_TXN_KEYS: usize = 5;

/// How long a submitter waits for its cluster, in ms, before it is told how far it is and to
/// ask again; recording goes on meanwhile.
pub const CLUSTER_RESPONSE_MS: u64 = 3_000;

/// Rounds in which an operation on a cluster starts again because other nodes changed the
/// same, before its user is asked to come back.
pub const MAX_CLUSTER_ROUNDS: u32 = 8;

/// Clusters that the history shows.
pub const HISTORY_CLUSTERS_SHOWN: u64 = 100;

/// Interval, in ms, at which the leader asks for ends that are not in the teams' books yet, if
/// there were any. Nobody waits for a book.
pub const ACCOUNTING_FOLLOW_MS: u64 = 5_000;

/// Longest time, in ms, beyond that without asking: an end that this leader did not hear of.
pub const ACCOUNTING_IDLE_MS: u64 = 30_000;

/// Shortest time, in ms, between two writes of the books while few ends wait: twelve teams' open
/// pages are some thirteen changes.
pub const ACCOUNTING_WRITE_MS: u64 = 10_000;

/// Ends that wait beyond which the books are written each second: of a flood.
pub const ACCOUNTING_BATCH: usize = 100;

/// Changes of the state service without an end after which the books say that they go so far:
/// it tells the last 10,000, and a successor that must read all ended jobs is slow.
pub const ACCOUNTING_QUIET_CHANGES: u64 = 4_000;

/// Keys of books asked for at once: a page is some 6 KiB, a response holds 512 KiB.
pub const ACCOUNTING_PAGE_ITEMS: u32 = 60;

/// Ended jobs read at once to check the books, some 250 bytes each.
pub const ACCOUNTING_SCAN_ITEMS: u32 = 200;

/// Time, in ms, between two such readings: a hundred thousand ended jobs take four minutes, and
/// the state service hardly notices.
pub const ACCOUNTING_SCAN_MS: u64 = 500;

/// Accounts of cancelled jobs kept until their ends are told; what is beyond says less.
pub const MAX_CANCELLED_ACCOUNTS: usize = 5_000;

/// Running attempts whose beginning is remembered, for the work that is lost with them.
pub const MAX_TRACKED_RUNS: usize = 200_000;
