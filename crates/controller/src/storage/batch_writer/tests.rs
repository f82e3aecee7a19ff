use super::*;
use crate::constants::ENDED_JOB_CACHE_SIZE;
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
        }],
        2,
    );
    assert_eq!(shards_written(&mut writer, &mut machines, 2), [1]);
}
