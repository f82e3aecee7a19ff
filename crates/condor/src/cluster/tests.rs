use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn proc_sets_round_trip(numbers in prop::collection::btree_set(0u32..20_000, 1..200)) {
        let numbers: Vec<u32> = numbers.into_iter().collect();
        let procs = ProcSet::new(&numbers);
        let text = serde_json::to_string(&procs).unwrap();
        let read: ProcSet = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read.numbers(), numbers.clone());
        prop_assert_eq!(read.count() as usize, numbers.len());
        prop_assert!(read.contains(numbers[0]) && !read.contains(numbers[numbers.len() - 1] + 1));
    }
}

#[test]
fn proc_sets_are_formatted_as_ranges() {
    assert_eq!(ProcSet::new(&[0, 1, 2, 5, 7, 8]).text(), "0-2,5,7-8");
    assert_eq!(ProcSet::new(&[4]).text(), "4");
}

#[test]
fn every_other_of_ten_thousand_procs_fits_a_record() {
    let numbers: Vec<u32> = (0..10_000).filter(|number| number % 2 == 0).collect();
    assert!(serde_json::to_string(&ProcSet::new(&numbers)).unwrap().len() < 2_000);
}
