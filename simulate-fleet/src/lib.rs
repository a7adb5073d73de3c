//! Simulator that runs the real control-plane and data-plane state machines in virtual time
//! under fault injection. The checker for real fleets verifies its records.
#![warn(missing_docs, unreachable_pub)]

pub mod capacity;
pub mod fault;
pub mod figures;
pub mod prelude;
#[cfg(test)]
mod scenarios;
#[cfg(test)]
mod scenarios_item_commands;
#[cfg(test)]
mod scenarios_membership;
pub mod schedule;
mod schedule_core;
pub mod script;
pub mod shrink;
pub mod sim_node;
pub mod sim_origin;
pub mod world;
mod world_clients;
mod world_disks;
mod world_events;
mod world_faults;
mod world_item_commands;
mod world_lost_responses;
mod world_network;
mod world_operators;
mod world_outputs;
mod world_plan;
mod world_setup;
