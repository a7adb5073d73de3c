//! Fingerprints of states, by which the search detects states already visited.
use std::fmt::{self, Debug, Write};
use std::hash::{DefaultHasher, Hasher};
use std::ops::Deref;
use std::sync::Arc;

/// Writer that passes its text to a hasher.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Returns the hash of a value's `Debug` form, which contains every field.
pub fn fingerprint(value: &impl Debug) -> u64 {
    let mut writer = HashWriter(DefaultHasher::new());
    write!(writer, "{value:?}").expect("hashing does not fail");
    writer.0.finish()
}

/// Shared value with its fingerprint, computed once.
#[derive(Debug)]
pub struct Hashed<T> {
    value: Arc<T>,
    pub fingerprint: u64,
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Hashed<T> {
        Hashed {
            value: self.value.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

impl<T: Debug + Clone> Hashed<T> {
    pub fn new(value: T) -> Hashed<T> {
        Hashed {
            fingerprint: fingerprint(&value),
            value: Arc::new(value),
        }
    }

    /// Replaces the value by a changed copy.
    pub fn update<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(&self.value);
        let result = change(&mut value);
        *self = Hashed::new(value);
        result
    }
}

impl<T> Deref for Hashed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}
