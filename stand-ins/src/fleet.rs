//! Fleet of processes on loopback: starts, stops and records them.
#[cfg(test)]
mod tests;

use crate::deployment::Service;
use crate::prelude::*;

/// Number of control nodes of a fleet, each of which is a seed.
const CONTROL_NODES: usize = 3;
/// Service with a listed origin but without a group; must never be called.
const UNCONFIGURED_SERVICE: Service = Service {
    name: "spare",
    origins: 1,
    rate: 1.0,
    concurrency: 1,
};

/// Process of the fleet.
pub struct Node {
    /// Name of the process and its log file.
    pub name: String,
    /// Program and its arguments.
    pub command_line: Vec<String>,
    /// HTTP address.
    pub http: SocketAddr,
    /// Zone of a node, or service of an origin.
    pub zone: String,
    child: Option<Child>,
}

/// Processes on loopback, as a platform would run them. This is a test tool;
/// the product itself starts no processes.
pub struct Fleet {
    /// Folder for data, logs and records.
    pub folder: PathBuf,
    /// Control nodes, by slot.
    pub control: Vec<Node>,
    /// Edges.
    pub edges: Vec<Node>,
    /// Stand-in origins.
    pub origins: Vec<Node>,
    record: Recorder,
    /// Calls on the document, for the history checker.
    operators: Recorder,
}

/// Returns an unused address that was not returned before. The port is below
/// the ephemeral ports, because a connection might take an ephemeral port between
/// this call and the start of the node.
pub fn free_address() -> Result<SocketAddr> {
    static ALLOCATED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let port = 10_000 + (new_incarnation()? % 22_000) as u16;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else {
            continue;
        };
        let address = listener.local_addr()?;
        if ALLOCATED.lock().expect("no holder panics").insert(address) {
            return Ok(address);
        }
    }
}

impl Node {
    /// Plans a control node or an edge at a free HTTP address.
    fn plan(
        name: String,
        program: &str,
        mesh: SocketAddr,
        zone: &str,
        seeds: &[SocketAddr],
    ) -> Result<Node> {
        let http = free_address()?;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let mut command_line = vec![program.to_string()];
        for (flag, value) in [
            ("--mesh", mesh.to_string()),
            ("--http", http.to_string()),
            ("--zone", zone.into()),
            ("--seeds", seeds.join(",")),
        ] {
            command_line.extend([flag.to_string(), value]);
        }
        Ok(Node {
            name,
            command_line,
            http,
            zone: zone.into(),
            child: None,
        })
    }

    fn start(&mut self, folder: &Path) -> Result<()> {
        let program = std::env::current_exe()?.with_file_name(&self.command_line[0]);
        // Test programs are in a subfolder of the folder with the programs.
        let program = if program.exists() {
            program
        } else {
            program
                .parent()
                .and_then(Path::parent)
                .context("folder")?
                .join(&self.command_line[0])
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(&program)
            .args(&self.command_line[1..])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.with_context(|| program.display().to_string())?);
        Ok(())
    }

    /// Sends a signal, such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
        }
    }

    /// Waits for the process to exit; returns true if it did in time.
    pub fn ended(&mut self, limit: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true while the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns true if the node reports that it is ready.
    pub fn is_ready(&self) -> bool {
        http(self.http, "GET", "ready", "").is_ok_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request of an operator or the platform.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, serde_json::Value)> {
    http_if_match(to, method, path, body, None)
}

/// Sends a request that takes effect only if the version matches.
pub fn http_if_match(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    expect: Option<u64>,
) -> Result<(u16, serde_json::Value)> {
    send_operator_request(to, method, path, body, expect)
        .map(|response| (response.status, response.body))
}

/// Response of a control node to an operator.
struct OperatorResponse {
    status: u16,
    /// Version in the `ETag` header.
    version: Option<u64>,
    body: serde_json::Value,
}

fn send_operator_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    expect: Option<u64>,
) -> Result<OperatorResponse> {
    let mut request = request_without_proxy(method, &format!("http://{to}/.otterslip/v1/{path}"))
        .timeout(Duration::from_secs(16));
    if let Some(version) = expect {
        request = request.header("If-Match", format!("\"{version}\""));
    }
    let response = request.text(body).send()?;
    let etag = response
        .headers()
        .get("ETag")
        .and_then(|etag| etag.to_str().ok());
    let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
    Ok(OperatorResponse {
        status: response.status().as_u16(),
        version,
        body: serde_json::from_str(&response.text_utf8()?).unwrap_or_default(),
    })
}

/// Returns a write of the document for its history; none if it had no effect.
fn observed_put(text: &str, response: Option<&OperatorResponse>) -> Option<DocumentOperation> {
    let put = |version| DocumentOperation::Put {
        version,
        content: document_digest(text),
    };
    match response {
        Some(response) if response.status == 200 => Some(put(response.version)),
        Some(response) if response.status == 409 => {
            let version = response.body["version"].as_u64()?;
            Some(DocumentOperation::Raced { version })
        }
        Some(response) if response.status == 400 => None,
        _ => Some(put(None)),
    }
}

/// Returns a read of the document for its history; none if it failed.
fn observed_read(response: &OperatorResponse) -> Option<DocumentOperation> {
    let version = response.version.filter(|_| response.status == 200)?;
    let content = document_digest(&response.body.to_string());
    Some(DocumentOperation::Read { version, content })
}

fn wait_until_ready(name: &str, nodes: &[Node], limit: Duration) -> Result<()> {
    if !Fleet::wait_until(limit, &mut || nodes.iter().all(Node::is_ready)) {
        bail!("{name} are not ready after {} s", limit.as_secs());
    }
    Ok(())
}

impl Fleet {
    /// Plans all nodes of a deployment on free ports without starting them.
    pub fn plan(deployment: &Deployment, folder: &Path) -> Result<Fleet> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("content-version"), "1")?;
        let seeds = (0..CONTROL_NODES)
            .map(|_| free_address())
            .collect::<Result<Vec<_>>>()?;
        Ok(Fleet {
            folder: folder.into(),
            control: Fleet::plan_control(deployment, folder, &seeds)?,
            edges: Fleet::plan_edges(deployment, &seeds)?,
            origins: Fleet::plan_origins(deployment, folder)?,
            record: Recorder::open(&folder.join("fleet.jsonl"))?,
            operators: Recorder::open(&folder.join("operators.jsonl"))?,
        })
    }

    /// Plans a control node at each seed.
    fn plan_control(
        deployment: &Deployment,
        folder: &Path,
        seeds: &[SocketAddr],
    ) -> Result<Vec<Node>> {
        let plan = |(slot, seed): (usize, &SocketAddr)| {
            let zone = deployment.zone(slot);
            let mut node = Node::plan(
                format!("control-{slot}"),
                "control-node",
                *seed,
                zone,
                seeds,
            )?;
            let data = folder.join(format!("data-{slot}")).display().to_string();
            node.command_line.extend(["--data".into(), data]);
            Ok(node)
        };
        seeds.iter().enumerate().map(plan).collect()
    }

    fn plan_edges(deployment: &Deployment, seeds: &[SocketAddr]) -> Result<Vec<Node>> {
        let plan = |edge: usize| {
            let (mesh, zone) = (free_address()?, deployment.zone(edge));
            Node::plan(format!("edge-{edge}"), "edge-node", mesh, zone, seeds)
        };
        (0..deployment.edges).map(plan).collect()
    }

    fn plan_origins(deployment: &Deployment, folder: &Path) -> Result<Vec<Node>> {
        let mut origins = Vec::new();
        let services = deployment.services.iter().chain([&UNCONFIGURED_SERVICE]);
        for service in services {
            for index in 0..service.origins {
                let instance = format!("{}-{index}", service.name);
                let http = free_address()?;
                origins.push(Fleet::origin(folder, service.name, &instance, http));
            }
        }
        Ok(origins)
    }

    /// Plans a stand-in origin of a service at this address.
    pub fn origin(folder: &Path, service: &str, instance: &str, http: SocketAddr) -> Node {
        let path = |name: &str| folder.join(name).display().to_string();
        let command_line = [
            "stand-in-origin",
            "--http",
            &http.to_string(),
            "--service",
            service,
            "--instance",
            instance,
            "--content",
            &path("content-version"),
            "--record",
            &path("origins.jsonl"),
        ];
        Node {
            name: format!("origin-{instance}"),
            command_line: command_line.map(Into::into).into(),
            http,
            zone: service.into(),
            child: None,
        }
    }

    /// Plans an empty control node at another address, with the same seeds.
    pub fn standby(&self) -> Result<Node> {
        let mut command_line = self.control[0].command_line.clone();
        let http = free_address()?;
        let data = self.folder.join("data-standby").display().to_string();
        for (flag, value) in [
            ("--mesh", free_address()?.to_string()),
            ("--http", http.to_string()),
            ("--data", data),
        ] {
            let index = command_line
                .iter()
                .position(|word| word == flag)
                .context("flag")?;
            command_line[index + 1] = value;
        }
        Ok(Node {
            name: "control-standby".into(),
            command_line,
            http,
            zone: "standby".into(),
            child: None,
        })
    }

    /// Records an action or observation of the runner.
    pub fn record_event(&self, kind: &str, subject: &str, number: u64, as_expected: bool) {
        self.record.put(&FleetRecord {
            at: wall(),
            kind: kind.into(),
            subject: subject.into(),
            number,
            as_expected,
        });
    }

    /// Starts control nodes and edges.
    pub fn start_nodes(&mut self) -> Result<()> {
        let folder = self.folder.clone();
        self.control
            .iter_mut()
            .chain(&mut self.edges)
            .try_for_each(|node| node.start(&folder))
    }

    /// Starts origins, control nodes and edges.
    pub fn start_all(&mut self) -> Result<()> {
        let folder = self.folder.clone();
        self.origins
            .iter_mut()
            .try_for_each(|node| node.start(&folder))?;
        self.start_nodes()
    }

    /// Starts a node, whose log is written to the folder.
    pub fn start(folder: &Path, node: &mut Node) -> Result<()> {
        node.start(folder)
    }

    /// Returns the platform's list of origins, with the given instances marked
    /// as draining.
    pub fn origins_document(&self, draining: &[String]) -> String {
        let list: Vec<_> = self
            .origins
            .iter()
            .map(|node| {
                let instance = node.name.trim_start_matches("origin-");
                let is_draining = draining.iter().any(|name| name == instance);
                json!({ "address": node.http, "service": node.zone, "instance": instance, "leaving": is_draining })
            })
            .collect();
        json!(list).to_string()
    }

    /// Sends an operator's request to the first control node that responds.
    pub fn request_as_operator(
        &self,
        method: &str,
        path: &str,
        body: &str,
        expect: Option<u64>,
    ) -> Result<(u16, serde_json::Value)> {
        let mut last_error = anyhow!("no control node");
        for node in &self.control {
            let response = match path {
                "configuration" => self.call_document(node.http, method, body, expect),
                _ => http_if_match(node.http, method, path, body, expect),
            };
            match response {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Sends an operator's request for the document and records it for the
    /// history checker.
    pub fn call_document(
        &self,
        to: SocketAddr,
        method: &str,
        body: &str,
        expect: Option<u64>,
    ) -> Result<(u16, serde_json::Value)> {
        let start = wall();
        let response = send_operator_request(to, method, "configuration", body, expect);
        let operation = match method {
            "PUT" => observed_put(body, response.as_ref().ok()),
            _ => response.as_ref().ok().and_then(observed_read),
        };
        if let Some(operation) = operation {
            let is_unknown = matches!(operation, DocumentOperation::Put { version: None, .. });
            self.operators.put(&OperatorRecord {
                start,
                end: (!is_unknown).then(wall),
                operation,
            });
        }
        response.map(|response| (response.status, response.body))
    }

    /// Opens the ledger of a new fleet, once the generation has an identifier.
    pub fn open_ledger(&self) -> Result<()> {
        let mut generation = String::new();
        Fleet::wait_until(Duration::from_secs(20), &mut || {
            let state = self
                .request_as_operator("GET", "state", "", None)
                .map(|(_, state)| state)
                .unwrap_or_default();
            generation = state["ledger"]["realm"].as_str().unwrap_or_default().into();
            generation.bytes().any(|byte| byte != b'0')
        });
        let (status, body) = self.request_as_operator(
            "POST",
            "ledger/open",
            &json!({ "realm": generation }).to_string(),
            None,
        )?;
        if status != 200 {
            bail!("ledger/open: {status} {body}");
        }
        Ok(())
    }

    /// Waits until all control nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not ready within `limit`.
    pub fn wait_for_control(&self, limit: Duration) -> Result<()> {
        wait_until_ready("control nodes", &self.control, limit)
    }

    /// Waits until all edges are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not ready within `limit`.
    pub fn wait_for_edges(&self, limit: Duration) -> Result<()> {
        wait_until_ready("edges", &self.edges, limit)
    }

    /// Writes the platform's list of origins, with the given instances marked
    /// as draining.
    ///
    /// # Errors
    ///
    /// Returns an error if no control node accepted the list.
    pub fn put_origins(&self, draining: &[String]) -> Result<()> {
        let (status, body) =
            self.request_as_operator("PUT", "origins", &self.origins_document(draining), None)?;
        if status != 200 {
            bail!("origins: {status} {body}");
        }
        Ok(())
    }

    /// Waits until `done` returns true; returns false if the limit was reached.
    pub fn wait_until(limit: Duration, done: &mut dyn FnMut() -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if done() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills all processes.
    pub fn stop_all(&mut self) {
        for node in self
            .control
            .iter_mut()
            .chain(&mut self.edges)
            .chain(&mut self.origins)
        {
            node.kill();
        }
    }
}
