//! Deployments: how many nodes, zones and origins a fleet has.
use crate::prelude::*;

/// A deployment as the users describe it, at its size of today.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub edges: usize,
    pub zones: Vec<&'static str>,
    pub services: Vec<Service>,
    pub entries: Vec<serde_json::Value>,
    pub rate: u64,
    /// Traffic: entry name, path start, how many paths, share of a hundred.
    pub mix: Vec<Mix>,
}

#[derive(Debug, Clone)]
pub struct Service {
    pub name: &'static str,
    pub origins: usize,
    pub rate: f64,
    pub concurrency: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Mix {
    pub entry: String,
    pub path: String,
    pub paths: u64,
    pub share: u64,
    pub method: String,
    pub keyed: bool,
    pub rank: u32,
    pub ttl: u64,
}

fn mix(entry: &str, path: &str, paths: u64, share: u64, method: &str, rank: u32, ttl: u64) -> Mix {
    let keyed = method == "POST"
        && (entry.contains("reserv") || entry.contains("confirm") || entry.contains("cancel"));
    Mix {
        entry: entry.into(),
        path: path.into(),
        paths,
        share,
        method: method.into(),
        keyed,
        rank,
        ttl,
    }
}

impl Deployment {
    pub fn find(name: &str) -> Option<Deployment> {
        let mut found = match name {
            "mombasa" => Deployment {
                name: "mombasa",
                edges: 15,
                zones: vec!["north-a", "north-b", "south-a", "south-b"],
                services: vec![
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
                entries: vec![],
                rate: 165,
                mix: vec![
                    mix("listing", "/listing/", 60, 40, "GET", 5, 6),
                    mix("gallery", "/gallery/", 120, 25, "GET", 2, 10),
                    mix("availability", "/availability/", 1000, 20, "POST", 5, 0),
                    mix("reservation", "/reservation/", 1000, 11, "POST", 9, 0),
                    mix("cancellation", "/cancellation/", 1000, 4, "POST", 8, 0),
                ],
            },
            "trasa" => Deployment {
                name: "trasa",
                edges: 14,
                zones: vec!["zone-1", "zone-2", "zone-3", "zone-4"],
                services: vec![
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
                entries: vec![],
                rate: 370,
                mix: vec![
                    mix("restriction", "/restriction/", 80, 35, "GET", 8, 5),
                    mix("tile", "/tile/", 300, 40, "GET", 2, 20),
                    mix("route", "/route/", 1000, 17, "POST", 4, 0),
                    mix("confirmation", "/confirmation/", 1000, 8, "POST", 9, 0),
                ],
            },
            "small" => Deployment {
                name: "small",
                edges: 4,
                zones: vec!["a", "b", "c"],
                services: vec![
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
                entries: vec![],
                rate: 40,
                mix: vec![
                    mix("listing", "/listing/", 20, 70, "GET", 5, 4),
                    mix("availability", "/availability/", 1000, 15, "POST", 5, 0),
                    mix("reservation", "/reservation/", 1000, 15, "POST", 9, 0),
                ],
            },
            _ => return None,
        };
        let last = found.services[1].name;
        let first = found.services[0].name;
        found.entries = found
            .mix
            .iter()
            .map(|one| {
                let group = if one.ttl > 0 { first } else { last };
                let kind = if one.ttl > 0 { "cached" } else if one.keyed { "keyed" } else { "repeatable" };
                let mut entry = json!({ "name": one.entry, "path": one.path, "methods": [one.method], "group": group, "rank": one.rank, "kind": kind, "deadline_ms": 4000 });
                if one.ttl > 0 {
                    entry["cache_ttl_s"] = one.ttl.into();
                }
                entry
            })
            .collect();
        Some(found)
    }

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
