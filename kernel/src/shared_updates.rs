//! Updates that are sent to many edges at once.
use crate::prelude::*;
use serde::{Deserializer, Serializer};
use std::sync::OnceLock;

/// Updates for all edges that lack the same rows: held and encoded once, however many
/// edges they are sent to. The wire format is a list of [`PartitionUpdate`].
#[derive(Debug, Clone, Default)]
pub struct SharedUpdates(Option<Arc<UpdateBody>>);

#[derive(Debug)]
struct UpdateBody {
    updates: Vec<PartitionUpdate>,
    encoded: OnceLock<Arc<[u8]>>,
}

impl SharedUpdates {
    /// Returns the wire encoding.
    pub fn encoded(&self) -> Arc<[u8]> {
        let encode = |updates: &[PartitionUpdate]| -> Arc<[u8]> {
            let bytes = bincode::serialize(updates).expect("updates serialize");
            bytes.into()
        };
        match &self.0 {
            Some(body) => body.encoded.get_or_init(|| encode(&body.updates)).clone(),
            None => encode(&[]),
        }
    }

    /// Returns the updates, cloned only if they are shared.
    pub fn into_updates(self) -> Vec<PartitionUpdate> {
        match self.0.map(Arc::try_unwrap) {
            Some(Ok(body)) => body.updates,
            Some(Err(body)) => body.updates.clone(),
            None => Vec::new(),
        }
    }
}

impl std::ops::Deref for SharedUpdates {
    type Target = [PartitionUpdate];

    fn deref(&self) -> &[PartitionUpdate] {
        self.0.as_ref().map_or(&[], |body| &body.updates)
    }
}

impl From<Vec<PartitionUpdate>> for SharedUpdates {
    fn from(updates: Vec<PartitionUpdate>) -> SharedUpdates {
        let encoded = OnceLock::new();
        SharedUpdates((!updates.is_empty()).then(|| Arc::new(UpdateBody { updates, encoded })))
    }
}

impl PartialEq for SharedUpdates {
    fn eq(&self, other: &SharedUpdates) -> bool {
        **self == **other
    }
}

impl Serialize for SharedUpdates {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        (**self).serialize(out)
    }
}

impl<'de> Deserialize<'de> for SharedUpdates {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<SharedUpdates, D::Error> {
        Ok(Vec::<PartitionUpdate>::deserialize(from)?.into())
    }
}
