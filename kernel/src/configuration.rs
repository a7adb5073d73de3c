//! The operators' configuration: groups of origins and the entries that route to them.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The largest document that is read.
pub const CONFIGURATION_BYTES: usize = 4 * 1024 * 1024;
/// Entries that a document may have.
pub const MAX_ENTRIES: u64 = 10_000;
/// Groups that a document may have.
pub const MAX_GROUPS: u64 = 64;

/// The operators' complete document. Unknown fields are findings; nothing of a
/// document with a finding takes effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Configuration {
    /// Groups of origins, one a service.
    #[validate(length(max = "MAX_GROUPS"), nested)]
    pub groups: Vec<Group>,
    /// Entries: which requests go to which group.
    #[validate(length(max = "MAX_ENTRIES"), nested)]
    pub entries: Vec<Entry>,
}

/// The origins of one service and how they may be called. A service has one
/// group, so budgets and rates of a service have one admission controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Group {
    /// The service, by which origins are listed.
    #[validate(length(min = 1, max = 64))]
    pub service: String,
    /// Calls a second to one origin.
    #[validate(range(min = 0.5, max = 10000.0))]
    pub rate: f64,
    /// Calls at a time to one origin.
    #[validate(range(min = 1, max = 1000))]
    pub concurrency: u32,
    /// ed25519 public key, base64; none if origins are `Named`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// How an origin's response is known to be its own.
    #[serde(default, skip_serializing_if = "Proof::usual")]
    pub proof: Proof,
    /// Calls a second to all its origins together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 0.1, max = 1000000.0))]
    pub total_rate: Option<f64>,
    /// Connections that one origin accepts from all edges together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 100000))]
    pub sessions: Option<u32>,
    /// Path of the health check.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(length(min = 1, max = 1024))]
    pub probe: Option<String>,
    /// The service itself executes an operation key once, however often it is
    /// called.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_keys: bool,
}

/// How an origin's response is known to be its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Proof {
    /// It signs each response with the group's key.
    #[default]
    Seal,
    /// Each call names the instance it is meant for; another one refuses it,
    /// and the response names the request.
    Named,
}

impl Proof {
    fn usual(&self) -> bool {
        *self == Proof::Seal
    }
}

/// A weighted part of an entry's requests that goes to another group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The other group.
    #[validate(length(min = 1, max = 64))]
    pub group: String,
    /// Its part of the sum of all weights.
    #[validate(range(min = 0.0, max = 1000000.0))]
    pub weight: f64,
}

/// What clients may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The largest request head, in bytes.
    #[validate(range(min = 256, max = 1048576))]
    pub head_bytes: u64,
    /// The largest request body, in bytes.
    #[validate(range(min = 0, max = 1073741824))]
    pub body_bytes: u64,
    /// From the first byte of a head to its last, in milliseconds.
    #[validate(range(min = 10, max = 600000))]
    pub head_ms: u64,
    /// Between two requests on one connection, in milliseconds.
    #[validate(range(min = 10, max = 3600000))]
    pub idle_ms: u64,
}

/// How often a request may be executed, and whether its response is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Its response is shared through the cache.
    Cached,
    /// Carries an operation key; executed at most once.
    Keyed,
    /// Idempotent: may be executed more than once.
    Repeatable,
    /// Executed at most once, without a key; only GET and HEAD are retried.
    Plain,
    /// Executed at most once, without a key and whatever its method.
    Once,
}

/// A route: requests that match go to `group` with `rank`; a higher rank has
/// priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Entry {
    /// Its name.
    #[validate(length(min = 1, max = 64))]
    pub name: String,
    /// The host it is for; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(length(min = 1, max = 255))]
    pub host: Option<String>,
    /// Requests for this path and below it match.
    #[validate(length(min = 1, max = 1024))]
    pub path: String,
    /// In items, none means all; the document lists them.
    #[serde(default = "Entry::usual_methods")]
    #[validate(length(max = 8))]
    pub methods: Vec<String>,
    /// The group that serves it.
    #[validate(length(min = 1, max = 64))]
    pub group: String,
    /// Its priority: higher is served first.
    #[validate(range(min = 0, max = 1000))]
    pub rank: u32,
    /// How often it may be executed, and whether its response is shared.
    pub kind: Kind,
    /// How long a cached response is kept, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 0.1, max = 86400.0))]
    pub cache_ttl_s: Option<f64>,
    /// How long a request may take, in milliseconds, unless the client says so.
    #[serde(default = "Entry::usual_deadline")]
    #[validate(range(min = 1, max = 600000))]
    pub deadline_ms: u64,
    /// Where requests go instead of all to `group`, by weight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(nested)]
    pub split: Vec<Share>,
    /// Origins that one request may be sent to, at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 100))]
    pub attempts: Option<u32>,
    /// The latency target in milliseconds: a response in this time is worth
    /// most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[validate(range(min = 1, max = 600000))]
    pub aim_ms: Option<u64>,
}

impl Entry {
    fn usual_methods() -> Vec<String> {
        vec!["GET".into()]
    }

    fn usual_deadline() -> u64 {
        5000
    }

    /// Whether a request of this method is the entry's.
    pub fn accepts(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|known| known == method)
    }

    /// The group of one request: by weight, and alike for one key, so that an
    /// object has one source and a retry meets the same service.
    pub fn group_for(&self, key: &[u8]) -> &str {
        let whole: f64 = self.split.iter().map(|share| share.weight).sum();
        let mut left = f64::from(crc32fast::hash(key)) / f64::from(u32::MAX) * whole;
        for share in self.split.iter().filter(|share| share.weight > 0.0) {
            left -= share.weight;
            if left <= 0.0 {
                return &share.group;
            }
        }
        &self.group
    }

    /// How long a request may take unless the client says so.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// How long a cached response is kept: the major expiry; the minor one is
    /// half.
    pub fn cache_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.cache_ttl_s.unwrap_or(10.0))
    }
}

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

impl Configuration {
    /// The group of a service.
    pub fn group(&self, service: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.service == service)
    }

    /// What is wrong between the parts of a document whose parts were read
    /// one by one; places name the entry or group.
    pub fn findings(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        let groups: Vec<Option<&Group>> = self.groups.iter().map(Some).collect();
        check_groups(&groups, &mut found);
        check_entries(
            &self.entries.iter().map(Some).collect::<Vec<_>>(),
            &groups,
            &mut found,
        );
        if self.entries.len() as u64 > MAX_ENTRIES {
            found.push(Finding::new("/entries", format!("more than {MAX_ENTRIES}")));
        }
        if self.groups.len() as u64 > MAX_GROUPS {
            found.push(Finding::new("/groups", format!("more than {MAX_GROUPS}")));
        }
        found
    }

    /// Reads and checks a document: all findings come together.
    pub fn read(text: &str) -> Result<Configuration, Vec<Finding>> {
        if text.len() > CONFIGURATION_BYTES {
            let text = format!(
                "document has {} bytes; at most {CONFIGURATION_BYTES}",
                text.len()
            );
            return Err(vec![Finding::new("", text)]);
        }
        let whole: serde_json::Value = serde_json::from_str(text)
            .map_err(|error| vec![Finding::new("", format!("not JSON: {error}"))])?;
        let mut found = Vec::new();
        let Some(top) = whole.as_object() else {
            return Err(vec![Finding::new("", "must be an object")]);
        };
        for name in top
            .keys()
            .filter(|name| !["groups", "entries"].contains(&name.as_str()))
        {
            found.push(Finding::new(pointer(&[name]), "unknown field"));
        }
        let groups: Vec<Option<Group>> = read_list(&whole, "groups", &mut found);
        let entries: Vec<Option<Entry>> = read_list(&whole, "entries", &mut found);
        check_groups(
            &groups.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &mut found,
        );
        check_entries(
            &entries.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &groups.iter().map(Option::as_ref).collect::<Vec<_>>(),
            &mut found,
        );
        for (at, entry) in entries
            .iter()
            .enumerate()
            .filter_map(|(at, entry)| Some((at, entry.as_ref()?)))
        {
            if entry.methods.is_empty() {
                found.push(Finding::new(
                    pointer(&["entries", &at.to_string(), "methods"]),
                    "length out of bounds (min 1, max 8)",
                ));
            }
        }
        if !found.is_empty() {
            found.sort_by(|a, b| a.place.cmp(&b.place));
            return Err(found);
        }
        let document = Configuration {
            groups: groups.into_iter().flatten().collect(),
            entries: entries.into_iter().flatten().collect(),
        };
        let found = findings_of(document.validate());
        if found.is_empty() {
            Ok(document)
        } else {
            Err(found)
        }
    }
}

fn check_groups(groups: &[Option<&Group>], found: &mut Vec<Finding>) {
    let mut seen = HashSet::new();
    for (at, group) in groups.iter().enumerate() {
        let Some(group) = group else { continue };
        let place = |field: &str| pointer(&["groups", &at.to_string(), field]);
        if !seen.insert(&group.service) {
            found.push(Finding::new(
                place("service"),
                "service has a group already",
            ));
        }
        let key = BASE64.decode(&group.key).unwrap_or_default();
        if group.proof == Proof::Named {
            if !group.key.is_empty() {
                found.push(Finding::new(place("key"), "goes with proof seal only"));
            }
        } else if key.len() != 32 {
            found.push(Finding::new(place("key"), "must be 32 bytes in base64"));
        }
    }
}

fn check_entries(entries: &[Option<&Entry>], groups: &[Option<&Group>], found: &mut Vec<Finding>) {
    let known: HashSet<&str> = groups
        .iter()
        .flatten()
        .map(|group| group.service.as_str())
        .collect();
    let mut names = HashSet::new();
    let mut matches = HashSet::new();
    for (at, entry) in entries.iter().enumerate() {
        let Some(entry) = entry else { continue };
        let place = |field: &str| pointer(&["entries", &at.to_string(), field]);
        let mut say = |field: &str, text: &str| found.push(Finding::new(place(field), text));
        if !names.insert(&entry.name) {
            say("name", "name is taken");
        }
        if !known.contains(entry.group.as_str()) {
            say("group", "no such group");
        }
        if entry
            .split
            .iter()
            .any(|share| !known.contains(share.group.as_str()))
        {
            say("split", "no such group");
        }
        if !entry.split.is_empty()
            && entry.split.iter().map(|share| share.weight).sum::<f64>() <= 0.0
        {
            say("split", "some weight must be above 0");
        }
        if !entry.path.starts_with('/') {
            say("path", "must start with /");
        }
        if entry.methods.is_empty() && !matches.insert((&entry.host, &entry.path, "")) {
            say("path", "another entry has this host and path");
        }
        for method in &entry.methods {
            if !METHODS.contains(&method.as_str()) {
                say("methods", &format!("method {method} is not served"));
            }
            if !matches.insert((&entry.host, &entry.path, method.as_str())) {
                say(
                    "path",
                    &format!("another entry has this host, path and method {method}"),
                );
            }
        }
        if entry.kind == Kind::Cached && !entry.methods.is_empty() && entry.methods != ["GET"] {
            say("methods", "a cached entry serves GET only");
        }
        if (entry.kind == Kind::Cached) != entry.cache_ttl_s.is_some() {
            say("cache_ttl_s", "goes with kind cached, and only with it");
        }
    }
}

/// Reads each item by itself, so that one bad item does not hide another.
fn read_list<T: for<'a> Deserialize<'a> + Serialize + Validate>(
    whole: &serde_json::Value,
    name: &str,
    found: &mut Vec<Finding>,
) -> Vec<Option<T>> {
    let Some(list) = whole.get(name).and_then(|list| list.as_array()) else {
        found.push(Finding::new(pointer(&[name]), "must be a list"));
        return Vec::new();
    };
    let mut read = Vec::new();
    for (at, item) in list.iter().enumerate() {
        let place = pointer(&[name, &at.to_string()]);
        match serde_json::from_value::<T>(item.clone()) {
            Err(error) => {
                found.push(Finding::new(place, error.to_string()));
                read.push(None);
            }
            Ok(good) => {
                for finding in findings_of(good.validate()) {
                    found.push(Finding::new(
                        format!("{place}{}", finding.place),
                        finding.text,
                    ));
                }
                unknown_fields(item, &good, &place, found);
                read.push(Some(good));
            }
        }
    }
    read
}

/// A field that does not survive reading is one we do not know.
fn unknown_fields<T: Serialize>(
    item: &serde_json::Value,
    good: &T,
    place: &str,
    found: &mut Vec<Finding>,
) {
    let known = serde_json::to_value(good).unwrap_or_default();
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
        if known.get(name).is_none() && !optional.contains(&name.as_str()) {
            found.push(Finding::new(
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

/// The validator's tree of errors as a flat list with pointers.
pub fn findings_of(checked: Result<(), validator::ValidationErrors>) -> Vec<Finding> {
    fn walk(errors: &validator::ValidationErrors, place: &str, found: &mut Vec<Finding>) {
        for (field, kind) in errors.errors() {
            let place = format!("{place}{}", pointer(&[field]));
            match kind {
                validator::ValidationErrorsKind::Struct(inner) => walk(inner, &place, found),
                validator::ValidationErrorsKind::List(list) => {
                    for (at, inner) in list {
                        walk(inner, &format!("{place}/{at}"), found);
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
                        found.push(Finding::new(
                            &place,
                            format!("{} out of bounds ({})", error.code, bounds.join(", ")),
                        ));
                    }
                }
            }
        }
    }
    let mut found = Vec::new();
    if let Err(errors) = checked {
        walk(&errors, "", &mut found);
        found.sort_by(|a, b| a.place.cmp(&b.place));
    }
    found
}
