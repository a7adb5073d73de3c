//! Tests of `operator_api`.

#[test]
fn items_are_validated_singly_and_removal_is_explicit() {
    let group = r#"{"service":"s","rate":9.50,"concurrency":2,"proof":"named"}"#;
    let body = format!(
        r#"[{{"kind":"group","name":"s","revision":1,"value":{group}}},{{"kind":"entry","name":"e","revision":2,"value":null}}]"#
    );
    let items = super::items::parse_items(&body).unwrap();
    assert_eq!(
        (items[0].text.as_deref(), &*items[0].source),
        (Some(group), group),
        "the text is retained as sent"
    );
    assert_eq!((items[1].text.as_deref(), items[1].revision), (None, 2));
    let body = body
        .replace("9.50", "0")
        .replace(r#","value":null"#, "")
        .replace(']', r#",{"kind":"odd"}]"#);
    let places: Vec<String> = super::items::parse_items(&body)
        .unwrap_err()
        .into_iter()
        .map(|finding| finding.place)
        .collect();
    assert_eq!(places, ["/0/rate", "/1", "/2"]);
}

#[test]
fn conditional_change_id_is_stable_and_unconditional_is_fresh() {
    let id = |expect, content| super::change_id(expect, content).unwrap();
    assert_eq!(id(Some(4), "a"), id(Some(4), "a"));
    assert_ne!(id(Some(4), "a"), id(Some(5), "a"));
    assert_ne!(id(Some(4), "a"), id(Some(4), "b"));
    assert_ne!(id(None, "a"), id(None, "a"));
}

#[test]
fn revision_conflict_names_items_and_reports_not_run() {
    let findings = vec![crate::prelude::Finding::new("/0/revision", "item/entry/a")];
    let body_of = |outcome| {
        let response = super::change_response(outcome);
        let (mut reader, _) = response.data.into_reader_and_size();
        let mut text = String::new();
        std::io::Read::read_to_string(&mut reader, &mut text).unwrap();
        (
            response.status_code,
            serde_json::from_str::<serde_json::Value>(&text).unwrap(),
        )
    };
    let (status, body) = body_of(crate::prelude::ChangeOutcome::RevisionConflict(
        findings.clone(),
    ));
    assert_eq!(
        (status, &body["code"], &body["outcome"]),
        (409, &"revision_conflict".into(), &"not_run".into())
    );
    assert_eq!(body["findings"][0]["place"], "/0/revision");
    let (status, body) = body_of(crate::prelude::ChangeOutcome::RevisionForgotten(findings));
    assert_eq!(
        (status, &body["code"], &body["outcome"]),
        (410, &"revision_forgotten".into(), &"unknown".into())
    );
}
