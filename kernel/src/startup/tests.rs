//! Tests of the `startup` module.
use crate::prelude::*;

#[test]
fn all_findings_are_reported_together() {
    let words = [
        "--mesh",
        "nowhere",
        "--seeds",
        "127.0.0.1:1,127.0.0.1:1,127.0.0.1:2",
        "--odd",
    ];
    let flags = pico_args::Arguments::from_vec(words.iter().map(|word| word.into()).collect());
    let findings = Startup::read(flags, true).unwrap_err();
    let places: Vec<&str> = findings
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    assert_eq!(
        places,
        ["--mesh", "--odd", "mesh", "http", "zone", "seeds", "data"]
    );
}

#[test]
fn fewer_than_three_seeds_require_gather_ms() {
    let read = |more: &[&str]| {
        let words = [
            &[
                "--mesh",
                "127.0.0.1:1",
                "--http",
                "127.0.0.1:2",
                "--zone",
                "a",
                "--data",
                "d",
            ],
            more,
        ]
        .concat();
        Startup::read(
            pico_args::Arguments::from_vec(words.iter().map(|word| word.into()).collect()),
            true,
        )
    };
    let findings = read(&["--seeds", "127.0.0.1:1"]).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings:?}");
    let startup = read(&[
        "--seeds",
        "127.0.0.1:1",
        "--gather-ms",
        "1500",
        "--founding",
        "true",
    ])
    .unwrap();
    assert!(startup.founding && startup.gather_duration() == Some(Duration::from_millis(1500)));
    let again = [
        "--seeds",
        "127.0.0.1:1",
        "--gather-ms",
        "1",
        "--refounding",
        "true",
    ];
    let startup = read(&again).unwrap();
    assert!(startup.refounding && !startup.founding);
    let both = [&again[..], &["--founding", "true"]].concat();
    let findings = read(&both).unwrap_err();
    assert_eq!(findings.len(), 1, "{findings:?}");
}
