use super::*;
use proptest::prelude::*;

fn name(text: &str) -> ImageName {
    ImageName::from(text)
}

fn replicas(of: &[(&str, usize)]) -> ImageReplicas {
    let mut replicas = ImageReplicas::new(of.iter().map(|(image, _)| name(image)), 3);
    for (image, zone) in of {
        replicas.add(image, *zone);
    }
    replicas
}

fn idle(zone: usize, images: &[&str], price: f64) -> IdleMachine {
    IdleMachine {
        zone,
        images: images.iter().copied().map(name).collect(),
        price,
    }
}

#[test]
fn spread_counts_machines_and_zones() {
    let mut replicas = replicas(&[("a", 0), ("a", 1), ("b", 0), ("b", 0), ("c", 2)]);
    let spreads = ["a", "b", "c", "d"].map(|image| replicas.spread(image));
    assert_eq!(
        spreads,
        [
            Spread::SeveralZones,
            Spread::OneZone,
            Spread::OneMachine,
            Spread::Nowhere
        ]
    );
    assert_eq!(replicas.by_spread(), [0, 1, 1, 1]);
    assert_eq!(
        (replicas.machines("b"), replicas.machines_outside_zone("b", 0)),
        (2, 0)
    );
    replicas.add("d", 0);
    replicas.add("a", 7);
    assert_eq!(
        replicas.by_spread(),
        [0, 1, 1, 1],
        "neither other images nor unknown zones are counted"
    );
}

#[test]
fn machines_with_the_last_copies_are_kept() {
    let mut replicas = replicas(&[("a", 0), ("a", 0), ("a", 1), ("a", 1), ("b", 0)]);
    let machines = [
        idle(0, &["a"], 3.0),
        idle(0, &["a"], 1.0),
        idle(1, &["a"], 1.0),
        idle(1, &["a"], 1.0),
        idle(0, &["b", "old"], 5.0),
        idle(2, &["old"], 0.1),
    ];
    let kept = replicas.worth_keeping(&machines, 100.0);
    assert_eq!(kept.iter().filter(|keep| **keep).count(), 3, "{kept:?}");
    assert!(kept[1] && !kept[0], "the cheaper of two with the same image");
    assert!(kept[4] && !kept[5]);
}

#[test]
fn the_rarest_images_are_kept_within_the_price_limit() {
    let mut replicas = replicas(&[("a", 0), ("a", 1), ("b", 0)]);
    let machines = [idle(0, &["a"], 2.0), idle(1, &["a"], 2.0), idle(0, &["b"], 2.0)];
    assert_eq!(replicas.worth_keeping(&machines, 3.0), [false, false, true]);
}

proptest! {
    // Without a price limit, no model loses its last copy; with one, the limit holds.
    #[test]
    fn no_model_loses_its_last_copy(
        held in prop::collection::vec((0..3usize, prop::collection::vec(0..5usize, 0..3)), 0..20)
    ) {
        let names: Vec<ImageName> = (0..5).map(|image| name(&image.to_string())).collect();
        let mut replicas = ImageReplicas::new(names.iter().cloned(), 3);
        let machines: Vec<IdleMachine> = held
            .iter()
            .map(|(zone, images)| {
                let images: std::collections::BTreeSet<usize> = images.iter().copied().collect();
                IdleMachine {
                    zone: *zone,
                    images: images.into_iter().map(|image| names[image].clone()).collect(),
                    price: 1.0,
                }
            })
            .collect();
        for machine in &machines {
            for image in &machine.images {
                replicas.add(image, machine.zone);
            }
        }
        let zones_before: Vec<Spread> = names.iter().map(|image| replicas.spread(image)).collect();
        let kept = replicas.clone().worth_keeping(&machines, 1e9);
        let mut after = ImageReplicas::new(names.iter().cloned(), 3);
        for (machine, _) in machines.iter().zip(&kept).filter(|(_, keep)| **keep) {
            for image in &machine.images {
                after.add(image, machine.zone);
            }
        }
        for (image, before) in names.iter().zip(zones_before) {
            prop_assert!(after.spread(image) >= before.min(Spread::SeveralZones));
        }
        let bounded = replicas.worth_keeping(&machines, 2.0);
        prop_assert!(bounded.iter().filter(|keep| **keep).count() <= 2);
    }
}
