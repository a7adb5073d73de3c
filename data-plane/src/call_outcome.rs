//! Classifies the ends of calls by whether their request may have been executed.
use crate::prelude::*;

/// Classifies how a call ended. Only two endings prove that the request was not executed:
/// no byte of it was written, or the response to this call says so. After any other end
/// without the origin's complete response, the request may have been executed.
pub fn classify_call_outcome(
    protocol: &dyn ProtocolAdapter,
    call: &Call,
    exchange_outcome: ExchangeOutcome,
) -> CallOutcome {
    match exchange_outcome {
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

/// Returns true if the body is known to be complete: by its framing, or by the digest of
/// a signed response.
fn is_complete(call: &Call, is_delimited: bool) -> bool {
    is_delimited || call.proof == Proof::Seal
}
