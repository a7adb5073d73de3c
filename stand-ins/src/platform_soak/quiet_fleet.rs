//! A fleet of `platform-node` processes without traffic, changes or faults of its own,
//! for tests that bring their own clients.
use super::machines::ProcessRole;
use super::{FleetShape, PlatformSoak, PlatformSoakPlan, Scenario};
use crate::prelude::*;

/// A running fleet whose edges are ready. It ends when this is dropped.
pub struct QuietFleet {
    soak: PlatformSoak,
}

impl QuietFleet {
    /// Starts the processes with settings and data below `folder`, and waits until all
    /// edges are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or is not ready in time.
    pub fn start(shape: FleetShape, program: PathBuf, folder: PathBuf) -> Result<QuietFleet> {
        let plan = PlatformSoakPlan {
            seed: 0,
            scenario: Scenario::Quiet,
            shape,
            span: Duration::ZERO,
            program,
            folder,
        };
        let soak = PlatformSoak::start_fleet(plan)?;
        Ok(QuietFleet { soak })
    }

    /// Address for the clients of a machine.
    pub fn frontend(&self, machine: usize) -> SocketAddr {
        self.soak.machines.frontend(machine)
    }

    /// Address for the platform's readiness checks of a machine.
    pub fn readiness(&self, machine: usize) -> SocketAddr {
        self.soak.machines.readiness(machine)
    }

    /// Address for the operators of a control machine.
    pub fn control_plane(&self, machine: usize) -> SocketAddr {
        self.soak.machines.control_plane(machine)
    }

    /// Returns the id of a process, if it has not ended.
    pub fn process_id(&self, machine: usize, role: ProcessRole) -> Option<u32> {
        self.soak.machines.process_id(machine, role)
    }
}

impl Drop for QuietFleet {
    fn drop(&mut self) {
        self.soak.stop.store(true, Ordering::Release);
        self.soak.machines.kill_all();
        let _ = fs::remove_dir_all(&self.soak.plan.folder);
    }
}
