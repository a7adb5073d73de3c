//! Rules on the configuration: in effect in time, never reverted, never
//! invalid.
use super::*;

/// Observations that an invalid configuration had no effect, and that a read
/// returns the configuration that was written.
const INTEGRITY_RECORDS: [&str; 4] = [
    "read-back",
    "invalid-refused",
    "invalid-marker",
    "order-again",
];
/// Time in seconds before an integrity observation in which a fault exercises
/// the rule.
const INTEGRITY_SPAN: f64 = 5.0;

/// Configuration versions up to the current point of the record.
#[derive(Default)]
struct VersionHistory<'a> {
    /// Last version that each edge applied.
    applied: HashMap<&'a str, u64>,
    /// Time of acknowledgement and version, in seconds.
    acknowledged: Vec<(f64, u64)>,
}

impl<'a> VersionHistory<'a> {
    /// Returns the newest version acknowledged more than the bound before `at`,
    /// which has to be in effect by then.
    fn required_version(&self, at: f64) -> u64 {
        self.acknowledged
            .iter()
            .filter(|(acknowledged, _)| at > acknowledged + MAX_CONFIGURATION_DELAY_S)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Checks a version that an edge applied.
    fn apply(&mut self, record: &'a FleetRecord, cases: &mut Cases) {
        let before = self
            .applied
            .insert(&record.subject, record.number)
            .unwrap_or(0);
        let required = self.required_version(record.at);
        let is_compliant = record.number >= before && record.number >= required;
        cases.add_case(
            (record.at - MAX_CONFIGURATION_DELAY_S, record.at),
            is_compliant,
            || {
                format!(
                    "{} applied version {} at {:.3} after {before}; {required} was required",
                    record.subject, record.number, record.at
                )
            },
        );
    }

    /// Records the restart of an edge, after which any version that was not
    /// acknowledged may be undone.
    fn record_restart(&mut self, subject: &'a str) {
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
    /// Checks that acknowledged configurations take effect in time and that no
    /// edge reverts.
    ///
    /// The runner polls every edge for marker entries that an acknowledged
    /// version added or removed. The record also contains the version of every
    /// configuration that an edge applied.
    pub(super) fn configuration_in_force(&self) -> Cases {
        let mut cases = Cases::default();
        self.check_markers("marker", "configured", &mut cases);
        self.check_markers("marker-gone", "removed", &mut cases);
        self.check_versions(&mut cases);
        cases
    }

    /// Checks the observations of markers against their acknowledgements.
    fn check_markers(&self, observation: &str, acknowledgement: &str, cases: &mut Cases) {
        let mut acknowledgement_times: BTreeMap<u64, Option<f64>> = BTreeMap::new();
        let observed = self
            .fleet
            .iter()
            .filter(|record| record.kind == observation);
        for marker in observed {
            let Some(acknowledged) = *acknowledgement_times
                .entry(marker.number)
                .or_insert_with(|| self.first_expected_record_at(acknowledgement, marker.number))
            else {
                continue;
            };
            if !marker.as_expected && marker.at > acknowledged {
                let after = marker.at - acknowledged;
                cases.record_margin(after / MAX_CONFIGURATION_DELAY_S, || {
                    format!(
                        "{observation} {} not observed after {after:.3} s",
                        marker.number
                    )
                });
            }
            if marker.at > acknowledged + MAX_CONFIGURATION_DELAY_S {
                let span = (
                    acknowledged - GRACE_S,
                    acknowledged + MAX_CONFIGURATION_DELAY_S,
                );
                cases.add_case(span, marker.as_expected, || {
                    format!(
                        "{observation} {} not observed at {} at {:.3}",
                        marker.number, marker.subject, marker.at
                    )
                });
            }
        }
    }

    /// Returns the time of the first record of this kind and number that is as expected, in
    /// seconds.
    fn first_expected_record_at(&self, kind: &str, number: u64) -> Option<f64> {
        self.fleet
            .iter()
            .find(|record| record.kind == kind && record.number == number && record.as_expected)
            .map(|record| record.at)
    }

    /// Checks that each edge applies versions in rising order (across restarts,
    /// this holds for acknowledged versions) and no version older than one
    /// acknowledged more than 2.5 s ago.
    fn check_versions(&self, cases: &mut Cases) {
        let mut history = VersionHistory::default();
        for record in &self.fleet {
            match record.kind.as_str() {
                "acknowledged" => history.acknowledged.push((record.at, record.number)),
                "in-force" => history.apply(record, cases),
                "killed" | "restarted" if record.number == 0 => {
                    history.record_restart(&record.subject)
                }
                // No node with an earlier version is left.
                "all-lost" => history = VersionHistory::default(),
                // Records of the simulator only: the version in effect at the
                // moment of the acknowledgement, and assignments held by two
                // live nodes.
                "at-ack" | "duty-held-twice" => {
                    cases.add_case((record.at - GRACE_S, record.at), record.as_expected, || {
                        format!(
                            "{} {} {} at {:.3}",
                            record.kind, record.subject, record.number, record.at
                        )
                    });
                }
                _ => {}
            }
        }
    }

    /// Checks that an invalid configuration has no effect, and that a read
    /// returns what was written.
    pub(super) fn configuration_integrity(&self) -> Cases {
        let mut cases = Cases::default();
        let observed = self
            .fleet
            .iter()
            .filter(|record| INTEGRITY_RECORDS.contains(&record.kind.as_str()));
        for record in observed {
            cases.add_case(
                (record.at - INTEGRITY_SPAN, record.at),
                record.as_expected,
                || format!("{} {} {}", record.kind, record.subject, record.number),
            );
        }
        cases
    }
}
