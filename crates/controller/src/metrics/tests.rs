use super::*;

#[test]
fn gauges_of_removed_objects_disappear() {
    let metrics = Metrics::new();
    metrics.observe_count_wait("seat", 4.0);
    let seat = CountStatus {
        name: "seat".to_owned(),
        units: Some(4),
        usable: 4,
        held: 3,
        leaving: 0,
        lingering: 1,
        others: 0,
        free: 0,
        kept: 0,
        waiting: 2,
        oversubscribed: 0,
        closed: None,
        teams: Vec::new(),
        server: None,
    };
    let mut gauges = NodeGauges {
        token: Some(7),
        state_ok: true,
        peers_heard: 2,
        metrics_snapshot: Some(MetricsSnapshot {
            busy: 3,
            unrecorded: 5,
            oldest_unrecorded_ms: 2_500,
            ..MetricsSnapshot::default()
        }),
        counted_resources: vec![seat],
        cancellation_watermark_age_ms: Some(1_500),
        held_lease: Some(HeldLease { epoch: 7, until: 9 }),
        refused_operations: vec![(GuardedOperation::ReleaseMachines, 2)],
        expired_operations: Vec::new(),
        open_connections: PerClass([0, 3, 40, 4, 2, 1]),
        shortages: ShortageCounts {
            refused: PerClass([2, 0, 0, 0, 0, 0]),
            closed_by_response: PerClass([0, 0, 9, 0, 0, 0]),
            ..ShortageCounts::default()
        },
        throttled: Vec::new(),
        accounting: None,
        served_shares: vec![(ShareOwner::Class("batch".to_owned()), 0.5)],
        protection_windows: vec![WindowStatus {
            schedule: "trading".into(),
            open: true,
            until_ms: Some(1_796_104_800_000),
            services: 3,
        }],
        spare_replicas: (4, 2),
    };
    let text = metrics.encode(&gauges).unwrap();
    for line in [
        "indigopath_is_leader 1",
        "indigopath_connections{class=\"worker\"} 40",
        "indigopath_connections_refused_total{class=\"newcomer\"} 2",
        "indigopath_connections_closed_total{class=\"worker\",how=\"answer\"} 9",
        "indigopath_machines{state=\"busy\"} 3",
        "indigopath_tasks{state=\"unrecorded\"} 5",
        "indigopath_starts_unrecorded_age_seconds 2.5",
        "indigopath_fencing_epoch 7",
        "indigopath_cancellation_watermark_age_seconds 1.5",
        "indigopath_guarded_operations_dropped{duty=\"return\",why=\"refused\"} 2",
        "indigopath_count_held{count=\"seat\"} 3",
        "indigopath_served_share{whose=\"class\",name=\"batch\"} 0.5",
        "indigopath_count_lingering{count=\"seat\"} 1",
        "indigopath_protection_window_open{shift=\"trading\"} 1",
        "indigopath_shift_until{shift=\"trading\"} 1796104800",
        "indigopath_protection_window_services{shift=\"trading\"} 3",
        "indigopath_protection_window_spare_replicas{state=\"kept\"} 2",
        "indigopath_count_wait_seconds_bucket{le=\"5.0\",count=\"seat\"} 1",
    ] {
        assert!(text.lines().any(|other| other == line), "{line} in\n{text}");
    }
    gauges.token = None;
    gauges.counted_resources.clear();
    let text = metrics.encode(&gauges).unwrap();
    assert!(!text.contains("count_held{") && text.contains("indigopath_is_leader 0"));
}
