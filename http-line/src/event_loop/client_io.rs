//! Reads and writes on connections for calls.

use super::*;

impl EventLoop {
    /// Writes the request and reads the response until the socket would block.
    /// Returns false if the connection must be closed.
    pub(super) fn drive_client(
        &mut self,
        token: usize,
        connection: &mut Connection,
        finished: &mut Option<FinishedExchange>,
    ) -> bool {
        let Role::Client(client) = &connection.role else {
            return true;
        };
        if client.is_idle() {
            return !connection.readable && !connection.read_closed;
        }
        for _ in 0..MAX_STEPS {
            if let Err(error) = write_request(connection) {
                *finished = end_exchange(connection, false, &format!("connect: {error}"));
                return false;
            }
            if connection.readable {
                *finished = self.read_response(connection);
            }
            if let Some(finished) = finished {
                return self.release_client(token, connection, finished);
            }
            if !connection.readable {
                return true;
            }
        }
        self.ready.push(token);
        true
    }

    fn read_response(&mut self, connection: &mut Connection) -> Option<FinishedExchange> {
        let Role::Client(client) = &mut connection.role else {
            return None;
        };
        match connection.stream.read(&mut self.read_buffer) {
            Ok(0) => client.end(true, "the peer closed the connection"),
            Ok(size) => {
                connection.readable = size == self.read_buffer.len() || connection.read_closed;
                client.feed(&self.read_buffer[..size], &self.limits)
            }
            Err(error)
                if error.kind() == ErrorKind::WouldBlock
                    && connection.read_closed
                    && !client.output.is_empty()
                    && client.is_sent() =>
            {
                client.end(false, "the peer stopped reading")
            }
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected
                ) =>
            {
                connection.readable = false;
                None
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => None,
            Err(error) => client.end(false, &format!("connection: {error}")),
        }
    }

    /// Returns a reusable connection to the pool. Returns false if it must be closed.
    fn release_client(
        &mut self,
        token: usize,
        connection: &mut Connection,
        finished: &FinishedExchange,
    ) -> bool {
        let is_clean = !connection.readable && !connection.read_closed;
        let Role::Client(client) = &mut connection.role else {
            return true;
        };
        let Some(reusable_for) = finished.reusable_for.filter(|_| is_clean) else {
            return false;
        };
        client.allow_reuse(self.now + reusable_for);
        self.pool.put(client.address, token);
        true
    }
}

/// Writes as much of the request as the socket accepts. An error means that no byte
/// of the call was written.
fn write_request(connection: &mut Connection) -> io::Result<()> {
    let Role::Client(client) = &mut connection.role else {
        return Ok(());
    };
    if client.output.is_empty() || connection.write_blocked {
        return Ok(());
    }
    let progress = client.output.write(&mut connection.stream);
    if progress.written > 0 {
        client.mark_sent();
    }
    match progress.result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => connection.write_blocked = true,
        // The peer may have sent a response before it stopped reading.
        Err(_) if client.is_sent() => {
            connection.write_blocked = true;
            connection.readable = true;
            connection.read_closed = true;
        }
        result => return result,
    }
    Ok(())
}

fn end_exchange(
    connection: &mut Connection,
    is_orderly: bool,
    reason: &str,
) -> Option<FinishedExchange> {
    match &mut connection.role {
        Role::Client(client) => client.end(is_orderly, reason),
        _ => None,
    }
}
