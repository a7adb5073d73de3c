//! Applies the outputs of a node's state machine.
use crate::prelude::*;

/// Membership and disk events whose times are recorded.
const MEMBERSHIP_EVENTS: [Event; 4] = [
    Event::DiskBlank,
    Event::DiskRecovered,
    Event::MemberReplaced,
    Event::MemberRemoved,
];

/// Delay until a node learns whether an origin accepted its connection.
const WATCH_DELAY: Duration = Duration::from_millis(1);
/// Delay between the end of a shutdown and the restart, in which responses to requests
/// already read are sent.
const RESTART_DELAY: Duration = Duration::from_millis(300);

impl World {
    pub(crate) fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(node, to, message),
            Output::Store { serial, record } => self.store(node, serial, false, record),
            Output::StoreSnapshot { serial, record } => self.store(node, serial, true, record),
            Output::ClientResponse { id, response } => self.schedule_response(node, id, response),
            Output::Call { id, call } => self.schedule_call(node, id, call),
            Output::OperatorResponse { id, response } => self.on_operator_response(id, response),
            Output::WatchConnection { address } => self.watch_connection(node, address),
            Output::Log { event, text } => self.log(node, event, &text),
            Output::Publish(state) => self.publish(node, state),
            Output::ExtendCall { .. } => {}
            Output::CancelCall { id } => {
                let run = self.nodes[node].run;
                self.cancelled_calls.insert((node, run, id));
            }
            Output::ShutdownComplete => self.shutdown_complete(node),
        }
    }

    fn schedule_response(&mut self, node: usize, id: u64, response: ClientResponse) {
        let run = self.nodes[node].run;
        let span = self.random_micros(50, 500);
        let sent = SimEvent::ResponseSent {
            node,
            run,
            id,
            response,
        };
        self.after(span, sent);
    }

    fn schedule_call(&mut self, node: usize, id: u64, call: Call) {
        let run = self.nodes[node].run;
        let span = self.random_micros(50, 1000);
        let starts = SimEvent::CallStarts {
            node,
            run,
            id,
            call: Box::new(call),
        };
        self.after(span, starts);
    }

    fn watch_connection(&mut self, node: usize, address: SocketAddr) {
        let run = self.nodes[node].run;
        let origin = self.origins.iter().position(|origin| {
            origin.origin.address == address && origin.behavior != OriginBehavior::Down
        });
        self.open_connections
            .extend(origin.map(|origin| (node, run, origin)));
        let connection_changed = SimEvent::ConnectionChanged {
            node,
            run,
            address,
            open: origin.is_some(),
        };
        self.after(WATCH_DELAY, connection_changed);
    }

    fn log(&mut self, node: usize, event: Event, text: &str) {
        if event == Event::AbandonedWork {
            self.record("abandoned-work", text, 0, false);
        }
        let node_id = self.nodes[node].node_id;
        if self.trace {
            println!(
                "{:9.4} {node_id:?} E{:03} {event:?} {text}",
                self.seconds(),
                event as u32
            );
        }
        *self.event_counts.entry(event).or_default() += 1;
        if MEMBERSHIP_EVENTS.contains(&event) {
            self.membership_events.push((self.now, node_id, event));
        }
    }

    fn publish(&mut self, node: usize, state: PublishedState) {
        match state {
            PublishedState::Fence { until, ready } => {
                self.nodes[node].lease_end = until;
                self.nodes[node].ready = ready;
            }
            PublishedState::CommittedConfiguration { .. } | PublishedState::LinkDelay(_) => {}
            PublishedState::Assignments(list) => self.publish_assignments(node, list),
            PublishedState::Configuration(table) => self.nodes[node].route_table = Some(table),
        }
    }

    /// Ends a retiring node for good; schedules the restart of any other.
    fn shutdown_complete(&mut self, node: usize) {
        let run = self.nodes[node].run;
        if self.nodes[node].retiring {
            return self.kill(node);
        }
        if !std::mem::replace(&mut self.nodes[node].shutdown_finished, true) {
            self.after(RESTART_DELAY, SimEvent::NodeRestarts { node, run });
        }
    }

    /// Stores a node's published assignments and records a violation if another live node holds
    /// one of them.
    pub(crate) fn publish_assignments(&mut self, node: usize, list: Vec<String>) {
        let other_holder = |assignment: &String| {
            self.edges().find(|other| {
                *other != node
                    && self.nodes[*other].live(self.now)
                    && self.nodes[*other].assignments.contains(assignment)
            })
        };
        if self.nodes[node].live(self.now)
            && let Some((assignment, other)) = list
                .iter()
                .find_map(|assignment| Some((assignment.clone(), other_holder(assignment)?)))
        {
            self.record(
                "duty-held-twice",
                &format!(
                    "{assignment} by {:?} and {:?}",
                    self.nodes[node].node_id, self.nodes[other].node_id
                ),
                0,
                false,
            );
        }
        self.nodes[node].assignments = list;
    }
}
