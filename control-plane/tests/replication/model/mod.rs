//! A model of replication for exhaustive, bounded search: the production state machines, a network that delivers
//! messages in any order or never, crashes, wiped disks, and invariants that are checked in every state.
pub mod cluster;
pub mod fingerprint;
pub mod node;
pub mod safeguard;
pub mod search;
