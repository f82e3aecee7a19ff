use super::*;

fn fetched(took_s: f64, others: f64) -> Fetched {
    Fetched {
        nominal_s: 10.0,
        took_s,
        others,
    }
}

#[test]
fn what_was_not_seen_is_as_the_cloud_says_and_shared() {
    let rates = Rates::default();
    assert_eq!(rates.alone_s("g8", 10.0), 10.0);
    assert_eq!(rates.sharing("g8"), 1.0);
}

#[test]
fn kinds_are_learned_apart() {
    let mut rates = Rates::default();
    for _ in 0..40 {
        rates.learn("g8", fetched(13.0, 0.0));
        rates.learn("g8", fetched(13.0, 1.0));
    }
    assert!((rates.alone_s("g8", 10.0) - 13.0).abs() < 0.2);
    assert!(rates.sharing("g8") < 0.2, "{}", rates.sharing("g8"));
    assert_eq!(rates.alone_s("g4", 10.0), 10.0);
    assert_eq!(rates.sharing("g4"), 1.0);
}

#[test]
fn shared_rates_stay_shared() {
    let mut rates = Rates::default();
    for others in [1.0, 2.0, 3.0, 0.5] {
        rates.learn("g8", fetched(10.0 * (1.0 + others), others));
    }
    assert!((rates.sharing("g8") - 1.0).abs() < 1e-9);
}

#[test]
fn nonsense_teaches_nothing() {
    let mut rates = Rates::default();
    for (took_s, others) in [(0.0, 0.0), (f64::NAN, 0.0), (-3.0, 1.0), (10.0, f64::INFINITY)] {
        rates.learn("g8", fetched(took_s, others));
    }
    assert_eq!(rates.alone_s("g8", 10.0), 10.0);
    assert_eq!(rates.sharing("g8"), 1.0);
    // A machine that stood still meanwhile does not make all others slow for good.
    rates.learn("g8", fetched(1e9, 0.0));
    assert!(rates.alone_s("g8", 10.0) <= 10.0 * SLOWNESS_MOST);
}
