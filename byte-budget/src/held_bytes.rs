//! A message body that reserves what it holds.
use crate::{BudgetExceeded, ByteBudget, LARGE_BODY_BYTES, Reservation};
use memmap2::{MmapMut, MmapOptions};
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// The bytes of one body. Invariant: the reservation, if there is one, counts all bytes.
pub struct HeldBytes {
    storage: Storage,
    reservation: Option<Reservation>,
    /// True if large bodies are moved to mapped pages.
    uses_pages: bool,
}

/// Memory of a body.
enum Storage {
    Heap(Vec<u8>),
    /// Mapped pages, which the system takes back at once when the body is dropped; a heap
    /// keeps the holes that large bodies leave.
    Mapped {
        pages: MmapMut,
        len: usize,
    },
}

impl HeldBytes {
    /// Creates an empty body that reserves its bytes.
    pub fn within(budget: &Arc<ByteBudget>) -> HeldBytes {
        HeldBytes {
            storage: Storage::Heap(Vec::new()),
            reservation: Some(Reservation::empty(budget)),
            uses_pages: true,
        }
    }

    /// Creates an empty body that reserves its bytes and stays on the heap, for one that is
    /// soon taken out as a vector.
    pub fn on_heap_within(budget: &Arc<ByteBudget>) -> HeldBytes {
        HeldBytes {
            uses_pages: false,
            ..HeldBytes::within(budget)
        }
    }

    /// Appends bytes to a body that will have at most `max_len`.
    ///
    /// # Errors
    ///
    /// Returns an error, and appends nothing, if they do not fit into the budget.
    pub fn push(&mut self, bytes: &[u8], max_len: usize) -> Result<(), BudgetExceeded> {
        let len = self.len() + bytes.len();
        if let Some(reservation) = &mut self.reservation {
            reservation.grow_to(len)?;
            if self.uses_pages && len > LARGE_BODY_BYTES {
                self.move_to_pages(max_len.max(len))?;
            }
        }
        match &mut self.storage {
            Storage::Heap(heap) => {
                grow_heap(heap, len, max_len);
                heap.extend_from_slice(bytes);
            }
            Storage::Mapped { pages, len: end } => {
                pages[*end..len].copy_from_slice(bytes);
                *end = len;
            }
        }
        Ok(())
    }

    /// Moves the bytes to pages for `capacity` bytes. Pages take memory only once they are
    /// written.
    fn move_to_pages(&mut self, capacity: usize) -> Result<(), BudgetExceeded> {
        let Storage::Heap(heap) = &self.storage else {
            return Ok(());
        };
        let mut pages = MmapOptions::new()
            .len(capacity)
            .no_reserve_swap()
            .map_anon()
            .map_err(|_| BudgetExceeded)?;
        let len = heap.len();
        pages[..len].copy_from_slice(heap);
        self.storage = Storage::Mapped { pages, len };
        Ok(())
    }

    /// Returns the bytes as a vector. They are no longer reserved.
    pub fn into_vec(self) -> Vec<u8> {
        self.into_parts().0
    }

    /// Returns the bytes as a vector, and their reservation, for a caller that holds them
    /// longer.
    pub fn into_parts(self) -> (Vec<u8>, Option<Reservation>) {
        let bytes = match self.storage {
            Storage::Heap(heap) => heap,
            Storage::Mapped { pages, len } => pages[..len].to_vec(),
        };
        (bytes, self.reservation)
    }
}

/// Makes room for `len` bytes by doubling, but not beyond `max_len`.
fn grow_heap(heap: &mut Vec<u8>, len: usize, max_len: usize) {
    if len > heap.capacity() {
        let capacity = (heap.capacity() * 2).min(max_len).max(len);
        heap.reserve_exact(capacity - heap.len());
    }
}

/// Creates a body that reserves nothing.
impl From<Vec<u8>> for HeldBytes {
    fn from(bytes: Vec<u8>) -> HeldBytes {
        HeldBytes {
            storage: Storage::Heap(bytes),
            reservation: None,
            uses_pages: false,
        }
    }
}

impl Default for HeldBytes {
    fn default() -> HeldBytes {
        Vec::new().into()
    }
}

impl Deref for HeldBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(heap) => heap,
            Storage::Mapped { pages, len } => &pages[..*len],
        }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        self
    }
}

impl PartialEq for HeldBytes {
    fn eq(&self, other: &HeldBytes) -> bool {
        **self == **other
    }
}

impl fmt::Debug for HeldBytes {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} bytes", self.len())
    }
}
