//! What the end of a call proves about the request that it carried.
use crate::prelude::*;

/// Judges how a call ended. Two endings alone prove that the request did not
/// run: no byte of it was written, or the answer to this very call says so.
/// Anything else that is not the origin's whole answer proves nothing.
pub fn judge_call(protocol: &dyn ProtocolAdapter, call: &Call, came: Came) -> CallOutcome {
    match came {
        Came::Unsent(_) => CallOutcome::Unreachable,
        Came::Lost { why, .. } => CallOutcome::Failure(why),
        Came::Reply {
            status,
            headers,
            body,
            sized,
        } => match protocol.judge(call, status, &headers, &body) {
            OriginVerdict::NotExecuted => CallOutcome::NotExecuted,
            OriginVerdict::WrongInstance => CallOutcome::WrongInstance,
            OriginVerdict::Rejected(why) => CallOutcome::Failure(why),
            OriginVerdict::Accepted { .. } if !whole(call, sized) => {
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
fn whole(call: &Call, sized: bool) -> bool {
    sized || call.proof == Proof::Seal
}
