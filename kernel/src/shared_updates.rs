//! Updates as it is told to many edges at once.
use crate::prelude::*;
use serde::{Deserializer, Serializer};
use std::sync::OnceLock;

/// Updates that lack the same: held once and encoded once, however many edges it
/// is told to. On the wire it is a list of [`PartitionUpdate`].
#[derive(Debug, Clone, Default)]
pub struct SharedUpdates(Option<Arc<UpdateBody>>);

#[derive(Debug)]
struct UpdateBody {
    updates: Vec<PartitionUpdate>,
    encoded: OnceLock<Arc<[u8]>>,
}

impl SharedUpdates {
    /// As it goes on the wire.
    pub fn encoded(&self) -> Arc<[u8]> {
        let encode = |updates: &[PartitionUpdate]| -> Arc<[u8]> {
            let bytes = bincode::serialize(updates).expect("news serialize");
            bytes.into()
        };
        match &self.0 {
            Some(body) => body.encoded.get_or_init(|| encode(&body.updates)).clone(),
            None => encode(&[]),
        }
    }

    /// The updates itself, copied only if others hold it too.
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
