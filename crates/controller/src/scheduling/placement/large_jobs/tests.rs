//! Which jobs count as large.

use super::*;

#[test]
fn the_larger_of_a_class_are_a_fifth_and_their_equals() {
    assert_eq!(large_job_threshold(Vec::new()), u32::MAX);
    assert_eq!(large_job_threshold(vec![7]), 7);
    assert_eq!(large_job_threshold(vec![1, 1, 1, 8, 1, 2, 2, 4, 1, 8]), 8);
    // All are as large as the largest.
    assert_eq!(large_job_threshold(vec![4; 20]), 4);
}
