use super::*;
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn copies(of: &[(&str, usize)]) -> ImageReplicas {
    let mut copies = ImageReplicas::of(of.iter().map(|(image, _)| name(image)), 3);
    for (image, zone) in of {
        copies.add(image, *zone);
    }
    copies
}

fn idle(zone: usize, images: &[&str], price: f64) -> Idle {
    Idle {
        zone,
        images: images.iter().copied().map(name).collect(),
        price,
    }
}

#[test]
fn spread_counts_machines_and_zones() {
    let mut copies = copies(&[("a", 0), ("a", 1), ("b", 0), ("b", 0), ("c", 2)]);
    let spreads = ["a", "b", "c", "d"].map(|image| copies.spread(image));
    assert_eq!(
        spreads,
        [
            Spread::Zones,
            Spread::OneZone,
            Spread::OneMachine,
            Spread::Nowhere
        ]
    );
    assert_eq!(copies.by_spread(), [0, 1, 1, 1]);
    assert_eq!((copies.machines("b"), copies.outside("b", 0)), (2, 0));
    copies.add("d", 0);
    copies.add("a", 7);
    assert_eq!(copies.by_spread(), [0, 1, 1, 1], "no live model, no such zone");
}

#[test]
fn the_last_copies_stay_and_others_go() {
    let mut copies = copies(&[("a", 0), ("a", 0), ("a", 1), ("a", 1), ("b", 0)]);
    let machines = [
        idle(0, &["a"], 3.0),
        idle(0, &["a"], 1.0),
        idle(1, &["a"], 1.0),
        idle(1, &["a"], 1.0),
        idle(0, &["b", "old"], 5.0),
        idle(2, &["old"], 0.1),
    ];
    let kept = copies.worth_keeping(&machines, 100.0);
    assert_eq!(kept.iter().filter(|keep| **keep).count(), 3, "{kept:?}");
    assert!(kept[1] && !kept[0], "the cheaper of two alike");
    assert!(kept[4] && !kept[5]);
}

#[test]
fn the_price_is_bounded_and_the_rarest_stay() {
    let mut copies = copies(&[("a", 0), ("a", 1), ("b", 0)]);
    let machines = [idle(0, &["a"], 2.0), idle(1, &["a"], 2.0), idle(0, &["b"], 2.0)];
    assert_eq!(copies.worth_keeping(&machines, 3.0), [false, false, true]);
}

proptest! {
    // What is kept fits the bound, and no model loses its last copy while it does.
    #[test]
    fn no_model_loses_its_last_copy(
        held in prop::collection::vec((0..3usize, prop::collection::vec(0..5usize, 0..3)), 0..20)
    ) {
        let names: Vec<Name> = (0..5).map(|image| name(&image.to_string())).collect();
        let mut copies = ImageReplicas::of(names.iter().cloned(), 3);
        let machines: Vec<Idle> = held
            .iter()
            .map(|(zone, images)| {
                let images: std::collections::BTreeSet<usize> = images.iter().copied().collect();
                Idle {
                    zone: *zone,
                    images: images.into_iter().map(|image| names[image].clone()).collect(),
                    price: 1.0,
                }
            })
            .collect();
        for machine in &machines {
            for image in &machine.images {
                copies.add(image, machine.zone);
            }
        }
        let zones_before: Vec<Spread> = names.iter().map(|image| copies.spread(image)).collect();
        let kept = copies.clone().worth_keeping(&machines, 1e9);
        let mut after = ImageReplicas::of(names.iter().cloned(), 3);
        for (machine, _) in machines.iter().zip(&kept).filter(|(_, keep)| **keep) {
            for image in &machine.images {
                after.add(image, machine.zone);
            }
        }
        for (image, before) in names.iter().zip(zones_before) {
            prop_assert!(after.spread(image) >= before.min(Spread::Zones));
        }
        let bounded = copies.worth_keeping(&machines, 2.0);
        prop_assert!(bounded.iter().filter(|keep| **keep).count() <= 2);
    }
}
