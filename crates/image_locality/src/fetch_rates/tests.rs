use super::*;

fn sample(duration_s: f64, concurrent_fetches: f64) -> FetchSample {
    FetchSample {
        nominal_s: 10.0,
        duration_s,
        concurrent_fetches,
    }
}

#[test]
fn unmeasured_types_have_the_nominal_rate_and_share_it() {
    let rates = FetchRates::default();
    assert_eq!(rates.uncontended_s("g8", 10.0), 10.0);
    assert_eq!(rates.sharing("g8"), 1.0);
}

#[test]
fn machine_types_are_measured_separately() {
    let mut rates = FetchRates::default();
    for _ in 0..40 {
        rates.record("g8", sample(13.0, 0.0));
        rates.record("g8", sample(13.0, 1.0));
    }
    assert!((rates.uncontended_s("g8", 10.0) - 13.0).abs() < 0.2);
    assert!(rates.sharing("g8") < 0.2, "{}", rates.sharing("g8"));
    assert_eq!(rates.uncontended_s("g4", 10.0), 10.0);
    assert_eq!(rates.sharing("g4"), 1.0);
}

#[test]
fn rates_measured_as_shared_stay_shared() {
    let mut rates = FetchRates::default();
    for concurrent_fetches in [1.0, 2.0, 3.0, 0.5] {
        rates.record(
            "g8",
            sample(10.0 * (1.0 + concurrent_fetches), concurrent_fetches),
        );
    }
    assert!((rates.sharing("g8") - 1.0).abs() < 1e-9);
}

#[test]
fn invalid_samples_are_ignored() {
    let mut rates = FetchRates::default();
    for (duration_s, concurrent_fetches) in [(0.0, 0.0), (f64::NAN, 0.0), (-3.0, 1.0), (10.0, f64::INFINITY)]
    {
        rates.record("g8", sample(duration_s, concurrent_fetches));
    }
    assert_eq!(rates.uncontended_s("g8", 10.0), 10.0);
    assert_eq!(rates.sharing("g8"), 1.0);
    // A single sample of a suspended machine has a bounded effect.
    rates.record("g8", sample(1e9, 0.0));
    assert!(rates.uncontended_s("g8", 10.0) <= 10.0 * MAX_SLOWDOWN);
}
