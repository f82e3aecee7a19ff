//! Tuning constants and limits of the scheduler.
//!
//! Values that depend on the deployment (rates, lease times, zones) are read from the settings
//! file and are not repeated here.

/// Milliseconds in a second.
pub const SECOND_MS: u64 = 1_000;

/// Lifetime of the leader's lease, in ms. Short, because no work is placed between the end of a
/// leader and the expiry of its lease; long enough for three renewals.
pub const LEADER_LEASE_MS: u64 = 2_500;

/// Lifetime, in ms, of a lease requested after a call of an election timed out. The lease request
/// and the claim that follows it must both be answered within it, by a state service that takes 2 s
/// for each. Its holder still relies on [`LEADER_LEASE_MS`] only.
pub const LEADER_SLOW_LEASE_MS: u64 = 3 * LEADER_LEASE_MS;

/// Interval between renewals of the leader's lease, in ms: about a third of its lifetime.
pub const LEADER_RENEWAL_MS: u64 = 700;

/// Timeout of one call of an election, in ms. The state service occasionally takes a few hundred
/// ms; beyond this, a retry is more likely to succeed. If the retry times out as well, the service
/// is slow, and later calls are given [`LEADER_LEASE_MS`].
pub const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// Maximum drift between two monotonic clocks, in parts per million (protocol: 0.05 %).
pub const CLOCK_DRIFT_PPM: u64 = 500;

/// Denominator of [`CLOCK_DRIFT_PPM`].
pub const PARTS_PER_MILLION: u64 = 1_000_000;

/// Safety margin, in ms, where the expiry of a lease is computed rather than observed.
pub const LEASE_MARGIN_MS: u64 = 500;

/// Margin, in ms, between the time limit of a cancellation and the latest moment at which a leader
/// that cannot reach the state service lets worker leases expire.
pub const CANCEL_MARGIN_MS: u64 = 2_000;

/// Maximum random delay, in ms, before a vacant leadership is claimed, so that not all followers
/// spend a write on the same claim.
pub const CLAIM_JITTER_MS: u64 = 60;

/// Delay, in ms, before a restarted node that released the lease of its previous process claims
/// leadership: a few network round trips plus [`CLAIM_JITTER_MS`]. Its peers go first, because they
/// know the machine types and already serve users.
pub const RELEASED_LEASE_BACKOFF_MS: u64 = 150;

/// Delay, in ms, between attempts to look up the leader while the state service fails.
pub const LEADER_LOOKUP_RETRY_MS: u64 = 300;

/// How long a node that handed leadership over does not claim it again, in ms.
pub const ELECTION_BACKOFF_MS: u64 = 20_000;

/// How long, in ms, leadership must have been vacant before a node claims it in spite of its
/// backoff. Any other candidate claims it within a few network round trips and [`CLAIM_JITTER_MS`],
/// or reconnects within a second. A leader that hears few workers is better than none, which hears
/// nobody.
pub const ELECTION_BACKOFF_VACANT_MS: u64 = 3_000;

/// Shortest time between two hand-overs of a node without evidence that another node is better
/// placed, in times that a leader takes to know that all worker leases of former leaders have
/// expired. One such time is for the terms of the other nodes, one for the node's own next term.
pub const UNPROVEN_HANDOVER_TERMS: u64 = 2;

/// Maximum duration of a long poll on a watch of the state service, in ms. Bounds how long a watch
/// that was silently disconnected can hide changes.
pub const WATCH_LONG_POLL_MS: u64 = 4_000;

/// Maximum duration of a long poll on the leader's watch of jobs, in ms. An answer proves that no
/// end of a job was missed up to when the request was sent, so this bounds the age of that
/// knowledge while nothing changes, at the price of one request a second.
pub const JOB_WATCH_LONG_POLL_MS: u64 = 1_000;

/// Maximum number of worker reports, counted with the tasks that they list, that a new leader
/// buffers while it loads the records. Enough for a whole fleet that has just lost its leader:
/// 4,000 machines with 20,000 tasks, and as many ended tasks that are not forgotten yet, are
/// 44,000. A task takes some 200 bytes.
pub const BUFFERED_HEARTBEATS: usize = 50_000;

/// Maximum time a buffered report is kept, in ms. Its worker waits 4 s for a response (protocol),
/// and any response is better for it than a timeout.
pub const BUFFERED_HEARTBEAT_MS: u64 = 3_000;

/// Time after the end of its long poll, in ms, at which a watch is considered lost.
pub const WATCH_SLACK_MS: u64 = 1_500;

/// Timeout, in ms, of a request to the state service on behalf of a user. Users time out after 2 s
/// (poll) or 5 s (submission), and must get a refusal before that.
pub const USER_STATE_TIMEOUT_MS: u64 = 1_500;

/// Maximum age, in ms, at which a reading of a job as live may still be used, in a response to a user or to start a
/// task, measured from when it was requested on this node's clock. As long as the timeout of the call, so
/// that no reading is discarded because of it.
pub const LIVE_READ_MAX_AGE_MS: u64 = USER_STATE_TIMEOUT_MS;

/// Time, in ms, after a node learned that the end of a job is committed, from which no peer can
/// respond with an older reading or start a task because of one: [`LIVE_READ_MAX_AGE_MS`] plus the drift between two clocks, each
/// of which is rounded to whole ms.
pub const COMMIT_WAIT_MS: u64 =
    LIVE_READ_MAX_AGE_MS + LIVE_READ_MAX_AGE_MS * 2 * CLOCK_DRIFT_PPM / 1_000_000 + 3;

/// Time after its arrival, in ms, until which a poll waits until the end of its job may be
/// disclosed. The user is then told to retry, just before its timeout of 2 s.
pub const POLL_RESPONSE_DEADLINE_MS: u64 = 1_800;

/// The same for a submission or cancellation, in ms, just before its timeout of 5 s.
pub const WRITE_RESPONSE_DEADLINE_MS: u64 = 4_600;

/// Maximum number of job ends that wait until they may be disclosed: several seconds' worth of
/// them, even when many jobs end together.
pub const MAX_COMMIT_WAITS: usize = 5_000;

/// Time after its arrival, in ms, within which a submission or cancellation must complete its
/// second and later calls to the state service. Its user times out after 5 s.
pub const USER_WRITE_TIMEOUT_MS: u64 = 4_000;

/// Timeout, in ms, of the leader's own transactions and reads.
pub const STATE_TIMEOUT_MS: u64 = 2_000;

/// Timeout, in ms, of a call to the cloud, which normally responds within some 150 ms.
pub const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// Timeout, in ms, of a direct command to a worker.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_000;

/// Timeout, in ms, of the `/inspect` probe of an unresponsive machine, the last check before the
/// machine is released.
pub const INSPECT_TIMEOUT_MS: u64 = 1_200;

/// Value of Retry-After, in s, when the service cannot decide yet.
pub const RETRY_AFTER_S: u64 = 1;

/// How long after its start, in ms, a node counts as new. Users that it refuses in this time are
/// told alternately to retry after one second and after two, so that they do not all return at
/// once.
pub const NODE_WARMUP_MS: u64 = 2_000;

/// Share of the state service's request rate used by the leader.
pub const LEADER_STATE_SHARE: f64 = 0.5;

/// Share of the state service's request rate used by all followers together.
pub const FOLLOWERS_STATE_SHARE: f64 = 0.45;

/// Share of the state service's change rate used by the leader's batches. The rest is for
/// submissions and cancellations on any node.
pub const LEADER_WRITE_SHARE: f64 = 0.7;

/// Share of a full bucket of changes with which a leader starts. The previous leader may have used
/// up the state service's own burst, and users who could not be served retry at the same moment:
/// with a full bucket, 117 changes were sent in a second in which 100 are allowed.
pub const NEW_LEADER_WRITE_BURST: f64 = 0.3;

/// Share of the cloud's request rate used by the leader. Other nodes only read the machine types.
pub const CLOUD_SHARE: f64 = 0.8;

/// Share of the cloud's bucket that launches and listings leave for releases: tasks of an
/// unreachable machine wait for its release.
pub const RELEASE_CALL_RESERVE: f64 = 0.3;

/// Share of a bucket that polls leave for submissions and cancellations.
pub const USER_WRITE_RESERVE: f64 = 0.25;

/// Delay, in ms, before a failed write of the leader is retried.
pub const WRITE_RETRY_MS: u64 = 200;

/// How long polls are collected, in ms, before one comparison in the state service answers all of
/// them. Their users wait 2 s.
pub const POLL_BATCH_MS: u64 = 60;

/// Number of live jobs whose record version a node caches for these comparisons.
pub const LIVE_JOB_CACHE_SIZE: usize = 20_000;

/// Maximum size of a transaction body that the leader sends (protocol: 64 KiB).
pub const MAX_TXN_BYTES: usize = 56 * 1024;

/// Upper bound of the size of a transaction body without its conditions and changes: field names
/// and brackets.
pub const TXN_ENVELOPE_BYTES: usize = 64;

/// Upper bound of the size of a condition without its key: field names, punctuation and the
/// version.
pub const CONDITION_OVERHEAD_BYTES: usize = 40;

/// Upper bound of the size of a change without its key and value: field names and punctuation.
pub const CHANGE_OVERHEAD_BYTES: usize = 32;

/// Conditions that a transaction may have for each change that `txn_ops` allows. Many starts in one
/// shard belong to different jobs, and each of them must still be live.
pub const TXN_CONDITIONS_PER_OP: usize = 4;

/// Conditions that a transaction reserves for the versions of the shards that it writes: two,
/// because a shard that is split is written together with its other half.
pub const SHARD_VERSION_CONDITIONS: usize = 2;

/// How long, in ms, ended tasks may wait for a higher token before their workers can forget them.
/// Each renewal makes every worker report once more. Each waiting task adds some 100 bytes to its
/// worker's reports, and a task of 40 s has about two of them waiting.
pub const FORGET_TOKEN_RENEWAL_MS: u64 = 60_000;

/// Ended tasks of one machine waiting for a higher token at which the token is renewed at once. A
/// report holds some 600 of them (protocol: 64 KiB).
pub const MAX_PENDING_FORGETS: usize = 150;

/// Number of items requested in one page of a state listing.
pub const STATE_PAGE_ITEMS: u32 = 500;

/// How long, in ms, completed tasks are collected before they are recorded. Workers keep the
/// results in the meantime.
pub const COMPLETED_TASKS_BATCH_MS: u64 = 500;

/// Interval, in ms, at which a leader compares its clock with the protection windows. A window
/// opens or closes at most this late; it takes effect when it is recorded, not when some clock
/// reaches it.
pub const PROTECTION_WINDOW_CHECK_MS: u64 = 250;

/// Maximum number of replicas for which capacity is reserved at a time, over all protection
/// windows. Bounds the work of a pass. An eighth of what 4,000 machines with eight replicas each
/// hold.
pub const MAX_SPARE_REPLICAS: u32 = 4_000;

/// Cost of stopping a replica for a protected one, beyond the work lost, in s. Higher than the loss
/// of any batch task, which is preempted first.
pub const SERVICE_PREEMPTION_COST_S: f64 = 1.0e6;

/// Cost of stopping a protected replica, in s, whatever it is stopped for. It is preempted last of
/// all work that may be preempted.
pub const PROTECTED_PREEMPTION_COST_S: f64 = 1.0e9;

/// How long, in ms, protected replicas must have found no capacity before operators are warned:
/// longer than most boots take.
pub const PROTECTED_WAIT_WARNING_MS: u64 = 60_000;

/// Bytes in a KB of the setting `value_kb`.
pub const BYTES_PER_KB: f64 = 1024.0;

/// Share of `value_kb` up to which a stored value is filled. The service may encode the same JSON
/// slightly longer.
pub const MAX_VALUE_SHARE: f64 = 0.9;

/// Estimated size of a machine with some eight tasks in a shared record, in bytes. It determines
/// how many machines share a record within `value_kb`; a record that gets larger is split in half.
pub const SHARD_MACHINE_BYTES: usize = 500;

/// Share of a value up to which starts are added to a shared record. The rest is for what is learned of its machines
/// later: addresses, images, units that linger.
pub const SHARD_FILL_SHARE: f64 = 0.9;

/// Records that one transaction must hold when a shard is split: both halves.
pub const RECORDS_PER_SPLIT: usize = 2;

/// Maximum number of released machines in one record whose clients a licence server may still list.
/// Each takes some 30 bytes, so that most of the record is left for live machines. The next leader
/// counts the client of an omitted machine as an outside user until the server has its seat back.
pub const RELEASED_MACHINES_PER_SHARD: usize = 16;

/// Tasks per chunk in the records of a job's completed tasks. As a bitmap a chunk takes 1 KiB, far
/// below any `value_kb` that the platform sets.
pub const COMPLETED_TASKS_PER_CHUNK: u32 = 8_192;

/// Upper bound of the size of a chunk without its bitmap: its key (`<job>/<chunk>`), quotes and
/// punctuation.
pub const CHUNK_KEY_OVERHEAD_BYTES: usize = 48;

/// Size of the punctuation between two chunks in a record of completed tasks.
pub const CHUNK_SEPARATOR_BYTES: usize = 2;

/// Maximum number of tasks of one job (protocol).
pub const MAX_TASKS_PER_JOB: u64 = 100_000;

/// Maximum size of a request body (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of an error message to a user, in characters. It may quote the request, a
/// character of which takes up to six bytes as JSON, and no line of a response may be longer than a
/// body (protocol).
pub const MAX_ERROR_CHARS: usize = 1024;

/// Maximum length of a name (class, team, image, machine type) in a submission.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum run time, deadline or interval accepted, in s: over three years.
pub const MAX_DURATION_S: f64 = 1e8;

/// Maximum amount of a resource that a task may request.
pub const MAX_AMOUNT: f64 = 1e7;

/// Maximum number of jobs that peers recently disclosed to users which a node remembers, for as
/// long as a request of its own may last: several seconds' worth of submissions at a peak.
pub const MAX_PEER_NOTICES: usize = 5_000;

/// Number of ended jobs whose final state a node caches.
pub const ENDED_JOB_CACHE_SIZE: usize = 20_000;

/// Maximum number of user requests that wait for the state service at one node. Further ones are
/// answered 503 at once, which bounds memory.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// Maximum number of times a job is read again because it changed concurrently, before the user is
/// told to retry. Each takes a call, and few fit into the users' timeouts.
pub const MAX_REREADS: u32 = 4;

/// Maximum time, in ms, that a request waits for its team's turn. A poll times out after 2 s, part
/// of which the state service needs.
pub const MAX_QUEUE_WAIT_MS: u64 = 700;

/// Share of the state service's change rate that submissions and cancellations use on all nodes
/// together during a flood. Together with [`LEADER_WRITE_SHARE`] it is nearly all of the rate, so
/// that the leader's starts are not refused because of a flood.
pub const USER_WRITE_SHARE: f64 = 0.25;

/// Share of these budgets reserved for teams that have just begun to send requests.
pub const NEW_TEAM_RESERVE: f64 = 0.25;

/// Number of waiting requests of one team at a node above which they count as a flood, and users
/// are limited to [`USER_WRITE_SHARE`]. A morning peak comes from all teams, with some dozen
/// requests of each at a node.
pub const FLOOD_QUEUE_LENGTH: usize = 50;

/// Share of one second's changes that one node accepts at once for users after an idle period. A
/// morning peak is no flood.
pub const USER_WRITE_BURST: f64 = 0.5;

/// Interval of the heartbeat between nodes, in ms.
pub const HEARTBEAT_MS: u64 = 500;

/// Maximum number of bytes queued for a peer; further frames are dropped. A peer that connects is
/// sent the task counts of all live jobs at once, at 40 bytes each: 800 KB for 20,000 jobs.
pub const MAX_PEER_BACKLOG_BYTES: usize = 1024 * 1024;

/// Age, in ms, above which a peer's heartbeat is ignored.
pub const HEARTBEAT_MAX_AGE_MS: u64 = 2_000;

/// Age, in ms, of the last response of the state service at which a node sends a probe. A follower
/// has few other requests to send, and peers rely on what it reports.
pub const STATE_PROBE_MS: u64 = 1_000;

/// How long, in ms, the state service must have failed for a node before its `/healthz` tells the
/// load balancer to send users to a peer.
pub const STATE_UNHEALTHY_AFTER_MS: u64 = 1_500;

/// Time without a message from a machine, in ms, after which it is probed. Well before its next
/// report is late, because a response is cheap and replicas of a dead machine are only replaced
/// once it is proved dead.
pub const PROBE_AFTER_MS: u64 = 2_000;

/// Multiple of the report interval after which a report is missing rather than slow. Workers vary
/// the interval by a quarter (protocol).
pub const REPORT_LATE_FACTOR: f64 = 1.25;

/// Additional time allowed for a report, in ms, for the network and a busy leader.
pub const REPORT_SLACK_MS: u64 = 700;

/// Maximum number of machines probed per second without being asked for it (fencing probes after a
/// failover, probes of unresponsive machines). Each takes a socket and some 0.2 ms of CPU time; a
/// fleet of thousands must not take a second's worth of either at once, and most workers report by
/// themselves within seconds.
pub const PROBES_PER_S: f64 = 50.0;

/// The same limit for each core of the node. On a tenth of a core, a full second's probes would
/// delay reports and starts, and so make machines seem unresponsive.
pub const PROBES_PER_S_PER_CORE: f64 = 250.0;

/// Share of this limit that probes of low priority leave to the others.
pub const URGENT_PROBE_RESERVE: f64 = 0.5;

/// Machines probed, spread over the fleet, before an unresponsive one is released: enough to tell
/// whether the leader itself is partitioned.
pub const PROBE_SAMPLE: usize = 24;

/// Machines of a zone that are probed when one of them becomes unresponsive: enough to tell a
/// partitioned zone from a single lost machine.
pub const ZONE_PROBE_SAMPLE: usize = 12;

/// Minimum number of machines in a zone for it to be considered partitioned.
pub const ZONE_OUTAGE_MIN_MACHINES: usize = 6;

/// Share of the whole fleet above which an unresponsive zone indicates a problem of the fleet or
/// the leader rather than of the zone.
pub const ZONE_OUTAGE_MAX_FLEET_SHARE: f64 = 0.75;

/// Share of unresponsive machines at which a zone counts as partitioned, whichever others respond.
pub const ZONE_OUTAGE_UNREACHABLE_SHARE: f64 = 0.8;

/// How long the machines of a partitioned zone are kept, as a multiple of the worker lease. After
/// one lease they run nothing any more, but they hold images, and each replacement costs a boot.
pub const ZONE_OUTAGE_RETENTION_LEASES: u64 = 2;

/// Minimum number of machines of a zone in a one-way partition for the zone as a whole to be
/// treated as such.
pub const ONE_WAY_ZONE_MIN_MACHINES: usize = 2;

/// How long, in ms, no machine is launched in a zone that was partitioned, once none of its
/// remaining machines is unresponsive. Then it is tried again.
pub const ZONE_LAUNCH_BACKOFF_MS: u64 = 20_000;

/// Maximum number of direct commands in flight. Each takes a socket.
pub const DIRECT_COMMANDS_IN_FLIGHT: usize = 200;

/// Interval, in ms, at which all machines are checked for timeouts: missing reports, expired
/// leases, stops to be repeated.
pub const LIVENESS_CHECK_MS: u64 = 200;

/// Interval, in ms, at which the index of the machines of each job is rebuilt. In between it may
/// only list too many.
pub const MACHINE_INDEX_REBUILD_MS: u64 = 5_000;

/// Interval, in ms, at which tasks are counted for display (protocol: the displayed state may lag
/// by 3 s).
pub const TASK_COUNT_INTERVAL_MS: u64 = 1_000;

/// How long, in ms, unresponsive machines are kept after a zone responds again, or after this node
/// no longer suspects itself to be partitioned. Within that their workers time out, try the other
/// controllers and report. Without it, hundreds were released in the second in which a partition
/// ended.
pub const RECONNECT_GRACE_MS: u64 = 8_000;

/// Share of recently heard machines that must become unresponsive at once for a leader to suspect
/// that it is partitioned itself.
pub const SELF_PARTITION_UNREACHABLE_SHARE: f64 = 0.5;

/// How long a leader that suspects itself to be partitioned waits, in ms, before it hands over to a
/// peer that reaches more machines.
pub const SELF_PARTITION_HANDOVER_MS: u64 = 1_500;

/// Part of the sampled machines, as a divisor, that a peer must reach beyond those that the leader
/// reaches for the leader to be the one that is partitioned.
pub const PARTITION_MIN_GAIN_DIVISOR: usize = 8;

/// How long, in ms, a leader waits for its peers' answers beyond the time that their probes take:
/// the way to the peers and back, and their event loops.
pub const REACHABILITY_ANSWER_SLACK_MS: u64 = 400;

/// Maximum number of probes that a node has in flight for its peers: two rounds of a leader, the
/// last and the next. Each takes a socket.
pub const MAX_PEER_PROBES: usize = 2 * PROBE_SAMPLE;

/// How long it waits, in ms, before it hands over although no peer can be reached. Longer than
/// peers take to reconnect after an interruption, and far shorter than the worker leases.
pub const SELF_PARTITION_HANDOVER_ALONE_MS: u64 = 5_000;

/// Maximum number of unreachable machines that the log lists when a leader suspects itself to be
/// partitioned.
pub const UNREACHABLE_MACHINES_LOGGED: usize = 64;

/// How recently, in ms, a worker must have contacted a node for the node to claim that it hears it,
/// plus one second for each node. A worker waits 4 s for an unresponsive node, and then tries the
/// others for about a second each.
pub const WORKER_CONTACT_MAX_AGE_MS: u64 = 4_000;

/// Interval of the cloud listing, in ms: several times its usual lag, because reports tell most
/// changes sooner.
pub const LIST_INTERVAL_MS: u64 = 6_000;

/// Maximum lag of the cloud's list, as a multiple of its usual lag (protocol).
pub const LIST_LAG_MAX_FACTOR: f64 = 2.0;

/// Additional time, in ms, that a newly elected leader allows for reading the list: some pages of
/// 150 ms each, queued behind repeated launches.
pub const LIST_LAG_SLACK_MS: u64 = 2_000;

/// Additional time, in ms, for each full page of machines. At three calls a second after the first
/// three, nine pages, of 4,000 machines, take 3.4 s.
pub const LIST_PAGE_MS: u64 = 250;

/// Machines per page of the cloud's list.
pub const LIST_PAGE_MACHINES: usize = 500;

/// Interval at which the machine types (with current spot prices) are read, in ms.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;

/// Delay, in ms, before a call that the cloud failed or refused is retried.
pub const CLOUD_RETRY_MS: u64 = 1_000;

/// Delay, in ms, before a machine type, zone and kind for which the cloud had no capacity is
/// requested again.
pub const CAPACITY_RETRY_MS: u64 = 8_000;

/// Maximum number of machines in one launch request (protocol).
pub const MAX_MACHINES_PER_LAUNCH: u32 = 50;

/// Maximum number of machines in one release request (protocol).
pub const MAX_MACHINES_PER_RELEASE: usize = 100;

/// Multiple of the observed boot time after which a machine that has never reported is released. A
/// few never come up, and some take several times as long as usual.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;

/// Boot time, in s, of a type of which no machine has been seen to boot yet.
pub const DEFAULT_BOOT_S: f64 = 60.0;

/// Weight of a new observation in the moving average of the boot time.
pub const BOOT_SMOOTHING: f64 = 0.2;

/// Time that a release takes, in ms, before one has been observed.
pub const DEFAULT_RELEASE_MS: u64 = 1_000;

/// Factor of the paper: queued walltime is divided by this many waste times.
pub const WASTE_FACTOR: f64 = 2.0;

/// Default of the maximum fleet size: unlimited, as the cloud's capacity and the rule of the paper
/// are limits already.
pub const DEFAULT_FLEET_MAX: u32 = u32::MAX;

/// Interval of the autoscaler, in ms. The paper sleeps 10 to 15 s to spare its queue command; this
/// one reads memory, and users wait for the machines.
pub const AUTOSCALER_INTERVAL_MS: u64 = 500;

/// How long a machine must be idle, in ms, to be released as surplus.
pub const IDLE_RELEASE_MS: u64 = 25_000;

/// Idle machines of a kind that are kept for the full [`IDLE_RELEASE_MS`]. In a large fleet many
/// are idle at a time and the next job needs few of them, so the others become surplus sooner.
pub const IDLE_KEPT_PER_KIND: usize = 3;

/// How long a machine must be idle, in ms, to be surplus while more than [`IDLE_KEPT_PER_KIND`] are
/// idle.
pub const EXCESS_IDLE_RELEASE_MS: u64 = 10_000;

/// Maximum interval, in ms, between scheduling passes while nothing changes. A pass resumes jobs
/// whose backoff is over and advances stops.
pub const PASS_INTERVAL_MS: u64 = 1_000;

/// Minimum interval, in ms, between two scheduling passes, so that changes are handled in batches.
pub const PASS_SPACING_MS: u64 = 20;

/// Additional minimum interval for each machine, in us. A pass examines every machine and must take
/// only part of a small share of a core.
pub const PASS_SPACING_PER_MACHINE_US: u64 = 120;

/// Maximum number of starts planned in one pass, so that it stays short on a small share of a core.
/// The next pass continues.
pub const STARTS_PER_PASS: usize = 400;

/// Maximum number of searches for preemptible work in one pass. Each examines every running task.
pub const PREEMPTION_SEARCHES_PER_PASS: usize = 40;

/// Maximum number of machines that one pass tries to drain of replicas.
pub const CONSOLIDATION_TRIES_PER_PASS: usize = 8;

/// Number of different jobs that must have failed on a machine before it is drained.
pub const FAULTY_MACHINE_FAILURES: usize = 2;

/// Number of machines on which a job must have failed before the job is delayed.
pub const FAILING_JOB_MACHINES: usize = 2;

/// Initial backoff, in ms, of a job that fails on every machine. It doubles with each failure.
pub const FAILING_JOB_BACKOFF_MS: u64 = 4_000;

/// Maximum number of doublings of that backoff, which ends at 64 s. The cause may be fixed in the
/// meantime, and a job that failed on machines that are gone must not wait for 90 s next to a
/// healthy one.
pub const FAILING_JOB_MAX_DOUBLINGS: u32 = 4;

/// How long, in ms, a job avoids the machine on which one of its tasks last failed. Less than the
/// 90 s for which it may wait next to a healthy machine, and longer than it takes to launch
/// another.
pub const FAILED_MACHINE_AVOIDANCE_MS: u64 = 60_000;

/// Age, in ms, at which work that can no longer meet any objective is given turns before its peers.
/// A gang among it can then start within the four minutes in which users expect the largest jobs to
/// start. On a small fleet a gang of four waited 551 s while later gangs of its class started.
pub const AGING_AFTER_MS: u64 = 200_000;

/// Starts of overdue work that go first for each other start. A quarter is one start in five, so
/// that work that can still be in time is hardly delayed.
pub const AGING_CREDIT_PER_START: f64 = 0.25;

/// Maximum number of starts that overdue work may accumulate.
pub const AGING_MAX_CREDIT: f64 = 4.0;

/// Maximum number of starts by which a large gang of overdue work may overdraw.
pub const AGING_MAX_DEBT: f64 = 16.0;

/// Age, in ms, up to which work that may use spot machines leaves on-demand machines to a gang that
/// finds no capacity on them. Work may wait for no more than 90 s while they are idle, part of
/// which a pass and a record take.
pub const SPOT_ONLY_MAX_AGE_MS: u64 = 75_000;

/// Delay, in ms, before a machine that refused a start for lack of capacity is sent another.
pub const FULL_MACHINE_BACKOFF_MS: u64 = 2_000;

/// Time, in ms, after which an unanswered stop is sent again.
pub const STOP_RETRY_MS: u64 = 3_000;

/// Additional seconds granted for writing a checkpoint, beyond what the job's owner stated.
pub const STOP_GRACE_EXTRA_S: f64 = 2.0;

/// Bits of an attempt number below the token. They number the attempts of one term, so that numbers
/// never repeat across leaders without being stored.
pub const ATTEMPT_BITS: u32 = 24;

/// How long, in ms, the name of a released machine is remembered, to tell a lagging listing or a
/// late report from a machine that still exists.
pub const RELEASED_MACHINE_RETENTION_MS: u64 = 300_000;

/// Interval, in ms, at which operators are warned again of a persisting problem (a class behind its
/// objective, a count). Often enough for whoever comes on call, and rare enough not to flood the
/// log.
pub const WARNING_REPEAT_MS: u64 = 300_000;

/// Share of its allowed late jobs below which a class has recovered. Without this margin it would
/// alternate between behind and recovered.
pub const OBJECTIVE_RECOVERED_SHARE: f64 = 0.7;

/// Minimum time, in ms, for which a class counts as behind after a warning.
pub const OBJECTIVE_MIN_WARNED_MS: u64 = 60_000;

/// Number of recently completed jobs of a class that the forecast uses. Only their share matters,
/// and owners' deadlines may be days away.
pub const FORECAST_JOBS: usize = 1_000;

/// Interval, in ms, of the forecast of objectives and deadlines.
pub const FORECAST_INTERVAL_MS: u64 = 2_000;

/// Cost, in s of waiting, of placing a task on a machine on which a task failed.
pub const FAILED_MACHINE_COST_S: f64 = 30.0;

/// Cost, in s, of placing a task that may use a spot machine on an on-demand one.
pub const ON_DEMAND_COST_S: f64 = 2.0;

/// Cost, in s, of placing a task that could not be rerun in time on a spot machine: more than any
/// fetch.
pub const SPOT_RISK_COST_S: f64 = 40.0;

/// Probability that a machine is lost during a task above which a task that could not be rerun in
/// time is not placed on it.
pub const SPOT_MAX_LOSS_PROBABILITY: f64 = 0.05;

/// Prior of the loss rate of spot machines, per machine and second: one loss an hour.
pub const SPOT_LOSS_PRIOR_PER_S: f64 = 1.0 / 3_600.0;

/// Weight of that prior, in machine seconds of observation.
pub const SPOT_LOSS_PRIOR_WEIGHT_S: f64 = 3_600.0;

/// Number of runs, by the owner's estimate, that must fit into a job's remaining time for a lost
/// task to be rerun in time. Estimates are often wrong by half.
pub const RERUN_MARGIN_RUNS: f64 = 2.5;

/// Cost, in s, of placing a task on a machine that it would keep occupied entirely beyond the other
/// tasks there.
pub const OUTLASTING_COST_S: f64 = 5.0;

/// Age, in ms, at which a large job that has not started goes before its peers. Users are
/// dissatisfied with a day on which the largest jobs of a class start later than four minutes; a
/// boot, a fetch and the loss of a machine before the start take half of that. At 75 s too many
/// small gangs waited beyond what their users expect; at 130 s one of the largest came near four
/// minutes.
pub const LARGE_JOB_PRIORITY_AFTER_MS: u64 = 110_000;

/// Age, in ms, at which operators are warned of a large job that has not started. It leaves time to
/// act within the four minutes.
pub const LARGE_JOB_WARNING_AFTER_MS: u64 = 150_000;

/// Share of the live jobs of a class, by size, that count as large. Twice the share that users look
/// at, because the jobs live now are not those of a whole day.
pub const LARGE_JOB_SHARE: f64 = 0.2;

/// Maximum number of large jobs of a class that are prioritized at a time; with more, small jobs
/// would wait instead.
pub const PRIORITIZED_LARGE_JOBS_PER_CLASS: usize = 3;

/// Maximum number of large jobs of all classes that are prioritized at a time. Users name the
/// classes, and a pass searches machines for each.
pub const PRIORITIZED_LARGE_JOBS: usize = 16;

/// Number of tasks of an array or a service that are prioritized: all replicas of a service of
/// usual size, and enough of an array for it to start.
pub const PRIORITIZED_LARGE_JOB_TASKS: u32 = 12;

/// How far ahead, in s, machines that will become free are reserved for a large gang. Most runs are
/// shorter, and machines for later needs are launched in the meantime.
pub const RESERVATION_HORIZON_S: f64 = 60.0;

/// How long, in ms, in each [`QUOTA_RESERVATION_PERIOD_MS`] of a large gang's waiting time, part of
/// its team's limit is reserved for it. The end of other work of its team and the boot of a machine
/// take less. The team's other work may wait next to free capacity for no more than 90 s while the
/// gang finds no machines, part of which a pass and a record take.
pub const QUOTA_RESERVATION_MS: u64 = 75_000;

/// Period of these reservations, in ms. The rest of each period belongs to the team's other work,
/// if the gang still finds no machines.
pub const QUOTA_RESERVATION_PERIOD_MS: u64 = 240_000;

/// Maximum share of the machines that is reserved, beyond those of the oldest gang. They are idle
/// until the last of them becomes free.
pub const MAX_RESERVED_SHARE: f64 = 0.03;

/// Cost, in s, of placing a more urgent task on a machine reserved for a gang: about a boot, which
/// is what replacing it takes.
pub const RESERVED_MACHINE_COST_S: f64 = 20.0;

/// How long, in s, a task without an estimate is assumed to occupy its machine.
pub const DEFAULT_OCCUPANCY_S: f64 = 400.0;

/// Minimum time, in s, for which a task with an estimate is assumed to occupy its machine, also
/// once it has exceeded the estimate.
pub const MIN_OCCUPANCY_S: f64 = 10.0;

/// Number of runs that must still fit for a task to wait for a spot machine while on-demand ones
/// are scarce: its own, and a margin for an inaccurate estimate.
pub const RUN_MARGIN_FACTOR: f64 = 1.3;

/// Share of its estimate that a run is assumed to take at least. A job for which even this no
/// longer fits cannot meet its objective.
pub const MIN_RUN_ESTIMATE_SHARE: f64 = 1.0;

/// Start objective, in s, that ranks a job whose class has no objectives among others.
pub const DEFAULT_START_OBJECTIVE_S: f64 = 120.0;

/// Cost, in s, of placing a task on an empty machine. It packs work onto few machines, so that
/// others become idle and are released.
pub const EMPTY_MACHINE_COST_S: f64 = 3.0;

/// Whether replicas are consolidated on few machines while all pending work finds capacity.
/// Otherwise long-lived replicas keep many machines, each nearly empty, from being released.
pub const CONSOLIDATE_REPLICAS: bool = true;

/// Utilization of a machine up to which its replicas are moved elsewhere.
pub const CONSOLIDATE_BELOW_SHARE: f64 = 0.6;

/// Replicas moved in one pass, so that the users of a job notice few moves at a time.
pub const REPLICA_MOVES_PER_PASS: usize = 2;

/// Replicas moved in one pass as a share of the machines, where that is more. A move takes its
/// replica away for half a second, out of thousands.
pub const REPLICA_MOVES_SHARE: f64 = 0.004;

/// How long a replica must have run, in ms, before it is moved. An early stop would make its start
/// worthless to its users (protocol: 30 s).
pub const MIN_RUN_BEFORE_MOVE_MS: u64 = 35_000;

/// Work, in s of a task, that may be lost to start a task where its image is cached when a fetch
/// would make it late.
pub const PREEMPT_FOR_IMAGE_S: f64 = 30.0;

/// Maximum of that loss, in s, where the cost of a fetch elsewhere is known. A minute and a half is
/// usually most of a task.
pub const PREEMPT_FOR_IMAGE_MAX_S: f64 = 90.0;

/// How long, in ms, a task whose image was expected on its machine must be reported as fetching for
/// that to count as a miss. The response to its start may report it as fetching in any case.
pub const IMAGE_MISS_AFTER_MS: u64 = 2_000;

/// Weight of fetch time against lost work in a preemption: a user waits for the urgent task, while
/// lost work is only run again.
pub const FETCH_COST_WEIGHT: f64 = 3.0;

/// Prior of the loss rate of machines, per machine and second: one loss in ten hours.
pub const MACHINE_LOSS_PRIOR_PER_S: f64 = 1.0 / 36_000.0;

/// Weight of that prior, in machine seconds of observation.
pub const MACHINE_LOSS_PRIOR_WEIGHT_S: f64 = 36_000.0;

/// Time constant, in s, of the decaying rate of replica starts per image. Some minutes, because
/// bursts of starts come and go.
pub const IMAGE_STARTS_DECAY_S: f64 = 240.0;

/// Rate of replica starts with an image, per s, below which the image is dropped.
pub const MIN_IMAGE_START_RATE: f64 = 1e-6;

/// Minimum duration of a fetch, in s by the cloud's figure, that is used to estimate fetch rates.
/// Commands and reports account for up to a second of it.
pub const MIN_SAMPLED_FETCH_S: f64 = 4.0;

/// Interval, in ms, at which the copies of live models are counted, which examines the images of
/// every machine.
pub const IMAGE_COPIES_INTERVAL_MS: u64 = 1_000;

/// Share of the fleet's hourly price that may be spent on idle machines kept for the rare model
/// weights on them.
pub const IDLE_IMAGE_PRICE_SHARE: f64 = 0.02;

/// Number of images whose size operators were warned of that a leader remembers before it drops
/// those that no job uses any more.
pub const MAX_WARNED_IMAGES: usize = 1_000;

/// Minimum remaining time, in s, of a fetch that should be complete by the cloud's rate. The rate
/// varies by a third, and the worker's report of it is on its way.
pub const MIN_REMAINING_FETCH_S: f64 = 1.0;

// ---- served share ------------------------------------------------------------

/// Age of a job, in ms, at which its tasks count as demand: a boot and a fetch, before which no
/// task could have started.
pub const SERVED_SHARE_AFTER_MS: u64 = 60_000;

/// How long, in ms, a completed job counts for its class and team.
pub const SERVED_WINDOW_MS: u64 = 300_000;

/// Share of its demand below which a class or team counts as not served. Users are dissatisfied
/// with a day on which a class has less than half.
pub const SERVED_MIN_SHARE: f64 = 0.6;

/// Share below which operators are warned, early enough to act before it falls below
/// [`SERVED_MIN_SHARE`].
pub const SERVED_WARN_SHARE: f64 = 0.7;

/// How long, in ms, the share must have been that low. The first minute of a burst is no problem.
pub const SERVED_WARN_AFTER_MS: u64 = 10_000;

/// Share at which a class or team that was warned of has recovered.
pub const SERVED_RECOVERED_SHARE: f64 = 0.8;

/// Age of a term, in ms, at which its leader has heard all machines that it can reach, and may
/// evaluate shares: two of the longest report intervals seen.
pub const SERVED_MIN_TERM_MS: u64 = 16_000;

/// How long, in ms, the share must have stayed recovered for the problem to be over.
pub const SERVED_RECOVERED_MS: u64 = 60_000;

/// Share of old work below which a class or team is starved.
pub const STARVED_SHARE: f64 = 0.5;

/// Age of a job, in ms, at which its work counts as old here. Priorities must be given time to
/// work.
pub const STARVED_AFTER_MS: u64 = 120_000;

/// Credit that each start of other work gives to starved work. A quarter makes one start in five
/// its own.
pub const STARVED_CREDIT_PER_START: f64 = 0.25;

/// Maximum credit that can be accumulated. What is placed at once must not displace others from all
/// machines.
pub const STARVED_MAX_CREDIT: f64 = 4.0;

/// Maximum debt, of a large gang, which needs all its places at once.
pub const STARVED_MAX_DEBT: f64 = 16.0;

/// Number of classes whose share is exported as a metric, the worst served first. Users name
/// classes, so there may be any number.
pub const SERVED_SHARES_SHOWN: usize = 100;

// ---- counted resources -------------------------------------------------------

/// How long, in ms, a problem with a count must last before operators are warned. A new leader
/// hears its licence servers within seconds.
pub const COUNT_WARNING_AFTER_MS: u64 = 10_000;

/// Maximum number of attempts, lingering units and outside clients, of each, that the log lists
/// when a count is oversubscribed. Enough to see where the sum comes from; at some 100 bytes each
/// the line stays readable.
pub const OVERSUBSCRIPTION_PARTS_LOGGED: usize = 16;

/// Maximum number of victims, a gang counting once, that one pass preempts to free units. Each
/// loses work, and the next pass sees the effect.
pub const UNIT_PREEMPTIONS_PER_PASS: usize = 64;

/// Maximum number of tasks of a job for which one pass tries to free units.
pub const UNIT_SEARCHES_PER_JOB: u32 = 16;

/// Cost, in s, of each step down in a job's own ranking of machine kinds. It exceeds everything
/// else that placement weighs, so that the rank decides among the machines with capacity, and never
/// keeps a task from one.
pub const RANK_STEP_COST_S: f64 = 100_000.0;

/// Maximum number of machine kind sets that a leader caches, so that jobs with equal sets share
/// them.
pub const MAX_KIND_SETS: usize = 4_096;

/// How long a cluster may stay open, in ms. Its submitter retries within seconds; after this time
/// the leader gives it up and deletes its records.
pub const CLUSTER_OPEN_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// Interval, in ms, at which the leader looks for clusters that were left open, and for holds that
/// the current limits allow to be released.
pub const CLUSTER_CHECK_MS: u64 = 5_000;

/// Maximum number of clusters that one node accepts or changes at a time; for more, users are told
/// to retry. Each keeps the text of a file in memory, at most [`MAX_SUBMIT_BODY_BYTES`], while it
/// is processed.
pub const MAX_CLUSTER_OPERATIONS: usize = 4;

/// Maximum size of a request body with a submit file and its item data: 10,000 items of 80
/// characters, and some reserve.
pub const MAX_SUBMIT_BODY_BYTES: usize = 1024 * 1024;

/// Share of the state service's change rate that one node uses to record clusters. Native
/// submissions and the leader's own batches share the rest.
pub const CLUSTER_WRITE_SHARE: f64 = 0.1;

/// Maximum number of keys that one transaction of a cluster changes. Three nodes that record
/// clusters at the same time stay, with the leader's batches, within the state service's changes a
/// second.
pub const CLUSTER_TXN_KEYS: usize = 5;

/// How long a submitter waits for its cluster, in ms, before it is told the progress and to ask
/// again. Recording continues in the meantime.
pub const CLUSTER_RESPONSE_MS: u64 = 3_000;

/// Maximum number of times an operation on a cluster restarts because of concurrent changes by
/// other nodes, before its user is told to retry.
pub const MAX_CLUSTER_ROUNDS: u32 = 8;

/// Number of clusters shown in the history.
pub const HISTORY_CLUSTERS_SHOWN: u64 = 100;

/// Interval, in ms, at which the leader reads ends of jobs that are not in the teams' accounts yet,
/// if there are any. No request waits for the accounts.
pub const ACCOUNTING_FOLLOW_MS: u64 = 5_000;

/// Maximum interval, in ms, without reading, for an end of which this leader was not notified.
pub const ACCOUNTING_IDLE_MS: u64 = 30_000;

/// Minimum interval, in ms, between two writes of the accounts while few ends are pending. The open
/// pages of twelve teams are some thirteen changes.
pub const ACCOUNTING_WRITE_MS: u64 = 10_000;

/// Number of pending ends above which the accounts are written every second, as in a flood.
pub const ACCOUNTING_BATCH: usize = 100;

/// Number of changes of the state service without an end after which the recorded position of the
/// accounts is advanced. The service keeps the last 10,000 changes, and a successor that must read
/// all ended jobs is slow.
pub const ACCOUNTING_QUIET_CHANGES: u64 = 4_000;

/// Keys of accounts requested at once. A page is some 6 KiB, and a response holds 512 KiB.
pub const ACCOUNTING_PAGE_ITEMS: u32 = 60;

/// Ended jobs read at once to verify the accounts, at some 250 bytes each.
pub const ACCOUNTING_SCAN_ITEMS: u32 = 200;

/// Interval, in ms, between two such reads. A hundred thousand ended jobs take four minutes, at
/// negligible load on the state service.
pub const ACCOUNTING_SCAN_MS: u64 = 500;

/// Maximum number of cancelled jobs whose statistics are kept until their ends are known. Entries
/// beyond it have less detail.
pub const MAX_CANCELLED_ACCOUNTS: usize = 5_000;

/// Maximum number of running attempts whose start is remembered, for the work that is lost with
/// them.
pub const MAX_TRACKED_RUNS: usize = 200_000;
