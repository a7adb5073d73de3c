use crate::prelude::*;

/// The words in which callers and origins are spoken to. It only translates:
/// what a request is worth, where it goes and what is remembered of it is
/// decided elsewhere.
pub trait ProtocolAdapter: Send + Sync {
    /// How long the caller says it will wait.
    fn patience(&self, headers: &[(String, String)]) -> Option<Duration>;

    /// The key under which the caller's operation runs once.
    fn operation<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// What the caller calls its request, if it does: it goes on to the origin.
    fn name<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// The headers of a call in order, `NodeHost` among them, and the header that
    /// its answer must carry, if that is asked of it.
    fn call(&self, call: &Call) -> CallHeaders;

    /// What an answer to `call` is, after it was read whole.
    fn judge(
        &self,
        call: &Call,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> OriginVerdict;

    /// What the caller of a request with these headers is told: a reply's own
    /// headers are in it already, a refusal becomes what callers understand.
    fn tell(&self, asked: &[(String, String)], answer: &ClientResponse) -> HttpResponse;
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHeaders {
    pub headers: Vec<(String, String)>,
    pub echo: Option<(String, String)>,
}

/// Status, headers beside those of framing, and body.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum OriginVerdict {
    /// The origin's own answer: the headers that go on with it, and its tags.
    Accepted {
        headers: Vec<(String, String)>,
        tags: Vec<String>,
    },
    /// The origin says that it did not run it.
    NotExecuted,
    /// Another instance listens at that address; it did not run it.
    WrongInstance,
    /// Nobody's answer that could be passed on; why.
    Rejected(String),
}
