//! Tests of the `configuration` module.
use crate::prelude::*;

#[test]
fn configuration_findings_are_reported_with_pointers() {
    let text = r#"{"groups":[{"service":"book","rate":0,"concurrency":2,"key":"xx"},
        {"service":"book","rate":5,"concurrency":0,"key":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","colour":1}],
        "entries":[{"name":"a","path":"x","group":"none","rank":1,"kind":"cached"},
        {"name":"a","path":"/k","rank":"high"}],"more":1}"#;
    let findings = Configuration::read(text).unwrap_err();
    let shown: Vec<String> = findings.iter().map(|finding| finding.to_string()).collect();
    expect_test::expect![[r#"
        /entries/0/cache_ttl_s: goes with kind cached, and only with it
        /entries/0/group: no such group
        /entries/0/path: must start with /
        /entries/1: invalid type: string "high", expected u32
        /groups/0/key: must be 32 bytes in base64
        /groups/0/rate: range out of bounds (min 0.5, max 10000.0)
        /groups/1/colour: unknown field
        /groups/1/concurrency: range out of bounds (min 1, max 1000)
        /groups/1/service: service has a group already
        /more: unknown field"#]]
    .assert_eq(&shown.join("\n"));
}

#[test]
fn entry_limit_is_enforced() {
    let text = |count: usize| {
        let entries: Vec<String> = (0..count)
            .map(|index| {
                format!(
                    r#"{{"name":"e{index}","path":"/p/{index}","group":"s","rank":1,"kind":"plain"}}"#
                )
            })
            .collect();
        let key = BASE64.encode([7u8; 32]);
        format!(
            r#"{{"groups":[{{"service":"s","rate":5,"concurrency":2,"key":"{key}"}}],"entries":[{}]}}"#,
            entries.join(",")
        )
    };
    assert_eq!(
        Configuration::read(&text(5000)).unwrap().entries.len(),
        5000
    );
    let findings = Configuration::read(&text(MAX_ENTRIES as usize + 1)).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].place, "/entries");
}
