//! Ledger and counts under random events, against a simple oracle: a licence server that
//! hands out seats itself. Whatever is lost, late, restarted or taken over, no worker may
//! ever be refused a seat for a start that the book allowed, and the book may never think
//! that fewer seats are taken than really are.

use indigopath_controller::allocations::{Attempt, Change, Machine};
use indigopath_controller::model::{JobId, MachineId, Resources, TaskId};
use indigopath_controller::protocol::{DirectCommands, Heartbeat, HeartbeatResponse};
use indigopath_controller::scheduling::placement::{self, CountedUnits};
use indigopath_controller::storage::records::{MachineRecord, Record, ShardRecord};
use indigopath_counted_resources::{
    Definition, Definitions, Demand, Linger, LingerSet, Requester, ReservationPolicy,
};
use indigopath_simulator::licence_server::{ClientState, Feature, LicenceServer};
use indigopath_simulator::simulation::ObservedJob;
use indigopath_simulator::worker::Worker;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const UNITS: u32 = 3;
const LINGER_S: f64 = 5.0;
const MACHINES: usize = 3;
const JOB: &str = "wk-1";
/// True time of day when a run begins, in ms.
const WALL_MS: u64 = 1_700_000_000_000;

#[derive(Debug, Clone)]
enum Event {
    /// Place a task with a seat, if the book has one.
    Start(usize),
    /// Record all that may be anywhere.
    Write,
    /// A direct command: answered, unanswered but carried out, late by so many ms, or lost.
    Direct(usize, Fortune),
    /// A report, whose answer arrives or not.
    Heartbeat(usize, bool),
    Stop(usize),
    /// From now on tasks fail there, or do not.
    Faulty(usize, bool),
    Hang(usize, u64),
    /// The cloud takes the machine and says so.
    Gone(usize),
    /// Another leader, which has the records and nothing else.
    TakeOver,
    /// The leader renews its token.
    Renew,
    Wait(u64),
}

#[derive(Debug, Clone, Copy)]
enum Fortune {
    Answered,
    Unanswered,
    Late(u64),
    /// Answered, and carried out once more.
    Copied(u64),
    Lost,
}

fn event() -> impl Strategy<Value = Event> {
    let machine = 0..MACHINES;
    let fortune = prop_oneof![
        4 => Just(Fortune::Answered),
        1 => Just(Fortune::Unanswered),
        1 => (1_000u64..20_000).prop_map(Fortune::Late),
        1 => (1_000u64..20_000).prop_map(Fortune::Copied),
        1 => Just(Fortune::Lost),
    ];
    prop_oneof![
        6 => machine.clone().prop_map(Event::Start),
        6 => Just(Event::Write),
        8 => (machine.clone(), fortune).prop_map(|(at, fortune)| Event::Direct(at, fortune)),
        8 => (machine.clone(), any::<bool>()).prop_map(|(at, answered)| Event::Heartbeat(at, answered)),
        2 => machine.clone().prop_map(Event::Stop),
        1 => (machine.clone(), any::<bool>()).prop_map(|(at, faulty)| Event::Faulty(at, faulty)),
        1 => (machine.clone(), 500u64..40_000).prop_map(|(at, ms)| Event::Hang(at, ms)),
        1 => machine.prop_map(Event::Gone),
        1 => Just(Event::TakeOver),
        1 => Just(Event::Renew),
        8 => (50u64..4_000).prop_map(Event::Wait),
    ]
}

struct Play {
    now: u64,
    token: u64,
    first_token: u64,
    machines: BTreeMap<MachineId, Machine>,
    lingers: LingerSet,
    /// What a new leader would read.
    recorded: (Vec<MachineRecord>, serde_json::Value),
    workers: Vec<Worker>,
    licences: LicenceServer,
    jobs: BTreeMap<String, ObservedJob>,
    definitions: Definitions,
    late: Vec<(u64, usize, Vec<u8>)>,
    next_task: u32,
    next_machine: u32,
    started: u32,
}

impl Play {
    fn new() -> Play {
        let facts = ObservedJob {
            shape: "sweep".to_owned(),
            tasks: 100_000,
            run_s: 4.0,
            image: "img".to_owned(),
            image_gb: 0.2,
            counted_units: BTreeMap::from([("seat".to_owned(), 1)]),
            ..ObservedJob::default()
        };
        let mut definition = Definition::with_units(UNITS);
        definition.linger_s = LINGER_S;
        let feature = Feature::new(UNITS, (LINGER_S * 1_000.0) as u64);
        let mut play = Play {
            now: 0,
            token: 10,
            first_token: 10,
            machines: BTreeMap::new(),
            lingers: LingerSet::default(),
            recorded: (Vec::new(), serde_json::Value::Null),
            workers: Vec::new(),
            licences: LicenceServer {
                features: BTreeMap::from([("seat".to_owned(), feature)]),
                outage: false,
            },
            jobs: BTreeMap::from([(JOB.to_owned(), facts)]),
            definitions: Definitions::from([(Arc::from("seat"), definition)]),
            late: Vec::new(),
            next_task: 0,
            next_machine: 0,
            started: 0,
        };
        for _ in 0..MACHINES {
            let worker = play.new_worker();
            play.workers.push(worker);
        }
        play.write();
        play
    }

    fn new_worker(&mut self) -> Worker {
        self.next_machine += 1;
        let id = format!("m-{}", self.next_machine);
        let known = MachineId(Arc::from(id.as_str()));
        let mut machine = Machine::new(known.clone(), "small".into(), "east".into(), false, self.now);
        machine.addr = Some(id.clone());
        self.machines.insert(known, machine);
        Worker::new(&id, "small", "east", false, self.now)
    }

    fn id(&self, at: usize) -> MachineId {
        MachineId(Arc::from(self.workers[at].id.as_str()))
    }

    fn seats(&self, asked: impl Fn(&indigopath_counted_resources::UnitLedger<'_>) -> u32) -> u32 {
        let lingers: Vec<Linger> = self.lingers.iter().cloned().collect();
        let (feeds, gone, keepers) = (BTreeMap::new(), HashMap::new(), BTreeMap::new());
        let units = CountedUnits {
            definitions: &self.definitions,
            policy: ReservationPolicy::default(),
            reserved_since: &keepers,
            feeds: &feeds,
            lingers: &lingers,
            recently_released: &gone,
        };
        asked(&placement::unit_ledger(&self.machines, &units, self.now))
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in changes {
            if let Change::Freed {
                team, lingers: true, ..
            } = change
            {
                let until = self.now + self.definitions["seat"].linger_ms();
                self.lingers.add(Linger {
                    count: Arc::from("seat"),
                    team,
                    units: 1,
                    until,
                });
            }
        }
    }

    fn write(&mut self) {
        for machine in self.machines.values_mut() {
            for attempt in &mut machine.attempts {
                attempt.durable = true;
            }
        }
        let records: Vec<MachineRecord> = self
            .machines
            .values()
            .map(|machine| machine.record(|_| true))
            .collect();
        let lingers = self.lingers.to_record(self.now, WALL_MS + self.now);
        self.recorded = (
            records.clone(),
            ShardRecord::from_machines(&records, lingers).to_value(),
        );
    }

    fn absorb(&mut self, at: usize, body: &[u8]) -> Option<(u64, u64)> {
        let report: Heartbeat = serde_json::from_slice(body).unwrap();
        let (id, first, now) = (self.id(at), self.first_token, self.now);
        let changes = self.machines.get_mut(&id)?.apply_heartbeat(&report, first, now)?;
        self.changed(changes);
        Some((report.agent_epoch, report.seq))
    }

    fn play(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Start(at) => self.start(*at),
            Event::Write => self.write(),
            Event::Direct(at, fortune) => self.direct(*at, *fortune),
            Event::Heartbeat(at, answered) => self.report(*at, *answered),
            Event::Stop(at) => {
                let (id, now) = (self.id(*at), self.now);
                for attempt in &mut self.machines.get_mut(&id).unwrap().attempts {
                    if !attempt.exited() {
                        attempt.stop = Some(indigopath_controller::allocations::Stop::requested(0.0, now));
                    }
                }
            }
            Event::Faulty(at, faulty) => self.workers[*at].faulty = *faulty,
            Event::Hang(at, ms) => self.workers[*at].hung_until = self.now + ms,
            Event::Gone(at) => {
                let id = self.id(*at);
                // Gone first, told after.
                self.workers[*at].tasks.clear();
                self.licences_step();
                let changes = self.machines.remove(&id).unwrap().clear();
                self.changed(changes);
                self.late.retain(|(_, to, _)| to != at);
                self.workers[*at] = self.new_worker();
            }
            Event::Renew => self.token += 1,
            Event::TakeOver => {
                self.token += 1;
                self.first_token = self.token;
                let shard = ShardRecord::from_value(&self.recorded.1).unwrap();
                self.lingers = LingerSet::from_record(
                    shard.lingers().iter().cloned(),
                    self.now,
                    WALL_MS + self.now,
                    0,
                    |_| 60_000,
                );
                self.machines = shard
                    .machines()
                    .unwrap()
                    .iter()
                    .map(|record| Machine::from_record(record, self.now))
                    .map(|machine| (machine.id.clone(), machine))
                    .collect();
                for at in 0..MACHINES {
                    // The cloud's list names those that no record does.
                    let id = self.id(at);
                    let addr = self.workers[at].id.clone();
                    self.machines.entry(id.clone()).or_insert_with(|| {
                        let mut machine = Machine::new(id, "small".into(), "east".into(), false, self.now);
                        machine.addr = Some(addr);
                        machine.needs_fencing_probe = true;
                        machine
                    });
                }
                // What the records name beside them has been returned, as far as it matters.
                let there: Vec<MachineId> = (0..MACHINES).map(|at| self.id(at)).collect();
                let gone: Vec<MachineId> = self
                    .machines
                    .keys()
                    .filter(|id| !there.contains(id))
                    .cloned()
                    .collect();
                for id in gone {
                    let changes = self.machines.remove(&id).unwrap().clear();
                    self.changed(changes);
                }
                self.write();
            }
            Event::Wait(ms) => {
                let until = self.now + ms;
                while self.now < until {
                    self.now = (self.now + 50).min(until);
                    self.pass_time()?;
                }
            }
        }
        // The licence server sees a death at once.
        self.licences_step();
        let really = self.licences.features["seat"].task_units();
        let thought = self.seats(|book| book.get("seat").map_or(0, |pool| pool.taken() as u32));
        prop_assert!(
            thought >= really,
            "{thought} seats by the book, {really} in truth, at {}",
            self.now
        );
        Ok(())
    }

    fn start(&mut self, at: usize) {
        let seat = Demand::new(&BTreeMap::from([("seat".to_owned(), 1)])).unwrap();
        let asker = Requester {
            age_s: 0.0,
            estimate_s: 4.0,
            reserved_s: 0.0,
        };
        if self.seats(|book| book.available(&seat, 1, &asker)) == 0 {
            return;
        }
        let task = TaskId {
            job: JobId(Arc::from(JOB)),
            index: self.next_task,
        };
        self.next_task += 1;
        let number = (self.first_token << 20) + u64::from(self.next_task);
        let attempt = Attempt {
            counts: seat,
            ..Attempt::planned(
                task,
                number,
                Arc::from("red"),
                Resources::default(),
                Arc::from("img"),
                self.now,
            )
        };
        let id = self.id(at);
        self.machines.get_mut(&id).unwrap().attempts.push(attempt);
    }

    fn direct(&mut self, at: usize, fortune: Fortune) {
        let id = self.id(at);
        let (now, token) = (self.now, self.token);
        let machine = self.machines.get_mut(&id).unwrap();
        let orders = if machine.synced {
            machine.due_commands(None, true, token, now)
        } else {
            Vec::new()
        };
        let agent_epoch = machine.agent_epoch.max(1);
        let body = serde_json::to_vec(&DirectCommands {
            token,
            agent_epoch,
            commands: orders,
        })
        .unwrap();
        match fortune {
            Fortune::Answered | Fortune::Copied(_) | Fortune::Unanswered
                if now >= self.workers[at].hung_until =>
            {
                let (status, answer) = self.workers[at].handle_direct_commands(&body, &self.jobs, now);
                let machine = self.machines.get_mut(&id).unwrap();
                if let Fortune::Copied(ms) = fortune {
                    self.late.push((now + ms, at, body));
                }
                if !matches!(fortune, Fortune::Unanswered) {
                    machine.on_direct_command_settled(status == 200, token, agent_epoch);
                    self.absorb(at, &answer);
                } else {
                    machine.on_direct_command_unanswered(token, agent_epoch);
                }
            }
            _ => {
                if let Fortune::Late(ms) = fortune {
                    self.late.push((now + ms, at, body));
                }
                self.machines
                    .get_mut(&id)
                    .unwrap()
                    .on_direct_command_unanswered(token, agent_epoch);
            }
        }
    }

    fn report(&mut self, at: usize, answered: bool) {
        let now = self.now;
        self.workers[at].next_heartbeat_at = now;
        let agent_epoch = self.workers[at].agent_epoch;
        let Some((number, body)) = self.workers[at].due_heartbeat(now) else {
            return;
        };
        if serde_json::from_slice::<Heartbeat>(&body).unwrap().token > self.token {
            return;
        }
        let newest = self.absorb(at, &body);
        let (id, token) = (self.id(at), self.token);
        let outcome = newest.filter(|_| answered).map(|newest| {
            let machine = self.machines.get_mut(&id).unwrap();
            let orders = machine.due_commands(Some(newest), true, token, now);
            (
                200,
                serde_json::to_vec(&HeartbeatResponse {
                    token,
                    commands: orders,
                })
                .unwrap(),
            )
        });
        self.workers[at].handle_heartbeat_response(number, agent_epoch, outcome, 3, &self.jobs, now);
    }

    fn licences_step(&mut self) {
        let workers = &self.workers;
        self.licences.step(self.now, |client| {
            let host = workers.iter().find(|worker| worker.id == client.host);
            ClientState::of(host, client)
        });
    }

    fn pass_time(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        // A hanging machine carries late commands out when it goes on.
        let workers = &self.workers;
        let due: Vec<(u64, usize, Vec<u8>)> = self
            .late
            .extract_if(.., |(when, at, _)| *when <= now && now >= workers[*at].hung_until)
            .collect();
        for (_, at, body) in due {
            self.workers[at].handle_direct_commands(&body, &self.jobs, now);
        }
        self.licences_step();
        self.lingers.prune(now);
        for at in 0..MACHINES {
            let arrived = self.workers[at].step(&mut self.jobs, now);
            for task in arrived {
                self.started += 1;
                let seat = &self.jobs[JOB].counted_units;
                let refused = self.licences.check_out_all(seat, &self.workers[at].id, &task);
                prop_assert!(refused.is_empty(), "{} is refused its seat at {now}", task.name());
            }
        }
        self.licences_step();
        Ok(())
    }
}

proptest! {
    #[test]
    fn no_seat_is_handed_out_twice(events in proptest::collection::vec(event(), 40..250)) {
        let mut play = Play::new();
        for event in &events {
            play.play(event)?;
        }
    }
}

/// The same machinery, with everything going well: seats are really used.
#[test]
fn seats_are_used_and_come_back() {
    let mut play = Play::new();
    for _ in 0..60 {
        for at in 0..MACHINES {
            for event in [
                Event::Start(at),
                Event::Write,
                Event::Direct(at, Fortune::Answered),
                Event::Wait(400),
                Event::Heartbeat(at, true),
            ] {
                play.play(&event).unwrap();
            }
        }
    }
    assert!(play.started > 20, "only {} tasks started", play.started);
    assert_eq!(play.licences.features["seat"].refused_checkouts, 0);
}

/// What happens: a start with a seat goes unanswered but is carried out, and its machine's lease ends a
/// moment later, so that the task is gone before anybody saw it. The licence server keeps the dead client's
/// seat for a while. The leader learns of the machine's next agent epoch, lets the seat linger, and sent
/// the same attempt again at once: where the other seats are taken, that task is refused its seat and lost.
/// Why: an attempt that stays was sent again without asking for units, as if it had them still, and stood in
/// the sum twice, as held and as lingering.
/// Shown by seed 1281 of `counts_seeds`: "counted resource oversubscribed count=seat units=5 held=2
/// lingering=4 others=0 attempts=[wk-3/3 …] lingers=[shard=0 units=4 inherited=false …]", two of the four
/// from that same attempt.
#[test]
fn a_start_lost_with_its_agent_epoch_gets_its_seat_anew() {
    let mut play = Play::new();
    // Who has heard a token reports it with the next heartbeat.
    let machines = (0..MACHINES).chain(0..MACHINES);
    let mut events: Vec<Event> = machines.map(|at| Event::Heartbeat(at, true)).collect();
    let lease_ms = play.workers[0].timings.lease_ms;
    for _ in 0..lease_ms / 2_000 - 1 {
        events.push(Event::Wait(2_000));
        events.extend([Event::Heartbeat(1, true), Event::Heartbeat(2, true)]);
    }
    events.extend([Event::Wait(1_000), Event::Start(0), Event::Write]);
    events.push(Event::Direct(0, Fortune::Unanswered));
    events.push(Event::Wait(1_500));
    for at in 1..MACHINES {
        events.extend([
            Event::Start(at),
            Event::Write,
            Event::Direct(at, Fortune::Answered),
        ]);
    }
    events.extend([Event::Wait(500), Event::Heartbeat(0, true), Event::Wait(1_000)]);
    for event in &events {
        play.play(event).unwrap();
    }
    assert_eq!(play.workers[0].agent_epoch, 2, "its lease ended");
    assert_eq!(play.started, 3, "each task has come to be on a machine once");
    let taken = play.seats(|book| book.get("seat").map_or(0, |pool| pool.taken() as u32));
    assert_eq!(taken, UNITS);
}
