//! Faults of processes, disks and origins, and the recovery from them.
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
            self.traffic_started_at.elapsed().as_secs_f64(),
            node.name
        );
        self.fleet.record_event("killed", &subject, 0, true);
        self.fleet.record_event(
            "fault",
            if control { "kill control" } else { "kill edge" },
            0,
            false,
        );
    }

    pub(crate) fn restart_and_wait(&mut self, control: bool, at: usize) -> Result<()> {
        let folder = self.fleet.folder.clone();
        let node = if control {
            &mut self.fleet.control[at]
        } else {
            &mut self.fleet.edges[at]
        };
        Fleet::start(&folder, node)?;
        let before = Instant::now();
        let ready = Fleet::wait_until(Duration::from_secs(15), &mut || node.is_ready());
        let (name, subject) = (node.name.clone(), node.http.to_string());
        self.fleet.record_event("ready-again", &subject, 0, ready);
        println!(
            "{:6.1} s  {name} ready again ({ready}) after {} ms",
            self.elapsed_s(),
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
        let ready = Fleet::wait_until(Duration::from_secs(15), &mut || {
            nodes.iter().all(Node::is_ready)
        });
        println!(
            "{:6.1} s  disks of {slots:?} removed; control ready again ({ready}) after {} ms",
            self.elapsed_s(),
            before.elapsed().as_millis()
        );
        self.fleet.record_event("returned", "control", 0, true);
        self.fleet.record_event("ready-again", "control", 0, ready);
        Ok(())
    }

    pub(crate) fn suspend(&mut self, control: bool, at: usize, span: Duration) {
        let node = if control {
            &self.fleet.control[at]
        } else {
            &self.fleet.edges[at]
        };
        println!(
            "{:6.1} s  {} suspended for {span:?}",
            self.elapsed_s(),
            node.name
        );
        // Clients of a suspended node may time out, so this is not a planned change.
        self.fleet.record_event(
            "fault",
            if control {
                "freeze control"
            } else {
                "freeze edge"
            },
            0,
            false,
        );
        self.fleet
            .record_event("killed", &node.http.to_string(), 1, true);
        node.signal("-STOP");
        thread::sleep(span);
        node.signal("-CONT");
        println!("{:6.1} s  {} resumed", self.elapsed_s(), node.name);
    }

    /// Suspends control nodes together for the span.
    pub(crate) fn suspend_control_nodes(&mut self, slots: &[usize], span: Duration) {
        println!(
            "{:6.1} s  control nodes {slots:?} suspended for {span:?}",
            self.elapsed_s()
        );
        self.fleet.record_event("fault", "freeze core", 0, false);
        for signal in ["-STOP", "-CONT"] {
            slots
                .iter()
                .for_each(|slot| self.fleet.control[*slot].signal(signal));
            if signal == "-STOP" {
                thread::sleep(span);
            }
        }
        self.fleet.record_event("fault", "core goes on", 0, false);
        self.fleet.record_event("returned", "core", 0, true);
    }

    pub(crate) fn restart_planned(&mut self, control: bool, at: usize) -> Result<()> {
        self.fleet.record_event(
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
            self.elapsed_s(),
            before.elapsed().as_millis()
        );
        self.fleet.record_event("restarted", &name, 0, ended);
        self.restart_and_wait(control, at)
    }

    /// Sets a fault at all origins of the second service.
    pub(crate) fn set_service_fault(&self, name: &str) {
        let service = self.deployment.services[1].name;
        self.set_origin_fault(1, usize::MAX, name);
        println!(
            "{:6.1} s  origins of {service}: fault \"{name}\"",
            self.elapsed_s()
        );
    }

    /// Sets a fault at the first `max_origins` origins of a service.
    pub(crate) fn set_origin_fault(&self, service: usize, max_origins: usize, name: &str) {
        let service = self.deployment.services[service].name;
        self.fleet.record_event(
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
            .take(max_origins)
        {
            let url = format!("http://{}/.stand-in/fault/{name}", node.http);
            let _ = request_without_proxy("PUT", &url)
                .timeout(Duration::from_secs(2))
                .send();
        }
    }
}
