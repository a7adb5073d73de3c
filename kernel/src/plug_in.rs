//! HTTP handlers and background sources that register themselves at link time.
use crate::prelude::*;

/// An HTTP handler of a process that registers itself: it serves calls under
/// its paths. Collected at link time; the kernel knows none by name.
pub struct PlugIn {
    /// Its name, for people.
    pub name: &'static str,
    /// Which program it belongs to; empty: to every one.
    pub program: &'static str,
    /// Lower is tried first; any may respond.
    pub order: u32,
    /// Responds to a request, or passes it on.
    pub serve: fn(&Port, &rouille::Request) -> Option<rouille::Response>,
}

inventory::collect!(PlugIn);

/// A background source that runs beside a program's state machine for its whole
/// incarnation (it feeds the port from outside) and registers itself.
pub struct SourcePlugIn {
    /// Its name, for people.
    pub name: &'static str,
    /// Which program it belongs to.
    pub program: &'static str,
    /// Runs until the port ends.
    pub run: fn(&Port),
}

inventory::collect!(SourcePlugIn);

/// The one description of all remote calls.
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
        "/.otterslip/v1/live" => Some(json(200, &serde_json::json!({ "live": true }))),
        "/.otterslip/v1/ready" if port.ready() => {
            Some(json(200, &serde_json::json!({ "ready": true })))
        }
        "/.otterslip/v1/ready" => Some(refuse(&Rejection::not_run(
            503,
            "not_ready",
            "do not send callers here now",
        ))),
        "/.otterslip/v1/schema" => Some(rouille::Response::from_data("application/json", SCHEMA)),
        _ => None,
    }
}

impl PlugIn {
    /// The plug-ins of a program, in order.
    pub fn of(program: &str) -> Vec<&'static PlugIn> {
        let mut list: Vec<&PlugIn> = inventory::iter::<PlugIn>()
            .filter(|one| one.program.is_empty() || one.program == program)
            .collect();
        list.sort_by_key(|one| one.order);
        list
    }
}

/// The response of the first plug-in that has one.
pub fn serve_plug_ins(
    plug_ins: &[&PlugIn],
    port: &Port,
    request: &rouille::Request,
) -> rouille::Response {
    plug_ins
        .iter()
        .find_map(|one| (one.serve)(port, request))
        .unwrap_or_else(|| {
            refuse(&Rejection::not_run(
                404,
                "no_such_path",
                "nothing is served here",
            ))
        })
}

/// A JSON response.
pub fn json(status: u16, body: &impl Serialize) -> rouille::Response {
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut answer = rouille::Response::from_data("application/json", text);
    answer.status_code = status;
    answer
}

/// A rejection as an HTTP response.
pub fn refuse(refusal: &Rejection) -> rouille::Response {
    let answer = json(refusal.status, refusal);
    match refusal.retry_after_s {
        // Whole seconds, rounded up: no one comes back too early.
        Some(span) => {
            answer.with_additional_header("Retry-After", (span.ceil().max(1.0) as u64).to_string())
        }
        None => answer,
    }
}

/// Reads a complete body, or rejects it when over `limit` bytes.
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
