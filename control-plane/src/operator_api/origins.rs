//! Requests for the list of origins, which is replaced as a unit.

use super::items::finding_at;
use super::responses::{change_response, invalid};
use super::{HandlerResult, body_text, change_id, expected_version, parse_json, submit};
use crate::prelude::*;

/// Maximum number of origins in a list.
const MAX_LISTED_ORIGINS: usize = 1000;

/// Replaces the list of origins by the one in the request's body.
pub(super) fn put(port: &Port, request: &rouille::Request) -> HandlerResult<rouille::Response> {
    let text = body_text(request)?;
    let elements: Vec<serde_json::Value> = parse_json(&text)?;
    let origins = parse_origins(elements).map_err(|findings| invalid(&findings))?;
    let expect = expected_version(request)?;
    let change = Change::PutOrigins {
        list: Arc::new(origins),
        expect,
        change: change_id(expect, &text)?,
        acknowledge: Acknowledge::Settled,
    };
    let outcome = submit(port, ORIGINS_PARTITION, &change);
    Ok(change_response(outcome))
}

/// Parses the origins, or returns all findings in the list.
fn parse_origins(elements: Vec<serde_json::Value>) -> Result<Vec<Origin>, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut origins: Vec<Origin> = Vec::new();
    let mut addresses = HashSet::new();
    if elements.len() > MAX_LISTED_ORIGINS {
        let text = format!("more than {MAX_LISTED_ORIGINS} origins");
        findings.push(Finding::new("", text));
    }
    for (at, element) in elements.into_iter().enumerate() {
        match serde_json::from_value::<Origin>(element) {
            Err(error) => findings.push(Finding::new(format!("/{at}"), error.to_string())),
            Ok(origin) => {
                let own_findings = findings_of(origin.validate()).into_iter();
                findings.extend(own_findings.map(|finding| finding_at(at, finding)));
                if !addresses.insert(origin.address) {
                    let place = format!("/{at}/address");
                    findings.push(Finding::new(place, "address is listed already"));
                }
                origins.push(origin);
            }
        }
    }
    if findings.is_empty() {
        Ok(origins)
    } else {
        Err(findings)
    }
}

/// Returns the document that shows the list of origins.
pub(super) fn show(version: u64, rows: Vec<(String, Row)>) -> serde_json::Value {
    let origins = rows.into_iter().find_map(|(_, row)| match row.value {
        Value::Origins { list, .. } => Some(list),
        _ => None,
    });
    serde_json::json!({ "version": version, "origins": origins.unwrap_or_default() })
}
