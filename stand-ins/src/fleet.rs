//! A fleet of processes on loopback: starts, stops and records them.
#[cfg(test)]
mod tests;

use crate::deployment::Service;
use crate::prelude::*;

/// Control nodes of a fleet: each seed is one.
const SEEDS: usize = 3;
/// Has a listed origin but no group: never to be called.
const SPARE_SERVICE: Service = Service {
    name: "spare",
    origins: 1,
    rate: 1.0,
    concurrency: 1,
};

/// One process of the fleet, started by the runner.
pub struct Node {
    /// Names its log file.
    pub name: String,
    /// The program and its arguments.
    pub words: Vec<String>,
    /// Where it listens for HTTP.
    pub http: SocketAddr,
    /// The zone of a node, the service of an origin.
    pub zone: String,
    child: Option<Child>,
}

/// Processes on loopback, as a platform would run them. A test tool: the
/// product itself starts nothing.
pub struct Fleet {
    /// Holds data, logs and records.
    pub folder: PathBuf,
    /// Control nodes, by slot.
    pub control: Vec<Node>,
    /// Edges.
    pub edges: Vec<Node>,
    /// Stand-in origins.
    pub origins: Vec<Node>,
    record: Recorder,
    /// Calls on the document, for their history.
    operators: Recorder,
}

/// An address nothing listens on now, and that was not given out before. From
/// below the ports that the system gives to connections: between the choice
/// and the start of the node there, one of those might take it.
pub fn free_address() -> Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let port = 10_000 + (new_incarnation()? % 22_000) as u16;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else {
            continue;
        };
        let address = listener.local_addr()?;
        if GIVEN.lock().expect("no holder panics").insert(address) {
            return Ok(address);
        }
    }
}

impl Node {
    /// A control node or an edge at a free HTTP address.
    fn plan(
        name: String,
        program: &str,
        mesh: SocketAddr,
        zone: &str,
        seeds: &[SocketAddr],
    ) -> Result<Node> {
        let http = free_address()?;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let mut words = vec![program.to_string()];
        for (flag, value) in [
            ("--mesh", mesh.to_string()),
            ("--http", http.to_string()),
            ("--zone", zone.into()),
            ("--seeds", seeds.join(",")),
        ] {
            words.extend([flag.to_string(), value]);
        }
        Ok(Node {
            name,
            words,
            http,
            zone: zone.into(),
            child: None,
        })
    }

    fn start(&mut self, folder: &Path) -> Result<()> {
        let program = std::env::current_exe()?.with_file_name(&self.words[0]);
        // Tests run from a folder below the one with the programs.
        let program = if program.exists() {
            program
        } else {
            program
                .parent()
                .and_then(Path::parent)
                .context("folder")?
                .join(&self.words[0])
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(&program)
            .args(&self.words[1..])
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

    /// Waits for the process to end by itself; true if it did in time.
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

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// True while the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the node answers that it is ready.
    pub fn ready(&self) -> bool {
        http(self.http, "GET", "ready", "").is_ok_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One call of an operator or the platform.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, serde_json::Value)> {
    http_if_match(to, method, path, body, None)
}

/// The same for a change of a known version only.
pub fn http_if_match(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    expect: Option<u64>,
) -> Result<(u16, serde_json::Value)> {
    operator_call(to, method, path, body, expect).map(|answer| (answer.status, answer.body))
}

/// A control node's answer to an operator.
struct OperatorReply {
    status: u16,
    /// The version in its `ETag`.
    version: Option<u64>,
    body: serde_json::Value,
}

fn operator_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    expect: Option<u64>,
) -> Result<OperatorReply> {
    let mut request = direct(method, &format!("http://{to}/.otterslip/v1/{path}"))
        .timeout(Duration::from_secs(16));
    if let Some(version) = expect {
        request = request.header("If-Match", format!("\"{version}\""));
    }
    let answer = request.text(body).send()?;
    let tag = answer
        .headers()
        .get("ETag")
        .and_then(|tag| tag.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    Ok(OperatorReply {
        status: answer.status().as_u16(),
        version,
        body: serde_json::from_str(&answer.text_utf8()?).unwrap_or_default(),
    })
}

/// A put of the document as its history has it; none if it had no effect.
fn put_seen(text: &str, answer: Option<&OperatorReply>) -> Option<DocumentOperation> {
    let put = |version| DocumentOperation::Put {
        version,
        content: document_digest(text),
    };
    match answer {
        Some(answer) if answer.status == 200 => Some(put(answer.version)),
        Some(answer) if answer.status == 409 => {
            let version = answer.body["version"].as_u64()?;
            Some(DocumentOperation::Raced { version })
        }
        Some(answer) if answer.status == 400 => None,
        _ => Some(put(None)),
    }
}

/// A read of the document as its history has it; none if it told nothing.
fn read_seen(answer: &OperatorReply) -> Option<DocumentOperation> {
    let version = answer.version.filter(|_| answer.status == 200)?;
    let content = document_digest(&answer.body.to_string());
    Some(DocumentOperation::Read { version, content })
}

fn wait_until_ready(name: &str, nodes: &[Node], limit: Duration) -> Result<()> {
    if !Fleet::wait(limit, &mut || nodes.iter().all(Node::ready)) {
        bail!("{name} are not ready after {} s", limit.as_secs());
    }
    Ok(())
}

impl Fleet {
    /// Lays out all nodes of a deployment on free ports; starts none.
    pub fn plan(deployment: &Deployment, folder: &Path) -> Result<Fleet> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("content-version"), "1")?;
        let seeds = (0..SEEDS)
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

    /// One control node at each seed.
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
            node.words.extend(["--data".into(), data]);
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
        let services = deployment.services.iter().chain([&SPARE_SERVICE]);
        for service in services {
            for index in 0..service.origins {
                let instance = format!("{}-{index}", service.name);
                let http = free_address()?;
                origins.push(Fleet::origin(folder, service.name, &instance, http));
            }
        }
        Ok(origins)
    }

    /// A stand-in origin of a service at this address.
    pub fn origin(folder: &Path, service: &str, instance: &str, http: SocketAddr) -> Node {
        let path = |name: &str| folder.join(name).display().to_string();
        let words = [
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
            words: words.map(Into::into).into(),
            http,
            zone: service.into(),
            child: None,
        }
    }

    /// An empty control node at another place, with the same seeds.
    pub fn standby(&self) -> Result<Node> {
        let mut words = self.control[0].words.clone();
        let http = free_address()?;
        let data = self.folder.join("data-standby").display().to_string();
        for (flag, value) in [
            ("--mesh", free_address()?.to_string()),
            ("--http", http.to_string()),
            ("--data", data),
        ] {
            let at = words.iter().position(|word| word == flag).context("flag")?;
            words[at + 1] = value;
        }
        Ok(Node {
            name: "control-standby".into(),
            words,
            http,
            zone: "standby".into(),
            child: None,
        })
    }

    /// Records something the runner did or observed.
    pub fn note(&self, what: &str, subject: &str, number: u64, good: bool) {
        self.record.put(&FleetRecord {
            at: wall(),
            what: what.into(),
            subject: subject.into(),
            number,
            good,
        });
    }

    /// Control nodes and edges.
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

    /// Starts one node; its log goes to the folder.
    pub fn start(folder: &Path, node: &mut Node) -> Result<()> {
        node.start(folder)
    }

    /// The platform's list, with some marked as leaving.
    pub fn origins_text(&self, leaving: &[String]) -> String {
        let list: Vec<_> = self
            .origins
            .iter()
            .map(|node| {
                let instance = node.name.trim_start_matches("origin-");
                let goes = leaving.iter().any(|one| one == instance);
                json!({ "address": node.http, "service": node.zone, "instance": instance, "leaving": goes })
            })
            .collect();
        json!(list).to_string()
    }

    /// An operator's call, by way of any control node that answers.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        expect: Option<u64>,
    ) -> Result<(u16, serde_json::Value)> {
        let mut last = anyhow!("no control node");
        for node in &self.control {
            let told = match path {
                "configuration" => self.call_document(node.http, method, body, expect),
                _ => http_if_match(node.http, method, path, body, expect),
            };
            match told {
                Ok(told) => return Ok(told),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// An operator's call on the document, recorded for its history.
    pub fn call_document(
        &self,
        to: SocketAddr,
        method: &str,
        body: &str,
        expect: Option<u64>,
    ) -> Result<(u16, serde_json::Value)> {
        let start = wall();
        let answer = operator_call(to, method, "configuration", body, expect);
        let operation = match method {
            "PUT" => put_seen(body, answer.as_ref().ok()),
            _ => answer.as_ref().ok().and_then(read_seen),
        };
        if let Some(operation) = operation {
            let lost = matches!(operation, DocumentOperation::Put { version: None, .. });
            self.operators.put(&OperatorRecord {
                start,
                end: (!lost).then(wall),
                operation,
            });
        }
        answer.map(|answer| (answer.status, answer.body))
    }

    /// Says that no fleet was here before, once the generation has a name.
    pub fn open_ledger(&self) -> Result<()> {
        let mut generation = String::new();
        Fleet::wait(Duration::from_secs(20), &mut || {
            let state = self
                .operate("GET", "state", "", None)
                .map(|(_, state)| state)
                .unwrap_or_default();
            generation = state["ledger"]["realm"].as_str().unwrap_or_default().into();
            generation.bytes().any(|byte| byte != b'0')
        });
        let (status, body) = self.operate(
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
    /// They are not within `limit`.
    pub fn wait_for_control(&self, limit: Duration) -> Result<()> {
        wait_until_ready("control nodes", &self.control, limit)
    }

    /// Waits until all edges are ready.
    ///
    /// # Errors
    ///
    /// They are not within `limit`.
    pub fn wait_for_edges(&self, limit: Duration) -> Result<()> {
        wait_until_ready("edges", &self.edges, limit)
    }

    /// Puts the platform's list of origins, with some marked as leaving.
    ///
    /// # Errors
    ///
    /// No control node took it.
    pub fn put_origins(&self, leaving: &[String]) -> Result<()> {
        let (status, body) = self.operate("PUT", "origins", &self.origins_text(leaving), None)?;
        if status != 200 {
            bail!("origins: {status} {body}");
        }
        Ok(())
    }

    /// Until `done` says so; false if it did not in time.
    pub fn wait(limit: Duration, done: &mut dyn FnMut() -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if done() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes at once.
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
