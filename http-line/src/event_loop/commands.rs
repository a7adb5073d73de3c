//! Execution of the commands from the handles.

use super::*;
use crate::request_id::{sequence_of, token_of};

/// Factor on the time to send a response: small responses that are queued later are sent
/// earlier.
const SEND_TIME_FACTOR: f64 = 1.25;

impl EventLoop {
    /// Runs all queued commands. Returns false if the event loop is to end.
    pub(super) fn run_commands(&mut self) -> bool {
        while !self.commands.is_empty() || !self.changed_connections.is_empty() {
            while let Ok(command) = self.commands.try_recv() {
                match command {
                    Command::Respond {
                        request_id,
                        response,
                    } => self.respond(request_id, response),
                    Command::Call { call, started } => self.begin_call(*call, started),
                    Command::CancelCall { id } => self.cancel_call(id),
                    Command::ExtendCall { id, deadline } => self.extend_call(id, deadline),
                    Command::SetLimits(limits) => {
                        self.limits = limits;
                        self.change_server_connections(|_| {});
                    }
                    Command::Drain { deadline } => {
                        self.draining = true;
                        self.finish_deadline = deadline;
                        self.pacer.use_full_rate();
                        self.change_server_connections(ServerConnection::drain);
                    }
                    Command::Finish => self.begin_finish(),
                    Command::Close => return false,
                }
            }
            for token in std::mem::take(&mut self.changed_connections) {
                self.drive(token);
            }
        }
        true
    }

    pub(super) fn begin_finish(&mut self) {
        self.finishing = true;
        self.draining = true;
        self.pacer.use_full_rate();
        self.stop_accepting();
        let deadline = self.finish_deadline;
        self.change_server_connections(|server| server.finish(deadline));
        self.read_before_close();
    }

    /// Marks the changed connections as readable, so that pending input is read before
    /// they are closed.
    fn read_before_close(&mut self) {
        for token in &self.changed_connections {
            if let Some(connection) = self.connections.get_mut(token) {
                connection.readable = true;
            }
        }
    }

    /// Applies `change` to all client connections and queues them for processing.
    fn change_server_connections(&mut self, change: impl Fn(&mut ServerConnection)) {
        for (token, connection) in &mut self.connections {
            if let Role::Server {
                connection: server, ..
            } = &mut connection.role
            {
                change(server);
                self.changed_connections.push(*token);
            }
        }
    }

    fn respond(&mut self, id: u64, response: Response) {
        let token = token_of(id);
        let response = self.response_in_time(response);
        let Some(mut connection) = self.connections.remove(&token) else {
            return;
        };
        let mut dropped = Vec::new();
        if let Role::Server {
            connection: server, ..
        } = &mut connection.role
        {
            dropped = server.respond(sequence_of(id), response, self.now);
            // Counted at once: the next response may be limited.
            let remaining = server.output.remaining();
            self.count_unsent(&mut connection, remaining);
        }
        self.connections.insert(token, connection);
        if self.changed_connections.last() != Some(&token) {
            self.changed_connections.push(token);
        }
        for sequence in dropped {
            self.handler.on_disconnect(request_id(token, sequence));
        }
    }

    /// Returns the response, or its replacement if the link cannot send it in time.
    fn response_in_time(&self, mut response: Response) -> Response {
        let Some(limit) = response.send_limit.take() else {
            return response;
        };
        let bytes = self.unsent_bytes + response.body.len();
        // The current rate may rise again, and does during a shutdown.
        let send_time = self.pacer.shortest_time_to_send(bytes);
        let is_late = |time: Duration| self.now + time.mul_f64(SEND_TIME_FACTOR) > limit.deadline;
        match send_time.is_some_and(is_late) {
            true => Response {
                send_limit: None,
                ..*limit.otherwise
            },
            false => response,
        }
    }

    fn cancel_call(&mut self, id: u64) {
        if let Some(token) = self.calls.remove(&id) {
            if let Some(connection) = self.connections.get(&token) {
                connection.reset_on_close();
            }
            self.close(token);
        }
    }

    fn extend_call(&mut self, id: u64, deadline: Instant) {
        let token = self.calls.get(&id);
        if let Some(connection) = token.and_then(|token| self.connections.get_mut(token))
            && let Role::Client(client) = &mut connection.role
        {
            client.extend_deadline(deadline);
        }
    }
}
