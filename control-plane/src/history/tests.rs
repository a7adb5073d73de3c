//! Tests of `history`.
use crate::prelude::*;

/// Maximum time to wait for the writer.
const WRITER_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn versions_are_listed_and_diffed_and_broken_store_fails() {
    let data = std::env::temp_dir().join(format!("otterslip-history-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data);
    std::fs::create_dir_all(&data).unwrap();
    let store = History::open(&data).unwrap();
    store.store_version(3, "one\ntwo\n").unwrap();
    store.store_version(7, "one\nthree\n").unwrap();
    store.store_version(7, "one\nthree\n").unwrap();
    assert_eq!(store.versions().unwrap(), [3, 7]);
    assert_eq!(store.text(3).unwrap(), b"one\ntwo\n");
    let diff = store.diff(3, 7).unwrap();
    assert!(
        diff.contains("-two") && diff.contains("+three") && !diff.contains("-one"),
        "{diff}"
    );
    assert!(store.text(4).is_err());
    // Another file in place of the store causes an error and no panic.
    std::fs::remove_dir_all(data.join("history")).unwrap();
    std::fs::write(data.join("history"), "x").unwrap();
    assert!(History::open(&data).is_err());
    let sender = History::spawn_writer(data.clone());
    let text: Arc<str> = "text".into();
    let in_use = Arc::downgrade(&text);
    assert!(sender.try_send((9, text)).is_ok());
    // The writer drops the text once it has tried to store it. Until then it may create
    // files in the folder that is removed below.
    let deadline = Instant::now() + WRITER_TIMEOUT;
    while in_use.strong_count() > 0 {
        assert!(
            Instant::now() < deadline,
            "the writer has not ended its attempt"
        );
        thread::sleep(Duration::from_millis(1));
    }
    std::fs::remove_dir_all(&data).unwrap();
}
