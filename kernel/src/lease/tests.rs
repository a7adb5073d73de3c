//! Tests of `lease`.
use crate::prelude::*;

/// Clocks jump: nothing the product decides may hang on one that can.
#[test]
fn product_reads_no_wall_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut folders: Vec<PathBuf> = [
        "kernel",
        "segment-log",
        "control-plane",
        "data-plane",
        "programs",
    ]
    .map(|name| root.join(name).join("src"))
    .into();
    let mut read = 0;
    while let Some(folder) = folders.pop() {
        for file in std::fs::read_dir(folder).unwrap() {
            let path = file.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else {
                read += 1;
                let text = std::fs::read_to_string(&path).unwrap();
                let word = ["System", "Time"].concat();
                assert!(
                    !text.contains(&word),
                    "{} reads a wall clock",
                    path.display()
                );
            }
        }
    }
    assert!(read > 30);
}
