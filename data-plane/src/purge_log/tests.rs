//! Tests of which responses the purge log reports as clear.
use crate::prelude::*;

fn row(version: u64, prefix: &str) -> (String, Row) {
    let purge = Purge {
        prefix: Some(prefix.into()),
        ..Purge::default()
    };
    (
        format!("{version}"),
        Row {
            version,
            value: Value::Purge {
                purge,
                change: version,
            },
        },
    )
}

fn attributes(url: &str) -> CacheEntryAttributes<'_> {
    CacheEntryAttributes {
        entry: "e",
        host: "h",
        url,
        tags: Some(&[]),
    }
}

#[test]
fn response_is_clear_of_purges_before_its_fetch_only() {
    let mut purge_log = PurgeLog::default();
    purge_log.apply(Duration::ZERO, 2, &[row(1, "/a"), row(2, "/b")]);
    assert!(!purge_log.is_clear(0, attributes("/a/1")));
    assert!(purge_log.is_clear(1, attributes("/a/1")));
    assert!(!purge_log.is_clear(1, attributes("/b/1")));
    assert!(purge_log.is_clear(2, attributes("/b/1")));
}

#[test]
fn missed_purges_invalidate_older_responses() {
    let mut purge_log = PurgeLog::default();
    assert!(!purge_log.apply(Duration::ZERO, 1, &[row(1, "/a")]).has_gap);
    let applied = purge_log.apply(
        Duration::ZERO,
        MAX_RETAINED_PURGES + 5,
        &[row(MAX_RETAINED_PURGES + 5, "/z")],
    );
    assert!(applied.has_gap);
    assert!(!purge_log.is_clear(4, attributes("/other")));
    assert!(purge_log.is_clear(5, attributes("/other")));
}
