//! Deployments: how many nodes, zones and origins a fleet has.
use crate::prelude::*;

/// A deployment as the users describe it, at its size of today.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name on command lines.
    pub name: &'static str,
    /// How many edges it has.
    pub edges: usize,
    /// Nodes are spread over them in turn.
    pub zones: Vec<&'static str>,
    /// The services behind it.
    pub services: Vec<Service>,
    /// Entries of its configuration.
    pub entries: Vec<serde_json::Value>,
    /// Requests a second of all clients.
    pub rate: u64,
    /// What the clients request.
    pub mix: Vec<Mix>,
}

/// A service and what its origins may get.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name in the configuration.
    pub name: &'static str,
    /// How many origins serve it.
    pub origins: usize,
    /// Calls a second that one origin may get.
    pub rate: f64,
    /// Calls in flight that one origin may have.
    pub concurrency: u32,
}

/// One kind of request in the traffic.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mix {
    /// The entry that serves it.
    pub entry: String,
    /// Paths are this with a number after it.
    pub path: String,
    /// How many different paths there are.
    pub paths: u64,
    /// Of a hundred requests.
    pub share: u64,
    /// The HTTP method.
    pub method: String,
    /// Whether it carries an operation key.
    pub keyed: bool,
    /// The rank of its entry: the higher, the later it is shed.
    pub rank: u32,
    /// How long its responses are cached, in seconds; 0: not at all.
    pub ttl: u64,
}

/// One line of a traffic mix.
struct MixSpec {
    entry: &'static str,
    /// Paths are this with a number after it.
    path: &'static str,
    paths: u64,
    /// Of a hundred requests.
    share: u64,
    method: &'static str,
    rank: u32,
    /// In seconds; 0: not cached.
    ttl: u64,
}

const fn mix(
    entry: &'static str,
    path: &'static str,
    paths: u64,
    share: u64,
    method: &'static str,
    rank: u32,
    ttl: u64,
) -> MixSpec {
    MixSpec {
        entry,
        path,
        paths,
        share,
        method,
        rank,
        ttl,
    }
}

impl MixSpec {
    fn build(&self) -> Mix {
        Mix {
            entry: self.entry.into(),
            path: self.path.into(),
            paths: self.paths,
            share: self.share,
            method: self.method.into(),
            keyed: self.keyed(),
            rank: self.rank,
            ttl: self.ttl,
        }
    }

    /// Requests that change something carry an operation key.
    fn keyed(&self) -> bool {
        let changes = ["reserv", "confirm", "cancel"];
        self.method == "POST" && changes.iter().any(|word| self.entry.contains(word))
    }
}

struct DeploymentSpec {
    name: &'static str,
    edges: usize,
    zones: &'static [&'static str],
    rate: u64,
    /// The first serves cached entries, the last all others.
    services: &'static [Service],
    mix: &'static [MixSpec],
}

/// All known deployments.
const DEPLOYMENTS: [DeploymentSpec; 3] = [
    DeploymentSpec {
        name: "mombasa",
        edges: 15,
        zones: &["north-a", "north-b", "south-a", "south-b"],
        rate: 165,
        services: &[
            Service {
                name: "listings",
                origins: 4,
                rate: 20.0,
                concurrency: 20,
            },
            Service {
                name: "booking",
                origins: 8,
                rate: 15.0,
                concurrency: 20,
            },
        ],
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
        services: &[
            Service {
                name: "notices",
                origins: 4,
                rate: 30.0,
                concurrency: 20,
            },
            Service {
                name: "routing",
                origins: 8,
                rate: 20.0,
                concurrency: 20,
            },
        ],
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
        services: &[
            Service {
                name: "listings",
                origins: 2,
                rate: 30.0,
                concurrency: 20,
            },
            Service {
                name: "booking",
                origins: 2,
                rate: 30.0,
                concurrency: 20,
            },
        ],
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

    /// The entry of the configuration that serves a line of the mix.
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
    /// The deployment of this name.
    pub fn find(name: &str) -> Option<Deployment> {
        DEPLOYMENTS
            .iter()
            .find(|deployment| deployment.name == name)
            .map(DeploymentSpec::build)
    }

    /// The zone of the node of this index.
    pub fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }

    /// The rate of one origin of each service.
    pub fn rates(&self) -> BTreeMap<String, f64> {
        self.services
            .iter()
            .map(|service| (service.name.to_string(), service.rate))
            .collect()
    }

    /// Keep time of each cached entry, in seconds.
    pub fn keeps(&self) -> BTreeMap<String, u64> {
        self.mix
            .iter()
            .filter(|mix| mix.ttl > 0)
            .map(|mix| (mix.entry.clone(), mix.ttl))
            .collect()
    }

    /// The key with which the origins of a service sign.
    pub fn key_of(service: &str) -> SigningKey {
        SigningKey::from_bytes(&Sha256::digest(service.as_bytes()).into())
    }

    /// The document with marker entries, by which the runner sees what is in
    /// force at a node without any call to an origin.
    pub fn document(&self, markers: &[u64]) -> String {
        self.document_with(markers, 0)
    }

    /// The same with so many entries more, which nobody asks for.
    pub fn document_with(&self, markers: &[u64], more: usize) -> String {
        let groups: Vec<_> = self
            .services
            .iter()
            .map(|service| {
                let key = BASE64.encode(Deployment::key_of(service.name).verifying_key().to_bytes());
                json!({ "service": service.name, "rate": service.rate, "concurrency": service.concurrency, "key": key })
            })
            .collect();
        let mut entries = self.entries.clone();
        for at in 0..more {
            let (name, path) = (format!("more-{at}"), format!("/more/{at}/"));
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
