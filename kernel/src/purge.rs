//! Purges and the cached responses that they match.
use crate::prelude::*;

/// What a purge matches: all that is given must match. `entry` alone: all
/// responses of the entry. (Travels as `bincode` too, which allows no field to
/// be left out.)
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Purge {
    /// Responses of this entry.
    #[serde(default)]
    #[validate(length(min = 1, max = 64))]
    pub entry: Option<String>,
    /// Responses with this path, or this path and query.
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub url: Option<String>,
    /// Responses whose path begins so.
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub prefix: Option<String>,
    /// Responses of this host.
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub host: Option<String>,
    /// Responses that carry this tag.
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub tag: Option<String>,
}

/// What a cached response is known by when a purge is compared with it.
#[derive(Debug, Clone, Copy)]
pub struct CacheEntryName<'a> {
    /// The configuration's entry.
    pub entry: &'a str,
    /// Empty if the response serves any host.
    pub host: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// None while the response is not there yet: then every tag matches.
    pub tags: Option<&'a [String]>,
}

impl Purge {
    /// Whether the purge removes this response.
    pub fn matches(&self, copy: CacheEntryName) -> bool {
        self.entry.as_deref().is_none_or(|name| name == copy.entry)
            && self
                .host
                .as_deref()
                .is_none_or(|name| copy.host.is_empty() || name.eq_ignore_ascii_case(copy.host))
            && self
                .url
                .as_deref()
                .is_none_or(|one| one == copy.url || copy.url.split('?').next() == Some(one))
            && self
                .prefix
                .as_deref()
                .is_none_or(|start| copy.url.starts_with(start))
            && self.tag.as_deref().is_none_or(|tag| {
                copy.tags
                    .is_none_or(|tags| tags.iter().any(|known| known == tag))
            })
    }

    /// All that is wrong with the purge.
    pub fn findings(&self) -> Vec<Finding> {
        let mut found = findings_of(self.validate());
        if self.entry.is_none()
            && self.url.is_none()
            && self.prefix.is_none()
            && self.host.is_none()
            && self.tag.is_none()
        {
            found.push(Finding::new(
                "",
                "one of entry, host, url, prefix or tag must be given",
            ));
        }
        if self.url.is_some() && self.prefix.is_some() {
            found.push(Finding::new("/prefix", "url and prefix exclude each other"));
        }
        found
    }
}
