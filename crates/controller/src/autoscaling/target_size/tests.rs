use super::*;

fn waiting(tasks: u32, estimate_s: f64, per_machine: f64) -> WaitingTasks {
    WaitingTasks {
        tasks,
        estimate_s,
        per_machine,
        is_gang: false,
    }
}

fn queued_demand(waiting: WaitingTasks) -> QueuedDemand {
    let mut demand = QueuedDemand::default();
    demand.add(waiting, 50.0);
    demand
}

#[test]
fn target_is_queued_walltime_over_twice_the_waste_time() {
    // 40 one-minute tasks, one per machine: 2400 s / (2 x 50 s) = 24.
    assert_eq!(target_machines(&queued_demand(waiting(40, 60.0, 1.0)), 50.0), 24);
}

#[test]
fn target_is_at_least_one_while_work_waits_and_zero_otherwise() {
    assert_eq!(target_machines(&queued_demand(waiting(1, 10.0, 8.0)), 50.0), 1);
    assert_eq!(target_machines(&QueuedDemand::default(), 50.0), 0);
}

#[test]
fn tasks_without_resource_requests_still_need_a_machine() {
    let gang = WaitingTasks {
        is_gang: true,
        ..waiting(40, 5.0, f64::INFINITY)
    };
    for tasks in [waiting(40, 5.0, f64::INFINITY), gang] {
        assert_eq!(target_machines(&queued_demand(tasks), 50.0), 1);
    }
    assert_eq!(
        target_machines(&queued_demand(waiting(0, 5.0, f64::INFINITY)), 50.0),
        0
    );
}

#[test]
fn target_is_at_most_the_machines_that_the_tasks_fill() {
    assert_eq!(target_machines(&queued_demand(waiting(16, 1000.0, 8.0)), 50.0), 2);
}

#[test]
fn target_covers_the_largest_gang() {
    let gang_demand = queued_demand(WaitingTasks {
        is_gang: true,
        ..waiting(16, 5.0, 4.0)
    });
    assert_eq!(target_machines(&gang_demand, 50.0), 4);
}

#[test]
fn tasks_without_an_estimate_count_as_twice_the_waste_time() {
    assert_eq!(target_machines(&queued_demand(waiting(3, 0.0, 1.0)), 50.0), 3);
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

fn pending_machines(types: &MachineTypes) -> Vec<PendingCapacity> {
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
fn pending_capacity_covers_eligible_tasks() {
    let flavors: crate::protocol::MachineTypeList =
        serde_json::from_str(include_str!("../../../tests/support/flavors.json")).unwrap();
    let types: MachineTypes = flavors
        .types
        .into_iter()
        .map(|machine_type| (machine_type.name.clone(), machine_type))
        .collect();
    let both_zones = ["east".to_owned(), "west".to_owned()];
    let no_avoided = BTreeSet::new();
    let uncovered = |change: fn(&mut JobSpec), zones: &[String]| {
        uncovered_tasks(
            &mut pending_machines(&types),
            &job(change),
            &no_avoided,
            zones,
            10,
            &types,
        )
    };
    // Four tasks fit on each machine: two on-demand ones, and the spot one if it is allowed.
    assert_eq!(uncovered(|_| (), &both_zones), 2);
    assert_eq!(uncovered(|spec| spec.spot = true, &both_zones), 0);
    assert_eq!(uncovered(|_| (), &both_zones[..1]), 6);
    let failed_machines = BTreeSet::from([MachineId(std::sync::Arc::from("west"))]);
    let uncovered_without_west = uncovered_tasks(
        &mut pending_machines(&types),
        &job(|_| ()),
        &failed_machines,
        &both_zones,
        10,
        &types,
    );
    assert_eq!(
        uncovered_without_west, 6,
        "a machine on which the job failed does not count"
    );
    // A gang is covered as a whole or not at all, and in a single zone if it requires that.
    assert_eq!(uncovered(|spec| spec.shape = Shape::Gang, &both_zones), 10);
    let mut pending = pending_machines(&types);
    let gang = job(|spec| {
        spec.shape = Shape::Gang;
        spec.one_zone = true;
    });
    assert_eq!(
        uncovered_tasks(&mut pending, &gang, &no_avoided, &both_zones, 5, &types),
        5
    );
    assert_eq!(
        pending,
        pending_machines(&types),
        "a gang that does not fit claims nothing"
    );
    assert_eq!(
        uncovered_tasks(&mut pending, &gang, &no_avoided, &both_zones, 4, &types),
        0
    );
}
