/// Counts since the start, but for `open`: connections of both sides now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    pub accepted: u64,
    pub connects: u64,
    pub reused: u64,
    pub calls: u64,
    pub open: u64,
}
