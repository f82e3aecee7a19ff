use super::*;
use crate::constants::{ENDED_JOB_CACHE_SIZE, MAX_TXN_BYTES};
use crate::model::JobSpec;

fn job(number: usize) -> Job {
    let spec = serde_json::json!({
        "id": format!("wk-{number}"), "class": "batch", "team": "red", "shape": "sweep",
        "priority": "standard", "tasks": 1, "needs": { "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0 },
        "image": "img-1", "image_gb": 1.0, "types": null, "zone": null, "one_zone": false, "spread": false,
        "spot": false, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null,
        "submitted_ms": 1
    });
    let spec: JobSpec = serde_json::from_value(spec).unwrap();
    Job::new(spec, 7, 0, 1_000)
}

// Ended jobs used to be remembered for the whole term, without a limit.
#[test]
fn oldest_ended_jobs_are_evicted_first() {
    let settings = Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap();
    let mut writer = BatchWriter::new(1, &settings);
    let excess = 100;
    for number in 0..ENDED_JOB_CACHE_SIZE + excess {
        let job = job(number);
        writer.remove_job(&job.spec.id.clone(), &job);
    }
    let ended_at = |number: usize| writer.ended_version(&job(number).spec.id);
    assert_eq!((ended_at(excess - 1), ended_at(excess)), (0, 7));
    assert_eq!(ended_at(ENDED_JOB_CACHE_SIZE + excess - 1), 7);
    assert_eq!(writer.ended_jobs.len(), ENDED_JOB_CACHE_SIZE);
}

/// Machines numbered from 0, each in a shard of its own.
fn machines_in_shards(writer: &mut BatchWriter, count: u32) -> BTreeMap<MachineId, Machine> {
    let machines = (0..count).map(|number| {
        let id = MachineId(std::sync::Arc::from(format!("m-{number}").as_str()));
        let mut machine = Machine::new(id.clone(), "small".into(), "east".into(), false, 0);
        writer.assign_shard(&mut machine, number, 1);
        (id, machine)
    });
    machines.collect()
}

/// Numbers of the shards that the next transaction writes, in order, with at most `max_changes`.
fn shards_written(
    writer: &mut BatchWriter,
    machines: &mut BTreeMap<MachineId, Machine>,
    max_changes: usize,
) -> Vec<u32> {
    let settings = Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap();
    writer.begin_batch(
        max_changes,
        &settings,
        machines,
        &BTreeMap::new(),
        &BTreeMap::new(),
        (0, 1_000),
    );
    let units = writer.take_in_flight();
    let numbers = units.iter().flat_map(|unit| match unit {
        WriteUnit::Shards { shards, .. } => shards.iter().map(|shard| shard.number).collect(),
        _ => Vec::new(),
    });
    numbers.collect()
}

// A start in another shard may get the units. If that start were recorded first, and the leader ended
// then, its successor would count the units twice.
#[test]
fn shard_with_freed_units_is_written_first() {
    let settings = Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap();
    let mut writer = BatchWriter::new(1, &settings);
    let mut machines = machines_in_shards(&mut writer, 3);
    for machine in machines.values_mut() {
        writer.queue_machine(machine);
    }
    writer.on_units_freed(2);
    assert_eq!(shards_written(&mut writer, &mut machines, 1), [2]);
    // The transaction failed: the shard stays first.
    let units = [WriteUnit::Shards {
        shards: vec![WrittenShard {
            number: 2,
            deleted: false,
            bytes: 0,
        }],
        planned_starts: Vec::new(),
        releases: Vec::new(),
    }];
    writer.requeue(&units, 0);
    assert_eq!(shards_written(&mut writer, &mut machines, 2), [2, 0]);
    writer.on_shards_written(
        &[WrittenShard {
            number: 2,
            deleted: false,
            bytes: 0,
        }],
        2,
    );
    assert_eq!(shards_written(&mut writer, &mut machines, 2), [1]);
}

/// The settings of the tests, with this limit on values, in KB.
fn settings_with_value_kb(value_kb: f64) -> Settings {
    let mut settings = Settings::parse(include_str!("../../../tests/support/settings.json")).unwrap();
    settings.deployment.state.value_kb = value_kb;
    settings
}

/// Machines numbered from 0, each with starts of these jobs that are to be recorded.
fn machines_with_planned_starts(count: u32, jobs: &[&Job]) -> BTreeMap<MachineId, Machine> {
    let machines = (0..count).map(|number| {
        let id = MachineId(std::sync::Arc::from(format!("m-{number:06}").as_str()));
        let mut machine = Machine::new(id.clone(), "small".into(), "east".into(), false, 0);
        for (index, job) in jobs.iter().enumerate() {
            let task = crate::model::TaskId {
                job: job.spec.id.clone(),
                index: number * jobs.len() as u32 + index as u32,
            };
            let attempt_number = (10_000_001 << 24) + u64::from(task.index);
            machine.attempts.push(crate::allocations::Attempt::planned(
                task,
                attempt_number,
                std::sync::Arc::from("red"),
                job.spec.needs,
                job.spec.image.clone(),
                0,
            ));
        }
        (id, machine)
    });
    machines.collect()
}

fn unrecorded_starts(machines: &BTreeMap<MachineId, Machine>) -> usize {
    let attempts = machines.values().flat_map(|machine| &machine.attempts);
    attempts.filter(|attempt| attempt.is_unrecorded()).count()
}

/// The largest value that a transaction puts, in bytes.
fn largest_value(body: &[u8]) -> usize {
    let transaction: Transaction = serde_json::from_slice(body).unwrap();
    let sizes = transaction.changes.iter().map(|change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    });
    sizes.max().unwrap_or(0)
}

/// Sends transactions until there is nothing left to write. Each is within the limits of the state service and is
/// committed; nothing else queues a shard. Returns the number of transactions.
fn commit_all(
    writer: &mut BatchWriter,
    machines: &mut BTreeMap<MachineId, Machine>,
    jobs: &BTreeMap<JobId, Job>,
    settings: &Settings,
) -> usize {
    let mut revision = 10;
    for sent in 0..1_000 {
        let batch = writer.begin_batch(12, settings, machines, jobs, &BTreeMap::new(), (0, 1_000));
        let Some((body, _)) = batch else { return sent };
        assert!(body.len() <= MAX_TXN_BYTES);
        assert!(largest_value(&body) as f64 <= settings.deployment.state.value_kb * BYTES_PER_KB);
        revision += 1;
        commit(writer, machines, revision);
    }
    panic!("the writer does not come to an end");
}

/// Commits the transaction in flight at this revision.
fn commit(writer: &mut BatchWriter, machines: &mut BTreeMap<MachineId, Machine>, revision: u64) {
    for unit in writer.take_in_flight() {
        let WriteUnit::Shards {
            shards,
            planned_starts,
            ..
        } = unit
        else {
            panic!("an unexpected unit");
        };
        writer.on_shards_written(&shards, revision);
        for start in planned_starts {
            let machine = machines.get_mut(&start.machine).unwrap();
            machine.attempt_mut(&start.task, start.number).unwrap().durable = true;
        }
    }
}

/// An array with this many tasks.
fn array(number: usize, tasks: u32) -> Job {
    let mut job = job(number);
    job.spec.tasks = tasks;
    job
}

// While an answer was lost, passes placed thousands of starts on machines that share a record. The record was split
// once, both halves were still too large, and no start was ever recorded again (review/2).
#[test]
fn starts_are_recorded_however_many_share_a_record() {
    const MACHINES: u32 = 40;
    const TASKS_PER_MACHINE: usize = 384;
    let settings = settings_with_value_kb(32.0);
    let mut writer = BatchWriter::new(1, &settings);
    let array = array(1, MACHINES * TASKS_PER_MACHINE as u32);
    let jobs = BTreeMap::from([(array.spec.id.clone(), array)]);
    let starts: Vec<&Job> = jobs.values().cycle().take(TASKS_PER_MACHINE).collect();
    let mut machines = machines_with_planned_starts(MACHINES, &starts);
    for machine in machines.values_mut() {
        writer.queue_starts(machine);
    }
    let transactions = commit_all(&mut writer, &mut machines, &jobs, &settings);
    assert_eq!(unrecorded_starts(&machines), 0);
    let shards: BTreeSet<u32> = machines.values().filter_map(|machine| machine.shard).collect();
    assert!(shards.len() < MACHINES as usize && transactions < 40);
}
