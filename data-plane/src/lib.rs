//! The data plane: filters, cache owners, gates, calls to origins.
mod caller_face;
mod cache_owner;
mod edge_part;
mod filter;
mod gate;
mod job;
mod leases;
mod line_face;
mod own_words;
pub mod prelude;
mod purge_book;
mod seal;
pub use caller_face::errand_of;
pub use edge_part::EdgePart;
pub use line_face::LineFace;
pub use own_words::OwnWords;
pub use seal::Seal;
