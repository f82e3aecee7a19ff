use super::*;
use proptest::prelude::*;

fn fetched() -> Choice<'static> {
    Choice {
        alone_s: 24.0,
        sharing: 1.0,
        ..Choice::default()
    }
}

fn there() -> Choice<'static> {
    Choice {
        cache_state: CacheState::Certain,
        ..fetched()
    }
}

#[test]
fn a_fetch_beside_others_costs_both() {
    let waiting = [Fetching {
        left_s: 20.0,
        waiting: 6.0,
    }];
    let beside = Choice {
        others: &waiting,
        ..fetched()
    };
    let shared = cost(&beside);
    assert_eq!((shared.fetch_s, shared.delay_s), (44.0, 120.0));
    let apart = cost(&Choice {
        sharing: 0.0,
        ..beside
    });
    assert_eq!((apart.fetch_s, apart.delay_s), (24.0, 0.0));
}

#[test]
fn a_fetch_under_way_is_joined_without_cost_to_others() {
    let waiting = [Fetching {
        left_s: 20.0,
        waiting: 6.0,
    }];
    let joined = cost(&Choice {
        under_way_s: Some(10.0),
        others: &waiting,
        ..fetched()
    });
    assert_eq!((joined.fetch_s, joined.delay_s), (20.0, 0.0));
}

#[test]
fn without_a_copy_a_loss_costs_a_fetch() {
    let alone = Choice {
        machine_loss: 0.001,
        ..there()
    };
    let copied = Choice {
        copy_elsewhere: true,
        ..alone
    };
    assert!((cost(&alone).loss_s - 0.3 * 29.0).abs() < 1e-9);
    assert!((cost(&copied).loss_s - 0.3 * 5.0).abs() < 1e-9);
    let crowded = Choice { beside: 2, ..copied };
    assert!((cost(&crowded).loss_s - 0.3 * 17.0).abs() < 1e-9);
    let zone = Choice {
        machine_loss: 0.0,
        zone_loss: 0.001,
        beside_in_zone: 2,
        ..copied
    };
    assert!(
        cost(&zone).loss_s
            > cost(&Choice {
                copy_in_other_zone: true,
                ..zone
            })
            .loss_s
    );
}

#[test]
fn what_nobody_needs_is_pushed_out_for_nothing() {
    let needed = Evicted {
        alone_s: 24.0,
        starts_per_s: 0.5,
        copies: 1,
    };
    let often = Evicted { copies: 30, ..needed };
    let useless = Evicted {
        starts_per_s: 0.0,
        ..needed
    };
    assert_eq!(needed.cost_s(), 24.0);
    assert!(often.cost_s() < 5.0);
    assert_eq!(useless.cost_s(), 0.0);
    let fetches = Choice {
        evicts_s: 24.0,
        ..fetched()
    };
    assert_eq!(cost(&fetches).evict_s, 24.0);
    let none = Choice {
        evicts_s: 24.0,
        ..there()
    };
    assert_eq!(cost(&none).evict_s, 0.0, "what lies there pushes nothing out");
}

#[test]
fn stopping_a_little_beside_the_weights_is_better_than_a_fetch_elsewhere() {
    let stopped = |lost_work_s| Choice {
        lost_work_s,
        ..there()
    };
    let elsewhere = cost(&fetched()).total_s();
    assert!(cost(&stopped(30.0)).total_s() < elsewhere);
    assert!(cost(&stopped(300.0)).total_s() > elsewhere);
}

fn some_choice() -> impl Strategy<Value = (f64, f64, Vec<(f64, f64)>, u32, bool, bool)> {
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
    // More doubt, more company, more losses or less copies never make a place better.
    #[test]
    fn worse_is_never_cheaper((alone_s, sharing, others, beside, near, far) in some_choice()) {
        let others: Vec<Fetching> = others
            .into_iter()
            .map(|(left_s, waiting)| Fetching { left_s, waiting })
            .collect();
        let base = Choice {
            cache_state: CacheState::Likely,
            alone_s,
            sharing,
            others: &others,
            machine_loss: 0.0005,
            zone_loss: 0.0001,
            beside,
            beside_in_zone: beside,
            copy_elsewhere: near,
            copy_in_other_zone: far,
            ..Choice::default()
        };
        let least = cost(&base).total_s();
        prop_assert!(least.is_finite() && least >= 0.0);
        let worse = [
            Choice { cache_state: CacheState::Unknown, ..base },
            Choice { cache_state: CacheState::Absent, ..base },
            Choice { machine_loss: 0.001, ..base },
            Choice { zone_loss: 0.001, ..base },
            Choice { beside: beside + 1, ..base },
            Choice { copy_elsewhere: false, ..base },
            Choice { copy_in_other_zone: false, ..base },
            Choice { lost_work_s: 10.0, ..base },
        ];
        for choice in &worse {
            prop_assert!(cost(choice).total_s() >= least - 1e-9, "{choice:?}");
        }
        let alone = Choice { others: &[], ..base };
        prop_assert!(cost(&alone).total_s() <= least + 1e-9);
    }
}
