//! Operators who change routes and purge, several orders at a time.
use super::http_message::HttpMessage;
use super::machines::Machines;
use super::observations::{Observations, Order, OrderContent, RouteVersion};
use super::routes::{HOST, RouteBook, first_order, name_of, routes_order};
use super::shape::FleetShape;
use crate::prelude::*;
use std::io::BufReader;

/// Orders under way at once.
pub(super) const WORKERS: usize = 8;
/// An operator goes on to another node after this silence.
const SILENCE: Duration = Duration::from_secs(1);
const SILENCE_PER_ROUTE: Duration = Duration::from_millis(2);
const CONNECT: Duration = Duration::from_millis(500);
/// An order without an acknowledgement is given up after this.
const PATIENCE: Duration = Duration::from_secs(20);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Between two orders of one worker, in milliseconds.
const MIN_INTERVAL_MS: u64 = 100;
const DRAWN_INTERVAL_MS: u64 = 600;
/// Of a hundred sends, so many lose their answer.
const LOST_ANSWER_PERCENT: u64 = 5;
/// Of a hundred acknowledged orders, so many are sent again.
const REPEAT_PERCENT: u64 = 10;
const MAX_ROUTES_OF_ORDER: u64 = 3;

/// Sends the orders of one run.
pub(super) struct Operators {
    /// The size of the fleet.
    pub(super) shape: FleetShape,
    /// Where control nodes are.
    pub(super) machines: Arc<Machines>,
    /// Takes the orders.
    pub(super) observations: Arc<Observations>,
    /// The routes.
    pub(super) routes: Arc<RouteBook>,
}

/// An order ready to be sent.
struct PreparedOrder {
    method: &'static str,
    path: &'static str,
    body: String,
    content: OrderContent,
}

impl Operators {
    /// Sends the first configuration until it is taken.
    ///
    /// # Errors
    ///
    /// Nobody took it in time.
    pub(super) fn send_first(&self, random: &mut SeededRandom) -> Result<()> {
        let mut versions = Vec::new();
        for _ in 0..self.shape.initial_routes {
            let route = self.routes.add().context("room for a route")?;
            versions.push(self.version(route, true, random));
        }
        let order = PreparedOrder {
            method: "PATCH",
            path: "/config",
            body: first_order(&self.shape, &versions),
            content: OrderContent::Routes(versions.clone()),
        };
        let until = Instant::now() + PATIENCE * 2;
        while Instant::now() < until {
            if self.send(&order, random).1 == 200 {
                let now = wall();
                self.observations.add_order(Order {
                    content: order.content,
                    sent: now,
                    acknowledged: Some(now),
                    routes: versions.len(),
                    answers: Vec::new(),
                    refused: None,
                });
                self.routes.acknowledge(&versions);
                return Ok(());
            }
            thread::sleep(FIRST_PAUSE);
        }
        bail!("the first configuration was not taken");
    }

    /// One worker: orders on its own routes, one after the other.
    pub(super) fn run_worker(&self, seed: u64, worker: usize, stop: &AtomicBool) {
        let mut random = SeededRandom::new(seed ^ ((worker as u64 + 11) << 24));
        while !stop.load(Ordering::Acquire) {
            let pause = MIN_INTERVAL_MS + random.below(DRAWN_INTERVAL_MS);
            thread::sleep(Duration::from_millis(pause));
            if let Some(order) = self.draw(worker, &mut random) {
                let order = self.carry_out(&order, &mut random);
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

    fn version(&self, route: usize, stands: bool, random: &mut SeededRandom) -> RouteVersion {
        let version = RouteVersion {
            route,
            revision: self.routes.next_revision(random),
            service: stands.then(|| self.routes.draw_service(random)),
        };
        self.routes.begin(&version);
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

    /// Workers add routes of their own only: the index decides whose it is.
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
        drops: bool,
        random: &mut SeededRandom,
    ) -> Option<PreparedOrder> {
        let own: Vec<usize> = (worker..self.routes.count()).step_by(WORKERS).collect();
        let mut chosen = BTreeSet::new();
        for _ in 0..1 + random.below(MAX_ROUTES_OF_ORDER) {
            chosen.insert(*own.get(random.below(own.len() as u64) as usize)?);
        }
        let versions = chosen
            .into_iter()
            .map(|route| self.version(route, !drops, random))
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
        let path = format!("/{}/object-{}", name_of(route), random.below(20));
        PreparedOrder {
            method: "POST",
            path: "/purges",
            body: json!({ "hostname": HOST, "path": path }).to_string(),
            content: OrderContent::Purge,
        }
    }

    /// Sends an order until its answer is clear, to any node.
    fn carry_out(&self, prepared: &PreparedOrder, random: &mut SeededRandom) -> Order {
        let mut order = Order {
            content: prepared.content.clone(),
            sent: wall(),
            acknowledged: None,
            routes: self.routes.count(),
            answers: Vec::new(),
            refused: None,
        };
        let until = Instant::now() + PATIENCE;
        let mut pause = FIRST_PAUSE;
        while Instant::now() < until && order.acknowledged.is_none() && order.refused.is_none() {
            let (machine, status) = self.send(prepared, random);
            order.note(machine, status);
            if order.acknowledged.is_none() && order.refused.is_none() {
                thread::sleep(pause);
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
        if let (Some(_), OrderContent::Routes(versions)) = (order.acknowledged, &order.content) {
            self.routes.acknowledge(versions);
            if random.chance(REPEAT_PERCENT) {
                let (machine, status) = self.send(prepared, random);
                order.note(machine, status);
            }
        }
        order
    }

    /// Sends an order once; status 0: no answer came.
    fn send(&self, order: &PreparedOrder, random: &mut SeededRandom) -> (usize, u16) {
        let control = self.machines.control_machines();
        let machine = control[random.below(control.len() as u64) as usize];
        let loses_answer = random.chance(LOST_ANSWER_PERCENT);
        let address = self.machines.control_plane(machine);
        let silence = SILENCE + SILENCE_PER_ROUTE * self.routes.count() as u32;
        let call = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&address, CONNECT)?;
            stream.set_read_timeout(Some(silence))?;
            request_of(order, address).write(&mut stream)?;
            if loses_answer {
                return Ok(0);
            }
            let answer = HttpMessage::read(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        (machine, call().unwrap_or(0))
    }

    /// The configuration as a control node gives it; tried until `limit`.
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
            let answer = direct("GET", &format!("http://{address}/config"))
                .timeout(SILENCE * 2)
                .send();
            if let Ok(answer) = answer
                && answer.status().as_u16() == 200
                && let Ok(text) = answer.text_utf8()
            {
                return serde_json::from_str(&text).ok();
            }
            thread::sleep(FIRST_PAUSE);
        }
        None
    }
}

impl Order {
    /// Takes one answer in.
    fn note(&mut self, machine: usize, status: u16) {
        self.answers.push((machine, status));
        match status {
            200..300 => {
                self.acknowledged.get_or_insert(wall());
            }
            400 | 409 | 412 | 413 | 422 => self.refused = Some(status),
            _ => {}
        }
    }
}

fn request_of(order: &PreparedOrder, address: SocketAddr) -> HttpMessage {
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
