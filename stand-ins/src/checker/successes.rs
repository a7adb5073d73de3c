//! Rules on successful responses: the caller's own, fresh after a purge and within the TTL.
use super::*;

impl Checker {
    pub(super) fn foreign_success(&self) -> Cases {
        let mut cases = Cases::default();
        for call in self.callers.iter().filter(|call| call.status == 200) {
            cases.case((call.start, call.end), call.fits, || {
                format!("{} at {} {:?}", call.path, call.edge, call.operation)
            });
        }
        cases
    }

    /// Times at which content was replaced, and the version since then.
    pub(super) fn replaced(&self) -> Vec<(f64, u64)> {
        self.fleet
            .iter()
            .filter(|one| one.what == "content")
            .map(|one| (one.at, one.number))
            .collect()
    }

    /// Judged by when a request began: an answer that was on its way when the
    /// bound passed was asked for before it.
    pub(super) fn served_after_purge(&self) -> Cases {
        let mut cases = Cases::default();
        for purge in self
            .fleet
            .iter()
            .filter(|one| one.what == "purged" && one.good)
        {
            let reached = |call: &&CallerRecord| {
                self.keeps.contains_key(&call.entry)
                    && call.path.starts_with(&purge.subject)
                    && call.status == 200
            };
            for call in self
                .callers
                .iter()
                .filter(reached)
                .filter(|call| call.start > purge.at)
            {
                let old = call.version < Some(purge.number);
                if old {
                    let after = call.start - purge.at;
                    cases.margin(after / GRACE, || format!("an old copy {after:.3} s after"));
                }
                if call.start > purge.at + GRACE {
                    cases.case((purge.at - GRACE, purge.at + GRACE), !old, || {
                        format!(
                            "{} version {:?} at {} s after purge of {}",
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

    pub(super) fn served_beyond_ttl(&self) -> Cases {
        let mut cases = Cases::default();
        for (at, version) in self.replaced() {
            for call in self
                .callers
                .iter()
                .filter(|call| call.status == 200 && call.start > at)
            {
                let Some(keep) = self.keeps.get(&call.entry) else {
                    continue;
                };
                let old = call.version < Some(version);
                let after = call.start - at - *keep as f64;
                if old {
                    cases.margin(after / GRACE, || {
                        format!("an old copy {after:.3} s after its keep time")
                    });
                }
                if after > GRACE {
                    cases.case((at, at + *keep as f64 + GRACE), !old, || {
                        format!(
                            "{} version {:?}, {} s after {version} came",
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
