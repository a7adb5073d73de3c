//! Imports shared by the modules and tests of this crate.

pub(crate) use crate::body_reader::{BodyError, BodyReader, Framing};
pub(crate) use crate::chunked_decoder::ChunkedDecoder;
pub(crate) use crate::connection::{Connection, Role};
pub(crate) use crate::event_loop_handle::{Command, Shared};
pub(crate) use crate::head::{RequestHead, ResponseHead};
pub(crate) use crate::pacer::{LimitedSink, Pacer};
pub(crate) use crate::pool::Pool;
pub(crate) use crate::timers::Timers;
pub use crate::{
    Body, Call, ClientConnection, EventLoopHandle, ExchangeError, ExchangeOutcome,
    FINISH_IDLE_TIME, FinishedExchange, Handler, InvalidCall, Limits, OpenWork, PipelinedRequest,
    ReceivedResponse, Request, Resources, Response, SendLimit, SendQueue, ServerConnection, Usage,
    WriteProgress,
};
pub use byte_budget::{BudgetExceeded, ByteBudget, HeldBytes, Reservation};
pub use send_rate::SendRate;
pub use std::cmp::Reverse;
pub use std::collections::hash_map::DefaultHasher;
pub use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
pub use std::fmt;
pub use std::hash::{Hash, Hasher};
pub use std::io::{self, ErrorKind, IoSlice, Read, Write};
pub use std::net::SocketAddr;
pub use std::ops::Range;
pub use std::sync::Arc;
pub use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
pub use std::time::{Duration, Instant};
