//! Stand-in for the platform's load balancer: checks the readiness of each edge
//! and chooses among the ready ones.
use super::http_message::HttpMessage;
use super::machines::Machines;
use crate::prelude::*;
use std::io::BufReader;

/// Interval of the readiness checks of an edge.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of consecutive failed checks after which an edge gets no new
/// connections.
const MAX_FAILURES: u32 = 2;

/// Chooses machines for new connections.
pub(super) struct Balancer {
    ready: Vec<AtomicBool>,
}

impl Balancer {
    /// Starts to check the edges of all machines until `stop` is set.
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
        let mut failures = MAX_FAILURES;
        while !stop.load(Ordering::Acquire) {
            failures = if is_ready(address) { 0 } else { failures + 1 };
            self.ready[machine].store(failures < MAX_FAILURES, Ordering::Release);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Number of machines that are ready.
    pub(super) fn ready_count(&self) -> usize {
        let is_set = |flag: &&AtomicBool| flag.load(Ordering::Acquire);
        self.ready.iter().filter(is_set).count()
    }

    /// Chooses a ready machine, or any machine if less than half are ready.
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
    let check = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, CHECK_TIMEOUT)?;
        stream.set_read_timeout(Some(CHECK_TIMEOUT))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        let response = HttpMessage::read(&mut BufReader::new(stream))?;
        Ok(response.map_or(0, |response| response.status()))
    };
    check().is_ok_and(|status| status == 200)
}
