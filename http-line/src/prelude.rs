pub(crate) use crate::chunk::Chunk;
pub(crate) use crate::framing::{Fault, Framing, Reading};
pub(crate) use crate::head::{AnswerHead, AskedHead, Head};
pub(crate) use crate::held::{Held, Side};
pub(crate) use crate::http_line::{Order, Shared};
pub(crate) use crate::line::Line;
pub(crate) use crate::pacer::{Limited, Pacer};
pub(crate) use crate::pool::Pool;
pub(crate) use crate::timers::Timers;
pub use crate::{
    Asked, Body, Call, Called, Came, Ended, HttpLine, Limits, Outgoing, Served, Taker, Told, Usage,
};
pub use anyhow::{Context, Result, bail};
pub use std::cmp::Reverse;
pub use std::collections::hash_map::DefaultHasher;
pub use std::collections::{BinaryHeap, HashMap, VecDeque};
pub use std::hash::{Hash, Hasher};
pub use std::io::{self, ErrorKind, IoSlice, Read, Write};
pub use std::net::SocketAddr;
pub use std::ops::Range;
pub use std::sync::Arc;
pub use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
pub use std::time::{Duration, Instant};
