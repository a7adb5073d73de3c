//! Tests of `near_cache`.
use crate::prelude::*;

const KEY: CacheKey = [1; 32];

fn put(cache: &mut NearCache, now: Duration, age: Duration, remaining: Duration) {
    let attributes = CacheEntryAttributes {
        entry: "e",
        host: "h",
        url: "/a",
        tags: None,
    };
    let entry = NearCacheEntry {
        attributes,
        reply: &Reply::default(),
        fetch_start: FetchStart::of_age(now, age),
        minor_expiry: now + remaining / 2,
        major_expiry: now + remaining,
    };
    cache.put(now, KEY, entry);
}

/// Regression: a response older than the edge's process counted as fetched when the process
/// started, so it outlived a shortened time to live, and replaced a newer response.
#[test]
fn response_older_than_the_process_keeps_its_age() {
    const UPTIME: Duration = Duration::from_secs(1);
    let seconds = Duration::from_secs;
    let mut cache = NearCache::new(1 << 20);
    put(&mut cache, UPTIME, seconds(9), seconds(10));
    put(&mut cache, UPTIME, seconds(15), seconds(5));
    let found = cache.look_up(UPTIME, &KEY, seconds(20));
    assert!(
        matches!(found, NearCacheLookup::Fresh { age, .. } if age == seconds(9)),
        "{found:?}"
    );
    assert_eq!(
        cache.look_up(UPTIME, &KEY, seconds(8)),
        NearCacheLookup::Missing
    );
}
