//! Origins that come and go: each a listener on loopback with a life of its own.
use super::http_message::HttpMessage;
use super::instance_list::{InstanceList, ListedInstance};
use super::observations::{Arrival, Observations, OriginDeparture};
use super::shape::FleetShape;
use crate::prelude::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::BufReader;

/// How long an origin works on a request, in milliseconds: at least, and drawn
/// on top of that from the request's id.
const MIN_WORK_MS: u64 = 5;
const DRAWN_WORK_MS: u64 = 40;
/// One request in so many takes long.
const LONG_WORK_ONE_IN: u64 = 50;
const LONG_WORK_MS: u64 = 900;

/// One origin that runs.
struct RunningOrigin {
    listed: ListedInstance,
    stop: Arc<AtomicBool>,
}

/// All origins of a run.
pub(super) struct OriginPool {
    shape: FleetShape,
    list: Arc<InstanceList>,
    observations: Arc<Observations>,
    running: Mutex<Vec<RunningOrigin>>,
    /// Addresses of origins that have ended, and when they did.
    free_addresses: Mutex<Vec<(SocketAddr, f64)>>,
    next_id: AtomicU64,
}

impl OriginPool {
    /// Starts the first origins of each service and lists them.
    ///
    /// # Errors
    ///
    /// An origin could not listen.
    pub(super) fn start(
        shape: &FleetShape,
        list: Arc<InstanceList>,
        observations: Arc<Observations>,
    ) -> Result<Arc<OriginPool>> {
        let pool = Arc::new(OriginPool {
            shape: shape.clone(),
            list,
            observations,
            running: Mutex::default(),
            free_addresses: Mutex::default(),
            next_id: AtomicU64::new(0),
        });
        for service in 0..shape.services {
            for _ in 0..shape.origins {
                pool.start_origin(&shape.service(service))?;
            }
        }
        pool.publish(0.0);
        Ok(pool)
    }

    /// Lists what runs, after `lag_s`; returns when that is shown.
    fn publish(&self, lag_s: f64) -> f64 {
        let running = self.running.lock().expect("no holder panics");
        let listed = running.iter().map(|origin| origin.listed.clone()).collect();
        self.list.set(listed, lag_s)
    }

    fn start_origin(self: &Arc<Self>, service: &str) -> Result<()> {
        let listener = TcpListener::bind(self.choose_address()?)?;
        let address = listener.local_addr()?;
        let id = format!("i-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let stop = Arc::new(AtomicBool::new(false));
        let origin = RunningOrigin {
            listed: ListedInstance {
                id: id.clone(),
                service: service.into(),
                address,
                draining: false,
            },
            stop: stop.clone(),
        };
        self.running.lock().expect("no holder panics").push(origin);
        let (pool, service) = (self.clone(), service.to_string());
        thread::spawn(move || pool.accept(&listener, &id, &service, &stop));
        Ok(())
    }

    /// One of an origin that has ended, if it may be used again, else a new one.
    fn choose_address(&self) -> Result<SocketAddr> {
        let mut free = self.free_addresses.lock().expect("no holder panics");
        let oldest = wall() - self.shape.bounds.address_reuse;
        match free.iter().position(|(_, ended)| *ended < oldest) {
            Some(at) => Ok(free.remove(at).0),
            None => Ok(SocketAddr::new(self.list.address.ip(), 0)),
        }
    }

    /// Replaces one origin of a service: its successor is listed before, it
    /// drains, and it ends `extra` after the drain bound.
    ///
    /// # Errors
    ///
    /// The successor could not listen.
    pub(super) fn replace(
        self: &Arc<Self>,
        service: usize,
        lag_s: f64,
        extra: Duration,
    ) -> Result<()> {
        self.start_origin(&self.shape.service(service))?;
        self.publish(lag_s);
        thread::sleep(Duration::from_secs(1));
        let Some(id) = self.mark_draining(&self.shape.service(service)) else {
            return Ok(());
        };
        let shown = self.publish(lag_s);
        self.observations.add_departure(OriginDeparture {
            origin: id.clone(),
            shown,
        });
        let serves_for = self.shape.bounds.drain_timeout + lag_s;
        thread::sleep(Duration::from_secs_f64(serves_for) + extra);
        self.end_origin(&id);
        self.publish(lag_s);
        Ok(())
    }

    /// The oldest origin of the service that does not drain yet.
    fn mark_draining(&self, service: &str) -> Option<String> {
        let mut running = self.running.lock().expect("no holder panics");
        let origin = running
            .iter_mut()
            .find(|origin| origin.listed.service == service && !origin.listed.draining)?;
        origin.listed.draining = true;
        Some(origin.listed.id.clone())
    }

    fn end_origin(&self, id: &str) {
        let mut running = self.running.lock().expect("no holder panics");
        let Some(at) = running.iter().position(|origin| origin.listed.id == id) else {
            return;
        };
        let origin = running.remove(at);
        origin.stop.store(true, Ordering::Release);
        // Wakes its listener.
        let _ = TcpStream::connect(origin.listed.address);
        let mut free = self.free_addresses.lock().expect("no holder panics");
        free.push((origin.listed.address, wall()));
    }

    fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        id: &str,
        service: &str,
        stop: &Arc<AtomicBool>,
    ) {
        for stream in listener.incoming().flatten() {
            if stop.load(Ordering::Acquire) {
                return;
            }
            let (pool, stop) = (self.clone(), stop.clone());
            let (id, service) = (id.to_string(), service.to_string());
            thread::spawn(move || pool.serve(stream, &id, &service, &stop));
        }
    }

    fn serve(&self, stream: TcpStream, id: &str, service: &str, stop: &AtomicBool) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::new(stream);
        while !stop.load(Ordering::Acquire) {
            let request = HttpMessage::read(&mut input).ok()??;
            self.answer(&request, id, service).write(&mut output).ok()?;
        }
        Some(())
    }

    fn answer(&self, request: &HttpMessage, id: &str, service: &str) -> HttpMessage {
        let request_id = request.header("Request-Id").unwrap_or_default();
        let expected = request.header("Expected-Instance");
        if expected.is_some_and(|expected| expected != id) {
            return HttpMessage::response(421)
                .with_header("Not-Executed", "1")
                .with_header("Request-Id", request_id);
        }
        if request.target() == "/health" {
            return HttpMessage::response(200)
                .with_header("Instance-Id", id)
                .with_header("Request-Id", request_id);
        }
        let at = wall();
        thread::sleep(work_of(request_id));
        self.observations.add_arrival(Arrival {
            request_id: request_id.into(),
            key: request.header("Operation-Key").map(str::to_string),
            origin: id.into(),
            at,
            finished: wall(),
        });
        HttpMessage::response(200)
            .with_header("Request-Id", request_id)
            .with_header("Origin-Signature", format!("signed-{request_id}"))
            .with_header("ETag", "\"1\"")
            .with_body(service)
    }
}

fn work_of(request_id: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    let sum = hasher.finish();
    if sum.is_multiple_of(LONG_WORK_ONE_IN) {
        return Duration::from_millis(LONG_WORK_MS);
    }
    Duration::from_millis(MIN_WORK_MS + sum % DRAWN_WORK_MS)
}
