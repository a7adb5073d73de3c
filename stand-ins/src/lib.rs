//! Test tools for otterslip: stand-in origins and clients, tools that run fleets
//! of processes, and the checker of the safety rules.
#![warn(missing_docs, unreachable_pub)]

pub mod caller;
pub mod checker;
pub mod deployment;
pub mod flags;
pub mod fleet;
pub mod history;
pub mod misbehaving_clients;
pub mod narrow_link;
pub mod origin;
pub mod platform_soak;
pub mod prelude;
pub mod random;
pub mod record;
pub mod schema_check;
pub mod soak;
