//! Stand-in HTTP origin, healthy or faulty.
use crate::prelude::*;

/// Factor by which a slow origin takes longer for a call.
const SLOW_FACTOR: u32 = 60;
/// Seed of a signing key that belongs to no service.
const FOREIGN_KEY: [u8; 32] = [99; 32];
/// Default size of the filler in each body, in bytes.
pub(crate) const FILL_BYTES: usize = 400;

/// Stand-in for an origin: responds to any path with a signed body that echoes
/// the request, and records every call. Its faults are set by
/// `PUT /.stand-in/fault/NAME`.
pub struct StandInOrigin {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Service of the origin.
    pub service: String,
    /// Instance name.
    pub instance: String,
    /// Signing key of the responses.
    pub key: SigningKey,
    /// Processing time of a call.
    pub delay: Duration,
    /// File with the version of all content, as text.
    pub content: Option<PathBuf>,
    /// Recorder of the calls.
    pub record: Option<Recorder>,
    /// Active fault: "", "slow", "short", "unsigned", "foreign-key",
    /// "other-request", "lose-answer", "status-500".
    pub fault: Mutex<String>,
    /// Size of the filler in each body, in bytes.
    pub fill_bytes: usize,
    /// True if the responses may not be cached.
    pub private: bool,
    /// Number of calls so far, including health checks.
    pub calls: AtomicU64,
    /// Number of executions of each operation key.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

impl StandInOrigin {
    /// Creates a healthy origin without a recorder.
    pub fn new(
        address: SocketAddr,
        service: &str,
        instance: &str,
        key: SigningKey,
    ) -> StandInOrigin {
        StandInOrigin {
            address,
            service: service.into(),
            instance: instance.into(),
            key,
            delay: Duration::from_millis(5),
            content: None,
            record: None,
            fault: Mutex::default(),
            fill_bytes: FILL_BYTES,
            private: false,
            calls: AtomicU64::new(0),
            runs: Mutex::default(),
        }
    }

    /// Starts the server, which runs until `stop` is set; returns its
    /// address and thread.
    pub fn serve(
        self: &Arc<Self>,
        stop: Arc<AtomicBool>,
    ) -> Result<(SocketAddr, thread::JoinHandle<()>)> {
        let origin = self.clone();
        let server = rouille::Server::new(self.address, move |request| origin.respond(request))
            .map_err(|error| anyhow!("cannot listen on {}: {error}", self.address))?;
        let address = server.server_addr();
        let serve = move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(Duration::from_millis(20));
            }
        };
        Ok((address, thread::spawn(serve)))
    }

    fn version(&self) -> u64 {
        let text = self
            .content
            .as_ref()
            .and_then(|path| fs::read_to_string(path).ok());
        text.and_then(|text| text.trim().parse().ok()).unwrap_or(1)
    }

    fn respond(&self, request: &rouille::Request) -> rouille::Response {
        if let Some(fault) = request.raw_url().strip_prefix("/.stand-in/fault/") {
            *self.fault.lock().expect("no holder panics") = fault.into();
            return rouille::Response::text("set");
        }
        let request_id = request.header("otterslip-errand").unwrap_or_default();
        let operation = request.header("operation-key");
        let mut body = Vec::new();
        if let Some(mut data) = request.data() {
            let _ = data.read_to_end(&mut body);
        }
        let probe = request.raw_url().starts_with("/.well-known/");
        self.record_call(request, request_id, operation, probe);
        // The version is read when the call arrives, so that it is the
        // current one at that time.
        let version = self.version();
        let fault = self.fault.lock().expect("no holder panics").clone();
        let is_slow = fault == "slow" && !probe;
        thread::sleep(if is_slow {
            self.delay * SLOW_FACTOR
        } else {
            self.delay
        });
        let text = json!({
            "service": self.service,
            "target": request.raw_url(),
            "method": request.method(),
            "version": version,
            "operation": operation,
            "caller": request.header("authorization"),
            "sent": String::from_utf8_lossy(&body),
            "fill": "x".repeat(self.fill_bytes),
        });
        let operation = operation.unwrap_or("");
        self.signed_response(request, &fault, request_id, operation, text.to_string())
    }

    /// Records a call, and counts the execution if it has an operation key.
    fn record_call(
        &self,
        request: &rouille::Request,
        request_id: &str,
        operation: Option<&str>,
        probe: bool,
    ) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if let Some(record) = &self.record {
            record.put(&OriginRecord {
                at: wall(),
                address: self.address.to_string(),
                service: self.service.clone(),
                instance: self.instance.clone(),
                path: request.raw_url().into(),
                request: request_id.into(),
                operation: operation.map(Into::into),
                probe,
            });
        }
        if let Some(operation) = operation {
            let mut runs = self.runs.lock().expect("no holder panics");
            *runs.entry(operation.into()).or_default() += 1;
        }
    }

    fn signed_response(
        &self,
        request: &rouille::Request,
        fault: &str,
        request_id: &str,
        operation: &str,
        text: String,
    ) -> rouille::Response {
        let target = if fault == "other-request" {
            "/other"
        } else {
            request.raw_url()
        };
        let status = if fault == "status-500" { 500 } else { 200 };
        let signature = ResponseSignature {
            status,
            method: request.method(),
            target,
            service: &self.service,
            instance: &self.instance,
            operation_key: operation,
            request_id,
            body: text.as_bytes(),
        };
        let mut headers = self.signature_headers(&signature, fault);
        if self.private {
            headers.push(("Cache-Control".into(), "private".into()));
        }
        let text = match fault {
            "short" => text[..text.len() / 2].to_string(),
            "lose-answer" => String::new(),
            _ => text,
        };
        let mut response = rouille::Response::from_data("application/json", text);
        response.status_code = status;
        let headers = headers.into_iter();
        response
            .headers
            .extend(headers.map(|(name, value)| (name.into(), value.into())));
        if fault == "lose-answer" {
            response
                .headers
                .retain(|(name, _)| !name.starts_with("Signature"));
        }
        response
    }

    /// Returns the signature headers, modified according to the fault.
    fn signature_headers(
        &self,
        signature: &ResponseSignature,
        fault: &str,
    ) -> Vec<(String, String)> {
        let mut headers = match fault {
            "foreign-key" => signature.sign(&SigningKey::from_bytes(&FOREIGN_KEY)),
            _ => signature.sign(&self.key),
        };
        if fault == "unsigned" {
            headers.retain(|(name, _)| name != "Signature");
        }
        headers
    }
}
