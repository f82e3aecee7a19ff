//! What this version reads and writes outside itself keeps its form: records in the state service, frames
//! between nodes, messages of the platform, settings. The files in `formats/` were written before the
//! renames of types and fields, by scenarios; each must be read, and written again byte for byte.

use indigopath_accounting::{JobAccounting, Team, read_history};
use indigopath_condor::cluster::{ClusterRecord, NextClusterRecord, OpenClusterRecord, SubmissionKeyRecord};
use indigopath_controller::model::JobSpec;
use indigopath_controller::peers::Frame;
use indigopath_controller::protocol;
use indigopath_controller::settings::{OperatorSettings, Settings};
use indigopath_controller::storage::records::{
    CompletedTasksRecord, EndedJobRecord, LeaderRecord, Record, ShardRecord,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

/// One key of the state service, with the text of its value.
#[derive(Deserialize)]
struct Stored<'a> {
    key: String,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// One message, with the name of its kind.
#[derive(Deserialize)]
struct Message<'a> {
    kind: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

fn records() -> Vec<Stored<'static>> {
    let lines = include_str!("formats/records.jsonl").lines();
    lines.map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn same_record<T: Record>(stored: &Stored) {
    let value: Value = serde_json::from_str(stored.value.get()).unwrap();
    let record = T::from_value(&value).unwrap_or_else(|error| panic!("{}: {error}", stored.key));
    assert_eq!(record.to_text().get(), stored.value.get(), "{}", stored.key);
    assert_eq!(record.to_value(), value, "{}", stored.key);
}

fn same_message<T: Serialize + DeserializeOwned>(text: &str) {
    let message: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    assert_eq!(serde_json::to_string(&message).unwrap(), text);
}

#[test]
fn records_are_read_and_written_as_before() {
    for stored in records() {
        let (prefix, rest) = stored.key.split_at(stored.key.find('/').map_or(0, |at| at + 1));
        match (prefix, rest) {
            ("", "leader") => same_record::<LeaderRecord>(&stored),
            ("", "types") => same_record::<protocol::MachineTypeList>(&stored),
            ("j/", rest) if rest.starts_with('~') => same_record::<OpenClusterRecord>(&stored),
            ("j/", _) => same_record::<JobSpec>(&stored),
            ("e/", _) => same_record::<EndedJobRecord>(&stored),
            ("d/", _) => same_record::<CompletedTasksRecord>(&stored),
            ("s/", _) => same_record::<ShardRecord>(&stored),
            ("h/", _) => same_record::<protocol::LaunchRequest>(&stored),
            ("n/", _) => same_record::<NextClusterRecord>(&stored),
            ("k/", _) => same_record::<SubmissionKeyRecord>(&stored),
            ("c/", _) => same_record::<ClusterRecord>(&stored),
            // Both are read below; their writing is in the digests of the scenarios.
            ("b/" | "t/", _) => (),
            _ => panic!("a key of no kind: {}", stored.key),
        }
    }
}

#[test]
fn shards_still_name_their_machines_and_starts() {
    for stored in records().iter().filter(|stored| stored.key.starts_with("s/")) {
        let shard: ShardRecord = serde_json::from_str(stored.value.get()).unwrap();
        let text: Value = serde_json::from_str(stored.value.get()).unwrap();
        let machines = shard.machines().unwrap();
        assert_eq!(machines.len(), text["machines"].as_array().unwrap().len());
        for (machine, raw) in machines.iter().zip(text["machines"].as_array().unwrap()) {
            assert_eq!(*machine.name, *raw[0].as_str().unwrap());
            assert_eq!(machine.starts.len(), raw[7].as_array().unwrap().len());
            for (start, raw) in machine.starts.iter().zip(raw[7].as_array().unwrap()) {
                assert_eq!(u64::from(start.index), raw[1].as_u64().unwrap());
                assert_eq!(start.attempt, raw[2].as_u64().unwrap());
            }
        }
    }
}

#[test]
fn account_pages_are_read_as_before() {
    for stored in records().iter().filter(|stored| stored.key.starts_with("b/")) {
        let value: Value = serde_json::from_str(stored.value.get()).unwrap();
        let mut books = JobAccounting::new(14_000);
        books.load_record(&stored.key, &value).unwrap();
        let Some(team) = value["team"].as_str() else {
            assert_eq!(
                books.last_position().revision,
                value["at"]["revision"].as_u64().unwrap(),
                "{}",
                stored.key
            );
            continue;
        };
        let shown = read_history(&Team::named(team), &[(stored.key.clone(), value.clone())]).unwrap();
        let none = Vec::new();
        let lines = value["lines"].as_array().unwrap_or(&none);
        assert_eq!(shown.ended.len(), lines.len(), "{}", stored.key);
        for ((job, entry), line) in shown.ended.iter().zip(lines) {
            assert_eq!(**job, *line[0].as_str().unwrap());
            assert_eq!(entry.accepted_ms, line[3].as_u64().unwrap());
            assert_eq!(entry.ended_ms, line[4].as_u64().unwrap());
            assert_eq!(serde_json::to_value(entry.ended_by()).unwrap(), line[2]);
            assert_eq!(serde_json::to_value(&entry.stats).unwrap(), line[6]);
        }
        assert_eq!(
            shown.older.len(),
            value["rows"].as_array().map_or(0, Vec::len),
            "{}",
            stored.key
        );
    }
}

#[test]
fn windows_are_read_as_before() {
    let stored = records();
    let stored: Vec<_> = stored
        .iter()
        .filter(|stored| stored.key.starts_with("t/"))
        .collect();
    for stored in &stored {
        let mut ledger = indigopath_protection_windows::WindowState::new(
            indigopath_protection_windows::Timetable::default(),
            50,
            14_000,
        );
        let number = stored.key["t/".len()..].parse().unwrap();
        ledger.restore(number, stored.value.get(), 1).unwrap();
    }
    assert_eq!(stored.len(), 3);
}

#[test]
fn frames_are_read_and_written_as_before() {
    let mut kinds = std::collections::BTreeSet::new();
    for line in include_str!("formats/frames.txt").lines() {
        let bytes: Vec<u8> = (0..line.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&line[at..at + 2], 16).unwrap())
            .collect();
        let (frame, length) = Frame::decode(&bytes).unwrap().unwrap();
        assert_eq!(length, bytes.len());
        assert_eq!(frame.unwrap().encode(), bytes);
        kinds.insert(bytes[4]);
    }
    assert_eq!(kinds, (1..=5).collect());
}

#[test]
fn messages_are_read_and_written_as_before() {
    for line in include_str!("formats/messages.jsonl").lines() {
        let message: Message = serde_json::from_str(line).unwrap();
        let text = message.body.get();
        match message.kind.as_str() {
            "stored page" => same_message::<protocol::StoredPage>(text),
            "stored item" => same_message::<protocol::StoredItem>(text),
            "changes" => same_message::<protocol::WatchResponse>(text),
            "transaction" => same_message::<protocol::Transaction>(text),
            "transaction answer" => same_message::<protocol::TransactionResponse>(text),
            "lease request" => same_message::<protocol::LeaseRequest>(text),
            "lease answer" => same_message::<protocol::LeaseResponse>(text),
            "listing" => same_message::<protocol::MachinePage>(text),
            "machine names" => same_message::<protocol::MachineNames>(text),
            "flavors" => same_message::<protocol::MachineTypeList>(text),
            "rental request" => same_message::<protocol::LaunchRequest>(text),
            "heartbeat" => same_message::<protocol::Heartbeat>(text),
            "heartbeat answer" => same_message::<protocol::HeartbeatResponse>(text),
            "direct orders" => same_message::<protocol::DirectCommands>(text),
            "submission" => submission_is_read(text),
            kind => panic!("a message of no kind: {kind}"),
        }
    }
}

fn submission_is_read(text: &str) {
    let raw: Value = serde_json::from_str(text).unwrap();
    let body: protocol::JobSubmission = serde_json::from_str(text).unwrap();
    let strings = |value: &Value| serde_json::from_value::<Option<Vec<String>>>(value.clone()).unwrap();
    assert_eq!(raw["Id"], body.id);
    assert_eq!(raw["Lane"], body.class);
    assert_eq!(raw["Crew"], body.team);
    assert_eq!(raw["Shape"], serde_json::to_value(body.shape).unwrap());
    assert_eq!(raw["Urgency"], serde_json::to_value(body.priority).unwrap());
    assert_eq!(raw["Picks"], body.tasks);
    assert_eq!(raw["Cpus"], body.cpus);
    assert_eq!(raw["Gpus"], body.gpus);
    assert_eq!(raw["MemGb"], body.memory_gb);
    assert_eq!(raw["Kit"], body.image);
    assert_eq!(raw["PullGb"], body.image_gb);
    assert_eq!(strings(&raw["Rigs"]), body.types);
    assert_eq!(raw["Yard"].as_str(), body.zone.as_deref());
    assert_eq!(raw["OneZone"], body.one_zone);
    assert_eq!(raw["Apart"], body.spread);
    assert_eq!(raw["Loaners"], body.spot);
    assert_eq!(raw["RuntimeS"], body.estimate_s);
    assert_eq!(raw["StashEveryS"], body.checkpoint_s);
    assert_eq!(raw["StashS"], body.save_s);
    assert_eq!(raw["DueS"].as_f64(), body.deadline_s);
    assert_eq!(
        raw.get("Counts").cloned().unwrap_or_default(),
        serde_json::to_value(&body.counts).unwrap()
    );
}

#[test]
fn settings_keep_their_names() {
    let settings = Settings::parse(include_str!("formats/settings.json")).unwrap();
    assert_eq!(settings.node, "drover-0");
    assert_eq!(settings.zone, "east");
    assert_eq!(settings.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.peer_listen.to_string(), "10.0.0.1:8081");
    assert_eq!(settings.peers.len(), 1);
    assert_eq!(settings.peers[0].node, "drover-1");
    assert_eq!(settings.peers[0].addr.to_string(), "10.0.0.2:8081");
    assert_eq!(settings.services.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.services.state.to_string(), "10.2.0.1:2379");
    let deployment = &settings.deployment;
    assert_eq!(deployment.zones, ["east", "west"]);
    let team = &deployment.teams[0];
    assert_eq!(team.name, "red");
    assert_eq!(
        [team.cpus, team.cpus_max, team.gpus, team.gpus_max],
        [1.0, 2.0, 3.0, 4.0]
    );
    let objective = &deployment.objectives[0];
    assert_eq!(
        (objective.kind.as_str(), objective.class.as_deref()),
        ("wait", Some("live"))
    );
    assert_eq!((objective.within_s, objective.share), (Some(8.0), Some(0.9)));
    let workers = &deployment.workers;
    assert_eq!(
        [
            workers.report_s,
            workers.lease_s,
            workers.gang_wait_s,
            workers.gang_peer_s,
            workers.cancel_s
        ],
        [3.0, 30.0, 45.0, 8.0, 50.0]
    );
    let state = &deployment.state;
    assert_eq!([state.rps, state.write_rps, state.value_kb], [150.0, 50.0, 32.0]);
    assert_eq!(state.txn_ops, 12);
    assert_eq!([deployment.cloud.rps, deployment.cloud.list_lag_s], [8.0, 3.5]);
    assert_eq!(
        [deployment.limits.cores, deployment.limits.memory_mb],
        [0.24, 190.0]
    );
    assert_eq!(deployment.limits.max_connections, 3_500);
    assert_eq!(deployment.clock_skew_ms, 900.0);
}

#[test]
fn operators_settings_keep_their_names() {
    let value: Value = serde_json::from_str(include_str!("formats/operator.json")).unwrap();
    let operator = OperatorSettings::from_value(value.clone()).unwrap();
    assert_eq!(operator.fleet_max, 4_000);
    assert_eq!(operator.idle_return_s, 30.0);
    assert!(operator.show_holders);
    assert!(!operator.image_locality);
    assert_eq!(operator.request_weights["red"], 2);
    let count = &operator.counted_resources["seat"];
    assert_eq!((count.units, count.linger_s), (4, 20.0));
    assert_eq!(count.shares["red"], 2);
    assert_eq!(count.server.unwrap().to_string(), "127.0.0.1:7788");
    assert_eq!(operator.protection_windows.len(), 1);
    assert!(operator.condor.is_some());
    let settings = Settings::parse(include_str!("formats/settings.json")).unwrap();
    let settings = settings.with_operator(operator).unwrap();
    assert!(!settings.protection_windows.is_empty());
    // Every name is known: with any other, the file is refused.
    for (name, block) in value.as_object().unwrap() {
        let mut renamed = value.clone();
        renamed[format!("{name}_")] = block.clone();
        assert!(OperatorSettings::from_value(renamed).is_err(), "{name}_");
    }
}
