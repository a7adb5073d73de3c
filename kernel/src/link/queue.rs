//! The outgoing queues, bounded in bytes for each peer and for the process.
use crate::frame::EncodedMessage;
use crate::link::priority::Priority;
use crate::prelude::*;

/// Limits of the outgoing queues, in bytes. A message is accepted while the queue
/// is below its limit, so that a message larger than a limit can still be sent.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Urgent bytes to one peer.
    pub peer_urgent: usize,
    /// Bulk bytes to one peer.
    pub peer_bulk: usize,
    /// Urgent bytes to all peers together; shared bytes are counted once.
    pub process_urgent: usize,
    /// Bulk bytes to all peers together; shared bytes are counted once.
    pub process_bulk: usize,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits {
            peer_urgent: 512 * 1024,
            peer_bulk: 4 * 1024 * 1024,
            process_urgent: 4 * 1024 * 1024,
            process_bulk: 12 * 1024 * 1024,
        }
    }
}

/// The outgoing queues of all peers. Invariant: each priority has its own limits, so
/// that no bulk message, however large, takes space from urgent ones.
#[derive(Debug)]
pub struct OutgoingQueues {
    limits: QueueLimits,
    peers: HashMap<SocketAddr, PeerQueue>,
    urgent_bytes: ProcessBytes,
    bulk_bytes: ProcessBytes,
    /// Peers that got messages since the last `take_ready`.
    ready: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct PeerQueue {
    urgent: VecDeque<EncodedMessage>,
    urgent_bytes: usize,
    bulk: VecDeque<EncodedMessage>,
    bulk_bytes: usize,
    /// Number of bytes already taken of the first bulk message.
    bulk_taken: usize,
    /// True if the peer is listed in `OutgoingQueues::ready`.
    is_ready: bool,
}

impl OutgoingQueues {
    /// Creates empty queues.
    pub fn new(limits: QueueLimits) -> OutgoingQueues {
        OutgoingQueues {
            limits,
            peers: HashMap::new(),
            urgent_bytes: ProcessBytes::default(),
            bulk_bytes: ProcessBytes::default(),
            ready: Vec::new(),
        }
    }

    /// Queues a message. Returns false, and drops it, if the queue is full.
    pub fn push(&mut self, to: SocketAddr, priority: Priority, message: EncodedMessage) -> bool {
        let limits = self.limits;
        let queue = self.peers.entry(to).or_default();
        let (process_bytes, has_space) = match priority {
            Priority::Urgent => {
                let has_space = queue.urgent_bytes < limits.peer_urgent
                    && self.urgent_bytes.total < limits.process_urgent;
                (&mut self.urgent_bytes, has_space)
            }
            Priority::Bulk => {
                let has_space = queue.bulk_bytes < limits.peer_bulk
                    && self.bulk_bytes.total < limits.process_bulk;
                (&mut self.bulk_bytes, has_space)
            }
        };
        if !has_space {
            return false;
        }
        process_bytes.add(&message);
        queue.push(priority, message);
        if !queue.is_ready {
            queue.is_ready = true;
            self.ready.push(to);
        }
        true
    }

    /// Returns the peers that got messages since the last call.
    pub fn take_ready(&mut self) -> Vec<SocketAddr> {
        let ready = std::mem::take(&mut self.ready);
        for address in &ready {
            if let Some(queue) = self.peers.get_mut(address) {
                queue.is_ready = false;
            }
        }
        ready
    }

    /// Returns true if any peer got messages since the last `take_ready`.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Returns true if no message waits for this peer.
    pub fn is_empty(&self, to: SocketAddr) -> bool {
        self.peers.get(&to).is_none_or(PeerQueue::is_empty)
    }

    /// Returns the number of bytes that wait for all peers together.
    pub fn bytes(&self) -> usize {
        self.urgent_bytes.total + self.bulk_bytes.total
    }

    /// Appends frames for this peer, urgent messages first, until `out` has
    /// `enough` bytes, the queue is empty, or `max_bulk` bytes of bulk messages or
    /// slightly more were taken. Returns the number of these.
    pub fn take_frames(
        &mut self,
        to: SocketAddr,
        enough: usize,
        max_bulk: usize,
        out: &mut Vec<u8>,
    ) -> usize {
        let mut bulk_taken = 0;
        let Some(queue) = self.peers.get_mut(&to) else {
            return bulk_taken;
        };
        while out.len() < enough {
            if let Some(message) = queue.pop_urgent() {
                message.write_unchunked(out);
                self.urgent_bytes.remove(&message);
            } else if queue.bulk.is_empty() || bulk_taken >= max_bulk {
                break;
            } else if let Some(message) = queue.pop_expired() {
                self.bulk_bytes.remove(&message);
            } else {
                let start = out.len();
                let sent = queue.take_chunk(out);
                bulk_taken += out.len() - start;
                if let Some(message) = sent {
                    self.bulk_bytes.remove(&message);
                }
            }
        }
        bulk_taken
    }

    /// Drops a message of which some chunks were taken, after its session ended:
    /// the remaining chunks are meaningless in the next session.
    pub fn drop_partially_sent(&mut self, to: SocketAddr) {
        if let Some(queue) = self.peers.get_mut(&to)
            && queue.bulk_taken > 0
            && let Some(message) = queue.pop_bulk()
        {
            self.bulk_bytes.remove(&message);
        }
    }

    /// Drops all messages for this peer.
    pub fn drop_all(&mut self, to: SocketAddr) {
        if let Some(queue) = self.peers.remove(&to) {
            for message in &queue.urgent {
                self.urgent_bytes.remove(message);
            }
            for message in &queue.bulk {
                self.bulk_bytes.remove(message);
            }
        }
    }
}

impl PeerQueue {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.bulk.is_empty()
    }

    fn push(&mut self, priority: Priority, message: EncodedMessage) {
        match priority {
            Priority::Urgent => {
                self.urgent_bytes += message.len();
                self.urgent.push_back(message);
            }
            Priority::Bulk => {
                self.bulk_bytes += message.len();
                self.bulk.push_back(message);
            }
        }
    }

    fn pop_urgent(&mut self) -> Option<EncodedMessage> {
        let message = self.urgent.pop_front()?;
        self.urgent_bytes -= message.len();
        Some(message)
    }

    fn pop_bulk(&mut self) -> Option<EncodedMessage> {
        let message = self.bulk.pop_front()?;
        self.bulk_bytes -= message.len();
        self.bulk_taken = 0;
        Some(message)
    }

    /// Removes the first bulk message if it has expired and no chunk of it was
    /// taken.
    fn pop_expired(&mut self) -> Option<EncodedMessage> {
        let expired = self.bulk_taken == 0 && self.bulk.front()?.is_expired();
        if expired { self.pop_bulk() } else { None }
    }

    /// Appends the next chunk of the first bulk message. Removes and returns the
    /// message if that was its last chunk.
    fn take_chunk(&mut self, out: &mut Vec<u8>) -> Option<EncodedMessage> {
        let message = self.bulk.front()?;
        self.bulk_taken = message.write_chunk(self.bulk_taken, out);
        if self.bulk_taken < message.len() {
            return None;
        }
        self.pop_bulk()
    }
}

/// Memory used by the waiting messages: shared bytes are counted once while any
/// message with them waits.
#[derive(Debug, Default)]
struct ProcessBytes {
    total: usize,
    /// Number of waiting messages, by the memory address of their shared bytes.
    shared: HashMap<usize, usize>,
}

impl ProcessBytes {
    fn add(&mut self, message: &EncodedMessage) {
        self.total += message.own_len();
        if let Some(shared) = message.shared() {
            let uses = self.shared.entry(Self::memory_address(shared)).or_insert(0);
            *uses += 1;
            if *uses == 1 {
                self.total += shared.len();
            }
        }
    }

    fn remove(&mut self, message: &EncodedMessage) {
        self.total -= message.own_len();
        if let Some(shared) = message.shared() {
            let address = Self::memory_address(shared);
            let uses = self.shared.get_mut(&address).expect("it was added");
            *uses -= 1;
            if *uses == 0 {
                self.shared.remove(&address);
                self.total -= shared.len();
            }
        }
    }

    fn memory_address(shared: &Arc<[u8]>) -> usize {
        Arc::as_ptr(shared).cast::<u8>() as usize
    }
}
