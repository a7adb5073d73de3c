//! The protocol adapter: translates between the node and the platform's HTTP conventions.
use crate::prelude::*;

/// Translates between the node and the headers and statuses of one platform. It makes
/// no decisions: priority, routing and recorded outcomes are determined elsewhere.
pub trait ProtocolAdapter: Send + Sync {
    /// Returns the client's timeout, if the headers contain one.
    fn timeout(&self, headers: &[(String, String)]) -> Option<Duration>;

    /// Returns the operation key under which the request is executed at most once.
    fn operation_key<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// Returns the client's own request id, if any, which is forwarded to the origin.
    fn request_id<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str>;

    /// Returns the headers of a call in order, including `Host`, and the header that
    /// its response must contain, if any.
    fn origin_headers(&self, call: &Call) -> CallHeaders;

    /// Classifies a response to `call` that was read completely.
    fn classify(
        &self,
        call: &Call,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> OriginVerdict;

    /// Converts a response for the client of a request with these headers. The
    /// headers of a reply are already in it; a rejection is converted to the
    /// platform's error format.
    fn client_response(
        &self,
        request_headers: &[(String, String)],
        response: &ClientResponse,
    ) -> HttpResponse;
}

/// The headers of a call to an origin.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHeaders {
    /// Names and values in order.
    pub headers: Vec<(String, String)>,
    /// Header that the response must contain.
    pub required_response_header: Option<(String, String)>,
}

/// A response to a client.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// Headers, without those of HTTP framing.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
}

/// The classification of an origin's response.
#[derive(Debug, Clone, PartialEq)]
pub enum OriginVerdict {
    /// A valid response of the origin.
    Accepted {
        /// Headers to forward with the response.
        headers: Vec<(String, String)>,
        /// Tags of the response, matched by purges.
        tags: Vec<String>,
    },
    /// The origin states that it did not execute the request.
    NotExecuted,
    /// Another instance listens at the address; it did not execute the request.
    WrongInstance,
    /// The response is invalid and not forwarded; holds the reason.
    Rejected(String),
}
