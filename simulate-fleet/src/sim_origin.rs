//! A simulated origin.
use crate::prelude::*;

/// Behavior of an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginBehavior {
    /// Runs each call and responds quickly.
    Good,
    /// Refuses connections.
    Down,
    /// Runs each call but does not respond, so that the outcome is unknown to the edge.
    Mute,
    /// Responds more slowly than `Good`.
    Slow,
    /// Responds about 60 times more slowly than `Good`.
    VerySlow,
    /// Sends responses whose signature does not verify.
    WrongBytes,
    /// Fails intermittently: some responses are slow, missing or invalid.
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

    /// Name of the behavior in scripts and tables.
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

/// Behaviors of a grey origin, each chosen with equal probability per call.
const GREY_BEHAVIORS: [OriginBehavior; 6] = [
    OriginBehavior::Good,
    OriginBehavior::Good,
    OriginBehavior::Good,
    OriginBehavior::Slow,
    OriginBehavior::Mute,
    OriginBehavior::WrongBytes,
];

/// Simulated origin process and its entry in the platform's list.
#[derive(Debug, Clone)]
pub struct SimOrigin {
    /// Entry in the platform's list.
    pub origin: Origin,
    /// Service of the process that actually listens at the address.
    pub service: String,
    /// Instance name of the process that actually listens at the address.
    pub instance: String,
    /// Current behavior.
    pub behavior: OriginBehavior,
}

impl SimOrigin {
    /// Handles a call: returns its duration, its outcome, and a record if it reached a
    /// process.
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
            request: call.request_id_at_edge.to_string(),
            operation: call.operation_key.clone(),
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
        // The signature would not verify; the verification has its own tests.
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
            call.operation_key.as_deref().unwrap_or("")
        );
        let reply = Reply {
            status: 200,
            headers: vec![],
            body: Arc::new(body.into_bytes()),
            tags: vec![],
        };
        (took, CallOutcome::Success(reply), Some(record))
    }

    /// Returns whether a reply belongs to this request, and the content version in it.
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
