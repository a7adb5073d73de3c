use crate::prelude::*;

/// The words in which callers and origins are spoken to. It only translates:
/// what a request is worth, where it goes and what is remembered of it is
/// decided elsewhere.
pub trait Dialect: Send + Sync {
    /// How long the caller says it will wait.
    fn patience(&self, headers: &[(String, String)]) -> Option<Duration>;

    /// The key under which the caller's operation runs once.
    fn operation<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// What the caller calls its request, if it does: it goes on to the origin.
    fn name<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// The headers of a call in order, `Host` among them, and the header that
    /// its answer must carry, if that is asked of it.
    fn call(&self, call: &Call) -> CallWords;

    /// What an answer to `call` is, after it was read whole.
    fn judge(&self, call: &Call, status: u16, headers: &[(String, String)], body: &[u8]) -> Judged;

    /// What the caller of a request with these headers is told: a reply's own
    /// headers are in it already, a refusal becomes what callers understand.
    fn tell(&self, asked: &[(String, String)], answer: &Answer) -> TellWords;
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallWords {
    pub headers: Vec<(String, String)>,
    pub echo: Option<(String, String)>,
}

/// Status, headers beside those of framing, and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TellWords {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Judged {
    /// The origin's own answer: the headers that go on with it, and its tags.
    Own {
        headers: Vec<(String, String)>,
        tags: Vec<String>,
    },
    /// The origin says that it did not run it.
    NotRun,
    /// Another instance listens at that address; it did not run it.
    Stranger,
    /// Nobody's answer that could be passed on; why.
    Bad(String),
}
