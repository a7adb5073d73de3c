//! Faults of processes, disks and origins, and what brings them back.
use crate::Run;
use stand_ins::prelude::*;

impl Run {
    pub(crate) fn kill(&mut self, control: bool, at: usize) {
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

    pub(crate) fn bring_back(&mut self, control: bool, at: usize) -> Result<()> {
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

    /// Kills control nodes, removes their disks and starts them again.
    pub(crate) fn remove_disks(&mut self, slots: &[usize]) -> Result<()> {
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

    pub(crate) fn freeze(&mut self, control: bool, at: usize, span: Duration) {
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

    /// Freezes control nodes together, for a span.
    pub(crate) fn freeze_core(&mut self, slots: &[usize], span: Duration) {
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

    pub(crate) fn restart_planned(&mut self, control: bool, at: usize) -> Result<()> {
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

    /// Sets a fault at all origins of the second service.
    pub(crate) fn fault(&self, name: &str) {
        let service = self.deployment.services[1].name;
        self.fault_at(1, usize::MAX, name);
        println!(
            "{:6.1} s  origins of {service}: fault \"{name}\"",
            self.at()
        );
    }

    /// The same at the first so many of a service.
    pub(crate) fn fault_at(&self, service: usize, most: usize, name: &str) {
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
}
