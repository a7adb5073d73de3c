//! What a soak showed.
use super::{Absence, Departure, Manner, Passage, RequestSort};
use crate::prelude::*;

/// Counts of one run, or of several added up; what is broken stands in `broken`.
#[derive(Debug, Clone, Default)]
pub struct SoakVerdict {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests with a successful response.
    pub served: usize,
    /// Callers that left before their answer.
    pub left: usize,
    /// Calls of theirs that had left for an origin before they did.
    pub sent_before: usize,
    /// How long calls went on after their callers left, at most, in milliseconds.
    pub longest_ms: u64,
    /// Each violation in words.
    pub broken: Vec<String>,
}

/// From outside, a close needs some time to reach the edge and the end of a call
/// the relay, on a busy machine; the rule of the users says half a second.
const BOUND_S: f64 = 0.5;
/// A node that stood still needs a moment to go on.
const WAKES_S: f64 = 0.5;

impl SoakVerdict {
    /// Judges each request that a caller left: nothing of it is sent on, and what
    /// was sent and may be repeated ends.
    pub fn of(departures: &[Departure], passages: &[Passage], absences: &[Absence]) -> SoakVerdict {
        let mut sent: HashMap<&str, Vec<&Passage>> = HashMap::new();
        for passage in passages {
            sent.entry(&passage.path).or_default().push(passage);
        }
        let mut verdict = SoakVerdict {
            requests: departures.len(),
            served: departures.iter().filter(|one| one.status == 200).count(),
            ..SoakVerdict::default()
        };
        for departure in departures {
            let Some(left) = departure.left else {
                verdict.expect_answer(departure, absences);
                continue;
            };
            verdict.left += 1;
            if departure.sort == RequestSort::Cached {
                continue; // Calls for it are others', too: the edges judge them.
            }
            let seen_by = seen_by(departure.edge, left, absences);
            for passage in sent.get(departure.path.as_str()).into_iter().flatten() {
                verdict.judge_passage(departure, passage, left, seen_by);
            }
        }
        verdict
    }

    /// A caller that only shut its writing side reads its one answer.
    fn expect_answer(&mut self, departure: &Departure, absences: &[Absence]) {
        let absent = absences.iter().any(|one| one.edge == departure.edge);
        if departure.manner == Manner::ShutsWriting && departure.status == 0 && !absent {
            self.broken
                .push(format!("{} got no answer: {departure:?}", departure.path));
        }
    }

    fn judge_passage(&mut self, departure: &Departure, passage: &Passage, left: f64, seen: f64) {
        let bound = seen + BOUND_S;
        if passage.at > bound {
            let late = passage.at - left;
            self.broken
                .push(format!("{} sent on {late:.3} s after", passage.path));
        }
        if passage.at > left {
            return;
        }
        self.sent_before += 1;
        let ended = passage.ended.unwrap_or(f64::MAX);
        if departure.sort == RequestSort::Repeatable {
            if ended > bound {
                let path = &passage.path;
                self.broken.push(format!(
                    "{path} still under way: {passage:?}, left {left:.3}"
                ));
            } else if ended > left && seen == left {
                let lasted = ((ended - left) * 1000.0) as u64;
                self.longest_ms = self.longest_ms.max(lasted);
            }
        }
    }

    /// Violations that the processes themselves reported in their logs.
    pub fn count_reports(&mut self, folder: &Path) -> Result<()> {
        let marks = [Event::AbandonedWork].map(|event| format!("E{:03} ", event as u32));
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_none_or(|kind| kind != "log") {
                continue;
            }
            let text = fs::read_to_string(&path)?;
            let told = |line: &&str| {
                marks.iter().any(|mark| line.contains(mark)) || line.contains("panicked")
            };
            for line in text.lines().filter(told) {
                self.broken.push(format!("{}: {line}", path.display()));
            }
        }
        Ok(())
    }

    /// Violations that `operate state` shows.
    pub fn count_usage(&mut self, state: &serde_json::Value) {
        for session in state["edges"].as_array().into_iter().flatten() {
            let abandoned = session["usage"]["abandoned"].as_u64().unwrap_or(0);
            if abandoned > 0 {
                self.broken
                    .push(format!("abandoned work {abandoned}: {session}"));
            }
        }
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: SoakVerdict) {
        self.requests += other.requests;
        self.served += other.served;
        self.left += other.left;
        self.sent_before += other.sent_before;
        self.longest_ms = self.longest_ms.max(other.longest_ms);
        self.broken.extend(other.broken);
    }
}

/// When the edge could see that the caller had left.
fn seen_by(edge: SocketAddr, left: f64, absences: &[Absence]) -> f64 {
    let away = |one: &&Absence| one.edge == edge && one.from <= left + WAKES_S && left <= one.to;
    absences
        .iter()
        .filter(away)
        .map(|one| one.to + WAKES_S)
        .fold(left, f64::max)
}

impl fmt::Display for SoakVerdict {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "{} requests, {} served, {} callers left ({} calls of theirs under way, ended within {} ms), {} broken",
            self.requests,
            self.served,
            self.left,
            self.sent_before,
            self.longest_ms,
            self.broken.len()
        )
    }
}
