//! Shared by the programs of this package.
pub mod prelude;
