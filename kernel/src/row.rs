use crate::prelude::*;

/// The control state is cut into partitions; a partition has one owner at a time.
/// The first `PUBLISHED_PARTITIONS` partitions are carried to the edges as updates, one version each;
/// the others hold operations (the ledger).
pub const CONFIGURATION_PARTITION: u8 = 0;
pub const PURGES_PARTITION: u8 = 1;
pub const ORIGINS_PARTITION: u8 = 2;
pub const ASSIGNMENTS_PARTITION: u8 = 3;
pub const MEMBERSHIP_PARTITION: u8 = 4;
pub const PUBLISHED_PARTITIONS: u8 = 5;
pub const LEDGER_PARTITIONS: u8 = 16;
pub const PARTITIONS: u8 = PUBLISHED_PARTITIONS + LEDGER_PARTITIONS;
/// Slots of the control plane at most; epochs are told apart by it.
pub const MAX_SLOTS: usize = 16;
/// Cached content is cut into this many partitions on the ring.
pub const CACHE_PARTITIONS: u16 = 256;
/// This many purges are kept as rows, one over the other; an edge further
/// behind than that drops its whole cache.
pub const MAX_RETAINED_PURGES: u64 = 1024;

/// The partition that holds an operation key of a service.
pub fn ledger_partition(operation: &str) -> u8 {
    PUBLISHED_PARTITIONS + Sha256::digest(operation.as_bytes())[0] % LEDGER_PARTITIONS
}

/// The cache partition of a hashed cache key.
pub fn cache_partition(key: &CacheKey) -> u16 {
    u16::from_be_bytes([key[0], key[1]]) % CACHE_PARTITIONS
}

pub type CacheKey = [u8; 32];

/// The assignment of a cache partition of one ring; copies do not cross between rings.
pub fn cache_assignment(ring: &str, partition: u16) -> String {
    if ring.is_empty() {
        format!("cache/{partition:03}")
    } else {
        format!("cache/{ring}/{partition:03}")
    }
}

/// The ring whose edges may hold an assignment; none: any edge.
pub fn assignment_ring(assignment: &str) -> Option<&str> {
    let (ring, _) = assignment
        .strip_prefix("cache/")?
        .rsplit_once('/')
        .unwrap_or_default();
    Some(ring)
}

/// Where an edge is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Locality {
    pub zone: String,
    pub region: String,
    pub ring: String,
    /// What this machine can carry beside others; 0 counts as 1.
    pub weight: u32,
}

/// Of the control node that owns the list of origins.
pub const ORIGIN_LIST_ASSIGNMENT: &str = "slice/origins";

pub fn admission_assignment(service: &str) -> String {
    format!("gate/{service}")
}

/// A value under a key. `version` counts within the partition and never goes down.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub version: u64,
    pub value: Value,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The document as it was put, byte for byte, and the change that put it.
    Configuration {
        text: Arc<str>,
        change: u64,
    },
    /// A named part of the configuration, beside the document.
    Item(Item),
    Purge {
        purge: Purge,
        change: u64,
    },
    /// The platform's list of origins, whole.
    Origins {
        list: Arc<Vec<Origin>>,
        change: u64,
    },
    Assignment(Assignment),
    /// Who holds the slots of the control plane, 1 to `MAX_SLOTS` of them;
    /// life 0: whoever listens there.
    Members(Vec<Peer>),
    /// Edges that have a session, and those gone for less than
    /// `lease::LEDGER_CLOSED_AFTER_LOSS`: all whose operations may be asked for again. Only if
    /// the ledger was `complete` by then, all of them together know of all.
    EdgeRegistry {
        members: Vec<Peer>,
        departed: Vec<Peer>,
        complete: bool,
    },
    /// Those of the roll whose being on it had settled: they may claim
    /// operations, since every other edge would miss them after a loss.
    Enrolled {
        members: Vec<Peer>,
    },
    /// The generation's ledger is complete: all of the roll told what they knew, or
    /// no repeat of what it lacks can come any more, or operators said so.
    Opened {
        generation: u64,
    },
    /// Marks the founding of the partition; in the configuration's, names the generation
    /// (see `message::Generation`).
    Founded {
        generation: u64,
    },
    Operation(Operation),
    /// Revisions an item was accepted under before the one that stands.
    Accepted(AcceptedRevisions),
    /// Changes that were applied to a row that is replaced whole.
    Applied(AppliedChanges),
}

impl Value {
    /// Whether edges are told rows of this kind; the others only serve to
    /// judge changes.
    pub fn visible_to_edges(&self) -> bool {
        !matches!(self, Value::Accepted(_) | Value::Applied(_))
    }
}

/// A named part of the configuration, with a version of its own that its
/// operators gave it: per kind and name the highest holds, also of removals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub kind: ItemKind,
    pub name: String,
    pub revision: u64,
    /// A `Group`, an `Entry` or `Bounds` as JSON; none: it is removed.
    pub text: Option<Arc<str>>,
    /// What the operators sent, in their own words, for them to read back.
    pub source: Arc<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKind {
    Group,
    Entry,
    Bounds,
}

/// Who holds an assignment. An assignment goes from one holder to the next only through a
/// settled row without a holder; `epoch` rises with every row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    pub owner: Option<Peer>,
    /// Who held it before: a new holder asks it for what it left.
    pub previous_owner: Option<Peer>,
    pub epoch: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Hash over caller, entry, method, target and body.
    pub fingerprint: CacheKey,
    /// The edge and its request that hold the claim.
    pub claimant: Peer,
    pub request: u64,
    pub state: OperationState,
}

/// Running goes to one of the others. Released may be claimed again: nothing
/// was sent under it. Unknown may still become Released or Done, but only by
/// the claim that was held. Done stays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperationState {
    Running,
    Released,
    Unknown,
    Done(Arc<Reply>),
}

/// Whole, verified origin answer as it goes to a caller.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
    /// What the origin marked it with, for purges.
    pub tags: Vec<String>,
}

impl Reply {
    /// Bytes of its headers and body.
    pub fn bytes(&self) -> usize {
        let header = |(name, value): &(String, String)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// What a purge reaches. `entry` alone: all copies of the entry. (Travels as
/// `bincode` too, which allows no field to be left out.)
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Purge {
    #[serde(default)]
    #[validate(length(min = 1, max = 64))]
    pub entry: Option<String>,
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub url: Option<String>,
    #[serde(default)]
    #[validate(length(min = 1, max = 2048))]
    pub prefix: Option<String>,
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub host: Option<String>,
    /// Copies whose answer carried this tag.
    #[serde(default)]
    #[validate(length(min = 1, max = 255))]
    pub tag: Option<String>,
}

/// What a copy is known by when a purge is held against it. `host` is empty for
/// a copy that serves any host. `tags` are none while the answer is not there yet: then every tag reaches it.
#[derive(Debug, Clone, Copy)]
pub struct CacheEntryName<'a> {
    pub entry: &'a str,
    pub host: &'a str,
    pub url: &'a str,
    pub tags: Option<&'a [String]>,
}

impl Purge {
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

/// One origin as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    pub address: SocketAddr,
    #[validate(length(min = 1, max = 64))]
    pub service: String,
    #[validate(length(min = 1, max = 64))]
    pub instance: String,
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub region: String,
    /// Calls it works on at a time; 0: as its group says.
    #[serde(default)]
    pub capacity: u32,
    /// How much longer it stays slow, when it was first listed.
    #[serde(default)]
    pub cold_ms: u64,
}
