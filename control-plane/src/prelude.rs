//! All types of this crate and of `kernel`, for this crate and its tests.

pub use crate::assignment_plan::AssignmentPlan;
pub use crate::bootstrap::Bootstrap;
pub use crate::control_node::ControlNode;
pub use crate::history::{History, HistoryError};
pub use crate::ledger::Ledger;
pub use crate::partition_leader::{EdgeRegistry, PREPARE_REPLY_GRACE, PartitionLeader};
pub use crate::replica::{
    MAX_RETIRED_INCARNATIONS, Record, ReplayError, Replica, ReplicaPartition, UnpublishedRows,
};
pub use crate::replica_recovery::{RecoveredState, ReplicaRecovery};
pub use crate::sessions::{SessionStatus, Sessions};
pub use crate::succession_version::{last_succession, next_succession};
pub use crate::update_replies::UpdateReplies;
pub use kernel::prelude::*;
pub use serde_json::value::RawValue;
