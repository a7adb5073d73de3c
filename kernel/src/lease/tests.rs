//! Tests of the `lease` module.
use crate::prelude::*;

/// Wall clocks can jump, so no decision of the product may depend on one.
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
    let mut file_count = 0;
    while let Some(folder) = folders.pop() {
        for file in std::fs::read_dir(folder).unwrap() {
            let path = file.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else {
                file_count += 1;
                let text = std::fs::read_to_string(&path).unwrap();
                let wall_clock_type = ["System", "Time"].concat();
                assert!(
                    !text.contains(&wall_clock_type),
                    "{} reads a wall clock",
                    path.display()
                );
            }
        }
    }
    assert!(file_count > 30);
}
