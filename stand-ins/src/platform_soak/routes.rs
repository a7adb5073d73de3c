//! Routes of a run, which operators change and clients use.
use super::observations::{RouteKind, RouteVersion};
use super::shape::FleetShape;
use crate::prelude::*;

/// Host name of all routes.
pub(super) const HOST: &str = "soak.example";
/// Deadline of client requests, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 2500;

/// Route as its operator knows it.
#[derive(Debug, Clone)]
struct Route {
    kind: RouteKind,
    /// Service in the newest order; none if the route was removed or never set.
    service: Option<String>,
    /// True if the newest order was acknowledged.
    acknowledged: bool,
}

/// Routes of a run; operators change them and clients choose from them.
pub(super) struct RouteBook {
    routes: Mutex<Vec<Route>>,
    next_revision: AtomicU64,
    services: Vec<String>,
    max_routes: usize,
}

impl RouteBook {
    /// Creates a book without routes.
    pub(super) fn new(shape: &FleetShape) -> RouteBook {
        RouteBook {
            routes: Mutex::default(),
            next_revision: AtomicU64::new(10),
            services: (0..shape.services).map(|at| shape.service(at)).collect(),
            max_routes: shape.max_routes,
        }
    }

    /// Returns the next revision, which is larger by a random step.
    pub(super) fn next_revision(&self, random: &mut SeededRandom) -> u64 {
        let step = 1 + random.below(5);
        self.next_revision.fetch_add(step, Ordering::Relaxed) + step
    }

    /// Number of routes so far, including removed ones.
    pub(super) fn count(&self) -> usize {
        self.routes.lock().expect("no holder panics").len()
    }

    /// Adds a route, unless the maximum is reached; returns its index.
    pub(super) fn add(&self) -> Option<usize> {
        let mut routes = self.routes.lock().expect("no holder panics");
        let route = routes.len();
        if route >= self.max_routes {
            return None;
        }
        routes.push(Route {
            kind: route_kind(route),
            service: None,
            acknowledged: false,
        });
        Some(route)
    }

    /// Chooses a random service.
    pub(super) fn draw_service(&self, random: &mut SeededRandom) -> String {
        self.services[random.below(self.services.len() as u64) as usize].clone()
    }

    /// Records that an order with this version is about to be sent.
    pub(super) fn begin_change(&self, version: &RouteVersion) {
        let mut routes = self.routes.lock().expect("no holder panics");
        let route = &mut routes[version.route];
        route.service = version.service.clone();
        route.acknowledged = false;
    }

    /// Records that the newest order of these routes was acknowledged.
    pub(super) fn acknowledge(&self, versions: &[RouteVersion]) {
        let mut routes = self.routes.lock().expect("no holder panics");
        for version in versions {
            routes[version.route].acknowledged = true;
        }
    }

    /// Chooses a route for a client: usually one that is known to be set,
    /// sometimes any.
    pub(super) fn draw(&self, random: &mut SeededRandom) -> Option<(usize, RouteKind)> {
        const ANY_PERCENT: u64 = 3;
        let routes = self.routes.lock().expect("no holder panics");
        let is_set = |route: &Route| route.acknowledged && route.service.is_some();
        let first = random.below(routes.len() as u64) as usize;
        let any = random.chance(ANY_PERCENT);
        (0..routes.len())
            .map(|offset| (first + offset) % routes.len())
            .find(|at| any || is_set(&routes[*at]))
            .map(|at| (at, routes[at].kind))
    }
}

/// Returns the kind of a route, by its index.
pub(super) fn route_kind(route: usize) -> RouteKind {
    [
        RouteKind::Idempotent,
        RouteKind::Keyed,
        RouteKind::Cacheable,
    ][route % 3]
}

/// Returns the name of a route.
pub(super) fn route_name(route: usize) -> String {
    format!("route-{route}")
}

/// Returns the initial order: services, limits and these routes.
pub(super) fn initial_order(shape: &FleetShape, versions: &[RouteVersion]) -> String {
    let backends: Vec<_> = (0..shape.services)
        .map(|at| {
            json!({
                "name": shape.service(at), "health_check_path": "/health", "max_connections": 400,
                "protocol": "h1", "tls": false, "idempotent": false, "revision": 7,
            })
        })
        .collect();
    let mut order = routes_order(versions);
    order["upsert"]["backends"] = json!(backends);
    order["upsert"]["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": shape.max_body_bytes, "header_timeout_s": 3,
        "idle_timeout_s": 15, "revision": 7,
    });
    order.to_string()
}

/// Returns an order that sets or removes routes.
pub(super) fn routes_order(versions: &[RouteVersion]) -> serde_json::Value {
    let rules: Vec<_> = versions.iter().filter_map(path_rule).collect();
    let removed: Vec<_> = versions
        .iter()
        .filter(|version| version.service.is_none())
        .map(|version| json!({ "name": route_name(version.route), "revision": version.revision }))
        .collect();
    json!({
        "upsert": { "domains": [{ "hostname": HOST, "path_rules": rules }] },
        "remove": { "route_rules": removed },
    })
}

fn path_rule(version: &RouteVersion) -> Option<serde_json::Value> {
    let service = version.service.as_ref()?;
    let kind = match route_kind(version.route) {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Keyed => "keyed",
        RouteKind::Cacheable => "cacheable",
    };
    let mut rule = json!({
        "name": route_name(version.route), "path_prefix": format!("/{}/", route_name(version.route)),
        "type": kind, "timeout_s": 2.5, "target_latency_s": 0.8, "priority": 1,
        "backend": service, "max_attempts": 2, "revision": version.revision,
    });
    if kind == "cacheable" {
        rule["cache_ttl_s"] = json!(10.0);
    }
    Some(rule)
}
