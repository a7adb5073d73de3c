/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Came {
    /// A whole answer; the body is decoded.
    Reply {
        status: u16,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
        /// A length or the last chunk told the body's end. If not, only the
        /// connection's end did, and the body may have been cut off.
        sized: bool,
    },
    /// Nothing was sent: no connection, refused, the limit ran out before
    /// anything was written, or too many sessions.
    Unsent(String),
    /// Something may have been sent and no whole answer came. `reused`: the
    /// connection had served a call before and ended before any byte of an
    /// answer, as it does when the other side closes an idle one.
    Lost { why: String, reused: bool },
}
