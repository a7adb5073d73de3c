//! Purges and the cached responses that they match.
use crate::prelude::*;

/// The conditions of a purge: all given ones must match. `entry` alone matches all
/// responses of the entry. (Also encoded with `bincode`, so no field may be skipped
/// in serialization.)
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Purge {
    /// Matches responses of this entry.
    #[serde(default)]
    #[validate(length(min = 1, max = 64))]
    pub entry: Option<String>,
    /// Matches responses with this path, or this path and query.
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub url: Option<String>,
    /// Matches responses whose path starts with this prefix.
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub prefix: Option<String>,
    /// Matches responses of this host.
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub host: Option<String>,
    /// Matches responses with this tag.
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub tag: Option<String>,
}

/// The attributes of a cached response that a purge is compared with.
#[derive(Debug, Clone, Copy)]
pub struct CacheEntryAttributes<'a> {
    /// Name of the configuration entry.
    pub entry: &'a str,
    /// Host of the entry; empty if the response serves any host.
    pub host: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// Tags of the response; `None` until the response has arrived: every tag then
    /// matches.
    pub tags: Option<&'a [String]>,
}

impl Purge {
    /// Returns true if the purge removes this response.
    pub fn matches(&self, response: CacheEntryAttributes) -> bool {
        self.entry
            .as_deref()
            .is_none_or(|name| name == response.entry)
            && self.host.as_deref().is_none_or(|name| {
                response.host.is_empty() || name.eq_ignore_ascii_case(response.host)
            })
            && self.url.as_deref().is_none_or(|url| {
                url == response.url || response.url.split('?').next() == Some(url)
            })
            && self
                .prefix
                .as_deref()
                .is_none_or(|prefix| response.url.starts_with(prefix))
            && self.tag.as_deref().is_none_or(|tag| {
                response
                    .tags
                    .is_none_or(|tags| tags.iter().any(|response_tag| response_tag == tag))
            })
    }

    /// Validates the purge and returns all findings.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = findings_of(self.validate());
        if self.entry.is_none()
            && self.url.is_none()
            && self.prefix.is_none()
            && self.host.is_none()
            && self.tag.is_none()
        {
            findings.push(Finding::new(
                "",
                "one of entry, host, url, prefix or tag must be given",
            ));
        }
        if self.url.is_some() && self.prefix.is_some() {
            findings.push(Finding::new("/prefix", "url and prefix exclude each other"));
        }
        findings
    }
}
