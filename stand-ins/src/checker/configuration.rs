//! Rules on the configuration: in force in time, never older, never invalid.
use super::*;

/// Observations that an invalid configuration had no effect and that what is
/// read back is what was put.
const INTEGRITY_RECORDS: [&str; 4] = [
    "read-back",
    "invalid-refused",
    "invalid-marker",
    "order-again",
];
/// Before an integrity observation, in seconds: a fault within counts for it.
const INTEGRITY_SPAN: f64 = 5.0;

/// Versions as the record of a fleet is followed in time.
#[derive(Default)]
struct VersionHistory<'a> {
    /// The last version each edge applied.
    applied: HashMap<&'a str, u64>,
    /// When each version was acknowledged.
    acknowledged: Vec<(f64, u64)>,
}

impl<'a> VersionHistory<'a> {
    /// The newest version acknowledged more than the bound before `at`.
    fn due(&self, at: f64) -> u64 {
        self.acknowledged
            .iter()
            .filter(|(acknowledged, _)| at > acknowledged + IN_FORCE)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Judges a version that an edge applied.
    fn apply(&mut self, record: &'a FleetRecord, cases: &mut Cases) {
        let before = self
            .applied
            .insert(&record.subject, record.number)
            .unwrap_or(0);
        let due = self.due(record.at);
        let good = record.number >= before && record.number >= due;
        cases.case((record.at - IN_FORCE, record.at), good, || {
            format!(
                "{} took version {} at {:.3} after {before}, {due} being in force",
                record.subject, record.number, record.at
            )
        });
    }

    /// A restarted edge may come back with any version not yet acknowledged.
    fn restart(&mut self, subject: &'a str) {
        let newest = self
            .acknowledged
            .iter()
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0);
        self.applied
            .entry(subject)
            .and_modify(|version| *version = newest.min(*version));
    }
}

impl Checker {
    /// The runner looks at every edge for markers of acknowledged versions, and
    /// for those an acknowledged version took away; and every table an edge
    /// took is in the record with its version.
    pub(super) fn configuration_in_force(&self) -> Cases {
        let mut cases = Cases::default();
        self.judge_markers("marker", "configured", &mut cases);
        self.judge_markers("marker-gone", "removed", &mut cases);
        self.judge_versions(&mut cases);
        cases
    }

    /// Observations of markers against the acknowledgement they follow.
    fn judge_markers(&self, observation: &str, acknowledgement: &str, cases: &mut Cases) {
        let mut known: BTreeMap<u64, Option<f64>> = BTreeMap::new();
        let observed = self.fleet.iter().filter(|one| one.what == observation);
        for marker in observed {
            let Some(acknowledged) = *known
                .entry(marker.number)
                .or_insert_with(|| self.good_record_at(acknowledgement, marker.number))
            else {
                continue;
            };
            if !marker.good && marker.at > acknowledged {
                let after = marker.at - acknowledged;
                cases.margin(after / IN_FORCE, || {
                    format!(
                        "{observation} {} not yet so {after:.3} s after",
                        marker.number
                    )
                });
            }
            if marker.at > acknowledged + IN_FORCE {
                let span = (acknowledged - GRACE, acknowledged + IN_FORCE);
                cases.case(span, marker.good, || {
                    format!(
                        "{observation} {} not so at {} at {:.3}",
                        marker.number, marker.subject, marker.at
                    )
                });
            }
        }
    }

    /// When the first good record of this kind and number was made.
    fn good_record_at(&self, what: &str, number: u64) -> Option<f64> {
        self.fleet
            .iter()
            .find(|one| one.what == what && one.number == number && one.good)
            .map(|one| one.at)
    }

    /// An edge takes versions in rising order, over its restarts too as far
    /// as they were acknowledged; and nothing older than what was
    /// acknowledged 2.5 s ago.
    fn judge_versions(&self, cases: &mut Cases) {
        let mut history = VersionHistory::default();
        for record in &self.fleet {
            match record.what.as_str() {
                "acknowledged" => history.acknowledged.push((record.at, record.number)),
                "in-force" => history.apply(record, cases),
                "killed" | "restarted" if record.number == 0 => history.restart(&record.subject),
                // All that knew of earlier ones is gone.
                "all-lost" => history = VersionHistory::default(),
                // Only the simulator sees these: what was in force at the very
                // moment of the acknowledgement, and assignments held by two live
                // nodes.
                "at-ack" | "duty-held-twice" => {
                    cases.case((record.at - GRACE, record.at), record.good, || {
                        format!(
                            "{} {} {} at {:.3}",
                            record.what, record.subject, record.number, record.at
                        )
                    });
                }
                _ => {}
            }
        }
    }

    /// An invalid configuration has no effect, and reads return what was put.
    pub(super) fn configuration_integrity(&self) -> Cases {
        let mut cases = Cases::default();
        let observed = self
            .fleet
            .iter()
            .filter(|one| INTEGRITY_RECORDS.contains(&one.what.as_str()));
        for record in observed {
            cases.case((record.at - INTEGRITY_SPAN, record.at), record.good, || {
                format!("{} {} {}", record.what, record.subject, record.number)
            });
        }
        cases
    }
}
