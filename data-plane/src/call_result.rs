//! What the end of a call proves about the request that it carried.
use crate::prelude::*;

/// Judges how a call ended. Two endings alone prove that the request did not
/// run: no byte of it was written, or the answer to this very call says so.
/// Anything else that is not the origin's whole answer proves nothing.
pub fn judge_call(dialect: &dyn Dialect, call: &Call, came: Came) -> CallBack {
    match came {
        Came::Unsent(_) => CallBack::Refused,
        Came::Lost { why, .. } => CallBack::Bad(why),
        Came::Reply {
            status,
            headers,
            body,
            sized,
        } => match dialect.judge(call, status, &headers, &body) {
            Judged::NotRun => CallBack::NotRun,
            Judged::Stranger => CallBack::Stranger,
            Judged::Bad(why) => CallBack::Bad(why),
            Judged::Own { .. } if !whole(call, sized) => {
                CallBack::Bad("the body may have been cut off".into())
            }
            Judged::Own { headers, tags } => CallBack::Good(Reply {
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
