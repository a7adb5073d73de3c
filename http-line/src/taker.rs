use crate::prelude::*;

/// Called on the loop thread: must not block.
pub trait Taker: Send + Sync {
    /// `line` names the connection and the place on it, and is never used
    /// twice; `face` is the index of the listener.
    fn asked(&self, line: u64, face: usize, asked: Asked);
    fn came(&self, id: u64, came: Came);
    /// Nobody waits for this answer any more: the caller has closed its
    /// connection, or that ends before the answer is written. Comes once at most
    /// for a request. A caller that only shut its writing side looks
    /// the same until something is written to it: what is told for it is still
    /// written if the connection stands.
    fn gone(&self, line: u64);
    /// The answer to what cannot be read as a request; its connection ends.
    fn refused(&self, status: u16, why: &str) -> Told {
        let headers = vec![("Content-Type".into(), "text/plain".into())];
        Told {
            status,
            headers,
            body: why.as_bytes().to_vec().into(),
            close: true,
        }
    }
}
