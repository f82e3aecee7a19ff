use super::*;
use crate::CONNECTION_CLASS_COUNT;
use crate::constants::SHORTAGE_QUIET_MS;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::collections::VecDeque;

fn limits(sockets: usize) -> Limits {
    Limits {
        sockets,
        peers: 4,
        idle_ms: 32_000,
        report_ms: 8_000,
    }
}

/// A deterministic pseudo-random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 27)) % bound
    }
}

/// Clients of one process: workers report every 8 s and users send a request every 5 s, all on
/// connections that they keep open until a response closes them.
struct Clients {
    sockets: ConnectionLimiter,
    random: Random,
    now: Timestamp,
    connections: Vec<(ConnectionClass, Option<ConnectionSlot>)>,
    due: BTreeMap<Timestamp, Vec<usize>>,
    /// Clients in the listen queue, not accepted yet.
    waiting: VecDeque<(Timestamp, usize)>,
    longest_wait: Timestamp,
    /// Connections opened; each closed connection costs one.
    opened: PerClass<u64>,
}

impl Clients {
    /// All clients send their first request within `start_ms`.
    fn new(sockets: usize, workers: usize, users: usize, start_ms: u64) -> Clients {
        let mut clients = Clients {
            sockets: ConnectionLimiter::new(&limits(sockets)),
            random: Random(1),
            now: 0,
            connections: Vec::new(),
            due: BTreeMap::new(),
            waiting: VecDeque::new(),
            longest_wait: 0,
            opened: PerClass::default(),
        };
        for (class, count) in [(ConnectionClass::Worker, workers), (ConnectionClass::User, users)] {
            for _ in 0..count {
                let at = clients.random.below(start_ms);
                clients.due.entry(at).or_default().push(clients.connections.len());
                clients.connections.push((class, None));
            }
        }
        clients
    }

    /// One iteration of the event loop: accepts, reads and answers what has arrived.
    fn run_iteration(&mut self, iteration_ms: u64) {
        self.now += iteration_ms;
        let later = self.due.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.due, later);
        let mut requesting = Vec::new();
        for (at, client) in due
            .into_iter()
            .flat_map(|(at, indexes)| indexes.into_iter().map(move |index| (at, index)))
        {
            if self.connections[client].1.is_some() {
                requesting.push(client);
            } else {
                self.waiting.push_back((at, client));
            }
        }
        while let Some(&(since, client)) = self.waiting.front() {
            match self.sockets.open(ConnectionClass::Unidentified, self.now) {
                Ok(mut slot) => {
                    self.sockets.identify(&mut slot, self.connections[client].0);
                    self.opened[self.connections[client].0] += 1;
                    self.connections[client].1 = Some(slot);
                    requesting.push(client);
                }
                Err(no_capacity) if !self.sockets.may_wait(self.now) => {
                    self.sockets.refuse(no_capacity, self.now)
                }
                Err(_) => break,
            }
            self.longest_wait = self.longest_wait.max(self.now - since);
            self.waiting.pop_front();
        }
        for client in requesting {
            let (class, slot) = &mut self.connections[client];
            let next = match class {
                ConnectionClass::Worker => 6_000 + self.random.below(4_000),
                _ => 4_500 + self.random.below(1_000),
            };
            self.due.entry(self.now + next).or_default().push(client);
            if let Some(open) = slot.take() {
                if self.sockets.response_closes(&open, self.now) {
                    self.sockets.close(open);
                } else {
                    *slot = Some(open);
                }
            }
        }
        let sockets = &self.sockets;
        assert!(
            sockets.open.sum() <= 3_000 - PROCESS_RESERVE,
            "{:?}",
            sockets.open
        );
        // Calls and peers have not used any slot yet, and must find all of their reserve.
        let unused_classes = [
            ConnectionClass::Peer,
            ConnectionClass::ExternalCall,
            ConnectionClass::WorkerCall,
        ];
        let reserved: usize = unused_classes.iter().map(|&class| sockets.reserve[class]).sum();
        let open: usize = sockets.open.sum();
        assert!(open + reserved <= 3_000 - PROCESS_RESERVE);
    }
}

/// Without responses that close connections, 8,092 connections are refused in the first minute, and
/// none of the users in `users_take_precedence_over_workers_in_shared_slots` finds a slot.
#[test]
fn ten_thousand_machines_on_three_thousand_sockets() {
    // All clients connect within a second, as after an election; iterations take 50 ms.
    let mut clients = Clients::new(3_000, 10_000, 300, 1_000);
    for _ in 0..20 * 60 {
        clients.run_iteration(50);
    }
    assert_eq!(clients.sockets.shortage_counts().total_refused(), 0);
    assert!(
        clients.longest_wait <= MAX_QUEUE_WAIT_MS,
        "{} ms",
        clients.longest_wait
    );
    // Users keep their connections regardless of the workers.
    assert_eq!(clients.opened[ConnectionClass::User], 300);
    // 8,000 of the workers open a connection for each report, but not more.
    let reports = 10_000 * 60 / 8;
    assert!(clients.opened[ConnectionClass::Worker] < reports);
    let kept = clients.sockets.open_counts()[ConnectionClass::Worker];
    assert!(kept > 1_500, "{kept} workers keep their connections");
}

#[test]
fn small_fleets_are_not_affected() {
    let mut clients = Clients::new(3_000, 1_500, 300, 1_000);
    for _ in 0..20 * 60 {
        clients.run_iteration(50);
    }
    assert_eq!(clients.sockets.shortage_counts(), ShortageCounts::default());
    assert_eq!(clients.sockets.next_event(clients.now), None);
    assert_eq!(clients.opened[ConnectionClass::Worker], 1_500);
}

#[test]
fn users_take_precedence_over_workers_in_shared_slots() {
    let mut clients = Clients::new(3_000, 4_000, 0, 8_000);
    for _ in 0..20 * 20 {
        clients.run_iteration(50);
    }
    let before = clients.sockets.open_counts()[ConnectionClass::Worker];
    for _ in 0..1_200 {
        let at = clients.now + 1 + clients.random.below(5_000);
        clients.due.entry(at).or_default().push(clients.connections.len());
        clients.connections.push((ConnectionClass::User, None));
    }
    for _ in 0..20 * 30 {
        clients.run_iteration(50);
    }
    let open = clients.sockets.open_counts();
    assert_eq!(open[ConnectionClass::User], 1_200);
    assert!(open[ConnectionClass::Worker] < before);
    // While 240 users a second arrive, the workers' slots are not freed soon enough for a few of them.
    assert!(clients.opened[ConnectionClass::User] < 1_500);
    assert_eq!(clients.sockets.shortage_counts().total_refused(), 0);
}

#[test]
fn a_shortage_is_reported_once() {
    let mut sockets = ConnectionLimiter::new(&limits(100));
    let mut events = Vec::new();
    let mut slots = Vec::new();
    for now in 0..200_u64 {
        match sockets.open(ConnectionClass::Unidentified, now) {
            Ok(mut slot) => {
                sockets.identify(&mut slot, ConnectionClass::Worker);
                slots.push(slot);
            }
            Err(no_capacity) => sockets.refuse(no_capacity, now),
        }
        events.extend(sockets.next_event(now));
    }
    assert_eq!(
        events,
        [
            ShortageEvent::Short,
            ShortageEvent::Refusing(ConnectionClass::Unidentified)
        ]
    );
    assert_eq!(sockets.next_event(100 + SHORTAGE_QUIET_MS), None);
    let Some(ShortageEvent::Ended {
        lasted_ms: duration_ms,
        counts: totals,
    }) = sockets.next_event(199 + SHORTAGE_QUIET_MS)
    else {
        panic!("the shortage has not ended");
    };
    let refused = 200 - slots.len() as u64;
    assert_eq!((duration_ms, totals.total_refused()), (refused - 1, refused));
    assert_eq!(sockets.next_event(400 + SHORTAGE_QUIET_MS), None);
}

#[test]
fn silent_clients_are_disconnected_first() {
    let mut sockets = ConnectionLimiter::new(&limits(100));
    let silent = sockets.open(ConnectionClass::Unidentified, 0).unwrap();
    assert_eq!(sockets.idle_ms(&silent), 32_000);
    let mut worker = sockets.open(ConnectionClass::Unidentified, 0).unwrap();
    sockets.identify(&mut worker, ConnectionClass::Worker);
    assert_eq!(sockets.idle_ms(&worker), 32_000);
    while sockets.open(ConnectionClass::Unidentified, 0).is_ok() {}
    assert_eq!(sockets.idle_ms(&silent), SHORT_UNIDENTIFIED_IDLE_MS);
    // Longer than the longest interval between reports.
    assert_eq!(sockets.idle_ms(&worker), 12_000);
    sockets.idle_closed(&silent, SHORT_UNIDENTIFIED_IDLE_MS, 0);
    assert_eq!(
        sockets.shortage_counts().idle_closed[ConnectionClass::Unidentified],
        1
    );
}

#[test]
fn a_suspended_process_responds_before_it_refuses() {
    let mut sockets = ConnectionLimiter::new(&limits(100));
    let mut first = sockets.open(ConnectionClass::Unidentified, 0).unwrap();
    while sockets.open(ConnectionClass::Unidentified, 0).is_ok() {}
    assert!(sockets.may_wait(0));
    // The process resumes after 5 s; the responses of this iteration have not been sent yet.
    assert!(sockets.may_wait(5_000));
    sockets.identify(&mut first, ConnectionClass::User);
    sockets.close(first);
    assert!(sockets.open(ConnectionClass::Unidentified, 5_002).is_ok());
    // A slot became free, so the next clients that find none may wait for the whole time again.
    let iterations = (0..).take_while(|iteration| sockets.may_wait(6_000 + 150 * iteration));
    assert_eq!(iterations.count() as u32, MIN_QUEUE_WAIT_ITERATIONS);
    sockets.listen_queue_empty();
    assert!(sockets.may_wait(7_000));
}

#[derive(Debug, Clone)]
enum Operation {
    Open(usize),
    /// A client, a worker if true, sends a request and gets its response.
    Request(usize, bool),
    Close(usize),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        5 => (0..CONNECTION_CLASS_COUNT).prop_map(Operation::Open),
        4 => (0..1_000_usize, any::<bool>()).prop_map(|(index, is_worker)| Operation::Request(index, is_worker)),
        1 => (0..1_000_usize).prop_map(Operation::Close),
    ];
    prop::collection::vec(operation, 0..600)
}

proptest! {
    /// After any sequence of operations, each class still finds the whole of its reserve, and the total
    /// never exceeds the sockets of the process.
    #[test]
    fn no_reserve_is_taken_by_others(sockets in 16..400_usize, operations in operations()) {
        let mut limiter = ConnectionLimiter::new(&limits(sockets));
        let mut slots: Vec<ConnectionSlot> = Vec::new();
        for operation in operations {
            match operation {
                Operation::Open(class) => slots.extend(limiter.open(ConnectionClass::ALL[class], 0)),
                Operation::Request(index, is_worker) if !slots.is_empty() => {
                    let index = index % slots.len();
                    if matches!(slots[index].class, ConnectionClass::Unidentified | ConnectionClass::User | ConnectionClass::Worker) {
                        let class = if is_worker { ConnectionClass::Worker } else { ConnectionClass::User };
                        limiter.identify(&mut slots[index], class);
                        if limiter.response_closes(&slots[index], 0) {
                            let slot = slots.swap_remove(index);
                            limiter.close(slot);
                        }
                    }
                }
                Operation::Close(index) if !slots.is_empty() => {
                    let slot = slots.swap_remove(index % slots.len());
                    limiter.close(slot);
                }
                _ => (),
            }
            prop_assert_eq!(limiter.open.sum(), slots.len());
        }
        for class in ConnectionClass::ALL {
            while limiter.open[class] < limiter.reserve[class] {
                slots.push(limiter.open(class, 0).unwrap());
            }
        }
        prop_assert!(slots.len() + PROCESS_RESERVE.min(sockets / PROCESS_RESERVE_DIVISOR) <= sockets);
    }
}
