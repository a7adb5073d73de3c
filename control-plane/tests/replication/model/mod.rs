//! A model of replication for exhaustive, bounded search: the product's own
//! state machines, a network that delivers in any order or never, crashes,
//! wiped disks, and invariants judged in every state.
pub mod cluster;
pub mod fingerprint;
pub mod node;
pub mod safeguard;
pub mod search;
