//! Operators that change routes and purge, with several concurrent orders.
use super::http_message::HttpMessage;
use super::machines::Machines;
use super::observations::{Observations, Order, OrderContent, RouteVersion};
use super::routes::{HOST, RouteBook, initial_order, route_name, routes_order};
use super::shape::FleetShape;
use crate::prelude::*;
use std::io::BufReader;

/// Number of concurrent orders.
pub(super) const WORKERS: usize = 8;
/// Time without a response after which an operator retries on another node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT_PER_ROUTE: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an order without an acknowledgement is abandoned.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Minimum time between two orders of one worker, in milliseconds. A random
/// time below `RANDOM_INTERVAL_MS` is added.
const MIN_INTERVAL_MS: u64 = 100;
/// Upper bound of the random part of the interval, in milliseconds.
const RANDOM_INTERVAL_MS: u64 = 600;
/// Percentage of sends whose response is not read.
const LOST_RESPONSE_PERCENT: u64 = 5;
/// Percentage of acknowledged orders that are sent again.
const RESEND_PERCENT: u64 = 10;
/// Maximum number of routes in one order.
const MAX_ROUTES_PER_ORDER: u64 = 3;

/// Sends the orders of a run.
pub(super) struct Operators {
    /// Size of the fleet.
    pub(super) shape: FleetShape,
    /// Machines with the control nodes.
    pub(super) machines: Arc<Machines>,
    /// Collects the orders.
    pub(super) observations: Arc<Observations>,
    /// Routes of the run.
    pub(super) routes: Arc<RouteBook>,
}

/// Order that is ready to be sent.
struct PreparedOrder {
    method: &'static str,
    path: &'static str,
    body: String,
    content: OrderContent,
}

impl Operators {
    /// Sends the initial configuration until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if no control node accepted it in time.
    pub(super) fn send_initial_configuration(&self, random: &mut SeededRandom) -> Result<()> {
        let mut versions = Vec::new();
        for _ in 0..self.shape.initial_routes {
            let route = self.routes.add().context("no capacity for another route")?;
            versions.push(self.version(route, true, random));
        }
        let order = PreparedOrder {
            method: "PATCH",
            path: "/config",
            body: initial_order(&self.shape, &versions),
            content: OrderContent::Routes(versions.clone()),
        };
        let until = Instant::now() + ORDER_TIMEOUT * 2;
        while Instant::now() < until {
            if self.send(&order, random).1 == 200 {
                let now = wall();
                self.observations.add_order(Order {
                    content: order.content,
                    sent: now,
                    acknowledged: Some(now),
                    routes: versions.len(),
                    responses: Vec::new(),
                    refused: None,
                });
                self.routes.acknowledge(&versions);
                return Ok(());
            }
            thread::sleep(MIN_RETRY_DELAY);
        }
        bail!("the initial configuration was not accepted");
    }

    /// Runs a worker, which sends orders on its own routes sequentially.
    pub(super) fn run_worker(&self, seed: u64, worker: usize, stop: &AtomicBool) {
        let mut random = SeededRandom::new(seed ^ ((worker as u64 + 11) << 24));
        while !stop.load(Ordering::Acquire) {
            let interval_ms = MIN_INTERVAL_MS + random.below(RANDOM_INTERVAL_MS);
            thread::sleep(Duration::from_millis(interval_ms));
            if let Some(order) = self.draw(worker, &mut random) {
                let order = self.execute(&order, &mut random);
                self.observations.add_order(order);
            }
        }
    }

    fn draw(&self, worker: usize, random: &mut SeededRandom) -> Option<PreparedOrder> {
        match random.below(100) {
            0..4 => Some(self.invalid_order(random)),
            4..14 => Some(self.purge(random)),
            14..40 => self.add_route(worker, random),
            number => self.change_routes(worker, number >= 94, random),
        }
    }

    fn version(&self, route: usize, is_set: bool, random: &mut SeededRandom) -> RouteVersion {
        let version = RouteVersion {
            route,
            revision: self.routes.next_revision(random),
            service: is_set.then(|| self.routes.draw_service(random)),
        };
        self.routes.begin_change(&version);
        version
    }

    fn order_of(&self, versions: Vec<RouteVersion>) -> PreparedOrder {
        PreparedOrder {
            method: "PATCH",
            path: "/config",
            body: routes_order(&versions).to_string(),
            content: OrderContent::Routes(versions),
        }
    }

    /// Adds a route; returns an order for it if its index assigns it to this
    /// worker.
    fn add_route(&self, worker: usize, random: &mut SeededRandom) -> Option<PreparedOrder> {
        let route = self.routes.add()?;
        if route % WORKERS != worker {
            return None;
        }
        Some(self.order_of(vec![self.version(route, true, random)]))
    }

    fn change_routes(
        &self,
        worker: usize,
        is_removal: bool,
        random: &mut SeededRandom,
    ) -> Option<PreparedOrder> {
        let own_routes: Vec<usize> = (worker..self.routes.count()).step_by(WORKERS).collect();
        let mut chosen = BTreeSet::new();
        for _ in 0..1 + random.below(MAX_ROUTES_PER_ORDER) {
            chosen.insert(*own_routes.get(random.below(own_routes.len() as u64) as usize)?);
        }
        let versions = chosen
            .into_iter()
            .map(|route| self.version(route, !is_removal, random))
            .collect();
        Some(self.order_of(versions))
    }

    fn invalid_order(&self, random: &mut SeededRandom) -> PreparedOrder {
        let version = RouteVersion {
            route: self.shape.max_routes,
            revision: self.routes.next_revision(random),
            service: Some(self.routes.draw_service(random)),
        };
        let mut order = routes_order(&[version]);
        order["upsert"]["domains"][0]["path_rules"][0]["max_attempts"] = json!(0);
        PreparedOrder {
            method: "PATCH",
            path: "/config",
            body: order.to_string(),
            content: OrderContent::Invalid,
        }
    }

    fn purge(&self, random: &mut SeededRandom) -> PreparedOrder {
        let route = random.below(self.routes.count() as u64) as usize;
        let path = format!("/{}/object-{}", route_name(route), random.below(20));
        PreparedOrder {
            method: "POST",
            path: "/purges",
            body: json!({ "hostname": HOST, "path": path }).to_string(),
            content: OrderContent::Purge,
        }
    }

    /// Sends an order to random nodes until the outcome is known.
    fn execute(&self, prepared: &PreparedOrder, random: &mut SeededRandom) -> Order {
        let mut order = Order {
            content: prepared.content.clone(),
            sent: wall(),
            acknowledged: None,
            routes: self.routes.count(),
            responses: Vec::new(),
            refused: None,
        };
        let until = Instant::now() + ORDER_TIMEOUT;
        let mut delay = MIN_RETRY_DELAY;
        while Instant::now() < until && order.acknowledged.is_none() && order.refused.is_none() {
            let (machine, status) = self.send(prepared, random);
            order.record_status(machine, status);
            if order.acknowledged.is_none() && order.refused.is_none() {
                thread::sleep(delay);
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
        if let (Some(_), OrderContent::Routes(versions)) = (order.acknowledged, &order.content) {
            self.routes.acknowledge(versions);
            if random.chance(RESEND_PERCENT) {
                let (machine, status) = self.send(prepared, random);
                order.record_status(machine, status);
            }
        }
        order
    }

    /// Sends an order once; status 0 means that no response arrived.
    fn send(&self, order: &PreparedOrder, random: &mut SeededRandom) -> (usize, u16) {
        let control = self.machines.control_machines();
        let machine = control[random.below(control.len() as u64) as usize];
        let loses_response = random.chance(LOST_RESPONSE_PERCENT);
        let address = self.machines.control_plane(machine);
        let timeout = RESPONSE_TIMEOUT + RESPONSE_TIMEOUT_PER_ROUTE * self.routes.count() as u32;
        let call = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
            stream.set_read_timeout(Some(timeout))?;
            build_request(order, address).write(&mut stream)?;
            if loses_response {
                return Ok(0);
            }
            let response = HttpMessage::read(&mut BufReader::new(stream))?;
            Ok(response.map_or(0, |response| response.status()))
        };
        (machine, call().unwrap_or(0))
    }

    /// Reads the configuration from any control node; retries until `limit`.
    pub(super) fn read_back(&self, limit: Duration) -> Option<serde_json::Value> {
        let until = Instant::now() + limit;
        let control = self.machines.control_machines();
        for attempt in 0.. {
            if Instant::now() > until {
                break;
            }
            let address = self
                .machines
                .control_plane(control[attempt % control.len()]);
            let response = request_without_proxy("GET", &format!("http://{address}/config"))
                .timeout(RESPONSE_TIMEOUT * 2)
                .send();
            if let Ok(response) = response
                && response.status().as_u16() == 200
                && let Ok(text) = response.text_utf8()
            {
                return serde_json::from_str(&text).ok();
            }
            thread::sleep(MIN_RETRY_DELAY);
        }
        None
    }
}

impl Order {
    /// Records the status of a response.
    fn record_status(&mut self, machine: usize, status: u16) {
        self.responses.push((machine, status));
        match status {
            200..300 => {
                self.acknowledged.get_or_insert(wall());
            }
            400 | 409 | 412 | 413 | 422 => self.refused = Some(status),
            _ => {}
        }
    }
}

fn build_request(order: &PreparedOrder, address: SocketAddr) -> HttpMessage {
    HttpMessage {
        start_line: format!("{} {} HTTP/1.1", order.method, order.path),
        headers: vec![
            ("Host".into(), address.to_string()),
            ("Content-Type".into(), "application/json".into()),
            ("Connection".into(), "close".into()),
        ],
        body: order.body.clone().into_bytes(),
    }
}
