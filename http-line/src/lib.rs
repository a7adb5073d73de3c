//! An HTTP/1.1 event loop: one thread that serves requests from clients and
//! sends requests to origins, over non-blocking sockets.
//!
//! [`EventLoopHandle::open`] starts the thread. Complete requests and the
//! outcomes of calls are passed to a [`Handler`]; other threads send commands
//! through the handle.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]
mod body;
mod body_reader;
mod call;
mod chunked_decoder;
mod client_connection;
mod connection;
mod event_loop;
mod event_loop_handle;
mod exchange_outcome;
mod handler;
mod head;
mod limits;
mod pacer;
mod pool;
pub mod prelude;
mod request;
mod request_id;
mod resources;
mod response;
mod send_queue;
mod server_connection;
mod timers;
mod usage;
pub use body::Body;
pub use call::{Call, InvalidCall};
pub use client_connection::{ClientConnection, FinishedExchange};
pub use event_loop_handle::{EventLoopHandle, OpenError};
pub use exchange_outcome::{ExchangeError, ExchangeOutcome, ReceivedResponse};
pub use handler::Handler;
pub use limits::Limits;
pub use request::Request;
pub use resources::Resources;
pub use response::{Response, SendLimit};
pub use send_queue::{SendQueue, WriteProgress};
pub use server_connection::{FINISH_IDLE_TIME, PipelinedRequest, ServerConnection};
pub use usage::{OpenWork, Usage};
