#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A request on its way in, before it has passed the filters.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub method: String,
    pub host: String,
    pub url: String,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
    /// The key under which it runs once, in whatever words it came.
    pub operation: Option<String>,
    /// How long the caller waits, if it said so.
    pub patience: Option<Duration>,
    /// What the caller calls its request, if it does.
    pub name: Option<String>,
    pub live: bool,
    pub image: Option<Arc<RouteTable>>,
    /// Set by the filter that matches.
    pub entry: Option<usize>,
}

impl Arrival {
    fn kind(&self) -> Option<Kind> {
        Some(self.image.as_ref()?.document.entries[self.entry?].kind)
    }
}

pub type Filtered = Option<Rejection>;

/// One link of the chain; any may answer, and then the rest is not asked.
pub trait Filter: Sync {
    fn pass(&self, arrival: &mut Arrival) -> Filtered;
}

/// A filter that registers itself, with its place in the chain.
pub struct FilterPlugIn {
    pub order: u32,
    pub filter: &'static dyn Filter,
}

inventory::collect!(FilterPlugIn);

/// Sends an arrival through all filters, in order.
pub fn chain(arrival: &mut Arrival) -> Filtered {
    static LIST: std::sync::OnceLock<Vec<&FilterPlugIn>> = std::sync::OnceLock::new();
    let list = LIST.get_or_init(|| {
        let mut list: Vec<&FilterPlugIn> = inventory::iter::<FilterPlugIn>().collect();
        list.sort_by_key(|one| one.order);
        list
    });
    list.iter().find_map(|one| one.filter.pass(arrival))
}

pub const URL_BYTES: usize = 2048;
pub const HEADER_BYTES: usize = 16 * 1024;
pub const OPERATION_KEY_BYTES: usize = 128;

struct Bounds;
inventory::submit!(FilterPlugIn {
    order: 10,
    filter: &Bounds
});

impl Filter for Bounds {
    fn pass(&self, arrival: &mut Arrival) -> Filtered {
        let bytes: usize = arrival
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        if arrival.url.len() > URL_BYTES {
            return Some(Rejection::not_run(
                414,
                "url_too_long",
                "the URL is longer than 2048 bytes",
            ));
        }
        if !arrival.url.starts_with('/') || !arrival.url.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Some(Rejection::not_run(
                400,
                "url_malformed",
                "the target must be a path of printable ASCII",
            ));
        }
        let most = arrival
            .image
            .as_ref()
            .and_then(|image| image.bounds.as_ref())
            .map_or(HEADER_BYTES, |bounds| bounds.head_bytes as usize);
        (bytes > most)
            .then(|| Rejection::not_run(431, "headers_too_large", "headers are over the limit"))
    }
}

/// Without a configuration nothing can be told apart yet.
struct Known;
inventory::submit!(FilterPlugIn {
    order: 20,
    filter: &Known
});

impl Filter for Known {
    fn pass(&self, arrival: &mut Arrival) -> Filtered {
        let none = arrival.image.is_none();
        none.then(|| {
            Rejection::unknown(503, "not_ready", "this node has no configuration yet")
                .with_nothing_sent()
        })
    }
}

/// A fenced node says nothing that hangs on its image, not even that there is
/// no such entry. What carries an operation key may have run elsewhere.
struct Fence;
inventory::submit!(FilterPlugIn {
    order: 25,
    filter: &Fence
});

impl Filter for Fence {
    fn pass(&self, arrival: &mut Arrival) -> Filtered {
        let outcome = if arrival.operation.is_some() {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        (!arrival.live).then(|| Rejection::fenced(outcome))
    }
}

struct Match;
inventory::submit!(FilterPlugIn {
    order: 30,
    filter: &Match
});

impl Filter for Match {
    fn pass(&self, arrival: &mut Arrival) -> Filtered {
        let image = arrival.image.as_ref()?;
        arrival.entry = image.find(&arrival.host, &arrival.url, &arrival.method);
        arrival
            .entry
            .is_none()
            .then(|| Rejection::not_run(404, "no_entry", "no entry matches host, path and method"))
    }
}

struct OperationKey;
inventory::submit!(FilterPlugIn {
    order: 40,
    filter: &OperationKey
});

impl Filter for OperationKey {
    fn pass(&self, arrival: &mut Arrival) -> Filtered {
        if arrival.kind() != Some(Kind::Keyed) {
            return None;
        }
        match arrival.operation.as_deref() {
            None => Some(Rejection::not_run(
                400,
                "operation_key_missing",
                "this entry needs an Operation-Key header",
            )),
            Some(key)
                if key.is_empty()
                    || key.len() > OPERATION_KEY_BYTES
                    || !key.bytes().all(|byte| byte.is_ascii_graphic()) =>
            {
                Some(Rejection::not_run(
                    400,
                    "operation_key_malformed",
                    "an operation key is 1 to 128 printable ASCII characters",
                ))
            }
            Some(_) => None,
        }
    }
}
