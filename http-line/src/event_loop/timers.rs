//! Timers of the connections and listeners.

use super::*;
use crate::timers::Timer;

impl EventLoop {
    /// Time until the next deadline, after correcting outdated timer entries.
    pub(super) fn poll_timeout(&mut self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        self.refresh_first_timer();
        let first = self.timers.first();
        let due = first
            .map(|timer| self.timers.time_of(timer.tick))
            .into_iter()
            .chain(self.accept_retry_at)
            .chain(self.listeners_close_at)
            .chain(self.finish_deadline.filter(|_| !self.finishing))
            .chain(self.pacer.due())
            .min()?;
        Some(due.saturating_duration_since(Instant::now()))
    }

    /// Removes or postpones outdated entries until the first one matches the deadline
    /// of its connection.
    fn refresh_first_timer(&mut self) {
        while let Some(Timer { tick, token }) = self.timers.first() {
            let Some(connection) = self
                .connections
                .get_mut(&token)
                .filter(|connection| connection.armed_tick == Some(tick))
            else {
                self.timers.pop();
                continue;
            };
            let due = connection.due(&self.limits);
            let due_tick = due.map(|due| self.timers.tick_of(due));
            if due_tick.is_some_and(|due_tick| due_tick <= tick) {
                break;
            }
            connection.armed_tick = due_tick;
            self.timers.pop();
            if let Some(due_tick) = due_tick {
                self.timers.push(due_tick, token);
            }
        }
    }

    /// Handles all expired timers.
    pub(super) fn fire_timers(&mut self) {
        while let Some(Timer { tick, token }) = self
            .timers
            .first()
            .filter(|timer| self.timers.time_of(timer.tick) <= self.now)
        {
            self.timers.pop();
            let Some(connection) = self
                .connections
                .get_mut(&token)
                .filter(|connection| connection.armed_tick == Some(tick))
            else {
                continue;
            };
            connection.armed_tick = None;
            let due = connection.due(&self.limits);
            if due.is_some_and(|due| due <= self.now) {
                self.time_out(token);
            } else {
                self.arm_timer(token);
            }
        }
        self.retry_accept();
        self.close_due_listeners();
        let is_due = |deadline| deadline <= self.now;
        if !self.finishing && self.finish_deadline.is_some_and(is_due) {
            self.begin_finish();
        }
    }

    fn time_out(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let mut finished = None;
        let closes = match &mut connection.role {
            Role::Server {
                connection: server, ..
            } if server.is_idle_at_finish(&self.limits, self.now) => {
                connection.readable = true;
                false
            }
            Role::Server {
                connection: server, ..
            } => server.time_out(),
            Role::Linger { .. } => true,
            Role::Client(client) => {
                finished = client.time_out();
                true
            }
        };
        if finished.is_some() {
            connection.reset_on_close();
        }
        if closes {
            self.close(token);
        } else {
            self.drive(token);
        }
        self.report_outcome(finished);
    }

    /// Adds a timer entry for the deadline of the connection, unless it has an earlier
    /// entry.
    pub(super) fn arm_timer(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Some(due) = connection.due(&self.limits) else {
            return;
        };
        let tick = self.timers.tick_of(due);
        if connection.armed_tick.is_none_or(|armed| tick < armed) {
            connection.armed_tick = Some(tick);
            self.timers.push(tick, token);
        }
    }
}
