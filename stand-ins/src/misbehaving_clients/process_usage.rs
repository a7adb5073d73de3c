//! Memory and descriptors of a process, sampled from `/proc`.
use crate::prelude::*;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`; its queue counts connections.
const LISTENING: &str = "0A";

/// Largest values that were sampled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeakUsage {
    /// Resident memory plus the bytes that have arrived and are not read, in bytes.
    pub memory_bytes: u64,
    /// Bytes that have arrived and are not read.
    pub unread_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// Samples a process on a thread of its own.
pub struct UsageSampler {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<PeakUsage>,
}

impl UsageSampler {
    /// Starts to sample a process that listens at these addresses.
    pub fn start(process_id: u32, addresses: Vec<SocketAddr>) -> UsageSampler {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut peak = PeakUsage::default();
            while !stopped.load(Ordering::Acquire) {
                peak.add(&sample(process_id, &addresses));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak.memory_bytes = peak.memory_bytes.max(peak_resident_bytes(process_id));
            peak
        });
        UsageSampler { stop, thread }
    }

    /// Stops sampling and returns the largest values. Their memory is at least the peak
    /// that the system has recorded for the process.
    pub fn finish(self) -> PeakUsage {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("a sampler does not panic")
    }
}

impl PeakUsage {
    fn add(&mut self, sample: &PeakUsage) {
        self.memory_bytes = self.memory_bytes.max(sample.memory_bytes);
        self.unread_bytes = self.unread_bytes.max(sample.unread_bytes);
        self.descriptors = self.descriptors.max(sample.descriptors);
    }
}

fn sample(process_id: u32, addresses: &[SocketAddr]) -> PeakUsage {
    let unread_bytes = unread_bytes(addresses);
    PeakUsage {
        memory_bytes: status_bytes(process_id, "VmRSS:") + unread_bytes,
        unread_bytes,
        descriptors: fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count),
    }
}

fn peak_resident_bytes(process_id: u32) -> u64 {
    status_bytes(process_id, "VmHWM:")
}

/// Returns a size from the status of a process; zero if the process has ended.
fn status_bytes(process_id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Sums the receive queues of the connections that were accepted at these addresses.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let local: Vec<String> = addresses.iter().map(table_address).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let address = fields.next()?;
        let state = fields.nth(1)?;
        let (_, receive_queue) = fields.next()?.split_once(':')?;
        let is_connection = state != LISTENING && local.iter().any(|own| own == address);
        is_connection.then(|| u64::from_str_radix(receive_queue, 16).unwrap_or(0))
    });
    unread.sum()
}

/// Writes an address as `/proc/net/tcp` does.
fn table_address(address: &SocketAddr) -> String {
    match address {
        SocketAddr::V4(address) => {
            let octets = u32::from_ne_bytes(address.ip().octets());
            format!("{octets:08X}:{:04X}", address.port())
        }
        SocketAddr::V6(address) => address.to_string(),
    }
}
