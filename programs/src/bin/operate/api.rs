//! Calls of a control node's HTTP interface.
use programs::prelude::*;

/// Longer than a control node takes to answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// One call, ready to be made.
pub struct ApiCall {
    /// Control nodes, in the order in which they are tried.
    pub to: Vec<SocketAddr>,
    pub method: &'static str,
    /// Below `/.otterslip/v1/`.
    pub path: String,
    pub body: Vec<u8>,
    pub if_match: Option<u64>,
    /// This version is read from the history first, then put.
    pub put_back: Option<u64>,
}

pub struct ApiResponse {
    pub status: u16,
    pub tag: Option<String>,
    pub text: String,
}

impl ApiCall {
    /// A GET without a path yet.
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

    pub fn send(&self, to: SocketAddr) -> attohttpc::Result<ApiResponse> {
        let method = attohttpc::Method::from_bytes(self.method.as_bytes()).expect("ours");
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
