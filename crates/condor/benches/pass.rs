//! Measures what sets of machine kinds cost a scheduling pass: 10,000 waiting jobs whose
//! expressions resulted in 250 different sets, compared with the same jobs with lists of machine
//! types, on 1,000 machines of 40 kinds. The limit is 5 %.
//!
//! Before criterion's measurements, passes of both kinds are timed alternately, and the median of
//! their ratios is printed: on a busy machine only paired measurements are comparable.

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
const KIND_SETS: usize = 250;
const TYPES: usize = 10;
const MACHINES: usize = 1_000;
const MEASUREMENT_PAIRS: usize = 101;

struct Cluster {
    deployment: Deployment,
    types: MachineTypes,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
}

/// Returns the machine types that a set allows: one to all of them.
fn allowed_types(set: usize) -> Vec<String> {
    let bits = set % 250 + 1;
    let types = (0..TYPES).filter(|number| bits >> (number % 8) & 1 == 1);
    types.map(|number| format!("t{number}")).collect()
}

fn kind_set(set: usize) -> Arc<KindSet> {
    let zones = json!({ "east": [0, 0], "west": [0, 0] });
    let types: Map<String, Value> = allowed_types(set)
        .into_iter()
        .map(|name| (name, zones.clone()))
        .collect();
    Arc::new(serde_json::from_value(Value::Object(types)).expect("a set"))
}

fn spec(number: usize, type_lists: bool, sets: &[Arc<KindSet>]) -> JobSpec {
    let value = json!({
        "id": format!("wk-{number}"), "class": "scans", "team": if number.is_multiple_of(2) { "red" } else { "blue" },
        "shape": "sweep", "priority": "standard", "tasks": 4,
        "needs": { "cpus": 4.0, "gpus": 0.0, "memory_gb": 8.0 }, "image": format!("img-{}", number % 20),
        "image_gb": 1.0, "types": type_lists.then(|| allowed_types(number % KIND_SETS)), "zone": null, "one_zone": false,
        "spread": false, "spot": true, "estimate_s": 10.0 + (number % 60) as f64, "checkpoint_s": 0.0,
        "save_s": 0.0, "deadline_s": null, "submitted_ms": 0,
    });
    let mut spec: JobSpec = serde_json::from_value(value).expect("a job");
    if !type_lists {
        spec.kinds = Some(sets[number % KIND_SETS].clone());
    }
    spec
}

/// Builds a cluster whose machines are busy, except for the free capacity of every tenth.
fn build_cluster(type_lists: bool) -> Cluster {
    let sets: Vec<Arc<KindSet>> = (0..KIND_SETS).map(kind_set).collect();
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
    let machine_types: MachineTypeList =
        serde_json::from_value(json!({ "Rigs": types })).expect("machine types");
    let mut jobs: BTreeMap<JobId, Job> = (0..JOBS)
        .map(|number| {
            let spec = spec(number, type_lists, &sets);
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
            let running_spec = spec(JOBS + number * 4 + task, type_lists, &sets);
            machine.attempts.push(Attempt {
                estimate_s: running_spec.estimate_s,
                durable: true,
                reported_state: Some(TaskState::Running),
                running_since: Some(0),
                ..Attempt::planned(
                    TaskId {
                        job: running_spec.id.clone(),
                        index: 0,
                    },
                    1,
                    Arc::from(running_spec.team.as_str()),
                    running_spec.needs,
                    running_spec.image.clone(),
                    0,
                )
            });
            let mut running = Job::new(running_spec.clone(), 1, 0, 0);
            running.waiting.clear();
            jobs.insert(running_spec.id, running);
        }
        machines.insert(id, machine);
    }
    Cluster {
        deployment: serde_json::from_value(deployment).expect("a deployment"),
        types: machine_types
            .types
            .into_iter()
            .map(|known| (known.name.clone(), known))
            .collect(),
        jobs,
        machines,
    }
}

impl Cluster {
    /// Runs a scheduling pass and returns the number of task starts and of jobs that were not
    /// placed.
    fn pass(&self) -> (usize, usize) {
        let (feeds, recently_released, reserved_since, task_locations) = (
            BTreeMap::new(),
            HashMap::new(),
            BTreeMap::new(),
            TaskLocations::new(),
        );
        let definitions = Definitions::new();
        let starved = indigopath_controller::scheduling::fair_share::StarvedOwners::default();
        let image_statistics = indigopath_controller::leader::ImageLocality::default();
        let site = ClusterSnapshot {
            deployment: &self.deployment,
            types: &self.types,
            jobs: &self.jobs,
            machines: &self.machines,
            task_locations: &task_locations,
            spot_loss_rate: 0.0,
            starved: &starved,
            aging_credit: placement::AgingCredit::default(),
            image_statistics: &image_statistics,
            protection: &placement::Protection::default(),
            units: CountedUnits {
                definitions: &definitions,
                policy: ReservationPolicy::default(),
                reserved_since: &reserved_since,
                feeds: &feeds,
                lingers: &[],
                recently_released: &recently_released,
            },
            now: 20_000,
        };
        let plan = placement::plan(&site);
        (plan.decisions.len(), plan.unplaced.len())
    }
}

fn bench_passes(criterion: &mut Criterion) {
    let (type_lists, sets) = (build_cluster(true), build_cluster(false));
    // Both representations of the allowed kinds give the same placements.
    assert_eq!(type_lists.pass(), sets.pass());
    println!("starts, jobs without room: {:?}", sets.pass());
    let time = |cluster: &Cluster| {
        let started_at = Instant::now();
        black_box(cluster.pass());
        started_at.elapsed().as_secs_f64()
    };
    let mut ratios: Vec<f64> = (0..MEASUREMENT_PAIRS)
        .map(|_| time(&sets) / time(&type_lists))
        .collect();
    ratios.sort_by(f64::total_cmp);
    println!(
        "a pass over {JOBS} jobs with {KIND_SETS} sets of kinds takes {:.3} of one with lists of types (bar 1.05; paired, \
         median)",
        ratios[MEASUREMENT_PAIRS / 2]
    );
    criterion.bench_function("pass, sets of kinds", |bench| {
        bench.iter(|| black_box(sets.pass()))
    });
    criterion.bench_function("pass, lists of types", |bench| {
        bench.iter(|| black_box(type_lists.pass()))
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = bench_passes
}
criterion_main!(benches);
