//! Plug-ins: HTTP handlers and background sources that register themselves at link time.
use crate::prelude::*;

/// An HTTP handler that registers itself and serves requests under its paths.
/// The handlers are collected at link time; no code lists them.
pub struct PlugIn {
    /// Human-readable name.
    pub name: &'static str,
    /// Program that it belongs to; empty: every program.
    pub program: &'static str,
    /// Position in the order of plug-ins: lower ones are tried first.
    pub order: u32,
    /// Responds to a request, or returns `None` to pass it to the next plug-in.
    pub serve: fn(&Port, &rouille::Request) -> Option<rouille::Response>,
}

inventory::collect!(PlugIn);

/// A background source that registers itself. It runs on its own thread for the
/// lifetime of the process and sends inputs through the port.
pub struct SourcePlugIn {
    /// Human-readable name.
    pub name: &'static str,
    /// Program that it belongs to.
    pub program: &'static str,
    /// Runs until the port is ending.
    pub run: fn(&Port),
}

inventory::collect!(SourcePlugIn);

/// The OpenAPI document of all HTTP interfaces, as JSON.
pub const SCHEMA: &str = include_str!("../../schema/otterslip.json");

inventory::submit!(PlugIn {
    name: "health",
    program: "",
    order: 1,
    serve: serve_health
});

fn serve_health(port: &Port, request: &rouille::Request) -> Option<rouille::Response> {
    if request.method() != "GET" {
        return None;
    }
    match request.raw_url() {
        "/.otterslip/v1/live" => Some(json_response(200, &serde_json::json!({ "live": true }))),
        "/.otterslip/v1/ready" if port.ready() => {
            Some(json_response(200, &serde_json::json!({ "ready": true })))
        }
        "/.otterslip/v1/ready" => Some(rejection_response(&Rejection::not_run(
            503,
            "not_ready",
            "do not send callers here now",
        ))),
        "/.otterslip/v1/schema" => Some(rouille::Response::from_data("application/json", SCHEMA)),
        _ => None,
    }
}

impl PlugIn {
    /// Returns the plug-ins of a program, in order.
    pub fn of(program: &str) -> Vec<&'static PlugIn> {
        let mut list: Vec<&PlugIn> = inventory::iter::<PlugIn>()
            .filter(|plug_in| plug_in.program.is_empty() || plug_in.program == program)
            .collect();
        list.sort_by_key(|plug_in| plug_in.order);
        list
    }
}

/// Returns the response of the first plug-in that handles the request.
pub fn serve_plug_ins(
    plug_ins: &[&PlugIn],
    port: &Port,
    request: &rouille::Request,
) -> rouille::Response {
    plug_ins
        .iter()
        .find_map(|plug_in| (plug_in.serve)(port, request))
        .unwrap_or_else(|| {
            rejection_response(&Rejection::not_run(
                404,
                "no_such_path",
                "nothing is served here",
            ))
        })
}

/// Serves a request that an event loop has read.
pub fn serve_http(
    plug_ins: &[&PlugIn],
    port: &Port,
    request: http_line::Request,
) -> http_line::Response {
    // Reserved until the response is there: the plug-in holds the body in other forms.
    let (body, _reservation) = request.body.into_parts();
    let request =
        rouille::Request::fake_http(request.method, request.target, request.headers, body);
    into_http_response(serve_plug_ins(plug_ins, port, &request))
}

/// Converts the response of a plug-in.
pub(crate) fn into_http_response(response: rouille::Response) -> http_line::Response {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut body = Vec::new();
    let is_complete = reader.read_to_end(&mut body).is_ok();
    http_line::Response {
        status: if is_complete {
            response.status_code
        } else {
            500
        },
        headers,
        body: body.into(),
        ..http_line::Response::default()
    }
}

/// Creates a JSON response.
pub fn json_response(status: u16, body: &impl Serialize) -> rouille::Response {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = rouille::Response::from_data("application/json", text);
    response.status_code = status;
    response
}

/// Converts a rejection to an HTTP response.
pub fn rejection_response(rejection: &Rejection) -> rouille::Response {
    let response = json_response(rejection.status, rejection);
    match rejection.retry_after_s {
        // Whole seconds, rounded up, so that no client retries too early.
        Some(seconds) => response
            .with_additional_header("Retry-After", (seconds.ceil().max(1.0) as u64).to_string()),
        None => response,
    }
}

/// Reads a complete body, or rejects it if it has more than `limit` bytes.
pub fn read_body(request: &rouille::Request, limit: usize) -> Result<Vec<u8>, Rejection> {
    let mut body = Vec::new();
    let Some(stream) = request.data() else {
        return Ok(body);
    };
    let announced = request
        .header("Content-Length")
        .and_then(|text| text.parse::<usize>().ok());
    if announced.is_some_and(|size| size > limit)
        || stream
            .take(limit as u64 + 1)
            .read_to_end(&mut body)
            .is_err()
    {
        return Err(Rejection::not_run(
            413,
            "body_unreadable",
            "the body is too large or was cut off",
        ));
    }
    if body.len() > limit {
        return Err(Rejection::not_run(
            413,
            "body_unreadable",
            "the body is too large",
        ));
    }
    if announced.is_some_and(|size| size != body.len()) {
        return Err(Rejection::not_run(
            400,
            "body_short",
            "the body ended before its announced length",
        ));
    }
    Ok(body)
}
