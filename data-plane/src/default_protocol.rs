use crate::prelude::*;

/// otterslip's own words: `otterslip-*` headers towards origins, whose answers
/// are sealed, and refusals as JSON towards callers.
pub struct DefaultProtocol;

/// Headers of an answer that go on to the caller; all else stays here.
const FORWARDED_HEADERS: [&str; 8] = [
    "content-type",
    "cache-control",
    "set-cookie",
    "location",
    "etag",
    "last-modified",
    "content-language",
    "vary",
];
const REQUEST_ID_HEADER: &str = "otterslip-errand";
const INSTANCE_HEADER: &str = "otterslip-instance";
/// The status of an instance that was not the one named, and ran nothing.
const MISDIRECTED_REQUEST: u16 = 421;
/// Of an origin's answer that it did not run the request.
const NOT_EXECUTED_HEADER: &str = "otterslip-not-run";

impl ProtocolAdapter for DefaultProtocol {
    fn patience(&self, _: &[(String, String)]) -> Option<Duration> {
        None
    }

    fn operation<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str> {
        header(headers, "operation-key")
    }

    fn name<'a>(&self, _: &'a [(String, String)]) -> Option<&'a str> {
        None
    }

    fn call(&self, call: &Call) -> CallHeaders {
        let mut headers = vec![
            ("Host".to_string(), call.origin.address.to_string()),
            ("otterslip-service".into(), call.origin.service.clone()),
            (INSTANCE_HEADER.into(), call.origin.instance.clone()),
            (REQUEST_ID_HEADER.into(), call.request.to_string()),
            ("x-forwarded-host".into(), call.host.clone()),
        ];
        headers.extend(
            call.operation
                .iter()
                .map(|key| ("operation-key".to_string(), key.clone())),
        );
        headers.extend(call.headers.iter().cloned());
        CallHeaders {
            headers,
            echo: None,
        }
    }

    fn judge(
        &self,
        call: &Call,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> OriginVerdict {
        let request = call.request.to_string();
        match call.proof {
            Proof::Named => {
                // Before all else: an answer to another call proves nothing of
                // this one.
                if header(headers, REQUEST_ID_HEADER) != Some(request.as_str()) {
                    return OriginVerdict::Rejected("the answer is to another request".into());
                }
                if status == MISDIRECTED_REQUEST {
                    return OriginVerdict::WrongInstance;
                }
                // Without the refusal, another instance may have run it.
                if header(headers, INSTANCE_HEADER) != Some(call.origin.instance.as_str()) {
                    return OriginVerdict::Rejected("the answer of another instance".into());
                }
            }
            Proof::Seal => {
                let signature = ResponseSignature {
                    status,
                    method: &call.method,
                    target: &call.url,
                    service: &call.origin.service,
                    instance: &call.origin.instance,
                    operation: call.operation.as_deref().unwrap_or(""),
                    request: &request,
                    body,
                };
                if let Err(error) = signature.verify(headers, &call.key) {
                    return OriginVerdict::Rejected(error.to_string());
                }
            }
        }
        if header(headers, NOT_EXECUTED_HEADER).is_some() {
            return OriginVerdict::NotExecuted;
        }
        let tags = header(headers, "otterslip-tags").map(|text| {
            text.split(' ')
                .filter(|tag| !tag.is_empty())
                .map(Into::into)
                .collect()
        });
        let passed = |(name, _): &&(String, String)| {
            FORWARDED_HEADERS
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known))
        };
        OriginVerdict::Accepted {
            headers: headers.iter().filter(passed).cloned().collect(),
            tags: tags.unwrap_or_default(),
        }
    }

    fn tell(&self, _: &[(String, String)], answer: &ClientResponse) -> HttpResponse {
        match answer {
            ClientResponse::Reply { reply, age } => {
                let mut headers = reply.headers.clone();
                headers.extend(age.map(|age| ("Age".to_string(), age.as_secs().to_string())));
                HttpResponse {
                    status: reply.status,
                    headers,
                    body: reply.body.clone(),
                }
            }
            ClientResponse::Rejection(refusal) => {
                let mut headers =
                    vec![("Content-Type".to_string(), "application/json".to_string())];
                let back = refusal.retry_after_s.map(|span| span.ceil().max(1.0));
                headers.extend(
                    back.map(|span| ("Retry-After".to_string(), (span as u64).to_string())),
                );
                let body = serde_json::to_vec(refusal).unwrap_or_default();
                HttpResponse {
                    status: refusal.status,
                    headers,
                    body: Arc::new(body),
                }
            }
        }
    }
}
