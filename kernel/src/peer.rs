//! Processes of the fleet, and how work is spread over them.
use crate::prelude::*;

/// The system has no randomness.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("no randomness: {0}")]
pub struct RandomnessError(getrandom::Error);

/// A number that no other process, disk or change has; never 0.
pub fn new_incarnation() -> Result<u64, RandomnessError> {
    let mut bytes = [0u8; 8];
    getrandom::fill(&mut bytes).map_err(RandomnessError)?;
    Ok(u64::from_be_bytes(bytes).max(1))
}

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens for peers; its name.
    pub address: SocketAddr,
    /// Tells one process (edge) or one disk (control node) at that address from
    /// the next, so that nothing an earlier one sent is attributed to a later.
    pub incarnation: u64,
}

impl Peer {
    /// The peer at an address.
    pub fn new(address: SocketAddr, incarnation: u64) -> Peer {
        Peer {
            address,
            incarnation,
        }
    }

    /// Whether an entry of the membership table (incarnation 0: whoever is
    /// there) names this peer.
    pub fn matches(&self, peer: &Peer) -> bool {
        self.address == peer.address
            && (self.incarnation == 0 || self.incarnation == peer.incarnation)
    }

    /// Rendezvous weight of this peer for a named assignment: the live peer
    /// with the highest weight is wanted, so one peer that comes or goes moves
    /// only its own.
    pub fn weight(&self, assignment: &str) -> u64 {
        let mut hash = Sha256::new();
        hash.update(assignment.as_bytes());
        hash.update(self.address.to_string().as_bytes());
        u64::from_be_bytes(hash.finalize()[..8].try_into().expect("eight bytes"))
    }
}

impl Peer {
    /// The same among peers of unlike weights: each is wanted for its part of
    /// the sum. The peer with the lowest distance wins.
    pub fn distance(&self, assignment: &str, strength: u32) -> f64 {
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
