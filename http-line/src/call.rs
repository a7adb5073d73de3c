use crate::prelude::*;

/// A request to another address; comes back once as `Came` with its `id`,
/// unless dropped before.
#[derive(Debug, Clone)]
pub struct Call {
    /// Unlike that of any other call under way.
    pub id: u64,
    pub to: SocketAddr,
    pub method: String,
    pub target: String,
    /// `Host` is the caller's to give; lengths and encodings are left out.
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
    /// For the whole call, from `HttpLine::call` on.
    pub limit: Duration,
    /// The request that this is a try of, if its answer could be taken for
    /// that of another try.
    pub request: Option<u64>,
    /// The answer must carry this header with this value.
    pub echo: Option<(String, String)>,
    /// Most connections to this address from this process.
    pub sessions: usize,
}

impl Call {
    /// Nothing in it can end a line of the head early.
    pub fn check(&self) -> std::result::Result<(), String> {
        if !token(&self.method) {
            return Err("the method is no token".into());
        }
        if self.target.is_empty() || self.target.bytes().any(|b| b <= b' ' || b == 0x7f) {
            return Err("the target has controls, spaces or nothing".into());
        }
        match self.headers.iter().find(|pair| !header_fits(pair)) {
            Some((name, _)) => Err(format!("header {name:?} has controls")),
            None => Ok(()),
        }
    }
}

pub(crate) fn token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

pub(crate) fn header_fits((name, value): &(String, String)) -> bool {
    token(name)
        && value
            .bytes()
            .all(|b| b == b'\t' || (b >= b' ' && b != 0x7f))
}
