//! How large a fleet is, and the bounds that its runs are judged by.
use crate::prelude::*;

/// The sizes of a fleet under soak.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// The name on the command line.
    pub name: &'static str,
    /// Machines with a control process and an edge each.
    pub control_machines: usize,
    /// All machines; each has an edge.
    pub machines: usize,
    /// Machines with a disk that may be lost at once.
    pub tolerated: usize,
    /// Services with origins of their own.
    pub services: usize,
    /// Origins of each service.
    pub origins: usize,
    /// Threads that send requests.
    pub clients: usize,
    /// Routes before the first change.
    pub initial_routes: usize,
    /// Changes add routes up to this number.
    pub max_routes: usize,
    /// Edges that are rolled at the same time.
    pub rolls_at_once: usize,
    /// Where the bounds come from.
    pub bounds: RuleBounds,
}

/// Bounds of the rules, in seconds; the grown sites' files state them.
#[derive(Debug, Clone, Copy)]
pub struct RuleBounds {
    /// `contact_window_s`.
    pub contact_window: f64,
    /// `ack_timeout_s`.
    pub ack_timeout: f64,
    /// What each route adds to `ack_timeout`.
    pub ack_timeout_per_route: f64,
    /// `drain_timeout_s`.
    pub drain_timeout: f64,
    /// `grace_period_s`.
    pub grace_period: f64,
    /// `loss_slack_s`.
    pub loss_slack: f64,
    /// `config_apply_s`.
    pub config_apply: f64,
    /// `address_reuse_s`.
    pub address_reuse: f64,
    /// `max_lag_s` of the platform's list.
    pub list_lag: f64,
    /// The least share of requests that are served, by the gate: refused and
    /// failed ones are at most 60 in a hundred.
    pub served_share: f64,
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
    served_share: 0.4,
};

/// The largest loopback network of one run holds this many machines.
const SHAPES: [FleetShape; 3] = [
    FleetShape {
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
        bounds: BOUNDS,
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
        bounds: BOUNDS,
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
        bounds: RuleBounds {
            contact_window: 3.0,
            drain_timeout: 2.0,
            config_apply: 2.0,
            ..BOUNDS
        },
    },
];

impl FleetShape {
    /// The shape of this name.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn find(name: &str) -> Result<FleetShape> {
        let known = SHAPES.iter().find(|shape| shape.name == name);
        known.cloned().with_context(|| {
            let names: Vec<&str> = SHAPES.iter().map(|shape| shape.name).collect();
            format!("no shape {name}; there are {}", names.join(", "))
        })
    }

    /// The name of a service.
    pub fn service(&self, index: usize) -> String {
        format!("service-{index}")
    }
}
