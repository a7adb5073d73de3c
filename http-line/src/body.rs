//! The bytes of a body.

use crate::prelude::*;

/// A range of shared bytes; never copied before the socket.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Body {
    bytes: Arc<Vec<u8>>,
    range: Range<usize>,
}

impl Body {
    /// The bytes of this range, clamped to the bytes there are.
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

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.range.is_empty()
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.range.clone()]
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
