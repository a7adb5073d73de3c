//! The operators' configuration: groups of origins and the entries that route to them.
mod checks;
#[cfg(test)]
mod tests;

use crate::prelude::*;
pub(crate) use checks::{MatchedRequests, unknown_services};
use checks::{check_entries, check_groups};

/// Maximum size of a document in bytes.
pub const CONFIGURATION_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of entries in a document.
pub const MAX_ENTRIES: u64 = 10_000;
/// Maximum number of groups in a document.
pub const MAX_GROUPS: u64 = 64;

/// The operators' complete configuration document. Unknown fields are findings; no
/// part of a document with a finding takes effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Configuration {
    /// Groups of origins, one for each service.
    #[validate(length(max = "MAX_GROUPS"), nested)]
    pub groups: Vec<Group>,
    /// Entries that route requests to groups.
    #[validate(length(max = "MAX_ENTRIES"), nested)]
    pub entries: Vec<Entry>,
}

/// The origins of one service and the limits for calling them. A service has one
/// group, so its budgets and rates are enforced by one admission controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Group {
    /// The service, under which origins are listed.
    #[validate(length(min = 1, max = 64))]
    pub service: String,
    /// Maximum rate of calls to one origin, per second.
    #[validate(range(min = 0.5, max = 10000.0))]
    pub rate: f64,
    /// Maximum number of concurrent calls to one origin.
    #[validate(range(min = 1, max = 1000))]
    pub concurrency: u32,
    /// ed25519 public key, in base64, that verifies the origins' signatures; empty if
    /// `proof` is `Named`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// Method by which an origin's response is authenticated.
    #[serde(default, skip_serializing_if = "Proof::is_default")]
    pub proof: Proof,
    /// Maximum rate of calls to all origins of the group together, per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 0.1, max = 1000000.0))]
    pub total_rate: Option<f64>,
    /// Maximum number of connections to one origin from all edges together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 100000))]
    pub sessions: Option<u32>,
    /// Path of the health check.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(length(min = 1, max = 1024))]
    pub probe: Option<String>,
    /// True if the service itself executes each operation key only once, even if it
    /// is called several times with the key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_keys: bool,
}

/// Method by which an origin's response is authenticated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Proof {
    /// The origin signs each response with the group's key.
    #[default]
    Seal,
    /// Each call names its target instance; another instance rejects it, and the
    /// response names the request.
    Named,
}

impl Proof {
    fn is_default(&self) -> bool {
        *self == Proof::Seal
    }
}

/// A weighted share of an entry's requests that is routed to another group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The other group.
    #[validate(length(min = 1, max = 64))]
    pub group: String,
    /// Weight, relative to the sum of all weights.
    #[validate(range(min = 0.0, max = 1000000.0))]
    pub weight: f64,
}

/// Limits on the size and timing of client requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum size of a request head, in bytes.
    #[validate(range(min = 256, max = 1048576))]
    pub head_bytes: u64,
    /// Maximum size of a request body, in bytes.
    #[validate(range(min = 0, max = 1073741824))]
    pub body_bytes: u64,
    /// Timeout from the first byte of a head to its last, in milliseconds.
    #[validate(range(min = 10, max = 600000))]
    pub head_ms: u64,
    /// Idle timeout between two requests on one connection, in milliseconds.
    #[validate(range(min = 10, max = 3600000))]
    pub idle_ms: u64,
}

/// The kind of an entry: how often a request may be executed, and whether its response
/// is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The response is shared through the cache.
    Cached,
    /// The request carries an operation key and is executed at most once.
    Keyed,
    /// The request is idempotent and may be executed more than once.
    Repeatable,
    /// The request has no key and is executed at most once; only GET and HEAD are
    /// retried.
    Plain,
    /// The request has no key and is executed at most once, for every method.
    Once,
}

/// A route: matching requests are sent to `group` with priority `rank`; a higher rank
/// is served first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Entry {
    /// Name of the entry.
    #[validate(length(min = 1, max = 64))]
    pub name: String,
    /// Host that the entry serves; `None`: any host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(length(min = 1, max = 255))]
    pub host: Option<String>,
    /// Path prefix: requests for this path and below it match.
    #[validate(length(min = 1, max = 1024))]
    pub path: String,
    /// HTTP methods that match. Empty means all methods in an item, and is invalid
    /// in the document.
    #[serde(default = "Entry::default_methods")]
    #[validate(length(max = 8))]
    pub methods: Vec<String>,
    /// Group that serves the requests.
    #[validate(length(min = 1, max = 64))]
    pub group: String,
    /// Priority: a higher rank is served first.
    #[validate(range(min = 0, max = 1000))]
    pub rank: u32,
    /// Kind of the entry.
    pub kind: Kind,
    /// Time to live of a cached response, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 0.1, max = 86400.0))]
    pub cache_ttl_s: Option<f64>,
    /// Timeout of a request, in milliseconds, unless the client sends one.
    #[serde(default = "Entry::default_deadline_ms")]
    #[validate(range(min = 1, max = 600000))]
    pub deadline_ms: u64,
    /// Weighted groups that requests are distributed over, instead of `group`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(nested)]
    pub split: Vec<Share>,
    /// Maximum number of origins that one request may be sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 100))]
    pub attempts: Option<u32>,
    /// Latency target in milliseconds: a response within this time has the
    /// highest value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 600000))]
    pub aim_ms: Option<u64>,
}

impl Entry {
    fn default_methods() -> Vec<String> {
        vec!["GET".into()]
    }

    fn default_deadline_ms() -> u64 {
        5000
    }

    /// Returns true if the entry matches requests with this method.
    pub fn accepts(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method)
    }

    /// Returns the group for a request: chosen by weight, and always the same for
    /// one key, so that an object has one source and a retry reaches the same
    /// service.
    pub fn group_for(&self, key: &[u8]) -> &str {
        let total: f64 = self.split.iter().map(|share| share.weight).sum();
        let mut remaining = f64::from(crc32fast::hash(key)) / f64::from(u32::MAX) * total;
        for share in self.split.iter().filter(|share| share.weight > 0.0) {
            remaining -= share.weight;
            if remaining <= 0.0 {
                return &share.group;
            }
        }
        &self.group
    }

    /// Returns the timeout of a request, unless the client sends one.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the time to live of a cached response, which ends at the major expiry.
    /// At the minor expiry, after half of this time, the response is refreshed.
    pub fn cache_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.cache_ttl_s.unwrap_or(10.0))
    }
}

impl Configuration {
    /// Returns the group of a service.
    pub fn group(&self, service: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.service == service)
    }

    /// Validates the document as a whole, after its parts were validated one by one, and
    /// returns all findings. The place of a finding names the group or entry.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let groups: Vec<Option<&Group>> = self.groups.iter().map(Some).collect();
        check_groups(&groups, &mut findings);
        check_entries(
            &self.entries.iter().map(Some).collect::<Vec<_>>(),
            &groups,
            &mut findings,
        );
        if self.entries.len() as u64 > MAX_ENTRIES {
            findings.push(Finding::new("/entries", format!("more than {MAX_ENTRIES}")));
        }
        if self.groups.len() as u64 > MAX_GROUPS {
            findings.push(Finding::new("/groups", format!("more than {MAX_GROUPS}")));
        }
        findings
    }

    /// Parses and validates a document; returns all findings together.
    pub fn read(text: &str) -> Result<Configuration, Vec<Finding>> {
        if text.len() > CONFIGURATION_BYTES {
            let text = format!(
                "document has {} bytes; at most {CONFIGURATION_BYTES}",
                text.len()
            );
            return Err(vec![Finding::new("", text)]);
        }
        let document_json: serde_json::Value = serde_json::from_str(text)
            .map_err(|error| vec![Finding::new("", format!("not JSON: {error}"))])?;
        let mut findings = Vec::new();
        let Some(fields) = document_json.as_object() else {
            return Err(vec![Finding::new("", "must be an object")]);
        };
        for name in fields
            .keys()
            .filter(|name| !["groups", "entries"].contains(&name.as_str()))
        {
            findings.push(Finding::new(pointer(&[name]), "unknown field"));
        }
        let groups: Vec<Option<Group>> = read_list(&document_json, "groups", &mut findings);
        let entries: Vec<Option<Entry>> = read_list(&document_json, "entries", &mut findings);
        check_groups(
            &groups.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &mut findings,
        );
        check_entries(
            &entries.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &groups.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &mut findings,
        );
        for (index, entry) in entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((index, entry.as_ref()?)))
        {
            if entry.methods.is_empty() {
                findings.push(Finding::new(
                    pointer(&["entries", &index.to_string(), "methods"]),
                    "length out of bounds (min 1, max 8)",
                ));
            }
        }
        if !findings.is_empty() {
            findings.sort_by(|a, b| a.place.cmp(&b.place));
            return Err(findings);
        }
        let document = Configuration {
            groups: groups.into_iter().flatten().collect(),
            entries: entries.into_iter().flatten().collect(),
        };
        let findings = findings_of(document.validate());
        if findings.is_empty() {
            Ok(document)
        } else {
            Err(findings)
        }
    }
}

/// Parses each element by itself, so that one invalid element does not hide the findings
/// of another.
fn read_list<T: for<'a> Deserialize<'a> + Serialize + Validate>(
    document_json: &serde_json::Value,
    name: &str,
    findings: &mut Vec<Finding>,
) -> Vec<Option<T>> {
    let Some(list) = document_json.get(name).and_then(|list| list.as_array()) else {
        findings.push(Finding::new(pointer(&[name]), "must be a list"));
        return Vec::new();
    };
    let mut read = Vec::new();
    for (index, item) in list.iter().enumerate() {
        let place = pointer(&[name, &index.to_string()]);
        match serde_json::from_value::<T>(item.clone()) {
            Err(error) => {
                findings.push(Finding::new(place, error.to_string()));
                read.push(None);
            }
            Ok(parsed) => {
                for finding in findings_of(parsed.validate()) {
                    findings.push(Finding::new(
                        format!("{place}{}", finding.place),
                        finding.text,
                    ));
                }
                report_unknown_fields(item, &parsed, &place, findings);
                read.push(Some(parsed));
            }
        }
    }
    read
}

/// Reports fields that are not part of the parsed value.
fn report_unknown_fields<T: Serialize>(
    item: &serde_json::Value,
    parsed: &T,
    place: &str,
    findings: &mut Vec<Finding>,
) {
    let parsed_json = serde_json::to_value(parsed).unwrap_or_default();
    let optional = [
        "host",
        "cache_ttl_s",
        "key",
        "proof",
        "total_rate",
        "sessions",
        "probe",
        "keeps_keys",
        "split",
        "attempts",
        "aim_ms",
    ];
    for name in item
        .as_object()
        .into_iter()
        .flat_map(|fields| fields.keys())
    {
        if parsed_json.get(name).is_none() && !optional.contains(&name.as_str()) {
            findings.push(Finding::new(
                format!("{place}{}", pointer(&[name])),
                "unknown field",
            ));
        }
    }
}

fn pointer(parts: &[&str]) -> String {
    parts
        .iter()
        .map(|part| format!("/{}", part.replace('~', "~0").replace('/', "~1")))
        .collect()
}

/// Converts the validator's tree of errors to a flat list of findings with JSON pointers.
pub fn findings_of(checked: Result<(), validator::ValidationErrors>) -> Vec<Finding> {
    fn walk(errors: &validator::ValidationErrors, place: &str, findings: &mut Vec<Finding>) {
        for (field, kind) in errors.errors() {
            let place = format!("{place}{}", pointer(&[field]));
            match kind {
                validator::ValidationErrorsKind::Struct(inner) => walk(inner, &place, findings),
                validator::ValidationErrorsKind::List(list) => {
                    for (index, inner) in list {
                        walk(inner, &format!("{place}/{index}"), findings);
                    }
                }
                validator::ValidationErrorsKind::Field(list) => {
                    for error in list {
                        let bounds: Vec<String> = ["min", "max"]
                            .iter()
                            .filter_map(|name| {
                                error
                                    .params
                                    .get(*name)
                                    .map(|bound| format!("{name} {bound}"))
                            })
                            .collect();
                        findings.push(Finding::new(
                            &place,
                            format!("{} out of bounds ({})", error.code, bounds.join(", ")),
                        ));
                    }
                }
            }
        }
    }
    let mut findings = Vec::new();
    if let Err(errors) = checked {
        walk(&errors, "", &mut findings);
        findings.sort_by(|a, b| a.place.cmp(&b.place));
    }
    findings
}
