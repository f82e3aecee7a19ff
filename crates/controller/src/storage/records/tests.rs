use super::machine_shard::SHARD_FORMAT;
use super::*;
use crate::constants::COMPLETED_TASKS_PER_CHUNK;
use crate::model::{JobId, Resources};
use indigopath_counted_resources::{Demand, LingerEntry};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

proptest! {
    #[test]
    fn completed_tasks_round_trip(tasks in proptest::collection::btree_set(0u32..40_000, 0..300)) {
        let mut read = BTreeSet::new();
        for chunk in 0..=chunk_of(40_000) {
            let value = encode_completed_tasks(&tasks, chunk);
            decode_completed_tasks(&value, chunk, &mut read).unwrap();
        }
        prop_assert_eq!(read, tasks);
    }

    #[test]
    fn decoding_any_string_never_panics(text in ".{0,40}", chunk in any::<u32>()) {
        let mut read = BTreeSet::new();
        let _ = decode_completed_tasks(&text, chunk, &mut read);
        prop_assert!(read.len() <= COMPLETED_TASKS_PER_CHUNK as usize);
    }
}

fn machine(name: &str, starts: Vec<StartRecord>) -> MachineRecord {
    MachineRecord {
        name: Arc::from(name),
        machine_type: "small".to_owned(),
        zone: "east".to_owned(),
        spot: name.ends_with('2'),
        addr: (!starts.is_empty()).then(|| "10.0.0.1:9000".to_owned()),
        images: vec![(Arc::from("img-1"), 2.5)],
        releasing: starts.is_empty(),
        starts,
    }
}

#[test]
fn shard_round_trips() {
    let seat = Demand::new(&BTreeMap::from([("seat".to_owned(), 2)])).unwrap();
    let start = |job: &str, index, team: &str, gpus| StartRecord {
        job: JobId(Arc::from(job)),
        index,
        attempt: 7 + u64::from(index),
        team: Arc::from(team),
        needs: Resources {
            gpus,
            ..Resources::default()
        },
        counts: if job == "wk-2" {
            seat.clone()
        } else {
            Demand::default()
        },
    };
    // An unrecorded task of a known job is listed with a team of its own.
    let machines = vec![
        machine(
            "m-1",
            vec![start("wk-1", 0, "red", 1.0), start("wk-1", 3, "red", 1.0)],
        ),
        machine("m-2", Vec::new()),
        machine(
            "m-3",
            vec![start("wk-1", 1, "", 0.0), start("wk-2", 0, "blue", 2.0)],
        ),
    ];
    let lingers = vec![LingerEntry(
        Arc::from("seat"),
        Arc::from("red"),
        1,
        1_700_000_000_000,
    )];
    let value = ShardRecord::from_machines(&machines, lingers.clone()).to_value();
    assert_eq!(ShardRecord::from_value(&value).unwrap().lingers(), lingers);
    let read = ShardRecord::from_value(&value).unwrap().machines().unwrap();
    assert_eq!(read, machines);
    let mut broken = value;
    broken["names"] = serde_json::json!([]);
    assert!(ShardRecord::from_value(&broken).unwrap().machines().is_err());
}

// Records of the last build without counted resources, taken while work was running.
const RECORDS_BEFORE_COUNTS: &str = include_str!("../../../tests/support/records_before_counts.json");

#[test]
fn records_without_counted_resources_are_read() {
    let stored: BTreeMap<String, Value> = serde_json::from_str(RECORDS_BEFORE_COUNTS).unwrap();
    let shard = ShardRecord::from_value(&stored["s/0"]).unwrap();
    assert_eq!((shard.format, shard.lingers().len()), (1, 0));
    let machines = shard.machines().unwrap();
    assert_eq!(machines.len(), 9);
    let starts: Vec<&StartRecord> = machines.iter().flat_map(|machine| &machine.starts).collect();
    assert_eq!(starts.len(), 8);
    assert!(starts.iter().all(|start| start.counts.is_empty()));
    assert_eq!(
        (&*starts[1].job.0, starts[1].index, starts[1].attempt),
        ("wk-9", 1, 16_777_220)
    );
    assert_eq!((&*starts[2].team, starts[2].needs.gpus), ("blue", 4.0));
    for job in ["j/wk-9", "j/wk-10", "j/wk-11"] {
        let job = JobSpec::from_value(&stored[job]).unwrap();
        assert!(job.counts.is_empty() && job.tasks > 1);
        // An empty demand is not written.
        assert!(job.to_value().get("counts").is_none());
    }
    let done = CompletedTasksRecord::from_value(&stored["d/0"]).unwrap();
    let mut read = BTreeSet::new();
    decode_completed_tasks(&done.0["wk-11/0"], 0, &mut read).unwrap();
    assert_eq!(read, (0..7).collect());
    assert!(EndedJobRecord::from_value(&stored["e/wk-7"]).is_ok());
    assert!(LeaderRecord::from_value(&stored["leader"]).is_ok());
}

// A completed task is recorded for its result only; by then its seat may belong to another task, even of
// its own job.
#[test]
fn tasks_of_one_job_with_and_without_units_are_distinguished() {
    let seat = Demand::new(&[("seat".to_owned(), 1)].into()).unwrap();
    let start = |index, counts: &Demand| StartRecord {
        job: JobId(Arc::from("wk-1")),
        index,
        attempt: 7,
        team: Arc::from("red"),
        needs: Resources::default(),
        counts: counts.clone(),
    };
    let none = Demand::default();
    let machines = vec![
        machine("m-1", vec![start(0, &none), start(1, &seat)]),
        machine("m-2", vec![start(2, &seat), start(3, &none)]),
    ];
    let value = ShardRecord::from_machines(&machines, Vec::new()).to_value();
    let read = ShardRecord::from_value(&value).unwrap().machines().unwrap();
    assert_eq!(read, machines);
}

// The field is written only if it is not empty: earlier builds neither write nor read it.
#[test]
fn released_machines_are_written_only_if_there_are_any() {
    let without = ShardRecord::from_machines(&[], Vec::new()).to_value();
    assert!(without.get("released").is_none());
    assert!(ShardRecord::from_value(&without).unwrap().released().is_empty());
    let released = ReleasedMachine {
        name: Arc::from("m-7"),
        until_ms: 1_700_000_000_000,
    };
    let value = ShardEncoder::new(Vec::new(), vec![released.clone()])
        .into_record()
        .to_value();
    assert_eq!(
        value["released"],
        serde_json::json!([["m-7", 1_700_000_000_000u64]])
    );
    assert_eq!(ShardRecord::from_value(&value).unwrap().released(), [released]);
}

#[test]
fn shard_of_a_newer_build_is_rejected() {
    let mut value = ShardRecord::from_machines(&[], Vec::new()).to_value();
    value["v"] = (SHARD_FORMAT + 1).into();
    assert!(ShardRecord::from_value(&value).unwrap().machines().is_err());
}

proptest! {
    // A record of any kind in which one value is replaced or removed is decoded or rejected by every
    // reader.
    #[test]
    fn corrupted_records_never_panic(which in any::<usize>(), end in any::<usize>(), odd in 0usize..7) {
        let stored: BTreeMap<String, Value> = serde_json::from_str(RECORDS_BEFORE_COUNTS).unwrap();
        let mut text = stored.values().nth(which % stored.len()).unwrap().to_string();
        let ends: Vec<usize> = text.match_indices([',', ']', '}']).map(|(at, _)| at).collect();
        let end = ends[end % ends.len()];
        let begin = text[..end].rfind([',', '[', ':', '{', ']', '}']).map_or(0, |at| at + 1);
        let odd = ["null", "-1", "1e300", "18446744073709551615", "\"x\"", "[]", "{}"][odd];
        text.replace_range(begin..end, odd);
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        let shard = ShardRecord::from_value(&value);
        let _ = shard.map(|shard| (shard.lingers().len(), shard.machines()));
        for (name, bitmap) in CompletedTasksRecord::from_value(&value).map_or(BTreeMap::new(), |done| done.0) {
            let chunk = parse_chunk_key(&name).map_or(0, |(_, chunk)| chunk);
            let _ = decode_completed_tasks(&bitmap, chunk, &mut BTreeSet::new());
        }
        let _ = EndedJobRecord::from_value(&value).map(|ended| ended.to_value());
        let _ = LeaderRecord::from_value(&value).is_ok();
        let _ = LaunchRequest::from_value(&value).is_ok();
        let _ = MachineTypeList::from_value(&value).is_ok();
        let _ = JobSpec::from_value(&value).map(|spec| (spec.max_tasks_per_zone(), spec.to_value()));
    }
}
