//! Rules for which requests and responses may be cached, and under which key.
use super::hash_fields;
use crate::prelude::*;

impl ActiveRequest {
    /// Returns the hash of route, host, service and URL. Requests with the same key
    /// share a response.
    pub fn cache_key(request: &ClientRequest) -> CacheKey {
        hash_fields(&[
            request.entry().name.as_bytes(),
            request.entry_host().as_bytes(),
            request.service.as_bytes(),
            request.url.as_bytes(),
        ])
    }

    /// Returns the attributes by which purges match this request's response.
    pub fn cache_entry_attributes<'a>(&'a self, reply: &'a Reply) -> CacheEntryAttributes<'a> {
        CacheEntryAttributes {
            entry: &self.request.entry().name,
            host: self.request.entry_host(),
            url: &self.request.url,
            tags: Some(&reply.tags),
        }
    }
}

/// Returns true if a response may be served to other clients.
pub(crate) fn is_shareable(reply: &Reply) -> bool {
    let mut cache_control = reply
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("cache-control"));
    let forbids_sharing = |(_, value): &(String, String)| {
        let value = value.to_ascii_lowercase();
        ["private", "no-store", "no-cache"]
            .iter()
            .any(|directive| value.contains(directive))
    };
    !cache_control.any(forbids_sharing) && header(&reply.headers, "set-cookie").is_none()
}

/// Returns true if responses with this status are cached. Transient errors are not.
pub(crate) fn is_cacheable_status(status: u16) -> bool {
    [200, 203, 204, 301, 308, 404, 410].contains(&status)
}
