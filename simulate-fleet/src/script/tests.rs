//! Tests of reading and writing scripts.
use crate::prelude::*;

#[test]
fn schedule_script_round_trips() {
    let deployment = Deployment::find("small").unwrap();
    for seed in 1..40 {
        let list = Schedule::random(&deployment, 3, seed, Duration::from_secs(120));
        let text = Script::write(&list, &deployment);
        assert!(
            Script::read(&text, &deployment, 3).unwrap() == list,
            "seed {seed}: {text}"
        );
    }
}

#[test]
fn script_findings_are_reported_together() {
    let deployment = Deployment::find("small").unwrap();
    let good = r#"[{"at":8,"do":"kill","to":"edge-1"},{"at":9.5,"do":"cut","to":"control-0","other":"edge-3"},{"at":12,"do":"heal"}]"#;
    let list = Script::read(good, &deployment, 3).unwrap();
    assert_eq!(
        list[1],
        (
            Duration::from_millis(9500),
            Fault::DropLink(NodeId::Control(0), NodeId::Edge(3))
        )
    );
    let bad = r#"[{"at":-1,"do":"kill","to":"edge-9"},{"at":1,"do":"explode"},{"at":1,"do":"pause","to":"edge-0"},
        {"at":1,"do":"heal","why":"x"},{"do":"heal"},{"at":1,"do":"cut","to":"edge-1"},{"at":2,"do":"origin-down","to":"edge-1"}]"#;
    let found: Vec<String> = Script::read(bad, &deployment, 3)
        .unwrap_err()
        .into_iter()
        .map(|finding| finding.place)
        .collect();
    assert_eq!(
        found,
        [
            "/0/at",
            "/0/to",
            "/1/do",
            "/2/seconds",
            "/3",
            "/4",
            "/5/other",
            "/6/to"
        ]
    );
}
