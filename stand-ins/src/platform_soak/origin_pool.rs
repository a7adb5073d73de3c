//! Stand-in origins that are started and replaced during a run, each with its
//! own loopback listener.
use super::http_message::HttpMessage;
use super::instance_list::{InstanceList, ListedInstance};
use super::observations::{Arrival, Observations, OriginDeparture};
use super::shape::FleetShape;
use crate::prelude::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::BufReader;

/// Minimum processing time of a request, in milliseconds. A time below
/// `VARIABLE_WORK_MS`, derived from the request id, is added.
const MIN_WORK_MS: u64 = 5;
const VARIABLE_WORK_MS: u64 = 40;
/// On average, one of this many requests has the processing time `LONG_WORK_MS`.
const LONG_WORK_ONE_IN: u64 = 50;
const LONG_WORK_MS: u64 = 900;

/// Ends of the targets of large objects; a route has twenty objects.
const LARGE_OBJECTS: [&str; 3] = ["/object-0", "/object-8", "/object-16"];

/// Running origin.
struct RunningOrigin {
    listed: ListedInstance,
    stop: Arc<AtomicBool>,
}

/// Origins of a run.
pub(super) struct OriginPool {
    shape: FleetShape,
    list: Arc<InstanceList>,
    observations: Arc<Observations>,
    running: Mutex<Vec<RunningOrigin>>,
    /// Addresses of stopped origins, with the time of the stop in seconds.
    free_addresses: Mutex<Vec<(SocketAddr, f64)>>,
    next_id: AtomicU64,
}

impl OriginPool {
    /// Starts the initial origins of each service and lists them.
    ///
    /// # Errors
    ///
    /// Returns an error if an origin cannot listen.
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

    /// Lists the running origins after `lag_s`; returns the time at which the
    /// list is shown.
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

    /// Returns the address of a stopped origin if it may be reused, otherwise a
    /// new one.
    fn choose_address(&self) -> Result<SocketAddr> {
        let mut free = self.free_addresses.lock().expect("no holder panics");
        let oldest = wall() - self.shape.bounds.address_reuse;
        match free.iter().position(|(_, stopped)| *stopped < oldest) {
            Some(at) => Ok(free.remove(at).0),
            None => Ok(SocketAddr::new(self.list.address.ip(), 0)),
        }
    }

    /// Replaces the oldest origin of a service: lists its successor, lists the
    /// origin as draining, and stops it `extra` after the drain timeout plus
    /// `lag_s`.
    ///
    /// # Errors
    ///
    /// Returns an error if the successor cannot listen.
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
        let serving_s = self.shape.bounds.drain_timeout + lag_s;
        thread::sleep(Duration::from_secs_f64(serving_s) + extra);
        self.stop_origin(&id);
        self.publish(lag_s);
        Ok(())
    }

    /// Marks the oldest origin of the service that is not draining as draining;
    /// returns its id.
    fn mark_draining(&self, service: &str) -> Option<String> {
        let mut running = self.running.lock().expect("no holder panics");
        let origin = running
            .iter_mut()
            .find(|origin| origin.listed.service == service && !origin.listed.draining)?;
        origin.listed.draining = true;
        Some(origin.listed.id.clone())
    }

    fn stop_origin(&self, id: &str) {
        let mut running = self.running.lock().expect("no holder panics");
        let Some(at) = running.iter().position(|origin| origin.listed.id == id) else {
            return;
        };
        let origin = running.remove(at);
        origin.stop.store(true, Ordering::Release);
        // Unblocks the origin's listener.
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
            self.respond(&request, id, service)
                .write(&mut output)
                .ok()?;
        }
        Some(())
    }

    /// Returns the body of a response: the service in the first line, then the filler of
    /// large objects.
    fn body(&self, request: &HttpMessage, service: &str) -> String {
        let is_large = LARGE_OBJECTS
            .iter()
            .any(|object| request.target().ends_with(object));
        if self.shape.filler_bytes == 0 || !request.start_line.starts_with("GET ") || !is_large {
            return service.into();
        }
        format!("{service}\n{}", "x".repeat(self.shape.filler_bytes))
    }

    fn respond(&self, request: &HttpMessage, id: &str, service: &str) -> HttpMessage {
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
        thread::sleep(processing_time(request_id));
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
            .with_body(self.body(request, service))
    }
}

fn processing_time(request_id: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    let hash = hasher.finish();
    if hash.is_multiple_of(LONG_WORK_ONE_IN) {
        return Duration::from_millis(LONG_WORK_MS);
    }
    Duration::from_millis(MIN_WORK_MS + hash % VARIABLE_WORK_MS)
}
