//! Rule CONFIG: requests are handled by a current version of their route, and
//! the configuration read at the end is current.
use super::super::observations::*;
use super::super::routes::route_name;
use super::{PlatformVerdict, RunObservations};
use crate::prelude::*;

/// Version of a route with the order that contains it.
struct SentVersion<'a> {
    version: &'a RouteVersion,
    order: &'a Order,
}

type VersionsByRoute<'a> = HashMap<usize, Vec<SentVersion<'a>>>;

fn versions_of(orders: &[Order]) -> VersionsByRoute<'_> {
    let mut versions = VersionsByRoute::new();
    for order in orders {
        let OrderContent::Routes(order_versions) = &order.content else {
            continue;
        };
        for version in order_versions {
            let list = versions.entry(version.route).or_default();
            list.push(SentVersion { version, order });
        }
    }
    versions
}

/// Returns the newest version acknowledged by the time `at`.
fn acknowledged_by<'a>(versions: &'a [SentVersion<'a>], at: f64) -> Option<&'a RouteVersion> {
    versions
        .iter()
        .filter(|sent| sent.order.acknowledged.is_some_and(|time| time <= at))
        .map(|sent| sent.version)
        .max_by_key(|version| version.revision)
}

impl PlatformVerdict {
    /// Checks that no request is handled by an outdated version once the bound
    /// after the acknowledgement of a newer one has passed.
    pub(super) fn check_configuration(&mut self, run: &RunObservations) {
        let versions = versions_of(&run.orders);
        for attempt in &run.attempts {
            let (AttemptOutcome::Response { status, service }, Some(versions)) =
                (&attempt.outcome, versions.get(&attempt.route))
            else {
                continue;
            };
            if attempt.kind == RouteKind::Cacheable {
                continue; // A cached response may be older and executes nothing.
            }
            let bound = attempt.sent - run.shape.bounds.config_apply;
            let Some(minimum) = acknowledged_by(versions, bound) else {
                continue;
            };
            let mut allowed = versions.iter().filter(|sent| {
                sent.version.revision >= minimum.revision && sent.order.sent <= attempt.ended
            });
            let is_allowed = match (status, service) {
                (200, Some(service)) => {
                    allowed.any(|sent| sent.version.service.as_ref() == Some(service))
                }
                (404, _) => allowed.any(|sent| sent.version.service.is_none()),
                _ => true,
            };
            if !is_allowed
                && run
                    .contact
                    .is_in_contact(attempt.machine, bound, attempt.ended)
            {
                let text = format!(
                    "handled by a version before {}: {attempt:?}",
                    minimum.revision
                );
                self.add_violation("CONFIG", text);
            }
        }
    }

    /// Checks that at the end each route has its newest acknowledged version,
    /// or a later one that may be in effect.
    pub(super) fn check_read_back(
        &mut self,
        run: &RunObservations,
        read_back: Option<&serde_json::Value>,
    ) {
        let Some(document) = read_back else {
            return self.add_violation(
                "CONFIG",
                "the configuration could not be read at the end".into(),
            );
        };
        let current = current_revisions(document);
        for (route, versions) in versions_of(&run.orders) {
            let Some(minimum) = acknowledged_by(&versions, f64::INFINITY) else {
                continue;
            };
            let read = current.get(&route_name(route)).copied();
            let can_be_current = |sent: &SentVersion| {
                let version = sent.version;
                version.revision >= minimum.revision
                    && read == version.service.as_ref().map(|_| version.revision)
            };
            if !versions.iter().any(can_be_current) {
                let text = format!(
                    "read {} at {read:?}, acknowledged {minimum:?}",
                    route_name(route)
                );
                self.add_violation("CONFIG", text);
            }
        }
    }
}

/// Returns the revision of each route of a document.
fn current_revisions(document: &serde_json::Value) -> HashMap<String, u64> {
    let lists = [document, &document["upsert"]];
    let domains = lists
        .iter()
        .filter_map(|list| list["domains"].as_array())
        .flatten();
    let rules = domains
        .filter_map(|domain| domain["path_rules"].as_array())
        .flatten();
    rules
        .filter_map(|rule| {
            Some((
                rule["name"].as_str()?.to_string(),
                rule["revision"].as_u64()?,
            ))
        })
        .collect()
}
