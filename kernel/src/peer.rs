//! Processes of the fleet, and the rendezvous hashing that assigns work to them.
use crate::prelude::*;

/// The operating system provided no random bytes.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("no randomness: {0}")]
pub struct RandomnessError(getrandom::Error);

/// Returns a random number that identifies a process, disk or change; never 0.
pub fn new_incarnation() -> Result<u64, RandomnessError> {
    let mut bytes = [0u8; 8];
    getrandom::fill(&mut bytes).map_err(RandomnessError)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Address on which it listens for peers; serves as its name.
    pub address: SocketAddr,
    /// Distinguishes successive processes (edge) or disks (control node) at that
    /// address, so that a message of an earlier one is not attributed to a later one.
    pub incarnation: u64,
}

impl Peer {
    /// Creates a peer.
    pub fn new(address: SocketAddr, incarnation: u64) -> Peer {
        Peer {
            address,
            incarnation,
        }
    }

    /// Returns true if this entry of the membership table names `peer`; incarnation 0
    /// matches any process at the address.
    pub fn matches(&self, peer: &Peer) -> bool {
        self.address == peer.address
            && (self.incarnation == 0 || self.incarnation == peer.incarnation)
    }

    /// Returns the rendezvous weight of this peer for a named assignment. The live
    /// peer with the highest weight is chosen, so a peer that joins or leaves moves
    /// only its own assignments.
    pub fn rendezvous_weight(&self, assignment: &str) -> u64 {
        let mut hash = Sha256::new();
        hash.update(assignment.as_bytes());
        hash.update(self.address.to_string().as_bytes());
        u64::from_be_bytes(hash.finalize()[..8].try_into().expect("eight bytes"))
    }
}

impl Peer {
    /// Returns the rendezvous distance of this peer for an assignment, weighted by the
    /// peer's capacity (`strength`). The peer with the lowest distance is chosen, so
    /// each peer is chosen in proportion to its capacity.
    pub fn rendezvous_distance(&self, assignment: &str, strength: u32) -> f64 {
        let mut hash = std::hash::DefaultHasher::new();
        std::hash::Hash::hash(&(assignment, self.address), &mut hash);
        let part = (std::hash::Hasher::finish(&hash) >> 11) as f64 / (1u64 << 53) as f64;
        -part.max(f64::MIN_POSITIVE).ln() / f64::from(strength.max(1))
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:08x}", self.address, self.incarnation as u32)
    }
}
