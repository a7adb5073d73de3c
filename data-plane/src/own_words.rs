use crate::prelude::*;

/// otterslip's own words: `otterslip-*` headers towards origins, whose answers
/// are sealed, and refusals as JSON towards callers.
pub struct OwnWords;

/// Headers of an answer that go on to the caller; all else stays here.
const PASSED: [&str; 8] = [
    "content-type",
    "cache-control",
    "set-cookie",
    "location",
    "etag",
    "last-modified",
    "content-language",
    "vary",
];
const ERRAND: &str = "otterslip-errand";
/// Of an origin's answer that it did not run the errand.
const NOT_RUN: &str = "otterslip-not-run";

impl Dialect for OwnWords {
    fn patience(&self, _: &[(String, String)]) -> Option<Duration> {
        None
    }

    fn operation<'a>(&self, headers: &'a [(String, String)]) -> Option<&'a str> {
        header(headers, "operation-key")
    }

    fn name<'a>(&self, _: &'a [(String, String)]) -> Option<&'a str> {
        None
    }

    fn call(&self, call: &Call) -> CallWords {
        let mut headers = vec![
            ("Host".to_string(), call.origin.address.to_string()),
            ("otterslip-service".into(), call.origin.service.clone()),
            ("otterslip-instance".into(), call.origin.instance.clone()),
            (ERRAND.into(), call.errand.to_string()),
            ("x-forwarded-host".into(), call.host.clone()),
        ];
        headers.extend(
            call.operation
                .iter()
                .map(|key| ("operation-key".to_string(), key.clone())),
        );
        headers.extend(call.headers.iter().cloned());
        CallWords {
            headers,
            echo: None,
        }
    }

    fn judge(&self, call: &Call, status: u16, headers: &[(String, String)], body: &[u8]) -> Judged {
        let errand = call.errand.to_string();
        match call.proof {
            Proof::Named => {
                let other = header(headers, "otterslip-instance")
                    .is_none_or(|name| name != call.origin.instance);
                if status == 421 || other {
                    return Judged::Stranger;
                }
                if header(headers, ERRAND) != Some(errand.as_str()) {
                    return Judged::Bad("the answer is to another errand".into());
                }
            }
            Proof::Seal => {
                let seal = Seal {
                    status,
                    method: &call.method,
                    target: &call.url,
                    service: &call.origin.service,
                    instance: &call.origin.instance,
                    operation: call.operation.as_deref().unwrap_or(""),
                    errand: &errand,
                    body,
                };
                if let Err(error) = seal.check(headers, &call.key) {
                    return Judged::Bad(format!("{error:#}"));
                }
            }
        }
        if header(headers, NOT_RUN).is_some() {
            return Judged::NotRun;
        }
        let tags = header(headers, "otterslip-tags").map(|text| {
            text.split(' ')
                .filter(|tag| !tag.is_empty())
                .map(Into::into)
                .collect()
        });
        let passed = |(name, _): &&(String, String)| {
            PASSED.iter().any(|known| name.eq_ignore_ascii_case(known))
        };
        Judged::Own {
            headers: headers.iter().filter(passed).cloned().collect(),
            tags: tags.unwrap_or_default(),
        }
    }

    fn tell(&self, _: &[(String, String)], answer: &Answer) -> TellWords {
        match answer {
            Answer::Reply { reply, age } => {
                let mut headers = reply.headers.clone();
                headers.extend(age.map(|age| ("Age".to_string(), age.as_secs().to_string())));
                TellWords {
                    status: reply.status,
                    headers,
                    body: reply.body.clone(),
                }
            }
            Answer::Refusal(refusal) => {
                let mut headers =
                    vec![("Content-Type".to_string(), "application/json".to_string())];
                let back = refusal.retry_after_s.map(|span| span.ceil().max(1.0));
                headers.extend(
                    back.map(|span| ("Retry-After".to_string(), (span as u64).to_string())),
                );
                let body = serde_json::to_vec(refusal).unwrap_or_default();
                TellWords {
                    status: refusal.status,
                    headers,
                    body: Arc::new(body),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn call(proof: Proof) -> Call {
        let address = SocketAddr::from(([127, 0, 0, 1], 50));
        let origin = Origin {
            address,
            service: "s".into(),
            instance: "i1".into(),
            leaving: false,
            zone: String::new(),
            region: String::new(),
            capacity: 0,
            cold_ms: 0,
        };
        let (host, url, key) = ("h".into(), "/u".into(), String::new());
        let (headers, body) = (vec![], Arc::default());
        Call {
            origin,
            method: "GET".into(),
            url,
            host,
            headers,
            body,
            operation: None,
            name: None,
            errand: 9,
            key,
            proof,
            limit: Duration::from_secs(1),
            sessions: 1,
        }
    }

    #[test]
    fn a_named_answer_counts_only_from_the_instance_and_for_the_errand_that_were_named() {
        let told = |headers: &[(&str, &str)], status| {
            let headers: Vec<(String, String)> = headers
                .iter()
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect();
            OwnWords.judge(&call(Proof::Named), status, &headers, b"x")
        };
        let good = [
            ("otterslip-instance", "i1"),
            ("otterslip-errand", "9"),
            ("otterslip-tags", "a b"),
            ("etag", "1"),
            ("x-own", "2"),
        ];
        assert_eq!(
            told(&good, 200),
            Judged::Own {
                headers: vec![("etag".into(), "1".into())],
                tags: vec!["a".into(), "b".into()]
            }
        );
        assert_eq!(told(&good, 421), Judged::Stranger);
        assert_eq!(
            told(
                &[("otterslip-instance", "i2"), ("otterslip-errand", "9")],
                200
            ),
            Judged::Stranger
        );
        assert!(matches!(
            told(
                &[("otterslip-instance", "i1"), ("otterslip-errand", "8")],
                200
            ),
            Judged::Bad(_)
        ));
        assert_eq!(
            told(
                &[
                    ("otterslip-instance", "i1"),
                    ("otterslip-errand", "9"),
                    ("otterslip-not-run", "1")
                ],
                503
            ),
            Judged::NotRun
        );
        assert!(
            matches!(
                OwnWords.judge(&call(Proof::Seal), 200, &[], b"x"),
                Judged::Bad(_)
            ),
            "unsealed"
        );
    }
}
