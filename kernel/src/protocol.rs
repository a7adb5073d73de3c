//! The protocol adapter: how clients and origins are spoken to.
use crate::prelude::*;

/// How clients and origins are spoken to: the headers and statuses of one
/// platform. It only translates: what a request is worth, where it goes and
/// what is remembered of it is decided elsewhere.
pub trait ProtocolAdapter: Send + Sync {
    /// How long the client says it will wait.
    fn timeout(&self, headers: &[(String, String)]) -> Option<Duration>;

    /// The key under which the client's operation runs once.
    fn operation_key<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// The client's own id of its request, if it has one: it goes on to the
    /// origin.
    fn request_id<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// The headers of a call in order, `Host` among them, and the header that
    /// its response must carry, if any.
    fn origin_headers(&self, call: &Call) -> CallHeaders;

    /// What a response to `call` is, after it was read completely.
    fn classify(
        &self,
        call: &Call,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> OriginVerdict;

    /// What the client of a request with these headers gets: a reply's own
    /// headers are in it already, a rejection becomes what clients understand.
    fn client_response(&self, asked: &[(String, String)], answer: &ClientResponse) -> HttpResponse;
}

/// The headers of a call to an origin.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHeaders {
    /// Names and values in order.
    pub headers: Vec<(String, String)>,
    /// What its response must carry.
    pub echo: Option<(String, String)>,
}

/// A response to a client.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// Headers beside those of framing.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
}

/// What a response of an origin is.
#[derive(Debug, Clone, PartialEq)]
pub enum OriginVerdict {
    /// The origin's own response.
    Accepted {
        /// The headers that go on with it.
        headers: Vec<(String, String)>,
        /// What it is tagged with, for purges.
        tags: Vec<String>,
    },
    /// The origin states that it did not execute the request.
    NotExecuted,
    /// Another instance listens at that address; it did not run it.
    WrongInstance,
    /// Nothing that could be passed on; why.
    Rejected(String),
}
