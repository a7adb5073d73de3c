//! Imports shared by the modules of this crate.
pub use crate::capacity::{
    CAPACITY_CONTROL_NODES, Capacity, EDGE_COUNTS, Measurement, Role, Tally,
};
pub use crate::fault::{Fault, Loss, NodeId, PartitionScope, Trigger};
pub use crate::figures::Figures;
pub use crate::schedule::Schedule;
pub use crate::script::Script;
pub use crate::shrink::Shrink;
pub use crate::sim_node::{Disk, Founding, SimNode};
pub use crate::sim_origin::{OriginBehavior, SimOrigin};
pub(crate) use crate::world::CLIENT_TIMEOUT;
pub use crate::world::{Report, World};
pub(crate) use crate::world_events::{
    OperatorCall, OperatorCommand, PendingOperatorCall, PendingRequest, SimEvent, Task,
};
pub use crate::world_item_commands::{ItemCommand, ItemCommandRecord};
pub use crate::world_plan::{FounderCrash, WorldPlan};
pub use anyhow::{Context, Result, anyhow, bail};
pub use control_plane::{Bootstrap, ControlNode, Record, Replica};
pub use data_plane::prelude::{IncomingRequest, run_filters};
pub use data_plane::{EdgeNode, into_client_request};
pub use stand_ins::deployment::Mix;
pub use stand_ins::prelude::*;
