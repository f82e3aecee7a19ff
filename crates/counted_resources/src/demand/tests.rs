use super::*;

#[test]
fn equal_demands_are_one() {
    let seat = |units| Demand::new(&BTreeMap::from([("seat".to_owned(), units)])).unwrap();
    let mut demands = DemandInterner::default();
    let first = demands.intern(seat(1));
    assert!(Arc::ptr_eq(&first.0, &demands.intern(seat(1)).0));
    assert!(!Arc::ptr_eq(&first.0, &demands.intern(seat(2)).0));
    for units in 1..3 * MAX_INTERNED_DEMANDS as u64 {
        assert_eq!(demands.intern(seat(units)), seat(units));
    }
    assert!(demands.0.len() <= MAX_INTERNED_DEMANDS);
}
