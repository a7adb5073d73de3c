//! Checks of groups and entries beyond the range of a single field: each one by itself,
//! and all of them together.
use super::pointer;
use crate::prelude::*;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];
/// Number of bytes of an ed25519 public key.
const KEY_BYTES: usize = 32;
/// Finding: an entry refers to a service without a group.
const NO_SUCH_GROUP: &str = "no such group";

impl Group {
    /// Validates the group by itself, after its fields were. Places are relative to it.
    pub(crate) fn own_findings(&self) -> Vec<Finding> {
        let key = BASE64.decode(&self.key).unwrap_or_default();
        let text = match self.proof {
            Proof::Named if !self.key.is_empty() => "goes with proof seal only",
            Proof::Seal if key.len() != KEY_BYTES => "must be 32 bytes in base64",
            Proof::Named | Proof::Seal => return Vec::new(),
        };
        vec![Finding::new("/key", text)]
    }
}

impl Entry {
    /// Returns the services that the entry refers to, each with its field.
    pub(crate) fn services(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let split = self.split.iter();
        std::iter::once(("group", self.group.as_str()))
            .chain(split.map(|share| ("split", share.group.as_str())))
    }

    /// Validates the entry by itself, after its fields were. Places are relative to it.
    pub(crate) fn own_findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut report =
            |field: &str, text: &str| findings.push(Finding::new(pointer(&[field]), text));
        let total_weight: f64 = self.split.iter().map(|share| share.weight).sum();
        if !self.split.is_empty() && total_weight <= 0.0 {
            report("split", "some weight must be above 0");
        }
        if !self.path.starts_with('/') {
            report("path", "must start with /");
        }
        for method in &self.methods {
            if !METHODS.contains(&method.as_str()) {
                report("methods", &format!("method {method} is not served"));
            }
        }
        if self.kind == Kind::Cached && !self.methods.is_empty() && self.methods != ["GET"] {
            report("methods", "a cached entry serves GET only");
        }
        if (self.kind == Kind::Cached) != self.cache_ttl_s.is_some() {
            report("cache_ttl_s", "goes with kind cached, and only with it");
        }
        findings
    }
}

/// The requests that a set of entries matches, to find two entries that match the same.
#[derive(Default)]
pub(crate) struct MatchedRequests<'a> {
    seen: HashSet<(Option<&'a str>, &'a str, &'a str)>,
}

impl<'a> MatchedRequests<'a> {
    /// Adds an entry. Returns a finding for each of its matches that was there already.
    pub(crate) fn add(&mut self, entry: &'a Entry) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut insert = |method| {
            self.seen
                .insert((entry.host.as_deref(), entry.path.as_str(), method))
        };
        if entry.methods.is_empty() && !insert("") {
            let text = "another entry has this host and path";
            findings.push(Finding::new("/path", text));
        }
        for method in &entry.methods {
            if !insert(method.as_str()) {
                let text = format!("another entry has this host, path and method {method}");
                findings.push(Finding::new("/path", text));
            }
        }
        findings
    }
}

/// Checks all groups of a configuration.
pub(super) fn check_groups(groups: &[Option<&Group>], findings: &mut Vec<Finding>) {
    let mut services = HashSet::new();
    for (index, group) in groups.iter().enumerate() {
        let Some(group) = group else { continue };
        let mut own_findings = group.own_findings();
        if !services.insert(&group.service) {
            own_findings.push(Finding::new("/service", "service has a group already"));
        }
        findings.extend(within_list("groups", index, own_findings));
    }
}

/// Checks all entries of a configuration with these groups.
pub(super) fn check_entries(
    entries: &[Option<&Entry>],
    groups: &[Option<&Group>],
    findings: &mut Vec<Finding>,
) {
    let groups = groups.iter().flatten();
    let services: HashSet<&str> = groups.map(|group| group.service.as_str()).collect();
    let mut names = HashSet::new();
    let mut matched = MatchedRequests::default();
    for (index, entry) in entries.iter().enumerate() {
        let Some(entry) = entry else { continue };
        let mut entry_findings = Vec::new();
        if !names.insert(&entry.name) {
            entry_findings.push(Finding::new("/name", "name is taken"));
        }
        entry_findings.extend(unknown_services(entry, &|service| {
            services.contains(service)
        }));
        entry_findings.extend(entry.own_findings());
        entry_findings.extend(matched.add(entry));
        findings.extend(within_list("entries", index, entry_findings));
    }
}

/// Returns a finding for each field of the entry that refers to an unknown service.
pub(crate) fn unknown_services(entry: &Entry, is_known: &dyn Fn(&str) -> bool) -> Vec<Finding> {
    let unknown = entry.services().filter(|(_, service)| !is_known(service));
    let mut fields: Vec<&str> = unknown.map(|(field, _)| field).collect();
    fields.dedup();
    fields
        .into_iter()
        .map(|field| Finding::new(pointer(&[field]), NO_SUCH_GROUP))
        .collect()
}

fn within_list(
    list: &'static str,
    index: usize,
    findings: Vec<Finding>,
) -> impl Iterator<Item = Finding> {
    findings.into_iter().map(move |finding| {
        let place = pointer(&[list, &index.to_string()]);
        Finding::new(format!("{place}{}", finding.place), finding.text)
    })
}
