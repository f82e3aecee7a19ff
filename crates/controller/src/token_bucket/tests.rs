use super::*;

#[test]
fn never_exceeds_rate_and_burst() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0);
    let taken = (0..5_000).filter(|now| bucket.try_take(1.0, 0.0, *now)).count();
    assert!((59..=60).contains(&taken), "{taken}");
}

#[test]
fn forced_units_are_a_debt() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0);
    bucket.force_take(15.0, 0);
    assert!(!bucket.try_take(1.0, 0.0, 500));
    assert!(bucket.try_take(1.0, 0.0, 601));
}
