//! A simulated origin.
use crate::prelude::*;

/// How an origin behaves now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Good,
    Down,
    /// Answers nothing; whether it ran is anybody's guess (it did).
    Mute,
    Slow,
    /// Some 60 times slower than good.
    VerySlow,
    WrongBytes,
    /// Some of its answers do not come, or are not its own.
    Grey,
}

impl Mood {
    pub const ALL: [Mood; 7] = [
        Mood::Good,
        Mood::Down,
        Mood::Mute,
        Mood::Slow,
        Mood::VerySlow,
        Mood::WrongBytes,
        Mood::Grey,
    ];

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
const GREY: [Mood; 6] = [
    Mood::Good,
    Mood::Good,
    Mood::Good,
    Mood::Slow,
    Mood::Mute,
    Mood::WrongBytes,
];

/// An origin as the simulated network shows it.
#[derive(Debug, Clone)]
pub struct SimOrigin {
    pub origin: Origin,
    /// Who really listens there.
    pub service: String,
    pub instance: String,
    pub mood: Mood,
}

impl SimOrigin {
    /// What comes of a call, and after how long; the call is recorded if it
    /// reached anyone.
    pub fn take(
        &self,
        call: &Call,
        at: f64,
        version: u64,
        dice: &mut Dice,
    ) -> (Duration, CallOutcome, Option<OriginRecord>) {
        let span = |low: u64, high: u64, dice: &mut Dice| {
            Duration::from_millis(low + dice.roll(high - low))
        };
        if self.mood == Mood::Down {
            return (span(0, 2, dice), CallOutcome::Unreachable, None);
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
        let mood = match self.mood {
            Mood::Grey => GREY[dice.roll(GREY.len() as u64) as usize],
            mood => mood,
        };
        let took = match mood {
            Mood::Slow => span(20, 120, dice),
            Mood::VerySlow => span(120, 720, dice),
            _ => span(2, 12, dice),
        };
        if mood == Mood::Mute || took >= call.timeout {
            return (
                call.timeout,
                CallOutcome::Failure("no answer in time".into()),
                Some(record),
            );
        }
        // The seal would not verify: that is tested where it is checked.
        if mood == Mood::WrongBytes
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
    pub fn read(
        reply: &Reply,
        method: &str,
        path: &str,
        operation: Option<&str>,
    ) -> (bool, Option<u64>) {
        let text = String::from_utf8_lossy(&reply.body);
        let parts: Vec<&str> = text.split('\n').collect();
        let fits = parts.len() == 4 && parts[..3] == [method, path, operation.unwrap_or("")];
        (fits, parts.get(3).and_then(|version| version.parse().ok()))
    }
}
