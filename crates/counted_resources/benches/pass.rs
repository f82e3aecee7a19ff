//! Cost of counted resources in a scheduling pass with 10,000 waiting tasks, 100 counted resources
//! and 1,000 machines running 4,000 tasks, compared with the same pass without counted resources;
//! and the cost of the unit ledger alone.
//!
//! In addition to criterion's measurements, passes with and without counted resources are timed
//! alternately and the median of their ratios is printed, because on a busy machine only adjacent
//! measurements are comparable.

use criterion::{Criterion, criterion_group, criterion_main};
use indigopath_controller::allocations::{Attempt, Machine};
use indigopath_controller::model::{Job, JobId, JobSpec, MachineId, TaskId, TaskLocations};
use indigopath_controller::protocol::{MachineTypeList, TaskState};
use indigopath_controller::scheduling::placement::{self, ClusterSnapshot, CountedUnits, MachineTypes};
use indigopath_controller::settings::Deployment;
use indigopath_counted_resources::{
    Definition, Definitions, Demand, DemandInterner, Requester, ReservationPolicy, UnitLedger,
};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

const JOBS: u32 = 10_000;
const COUNTS: u32 = 100;
const MACHINES: u32 = 1_000;
/// Tasks on each machine, enough to fill it.
const TASKS_PER_MACHINE: u32 = 4;
const PAIRS: usize = 201;

/// The state that a scheduling pass reads.
struct PassInput {
    deployment: Deployment,
    types: MachineTypes,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    definitions: Definitions,
}

fn demand(number: u32) -> Demand {
    Demand::new(&BTreeMap::from([(format!("c{}", number % COUNTS), 1)])).expect("a demand")
}

fn pass_input(counted: bool, units: u32) -> PassInput {
    let deployment = json!({
        "zones": ["east", "west"], "teams": [{ "name": "red" }, { "name": "blue" }],
        "workers": { "report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 50.0 },
        "state": { "rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12 },
        "cloud": { "rps": 8.0, "list_lag_s": 3.0 }, "resources": {},
    });
    let flavors: MachineTypeList = serde_json::from_value(json!({ "Rigs": [{
        "Label": "small", "Cpus": 16, "Gpus": 4, "MemGb": 64, "CacheGb": 40, "FetchGbPerS": 1.0,
        "Rate": 1.0, "LowPrice": 0.5, "StartupS": 10, "Yards": ["east", "west"]
    }] }))
    .expect("machine types");
    // Demands are interned, as in the leader.
    let demands = std::cell::RefCell::new(DemandInterner::default());
    let spec = |number: u32| -> JobSpec {
        let value = json!({
            "id": format!("wk-{number}"), "class": "slots", "team": if number.is_multiple_of(2) { "red" } else { "blue" },
            "shape": "sweep", "priority": "standard", "tasks": 1,
            "needs": { "cpus": 4.0, "gpus": 1.0, "memory_gb": 8.0 }, "image": format!("img-{}", number % 20),
            "image_gb": 1.0, "types": null, "zone": null, "one_zone": false, "spread": false, "spot": true,
            "estimate_s": f64::from(10 + number % 60), "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null,
            "submitted_ms": 0,
        });
        let mut spec: JobSpec = serde_json::from_value(value).expect("a job");
        if counted {
            spec.counts = demands.borrow_mut().intern(demand(number));
        }
        spec
    };
    let job = |number: u32| {
        let spec = spec(number);
        (spec.id.clone(), Job::new(spec, 1, u64::from(number), 0))
    };
    let mut jobs: BTreeMap<JobId, Job> = (0..JOBS).map(job).collect();
    let mut machines = BTreeMap::new();
    for number in 0..MACHINES {
        let id = MachineId(Arc::from(format!("m-{number:06}")));
        let zone = if number.is_multiple_of(2) { "east" } else { "west" };
        let mut machine = Machine::new(id.clone(), "small".into(), zone.into(), true, 0);
        machine.synced = true;
        machine.last_heard_at = Some(0);
        for task in 0..TASKS_PER_MACHINE {
            let holder = spec(JOBS + number * TASKS_PER_MACHINE + task);
            machine.attempts.push(Attempt {
                counts: holder.counts.clone(),
                estimate_s: holder.estimate_s,
                durable: true,
                reported_state: Some(TaskState::Running),
                running_since: Some(0),
                ..Attempt::planned(
                    TaskId {
                        job: holder.id.clone(),
                        index: 0,
                    },
                    1,
                    Arc::from(holder.team.as_str()),
                    holder.needs,
                    holder.image.clone(),
                    0,
                )
            });
            let mut running = Job::new(holder.clone(), 1, 0, 0);
            running.waiting.clear();
            jobs.insert(holder.id, running);
        }
        machines.insert(id, machine);
    }
    let definition = |number: u32| {
        let mut definition = Definition::with_units(units);
        definition.linger_s = 5.0;
        definition.shares = BTreeMap::from([("red".to_owned(), units / 4)]);
        (Arc::from(format!("c{number}")), definition)
    };
    PassInput {
        deployment: serde_json::from_value(deployment).expect("a deployment"),
        types: flavors
            .types
            .into_iter()
            .map(|known| (known.name.clone(), known))
            .collect(),
        jobs,
        machines,
        definitions: if counted {
            (0..COUNTS).map(definition).collect()
        } else {
            Definitions::new()
        },
    }
}

impl PassInput {
    fn pass(&self) -> usize {
        let (feeds, gone, keepers, task_locations) = (
            BTreeMap::new(),
            HashMap::new(),
            BTreeMap::new(),
            TaskLocations::new(),
        );
        let starved = indigopath_controller::scheduling::fair_share::StarvedOwners::default();
        let weights = indigopath_controller::leader::ImageLocality::default();
        let site = ClusterSnapshot {
            deployment: &self.deployment,
            types: &self.types,
            jobs: &self.jobs,
            machines: &self.machines,
            task_locations: &task_locations,
            spot_loss_rate: 0.0,
            starved: &starved,
            aging_credit: placement::AgingCredit::default(),
            image_statistics: &weights,
            protection: &placement::Protection::default(),
            units: CountedUnits {
                definitions: &self.definitions,
                policy: ReservationPolicy::default(),
                reserved_since: &keepers,
                feeds: &feeds,
                lingers: &[],
                recently_released: &gone,
            },
            now: 20_000,
        };
        let plan = placement::plan(&site);
        plan.unplaced.len() + plan.unsatisfied.len()
    }
}

/// Median ratio of the durations of passes timed alternately.
fn median_ratio(with: &PassInput, without: &PassInput) -> f64 {
    let time = |input: &PassInput| {
        let began = Instant::now();
        black_box(input.pass());
        began.elapsed().as_secs_f64()
    };
    let mut ratios: Vec<f64> = (0..PAIRS).map(|_| time(with) / time(without)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios[PAIRS / 2]
}

fn passes(criterion: &mut Criterion) {
    let without = pass_input(false, 0);
    // With units for all, a pass takes every step; with units only for the tasks that hold them,
    // all others wait for units.
    for (name, units) in [("units for all", 1_000), ("no units left", 40)] {
        let with = pass_input(true, units);
        assert!(with.pass() > 0 && without.pass() > 0);
        println!(
            "{name}: a pass with counts takes {:.3} of one without (paired, median)",
            median_ratio(&with, &without)
        );
        criterion.bench_function(&format!("pass, 100 counts, {name}"), |bench| {
            bench.iter(|| black_box(with.pass()))
        });
    }
    criterion.bench_function("pass without counts", |bench| {
        bench.iter(|| black_box(without.pass()))
    });
}

fn unit_ledger(criterion: &mut Criterion) {
    let input = pass_input(true, 1_000);
    let requester = Requester {
        age_s: 20.0,
        estimate_s: 30.0,
        reserved_s: 0.0,
    };
    let demands: Vec<Demand> = (0..JOBS).map(demand).collect();
    criterion.bench_function("unit ledger: 10,000 availability checks", |bench| {
        let unit_ledger = UnitLedger::new(&input.definitions);
        bench.iter(|| {
            demands
                .iter()
                .map(|demand| unit_ledger.available(demand, 1, &requester))
                .sum::<u32>()
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = passes, unit_ledger
}
criterion_main!(benches);
