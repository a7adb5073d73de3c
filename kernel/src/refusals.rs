//! Reports of what a process has refused to its clients for lack of memory or descriptors.
use crate::prelude::*;

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What a frontend has refused since its start, and what it holds now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Number of connections that were refused.
    pub connections: u64,
    /// Number of requests that were refused, or whose body had to yield to others.
    pub requests: u64,
    /// Number of bytes held for clients.
    pub held_bytes: u64,
}

/// The state of the reports.
#[derive(Debug, Default)]
pub struct RefusalReports {
    reported: RefusalCounts,
    next_report: Duration,
}

impl RefusalReports {
    /// Returns the text of a report if one is due and something was refused since the last.
    pub fn next(&mut self, now: Duration, counts: RefusalCounts) -> Option<String> {
        let connections = counts.connections - self.reported.connections;
        let requests = counts.requests - self.reported.requests;
        if now < self.next_report || connections + requests == 0 {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        self.reported = counts;
        Some(format!(
            "{connections} connections and {requests} requests; {} bytes are held for clients",
            counts.held_bytes
        ))
    }
}
