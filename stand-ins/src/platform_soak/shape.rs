//! Size of a fleet and the bounds of the rules for its runs.
use crate::prelude::*;

/// Size of a fleet under test.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of machines with a control process in addition to an edge.
    pub control_machines: usize,
    /// Number of all machines; each has an edge.
    pub machines: usize,
    /// Number of machines with a disk that may be lost at the same time.
    pub tolerated: usize,
    /// Number of services, each with its own origins.
    pub services: usize,
    /// Number of origins of each service.
    pub origins: usize,
    /// Number of client threads.
    pub clients: usize,
    /// Number of routes in the initial configuration.
    pub initial_routes: usize,
    /// Maximum number of routes.
    pub max_routes: usize,
    /// Number of edges that are restarted at the same time.
    pub rolls_at_once: usize,
    /// Bandwidth of a machine's link in megabits per second, as its settings state it.
    pub link_mbps: f64,
    /// True if the clients reach each machine through a stand-in for its link.
    pub has_narrow_links: bool,
    /// Size of the filler in responses to GET requests of large objects, in bytes.
    pub filler_bytes: usize,
    /// Memory limit of a process in megabytes, as its settings state it.
    pub memory_mb: u64,
    /// Maximum number of descriptors of a process, as its settings state it.
    pub max_open_files: u64,
    /// Maximum size of a request body in bytes, as the configuration states it.
    pub max_body_bytes: usize,
    /// Bounds of the rules.
    pub bounds: RuleBounds,
}

/// Bounds of the rules, in seconds unless stated otherwise. The values are
/// those of the users' settings files.
#[derive(Debug, Clone, Copy)]
pub struct RuleBounds {
    /// Value of `contact_window_s`.
    pub contact_window: f64,
    /// Value of `ack_timeout_s`.
    pub ack_timeout: f64,
    /// Time that each route adds to `ack_timeout`.
    pub ack_timeout_per_route: f64,
    /// Value of `drain_timeout_s`.
    pub drain_timeout: f64,
    /// Value of `grace_period_s`.
    pub grace_period: f64,
    /// Value of `loss_slack_s`.
    pub loss_slack: f64,
    /// Value of `config_apply_s`.
    pub config_apply: f64,
    /// Value of `address_reuse_s`.
    pub address_reuse: f64,
    /// Value of `max_lag_s` of the platform's list.
    pub list_lag: f64,
    /// Minimum fraction of requests that are served, from 0 to 1: at most 60 % may
    /// be rejected or fail.
    pub min_served_fraction: f64,
}

const BOUNDS: RuleBounds = RuleBounds {
    contact_window: 4.0,
    ack_timeout: 4.0,
    ack_timeout_per_route: 0.003,
    drain_timeout: 2.5,
    grace_period: 6.0,
    loss_slack: 0.2,
    config_apply: 2.5,
    address_reuse: 2.0,
    list_lag: 0.8,
    min_served_fraction: 0.4,
};

/// Bandwidth of a link that is never full, in megabits per second.
const FAST_LINK_MBPS: f64 = 100.0;

/// Small fleet.
const SMALL: FleetShape = FleetShape {
    name: "small",
    control_machines: 4,
    machines: 8,
    tolerated: 2,
    services: 2,
    origins: 6,
    clients: 160,
    initial_routes: 12,
    max_routes: 60,
    rolls_at_once: 1,
    link_mbps: FAST_LINK_MBPS,
    has_narrow_links: false,
    filler_bytes: 0,
    memory_mb: 160,
    max_open_files: 3000,
    max_body_bytes: 64 * 1024 * 1024,
    bounds: BOUNDS,
};

/// Known shapes; the loopback network of a run has room for the largest.
const SHAPES: [FleetShape; 4] = [
    SMALL,
    FleetShape {
        name: "narrow",
        link_mbps: 8.0,
        has_narrow_links: true,
        filler_bytes: 100 * 1024,
        ..SMALL
    },
    FleetShape {
        name: "hotels",
        control_machines: 4,
        machines: 69,
        tolerated: 2,
        services: 2,
        origins: 20,
        clients: 400,
        initial_routes: 24,
        max_routes: 400,
        rolls_at_once: 6,
        link_mbps: FAST_LINK_MBPS,
        has_narrow_links: false,
        bounds: BOUNDS,
        ..SMALL
    },
    FleetShape {
        name: "vans",
        control_machines: 5,
        machines: 92,
        tolerated: 2,
        services: 2,
        origins: 20,
        clients: 400,
        initial_routes: 24,
        max_routes: 400,
        rolls_at_once: 8,
        link_mbps: FAST_LINK_MBPS,
        has_narrow_links: false,
        bounds: RuleBounds {
            contact_window: 3.0,
            drain_timeout: 2.0,
            config_apply: 2.0,
            ..BOUNDS
        },
        ..SMALL
    },
];

impl FleetShape {
    /// Returns the shape of this name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such shape.
    pub fn find(name: &str) -> Result<FleetShape> {
        let shape = SHAPES.iter().find(|shape| shape.name == name);
        shape.cloned().with_context(|| {
            let names: Vec<&str> = SHAPES.iter().map(|shape| shape.name).collect();
            format!("no shape {name}; there are {}", names.join(", "))
        })
    }

    /// Returns the name of a service.
    pub fn service(&self, index: usize) -> String {
        format!("service-{index}")
    }
}
