//! A simulated origin.
use crate::prelude::*;

/// How an origin behaves now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginBehavior {
    /// Runs each call and answers soon.
    Good,
    /// Nothing listens.
    Down,
    /// Answers nothing; whether it ran is anybody's guess (it did).
    Mute,
    /// Slower than good.
    Slow,
    /// Some 60 times slower than good.
    VerySlow,
    /// Its answers are not its own.
    WrongBytes,
    /// Some of its answers do not come, or are not its own.
    Grey,
}

impl OriginBehavior {
    /// All behaviors.
    pub const ALL: [OriginBehavior; 7] = [
        OriginBehavior::Good,
        OriginBehavior::Down,
        OriginBehavior::Mute,
        OriginBehavior::Slow,
        OriginBehavior::VerySlow,
        OriginBehavior::WrongBytes,
        OriginBehavior::Grey,
    ];

    /// Its name in scripts and tables.
    pub fn name(self) -> &'static str {
        [
            "origin-good",
            "origin-down",
            "origin-mute",
            "origin-slow",
            "origin-very-slow",
            "origin-wrong",
            "origin-grey",
        ][self as usize]
    }
}

/// How a grey origin takes its calls, each as likely as the others.
const GREY_BEHAVIORS: [OriginBehavior; 6] = [
    OriginBehavior::Good,
    OriginBehavior::Good,
    OriginBehavior::Good,
    OriginBehavior::Slow,
    OriginBehavior::Mute,
    OriginBehavior::WrongBytes,
];

/// An origin as the simulated network shows it.
#[derive(Debug, Clone)]
pub struct SimOrigin {
    /// As the platform lists it.
    pub origin: Origin,
    /// Who really listens there.
    pub service: String,
    /// The instance that really listens there.
    pub instance: String,
    /// How it behaves now.
    pub behavior: OriginBehavior,
}

impl SimOrigin {
    /// What comes of a call, and after how long; the call is recorded if it
    /// reached anyone.
    pub fn handle_call(
        &self,
        call: &Call,
        at: f64,
        version: u64,
        random: &mut SeededRandom,
    ) -> (Duration, CallOutcome, Option<OriginRecord>) {
        let span = |low: u64, high: u64, random: &mut SeededRandom| {
            Duration::from_millis(low + random.below(high - low))
        };
        if self.behavior == OriginBehavior::Down {
            return (span(0, 2, random), CallOutcome::Unreachable, None);
        }
        let record = OriginRecord {
            at,
            address: call.origin.address.to_string(),
            service: self.service.clone(),
            instance: self.instance.clone(),
            path: call.url.clone(),
            request: call.request.to_string(),
            operation: call.operation.clone(),
            probe: call.url.starts_with("/.well-known/"),
        };
        let behavior = match self.behavior {
            OriginBehavior::Grey => {
                GREY_BEHAVIORS[random.below(GREY_BEHAVIORS.len() as u64) as usize]
            }
            behavior => behavior,
        };
        let took = match behavior {
            OriginBehavior::Slow => span(20, 120, random),
            OriginBehavior::VerySlow => span(120, 720, random),
            _ => span(2, 12, random),
        };
        if behavior == OriginBehavior::Mute || took >= call.timeout {
            return (
                call.timeout,
                CallOutcome::Failure("no answer in time".into()),
                Some(record),
            );
        }
        // The seal would not verify: that is tested where it is checked.
        if behavior == OriginBehavior::WrongBytes
            || (&self.service, &self.instance) != (&call.origin.service, &call.origin.instance)
        {
            return (
                took,
                CallOutcome::Failure("signature does not verify".into()),
                Some(record),
            );
        }
        let body = format!(
            "{}\n{}\n{}\n{version}",
            call.method,
            call.url,
            call.operation.as_deref().unwrap_or("")
        );
        let reply = Reply {
            status: 200,
            headers: vec![],
            body: Arc::new(body.into_bytes()),
            tags: vec![],
        };
        (took, CallOutcome::Success(reply), Some(record))
    }

    /// Whether a reply answers this request, and its version of the content.
    pub fn parse_reply(
        reply: &Reply,
        method: &str,
        path: &str,
        operation: Option<&str>,
    ) -> (bool, Option<u64>) {
        let text = String::from_utf8_lossy(&reply.body);
        let parts: Vec<&str> = text.split('\n').collect();
        let is_expected = parts.len() == 4 && parts[..3] == [method, path, operation.unwrap_or("")];
        (
            is_expected,
            parts.get(3).and_then(|version| version.parse().ok()),
        )
    }
}
