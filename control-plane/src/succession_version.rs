//! Versions of membership tables: a succession without a majority counts in the upper half, changes by a majority in
//! the lower one. So no table that lost members may still write has the version of one that follows them.

/// Bits of a version that count changes by a majority.
const SUCCESSION_SHIFT: u32 = 32;

/// The version of the table that follows this one by a succession.
pub fn next_succession(version: u64) -> u64 {
    ((version >> SUCCESSION_SHIFT) + 1) << SUCCESSION_SHIFT
}

/// The version of the last table that was written by a succession, of the tables up to this one; 0 if none was.
pub fn last_succession(version: u64) -> u64 {
    version >> SUCCESSION_SHIFT << SUCCESSION_SHIFT
}
