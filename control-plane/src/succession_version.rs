//! Versions of membership tables: successions without a majority are counted in the upper half of the bits, changes by
//! a majority in the lower half. So a table that the lost members may still write never has the same version as a table
//! written to replace them.

/// Number of bits of a version that count changes by a majority.
const SUCCESSION_SHIFT: u32 = 32;

/// Returns the version of the table that follows this one by a succession.
pub fn next_succession(version: u64) -> u64 {
    ((version >> SUCCESSION_SHIFT) + 1) << SUCCESSION_SHIFT
}

/// Returns the version of the last table written by a succession, of the tables up to this one; 0 if none was.
pub fn last_succession(version: u64) -> u64 {
    version >> SUCCESSION_SHIFT << SUCCESSION_SHIFT
}
