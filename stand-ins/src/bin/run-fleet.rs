//! Runs a fleet of processes with traffic and faults, and judges it.
use stand_ins::prelude::*;

const HELP: &str = "starts a fleet on loopback, plays its traffic and its faults, and judges

--deployment mombasa|trasa|small   (default small)
--seconds N     of traffic (default 60; the whole script needs 60)
--folder DIR    for data, logs and records; must not exist
--faults none|script|power|disks|turn|core   (default script)
                script: changes, races, purges, single kills and restarts
                power: all nodes killed at once and started again
                disks: nodes frozen, one disk removed, then all three
                turn: every machine drained and started again, one by one
                core: the core frozen in part and whole, an address handed to
                another service, a lost slot taken by an empty node elsewhere
--seed N        of the traffic (default 1)
--keep-up 1     leaves the fleet running until a line is read

Prints a verdict for each of the brief's twelve nevers. Exit code 1 if one is broken.";

fn main() -> Result<()> {
    let mut flags = Flags::gather("run-fleet", HELP);
    let name = flags
        .take("--deployment", Some("small".to_string()))
        .unwrap_or_default();
    let seconds = flags.take("--seconds", Some(60u64)).unwrap_or(60);
    let folder = flags.take::<String>("--folder", None).map(PathBuf::from);
    let faults = flags
        .take("--faults", Some("script".to_string()))
        .unwrap_or_default();
    let seed = flags.take("--seed", Some(1u64)).unwrap_or(1);
    let keep_up = flags.take("--keep-up", Some(0u8)).unwrap_or(0);
    let deployment = Deployment::find(&name);
    if deployment.is_none() {
        flags.found("--deployment", "no such deployment");
    }
    if !["none", "script", "power", "disks", "turn", "core"].contains(&faults.as_str()) {
        flags.found("--faults", "no such faults");
    }
    if folder.as_ref().is_some_and(|folder| folder.exists()) {
        flags.found("--folder", "exists already");
    }
    flags.finish();
    let (deployment, folder) = (deployment.context("deployment")?, folder.context("folder")?);

    let fleet = Fleet::plan(&deployment, &folder)?;
    let mut run = Run {
        fleet,
        deployment,
        markers: vec![1],
        acknowledged: None,
        began: Instant::now(),
    };
    run.bring_up()?;
    if keep_up > 0 {
        let show = |nodes: &[Node]| {
            nodes
                .iter()
                .map(|node| node.http.to_string())
                .collect::<Vec<_>>()
                .join(",")
        };
        println!(
            "control {}\nedges {}\npress enter to end",
            show(&run.fleet.control),
            show(&run.fleet.edges)
        );
        let _ = std::io::stdin().read_line(&mut String::new());
        return Ok(());
    }
    let mut callers = run.start_callers(seconds, seed)?;
    run.began = Instant::now();
    let watcher = run.watch_markers();
    match faults.as_str() {
        "script" => run.script()?,
        "power" => run.power_cut()?,
        "disks" => run.disks()?,
        "turn" => run.turn()?,
        "core" => run.core()?,
        _ => {}
    }
    let _ = callers.wait();
    watcher.1.store(true, Ordering::Release);
    let _ = watcher.0.join();
    run.fleet.stop_all();
    std::process::exit(run.report()?);
}

struct Run {
    fleet: Fleet,
    deployment: Deployment,
    markers: Vec<u64>,
    acknowledged: Option<(u64, String)>,
    began: Instant,
}

impl Run {
    fn bring_up(&mut self) -> Result<()> {
        self.fleet.start_all()?;
        let control = &self.fleet.control;
        if !Fleet::wait(Duration::from_secs(20), &mut || {
            control.iter().all(Node::ready)
        }) {
            bail!("control nodes are not ready after 20 s");
        }
        self.put_origins(&[])?;
        self.configure(None)?;
        self.fleet.open_ledger()?;
        let edges = &self.fleet.edges;
        if !Fleet::wait(Duration::from_secs(20), &mut || {
            edges.iter().all(Node::ready)
        }) {
            bail!("edges are not ready after 20 s");
        }
        // Assignments are granted and origins proven within a moment.
        thread::sleep(Duration::from_secs(2));
        println!(
            "up: {} control nodes, {} edges, {} origins",
            self.fleet.control.len(),
            self.fleet.edges.len(),
            self.fleet.origins.len()
        );
        Ok(())
    }

    fn start_callers(&self, seconds: u64, seed: u64) -> Result<Child> {
        let edges = self
            .fleet
            .edges
            .iter()
            .map(|node| (node.http, node.zone.clone()))
            .collect();
        let plan = CallerPlan {
            edges,
            rate: self.deployment.rate,
            seconds,
            seed,
            mix: self.deployment.mix.clone(),
        };
        let path = self.fleet.folder.join("callers.json");
        fs::write(&path, serde_json::to_string(&plan)?)?;
        let program = std::env::current_exe()?.with_file_name("stand-in-caller");
        let record = self.fleet.folder.join("callers.jsonl");
        Ok(Command::new(program)
            .arg("--plan")
            .arg(path)
            .arg("--record")
            .arg(record)
            .spawn()?)
    }

    fn put_origins(&self, leaving: &[String]) -> Result<()> {
        let (status, body) =
            self.fleet
                .operate("PUT", "origins", &self.fleet.origins_text(leaving), None)?;
        if status != 200 {
            bail!("origins: {status} {body}");
        }
        Ok(())
    }

    /// Puts the document with all markers; notes the acknowledgement.
    fn configure(&mut self, expect: Option<u64>) -> Result<u16> {
        self.fleet.note("fault", "configure", 0, true);
        let text = self.deployment.document(&self.markers);
        let marker = *self.markers.last().context("marker")?;
        let before = Instant::now();
        let (status, body) = self.fleet.operate("PUT", "configuration", &text, expect)?;
        if status == 200 {
            let version = body["version"].as_u64().unwrap_or(0);
            self.acknowledged = Some((version, text));
            self.fleet.note("configured", "", marker, true);
            self.fleet.note("acknowledged", "", version, true);
            println!(
                "{:6.1} s  configuration with marker {marker} in force after {} ms",
                self.at(),
                before.elapsed().as_millis()
            );
        }
        Ok(status)
    }

    fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn until(&self, second: u64) {
        thread::sleep(Duration::from_secs(second).saturating_sub(self.began.elapsed()));
    }

    /// Looks at every edge for the markers that were acknowledged.
    fn watch_markers(&self) -> (thread::JoinHandle<()>, Arc<AtomicBool>) {
        let stop = Arc::new(AtomicBool::new(false));
        let edges: Vec<SocketAddr> = self.fleet.edges.iter().map(|node| node.http).collect();
        let folder = self.fleet.folder.clone();
        let done = stop.clone();
        let watch = move || {
            let Ok(record) = Recorder::open(&folder.join("fleet.jsonl")) else {
                return;
            };
            while !done.load(Ordering::Acquire) {
                let known =
                    read_records::<FleetRecord>(&folder.join("fleet.jsonl")).unwrap_or_default();
                let markers: Vec<u64> = known
                    .iter()
                    .filter(|one| one.what == "configured")
                    .map(|one| one.number)
                    .collect();
                for edge in &edges {
                    let at = wall();
                    for (marker, invalid) in
                        [(markers.last().copied().unwrap_or(1), false), (999, true)]
                    {
                        // A keyed entry without a key answers 400; none answers 404.
                        let url = format!("http://{edge}/marker/{marker}");
                        let Ok(answer) = direct("POST", &url)
                            .timeout(Duration::from_millis(500))
                            .send()
                        else {
                            continue;
                        };
                        let status = answer.status().as_u16();
                        let found = status == 400;
                        if invalid && found {
                            record.put(&FleetRecord {
                                at,
                                what: "invalid-marker".into(),
                                subject: edge.to_string(),
                                number: marker,
                                good: false,
                            });
                        } else if !invalid && (found || status == 404) {
                            record.put(&FleetRecord {
                                at,
                                what: "marker".into(),
                                subject: edge.to_string(),
                                number: marker,
                                good: found,
                            });
                        }
                    }
                }
                thread::sleep(Duration::from_millis(200));
            }
        };
        (thread::spawn(watch), stop)
    }

    fn replace_content(&self, version: u64) -> Result<()> {
        let path = self.fleet.folder.join("content-version");
        fs::write(path.with_extension("draft"), version.to_string())?;
        fs::rename(path.with_extension("draft"), path)?;
        self.fleet.note("fault", "content", 0, true);
        self.fleet.note("content", "", version, true);
        Ok(())
    }

    fn purge(&self, prefix: &str, version: u64) -> Result<()> {
        self.fleet.note("fault", "purge", 0, true);
        let before = Instant::now();
        let (status, body) = self.fleet.operate(
            "POST",
            "purges",
            &json!({ "prefix": prefix }).to_string(),
            None,
        )?;
        self.fleet.note("purged", prefix, version, status == 200);
        println!(
            "{:6.1} s  purge of {prefix}: {status} after {} ms {}",
            self.at(),
            before.elapsed().as_millis(),
            body["code"]
        );
        Ok(())
    }

    fn read_back(&self) -> Result<()> {
        let Some((version, text)) = &self.acknowledged else {
            return Ok(());
        };
        let (status, body) = self.fleet.operate("GET", "configuration", "", None)?;
        let same = status == 200
            && Some(&body)
                == serde_json::from_str::<serde_json::Value>(text)
                    .ok()
                    .as_ref();
        self.fleet.note("read-back", "", *version, same);
        Ok(())
    }

    fn kill(&mut self, control: bool, at: usize) {
        let node = if control {
            &mut self.fleet.control[at]
        } else {
            &mut self.fleet.edges[at]
        };
        let subject = node.http.to_string();
        node.kill();
        println!(
            "{:6.1} s  killed {}",
            self.began.elapsed().as_secs_f64(),
            node.name
        );
        self.fleet.note("killed", &subject, 0, true);
        self.fleet.note(
            "fault",
            if control { "kill control" } else { "kill edge" },
            0,
            false,
        );
    }

    fn bring_back(&mut self, control: bool, at: usize) -> Result<()> {
        let folder = self.fleet.folder.clone();
        let node = if control {
            &mut self.fleet.control[at]
        } else {
            &mut self.fleet.edges[at]
        };
        Fleet::start(&folder, node)?;
        let before = Instant::now();
        let ready = Fleet::wait(Duration::from_secs(15), &mut || node.ready());
        let (name, subject) = (node.name.clone(), node.http.to_string());
        self.fleet.note("ready-again", &subject, 0, ready);
        println!(
            "{:6.1} s  {name} ready again ({ready}) after {} ms",
            self.at(),
            before.elapsed().as_millis()
        );
        Ok(())
    }

    /// Changes, purges and single faults, one after the other.
    fn script(&mut self) -> Result<()> {
        let path = self.deployment.mix[0].path.clone();
        self.until(4);
        self.markers.push(2);
        self.configure(None)?;
        self.read_back()?;
        self.until(7);
        self.race()?;
        self.read_back()?;
        self.until(9);
        self.invalid()?;
        self.read_back()?;
        self.until(11);
        self.replace_content(2)?;
        self.purge(&path, 2)?;
        self.until(15);
        self.kill(false, 1);
        self.until(19);
        self.bring_back(false, 1)?;
        self.until(23);
        let leaving = self
            .fleet
            .origins
            .iter()
            .rev()
            .nth(1)
            .context("origin")?
            .name
            .trim_start_matches("origin-")
            .to_string();
        // Learned when the call is read, not when it is answered.
        self.fleet.note("fault", "origin-leave", 0, true);
        self.fleet.note("leaving", &leaving, 0, true);
        self.put_origins(std::slice::from_ref(&leaving))?;
        println!("{:6.1} s  origin {leaving} is leaving", self.at());
        self.until(26);
        self.replace_content(3)?;
        self.until(29);
        self.restart_planned(false, 2)?;
        self.until(36);
        self.kill(true, 0);
        self.until(38);
        self.replace_content(4)?;
        self.purge("/", 4)?;
        self.markers.push(7);
        self.configure(None)?;
        self.until(42);
        self.bring_back(true, 0)?;
        self.until(45);
        self.fault("slow");
        self.until(50);
        // Extra tries, unknown outcomes, and refusals before sending.
        self.fault("unsigned");
        self.until(52);
        self.fault("");
        // One origin alone: what may be tried again goes to the others.
        for _ in 0..6 {
            self.fault_at(0, 1, "unsigned");
            thread::sleep(Duration::from_millis(600));
            self.fault_at(0, 1, "");
            thread::sleep(Duration::from_millis(300));
        }
        self.read_back()?;
        Ok(())
    }

    /// All processes of ours are killed at once and come back.
    fn power_cut(&mut self) -> Result<()> {
        self.until(10);
        for at in 0..self.fleet.control.len() {
            self.kill(true, at);
        }
        for at in 0..self.fleet.edges.len() {
            self.kill(false, at);
        }
        self.until(14);
        let folder = self.fleet.folder.clone();
        for node in self.fleet.control.iter_mut().chain(&mut self.fleet.edges) {
            Fleet::start(&folder, node)?;
        }
        self.fleet.note("returned", "all", 0, true);
        let edges = &self.fleet.edges;
        let before = Instant::now();
        let ready = Fleet::wait(Duration::from_secs(15), &mut || {
            edges.iter().all(Node::ready)
        });
        println!(
            "{:6.1} s  all ready again ({ready}) after {} ms",
            self.at(),
            before.elapsed().as_millis()
        );
        self.fleet.note("ready-again", "all edges", 0, ready);
        self.read_back()
    }

    /// Kills control nodes, removes their disks and starts them again.
    fn remove_disks(&mut self, slots: &[usize]) -> Result<()> {
        for slot in slots {
            self.kill(true, *slot);
            fs::remove_dir_all(self.fleet.folder.join(format!("data-{slot}")))?;
        }
        let folder = self.fleet.folder.clone();
        for slot in slots {
            Fleet::start(&folder, &mut self.fleet.control[*slot])?;
        }
        let nodes = &self.fleet.control;
        let before = Instant::now();
        let ready = Fleet::wait(Duration::from_secs(15), &mut || {
            nodes.iter().all(Node::ready)
        });
        println!(
            "{:6.1} s  disks of {slots:?} removed; control ready again ({ready}) after {} ms",
            self.at(),
            before.elapsed().as_millis()
        );
        self.fleet.note("returned", "control", 0, true);
        self.fleet.note("ready-again", "control", 0, ready);
        Ok(())
    }

    fn freeze(&mut self, control: bool, at: usize, span: Duration) {
        let node = if control {
            &self.fleet.control[at]
        } else {
            &self.fleet.edges[at]
        };
        println!("{:6.1} s  {} frozen for {span:?}", self.at(), node.name);
        // Its callers may give up on it meanwhile; that is no planned change.
        self.fleet.note(
            "fault",
            if control {
                "freeze control"
            } else {
                "freeze edge"
            },
            0,
            false,
        );
        self.fleet.note("killed", &node.http.to_string(), 1, true);
        node.signal("-STOP");
        thread::sleep(span);
        node.signal("-CONT");
        println!("{:6.1} s  {} goes on", self.at(), node.name);
    }

    fn disks(&mut self) -> Result<()> {
        self.until(5);
        self.remove_disks(&[1])?;
        self.read_back()?;
        self.until(10);
        self.freeze(true, 2, Duration::from_secs(3));
        self.until(15);
        self.replace_content(2)?;
        self.freeze(false, 0, Duration::from_secs(3));
        self.purge("/", 2)?;
        self.until(20);
        self.markers.push(2);
        self.configure(None)?;
        self.until(24);
        self.remove_disks(&[0, 1, 2])?;
        self.until(32);
        self.read_back()?;
        self.markers.push(3);
        self.configure(None)?;
        self.read_back()
    }

    fn restart_planned(&mut self, control: bool, at: usize) -> Result<()> {
        self.fleet.note(
            "fault",
            if control {
                "restart control"
            } else {
                "restart edge"
            },
            0,
            true,
        );
        let node = if control {
            &mut self.fleet.control[at]
        } else {
            &mut self.fleet.edges[at]
        };
        node.signal("-TERM");
        let before = Instant::now();
        let ended = node.ended(Duration::from_secs(20));
        let name = node.name.clone();
        println!(
            "{:6.1} s  {name} drained and ended ({ended}) after {} ms",
            self.at(),
            before.elapsed().as_millis()
        );
        self.fleet.note("restarted", &name, 0, ended);
        self.bring_back(control, at)
    }

    /// Every machine in turn; nothing else happens, so nothing may be dropped.
    fn turn(&mut self) -> Result<()> {
        self.until(3);
        for at in 0..self.fleet.control.len() {
            self.restart_planned(true, at)?;
            thread::sleep(Duration::from_millis(1500));
        }
        for at in 0..self.fleet.edges.len() {
            self.restart_planned(false, at)?;
            thread::sleep(Duration::from_millis(300));
        }
        self.markers.push(2);
        self.configure(None)?;
        self.read_back()
    }

    /// Freezes control nodes together, for a span.
    fn freeze_core(&mut self, slots: &[usize], span: Duration) {
        println!(
            "{:6.1} s  control nodes {slots:?} frozen for {span:?}",
            self.at()
        );
        self.fleet.note("fault", "freeze core", 0, false);
        for signal in ["-STOP", "-CONT"] {
            slots
                .iter()
                .for_each(|slot| self.fleet.control[*slot].signal(signal));
            if signal == "-STOP" {
                thread::sleep(span);
            }
        }
        self.fleet.note("fault", "core goes on", 0, false);
        self.fleet.note("returned", "core", 0, true);
    }

    fn core(&mut self) -> Result<()> {
        self.until(5);
        self.freeze_core(&[0], Duration::from_secs(3));
        self.until(10);
        self.freeze_core(&[1, 2], Duration::from_secs(4));
        self.until(20);
        self.freeze_core(&[0, 1, 2], Duration::from_secs(4));
        self.markers.push(2);
        self.configure(None)?;
        self.until(30);
        // The last origin ends; another service's process takes its address.
        let listed = self.fleet.origins.len() - 2;
        self.fleet.note("fault", "address handed on", 0, false);
        self.fleet.origins[listed].kill();
        let mut other = Fleet::origin(
            &self.fleet.folder,
            "other",
            "other-0",
            self.fleet.origins[listed].http,
        );
        Fleet::start(&self.fleet.folder, &mut other)?;
        println!(
            "{:6.1} s  {} ended, another service listens there",
            self.at(),
            self.fleet.origins[listed].name
        );
        self.until(34);
        let mut standby = self.fleet.standby()?;
        Fleet::start(&self.fleet.folder, &mut standby)?;
        self.kill(true, 1);
        let before = Instant::now();
        let taken = Fleet::wait(Duration::from_secs(15), &mut || standby.ready());
        println!(
            "{:6.1} s  an empty node elsewhere took the slot ({taken}) after {} ms",
            self.at(),
            before.elapsed().as_millis()
        );
        self.fleet.note("ready-again", "standby", 0, taken);
        self.kill(true, 0);
        self.replace_content(2)?;
        self.purge("/", 2)?;
        self.markers.push(3);
        self.configure(None)?;
        self.read_back()?;
        self.until(48);
        Ok(())
    }

    /// Two operators change the same version: one must win.
    fn race(&mut self) -> Result<()> {
        let version = self.acknowledged.as_ref().map(|(version, _)| *version);
        let documents: Vec<String> = [3u64, 4]
            .iter()
            .map(|marker| {
                let markers: Vec<u64> = self.markers.iter().copied().chain([*marker]).collect();
                self.deployment.document(&markers)
            })
            .collect();
        let fleet = &self.fleet;
        let told: Vec<_> = thread::scope(|scope| {
            let racers: Vec<_> = documents
                .iter()
                .zip(&fleet.control)
                .map(|(text, node)| {
                    scope.spawn(move || fleet.call_document(node.http, "PUT", text, version))
                })
                .collect();
            racers
                .into_iter()
                .filter_map(|racer| racer.join().ok()?.ok())
                .collect()
        });
        let statuses: Vec<u16> = told.iter().map(|(status, _)| *status).collect();
        println!("{:6.1} s  two racing changes: {statuses:?}", self.at());
        let one_won = statuses.iter().filter(|status| **status == 200).count() == 1
            && statuses.contains(&409);
        self.fleet
            .note("read-back", "race: one wins, one gets 409", 0, one_won);
        for (at, (status, body)) in told.iter().enumerate() {
            if *status == 200 {
                self.markers.push(3 + at as u64);
                self.acknowledged =
                    Some((body["version"].as_u64().unwrap_or(0), documents[at].clone()));
                self.fleet.note("configured", "", 3 + at as u64, true);
            }
        }
        Ok(())
    }

    fn invalid(&mut self) -> Result<()> {
        let text = self
            .deployment
            .document(&[1, 2, 999])
            .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
        let (status, body) = self.fleet.operate("PUT", "configuration", &text, None)?;
        let found = body["findings"].as_array().map_or(0, Vec::len);
        println!(
            "{:6.1} s  invalid configuration: {status} with {found} findings",
            self.at()
        );
        self.fleet
            .note("invalid-refused", "", 999, status == 422 && found == 3);
        Ok(())
    }

    /// Sets a fault at all origins of the second service.
    fn fault(&self, name: &str) {
        let service = self.deployment.services[1].name;
        self.fault_at(1, usize::MAX, name);
        println!(
            "{:6.1} s  origins of {service}: fault \"{name}\"",
            self.at()
        );
    }

    /// The same at the first so many of a service.
    fn fault_at(&self, service: usize, most: usize, name: &str) {
        let service = self.deployment.services[service].name;
        self.fleet.note(
            "fault",
            &format!("origin {}", if name.is_empty() { "good" } else { name }),
            0,
            false,
        );
        for node in self
            .fleet
            .origins
            .iter()
            .filter(|node| node.zone == service)
            .take(most)
        {
            let url = format!("http://{}/.stand-in/fault/{name}", node.http);
            let _ = direct("PUT", &url).timeout(Duration::from_secs(2)).send();
        }
    }

    fn report(&self) -> Result<i32> {
        let checker = Checker::read(&self.fleet.folder, &self.deployment)?;
        let cached = checker
            .callers
            .iter()
            .filter(|call| checker.keeps.contains_key(&call.entry))
            .count();
        let fetched = checker
            .origins
            .iter()
            .filter(|call| {
                !call.probe
                    && call.operation.is_none()
                    && call.service == self.deployment.services[0].name
            })
            .count();
        println!(
            "\nerrands {}, origin calls {} (probes {})",
            checker.callers.len(),
            checker.origins.len(),
            checker.origins.iter().filter(|call| call.probe).count()
        );
        println!(
            "origin calls per cached request: {:.3}",
            fetched as f64 / cached.max(1) as f64
        );
        for (rank, (good, all)) in checker.shares() {
            println!(
                "rank {rank}: {good} of {all} served ({:.2} %)",
                100.0 * good as f64 / all as f64
            );
        }
        println!("other answers: {:?}\n", checker.other_answers());
        let mut code = 0;
        for (at, (never, cases)) in checker.cases().into_iter().enumerate() {
            let text = match cases.verdict() {
                Verdict::NotExercised => "not exercised".to_string(),
                Verdict::Held(cases) => format!("held in {cases} cases"),
                Verdict::Broken(cases) => {
                    code = 1;
                    format!(
                        "BROKEN in {} cases: {}",
                        cases.len(),
                        cases.iter().take(3).cloned().collect::<Vec<_>>().join("; ")
                    )
                }
            };
            let worst = cases.worst.map(|(used, text)| {
                format!("; at most {:.0} % of the bound: {text}", used * 100.0)
            });
            println!("{:2}. {never}: {text}{}", at + 1, worst.unwrap_or_default());
        }
        Ok(code)
    }
}
