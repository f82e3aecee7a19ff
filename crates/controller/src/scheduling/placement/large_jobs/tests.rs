//! Tests of the size from which a job counts as large.

use super::*;

#[test]
fn large_jobs_are_the_largest_fifth_and_ties() {
    assert_eq!(large_job_threshold(Vec::new()), u32::MAX);
    assert_eq!(large_job_threshold(vec![7]), 7);
    assert_eq!(large_job_threshold(vec![1, 1, 1, 8, 1, 2, 2, 4, 1, 8]), 8);
    // All jobs have the same size, so all count as large.
    assert_eq!(large_job_threshold(vec![4; 20]), 4);
}
