//! The bytes of a message body.

use crate::prelude::*;

/// A range of shared bytes, written to the socket without an intermediate copy.
#[derive(Clone)]
pub struct Body {
    bytes: Arc<dyn AsRef<[u8]> + Send + Sync>,
    range: Range<usize>,
}

impl Body {
    /// Returns the given range of `bytes`, clamped to their length.
    pub fn slice(bytes: Arc<Vec<u8>>, range: Range<usize>) -> Body {
        let end = range.end.min(bytes.len());
        Body {
            range: range.start.min(end)..end,
            bytes,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.range.len()
    }

    /// Returns true if the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.range.is_empty()
    }

    /// The bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &(*self.bytes).as_ref()[self.range.clone()]
    }

    /// Returns true if nothing else holds the bytes.
    pub fn is_unshared(&self) -> bool {
        Arc::strong_count(&self.bytes) == 1
    }
}

impl Default for Body {
    fn default() -> Body {
        Vec::new().into()
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Body) -> bool {
        self.bytes() == other.bytes()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} bytes", self.len())
    }
}

impl From<Arc<HeldBytes>> for Body {
    fn from(bytes: Arc<HeldBytes>) -> Body {
        Body {
            range: 0..bytes.len(),
            bytes,
        }
    }
}

impl From<Arc<Vec<u8>>> for Body {
    fn from(bytes: Arc<Vec<u8>>) -> Body {
        Body {
            range: 0..bytes.len(),
            bytes,
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Body {
        Arc::new(bytes).into()
    }
}
