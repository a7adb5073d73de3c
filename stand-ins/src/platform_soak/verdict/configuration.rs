//! CONFIG: which version of a route a request was handled by, and what is read
//! back at the end.
use super::super::observations::*;
use super::super::routes::name_of;
use super::{JudgedRun, PlatformVerdict};
use crate::prelude::*;

/// One version of a route, with the order that carried it.
struct SentVersion<'a> {
    version: &'a RouteVersion,
    order: &'a Order,
}

type VersionsByRoute<'a> = HashMap<usize, Vec<SentVersion<'a>>>;

fn versions_of(orders: &[Order]) -> VersionsByRoute<'_> {
    let mut versions = VersionsByRoute::new();
    for order in orders {
        let OrderContent::Routes(list) = &order.content else {
            continue;
        };
        for version in list {
            let known = versions.entry(version.route).or_default();
            known.push(SentVersion { version, order });
        }
    }
    versions
}

/// The newest version that was acknowledged by then.
fn acknowledged_by<'a>(versions: &'a [SentVersion<'a>], at: f64) -> Option<&'a RouteVersion> {
    versions
        .iter()
        .filter(|sent| sent.order.acknowledged.is_some_and(|when| when <= at))
        .map(|sent| sent.version)
        .max_by_key(|version| version.revision)
}

impl PlatformVerdict {
    /// Later than the bound after an acknowledgement, no request is handled as
    /// only an older version allows.
    pub(super) fn judge_configuration(&mut self, run: &JudgedRun) {
        let versions = versions_of(&run.orders);
        for one in &run.tries {
            let (TryOutcome::Response { status, service }, Some(versions)) =
                (&one.outcome, versions.get(&one.route))
            else {
                continue;
            };
            if one.kind == RouteKind::Cacheable {
                continue; // A copy may be older; it runs nothing.
            }
            let bound = one.sent - run.shape.bounds.config_apply;
            let Some(least) = acknowledged_by(versions, bound) else {
                continue;
            };
            let mut allowed = versions.iter().filter(|sent| {
                sent.version.revision >= least.revision && sent.order.sent <= one.ended
            });
            let is_allowed = match (status, service) {
                (200, Some(service)) => {
                    allowed.any(|sent| sent.version.service.as_ref() == Some(service))
                }
                (404, _) => allowed.any(|sent| sent.version.service.is_none()),
                _ => true,
            };
            if !is_allowed && run.contact.is_in_touch(one.machine, bound, one.ended) {
                let text = format!("by a version before {}: {one:?}", least.revision);
                self.violate("CONFIG", text);
            }
        }
    }

    /// At the end each route is there as its newest acknowledged version, or a
    /// later one that may be in force.
    pub(super) fn judge_read_back(
        &mut self,
        run: &JudgedRun,
        read_back: Option<&serde_json::Value>,
    ) {
        let Some(document) = read_back else {
            return self.violate("CONFIG", "the configuration could not be read back".into());
        };
        let standing = standing_revisions(document);
        for (route, versions) in versions_of(&run.orders) {
            let Some(least) = acknowledged_by(&versions, f64::INFINITY) else {
                continue;
            };
            let read = standing.get(&name_of(route)).copied();
            let may_stand = |sent: &SentVersion| {
                let version = sent.version;
                version.revision >= least.revision
                    && read == version.service.as_ref().map(|_| version.revision)
            };
            if !versions.iter().any(may_stand) {
                let text = format!(
                    "read back {} at {read:?}, acknowledged {least:?}",
                    name_of(route)
                );
                self.violate("CONFIG", text);
            }
        }
    }
}

/// The revision of each route of a document.
fn standing_revisions(document: &serde_json::Value) -> HashMap<String, u64> {
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
