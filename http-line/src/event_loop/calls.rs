//! Starting of calls, over idle or new connections.

use super::*;

/// TCP user timeout of connections for calls: a peer that acknowledges no data for
/// this time is regarded as disconnected.
const CLIENT_TCP_TIMEOUT: Duration = Duration::from_millis(1500);

impl EventLoop {
    pub(super) fn begin_call(&mut self, call: Call, started: Instant) {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = self.try_begin_call(&call, started) {
            self.handler.on_response(call.id, Err(error));
        }
    }

    /// Writes the call to a connection. An error means that nothing was written.
    fn try_begin_call(&mut self, call: &Call, started: Instant) -> Result<(), ExchangeError> {
        call.check()
            .map_err(|invalid| ExchangeError::NotSent(invalid.to_string()))?;
        self.now = Instant::now();
        if self.now >= started + call.timeout {
            return Err(ExchangeError::NotSent(
                "the timeout passed before the call was started".into(),
            ));
        }
        if self.begin_on_idle(call, started) {
            return Ok(());
        }
        if self.pool.open_count(call.address) >= call.max_connections
            && let Some(token) = self.pool.take(call.address, |_| true)
        {
            // This idle connection must not be used for the call: it is closed so that
            // another can be opened.
            self.close(token);
        }
        if self.pool.open_count(call.address) >= call.max_connections {
            return Err(ExchangeError::NotSent("all connections are busy".into()));
        }
        if self.pool.total_open_count() >= self.max_call_connections
            && let Some(token) = self.pool.take_any()
        {
            self.close(token);
        }
        self.begin_on_new(call, started)
    }

    /// Writes the call to an idle connection. Returns false if no idle connection can
    /// be used.
    fn begin_on_idle(&mut self, call: &Call, started: Instant) -> bool {
        while let Some(token) = self.take_idle(call) {
            let Some(mut connection) = self.connections.remove(&token) else {
                continue;
            };
            if let Role::Client(client) = &mut connection.role
                && client.is_reusable(self.now)
                && !connection.readable
            {
                client.begin(call, started, self.now);
                let progress = client.output.write(&mut connection.stream);
                if progress.written > 0 || progress.would_block() {
                    self.shared.reused.fetch_add(1, Ordering::Relaxed);
                    self.add_call(token, connection, call.id, progress);
                    return true;
                }
            }
            self.release(token, connection);
        }
        false
    }

    /// Takes the most recently used idle connection that has not carried an earlier
    /// attempt of this request.
    fn take_idle(&mut self, call: &Call) -> Option<usize> {
        let connections = &self.connections;
        self.pool.take(call.address, |token| {
            match connections.get(&token).map(|connection| &connection.role) {
                Some(Role::Client(client)) => !client.recently_carried(call),
                _ => true,
            }
        })
    }

    fn begin_on_new(&mut self, call: &Call, started: Instant) -> Result<(), ExchangeError> {
        let connect_failed = |error: io::Error| ExchangeError::NotSent(format!("connect: {error}"));
        let mut stream = TcpStream::connect(call.address).map_err(connect_failed)?;
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(CLIENT_TCP_TIMEOUT));
        let token = self.next_token;
        self.next_token += 1;
        let mut client = ClientConnection::new(call.address).with_byte_budget(&self.byte_budget);
        client.begin(call, started, self.now);
        let WriteProgress { written, result } = client.output.write(&mut stream);
        let result = match result {
            Err(error) if is_connecting(&error) => Err(ErrorKind::WouldBlock.into()),
            Err(error) if written == 0 => return Err(connect_failed(error)),
            result => result,
        };
        let mut connection = Connection::new(stream, Role::Client(client));
        connection.watches_writable = result.is_err();
        let interest = if connection.watches_writable {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        let registry = self.poll.registry();
        let registered = registry.register(&mut connection.stream, Token(token), interest);
        self.shared.connects.fetch_add(1, Ordering::Relaxed);
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        self.pool.record_opened(call.address);
        let result = registered.and(result);
        self.add_call(
            token,
            connection,
            call.id,
            WriteProgress { written, result },
        );
        Ok(())
    }

    /// Registers a call after its first write, to wait for the rest of the exchange.
    fn add_call(
        &mut self,
        token: usize,
        mut connection: Connection,
        id: u64,
        progress: WriteProgress,
    ) {
        if let Role::Client(client) = &mut connection.role
            && progress.written > 0
        {
            client.mark_sent();
        }
        connection.write_blocked = progress.would_block();
        let is_broken = progress.result.is_err() && !connection.write_blocked;
        connection.readable |= is_broken;
        self.calls.insert(id, token);
        self.connections.insert(token, connection);
        if is_broken {
            self.changed_connections.push(token);
        }
        self.watch_writable(token);
        self.arm_timer(token);
    }

    /// Passes the outcome of a call to the handler, if one has ended.
    pub(super) fn report_outcome(&mut self, finished: Option<FinishedExchange>) {
        if let Some(FinishedExchange { id, outcome, .. }) = finished {
            self.calls.remove(&id);
            self.handler.on_response(id, outcome);
        }
    }
}

/// Returns true if a write failed only because the connection is not established
/// yet.
fn is_connecting(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}
