//! Rules on successful responses: for the request itself, fresh after a purge,
//! within the TTL.
use super::*;

impl Checker {
    /// Checks that each success is the origin's response to the request.
    pub(super) fn mismatched_successes(&self) -> Cases {
        let mut cases = Cases::default();
        for call in self.clients.iter().filter(|call| call.status == 200) {
            cases.add_case((call.start, call.end), call.matches_request, || {
                format!("{} at {} {:?}", call.path, call.edge, call.operation)
            });
        }
        cases
    }

    /// Returns the times at which content changed, with the new version.
    pub(super) fn content_changes(&self) -> Vec<(f64, u64)> {
        self.fleet
            .iter()
            .filter(|record| record.kind == "content")
            .map(|record| (record.at, record.number))
            .collect()
    }

    /// Checks that no stale response is served after a purge.
    ///
    /// The start of the request counts: a response in transit when the bound
    /// passed belongs to an earlier request.
    pub(super) fn served_after_purge(&self) -> Cases {
        let mut cases = Cases::default();
        for purge in self
            .fleet
            .iter()
            .filter(|record| record.kind == "purged" && record.as_expected)
        {
            let is_affected = |call: &&ClientRecord| {
                self.ttls.contains_key(&call.entry)
                    && call.path.starts_with(&purge.subject)
                    && call.status == 200
            };
            for call in self
                .clients
                .iter()
                .filter(is_affected)
                .filter(|call| call.start > purge.at)
            {
                let is_stale = call.version < Some(purge.number);
                if is_stale {
                    let after = call.start - purge.at;
                    cases.record_margin(after / GRACE_S, || {
                        format!("a stale response {after:.3} s after the purge")
                    });
                }
                if call.start > purge.at + GRACE_S {
                    cases.add_case((purge.at - GRACE_S, purge.at + GRACE_S), !is_stale, || {
                        format!(
                            "{} version {:?}, {} s after purge of {}",
                            call.path,
                            call.version,
                            call.start - purge.at,
                            purge.number
                        )
                    });
                }
            }
        }
        cases
    }

    /// Checks that no response is served beyond its TTL after the content
    /// changed.
    pub(super) fn served_beyond_ttl(&self) -> Cases {
        let mut cases = Cases::default();
        for (at, version) in self.content_changes() {
            for call in self
                .clients
                .iter()
                .filter(|call| call.status == 200 && call.start > at)
            {
                let Some(ttl) = self.ttls.get(&call.entry) else {
                    continue;
                };
                let is_stale = call.version < Some(version);
                let after = call.start - at - *ttl as f64;
                if is_stale {
                    cases.record_margin(after / GRACE_S, || {
                        format!("a stale response {after:.3} s after its TTL")
                    });
                }
                if after > GRACE_S {
                    cases.add_case((at, at + *ttl as f64 + GRACE_S), !is_stale, || {
                        format!(
                            "{} version {:?}, {} s after the change to {version}",
                            call.path,
                            call.version,
                            call.start - at
                        )
                    });
                }
            }
        }
        cases
    }
}
