//! Tests of the `route_table` module.
use crate::prelude::*;

#[test]
fn longest_path_match_wins_then_host() {
    let entry = |name: &str, host: Option<&str>, path: &str| Entry {
        name: name.into(),
        host: host.map(Into::into),
        path: path.into(),
        methods: vec!["GET".into()],
        group: "g".into(),
        rank: 1,
        kind: Kind::Plain,
        cache_ttl_s: None,
        deadline_ms: 100,
        split: vec![],
        attempts: None,
        aim_ms: None,
    };
    let entries = vec![
        entry("root", None, "/"),
        entry("list", None, "/list"),
        entry("ours", Some("a.example"), "/list"),
        entry("tiles", None, "/t/"),
    ];
    let table = RouteTable::new(
        1,
        Configuration {
            groups: vec![],
            entries,
        },
    );
    let find = |host: &str, url: &str| {
        table
            .find(host, url, "GET")
            .map(|index| table.document.entries[index].name.clone())
    };
    assert_eq!(find("b.example", "/list/4?x=/t/").as_deref(), Some("list"));
    assert_eq!(find("A.example:80", "/list").as_deref(), Some("ours"));
    assert_eq!(find("b.example", "/listing").as_deref(), Some("root"));
    assert_eq!(find("b.example", "/t/1/2").as_deref(), Some("tiles"));
    assert_eq!(find("b.example", "/t").as_deref(), Some("root"));
    assert_eq!(table.find("b.example", "/t", "POST"), None);
}
