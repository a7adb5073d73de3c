//! Bytes that are counted against a budget.
use crate::ByteBudget;
use std::cmp::Ordering;
use std::sync::Arc;

/// The bytes do not fit into what is left of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExceeded;

/// Bytes of one holder. They are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn empty(budget: &Arc<ByteBudget>) -> Reservation {
        Reservation {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Grows the reservation to at least `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error, and reserves nothing more, if they do not fit.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let additional = bytes.saturating_sub(self.bytes);
        if additional > 0 {
            self.budget.try_add(self.bytes, additional)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Grows or shrinks the reservation to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if they do not fit.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.grow_to(bytes)?;
        self.set(bytes);
        Ok(())
    }

    /// Counts exactly `bytes`, even if they do not fit: they are held already.
    pub fn set(&mut self, bytes: usize) {
        match bytes.cmp(&self.bytes) {
            Ordering::Greater => self.budget.add(bytes - self.bytes),
            Ordering::Equal => {}
            Ordering::Less => self.budget.subtract(self.bytes - bytes),
        }
        self.bytes = bytes;
    }

    /// Gives all bytes back.
    pub fn clear(&mut self) {
        self.budget.subtract(self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
