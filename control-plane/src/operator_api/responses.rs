//! Responses to operators, by the outcome of their changes.

use crate::prelude::*;

/// Time after which a caller may retry at an isolated node.
const NO_MAJORITY_RETRY: Duration = Duration::from_secs(1);

/// Returns the rejection of a call for which the leader reported no outcome in time.
pub(super) fn outcome_unknown() -> Rejection {
    Rejection::unknown(
        503,
        "outcome_unknown",
        "no answer came from the owner in time; read back before trying again",
    )
}

/// Returns the rejection of a call to an isolated node: the node did nothing, and does not know the current state.
fn no_majority() -> Rejection {
    let text = "this node is not in contact with a majority; ask another one";
    Rejection::not_run(503, "no_majority", text).with_retry_after(NO_MAJORITY_RETRY)
}

/// Returns the response to an invalid request, with its findings.
pub(super) fn invalid(findings: &[Finding]) -> rouille::Response {
    let body = serde_json::json!({
        "code": "invalid",
        "outcome": "not_run",
        "text": "nothing took effect",
        "findings": findings,
    });
    json_response(422, &body)
}

/// Returns the response to a call without an outcome from the leader.
pub(super) fn no_reply(outcome: &ChangeOutcome) -> rouille::Response {
    match outcome {
        ChangeOutcome::NoMajority => rejection_response(&no_majority()),
        _ => rejection_response(&outcome_unknown()),
    }
}

/// Returns the response to a change.
pub(super) fn change_response(outcome: ChangeOutcome) -> rouille::Response {
    match outcome {
        ChangeOutcome::Acknowledged { version } => {
            json_response(200, &serde_json::json!({ "version": version }))
                .with_additional_header("ETag", format!("\"{version}\""))
        }
        ChangeOutcome::VersionConflict { version, .. } => version_conflict(version),
        ChangeOutcome::Findings(findings) => invalid(&findings),
        ChangeOutcome::RevisionConflict(findings) => revision_conflict(&findings),
        ChangeOutcome::RevisionForgotten(findings) => revision_forgotten(&findings),
        other => no_reply(&other),
    }
}

fn version_conflict(version: u64) -> rouille::Response {
    let body = serde_json::json!({
        "code": "raced",
        "outcome": "not_run",
        "text": "another change came first",
        "version": version,
    });
    json_response(409, &body)
}

/// Returns the response that lists the items whose revision was accepted with different content.
fn revision_conflict(findings: &[Finding]) -> rouille::Response {
    let body = serde_json::json!({
        "code": "revision_conflict",
        "outcome": "not_run",
        "text": "a revision was accepted with another content; nothing took effect",
        "findings": findings,
    });
    json_response(409, &body)
}

/// Returns the response that lists the items whose revision is older than all remembered ones.
fn revision_forgotten(findings: &[Finding]) -> rouille::Response {
    let body = serde_json::json!({
        "code": "revision_forgotten",
        "outcome": "unknown",
        "text": "whether these revisions were accepted is not known any more; newer ones stand",
        "findings": findings,
    });
    json_response(410, &body)
}
