use super::*;

#[test]
fn images_are_checked_against_the_largest_cache() {
    assert_eq!(ImageSizeError::check("a", 25.0, 50.0), None);
    let half = ImageSizeError::check("a", 26.0, 50.0).unwrap();
    assert!(!half.exceeds_all_caches());
    let too_large = ImageSizeError::check("a", 50.1, 50.0).unwrap();
    assert!(too_large.exceeds_all_caches());
    assert_eq!(
        too_large.to_string(),
        "image a has 50.1 GB, more than the largest cache of 50.0 GB: every start fetches it"
    );
}
