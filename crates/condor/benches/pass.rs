//! What sets of kinds cost a scheduling pass: 10,000 waiting jobs whose expressions came to
//! 250 different sets, against the same jobs with lists of machine types, on 1,000 machines of
//! 40 kinds. The bar is 5 %.
//!
//! Before criterion's own figures, passes of both are timed in turn, and the median of their
//! ratios is printed: on a busy machine only a pair compares.

use criterion::{Criterion, criterion_group, criterion_main};
use indigopath_condor::KindSet;
use indigopath_controller::allocations::{Attempt, Machine};
use indigopath_controller::model::{Job, JobId, JobSpec, MachineId, TaskId, TaskLocations};
use indigopath_controller::protocol::{MachineTypeList, TaskState};
use indigopath_controller::scheduling::placement::{self, ClusterSnapshot, CountedUnits, MachineTypes};
use indigopath_controller::settings::Deployment;
use indigopath_counted_resources::{Definitions, ReservationPolicy};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

const JOBS: usize = 10_000;
const SETS: usize = 250;
const TYPES: usize = 10;
const MACHINES: usize = 1_000;
const PAIRS: usize = 101;

struct World {
    deployment: Deployment,
    types: MachineTypes,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
}

/// Types that a set allows: one to all of them.
fn allowed(set: usize) -> Vec<String> {
    let bits = set % 250 + 1;
    let types = (0..TYPES).filter(|number| bits >> (number % 8) & 1 == 1);
    types.map(|number| format!("t{number}")).collect()
}

fn kind_set(set: usize) -> Arc<KindSet> {
    let zones = json!({ "east": [0, 0], "west": [0, 0] });
    let types: Map<String, Value> = allowed(set)
        .into_iter()
        .map(|name| (name, zones.clone()))
        .collect();
    Arc::new(serde_json::from_value(Value::Object(types)).expect("a set"))
}

fn spec(number: usize, native: bool, sets: &[Arc<KindSet>]) -> JobSpec {
    let value = json!({
        "id": format!("wk-{number}"), "class": "scans", "team": if number.is_multiple_of(2) { "red" } else { "blue" },
        "shape": "sweep", "priority": "standard", "tasks": 4,
        "needs": { "cpus": 4.0, "gpus": 0.0, "memory_gb": 8.0 }, "image": format!("img-{}", number % 20),
        "image_gb": 1.0, "types": native.then(|| allowed(number % SETS)), "zone": null, "one_zone": false,
        "spread": false, "spot": true, "estimate_s": 10.0 + (number % 60) as f64, "checkpoint_s": 0.0,
        "save_s": 0.0, "deadline_s": null, "submitted_ms": 0,
    });
    let mut spec: JobSpec = serde_json::from_value(value).expect("a job");
    if !native {
        spec.kinds = Some(sets[number % SETS].clone());
    }
    spec
}

/// Machines that are busy but for what every tenth has free.
fn world(native: bool) -> World {
    let sets: Vec<Arc<KindSet>> = (0..SETS).map(kind_set).collect();
    let deployment = json!({
        "zones": ["east", "west"], "teams": [{ "name": "red" }, { "name": "blue" }],
        "workers": { "report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 50.0 },
        "state": { "rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12 },
        "cloud": { "rps": 8.0, "list_lag_s": 3.0 }, "resources": {},
    });
    let types: Vec<Value> = (0..TYPES)
        .map(|number| {
            json!({
                "Label": format!("t{number}"), "Cpus": 16, "Gpus": 0, "MemGb": 64, "CacheGb": 40,
                "FetchGbPerS": 1.0, "Rate": 1.0, "LowPrice": 0.5, "StartupS": 10, "Yards": ["east", "west"]
            })
        })
        .collect();
    let flavors: MachineTypeList = serde_json::from_value(json!({ "Rigs": types })).expect("machine types");
    let mut jobs: BTreeMap<JobId, Job> = (0..JOBS)
        .map(|number| {
            let spec = spec(number, native, &sets);
            (spec.id.clone(), Job::new(spec, 1, number as u64, 0))
        })
        .collect();
    let mut machines = BTreeMap::new();
    for number in 0..MACHINES {
        let id = MachineId(Arc::from(format!("m-{number:06}")));
        let zone = if number.is_multiple_of(2) { "east" } else { "west" };
        let kind = format!("t{}", number % TYPES);
        let mut machine = Machine::new(id.clone(), kind, zone.into(), (number / 2).is_multiple_of(2), 0);
        machine.synced = true;
        machine.last_heard_at = Some(0);
        let tasks = if number.is_multiple_of(10) { 3 } else { 4 };
        for task in 0..tasks {
            let holder = spec(JOBS + number * 4 + task, native, &sets);
            machine.attempts.push(Attempt {
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
    World {
        deployment: serde_json::from_value(deployment).expect("a deployment"),
        types: flavors
            .types
            .into_iter()
            .map(|known| (known.name.clone(), known))
            .collect(),
        jobs,
        machines,
    }
}

impl World {
    /// Starts, and jobs that found no room.
    fn pass(&self) -> (usize, usize) {
        let (feeds, gone, keepers, task_locations) = (
            BTreeMap::new(),
            HashMap::new(),
            BTreeMap::new(),
            TaskLocations::new(),
        );
        let definitions = Definitions::new();
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
                definitions: &definitions,
                policy: ReservationPolicy::default(),
                reserved_since: &keepers,
                feeds: &feeds,
                lingers: &[],
                recently_released: &gone,
            },
            now: 20_000,
        };
        let plan = placement::plan(&site);
        (plan.decisions.len(), plan.unplaced.len())
    }
}

fn passes(criterion: &mut Criterion) {
    let (native, sets) = (world(true), world(false));
    // The same jobs find the same room, whichever way they say where.
    assert_eq!(native.pass(), sets.pass());
    println!("starts, jobs without room: {:?}", sets.pass());
    let time = |world: &World| {
        let began = Instant::now();
        black_box(world.pass());
        began.elapsed().as_secs_f64()
    };
    let mut ratios: Vec<f64> = (0..PAIRS).map(|_| time(&sets) / time(&native)).collect();
    ratios.sort_by(f64::total_cmp);
    println!(
        "a pass over {JOBS} jobs with {SETS} sets of kinds takes {:.3} of one with lists of types (bar 1.05; paired, \
         median)",
        ratios[PAIRS / 2]
    );
    criterion.bench_function("pass, sets of kinds", |bench| {
        bench.iter(|| black_box(sets.pass()))
    });
    criterion.bench_function("pass, lists of types", |bench| {
        bench.iter(|| black_box(native.pass()))
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = passes
}
criterion_main!(benches);
