//! Calls to the HTTP interface of a control node.
use programs::prelude::*;

/// Timeout of a call, longer than a control node takes to respond.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A call to the HTTP interface.
pub struct ApiCall {
    /// Addresses of the control nodes, in the order in which they are contacted.
    pub to: Vec<SocketAddr>,
    /// HTTP method.
    pub method: &'static str,
    /// Path relative to `/.otterslip/v1/`.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Version to send in the `If-Match` header.
    pub if_match: Option<u64>,
    /// Version to read from the history and put as the body.
    pub put_back: Option<u64>,
}

/// Response of a control node.
pub struct ApiResponse {
    /// Status code.
    pub status: u16,
    /// Value of the `ETag` header.
    pub tag: Option<String>,
    /// Response body.
    pub text: String,
}

impl ApiCall {
    /// Creates a GET call whose path is still to be set.
    pub fn get_from(to: Vec<SocketAddr>) -> ApiCall {
        ApiCall {
            to,
            method: "GET",
            path: String::new(),
            body: Vec::new(),
            if_match: None,
            put_back: None,
        }
    }

    /// Sends the call to one control node.
    pub fn send(&self, to: SocketAddr) -> attohttpc::Result<ApiResponse> {
        let method = attohttpc::Method::from_bytes(self.method.as_bytes())
            .expect("the methods of this program are valid");
        let url = format!("http://{to}/.otterslip/v1/{}", self.path);
        let mut request = attohttpc::RequestBuilder::new(method, url)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .timeout(TIMEOUT);
        if let Some(version) = self.if_match {
            request = request.header("If-Match", format!("\"{version}\""));
        }
        let response = request.bytes(self.body.as_slice()).send()?;
        let tag = response.headers().get("etag");
        Ok(ApiResponse {
            status: response.status().as_u16(),
            tag: tag.and_then(|tag| tag.to_str().ok()).map(Into::into),
            text: response.text_utf8()?,
        })
    }
}
