//! The scripts of `--faults`: what happens when.
use crate::Run;
use stand_ins::prelude::*;

impl Run {
    /// Changes, purges and single faults, one after the other.
    pub(crate) fn script(&mut self) -> Result<()> {
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
        self.fleet.put_origins(std::slice::from_ref(&leaving))?;
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
    pub(crate) fn power_cut(&mut self) -> Result<()> {
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

    pub(crate) fn disks(&mut self) -> Result<()> {
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

    /// Every machine in turn; nothing else happens, so nothing may be dropped.
    pub(crate) fn turn(&mut self) -> Result<()> {
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

    pub(crate) fn core(&mut self) -> Result<()> {
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
}
