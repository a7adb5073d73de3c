use crate::prelude::*;

const REPLY_BYTES: u64 = 8 * 1024 * 1024;
/// Headers of an answer that go on to the caller; all else stays here.
const PASSED: [&str; 8] =
    ["content-type", "cache-control", "set-cookie", "location", "etag", "last-modified", "content-language", "vary"];

/// One call to an origin: buffer, verify, then hand back. Runs in a thread of
/// its own; the gate bounds how many there are.
pub fn call_origin(call: &Call) -> CallBack {
    match try_call(call) {
        Ok(reply) => CallBack::Good(reply),
        Err(error) => {
            let refused = error.chain().filter_map(|cause| cause.downcast_ref::<std::io::Error>());
            // Only a connect is ever refused; a reset may come after sending.
            if refused.into_iter().any(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused) {
                return CallBack::Refused;
            }
            CallBack::Bad(format!("{error:#}"))
        }
    }
}

fn try_call(call: &Call) -> Result<Reply> {
    let method = attohttpc::Method::from_bytes(call.method.as_bytes())?;
    let url = format!("http://{}{}", call.origin.address, call.url);
    let errand = call.errand.to_string();
    let mut request = attohttpc::RequestBuilder::try_new(method, url)?
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(call.limit.min(Duration::from_secs(1)))
        .read_timeout(call.limit)
        .timeout(call.limit)
        .try_header("otterslip-service", &call.origin.service)?
        .try_header("otterslip-instance", &call.origin.instance)?
        .try_header("otterslip-errand", &errand)?
        .try_header("x-forwarded-host", &call.host)?;
    if let Some(operation) = &call.operation {
        request = request.try_header("operation-key", operation)?;
    }
    for (name, value) in &call.headers {
        request = request.try_header_append(attohttpc::header::HeaderName::from_bytes(name.as_bytes())?, value)?;
    }
    let answer = request.bytes(call.body.as_slice()).send()?;
    let (status, headers, body) = answer.split();
    let headers: Vec<(String, String)> =
        headers.iter().filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string()))).collect();
    let mut bytes = Vec::new();
    body.take(REPLY_BYTES + 1).read_to_end(&mut bytes).context("answer was cut off")?;
    if bytes.len() as u64 > REPLY_BYTES {
        bail!("answer is larger than {REPLY_BYTES} bytes");
    }
    let seal = Seal {
        status: status.as_u16(),
        method: &call.method,
        target: &call.url,
        service: &call.origin.service,
        instance: &call.origin.instance,
        operation: call.operation.as_deref().unwrap_or(""),
        errand: &errand,
        body: &bytes,
    };
    seal.check(&headers, &call.key)?;
    let tags = header(&headers, "otterslip-tags").map(|text| text.split(' ').filter(|tag| !tag.is_empty()).map(Into::into).collect()).unwrap_or_default();
    let passed = headers.into_iter().filter(|(name, _)| PASSED.contains(&name.as_str())).collect();
    Ok(Reply { status: status.as_u16(), headers: passed, body: Arc::new(bytes), tags })
}
