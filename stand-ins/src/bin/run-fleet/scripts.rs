//! Scripts of `--faults`: timed changes and faults.
use crate::Run;
use stand_ins::prelude::*;

impl Run {
    /// Runs changes, purges and single faults sequentially.
    pub(crate) fn change_script(&mut self) -> Result<()> {
        let path = self.deployment.mix[0].path.clone();
        self.sleep_until(4);
        self.markers.push(2);
        self.configure(None)?;
        self.read_back()?;
        self.sleep_until(7);
        self.concurrent_changes()?;
        self.read_back()?;
        self.sleep_until(9);
        self.put_invalid_configuration()?;
        self.read_back()?;
        self.sleep_until(11);
        self.replace_content(2)?;
        self.purge(&path, 2)?;
        self.sleep_until(15);
        self.kill(false, 1);
        self.sleep_until(19);
        self.restart_and_wait(false, 1)?;
        self.sleep_until(23);
        let draining = self
            .fleet
            .origins
            .iter()
            .rev()
            .nth(1)
            .context("origin")?
            .name
            .trim_start_matches("origin-")
            .to_string();
        // The allowed time begins when a node reads the request, not when the
        // node responds.
        self.fleet.record_event("fault", "origin-leave", 0, true);
        self.fleet.record_event("leaving", &draining, 0, true);
        self.fleet.put_origins(std::slice::from_ref(&draining))?;
        println!("{:6.1} s  origin {draining} is draining", self.elapsed_s());
        self.sleep_until(26);
        self.replace_content(3)?;
        self.sleep_until(29);
        self.restart_planned(false, 2)?;
        self.sleep_until(36);
        self.kill(true, 0);
        self.sleep_until(38);
        self.replace_content(4)?;
        self.purge("/", 4)?;
        self.markers.push(7);
        self.configure(None)?;
        self.sleep_until(42);
        self.restart_and_wait(true, 0)?;
        self.sleep_until(45);
        self.set_service_fault("slow");
        self.sleep_until(50);
        // Causes retries, unknown outcomes, and rejections before sending.
        self.set_service_fault("unsigned");
        self.sleep_until(52);
        self.set_service_fault("");
        // With one faulty origin, retries go to the others.
        for _ in 0..6 {
            self.set_origin_fault(0, 1, "unsigned");
            thread::sleep(Duration::from_millis(600));
            self.set_origin_fault(0, 1, "");
            thread::sleep(Duration::from_millis(300));
        }
        self.read_back()?;
        Ok(())
    }

    /// Kills all processes at once and restarts them.
    pub(crate) fn simulate_power_loss(&mut self) -> Result<()> {
        self.sleep_until(10);
        for at in 0..self.fleet.control.len() {
            self.kill(true, at);
        }
        for at in 0..self.fleet.edges.len() {
            self.kill(false, at);
        }
        self.sleep_until(14);
        let folder = self.fleet.folder.clone();
        for node in self.fleet.control.iter_mut().chain(&mut self.fleet.edges) {
            Fleet::start(&folder, node)?;
        }
        self.fleet.record_event("returned", "all", 0, true);
        let edges = &self.fleet.edges;
        let before = Instant::now();
        let ready = Fleet::wait_until(Duration::from_secs(15), &mut || {
            edges.iter().all(Node::is_ready)
        });
        println!(
            "{:6.1} s  all ready again ({ready}) after {} ms",
            self.elapsed_s(),
            before.elapsed().as_millis()
        );
        self.fleet
            .record_event("ready-again", "all edges", 0, ready);
        self.read_back()
    }

    pub(crate) fn disk_losses(&mut self) -> Result<()> {
        self.sleep_until(5);
        self.remove_disks(&[1])?;
        self.read_back()?;
        self.sleep_until(10);
        self.suspend(true, 2, Duration::from_secs(3));
        self.sleep_until(15);
        self.replace_content(2)?;
        self.suspend(false, 0, Duration::from_secs(3));
        self.purge("/", 2)?;
        self.sleep_until(20);
        self.markers.push(2);
        self.configure(None)?;
        self.sleep_until(24);
        self.remove_disks(&[0, 1, 2])?;
        self.sleep_until(32);
        self.read_back()?;
        self.markers.push(3);
        self.configure(None)?;
        self.read_back()
    }

    /// Restarts every node in turn; without other faults, no request may be
    /// dropped.
    pub(crate) fn rolling_restart(&mut self) -> Result<()> {
        self.sleep_until(3);
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

    pub(crate) fn control_node_faults(&mut self) -> Result<()> {
        self.sleep_until(5);
        self.suspend_control_nodes(&[0], Duration::from_secs(3));
        self.sleep_until(10);
        self.suspend_control_nodes(&[1, 2], Duration::from_secs(4));
        self.sleep_until(20);
        self.suspend_control_nodes(&[0, 1, 2], Duration::from_secs(4));
        self.markers.push(2);
        self.configure(None)?;
        self.sleep_until(30);
        // The last origin stops, and a process of another service takes its
        // address.
        let listed = self.fleet.origins.len() - 2;
        self.fleet
            .record_event("fault", "address handed on", 0, false);
        self.fleet.origins[listed].kill();
        let mut other = Fleet::origin(
            &self.fleet.folder,
            "other",
            "other-0",
            self.fleet.origins[listed].http,
        );
        Fleet::start(&self.fleet.folder, &mut other)?;
        println!(
            "{:6.1} s  {} stopped; another service listens at its address",
            self.elapsed_s(),
            self.fleet.origins[listed].name
        );
        self.sleep_until(34);
        let mut standby = self.fleet.standby()?;
        Fleet::start(&self.fleet.folder, &mut standby)?;
        self.kill(true, 1);
        let before = Instant::now();
        let was_taken = Fleet::wait_until(Duration::from_secs(15), &mut || standby.is_ready());
        println!(
            "{:6.1} s  an empty node at another address took the slot ({was_taken}) after {} ms",
            self.elapsed_s(),
            before.elapsed().as_millis()
        );
        self.fleet
            .record_event("ready-again", "standby", 0, was_taken);
        self.kill(true, 0);
        self.replace_content(2)?;
        self.purge("/", 2)?;
        self.markers.push(3);
        self.configure(None)?;
        self.read_back()?;
        self.sleep_until(48);
        Ok(())
    }
}
