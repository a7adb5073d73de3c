//! Carries out what the state machine of a node puts out.
use crate::prelude::*;

/// Events whose times are recorded.
const MEMBERSHIP_EVENTS: [Event; 4] = [
    Event::DiskBlank,
    Event::DiskRecovered,
    Event::MemberReplaced,
    Event::MemberRemoved,
];

/// Within it a node sees whether an origin accepts its connection.
const WATCH_DELAY: Duration = Duration::from_millis(1);
/// Between the end of a drained node and its next start: calls already read
/// are answered meanwhile.
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
                self.cancelled.insert((node, run, id));
            }
            Output::ShutdownComplete => self.shutdown_complete(node),
        }
    }

    fn schedule_response(&mut self, node: usize, id: u64, answer: ClientResponse) {
        let run = self.nodes[node].run;
        let span = self.micros(50, 500);
        let sent = SimEvent::ResponseSent {
            node,
            run,
            id,
            answer,
        };
        self.after(span, sent);
    }

    fn schedule_call(&mut self, node: usize, id: u64, call: Call) {
        let run = self.nodes[node].run;
        let span = self.micros(50, 1000);
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
        self.watches
            .extend(origin.map(|origin| (node, run, origin)));
        let watched = SimEvent::Watched {
            node,
            run,
            address,
            open: origin.is_some(),
        };
        self.after(WATCH_DELAY, watched);
    }

    fn log(&mut self, node: usize, event: Event, text: &str) {
        if event == Event::AbandonedWork {
            self.record("abandoned-work", text, 0, false);
        }
        let place = self.nodes[node].place;
        if self.trace {
            println!(
                "{:9.4} {place:?} E{:03} {event:?} {text}",
                self.seconds(),
                event as u32
            );
        }
        *self.notes.entry(event).or_default() += 1;
        if MEMBERSHIP_EVENTS.contains(&event) {
            self.membership.push((self.now, place, event));
        }
    }

    fn publish(&mut self, node: usize, state: PublishedState) {
        match state {
            PublishedState::Fence { until, ready } => {
                self.nodes[node].fence = until;
                self.nodes[node].ready = ready;
            }
            PublishedState::CommittedConfiguration { .. } | PublishedState::LinkDelay(_) => {}
            PublishedState::Assignments(list) => self.assignments_shown(node, list),
            PublishedState::Configuration(table) => self.nodes[node].image = Some(table),
        }
    }

    /// A retired node ends for good; any other is started again.
    fn shutdown_complete(&mut self, node: usize) {
        let run = self.nodes[node].run;
        if self.nodes[node].retiring {
            return self.kill(node);
        }
        if !std::mem::replace(&mut self.nodes[node].ending, true) {
            self.after(RESTART_DELAY, SimEvent::Restarted { node, run });
        }
    }

    /// No assignment is ever held by two live nodes.
    pub(crate) fn assignments_shown(&mut self, node: usize, list: Vec<String>) {
        let others = |assignment: &String| {
            self.edges().find(|other| {
                *other != node
                    && self.nodes[*other].live(self.now)
                    && self.nodes[*other].assignments.contains(assignment)
            })
        };
        if self.nodes[node].live(self.now)
            && let Some((assignment, other)) = list
                .iter()
                .find_map(|assignment| Some((assignment.clone(), others(assignment)?)))
        {
            self.record(
                "duty-held-twice",
                &format!(
                    "{assignment} by {:?} and {:?}",
                    self.nodes[node].place, self.nodes[other].place
                ),
                0,
                false,
            );
        }
        self.nodes[node].assignments = list;
    }
}
