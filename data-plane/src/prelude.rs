pub use crate::abandoned_work::{AbandonedWork, Violation, ViolationKind};
pub use crate::admission::AdmissionController;
pub use crate::answer_sizes::AnswerSizes;
pub use crate::cache_owner::CacheOwner;
pub use crate::call_result::judge_call;
pub use crate::coalescer::{Coalescer, GroupRole};
pub use crate::default_protocol::DefaultProtocol;
pub use crate::edge_node::EdgeNode;
pub use crate::filter::{Arrival, Filter, FilterPlugIn, Filtered, chain};
pub use crate::job::{Fetch, Job, Stage};
pub use crate::leases::Leases;
pub use crate::link_delay::LinkDelay;
pub use crate::near_cache::{KeptCopy, NearCache, NearLookup};
pub use crate::own_share::OwnShare;
pub use crate::purge_book::PurgeBook;
pub use crate::request_conversion::client_request_of;
pub use crate::room::Room;
pub use crate::seal::Seal;
pub use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
pub use http_line::{
    EventLoopHandle, ExchangeError, ExchangeOutcome, Handler, Limits, ReceivedResponse, Request,
};
pub use kernel::prelude::*;
pub use std::sync::{OnceLock, Weak};
