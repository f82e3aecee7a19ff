use super::*;

fn waiting(tasks: u32, estimate_s: f64, per_machine: f64) -> WaitingTasks {
    WaitingTasks {
        tasks,
        estimate_s,
        per_machine,
        is_gang: false,
    }
}

fn queue(waiting: WaitingTasks) -> QueuedDemand {
    let mut queue = QueuedDemand::default();
    queue.add(waiting, 50.0);
    queue
}

#[test]
fn queued_walltime_over_twice_the_waste() {
    // 40 one-minute tasks, one a machine: 2400 s / (2 x 50 s) = 24.
    assert_eq!(target_machines(&queue(waiting(40, 60.0, 1.0)), 50.0), 24);
}

#[test]
fn at_least_one_while_work_waits_and_none_otherwise() {
    assert_eq!(target_machines(&queue(waiting(1, 10.0, 8.0)), 50.0), 1);
    assert_eq!(target_machines(&QueuedDemand::default(), 50.0), 0);
}

#[test]
fn tasks_that_take_nothing_need_a_machine_all_the_same() {
    let gang = WaitingTasks {
        is_gang: true,
        ..waiting(40, 5.0, f64::INFINITY)
    };
    for tasks in [waiting(40, 5.0, f64::INFINITY), gang] {
        assert_eq!(target_machines(&queue(tasks), 50.0), 1);
    }
    assert_eq!(target_machines(&queue(waiting(0, 5.0, f64::INFINITY)), 50.0), 0);
}

#[test]
fn no_more_than_the_tasks_fill() {
    assert_eq!(target_machines(&queue(waiting(16, 1000.0, 8.0)), 50.0), 2);
}

#[test]
fn covers_the_largest_gang() {
    let short = queue(WaitingTasks {
        is_gang: true,
        ..waiting(16, 5.0, 4.0)
    });
    assert_eq!(target_machines(&short, 50.0), 4);
}

#[test]
fn tasks_without_an_estimate_count_twice_the_waste() {
    assert_eq!(target_machines(&queue(waiting(3, 0.0, 1.0)), 50.0), 3);
}

fn job(change: impl FnOnce(&mut JobSpec)) -> JobSpec {
    let value = serde_json::json!({
        "id": "wk-1", "class": "batch", "team": "red", "shape": "sweep", "priority": "standard",
        "tasks": 10, "needs": { "cpus": 8.0, "gpus": 1.0, "memory_gb": 8.0 }, "image": "img",
        "image_gb": 1.0, "types": null, "zone": null, "one_zone": false, "spread": false,
        "spot": false, "estimate_s": 10.0, "checkpoint_s": 0.0, "save_s": 0.0,
        "deadline_s": null, "submitted_ms": 0
    });
    let mut spec: JobSpec = serde_json::from_value(value).unwrap();
    change(&mut spec);
    spec
}

fn coming(types: &MachineTypes) -> Vec<PendingCapacity> {
    let machine = |zone: &str, spot| PendingCapacity {
        machine: Some(MachineId(std::sync::Arc::from(zone))),
        machine_type: "small".into(),
        zone: zone.into(),
        spot,
        free: types["small"].resources(),
    };
    vec![
        machine("east", true),
        machine("east", false),
        machine("west", false),
    ]
}

#[test]
fn machines_on_their_way_take_what_they_may() {
    let flavors: crate::protocol::MachineTypeList =
        serde_json::from_str(include_str!("../../../tests/support/flavors.json")).unwrap();
    let types: MachineTypes = flavors
        .types
        .into_iter()
        .map(|known| (known.name.clone(), known))
        .collect();
    let both = ["east".to_owned(), "west".to_owned()];
    let none = BTreeSet::new();
    let left = |change: fn(&mut JobSpec), zones: &[String]| {
        uncovered_tasks(&mut coming(&types), &job(change), &none, zones, 10, &types)
    };
    // Four a machine: two ordinary ones, and the spot one where it is allowed.
    assert_eq!(left(|_| (), &both), 2);
    assert_eq!(left(|spec| spec.spot = true, &both), 0);
    assert_eq!(left(|_| (), &both[..1]), 6);
    let west = BTreeSet::from([MachineId(std::sync::Arc::from("west"))]);
    let left_without = uncovered_tasks(&mut coming(&types), &job(|_| ()), &west, &both, 10, &types);
    assert_eq!(left_without, 6, "where it failed, it is not tried again");
    // A gang comes whole or not at all, and in one zone if it must.
    assert_eq!(left(|spec| spec.shape = Shape::Gang, &both), 10);
    let mut rooms = coming(&types);
    let gang = job(|spec| {
        spec.shape = Shape::Gang;
        spec.one_zone = true;
    });
    assert_eq!(uncovered_tasks(&mut rooms, &gang, &none, &both, 5, &types), 5);
    assert_eq!(rooms, coming(&types), "what it does not take stays free");
    assert_eq!(uncovered_tasks(&mut rooms, &gang, &none, &both, 4, &types), 0);
}
