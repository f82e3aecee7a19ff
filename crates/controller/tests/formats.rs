//! Compatibility of all external formats: records in the state service, frames between nodes, messages of
//! the platform, and settings. The files in `formats/` were written by scenarios before types and fields
//! were renamed. Each must be readable, and must be written again byte for byte.

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

/// A key of the state service with the text of its value.
#[derive(Deserialize)]
struct StoredValue<'a> {
    key: String,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// A message with the name of its kind.
#[derive(Deserialize)]
struct Message<'a> {
    kind: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

fn stored_records() -> Vec<StoredValue<'static>> {
    let lines = include_str!("formats/records.jsonl").lines();
    lines.map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn assert_record_round_trips<T: Record>(stored: &StoredValue) {
    let value: Value = serde_json::from_str(stored.value.get()).unwrap();
    let record = T::from_value(&value).unwrap_or_else(|error| panic!("{}: {error}", stored.key));
    assert_eq!(record.to_text().get(), stored.value.get(), "{}", stored.key);
    assert_eq!(record.to_value(), value, "{}", stored.key);
}

fn assert_message_round_trips<T: Serialize + DeserializeOwned>(text: &str) {
    let message: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    assert_eq!(serde_json::to_string(&message).unwrap(), text);
}

#[test]
fn stored_records_round_trip_byte_for_byte() {
    for stored in stored_records() {
        let (prefix, rest) = stored.key.split_at(stored.key.find('/').map_or(0, |at| at + 1));
        match (prefix, rest) {
            ("", "leader") => assert_record_round_trips::<LeaderRecord>(&stored),
            ("", "types") => assert_record_round_trips::<protocol::MachineTypeList>(&stored),
            ("j/", rest) if rest.starts_with('~') => assert_record_round_trips::<OpenClusterRecord>(&stored),
            ("j/", _) => assert_record_round_trips::<JobSpec>(&stored),
            ("e/", _) => assert_record_round_trips::<EndedJobRecord>(&stored),
            ("d/", _) => assert_record_round_trips::<CompletedTasksRecord>(&stored),
            ("s/", _) => assert_record_round_trips::<ShardRecord>(&stored),
            ("h/", _) => assert_record_round_trips::<protocol::LaunchRequest>(&stored),
            ("n/", _) => assert_record_round_trips::<NextClusterRecord>(&stored),
            ("k/", _) => assert_record_round_trips::<SubmissionKeyRecord>(&stored),
            ("c/", _) => assert_record_round_trips::<ClusterRecord>(&stored),
            // Tests below read both. Writing them is covered by the digests of the scenarios.
            ("b/" | "t/", _) => (),
            _ => panic!("unknown kind of key: {}", stored.key),
        }
    }
}

#[test]
fn shard_records_list_their_machines_and_starts() {
    for stored in stored_records()
        .iter()
        .filter(|stored| stored.key.starts_with("s/"))
    {
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
fn accounting_pages_are_read() {
    for stored in stored_records()
        .iter()
        .filter(|stored| stored.key.starts_with("b/"))
    {
        let value: Value = serde_json::from_str(stored.value.get()).unwrap();
        let mut accounting = JobAccounting::new(14_000);
        accounting.load_record(&stored.key, &value).unwrap();
        let Some(team) = value["team"].as_str() else {
            assert_eq!(
                accounting.last_position().revision,
                value["at"]["revision"].as_u64().unwrap(),
                "{}",
                stored.key
            );
            continue;
        };
        let history = read_history(&Team::named(team), &[(stored.key.clone(), value.clone())]).unwrap();
        let none = Vec::new();
        let lines = value["lines"].as_array().unwrap_or(&none);
        assert_eq!(history.ended.len(), lines.len(), "{}", stored.key);
        for ((job, entry), line) in history.ended.iter().zip(lines) {
            assert_eq!(**job, *line[0].as_str().unwrap());
            assert_eq!(entry.accepted_ms, line[3].as_u64().unwrap());
            assert_eq!(entry.ended_ms, line[4].as_u64().unwrap());
            assert_eq!(serde_json::to_value(entry.ended_by()).unwrap(), line[2]);
            assert_eq!(serde_json::to_value(&entry.stats).unwrap(), line[6]);
        }
        assert_eq!(
            history.older.len(),
            value["rows"].as_array().map_or(0, Vec::len),
            "{}",
            stored.key
        );
    }
}

#[test]
fn protection_window_records_are_read() {
    let stored = stored_records();
    let stored: Vec<_> = stored
        .iter()
        .filter(|stored| stored.key.starts_with("t/"))
        .collect();
    for stored in &stored {
        let mut window_state = indigopath_protection_windows::WindowState::new(
            indigopath_protection_windows::Timetable::default(),
            50,
            14_000,
        );
        let number = stored.key["t/".len()..].parse().unwrap();
        window_state.restore(number, stored.value.get(), 1).unwrap();
    }
    assert_eq!(stored.len(), 3);
}

#[test]
fn peer_frames_round_trip_byte_for_byte() {
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
    assert_eq!(kinds, (1..=7).collect());
}

#[test]
fn platform_messages_round_trip_byte_for_byte() {
    for line in include_str!("formats/messages.jsonl").lines() {
        let message: Message = serde_json::from_str(line).unwrap();
        let text = message.body.get();
        match message.kind.as_str() {
            "stored page" => assert_message_round_trips::<protocol::StoredPage>(text),
            "stored item" => assert_message_round_trips::<protocol::StoredItem>(text),
            "changes" => assert_message_round_trips::<protocol::WatchResponse>(text),
            "transaction" => assert_message_round_trips::<protocol::Transaction>(text),
            "transaction answer" => assert_message_round_trips::<protocol::TransactionResponse>(text),
            "lease request" => assert_message_round_trips::<protocol::LeaseRequest>(text),
            "lease answer" => assert_message_round_trips::<protocol::LeaseResponse>(text),
            "listing" => assert_message_round_trips::<protocol::MachinePage>(text),
            "machine names" => assert_message_round_trips::<protocol::MachineNames>(text),
            "flavors" => assert_message_round_trips::<protocol::MachineTypeList>(text),
            "rental request" => assert_message_round_trips::<protocol::LaunchRequest>(text),
            "heartbeat" => assert_message_round_trips::<protocol::Heartbeat>(text),
            "heartbeat answer" => assert_message_round_trips::<protocol::HeartbeatResponse>(text),
            "direct orders" => assert_message_round_trips::<protocol::DirectCommands>(text),
            "submission" => assert_submission_is_read(text),
            kind => panic!("unknown kind of message: {kind}"),
        }
    }
}

fn assert_submission_is_read(text: &str) {
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
fn settings_names_are_unchanged() {
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
fn operator_settings_names_are_unchanged() {
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
    // An unknown name is refused, so all names in the file are known.
    for (name, block) in value.as_object().unwrap() {
        let mut renamed = value.clone();
        renamed[format!("{name}_")] = block.clone();
        assert!(OperatorSettings::from_value(renamed).is_err(), "{name}_");
    }
}
