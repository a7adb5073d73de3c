//! HTTP interface of a control node for operators. Its paths, names and texts are stable.

mod history;
mod items;
mod origins;
mod responses;
#[cfg(test)]
mod tests;

use crate::prelude::*;
use responses::{change_response, invalid, no_reply, outcome_unknown};

/// Maximum time that a call waits for its outcome; longer than a control node retries it.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Result of handling a request: a value, or the response that refuses the request.
type HandlerResult<T> = Result<T, rouille::Response>;

inventory::submit!(PlugIn {
    name: "operators",
    program: "control-node",
    order: 100,
    serve
});

fn serve(port: &Port, request: &rouille::Request) -> Option<rouille::Response> {
    let path = request.raw_url().strip_prefix("/.otterslip/v1/")?;
    Some(match (request.method(), path) {
        ("GET", "configuration") => get_configuration(port),
        ("PUT", "configuration") => into_response(put_configuration(port, request)),
        ("POST", "configuration/check") => into_response(check_configuration(request)),
        ("POST", "purges") => into_response(add_purge(port, request)),
        ("POST", "ledger/open") => into_response(open_ledger(port, request)),
        ("GET", "origins") => list(port, ORIGINS_PARTITION, &origins::show),
        ("PUT", "origins") => into_response(origins::put(port, request)),
        ("GET", "items") => items::get(port),
        ("PATCH", "items") => into_response(items::put(port, request)),
        ("GET", "duties") => list(port, ASSIGNMENTS_PARTITION, &show_assignments),
        ("GET", "state") => get_state(port),
        ("GET", _) if path == "history" || path.starts_with("history/") => history::get(port, path),
        _ => return None,
    })
}

fn into_response(result: HandlerResult<rouille::Response>) -> rouille::Response {
    result.unwrap_or_else(|refusal| refusal)
}

/// Returns the request's body as text.
fn body_text(request: &rouille::Request) -> HandlerResult<String> {
    let bytes =
        read_body(request, CONFIGURATION_BYTES).map_err(|refusal| rejection_response(&refusal))?;
    String::from_utf8(bytes).map_err(|_| invalid(&[Finding::new("", "not UTF-8")]))
}

/// Parses a JSON document, or returns a refusal that describes the syntax error.
fn parse_json<T: serde::de::DeserializeOwned>(text: &str) -> HandlerResult<T> {
    serde_json::from_str(text).map_err(|error| invalid(&[Finding::new("", error.to_string())]))
}

/// Submits a change to the leader of its partition, and waits for the outcome.
fn submit(port: &Port, partition: u8, change: &Change) -> ChangeOutcome {
    let input = |id| Input::Operator {
        id,
        request: OperatorRequest::Change {
            partition,
            change: change.clone(),
        },
    };
    match port.request(OPERATOR_REQUEST_TIMEOUT, &input) {
        Some(Output::OperatorResponse {
            response: OperatorResponse::ChangeOutcome(outcome),
            ..
        }) => outcome,
        _ => ChangeOutcome::Unknown,
    }
}

fn get_state(port: &Port) -> rouille::Response {
    let input = |id| Input::Operator {
        id,
        request: OperatorRequest::State,
    };
    match port.request(OPERATOR_REQUEST_TIMEOUT, &input) {
        Some(Output::OperatorResponse {
            response: OperatorResponse::State(state),
            ..
        }) => json_response(200, &state),
        _ => rejection_response(&outcome_unknown()),
    }
}

fn get_configuration(port: &Port) -> rouille::Response {
    match submit(port, CONFIGURATION_PARTITION, &Change::GetConfiguration) {
        ChangeOutcome::Configuration { version: 0, .. } => rejection_response(&Rejection::not_run(
            404,
            "no_configuration",
            "none was put yet",
        )),
        ChangeOutcome::Configuration { version, text } => {
            rouille::Response::from_data("application/json", text.as_bytes())
                .with_additional_header("ETag", format!("\"{version}\""))
        }
        other => no_reply(&other),
    }
}

fn check_configuration(request: &rouille::Request) -> HandlerResult<rouille::Response> {
    Configuration::read(&body_text(request)?).map_err(|findings| invalid(&findings))?;
    Ok(json_response(200, &serde_json::json!({ "valid": true })))
}

fn put_configuration(port: &Port, request: &rouille::Request) -> HandlerResult<rouille::Response> {
    let text = body_text(request)?;
    Configuration::read(&text).map_err(|findings| invalid(&findings))?;
    let expect = expected_version(request)?;
    let change = Change::PutConfiguration {
        change: change_id(expect, &text)?,
        text: text.into(),
        expect,
    };
    let outcome = submit(port, CONFIGURATION_PARTITION, &change);
    Ok(change_response(outcome))
}

/// Returns the version that a change expects to replace, if it names one.
fn expected_version(request: &rouille::Request) -> HandlerResult<Option<u64>> {
    let read = |tag: &str| tag.trim_matches('"').parse();
    let malformed = |_| {
        rejection_response(&Rejection::not_run(
            400,
            "if_match_malformed",
            "If-Match must be a version as given in ETag",
        ))
    };
    request
        .header("If-Match")
        .map(read)
        .transpose()
        .map_err(malformed)
}

fn add_purge(port: &Port, request: &rouille::Request) -> HandlerResult<rouille::Response> {
    let purge: Purge = parse_json(&body_text(request)?)?;
    let findings = purge.findings();
    if !findings.is_empty() {
        return Err(invalid(&findings));
    }
    let change = new_change_id()?;
    let outcome = submit(port, PURGES_PARTITION, &Change::AddPurge { purge, change });
    Ok(change_response(outcome))
}

/// Body of a request to open the ledger, by which an operator confirms that no operation that may be retried ran before
/// this generation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenLedger {
    /// Generation as shown by `state`; required so that an operator does not open the ledger of another generation by
    /// mistake.
    #[serde(rename = "realm")]
    generation: String,
}

fn open_ledger(port: &Port, request: &rouille::Request) -> HandlerResult<rouille::Response> {
    let open: OpenLedger = parse_json(&body_text(request)?)?;
    let generation = u64::from_str_radix(&open.generation, 16).map_err(|_| {
        let text = "must be 16 hexadecimal digits, as state shows it";
        invalid(&[Finding::new("/realm", text)])
    })?;
    let change = Change::OpenLedger { generation };
    let outcome = submit(port, ASSIGNMENTS_PARTITION, &change);
    Ok(change_response(outcome))
}

/// Returns the id of a change. A change that replaces a given version has the same id when it is retried, at any node,
/// since that version is current only once. Without a version, the same content is another change each time.
fn change_id(expect: Option<u64>, content: &str) -> HandlerResult<u64> {
    match expect {
        Some(version) => Ok(idempotent_change_id(version, content)),
        None => new_change_id(),
    }
}

fn idempotent_change_id(replaced: u64, content: &str) -> u64 {
    let hash = Sha256::new()
        .chain_update(replaced.to_be_bytes())
        .chain_update(content.as_bytes())
        .finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("eight bytes"))
}

fn new_change_id() -> HandlerResult<u64> {
    new_incarnation().map_err(|error| {
        let text = error.to_string();
        rejection_response(&Rejection::not_run(500, "no_randomness", &text))
    })
}

/// Returns a response with the rows of a partition.
fn list(
    port: &Port,
    partition: u8,
    show: &dyn Fn(u64, Vec<(String, Row)>) -> serde_json::Value,
) -> rouille::Response {
    match submit(port, partition, &Change::List) {
        ChangeOutcome::Rows { version, rows } => json_response(200, &show(version, rows)),
        other => no_reply(&other),
    }
}

fn show_assignments(version: u64, rows: Vec<(String, Row)>) -> serde_json::Value {
    let assignments = rows.into_iter().filter_map(|(name, row)| match row.value {
        Value::Assignment(assignment) => Some(show_assignment(&name, &assignment)),
        _ => None,
    });
    let assignments: Vec<serde_json::Value> = assignments.collect();
    serde_json::json!({ "version": version, "duties": assignments })
}

fn show_assignment(name: &str, assignment: &Assignment) -> serde_json::Value {
    let owner = assignment.owner.map(|peer| peer.address.to_string());
    serde_json::json!({ "duty": name, "epoch": assignment.epoch, "holder": owner })
}
