//! Deployments: number of nodes, zones and origins of a fleet.
use crate::prelude::*;

/// Deployment as the users describe it, with its current size.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name on command lines.
    pub name: &'static str,
    /// Number of edges.
    pub edges: usize,
    /// Zones; nodes are assigned to them in turn.
    pub zones: Vec<&'static str>,
    /// Services of the deployment.
    pub services: Vec<Service>,
    /// Entries of the configuration.
    pub entries: Vec<serde_json::Value>,
    /// Requests per second of all clients.
    pub rate: u64,
    /// Traffic mix of the clients.
    pub mix: Vec<Mix>,
}

/// Service with the limits of its origins.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name in the configuration.
    pub name: &'static str,
    /// Number of origins.
    pub origins: usize,
    /// Maximum calls per second to one origin.
    pub rate: f64,
    /// Maximum concurrent calls to one origin.
    pub concurrency: u32,
}

/// Kind of request in the traffic mix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mix {
    /// Entry that serves the request.
    pub entry: String,
    /// Prefix of the paths, which is followed by a number.
    pub path: String,
    /// Number of different paths.
    pub paths: u64,
    /// Percentage of the requests.
    #[serde(rename = "share")]
    pub percentage: u64,
    /// HTTP method.
    pub method: String,
    /// True if the request has an operation key.
    pub keyed: bool,
    /// Rank of the entry; requests with a higher rank are shed later.
    pub rank: u32,
    /// TTL of cached responses, in seconds; 0 if they are not cached.
    pub ttl: u64,
}

/// Line of a traffic mix.
struct MixSpec {
    entry: &'static str,
    /// Prefix of the paths, which is followed by a number.
    path: &'static str,
    paths: u64,
    /// Percentage of the requests.
    percentage: u64,
    method: &'static str,
    rank: u32,
    /// TTL in seconds; 0 if responses are not cached.
    ttl: u64,
}

/// Maximum concurrent calls to one origin of the known deployments.
const ORIGIN_CONCURRENCY: u32 = 20;

const fn mix(
    entry: &'static str,
    path: &'static str,
    paths: u64,
    percentage: u64,
    method: &'static str,
    rank: u32,
    ttl: u64,
) -> MixSpec {
    MixSpec {
        entry,
        path,
        paths,
        percentage,
        method,
        rank,
        ttl,
    }
}

const fn service(name: &'static str, origins: usize, rate: f64) -> Service {
    Service {
        name,
        origins,
        rate,
        concurrency: ORIGIN_CONCURRENCY,
    }
}

impl MixSpec {
    fn build(&self) -> Mix {
        Mix {
            entry: self.entry.into(),
            path: self.path.into(),
            paths: self.paths,
            percentage: self.percentage,
            method: self.method.into(),
            keyed: self.keyed(),
            rank: self.rank,
            ttl: self.ttl,
        }
    }

    /// Returns true if requests have an operation key, which is the case for
    /// changes.
    fn keyed(&self) -> bool {
        let change_names = ["reserv", "confirm", "cancel"];
        self.method == "POST" && change_names.iter().any(|word| self.entry.contains(word))
    }
}

struct DeploymentSpec {
    name: &'static str,
    edges: usize,
    zones: &'static [&'static str],
    rate: u64,
    /// Services; the first serves cached entries, the last serves all others.
    services: &'static [Service],
    mix: &'static [MixSpec],
}

/// Known deployments.
const DEPLOYMENTS: [DeploymentSpec; 3] = [
    DeploymentSpec {
        name: "mombasa",
        edges: 15,
        zones: &["north-a", "north-b", "south-a", "south-b"],
        rate: 165,
        services: &[service("listings", 4, 20.0), service("booking", 8, 15.0)],
        mix: &[
            mix("listing", "/listing/", 60, 40, "GET", 5, 6),
            mix("gallery", "/gallery/", 120, 25, "GET", 2, 10),
            mix("availability", "/availability/", 1000, 20, "POST", 5, 0),
            mix("reservation", "/reservation/", 1000, 11, "POST", 9, 0),
            mix("cancellation", "/cancellation/", 1000, 4, "POST", 8, 0),
        ],
    },
    DeploymentSpec {
        name: "trasa",
        edges: 14,
        zones: &["zone-1", "zone-2", "zone-3", "zone-4"],
        rate: 370,
        services: &[service("notices", 4, 30.0), service("routing", 8, 20.0)],
        mix: &[
            mix("restriction", "/restriction/", 80, 35, "GET", 8, 5),
            mix("tile", "/tile/", 300, 40, "GET", 2, 20),
            mix("route", "/route/", 1000, 17, "POST", 4, 0),
            mix("confirmation", "/confirmation/", 1000, 8, "POST", 9, 0),
        ],
    },
    DeploymentSpec {
        name: "small",
        edges: 4,
        zones: &["a", "b", "c"],
        rate: 40,
        services: &[service("listings", 2, 30.0), service("booking", 2, 30.0)],
        mix: &[
            mix("listing", "/listing/", 20, 70, "GET", 5, 4),
            mix("availability", "/availability/", 1000, 15, "POST", 5, 0),
            mix("reservation", "/reservation/", 1000, 15, "POST", 9, 0),
        ],
    },
];

impl DeploymentSpec {
    fn build(&self) -> Deployment {
        let mix: Vec<Mix> = self.mix.iter().map(MixSpec::build).collect();
        Deployment {
            name: self.name,
            edges: self.edges,
            zones: self.zones.to_vec(),
            services: self.services.to_vec(),
            entries: mix.iter().map(|mix| self.entry(mix)).collect(),
            rate: self.rate,
            mix,
        }
    }

    /// Returns the configuration entry that serves a line of the mix.
    fn entry(&self, mix: &Mix) -> serde_json::Value {
        let [cached, .., uncached] = self.services else {
            unreachable!("a deployment has two services")
        };
        let (group, kind) = match mix {
            Mix { ttl: 1.., .. } => (cached.name, "cached"),
            Mix { keyed: true, .. } => (uncached.name, "keyed"),
            _ => (uncached.name, "repeatable"),
        };
        let mut entry = json!({
            "name": mix.entry,
            "path": mix.path,
            "methods": [mix.method],
            "group": group,
            "rank": mix.rank,
            "kind": kind,
            "deadline_ms": 4000,
        });
        if mix.ttl > 0 {
            entry["cache_ttl_s"] = mix.ttl.into();
        }
        entry
    }
}

impl Deployment {
    /// Returns the deployment of this name.
    pub fn find(name: &str) -> Option<Deployment> {
        DEPLOYMENTS
            .iter()
            .find(|deployment| deployment.name == name)
            .map(DeploymentSpec::build)
    }

    /// Returns the zone of the node with this index.
    pub fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }

    /// Returns the maximum calls per second to one origin, by service.
    pub fn max_rates(&self) -> BTreeMap<String, f64> {
        self.services
            .iter()
            .map(|service| (service.name.to_string(), service.rate))
            .collect()
    }

    /// Returns the TTL of each cached entry, in seconds.
    pub fn ttls(&self) -> BTreeMap<String, u64> {
        self.mix
            .iter()
            .filter(|mix| mix.ttl > 0)
            .map(|mix| (mix.entry.clone(), mix.ttl))
            .collect()
    }

    /// Returns the signing key of the origins of a service.
    pub fn signing_key(service: &str) -> SigningKey {
        SigningKey::from_bytes(&Sha256::digest(service.as_bytes()).into())
    }

    /// Returns the document with marker entries, which show the configuration
    /// in effect at a node without a call to an origin.
    pub fn document(&self, markers: &[u64]) -> String {
        self.document_with(markers, 0)
    }

    /// Returns the document with marker entries and a number of additional
    /// entries that no client requests.
    pub fn document_with(&self, markers: &[u64], extra_entries: usize) -> String {
        let groups: Vec<_> = self
            .services
            .iter()
            .map(|service| {
                let key = BASE64.encode(Deployment::signing_key(service.name).verifying_key().to_bytes());
                json!({ "service": service.name, "rate": service.rate, "concurrency": service.concurrency, "key": key })
            })
            .collect();
        let mut entries = self.entries.clone();
        for index in 0..extra_entries {
            let (name, path) = (format!("more-{index}"), format!("/more/{index}/"));
            entries.push(json!({ "name": name, "path": path, "group": self.services[0].name, "rank": 1, "kind": "cached", "cache_ttl_s": 5 }));
        }
        for marker in markers {
            let (name, path) = (format!("marker-{marker}"), format!("/marker/{marker}"));
            entries.push(json!({ "name": name, "path": path, "methods": ["POST"], "group": self.services[1].name, "rank": 0, "kind": "keyed" }));
        }
        serde_json::to_string_pretty(&json!({ "groups": groups, "entries": entries }))
            .unwrap_or_default()
    }
}
