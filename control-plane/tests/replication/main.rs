//! Model tests of replication: an exhaustive, bounded search, and random sequences with shrinking. See
//! docs/testing.md.
mod exhaustive;
mod model;
mod sequences;
