//! The platform's balancer: asks each edge whether it is ready, and chooses
//! among those that are.
use super::http_message::HttpMessage;
use super::machines::Machines;
use crate::prelude::*;
use std::io::BufReader;

/// How often each edge is asked.
const INTERVAL: Duration = Duration::from_secs(1);
/// An edge without an answer by then has missed.
const TIMEOUT: Duration = Duration::from_millis(500);
/// After so many misses an edge gets no new connections.
const MAX_MISSES: u32 = 2;

/// Chooses machines for new connections.
pub(super) struct Balancer {
    ready: Vec<AtomicBool>,
}

impl Balancer {
    /// Watches the edges of all machines until `stop` is set.
    pub(super) fn start(
        machines: &Arc<Machines>,
        count: usize,
        stop: &Arc<AtomicBool>,
    ) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer {
            ready: (0..count).map(|_| AtomicBool::new(false)).collect(),
        });
        for machine in 0..count {
            let (balancer, stop) = (balancer.clone(), stop.clone());
            let address = machines.readiness(machine);
            thread::spawn(move || balancer.watch(machine, address, &stop));
        }
        balancer
    }

    fn watch(&self, machine: usize, address: SocketAddr, stop: &AtomicBool) {
        let mut misses = MAX_MISSES;
        while !stop.load(Ordering::Acquire) {
            misses = if is_ready(address) { 0 } else { misses + 1 };
            self.ready[machine].store(misses < MAX_MISSES, Ordering::Release);
            thread::sleep(INTERVAL);
        }
    }

    /// The number of machines that are ready.
    pub(super) fn ready_count(&self) -> usize {
        let is_set = |flag: &&AtomicBool| flag.load(Ordering::Acquire);
        self.ready.iter().filter(is_set).count()
    }

    /// A ready machine; any if less than half are ready.
    pub(super) fn choose(&self, random: &mut SeededRandom) -> usize {
        let ready: Vec<usize> = (0..self.ready.len())
            .filter(|machine| self.ready[*machine].load(Ordering::Acquire))
            .collect();
        if ready.len() * 2 < self.ready.len() {
            return random.below(self.ready.len() as u64) as usize;
        }
        ready[random.below(ready.len() as u64) as usize]
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        let answer = HttpMessage::read(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}
