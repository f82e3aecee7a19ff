use super::*;
use proptest::prelude::*;

fn needs_fetch() -> Candidate<'static> {
    Candidate {
        uncontended_fetch_s: 24.0,
        sharing: 1.0,
        ..Candidate::default()
    }
}

fn cached() -> Candidate<'static> {
    Candidate {
        cache_state: CacheState::Certain,
        ..needs_fetch()
    }
}

#[test]
fn concurrent_fetches_delay_each_other() {
    let fetches = [OngoingFetch {
        remaining_s: 20.0,
        waiting_replicas: 6.0,
    }];
    let contended = Candidate {
        concurrent_fetches: &fetches,
        ..needs_fetch()
    };
    let shared = cost(&contended);
    assert_eq!((shared.fetch_s, shared.delay_s), (44.0, 120.0));
    let apart = cost(&Candidate {
        sharing: 0.0,
        ..contended
    });
    assert_eq!((apart.fetch_s, apart.delay_s), (24.0, 0.0));
}

#[test]
fn joining_an_ongoing_fetch_costs_others_nothing() {
    let fetches = [OngoingFetch {
        remaining_s: 20.0,
        waiting_replicas: 6.0,
    }];
    let joined = cost(&Candidate {
        own_fetch_remaining_s: Some(10.0),
        concurrent_fetches: &fetches,
        ..needs_fetch()
    });
    assert_eq!((joined.fetch_s, joined.delay_s), (20.0, 0.0));
}

#[test]
fn without_another_copy_a_loss_costs_a_fetch() {
    let sole_copy = Candidate {
        machine_loss_rate: 0.001,
        ..cached()
    };
    let copied = Candidate {
        cached_on_other_machine: true,
        ..sole_copy
    };
    assert!((cost(&sole_copy).loss_s - 0.3 * 29.0).abs() < 1e-9);
    assert!((cost(&copied).loss_s - 0.3 * 5.0).abs() < 1e-9);
    let crowded = Candidate {
        replicas_on_machine: 2,
        ..copied
    };
    assert!((cost(&crowded).loss_s - 0.3 * 17.0).abs() < 1e-9);
    let zone = Candidate {
        machine_loss_rate: 0.0,
        zone_loss_rate: 0.001,
        replicas_in_zone: 2,
        ..copied
    };
    assert!(
        cost(&zone).loss_s
            > cost(&Candidate {
                cached_in_other_zone: true,
                ..zone
            })
            .loss_s
    );
}

#[test]
fn evicting_an_unused_image_costs_nothing() {
    let needed = EvictedImage {
        uncontended_fetch_s: 24.0,
        starts_per_s: 0.5,
        copies: 1,
    };
    let widely_cached = EvictedImage { copies: 30, ..needed };
    let unused = EvictedImage {
        starts_per_s: 0.0,
        ..needed
    };
    assert_eq!(needed.cost_s(), 24.0);
    assert!(widely_cached.cost_s() < 5.0);
    assert_eq!(unused.cost_s(), 0.0);
    let fetches = Candidate {
        eviction_cost_s: 24.0,
        ..needs_fetch()
    };
    assert_eq!(cost(&fetches).eviction_s, 24.0);
    let none = Candidate {
        eviction_cost_s: 24.0,
        ..cached()
    };
    assert_eq!(cost(&none).eviction_s, 0.0, "a cached image evicts nothing");
}

#[test]
fn preempting_a_little_work_beside_the_image_is_cheaper_than_a_fetch_elsewhere() {
    let stopped = |lost_work_s| Candidate {
        lost_work_s,
        ..cached()
    };
    let elsewhere = cost(&needs_fetch()).total_s();
    assert!(cost(&stopped(30.0)).total_s() < elsewhere);
    assert!(cost(&stopped(300.0)).total_s() > elsewhere);
}

fn candidate_parts() -> impl Strategy<Value = (f64, f64, Vec<(f64, f64)>, u32, bool, bool)> {
    (
        0.1..60.0,
        0.0..1.0,
        prop::collection::vec((0.0..60.0, 0.0..8.0), 0..4),
        0..8u32,
        any::<bool>(),
        any::<bool>(),
    )
}

proptest! {
    // Less certainty, more replicas on the machine, higher loss rates or fewer copies never lower the cost.
    #[test]
    fn worse_is_never_cheaper((uncontended_fetch_s, sharing, others, replicas_on_machine, on_other_machine, in_other_zone) in candidate_parts()) {
        let fetches: Vec<OngoingFetch> = others
            .into_iter()
            .map(|(remaining_s, waiting_replicas)| OngoingFetch { remaining_s, waiting_replicas })
            .collect();
        let base = Candidate {
            cache_state: CacheState::Likely,
            uncontended_fetch_s,
            sharing,
            concurrent_fetches: &fetches,
            machine_loss_rate: 0.0005,
            zone_loss_rate: 0.0001,
            replicas_on_machine,
            replicas_in_zone: replicas_on_machine,
            cached_on_other_machine: on_other_machine,
            cached_in_other_zone: in_other_zone,
            ..Candidate::default()
        };
        let least = cost(&base).total_s();
        prop_assert!(least.is_finite() && least >= 0.0);
        let worse = [
            Candidate { cache_state: CacheState::Unknown, ..base },
            Candidate { cache_state: CacheState::Absent, ..base },
            Candidate { machine_loss_rate: 0.001, ..base },
            Candidate { zone_loss_rate: 0.001, ..base },
            Candidate { replicas_on_machine: replicas_on_machine + 1, ..base },
            Candidate { cached_on_other_machine: false, ..base },
            Candidate { cached_in_other_zone: false, ..base },
            Candidate { lost_work_s: 10.0, ..base },
        ];
        for candidate in &worse {
            prop_assert!(cost(candidate).total_s() >= least - 1e-9, "{candidate:?}");
        }
        let uncontended = Candidate { concurrent_fetches: &[], ..base };
        prop_assert!(cost(&uncontended).total_s() <= least + 1e-9);
    }
}
