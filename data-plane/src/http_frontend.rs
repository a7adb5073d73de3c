use crate::prelude::*;

/// The face of an edge: callers come in and calls to origins go out over one
/// HTTP line, in the words of one dialect. Invariant: every request read is
/// answered once, unless its session ended before.
pub struct HttpFrontend {
    program: &'static str,
    protocol: Arc<dyn ProtocolAdapter>,
    handler: Option<Arc<ConnectionHandler>>,
}

/// What the line's thread hands on.
struct ConnectionHandler {
    port: Arc<Port>,
    protocol: Arc<dyn ProtocolAdapter>,
    plug_ins: Vec<&'static PlugIn>,
    line: OnceLock<HttpLine>,
    calls: Mutex<HashMap<u64, Call>>,
    /// Requests that are not answered, by their places on the line.
    requests: Mutex<HashMap<u64, u64>>,
    /// Requests whose callers have left and that are not answered: the part hears
    /// of it only after what it was told before.
    departed: Mutex<HashSet<u64>>,
    /// Itself, for answers that come later.
    me: Weak<ConnectionHandler>,
    response_sizes: ResponseSizes,
    /// The callers' bounds last set.
    bounds: Mutex<Option<Arc<Bounds>>>,
}

const LIMITS: Limits = Limits {
    head_bytes: 32 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(60),
    pipeline: 16,
    answer_bytes: 16 * 1024 * 1024,
    send_bytes_s: None,
};
/// Routes whose answers are larger, as a rule, wait for the link, in bytes.
const LARGE_RESPONSE_BYTES: f64 = 16.0 * 1024.0;
/// Who is turned away for a full link comes back after this, to any edge.
const LINK_FULL_RETRY_AFTER: Duration = Duration::from_millis(50);
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Only the platform calls the second face, to ask whether callers may come.
const READINESS_LISTENER: usize = 1;

impl HttpFrontend {
    pub fn new(program: &'static str, protocol: Arc<dyn ProtocolAdapter>) -> HttpFrontend {
        HttpFrontend {
            program,
            protocol,
            handler: None,
        }
    }

    fn line(&self) -> Option<&HttpLine> {
        self.handler.as_ref()?.line.get()
    }
}

impl Frontend for HttpFrontend {
    fn open(&mut self, port: &Arc<Port>) -> Result<()> {
        if !port.startup.shield {
            port.startup.http.context("http address")?;
        }
        let mut listeners = Vec::new();
        for address in [port.startup.http, port.startup.ready]
            .into_iter()
            .flatten()
        {
            listeners.push(
                TcpListener::bind(address)
                    .with_context(|| format!("cannot listen on {address}"))?,
            );
        }
        let handler = Arc::new_cyclic(|me| ConnectionHandler {
            me: me.clone(),
            port: port.clone(),
            protocol: self.protocol.clone(),
            plug_ins: PlugIn::of(self.program),
            line: OnceLock::new(),
            calls: Mutex::default(),
            requests: Mutex::default(),
            departed: Mutex::default(),
            response_sizes: ResponseSizes::default(),
            bounds: Mutex::default(),
        });
        let limits = Limits {
            send_bytes_s: port.startup.link_mbps.map(|link| link * BYTES_PER_MEGABIT),
            ..LIMITS
        };
        let line = HttpLine::open(listeners, limits, handler.clone())?;
        let _ = handler.line.set(line);
        self.handler = Some(handler);
        Ok(())
    }

    fn call(&self, id: u64, call: Call) {
        let (Some(handler), Some(line)) = (&self.handler, self.line()) else {
            return;
        };
        // The process may have stood still since the part decided: what it
        // knew holds only while the lease does.
        if !handler.port.live() || handler.is_abandoned(&call) {
            let _ = handler.port.give.send(Input::CallCompleted {
                id,
                result: CallOutcome::NotSent,
            });
            return;
        }
        let CallHeaders { headers, echo } = self.protocol.call(&call);
        let out = http_line::Call {
            id,
            to: call.origin.address,
            method: call.method.clone(),
            target: call.url.clone(),
            headers,
            body: call.body.clone(),
            limit: call.timeout,
            request: Some(call.request),
            echo,
            sessions: call.max_connections,
        };
        handler
            .calls
            .lock()
            .expect("no holder panics")
            .insert(id, call);
        line.call(out);
    }

    fn cancel_call(&self, id: u64) {
        let (Some(handler), Some(line)) = (&self.handler, self.line()) else {
            return;
        };
        handler.calls.lock().expect("no holder panics").remove(&id);
        line.drop_call(id);
    }

    fn extend_call(&self, id: u64, limit: Duration) {
        if let Some(line) = self.line() {
            line.extend_call(id, limit);
        }
    }

    fn link_delay(&self, delay: Duration) {
        if let Some(line) = self.line() {
            line.link_delay(delay);
        }
    }

    fn warn(&self) {
        if let Some(line) = self.line() {
            line.drain();
        }
    }

    fn stop(&self) {
        if let Some(line) = self.line() {
            line.stop();
        }
    }

    fn done(&self) -> bool {
        self.line().is_none_or(HttpLine::finished)
    }
}

impl ConnectionHandler {
    fn tell(&self, line: u64, words: HttpResponse) {
        let HttpResponse {
            status,
            headers,
            body,
        } = words;
        self.line.wait().tell(
            line,
            http_line::Told {
                status,
                headers,
                body: body.into(),
                close: false,
            },
        );
    }

    /// Operators and the platform, by our own paths.
    fn plug_in(&self, line: u64, asked: Asked) {
        let request =
            rouille::Request::fake_http(asked.method, asked.target, asked.headers, asked.body);
        let answer = serve_plug_ins(&self.plug_ins, &self.port, &request);
        let headers = answer
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let (mut body, _) = answer.data.into_reader_and_size();
        let mut bytes = Vec::new();
        let _ = body.read_to_end(&mut bytes);
        self.tell(
            line,
            HttpResponse {
                status: answer.status_code,
                headers,
                body: Arc::new(bytes),
            },
        );
    }

    fn apply_bounds(&self, image: &Option<Arc<RouteTable>>) {
        let Some(bounds) = image.as_ref().and_then(|image| image.bounds.clone()) else {
            return;
        };
        let mut known = self.bounds.lock().expect("no holder panics");
        if known.as_ref() != Some(&bounds) {
            self.line.wait().set_limits(Limits {
                head_bytes: bounds.head_bytes as usize,
                body_bytes: bounds.body_bytes as usize,
                head_time: Duration::from_millis(bounds.head_ms),
                idle_time: Duration::from_millis(bounds.idle_ms),
                ..LIMITS
            });
            *known = Some(bounds);
        }
    }

    /// Turns a request for a large answer away at once if the answers before it
    /// take the link for longer than it can wait: other edges may be free. Small
    /// ones are written before large ones, so the link is never full for them.
    fn link_full(&self, request: &ClientRequest) -> Option<Rejection> {
        let entry = request.entry();
        let aim = entry.aim_ms.map_or(entry.deadline(), Duration::from_millis);
        let large = self.response_sizes.expected(&entry.name) > LARGE_RESPONSE_BYTES;
        let full = large && self.line.wait().backlog() > aim;
        full.then(|| {
            let why = "the link of this edge is full";
            Rejection::not_run(429, "link_full", why).with_retry_after(LINK_FULL_RETRY_AFTER)
        })
    }

    /// Whether the call is for a caller alone that has left.
    fn is_abandoned(&self, call: &Call) -> bool {
        let alone = matches!(call.purpose, CallPurpose::Caller | CallPurpose::RunOnce);
        let departed = self.departed.lock().expect("no holder panics");
        alone && departed.contains(&call.request)
    }

    /// The request at this place is answered.
    fn answered(&self, line: u64, output: &Output) {
        self.request_at(line);
        if let Output::ClientResponse { id, .. } = output {
            self.departed.lock().expect("no holder panics").remove(id);
        }
    }

    /// The request at this place, if it is not answered; it is forgotten.
    fn request_at(&self, line: u64) -> Option<u64> {
        let mut requests = self.requests.lock().expect("no holder panics");
        requests.remove(&line)
    }

    fn client_request(self: &Arc<Self>, line: u64, asked: Asked) {
        let image = (**self.port.image.load()).clone();
        self.apply_bounds(&image);
        let mut arrival = Arrival {
            method: asked.method,
            host: header(&asked.headers, "host")
                .unwrap_or_default()
                .to_string(),
            url: asked.target,
            operation: self.protocol.operation(&asked.headers).map(Into::into),
            patience: self.protocol.patience(&asked.headers),
            name: self.protocol.name(&asked.headers).map(Into::into),
            headers: asked.headers,
            body: Arc::new(asked.body),
            live: self.port.live(),
            image,
            entry: None,
        };
        if let Some(refusal) = chain(&mut arrival) {
            return self.tell(
                line,
                self.protocol
                    .tell(&arrival.headers, &ClientResponse::Rejection(refusal)),
            );
        }
        let Some(request) = client_request_of(arrival) else {
            return;
        };
        if let Some(refusal) = self.link_full(&request) {
            let answer = ClientResponse::Rejection(refusal);
            return self.tell(line, self.protocol.tell(&request.headers, &answer));
        }
        let keyed = request.entry().kind == Kind::Keyed;
        let route = request.entry().name.clone();
        let headers = request.headers.clone();
        let request = Mutex::new(Some(request));
        let handler = self.clone();
        let then = move |output: Output| {
            handler.answered(line, &output);
            let answer = match output {
                // The process may have stood still since the part answered: a
                // copy is only as good as the lease.
                Output::ClientResponse {
                    response: ClientResponse::Reply { age: Some(_), .. },
                    ..
                } if !keyed && !handler.port.live() => {
                    ClientResponse::Rejection(Rejection::fenced(RunState::NotRun))
                }
                Output::ClientResponse {
                    response: answer, ..
                } => answer,
                _ => return,
            };
            let words = handler.protocol.tell(&headers, &answer);
            if matches!(answer, ClientResponse::Reply { .. }) {
                handler.response_sizes.record(&route, words.body.len());
            }
            handler.tell(line, words);
        };
        let take = |id| {
            let mut requests = self.requests.lock().expect("no holder panics");
            requests.insert(line, id);
            Input::ClientRequest {
                id,
                request: request
                    .lock()
                    .expect("no holder panics")
                    .take()
                    .expect("made once"),
            }
        };
        self.port.begin(&take, Box::new(then));
    }
}

/// The line's own end of the taker: it is called on the line's thread.
impl Taker for ConnectionHandler {
    fn asked(&self, line: u64, frontend: usize, asked: Asked) {
        if frontend == READINESS_LISTENER {
            let status = if self.port.ready() { 200 } else { 503 };
            return self.tell(
                line,
                HttpResponse {
                    status,
                    ..HttpResponse::default()
                },
            );
        }
        if asked.target.starts_with("/.otterslip/") {
            return self.plug_in(line, asked);
        }
        // The taker is shared by its own answers.
        if let Some(handler) = self.me.upgrade() {
            handler.client_request(line, asked);
        }
    }

    fn came(&self, id: u64, came: Came) {
        let Some(call) = self.calls.lock().expect("no holder panics").remove(&id) else {
            return;
        };
        let result = judge_call(self.protocol.as_ref(), &call, came);
        let _ = self.port.give.send(Input::CallCompleted { id, result });
    }

    fn gone(&self, line: u64) {
        if let Some(id) = self.request_at(line) {
            self.departed.lock().expect("no holder panics").insert(id);
            let _ = self.port.give.send(Input::ClientDisconnected { id });
        }
    }

    fn refused(&self, status: u16, why: &str) -> http_line::Told {
        let code = match status {
            408 => "request_late",
            413 => "body_unreadable",
            431 => "head_too_large",
            _ => "request_malformed",
        };
        let words = self.protocol.tell(
            &[],
            &ClientResponse::Rejection(Rejection::not_run(status, code, why)),
        );
        http_line::Told {
            status: words.status,
            headers: words.headers,
            body: words.body.into(),
            close: true,
        }
    }
}
