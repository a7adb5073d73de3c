//! End-to-end test of separate processes on ephemeral ports, checked by call counts and
//! responses. Conditions are polled up to a generous maximum.
use stand_ins::fleet::http_if_match;
use stand_ins::prelude::*;

/// A running fleet with its stand-in origins.
struct TestSystem {
    fleet: Fleet,
    origins: Vec<Arc<StandInOrigin>>,
    schema: SchemaCheck,
    stop: Arc<AtomicBool>,
    version: u64,
}

/// Maximum time to wait for a condition or a response.
const MAX_WAIT: Duration = Duration::from_secs(60);

impl TestSystem {
    fn start() -> TestSystem {
        // A port may be taken between its selection and its use; the start is then retried.
        for _ in 0..5 {
            if let Some(system) = TestSystem::try_start() {
                return system;
            }
        }
        panic!("no fleet started in five attempts");
    }

    fn try_start() -> Option<TestSystem> {
        let folder = std::env::temp_dir().join(format!(
            "otterslip-path-{}-{}",
            std::process::id(),
            new_incarnation().ok()?
        ));
        let mut deployment = Deployment::find("small")?;
        deployment.edges = 3;
        let mut fleet = Fleet::plan(&deployment, &folder).ok()?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut origins = Vec::new();
        for node in &fleet.origins {
            let mut origin = StandInOrigin::new(
                node.http,
                &node.zone,
                node.name.trim_start_matches("origin-"),
                Deployment::signing_key(&node.zone),
            );
            origin.content = Some(folder.join("content-version"));
            let origin = Arc::new(origin);
            origin.serve(stop.clone()).ok()?;
            origins.push(origin);
        }
        fleet.start_nodes().ok()?;
        let mut system = TestSystem {
            fleet,
            origins,
            schema: SchemaCheck::new().ok()?,
            stop,
            version: 0,
        };
        let up = Fleet::wait_until(MAX_WAIT, &mut || {
            system.fleet.control.iter().all(Node::is_ready)
                || !system.fleet.control.iter_mut().all(Node::is_running)
        });
        if !up || !system.fleet.control.iter().all(Node::is_ready) {
            return None;
        }
        assert_eq!(
            system
                .request_as_operator("PUT", "origins", &system.fleet.origins_document(&[]), None)
                .0,
            200
        );
        let (status, body) =
            system.request_as_operator("PUT", "configuration", &deployment.document(&[1]), None);
        assert_eq!(status, 200, "{body}");
        system.version = body["version"].as_u64()?;
        let edges = &mut system.fleet.edges;
        let up = Fleet::wait_until(MAX_WAIT, &mut || {
            edges.iter().all(Node::is_ready) || !edges.iter_mut().all(Node::is_running)
        });
        (up && system.fleet.edges.iter().all(Node::is_ready)).then_some(system)
    }

    /// Makes an operator call and checks request and response against the schema.
    fn request_as_operator(
        &self,
        method: &str,
        what: &str,
        body: &str,
        expect: Option<u64>,
    ) -> (u16, serde_json::Value) {
        let (status, response_body) = self
            .fleet
            .request_as_operator(method, what, body, expect)
            .unwrap();
        self.check_schema(
            method,
            &format!("/.otterslip/v1/{what}"),
            body,
            status,
            &response_body,
        );
        (status, response_body)
    }

    fn check_schema(
        &self,
        method: &str,
        path: &str,
        body: &str,
        status: u16,
        response_body: &serde_json::Value,
    ) {
        if status == 200 && !body.is_empty() {
            let sent = serde_json::from_str(body).unwrap();
            self.schema.request(method, path, &sent).unwrap();
        }
        self.schema
            .response(method, path, status, response_body)
            .unwrap_or_else(|error| panic!("{method} {path} {status}: {error}; {response_body}"));
    }

    /// Sends a client request. Returns status, headers and body of the response.
    fn call(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, BTreeMap<String, String>, serde_json::Value) {
        let url = format!("http://{}{path}", self.fleet.edges[edge].http);
        let mut request = request_without_proxy(method, &url).timeout(MAX_WAIT);
        for (name, value) in headers {
            request = request
                .try_header(
                    attohttpc::header::HeaderName::from_bytes(name.as_bytes()).unwrap(),
                    *value,
                )
                .unwrap();
        }
        let response = request.text(body).send().unwrap();
        let headers = response
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_string()))
            .collect();
        let status = response.status().as_u16();
        let response_body: serde_json::Value =
            serde_json::from_str(&response.text_utf8().unwrap()).unwrap_or_default();
        if status != 200 {
            self.check_schema(method, path, "", status, &response_body);
        }
        (status, headers, response_body)
    }

    /// Repeats a client request until it is served: shortly after a start or a fault it may be
    /// rejected.
    fn call_until_served(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> serde_json::Value {
        let mut last = serde_json::Value::Null;
        let is_served = Fleet::wait_until(MAX_WAIT, &mut || {
            let (status, _, response_body) = self.call(edge, method, path, headers, body);
            last = response_body;
            status == 200
        });
        assert!(is_served, "{path} is not served: {last}");
        last
    }

    fn origin_calls(&self) -> u64 {
        self.origins
            .iter()
            .map(|origin| origin.calls.load(Ordering::Relaxed))
            .sum()
    }

    fn executions_of(&self, key: &str) -> u32 {
        self.origins
            .iter()
            .map(|origin| origin.runs.lock().unwrap().get(key).copied().unwrap_or(0))
            .sum()
    }

    fn set_fault(&self, service: &str, name: &str) {
        for origin in self
            .origins
            .iter()
            .filter(|origin| origin.service == service)
        {
            *origin.fault.lock().unwrap() = name.into();
        }
    }
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        self.fleet.stop_all();
        self.stop.store(true, Ordering::Release);
        let _ = fs::remove_dir_all(&self.fleet.folder);
    }
}

#[test]
fn requests_and_changes_work_across_processes() {
    let mut system = TestSystem::start();
    check_new_ledger_waits_until_opened(&system);
    check_cached_responses_are_shared(&system);
    check_keyed_requests_run_once(&system);
    check_bad_requests_are_rejected(&system);
    check_bad_responses_are_never_forwarded(&system);
    check_changes_are_atomic(&system);
    check_command_line_and_history(&system);
    check_loss_of_a_control_node_and_an_edge(&mut system);
}

fn check_new_ledger_waits_until_opened(system: &TestSystem) {
    let headers = [("Operation-Key", "too-soon"), ("Authorization", "Bearer a")];
    let mut response_body = serde_json::Value::Null;
    Fleet::wait_until(MAX_WAIT, &mut || {
        response_body = system.call(0, "POST", "/reservation/1", &headers, "").2;
        response_body["code"] == "ledger_recovering"
    });
    assert_eq!(
        (&response_body["code"], &response_body["outcome"]),
        (&json!("ledger_recovering"), &json!("unknown"))
    );
    assert!(
        (1..=75).contains(&response_body["retry_after_s"].as_u64().unwrap()),
        "{response_body}"
    );
    let (status, rejection_body) = system.request_as_operator(
        "POST",
        "ledger/open",
        r#"{"realm":"0000000000000009"}"#,
        None,
    );
    assert_eq!(
        (status, &rejection_body["findings"][0]["place"]),
        (422, &json!("/realm")),
        "the realm of another generation is rejected"
    );
    system.fleet.open_ledger().unwrap();
    assert!(Fleet::wait_until(MAX_WAIT, &mut || system
        .request_as_operator("GET", "state", "", None)
        .1["ledger"]["closed_s"]
        == 0.0));
}

fn check_cached_responses_are_shared(system: &TestSystem) {
    system.call_until_served(0, "GET", "/listing/1", &[], "");
    system.call_until_served(1, "GET", "/listing/1", &[], "");
    let before = system.origin_calls();
    let mut ages = 0;
    for round in 0..60 {
        let (status, headers, response_body) = system.call(round % 3, "GET", "/listing/1", &[], "");
        assert_eq!(
            (status, response_body["target"].as_str()),
            (200, Some("/listing/1"))
        );
        ages += usize::from(headers.contains_key("age"));
    }
    // Probes add a few calls; sixty uncached fetches would still exceed the bound.
    assert!(
        system.origin_calls() - before < 30,
        "{} origin calls for 60 fetches of one key",
        system.origin_calls() - before
    );
    assert_eq!(ages, 60);
    // Responses to requests with credentials are not shared.
    let caller_of = |name: &str| {
        system.call_until_served(0, "GET", "/listing/1", &[("Authorization", name)], "")["caller"]
            .clone()
    };
    assert_eq!(
        (caller_of("one"), caller_of("two")),
        ("one".into(), "two".into())
    );
    let (_, _, shared) = system.call(1, "GET", "/listing/1", &[], "");
    assert_eq!(shared["caller"], serde_json::Value::Null);
}

fn check_keyed_requests_run_once(system: &TestSystem) {
    let headers = [("Operation-Key", "k-1"), ("Authorization", "me")];
    let first = system.call_until_served(0, "POST", "/reservation/1", &headers, "two nights");
    assert_eq!(
        (first["operation"].as_str(), first["sent"].as_str()),
        (Some("k-1"), Some("two nights"))
    );
    for edge in 0..3 {
        let (status, _, response_body) =
            system.call(edge, "POST", "/reservation/1", &headers, "two nights");
        assert_eq!((status, &response_body), (200, &first));
    }
    assert_eq!(system.executions_of("k-1"), 1);
    for (headers, body) in [
        (headers, "three nights"),
        ([headers[0], ("Authorization", "you")], "two nights"),
    ] {
        let (status, _, response_body) = system.call(1, "POST", "/reservation/1", &headers, body);
        assert_eq!(
            (
                status,
                response_body["code"].as_str(),
                response_body["outcome"].as_str()
            ),
            (422, Some("operation_key_reused"), Some("not_run"))
        );
    }
    // If the origin executes the request and its response is lost, it is not executed again.
    system.set_fault("booking", "lose-answer");
    let headers = [("Operation-Key", "k-2")];
    let is_unknown = Fleet::wait_until(MAX_WAIT, &mut || {
        system.call(2, "POST", "/reservation/2", &headers, "x").2["outcome"] == "unknown"
    });
    assert!(is_unknown && system.executions_of("k-2") == 1);
    system.set_fault("booking", "");
    system.call_until_served(
        0,
        "POST",
        "/reservation/3",
        &[("Operation-Key", "k-3")],
        "y",
    );
    let (status, _, response_body) = system.call(0, "POST", "/reservation/2", &headers, "x");
    assert_eq!(
        (
            status,
            response_body["code"].as_str(),
            system.executions_of("k-2")
        ),
        (409, Some("outcome_unknown"), 1)
    );
}

fn check_bad_requests_are_rejected(system: &TestSystem) {
    let rejection = |method: &str, url: &str, headers: &[(&str, &str)], body: &str| {
        let (status, _, response_body) = system.call(0, method, url, headers, body);
        assert_eq!(response_body["outcome"], "not_run");
        (
            status,
            response_body["code"]
                .as_str()
                .unwrap_or_default()
                .to_string(),
        )
    };
    let expect = |status, code: &str| (status, code.to_string());
    assert_eq!(
        rejection("GET", "/nowhere", &[], ""),
        expect(404, "no_entry")
    );
    assert_eq!(
        rejection("POST", "/reservation/1", &[], "x"),
        expect(400, "operation_key_missing")
    );
    assert_eq!(
        rejection(
            "POST",
            "/reservation/1",
            &[("Operation-Key", &"k".repeat(129))],
            "x"
        ),
        expect(400, "operation_key_malformed")
    );
    assert_eq!(
        rejection("POST", "/availability/1", &[], &"x".repeat(1024 * 1024 + 1)),
        expect(413, "body_unreadable")
    );
    let spare = system
        .origins
        .iter()
        .find(|origin| origin.service == "spare")
        .unwrap();
    assert_eq!(
        spare.calls.load(Ordering::Relaxed),
        0,
        "no entry refers to this service"
    );
    // Invalid input at the mesh and HTTP ports ends only its own connection.
    for node in system.fleet.control.iter().chain(&system.fleet.edges) {
        let mesh: SocketAddr = node.command_line[node
            .command_line
            .iter()
            .position(|word| word == "--mesh")
            .unwrap()
            + 1]
        .parse()
        .unwrap();
        for address in [mesh, node.http] {
            let mut stream = TcpStream::connect(address).unwrap();
            let _ = stream.write_all(&[0xff; 64]);
            let mut stream = TcpStream::connect(address).unwrap();
            let _ = stream.write_all(b"\x00\x00\x00\x04\x00\x00\x00\x00abcdGET");
        }
    }
    system.call_until_served(0, "GET", "/listing/1", &[], "");
}

fn check_bad_responses_are_never_forwarded(system: &TestSystem) {
    for (index, fault) in ["short", "unsigned", "foreign-key", "other-request"]
        .iter()
        .enumerate()
    {
        system.set_fault("listings", fault);
        let url = format!("/listing/1{index}");
        for edge in 0..3 {
            let (status, _, response_body) = system.call(edge, "GET", &url, &[], "");
            assert!(
                [429, 502, 503].contains(&status),
                "{fault}: {status} {response_body}"
            );
        }
        system.set_fault("listings", "");
        let served = system.call_until_served(0, "GET", &url, &[], "");
        assert_eq!(served["target"].as_str(), Some(url.as_str()));
    }
}

fn check_changes_are_atomic(system: &TestSystem) {
    // Responses fetched after the acknowledgement of a purge are new.
    system.call_until_served(0, "GET", "/listing/1", &[], "");
    fs::write(system.fleet.folder.join("content-version"), "2").unwrap();
    assert_eq!(system.request_as_operator("POST", "purges", r#"{"prefix":"/listing/","entry":null,"url":null}"#.replace(r#","entry":null,"url":null"#, "").as_str(), None).0, 200);
    for edge in 0..3 {
        assert_eq!(
            system.call_until_served(edge, "GET", "/listing/1", &[], "")["version"],
            2
        );
    }
    assert_eq!(
        system.request_as_operator("POST", "purges", "{}", None).0,
        422
    );
    // Of two concurrent changes one succeeds, and the other gets the version in effect.
    let deployment = Deployment::find("small").unwrap();
    let documents = [deployment.document(&[1, 2]), deployment.document(&[1, 3])];
    let responses: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = documents
            .iter()
            .zip(&system.fleet.control)
            .map(|(text, node)| {
                scope.spawn(|| {
                    http_if_match(
                        node.http,
                        "PUT",
                        "configuration",
                        text,
                        Some(system.version),
                    )
                    .unwrap()
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let winner = responses
        .iter()
        .position(|(status, _)| *status == 200)
        .expect("one change succeeds");
    let (status, conflict) = &responses[1 - winner];
    assert_eq!(
        (*status, &conflict["version"]),
        (409, &responses[winner].1["version"])
    );
    // The successful change is in effect at all edges, the other at none. Status 400 shows
    // that the entry is known.
    for edge in 0..3 {
        let marker = |number: usize| {
            system
                .call(edge, "POST", &format!("/marker/{number}"), &[], "")
                .0
        };
        assert_eq!((marker(2 + winner), marker(3 - winner)), (400, 404));
    }
    // An invalid configuration is rejected with all findings and has no effect. The
    // configuration that is read back equals the acknowledged one byte for byte.
    let bad = deployment
        .document(&[1, 999])
        .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
    let (status, rejection_body) = system.request_as_operator("PUT", "configuration", &bad, None);
    assert_eq!(
        (status, rejection_body["findings"].as_array().map(Vec::len)),
        (422, Some(2))
    );
    assert_eq!(system.call(0, "POST", "/marker/999", &[], "").0, 404);
    for node in &system.fleet.control {
        let url = format!("http://{}/.otterslip/v1/configuration", node.http);
        let response = request_without_proxy("GET", &url).send().unwrap();
        assert_eq!(response.text_utf8().unwrap(), documents[winner]);
    }
    // A change with thousands of entries takes effect like a small one.
    let many: Vec<u64> = (2000..6000).collect();
    assert_eq!(
        system
            .request_as_operator("PUT", "configuration", &deployment.document(&many), None)
            .0,
        200
    );
    for edge in 0..3 {
        assert_eq!(system.call(edge, "POST", "/marker/5999", &[], "").0, 400);
    }
    assert_eq!(
        system
            .request_as_operator("PUT", "configuration", &documents[winner], None)
            .0,
        200
    );
    assert_eq!(system.call(1, "POST", "/marker/5999", &[], "").0, 404);
    check_items_are_set_and_removed(system);
    for what in ["duties", "state", "origins", "live", "ready", "schema"] {
        assert_eq!(system.request_as_operator("GET", what, "", None).0, 200);
    }
}

/// Named items, which are set separately from the document, take effect at all edges too. Each
/// call is atomic, and an item with a revision older than the known one has no effect.
fn check_items_are_set_and_removed(system: &TestSystem) {
    let entry = |name: &str, revision: u64, group: &str| {
        json!({ "kind": "entry", "name": name, "revision": revision, "value":
            { "name": name, "path": format!("/{name}/"), "methods": ["POST"], "group": group, "rank": 3, "kind": "keyed", "aim_ms": 200 } })
    };
    let put = |items: serde_json::Value| {
        system.request_as_operator("PATCH", "items", &items.to_string(), None)
    };
    let serves = |name: &str| {
        (0..3)
            .map(|edge| system.call(edge, "POST", &format!("/{name}/1"), &[], "").0)
            .collect::<Vec<_>>()
    };
    // Status 400 shows that the entry is known and requires an operation key.
    assert_eq!(put(json!([entry("part", 5, "booking")])).0, 200);
    assert_eq!(serves("part"), [400; 3]);
    let (status, rejection_body) = put(
        json!([entry("other", 9, "booking"), entry("part", 9, "nobody"), { "kind": "entry" }, {}]),
    );
    assert_eq!(
        (status, rejection_body["findings"].as_array().map(Vec::len)),
        (422, Some(2)),
        "{rejection_body}"
    );
    let (status, rejection_body) = put(json!([
        entry("other", 9, "booking"),
        entry("part", 9, "nobody")
    ]));
    assert_eq!(
        (status, &rejection_body["findings"][0]["place"]),
        (422, &json!("/1/group"))
    );
    assert_eq!(serves("other"), [404; 3]);
    let (_, response_body) = system.request_as_operator("GET", "items", "", None);
    assert_eq!(response_body["items"], json!([entry("part", 5, "booking")]));
    let removal = system.fleet.folder.join("gone.json");
    fs::write(
        &removal,
        json!([{ "kind": "entry", "name": "part", "revision": 8, "value": null }]).to_string(),
    )
    .unwrap();
    assert_eq!(
        operate(system, &["items", "put", &removal.display().to_string()]).2,
        0
    );
    assert_eq!(
        put(json!([entry("part", 7, "booking")])).0,
        200,
        "older than the removal"
    );
    assert_eq!(serves("part"), [404; 3]);
    let shown: serde_json::Value =
        serde_json::from_str(&operate(system, &["items", "get"]).0).unwrap();
    assert_eq!(shown["items"], json!([]));
}

/// Runs `operate`. Returns its standard output, standard error and exit code.
fn operate(system: &TestSystem, arguments: &[&str]) -> (String, String, i32) {
    let to: Vec<String> = system
        .fleet
        .control
        .iter()
        .map(|node| node.http.to_string())
        .collect();
    let output = Command::new(env!("CARGO_BIN_EXE_operate"))
        .arg("--to")
        .arg(to.join(","))
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        text(output.stdout),
        text(output.stderr),
        output.status.code().unwrap(),
    )
}

fn check_command_line_and_history(system: &TestSystem) {
    let before = operate(system, &["get"]).0;
    let versions = |system: &TestSystem| -> Vec<u64> {
        operate(system, &["history"])
            .0
            .lines()
            .map(|line| line.parse().unwrap())
            .collect()
    };
    // The history is written shortly after the acknowledgement, which does not wait for it.
    let is_in_history = |version: u64| {
        operate(system, &["show", &version.to_string()])
            .0
            .trim_end()
            == before.trim_end()
    };
    assert!(Fleet::wait_until(MAX_WAIT, &mut || versions(system).len()
        >= 2
        && is_in_history(*versions(system).last().unwrap())));
    let (first, latest) = (versions(system)[0], *versions(system).last().unwrap());
    let (stdout, _, _) = operate(
        system,
        &["compare", &first.to_string(), &latest.to_string()],
    );
    assert!(
        stdout.contains("+") && stdout.contains("marker"),
        "{stdout}"
    );
    let (_, stderr, code) = operate(system, &["put-back", &first.to_string(), "--if-match", "1"]);
    assert_eq!(code, 1, "version conflict: {stderr}");
    assert_eq!(
        operate(
            system,
            &[
                "put-back",
                &first.to_string(),
                "--if-match",
                &latest.to_string()
            ]
        )
        .2,
        0
    );
    assert_eq!(
        operate(system, &["get"]).0.trim_end(),
        operate(system, &["show", &first.to_string()]).0.trim_end()
    );
    // A corrupt history store does not block changes.
    for slot in 0..3 {
        let store = system.fleet.folder.join(format!("data-{slot}/history"));
        // The history writer thread may still be writing there.
        let is_corrupted = Fleet::wait_until(MAX_WAIT, &mut || {
            let _ = fs::remove_dir_all(&store);
            fs::write(&store, "broken").is_ok()
        });
        assert!(is_corrupted, "{}", store.display());
    }
    let document = system.fleet.folder.join("again.json");
    fs::write(&document, &before).unwrap();
    assert_eq!(
        operate(system, &["put", &document.display().to_string()]).2,
        0
    );
    assert_eq!(operate(system, &["history"]).2, 1);
    assert_eq!(operate(system, &["show", "1"]).2, 1);
    // All findings about the options are reported together.
    let (_, stderr, code) = operate(
        system,
        &["--if-match", "x", "put", "/nowhere/at/all", "--odd"],
    );
    assert_eq!((code, stderr.lines().count()), (2, 4), "{stderr}");
    assert_eq!(operate(system, &["check", "/nowhere/at/all"]).2, 2);
}

fn check_loss_of_a_control_node_and_an_edge(system: &mut TestSystem) {
    system.fleet.control[0].kill();
    let deployment = Deployment::find("small").unwrap();
    let (status, response_body) =
        system.request_as_operator("PUT", "configuration", &deployment.document(&[1, 7]), None);
    assert_eq!(status, 200, "{response_body}");
    system.call_until_served(
        1,
        "POST",
        "/reservation/9",
        &[("Operation-Key", "k-9")],
        "z",
    );
    let (status, _, _) = system.call(
        2,
        "POST",
        "/reservation/1",
        &[("Operation-Key", "k-1"), ("Authorization", "me")],
        "two nights",
    );
    assert_eq!(
        (
            status,
            system.executions_of("k-1"),
            system.executions_of("k-9")
        ),
        (200, 1, 1)
    );
    // After its restart on the same disk, the control node catches up.
    let folder = system.fleet.folder.clone();
    Fleet::start(&folder, &mut system.fleet.control[0]).unwrap();
    let node = &system.fleet.control[0];
    assert!(Fleet::wait_until(MAX_WAIT, &mut || node.is_ready()));
    // An edge that receives SIGTERM drains and ends; the others take over its assignments.
    system.fleet.edges[0].signal("-TERM");
    assert!(system.fleet.edges[0].ended(MAX_WAIT));
    let stopped_edge = system.fleet.edges[0].command_line[2].clone();
    let is_reassigned = Fleet::wait_until(MAX_WAIT, &mut || {
        let (_, response_body) = system.request_as_operator("GET", "duties", "", None);
        response_body["duties"].as_array().is_some_and(|list| {
            list.iter().all(|assignment| {
                assignment["holder"]
                    .as_str()
                    .is_some_and(|holder| holder != stopped_edge)
            })
        })
    });
    assert!(is_reassigned);
    system.call_until_served(1, "GET", "/listing/1", &[], "");
}
