//! Model tests of replication: an exhaustive, bounded search and drawn
//! sequences with shrinking. See docs/testing.md.
mod exhaustive;
mod model;
mod sequences;
