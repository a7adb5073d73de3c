//! What the end of a call proves about the request that it carried.
use crate::prelude::*;

/// Judges how a call ended. Two endings alone prove that the request did not
/// run: no byte of it was written, or the answer to this very call says so.
/// Anything else that is not the origin's whole answer proves nothing.
pub fn judge_call(
    protocol: &dyn ProtocolAdapter,
    call: &Call,
    came: ExchangeOutcome,
) -> CallOutcome {
    match came {
        Err(ExchangeError::NotSent(_)) => CallOutcome::Unreachable,
        Err(ExchangeError::Interrupted { reason, .. }) => CallOutcome::Failure(reason),
        Ok(ReceivedResponse {
            status,
            headers,
            body,
            delimited,
        }) => match protocol.judge(call, status, &headers, &body) {
            OriginVerdict::NotExecuted => CallOutcome::NotExecuted,
            OriginVerdict::WrongInstance => CallOutcome::WrongInstance,
            OriginVerdict::Rejected(why) => CallOutcome::Failure(why),
            OriginVerdict::Accepted { .. } if !whole(call, delimited) => {
                CallOutcome::Failure("the body may have been cut off".into())
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

/// Whether the body is known to be whole: by its framing, or by the digest
/// that a sealed answer carries.
fn whole(call: &Call, delimited: bool) -> bool {
    delimited || call.proof == Proof::Seal
}
