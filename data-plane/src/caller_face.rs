use crate::prelude::*;

const BODY_BYTES: usize = 1024 * 1024;
/// Beyond an errand's own deadline: the ledger may still be told.
const PATIENCE: Duration = Duration::from_secs(5);

inventory::submit!(PlugIn { name: "callers", program: "edge-node", order: 100, serve });

fn serve(port: &Port, request: &rouille::Request) -> Option<rouille::Response> {
    let headers: Vec<(String, String)> = request.headers().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let image = (**port.image.load()).clone();
    let mut arrival = Arrival {
        method: request.method().to_string(),
        host: header(&headers, "host").unwrap_or_default().to_string(),
        url: request.raw_url().to_string(),
        headers,
        body: read_body(request, BODY_BYTES).map(Arc::new),
        live: port.live(),
        image,
        entry: None,
    };
    if let Some(refusal) = chain(&mut arrival) {
        return Some(refuse(&refusal));
    }
    let errand = errand_of(arrival)?;
    let keyed = errand.entry().kind == Kind::Keyed;
    let limit = errand.entry().deadline() + PATIENCE;
    let answer = match port.ask(limit, &|id| Input::Errand { id, errand: errand.clone() }) {
        Some(Output::Answer { answer, .. }) => answer,
        _ => Answer::Refusal(Refusal::unknown(503, "ending", "this node ended before the outcome was known")),
    };
    Some(match answer {
        Answer::Refusal(refusal) => refuse(&refusal),
        // The process may have stood still since the part answered: a copy is
        // only as good as the lease.
        Answer::Reply { age: Some(_), .. } if !keyed && !port.live() => {
            refuse(&Refusal::fenced(RunState::NotRun))
        }
        Answer::Reply { reply, age } => reply_out(reply, age),
    })
}

/// The errand of an arrival that passed all filters.
pub fn errand_of(arrival: Arrival) -> Option<Errand> {
    let caller = header(&arrival.headers, "authorization");
    Some(Errand {
        caller: caller.unwrap_or_default().to_string(),
        method: arrival.method,
        host: arrival.host,
        url: arrival.url,
        headers: arrival.headers,
        body: arrival.body.ok()?,
        image: arrival.image?,
        entry: arrival.entry?,
    })
}

fn reply_out(reply: Reply, age: Option<Duration>) -> rouille::Response {
    let mut headers: Vec<(std::borrow::Cow<'static, str>, std::borrow::Cow<'static, str>)> =
        reply.headers.into_iter().map(|(name, value)| (name.into(), value.into())).collect();
    if let Some(age) = age {
        headers.push(("Age".into(), age.as_secs().to_string().into()));
    }
    let body = rouille::ResponseBody::from_data(Arc::unwrap_or_clone(reply.body));
    rouille::Response { status_code: reply.status, headers, data: body, upgrade: None }
}
