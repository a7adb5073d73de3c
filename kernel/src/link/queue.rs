//! What waits to be sent, bounded in bytes for each peer and for the process.
use crate::frame::EncodedMessage;
use crate::link::priority::Priority;
use crate::prelude::*;

/// Bytes that may wait. A message is taken while less than this waits, so that
/// one larger than a bound can be sent at all.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Urgent bytes for one peer.
    pub peer_urgent: usize,
    /// Bulk bytes for one peer.
    pub peer_bulk: usize,
    /// Urgent bytes of all peers together; what is shared counts once.
    pub process_urgent: usize,
    /// Bulk bytes of all peers together; what is shared counts once.
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

/// The queues of all peers. Invariant: each class has bytes of its own, so that no
/// bulk message, however large, takes room from what is urgent.
#[derive(Debug)]
pub struct Outbox {
    limits: QueueLimits,
    peers: HashMap<SocketAddr, PeerQueue>,
    urgent_bytes: ProcessBytes,
    bulk_bytes: ProcessBytes,
    /// Who was given something since the event loop last looked.
    ready: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct PeerQueue {
    urgent: VecDeque<EncodedMessage>,
    urgent_bytes: usize,
    bulk: VecDeque<EncodedMessage>,
    bulk_bytes: usize,
    /// Of the first bulk message, how much was taken.
    bulk_taken: usize,
    /// It stands in `Outbox::ready`.
    ready: bool,
}

impl Outbox {
    /// Empty queues.
    pub fn new(limits: QueueLimits) -> Outbox {
        Outbox {
            limits,
            peers: HashMap::new(),
            urgent_bytes: ProcessBytes::default(),
            bulk_bytes: ProcessBytes::default(),
            ready: Vec::new(),
        }
    }

    /// Whether there was room.
    pub fn push(&mut self, to: SocketAddr, priority: Priority, message: EncodedMessage) -> bool {
        let limits = self.limits;
        let queue = self.peers.entry(to).or_default();
        let (process, has_room) = match priority {
            Priority::Urgent => {
                let has_room = queue.urgent_bytes < limits.peer_urgent
                    && self.urgent_bytes.total < limits.process_urgent;
                (&mut self.urgent_bytes, has_room)
            }
            Priority::Bulk => {
                let has_room = queue.bulk_bytes < limits.peer_bulk
                    && self.bulk_bytes.total < limits.process_bulk;
                (&mut self.bulk_bytes, has_room)
            }
        };
        if !has_room {
            return false;
        }
        process.add(&message);
        queue.push(priority, message);
        if !queue.ready {
            queue.ready = true;
            self.ready.push(to);
        }
        true
    }

    /// Peers that were given something since this was last asked.
    pub fn take_ready(&mut self) -> Vec<SocketAddr> {
        let ready = std::mem::take(&mut self.ready);
        for address in &ready {
            if let Some(queue) = self.peers.get_mut(address) {
                queue.ready = false;
            }
        }
        ready
    }

    /// Whether a peer was given something since the event loop last looked.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Whether nothing waits for this peer.
    pub fn is_empty(&self, to: SocketAddr) -> bool {
        self.peers.get(&to).is_none_or(PeerQueue::is_empty)
    }

    /// Bytes that wait for all peers together.
    pub fn bytes(&self) -> usize {
        self.urgent_bytes.total + self.bulk_bytes.total
    }

    /// Appends frames for this peer, what is urgent first, until `out` has
    /// `enough` bytes or nothing waits.
    pub fn take_frames(&mut self, to: SocketAddr, enough: usize, out: &mut Vec<u8>) {
        let Some(queue) = self.peers.get_mut(&to) else {
            return;
        };
        while out.len() < enough {
            if let Some(message) = queue.pop_urgent() {
                message.write_whole(out);
                self.urgent_bytes.remove(&message);
            } else if queue.bulk.is_empty() {
                return;
            } else if let Some(message) = queue.pop_expired() {
                self.bulk_bytes.remove(&message);
            } else if let Some(message) = queue.take_chunk(out) {
                self.bulk_bytes.remove(&message);
            }
        }
    }

    /// The session ended: the rest of a message of which a part was taken makes
    /// no sense on the next one.
    pub fn drop_begun(&mut self, to: SocketAddr) {
        if let Some(queue) = self.peers.get_mut(&to)
            && queue.bulk_taken > 0
            && let Some(message) = queue.pop_bulk()
        {
            self.bulk_bytes.remove(&message);
        }
    }

    /// Nothing is left for this peer.
    pub fn forget(&mut self, to: SocketAddr) {
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

    /// The first bulk message, if it was not begun and nobody waits for it any
    /// more.
    fn pop_expired(&mut self) -> Option<EncodedMessage> {
        let expired = self.bulk_taken == 0 && self.bulk.front()?.expired();
        if expired { self.pop_bulk() } else { None }
    }

    /// Appends the next chunk of bulk; the message, if that was its last.
    fn take_chunk(&mut self, out: &mut Vec<u8>) -> Option<EncodedMessage> {
        let message = self.bulk.front()?;
        self.bulk_taken = message.write_chunk(self.bulk_taken, out);
        if self.bulk_taken < message.len() {
            return None;
        }
        self.pop_bulk()
    }
}

/// Memory that the waiting messages take: shared bytes count once, as long as
/// any message with them waits.
#[derive(Debug, Default)]
struct ProcessBytes {
    total: usize,
    /// Messages that wait, by where their shared bytes are.
    shared: HashMap<usize, usize>,
}

impl ProcessBytes {
    fn add(&mut self, message: &EncodedMessage) {
        self.total += message.own_len();
        if let Some(shared) = message.shared() {
            let uses = self.shared.entry(Self::place(shared)).or_insert(0);
            *uses += 1;
            if *uses == 1 {
                self.total += shared.len();
            }
        }
    }

    fn remove(&mut self, message: &EncodedMessage) {
        self.total -= message.own_len();
        if let Some(shared) = message.shared() {
            let place = Self::place(shared);
            let uses = self.shared.get_mut(&place).expect("it was added");
            *uses -= 1;
            if *uses == 0 {
                self.shared.remove(&place);
                self.total -= shared.len();
            }
        }
    }

    fn place(shared: &Arc<[u8]>) -> usize {
        Arc::as_ptr(shared).cast::<u8>() as usize
    }
}
