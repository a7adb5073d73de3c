//! What the end of a call proves about the request that it carried.
use crate::prelude::*;

/// Judges how a call ended. Two endings alone prove that the request was not
/// executed: no byte of it was written, or the response to this very call says
/// so. Anything else that is not the origin's complete response proves nothing.
pub fn judge_call(
    protocol: &dyn ProtocolAdapter,
    call: &Call,
    ending: ExchangeOutcome,
) -> CallOutcome {
    match ending {
        Err(ExchangeError::NotSent(_)) => CallOutcome::Unreachable,
        Err(ExchangeError::Interrupted { reason, .. }) => CallOutcome::Failure(reason),
        Ok(ReceivedResponse {
            status,
            headers,
            body,
            delimited,
        }) => match protocol.classify(call, status, &headers, &body) {
            OriginVerdict::NotExecuted => CallOutcome::NotExecuted,
            OriginVerdict::WrongInstance => CallOutcome::WrongInstance,
            OriginVerdict::Rejected(reason) => CallOutcome::Failure(reason),
            OriginVerdict::Accepted { .. } if !is_complete(call, delimited) => {
                CallOutcome::Failure("the body may have been truncated".into())
            }
            OriginVerdict::Accepted { headers, tags } => CallOutcome::Success(Reply {
                status,
                headers,
                body: Arc::new(body),
                tags,
            }),
        },
    }
}

/// Whether the body is known to be complete: by its framing, or by the digest
/// that a signed response carries.
fn is_complete(call: &Call, is_delimited: bool) -> bool {
    is_delimited || call.proof == Proof::Seal
}
