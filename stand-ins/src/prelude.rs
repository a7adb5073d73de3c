//! Common imports of this crate.
pub use crate::caller::{CallerPlan, Traffic};
pub use crate::checker::{Checker, RULE_COUNT, Verdict};
pub use crate::deployment::Deployment;
pub use crate::flags::{Flags, request_without_proxy};
pub use crate::fleet::{Fleet, Node};
pub use crate::history::{
    DocumentOperation, HistoryResult, ItemRecord, OperatorRecord, RevisedOperation, check_document,
    check_items, check_key, document_digest,
};
pub use crate::origin::StandInOrigin;
pub use crate::random::SeededRandom;
pub use crate::record::*;
pub use crate::schema_check::SchemaCheck;
pub use anyhow::{Context, Result, anyhow, bail};
pub use data_plane::ResponseSignature;
pub use ed25519_dalek::SigningKey;
pub use kernel::prelude::*;
pub use serde_json::json;
pub use std::fs::{self, File, OpenOptions};
pub use std::process::{Child, Command, Stdio};
pub use std::time::{SystemTime, UNIX_EPOCH};
