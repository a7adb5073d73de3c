//! Reads and writes on client connections.

use super::*;

/// Maximum time for which input is discarded after the sending side was shut down.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of input bytes discarded after the sending side was shut down.
const MAX_LINGER_BYTES: usize = 2 * 1024 * 1024;

/// Result of one write that the pacer limits.
struct PacedWriteProgress {
    progress: WriteProgress,
    /// True if the write stopped because the allowance of the pacer was used up, and
    /// not because the socket buffer was full.
    allowance_spent: bool,
}

impl EventLoop {
    /// Writes responses and reads requests until the socket would block. Returns false
    /// if the connection must be closed.
    pub(super) fn drive_server(&mut self, token: usize, connection: &mut Connection) -> bool {
        let mut requests = Vec::new();
        for _ in 0..MAX_STEPS {
            if self.write_responses(token, connection).is_err()
                || self.read_requests(connection, &mut requests).is_err()
            {
                return false;
            }
            self.dispatch_requests(token, connection, requests.drain(..));
            self.report_disconnect(token, connection);
            let Role::Server {
                connection: server, ..
            } = &mut connection.role
            else {
                return true;
            };
            let reads_more = connection.readable && server.wants_read(&self.limits);
            if server.is_idle_at_finish(&self.limits, self.now) && !reads_more {
                server.reject_request_in_transit();
            }
            server.count_held_memory(&self.limits);
            if server.is_finished() {
                return self.begin_linger(connection);
            }
            let writes_more = !server.output.is_empty()
                && !connection.write_blocked
                && !connection.queued_in_pacer;
            if !reads_more && !writes_more {
                return true;
            }
        }
        self.ready.push(token);
        true
    }

    /// Writes as much as the pacer allows and the socket accepts. An error means that
    /// the connection is broken.
    fn write_responses(&mut self, token: usize, connection: &mut Connection) -> io::Result<()> {
        let Role::Server {
            connection: server, ..
        } = &mut connection.role
        else {
            return Ok(());
        };
        if server.output.is_empty() || connection.write_blocked || connection.queued_in_pacer {
            return Ok(());
        }
        let allowance = self.pacer.allowance(self.now);
        let paced = write_paced(&mut server.output, &mut connection.stream, allowance);
        if paced.progress.written > 0 {
            server.record_write(self.now);
            self.pacer.spend(paced.progress.written);
        }
        if server.output.is_empty() {
            self.pacer.complete(token);
        }
        match paced.progress.result {
            Err(error) if error.kind() == ErrorKind::WouldBlock && paced.allowance_spent => {
                connection.queued_in_pacer = true;
                self.pacer.enqueue(token, server.output.remaining());
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => connection.write_blocked = true,
            result => return result,
        }
        Ok(())
    }

    /// Reads once if there may be input. An error means that the connection is broken.
    fn read_requests(
        &mut self,
        connection: &mut Connection,
        requests: &mut Vec<PipelinedRequest>,
    ) -> io::Result<()> {
        let Role::Server {
            connection: server, ..
        } = &mut connection.role
        else {
            return Ok(());
        };
        server.resume(&self.limits, self.now, requests);
        if !connection.readable || !server.wants_read(&self.limits) {
            return Ok(());
        }
        match connection.stream.read(&mut self.read_buffer) {
            Ok(0) => {
                connection.readable = false;
                connection.read_closed = true;
                server.close_read();
            }
            Ok(size) => {
                // A short read has emptied the socket, unless the end of the stream
                // follows.
                connection.readable = size == self.read_buffer.len() || connection.read_closed;
                self.make_room(server.partial_body_bytes().unwrap_or(0), size);
                server.feed(&self.read_buffer[..size], &self.limits, self.now, requests);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => connection.readable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Passes complete requests to the handler, after counting the connection as busy.
    fn dispatch_requests(
        &self,
        token: usize,
        connection: &mut Connection,
        requests: impl ExactSizeIterator<Item = PipelinedRequest>,
    ) {
        let Role::Server { listener, .. } = connection.role else {
            return;
        };
        if requests.len() > 0 && !connection.busy {
            connection.busy = true;
            self.shared.busy.fetch_add(1, Ordering::SeqCst);
        }
        for PipelinedRequest { sequence, request } in requests {
            let id = request_id(token, sequence);
            self.handler.on_request(id, listener, request);
        }
    }

    /// Reports the requests of a closed connection as disconnected, even if the
    /// connection is not being read.
    fn report_disconnect(&self, token: usize, connection: &mut Connection) {
        if !connection.read_closed {
            return;
        }
        if let Role::Server {
            connection: server, ..
        } = &mut connection.role
        {
            for sequence in server.client_disconnected() {
                self.handler.on_disconnect(request_id(token, sequence));
            }
        }
    }

    /// Shuts down the sending side of a finished connection and starts to linger.
    /// Returns false if the connection must be closed at once.
    fn begin_linger(&mut self, connection: &mut Connection) -> bool {
        let is_input_exhausted = match &connection.role {
            Role::Server {
                connection: server, ..
            } => server.is_input_exhausted(),
            _ => true,
        };
        let is_done = is_input_exhausted && !connection.readable;
        if is_done || !self.connection_counts.may_linger() {
            return false;
        }
        let shutdown = connection.stream.shutdown(std::net::Shutdown::Write);
        if shutdown.is_err() {
            return false;
        }
        self.connection_counts.record_linger();
        connection.role = Role::Linger {
            until: self.now + LINGER_TIME,
            remaining: MAX_LINGER_BYTES,
        };
        self.discard_input(connection)
    }

    /// Discards input that a client still sends. Returns false if the connection must
    /// be closed.
    pub(super) fn discard_input(&mut self, connection: &mut Connection) -> bool {
        let Role::Linger { remaining, .. } = &mut connection.role else {
            return true;
        };
        while connection.readable {
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return false,
                Ok(size) if size >= *remaining => return false,
                Ok(size) => {
                    let discarded = &self.shared.discarded_bytes;
                    discarded.fetch_add(size as u64, Ordering::Relaxed);
                    *remaining -= size;
                    connection.readable = size == self.read_buffer.len() || connection.read_closed;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => connection.readable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}

/// Writes at most `allowance` bytes.
fn write_paced(
    output: &mut SendQueue,
    stream: &mut TcpStream,
    allowance: usize,
) -> PacedWriteProgress {
    if allowance >= output.remaining() {
        return PacedWriteProgress {
            progress: output.write(stream),
            allowance_spent: false,
        };
    }
    let mut limited = LimitedSink {
        sink: stream,
        remaining: allowance,
    };
    let progress = output.write(&mut limited);
    PacedWriteProgress {
        progress,
        allowance_spent: limited.remaining == 0,
    }
}
