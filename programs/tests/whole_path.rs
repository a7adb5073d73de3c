//! The whole path in separate processes, on ports the system chose, judged by
//! counts and answers. Waits are polls with a generous end.
use stand_ins::fleet::http_if_match;
use stand_ins::prelude::*;

struct Path {
    fleet: Fleet,
    origins: Vec<Arc<StandInOrigin>>,
    schema: SchemaCheck,
    stop: Arc<AtomicBool>,
    version: u64,
}

const LONG: Duration = Duration::from_secs(60);

impl Path {
    fn bring_up() -> Path {
        // A port may be taken between its choice and its use: then anew.
        for _ in 0..5 {
            if let Some(path) = Path::try_start() {
                return path;
            }
        }
        panic!("no fleet came up in five tries");
    }

    fn try_start() -> Option<Path> {
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
                Deployment::key_of(&node.zone),
            );
            origin.content = Some(folder.join("content-version"));
            let origin = Arc::new(origin);
            origin.serve(stop.clone()).ok()?;
            origins.push(origin);
        }
        fleet.start_nodes().ok()?;
        let mut path = Path {
            fleet,
            origins,
            schema: SchemaCheck::new().ok()?,
            stop,
            version: 0,
        };
        let up = Fleet::wait(LONG, &mut || {
            path.fleet.control.iter().all(Node::ready)
                || !path.fleet.control.iter_mut().all(Node::runs)
        });
        if !up || !path.fleet.control.iter().all(Node::ready) {
            return None;
        }
        assert_eq!(
            path.operate("PUT", "origins", &path.fleet.origins_text(&[]), None)
                .0,
            200
        );
        let (status, body) = path.operate("PUT", "configuration", &deployment.document(&[1]), None);
        assert_eq!(status, 200, "{body}");
        path.version = body["version"].as_u64()?;
        let edges = &mut path.fleet.edges;
        let up = Fleet::wait(LONG, &mut || {
            edges.iter().all(Node::ready) || !edges.iter_mut().all(Node::runs)
        });
        (up && path.fleet.edges.iter().all(Node::ready)).then_some(path)
    }

    /// An operator's call, with request and answer held against the schema.
    fn operate(
        &self,
        method: &str,
        what: &str,
        body: &str,
        expect: Option<u64>,
    ) -> (u16, serde_json::Value) {
        let (status, told) = self.fleet.operate(method, what, body, expect).unwrap();
        self.hold(
            method,
            &format!("/.otterslip/v1/{what}"),
            body,
            status,
            &told,
        );
        (status, told)
    }

    fn hold(&self, method: &str, path: &str, body: &str, status: u16, told: &serde_json::Value) {
        if status == 200 && !body.is_empty() {
            let sent = serde_json::from_str(body).unwrap();
            self.schema.request(method, path, &sent).unwrap();
        }
        self.schema
            .answer(method, path, status, told)
            .unwrap_or_else(|error| panic!("{method} {path} {status}: {error}; {told}"));
    }

    /// A caller's request: status, headers, body.
    fn call(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        heads: &[(&str, &str)],
        body: &str,
    ) -> (u16, BTreeMap<String, String>, serde_json::Value) {
        let url = format!("http://{}{path}", self.fleet.edges[edge].http);
        let mut request = direct(method, &url).timeout(LONG);
        for (name, value) in heads {
            request = request
                .try_header(
                    attohttpc::header::HeaderName::from_bytes(name.as_bytes()).unwrap(),
                    *value,
                )
                .unwrap();
        }
        let answer = request.text(body).send().unwrap();
        let heads = answer
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_string()))
            .collect();
        let status = answer.status().as_u16();
        let told: serde_json::Value =
            serde_json::from_str(&answer.text_utf8().unwrap()).unwrap_or_default();
        if status != 200 {
            self.hold(method, path, "", status, &told);
        }
        (status, heads, told)
    }

    /// The same, again and again until it is served: right after a start or
    /// a fault some refusals are in order.
    fn until_served(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        heads: &[(&str, &str)],
        body: &str,
    ) -> serde_json::Value {
        let mut last = serde_json::Value::Null;
        let good = Fleet::wait(LONG, &mut || {
            let (status, _, told) = self.call(edge, method, path, heads, body);
            last = told;
            status == 200
        });
        assert!(good, "{path} is not served: {last}");
        last
    }

    fn calls(&self) -> u64 {
        self.origins
            .iter()
            .map(|origin| origin.calls.load(Ordering::Relaxed))
            .sum()
    }

    fn runs(&self, key: &str) -> u32 {
        self.origins
            .iter()
            .map(|origin| origin.runs.lock().unwrap().get(key).copied().unwrap_or(0))
            .sum()
    }

    fn fault(&self, service: &str, name: &str) {
        for origin in self
            .origins
            .iter()
            .filter(|origin| origin.service == service)
        {
            *origin.fault.lock().unwrap() = name.into();
        }
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        self.fleet.stop_all();
        self.stop.store(true, Ordering::Release);
        let _ = fs::remove_dir_all(&self.fleet.folder);
    }
}

#[test]
fn whole_path_works_across_processes() {
    let mut path = Path::bring_up();
    check_new_ledger_waits_until_opened(&path);
    check_cached_responses_are_shared(&path);
    check_keyed_requests_run_once(&path);
    check_bad_requests_are_rejected(&path);
    check_bad_responses_are_never_forwarded(&path);
    check_changes_are_atomic(&path);
    check_command_line_and_history(&path);
    lose_a_control_node_and_an_edge(&mut path);
}

fn check_new_ledger_waits_until_opened(path: &Path) {
    let heads = [("Operation-Key", "too-soon"), ("Authorization", "Bearer a")];
    let mut told = serde_json::Value::Null;
    Fleet::wait(LONG, &mut || {
        told = path.call(0, "POST", "/reservation/1", &heads, "").2;
        told["code"] == "ledger_recovering"
    });
    assert_eq!(
        (&told["code"], &told["outcome"]),
        (&json!("ledger_recovering"), &json!("unknown"))
    );
    assert!(
        (1..=75).contains(&told["retry_after_s"].as_u64().unwrap()),
        "{told}"
    );
    let (status, refused) = path.operate(
        "POST",
        "ledger/open",
        r#"{"realm":"0000000000000009"}"#,
        None,
    );
    assert_eq!(
        (status, &refused["findings"][0]["place"]),
        (422, &json!("/realm")),
        "another realm is not this one"
    );
    path.fleet.open_ledger().unwrap();
    assert!(Fleet::wait(LONG, &mut || path
        .operate("GET", "state", "", None)
        .1["ledger"]["closed_s"]
        == 0.0));
}

fn check_cached_responses_are_shared(path: &Path) {
    path.until_served(0, "GET", "/listing/1", &[], "");
    path.until_served(1, "GET", "/listing/1", &[], "");
    let before = path.calls();
    let mut ages = 0;
    for round in 0..60 {
        let (status, heads, told) = path.call(round % 3, "GET", "/listing/1", &[], "");
        assert_eq!((status, told["target"].as_str()), (200, Some("/listing/1")));
        ages += usize::from(heads.contains_key("age"));
    }
    // Probes go on meanwhile; sixty fetches would show all the same.
    assert!(
        path.calls() - before < 30,
        "{} origin calls for 60 fetches of one key",
        path.calls() - before
    );
    assert_eq!(ages, 60);
    // With credentials nothing is shared.
    let own = |name: &str| {
        path.until_served(0, "GET", "/listing/1", &[("Authorization", name)], "")["caller"].clone()
    };
    assert_eq!((own("one"), own("two")), ("one".into(), "two".into()));
    let (_, _, shared) = path.call(1, "GET", "/listing/1", &[], "");
    assert_eq!(shared["caller"], serde_json::Value::Null);
}

fn check_keyed_requests_run_once(path: &Path) {
    let heads = [("Operation-Key", "k-1"), ("Authorization", "me")];
    let first = path.until_served(0, "POST", "/reservation/1", &heads, "two nights");
    assert_eq!(
        (first["operation"].as_str(), first["sent"].as_str()),
        (Some("k-1"), Some("two nights"))
    );
    for edge in 0..3 {
        let (status, _, told) = path.call(edge, "POST", "/reservation/1", &heads, "two nights");
        assert_eq!((status, &told), (200, &first));
    }
    assert_eq!(path.runs("k-1"), 1);
    for (heads, body) in [
        (heads, "three nights"),
        ([heads[0], ("Authorization", "you")], "two nights"),
    ] {
        let (status, _, told) = path.call(1, "POST", "/reservation/1", &heads, body);
        assert_eq!(
            (status, told["code"].as_str(), told["outcome"].as_str()),
            (422, Some("operation_key_reused"), Some("not_run"))
        );
    }
    // The origin runs it and its answer is lost: never again.
    path.fault("booking", "lose-answer");
    let heads = [("Operation-Key", "k-2")];
    let lost = Fleet::wait(LONG, &mut || {
        path.call(2, "POST", "/reservation/2", &heads, "x").2["outcome"] == "unknown"
    });
    assert!(lost && path.runs("k-2") == 1);
    path.fault("booking", "");
    path.until_served(
        0,
        "POST",
        "/reservation/3",
        &[("Operation-Key", "k-3")],
        "y",
    );
    let (status, _, told) = path.call(0, "POST", "/reservation/2", &heads, "x");
    assert_eq!(
        (status, told["code"].as_str(), path.runs("k-2")),
        (409, Some("outcome_unknown"), 1)
    );
}

fn check_bad_requests_are_rejected(path: &Path) {
    let told = |method: &str, url: &str, heads: &[(&str, &str)], body: &str| {
        let (status, _, told) = path.call(0, method, url, heads, body);
        assert_eq!(told["outcome"], "not_run");
        (
            status,
            told["code"].as_str().unwrap_or_default().to_string(),
        )
    };
    let expect = |status, code: &str| (status, code.to_string());
    assert_eq!(told("GET", "/nowhere", &[], ""), expect(404, "no_entry"));
    assert_eq!(
        told("POST", "/reservation/1", &[], "x"),
        expect(400, "operation_key_missing")
    );
    assert_eq!(
        told(
            "POST",
            "/reservation/1",
            &[("Operation-Key", &"k".repeat(129))],
            "x"
        ),
        expect(400, "operation_key_malformed")
    );
    assert_eq!(
        told("POST", "/availability/1", &[], &"x".repeat(1024 * 1024 + 1)),
        expect(413, "body_unreadable")
    );
    let spare = path
        .origins
        .iter()
        .find(|origin| origin.service == "spare")
        .unwrap();
    assert_eq!(
        spare.calls.load(Ordering::Relaxed),
        0,
        "no entry ever allowed it"
    );
    // Strangers at both doors end their own session and nothing else.
    for node in path.fleet.control.iter().chain(&path.fleet.edges) {
        let mesh: SocketAddr = node.words
            [node.words.iter().position(|word| word == "--mesh").unwrap() + 1]
            .parse()
            .unwrap();
        for address in [mesh, node.http] {
            let mut stream = TcpStream::connect(address).unwrap();
            let _ = stream.write_all(&[0xff; 64]);
            let mut stream = TcpStream::connect(address).unwrap();
            let _ = stream.write_all(b"\x00\x00\x00\x04\x00\x00\x00\x00abcdGET");
        }
    }
    path.until_served(0, "GET", "/listing/1", &[], "");
}

fn check_bad_responses_are_never_forwarded(path: &Path) {
    for (at, fault) in ["short", "unsigned", "foreign-key", "other-request"]
        .iter()
        .enumerate()
    {
        path.fault("listings", fault);
        let url = format!("/listing/1{at}");
        for edge in 0..3 {
            let (status, _, told) = path.call(edge, "GET", &url, &[], "");
            assert!(
                [429, 502, 503].contains(&status),
                "{fault}: {status} {told}"
            );
        }
        path.fault("listings", "");
        let served = path.until_served(0, "GET", &url, &[], "");
        assert_eq!(served["target"].as_str(), Some(url.as_str()));
    }
}

fn check_changes_are_atomic(path: &Path) {
    // A purge: what is fetched after its acknowledgement is new.
    path.until_served(0, "GET", "/listing/1", &[], "");
    fs::write(path.fleet.folder.join("content-version"), "2").unwrap();
    assert_eq!(path.operate("POST", "purges", r#"{"prefix":"/listing/","entry":null,"url":null}"#.replace(r#","entry":null,"url":null"#, "").as_str(), None).0, 200);
    for edge in 0..3 {
        assert_eq!(
            path.until_served(edge, "GET", "/listing/1", &[], "")["version"],
            2
        );
    }
    assert_eq!(path.operate("POST", "purges", "{}", None).0, 422);
    // Two racing changes: one wins, the other hears the version in force.
    let deployment = Deployment::find("small").unwrap();
    let documents = [deployment.document(&[1, 2]), deployment.document(&[1, 3])];
    let told: Vec<_> = thread::scope(|scope| {
        let racers: Vec<_> = documents
            .iter()
            .zip(&path.fleet.control)
            .map(|(text, node)| {
                scope.spawn(|| {
                    http_if_match(node.http, "PUT", "configuration", text, Some(path.version))
                        .unwrap()
                })
            })
            .collect();
        racers
            .into_iter()
            .map(|racer| racer.join().unwrap())
            .collect()
    });
    let won = told
        .iter()
        .position(|(status, _)| *status == 200)
        .expect("one wins");
    let (status, lost) = &told[1 - won];
    assert_eq!((*status, &lost["version"]), (409, &told[won].1["version"]));
    // In force everywhere at once; the loser's nowhere. 400: the entry is known.
    for edge in 0..3 {
        let marker = |number: usize| {
            path.call(edge, "POST", &format!("/marker/{number}"), &[], "")
                .0
        };
        assert_eq!((marker(2 + won), marker(3 - won)), (400, 404));
    }
    // An invalid one: all findings, nothing takes effect, and what is read
    // back is byte for byte what was acknowledged.
    let bad = deployment
        .document(&[1, 999])
        .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
    let (status, refused) = path.operate("PUT", "configuration", &bad, None);
    assert_eq!(
        (status, refused["findings"].as_array().map(Vec::len)),
        (422, Some(2))
    );
    assert_eq!(path.call(0, "POST", "/marker/999", &[], "").0, 404);
    for node in &path.fleet.control {
        let url = format!("http://{}/.otterslip/v1/configuration", node.http);
        let answer = direct("GET", &url).send().unwrap();
        assert_eq!(answer.text_utf8().unwrap(), documents[won]);
    }
    // Thousands of entries at once, in force like a small change.
    let many: Vec<u64> = (2000..6000).collect();
    assert_eq!(
        path.operate("PUT", "configuration", &deployment.document(&many), None)
            .0,
        200
    );
    for edge in 0..3 {
        assert_eq!(path.call(edge, "POST", "/marker/5999", &[], "").0, 400);
    }
    assert_eq!(
        path.operate("PUT", "configuration", &documents[won], None)
            .0,
        200
    );
    assert_eq!(path.call(1, "POST", "/marker/5999", &[], "").0, 404);
    check_items_are_set_and_removed(path);
    for what in ["duties", "state", "origins", "live", "ready", "schema"] {
        assert_eq!(path.operate("GET", what, "", None).0, 200);
    }
}

/// Named parts beside the document: in force like it, whole calls only, and
/// what is older than what is known has no effect.
fn check_items_are_set_and_removed(path: &Path) {
    let entry = |name: &str, revision: u64, group: &str| {
        json!({ "kind": "entry", "name": name, "revision": revision, "value":
            { "name": name, "path": format!("/{name}/"), "methods": ["POST"], "group": group, "rank": 3, "kind": "keyed", "aim_ms": 200 } })
    };
    let put = |items: serde_json::Value| path.operate("PATCH", "items", &items.to_string(), None);
    let serves = |name: &str| {
        (0..3)
            .map(|edge| path.call(edge, "POST", &format!("/{name}/1"), &[], "").0)
            .collect::<Vec<_>>()
    };
    // 400: the entry is known and wants a key.
    assert_eq!(put(json!([entry("part", 5, "booking")])).0, 200);
    assert_eq!(serves("part"), [400; 3]);
    let (status, refused) = put(
        json!([entry("other", 9, "booking"), entry("part", 9, "nobody"), { "kind": "entry" }, {}]),
    );
    assert_eq!(
        (status, refused["findings"].as_array().map(Vec::len)),
        (422, Some(2)),
        "{refused}"
    );
    let (status, refused) = put(json!([
        entry("other", 9, "booking"),
        entry("part", 9, "nobody")
    ]));
    assert_eq!(
        (status, &refused["findings"][0]["place"]),
        (422, &json!("/1/group"))
    );
    assert_eq!(serves("other"), [404; 3]);
    let (_, told) = path.operate("GET", "items", "", None);
    assert_eq!(told["items"], json!([entry("part", 5, "booking")]));
    let gone = path.fleet.folder.join("gone.json");
    fs::write(
        &gone,
        json!([{ "kind": "entry", "name": "part", "revision": 8, "value": null }]).to_string(),
    )
    .unwrap();
    assert_eq!(
        operate(path, &["items", "put", &gone.display().to_string()]).2,
        0
    );
    assert_eq!(
        put(json!([entry("part", 7, "booking")])).0,
        200,
        "older than the removal"
    );
    assert_eq!(serves("part"), [404; 3]);
    let shown: serde_json::Value =
        serde_json::from_str(&operate(path, &["items", "get"]).0).unwrap();
    assert_eq!(shown["items"], json!([]));
}

/// What `operate` prints, says on the side, and ends with.
fn operate(path: &Path, words: &[&str]) -> (String, String, i32) {
    let to: Vec<String> = path
        .fleet
        .control
        .iter()
        .map(|node| node.http.to_string())
        .collect();
    let done = Command::new(env!("CARGO_BIN_EXE_operate"))
        .arg("--to")
        .arg(to.join(","))
        .args(words)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        text(done.stdout),
        text(done.stderr),
        done.status.code().unwrap(),
    )
}

fn check_command_line_and_history(path: &Path) {
    let before = operate(path, &["get"]).0;
    let versions = |path: &Path| -> Vec<u64> {
        operate(path, &["history"])
            .0
            .lines()
            .map(|line| line.parse().unwrap())
            .collect()
    };
    // Kept a moment after the acknowledgement, which does not wait for it.
    let kept = |version: u64| {
        operate(path, &["show", &version.to_string()]).0.trim_end() == before.trim_end()
    };
    assert!(Fleet::wait(LONG, &mut || versions(path).len() >= 2
        && kept(*versions(path).last().unwrap())));
    let (first, now) = (versions(path)[0], *versions(path).last().unwrap());
    let (told, _, _) = operate(path, &["compare", &first.to_string(), &now.to_string()]);
    assert!(told.contains("+") && told.contains("marker"), "{told}");
    let (_, said, code) = operate(path, &["put-back", &first.to_string(), "--if-match", "1"]);
    assert_eq!(code, 1, "raced: {said}");
    assert_eq!(
        operate(
            path,
            &[
                "put-back",
                &first.to_string(),
                "--if-match",
                &now.to_string()
            ]
        )
        .2,
        0
    );
    assert_eq!(
        operate(path, &["get"]).0.trim_end(),
        operate(path, &["show", &first.to_string()]).0.trim_end()
    );
    // A broken store blocks nothing.
    for slot in 0..3 {
        let store = path.fleet.folder.join(format!("data-{slot}/history"));
        // The thread that keeps the history may still be writing there.
        let broken = Fleet::wait(LONG, &mut || {
            let _ = fs::remove_dir_all(&store);
            fs::write(&store, "broken").is_ok()
        });
        assert!(broken, "{}", store.display());
    }
    let text = path.fleet.folder.join("again.json");
    fs::write(&text, &before).unwrap();
    assert_eq!(operate(path, &["put", &text.display().to_string()]).2, 0);
    assert_eq!(operate(path, &["history"]).2, 1);
    assert_eq!(operate(path, &["show", "1"]).2, 1);
    // All that is wrong with the options comes at once.
    let (_, said, code) = operate(
        path,
        &["--if-match", "x", "put", "/nowhere/at/all", "--odd"],
    );
    assert_eq!((code, said.lines().count()), (2, 4), "{said}");
    assert_eq!(operate(path, &["check", "/nowhere/at/all"]).2, 2);
}

fn lose_a_control_node_and_an_edge(path: &mut Path) {
    path.fleet.control[0].kill();
    let deployment = Deployment::find("small").unwrap();
    let (status, told) = path.operate("PUT", "configuration", &deployment.document(&[1, 7]), None);
    assert_eq!(status, 200, "{told}");
    path.until_served(
        1,
        "POST",
        "/reservation/9",
        &[("Operation-Key", "k-9")],
        "z",
    );
    let (status, _, _) = path.call(
        2,
        "POST",
        "/reservation/1",
        &[("Operation-Key", "k-1"), ("Authorization", "me")],
        "two nights",
    );
    assert_eq!((status, path.runs("k-1"), path.runs("k-9")), (200, 1, 1));
    // Back with its disk, it has what it missed.
    let folder = path.fleet.folder.clone();
    Fleet::start(&folder, &mut path.fleet.control[0]).unwrap();
    let node = &path.fleet.control[0];
    assert!(Fleet::wait(LONG, &mut || node.ready()));
    // A warned edge drains and ends; the others take its assignments.
    path.fleet.edges[0].signal("-TERM");
    assert!(path.fleet.edges[0].ended(LONG));
    let gone = path.fleet.edges[0].words[2].clone();
    let moved = Fleet::wait(LONG, &mut || {
        let (_, told) = path.operate("GET", "duties", "", None);
        told["duties"].as_array().is_some_and(|list| {
            list.iter().all(|assignment| {
                assignment["holder"]
                    .as_str()
                    .is_some_and(|holder| holder != gone)
            })
        })
    });
    assert!(moved);
    path.until_served(1, "GET", "/listing/1", &[], "");
}
