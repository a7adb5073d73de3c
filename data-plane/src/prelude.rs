//! The items that the modules of this crate share.
pub use crate::abandoned_work::{AbandonedWorkMonitor, AbandonedWorkViolation, ViolationKind};
pub use crate::active_request::{ActiveRequest, Fetch, FillGrant, RequestCacheState, Stage};
pub use crate::admission::{AdmissionController, TokenBucket};
pub use crate::cache_owner::CacheOwner;
pub use crate::call_outcome::classify_call_outcome;
pub use crate::coalescer::{Coalescer, CoalescingRole};
pub use crate::default_protocol::DefaultProtocol;
pub use crate::edge_node::EdgeNode;
pub use crate::fallback_quota::{FALLBACK_EPOCH, FallbackQuota};
pub use crate::fetch_start::FetchStart;
pub use crate::filter::{Filter, FilterPlugIn, IncomingRequest, run_filters};
pub use crate::leases::Leases;
pub use crate::link_delay_estimator::LinkDelayEstimator;
pub use crate::near_cache::{NearCache, NearCacheEntry, NearCacheLookup};
pub use crate::purge_log::{AppliedPurges, PurgeLog};
pub use crate::request_conversion::into_client_request;
pub use crate::response_signature::{ResponseSignature, SignatureError};
pub use crate::response_sizes::ResponseSizes;
pub use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
pub use http_line::{
    EventLoopHandle, ExchangeError, ExchangeOutcome, Handler, Limits, ReceivedResponse, Request,
    Resources,
};
pub use kernel::prelude::*;
pub use std::sync::{OnceLock, Weak};
