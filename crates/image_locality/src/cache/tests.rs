use super::*;
use proptest::prelude::*;

fn name(text: &str) -> ImageName {
    ImageName::from(text)
}

fn names(cache: &Cache) -> Vec<&str> {
    cache.contents().map(|cached| &*cached.image).collect()
}

fn cache(cache_gb: f64) -> Cache {
    let mut cache = Cache::empty();
    cache.set_cache_gb(cache_gb);
    cache
}

#[test]
fn contents_of_a_cache_are_unknown_absent_or_likely_at_first() {
    assert_eq!(Cache::default().cache_state("a"), CacheState::Unknown);
    assert_eq!(Cache::empty().cache_state("a"), CacheState::Absent);
    let restored = Cache::from_record([(name("a"), 4.0)]);
    assert_eq!(
        (restored.cache_state("a"), restored.cache_state("b")),
        (CacheState::Likely, CacheState::Unknown)
    );
}

#[test]
fn a_sent_start_does_not_confirm_the_image() {
    let mut cache = cache(10.0);
    cache.on_start_sent(&name("a"), 4.0);
    assert_eq!(cache.cache_state("a"), CacheState::Likely);
    cache.on_image_seen(&name("a"), 4.0);
    cache.on_start_sent(&name("a"), 4.0);
    assert_eq!(cache.cache_state("a"), CacheState::Certain);
    cache.remove("a");
    assert_eq!(cache.cache_state("a"), CacheState::Absent);
}

#[test]
fn the_least_recently_used_image_is_evicted_first() {
    let mut cache = cache(10.0);
    for image in ["a", "b", "a", "c"] {
        cache.on_image_seen(&name(image), 4.0);
    }
    assert_eq!(names(&cache), ["a", "c"]);
    let evicted: Vec<&str> = cache.evicted_by("d", 5.0).map(|cached| &*cached.image).collect();
    assert_eq!(evicted, ["a"]);
    assert_eq!(cache.evicted_by("a", 4.0).count(), 0, "it is already cached");
    assert_eq!(cache.evicted_by("d", 2.0).count(), 0, "it fits");
}

#[test]
fn a_fetch_evicts_only_when_it_completes() {
    let mut cache = cache(10.0);
    cache.on_image_seen(&name("a"), 6.0);
    cache.on_start_sent(&name("b"), 6.0);
    assert_eq!(names(&cache), ["a", "b"], "the fetch may be abandoned");
    cache.evict_excess();
    assert_eq!(names(&cache), ["b"]);
}

#[test]
fn an_image_larger_than_the_cache_evicts_all_others() {
    let mut cache = cache(10.0);
    cache.on_image_seen(&name("a"), 4.0);
    cache.on_image_seen(&name("b"), 40.0);
    assert_eq!(names(&cache), ["b"]);
    cache.on_image_seen(&name("a"), 4.0);
    assert_eq!(names(&cache), ["a"]);
}

#[test]
fn an_unexpected_miss_makes_all_contents_uncertain() {
    let mut cache = cache(100.0);
    cache.on_image_seen(&name("a"), 4.0);
    assert_eq!(
        (cache.cache_state("a"), cache.cache_state("b")),
        (CacheState::Certain, CacheState::Absent)
    );
    cache.on_unexpected_miss();
    assert_eq!(
        (cache.cache_state("a"), cache.cache_state("b")),
        (CacheState::Likely, CacheState::Unknown)
    );
}

proptest! {
    // `evicted_by` predicts exactly what `on_image_seen` then evicts.
    #[test]
    fn evictions_are_predicted(uses in prop::collection::vec((0..6usize, 1..30u32), 1..40)) {
        let mut cache = cache(50.0);
        let mut sizes = [0.0; 6];
        for (image, gb) in uses {
            if sizes[image] == 0.0 {
                sizes[image] = f64::from(gb);
            }
            let own = name(&image.to_string());
            let predicted: Vec<ImageName> = cache
                .evicted_by(&own, sizes[image])
                .map(|cached| cached.image.clone())
                .collect();
            let before: Vec<ImageName> = cache.contents().map(|cached| cached.image.clone()).collect();
            cache.on_image_seen(&own, sizes[image]);
            let after: Vec<ImageName> = cache.contents().map(|cached| cached.image.clone()).collect();
            let evicted: Vec<ImageName> = before.into_iter().filter(|cached| !after.contains(cached)).collect();
            prop_assert_eq!(predicted, evicted);
            prop_assert!(cache.contents().map(|cached| cached.gb).sum::<f64>() <= 50.0);
        }
    }
}
