pub use crate::control_part::ControlPart;
pub use crate::duty_plan::DutyPlan;
pub use crate::history::History;
pub use crate::keeper::Keeper;
pub use crate::ledger::Ledger;
pub use crate::refiller::Refiller;
pub use crate::replica::{Record, Replica};
pub use crate::sessions::Sessions;
pub use kernel::prelude::*;
