//! The default protocol between edges and clients, and between edges and origins.
use crate::prelude::*;

/// The default protocol. Requests to origins have `otterslip-*` headers, the origins'
/// responses are signed or name their instance, and rejections are sent to clients as
/// JSON.
pub struct DefaultProtocol;

/// Headers of an origin's response that are forwarded to the client.
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
const OPERATION_KEY_HEADER: &str = "operation-key";
const REQUEST_ID_HEADER: &str = "otterslip-errand";
const SERVICE_HEADER: &str = "otterslip-service";
const INSTANCE_HEADER: &str = "otterslip-instance";
const TAGS_HEADER: &str = "otterslip-tags";
/// The header of a response by which an origin states that it did not execute the
/// request.
const NOT_EXECUTED_HEADER: &str = "otterslip-not-run";
/// The status by which an instance states that it is not the one that the request names,
/// and that it did not execute the request.
const MISDIRECTED_REQUEST: u16 = 421;

impl ProtocolAdapter for DefaultProtocol {
    fn timeout(&self, _: &[(String, String)]) -> Option<Duration> {
        None
    }

    fn operation_key<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str> {
        header(headers, OPERATION_KEY_HEADER)
    }

    fn request_id<'a>(&self, _: &'a [(String, String)]) -> Option<&'a str> {
        None
    }

    fn origin_headers(&self, call: &Call) -> CallHeaders {
        let mut headers = vec![
            ("Host".to_string(), call.origin.address.to_string()),
            (SERVICE_HEADER.into(), call.origin.service.clone()),
            (INSTANCE_HEADER.into(), call.origin.instance.clone()),
            (
                REQUEST_ID_HEADER.into(),
                call.request_id_at_edge.to_string(),
            ),
            ("x-forwarded-host".into(), call.host.clone()),
        ];
        let operation_key = call.operation_key.iter();
        headers.extend(operation_key.map(|key| (OPERATION_KEY_HEADER.to_string(), key.clone())));
        headers.extend(call.headers.iter().cloned());
        CallHeaders {
            headers,
            required_response_header: None,
        }
    }

    fn classify(
        &self,
        call: &Call,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) -> OriginVerdict {
        let is_from_origin = match call.proof {
            Proof::Named => check_named(call, status, headers),
            Proof::Seal => check_signed(call, status, headers, body),
        };
        if let Err(verdict) = is_from_origin {
            return verdict;
        }
        if header(headers, NOT_EXECUTED_HEADER).is_some() {
            return OriginVerdict::NotExecuted;
        }
        let is_forwarded = |(name, _): &&(String, String)| {
            FORWARDED_HEADERS
                .iter()
                .any(|forwarded| name.eq_ignore_ascii_case(forwarded))
        };
        OriginVerdict::Accepted {
            headers: headers.iter().filter(is_forwarded).cloned().collect(),
            tags: tags(headers),
        }
    }

    fn client_response(&self, _: &[(String, String)], response: &ClientResponse) -> HttpResponse {
        match response {
            ClientResponse::Reply { reply, age } => write_reply(reply, *age),
            ClientResponse::Rejection(rejection) => write_rejection(rejection),
        }
    }
}

/// Checks that the response names the called instance and the request. The error is the
/// verdict on a response that fails the check.
fn check_named(
    call: &Call,
    status: u16,
    headers: &[(String, String)],
) -> Result<(), OriginVerdict> {
    // This check is first, since a response to another call proves nothing about this one.
    if header(headers, REQUEST_ID_HEADER) != Some(call.request_id_at_edge.to_string().as_str()) {
        let reason = "the response is to another request".into();
        return Err(OriginVerdict::Rejected(reason));
    }
    if status == MISDIRECTED_REQUEST {
        return Err(OriginVerdict::WrongInstance);
    }
    // Another instance that did not respond with 421 may have executed the request.
    if header(headers, INSTANCE_HEADER) != Some(call.origin.instance.as_str()) {
        let reason = "the response is from another instance".into();
        return Err(OriginVerdict::Rejected(reason));
    }
    Ok(())
}

/// Checks that the response is signed for this call. The error is the verdict on a
/// response that fails the check.
fn check_signed(
    call: &Call,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> Result<(), OriginVerdict> {
    let signature = ResponseSignature {
        status,
        method: &call.method,
        target: &call.url,
        service: &call.origin.service,
        instance: &call.origin.instance,
        operation_key: call.operation_key.as_deref().unwrap_or(""),
        request_id: &call.request_id_at_edge.to_string(),
        body,
    };
    signature
        .verify(headers, &call.key)
        .map_err(|error| OriginVerdict::Rejected(error.to_string()))
}

/// Returns the tags by which purges match the response.
fn tags(headers: &[(String, String)]) -> Vec<String> {
    header(headers, TAGS_HEADER)
        .unwrap_or_default()
        .split(' ')
        .filter(|tag| !tag.is_empty())
        .map(Into::into)
        .collect()
}

fn write_reply(reply: &Reply, age: Option<Duration>) -> HttpResponse {
    let mut headers = reply.headers.clone();
    headers.extend(age.map(|age| ("Age".to_string(), age.as_secs().to_string())));
    HttpResponse {
        status: reply.status,
        headers,
        body: reply.body.clone(),
    }
}

fn write_rejection(rejection: &Rejection) -> HttpResponse {
    let mut headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    let retry_after = rejection
        .retry_after_s
        .map(|seconds| seconds.ceil().max(1.0) as u64);
    headers.extend(retry_after.map(|seconds| ("Retry-After".to_string(), seconds.to_string())));
    let body = serde_json::to_vec(rejection).unwrap_or_default();
    HttpResponse {
        status: rejection.status,
        headers,
        body: Arc::new(body),
    }
}
