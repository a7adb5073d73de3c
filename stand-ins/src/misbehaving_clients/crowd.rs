//! Many clients at once, whose connections stay open until the crowd is dropped.
use super::Sending;
use crate::prelude::*;

/// Time without progress after which a client stops sending; its connection stays open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a client's connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections of clients that have stopped sending.
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects one client for each sending, all at once, and returns once every client
    /// has sent everything, was stopped by the server, or made no progress.
    pub fn send(address: SocketAddr, sendings: Vec<Sending>) -> Crowd {
        let clients: Vec<_> = sendings
            .into_iter()
            .map(|sending| thread::spawn(move || send_and_stay(address, &sending)))
            .collect();
        let connections = clients
            .into_iter()
            .filter_map(|client| client.join().expect("a client does not panic"))
            .collect();
        Crowd { connections }
    }

    /// Number of connections that were established.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if no connection was established.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}

fn send_and_stay(address: SocketAddr, sending: &Sending) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    let _ = sending.write(&mut stream);
    Some(stream)
}
