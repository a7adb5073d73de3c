//! Counts messages, bytes and steps by fleet size, and fits their slopes.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The control traffic of a fleet without callers: real parts and real frames,
/// every message a millisecond on its way, every disk synced after two. Counts
/// hang on the size alone; times are this machine's.
pub struct Capacity {
    now: Duration,
    serial: u64,
    queue: BTreeMap<(Duration, u64), Coming>,
    nodes: Vec<Hollow>,
    by_address: HashMap<SocketAddr, usize>,
    answers: BTreeMap<u64, (Duration, OperatorResponse)>,
    tally: Tally,
}

/// A node whose origins and callers are not there.
struct Hollow {
    role: Role,
    peer: Peer,
    part: Option<Box<dyn StateMachine>>,
    until: Duration,
}

enum Coming {
    Tick(usize),
    Deliver {
        to: usize,
        from: Peer,
        message: Box<Message>,
    },
    Synced {
        node: usize,
        serial: u64,
    },
    Called {
        node: usize,
        id: u64,
        result: CallOutcome,
    },
    Watched {
        node: usize,
        address: SocketAddr,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Control,
    Edge,
}

/// What was counted since it was last taken.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub span: Duration,
    /// Frames and their bytes, by who sent them.
    pub sent: BTreeMap<(Role, &'static str), (u64, u64)>,
    /// Steps, time and longest, by what they took in.
    pub steps: BTreeMap<(Role, &'static str), (u64, Duration, Duration)>,
    /// Records and bytes to disk.
    pub records: (u64, u64),
    pub probes: u64,
}

/// One size, run through.
#[derive(Debug, Clone)]
pub struct Sized {
    pub edges: usize,
    pub control: usize,
    pub regions: usize,
    /// Two seconds in which nothing happens.
    pub quiet: Tally,
    /// A second in which one purge is asked for, and how long it took.
    pub purge: (Tally, Duration),
    /// The same with a configuration.
    pub configuration: (Tally, Duration),
    /// Five seconds in which an edge is gone.
    pub loss: Tally,
    /// Rows and bytes of each updates partition, as its owner lists it.
    pub state: Vec<(usize, u64)>,
    /// Bytes in use for the parts: one control node, one edge. None without the
    /// counting allocator.
    pub memory: Option<(u64, u64)>,
    /// The edges that were live throughout.
    pub live: usize,
}

/// Regions and zones of the target, and its origins.
const REGIONS: usize = 25;
const ZONES: usize = 80;
const ORIGINS_LISTED: usize = 150;
const WAY: Duration = Duration::from_millis(1);
const SYNC: Duration = Duration::from_millis(2);
const GATHER: Duration = Duration::from_millis(1000);
/// Begins once the fleet is founded and has its assignments.
const SETTLED: Duration = Duration::from_secs(8);
pub const SIZES: [usize; 4] = [16, 64, 256, 1100];
pub const CONTROL: usize = 12;

impl Capacity {
    fn new(edges: usize, control: usize) -> Capacity {
        let address =
            |kind: u8, at: usize| SocketAddr::from(([10, kind, (at >> 8) as u8, at as u8], 7000));
        let seeds: Vec<SocketAddr> = (0..control.min(3)).map(|at| address(1, at)).collect();
        let mut nodes = Vec::new();
        for at in 0..control {
            let gather = Some(Bootstrap::new(true, GATHER));
            let part = ControlNode::new(
                address(1, at),
                seeds.clone(),
                Replica::blank(1 + at as u64),
                true,
                gather,
                1 + at as u64,
            );
            nodes.push(Hollow {
                role: Role::Control,
                peer: part.me(),
                part: Some(Box::new(part)),
                until: Duration::ZERO,
            });
        }
        for at in 0..edges {
            // Regions first: a small fleet has one node in each.
            let zone = at % ZONES;
            let (region, zone) = (
                format!("region-{:02}", zone % REGIONS),
                format!("region-{:02}-{}", zone % REGIONS, zone / REGIONS),
            );
            let peer = Peer::new(address(2, at), 1000 + at as u64);
            let part = EdgeNode::new(
                peer,
                Locality {
                    zone,
                    ring: region.clone(),
                    region,
                    weight: 1,
                },
                seeds.clone(),
                true,
                64 << 20,
            );
            nodes.push(Hollow {
                role: Role::Edge,
                peer,
                part: Some(Box::new(part)),
                until: Duration::ZERO,
            });
        }
        let by_address = nodes
            .iter()
            .enumerate()
            .map(|(at, node)| (node.peer.address, at))
            .collect();
        let mut fleet = Capacity {
            now: Duration::ZERO,
            serial: 0,
            queue: BTreeMap::new(),
            nodes,
            by_address,
            answers: BTreeMap::new(),
            tally: Tally::default(),
        };
        for node in 0..fleet.nodes.len() {
            // Spread over the tick, as real starts are.
            let at = Duration::from_micros(node as u64 * 7919 % 50_000);
            fleet.after(at, Coming::Tick(node));
        }
        fleet
    }

    fn after(&mut self, span: Duration, what: Coming) {
        self.serial += 1;
        self.queue.insert((self.now + span, self.serial), what);
    }

    fn step(&mut self, node: usize, name: &'static str, input: Input) {
        let (role, now) = (self.nodes[node].role, self.now);
        let Some(part) = self.nodes[node].part.as_mut() else {
            return;
        };
        let began = Instant::now();
        let out = part.handle(now, input);
        let took = began.elapsed();
        let known = self.tally.steps.entry((role, name)).or_default();
        *known = (known.0 + 1, known.1 + took, known.2.max(took));
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(node, to, message),
            Output::Store { serial, record } | Output::StoreSnapshot { serial, record } => {
                self.tally.records = (
                    self.tally.records.0 + 1,
                    self.tally.records.1 + record.len() as u64,
                );
                self.after(SYNC, Coming::Synced { node, serial });
            }
            Output::Call { id, .. } => {
                self.tally.probes += 1;
                self.after(
                    WAY,
                    Coming::Called {
                        node,
                        id,
                        result: CallOutcome::Success(Reply::default()),
                    },
                );
            }
            Output::WatchConnection { address } => {
                self.after(WAY, Coming::Watched { node, address })
            }
            Output::OperatorResponse {
                id,
                response: answer,
            } => {
                self.answers.insert(id, (self.now, answer));
            }
            Output::Publish(PublishedState::Fence { until, .. }) => self.nodes[node].until = until,
            Output::ClientResponse { .. }
            | Output::Log { .. }
            | Output::Publish(_)
            | Output::ExtendCall { .. }
            | Output::CancelCall { .. }
            | Output::ShutdownComplete => {}
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, message: Message) {
        let (role, from) = (self.nodes[node].role, self.nodes[node].peer);
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        if to == node {
            let message = Box::new(message);
            return self.after(Duration::ZERO, Coming::Deliver { to, from, message });
        }
        let bytes = frame::write(from, &message)
            .expect("messages serialize")
            .len() as u64;
        let known = self.tally.sent.entry((role, message.name())).or_default();
        *known = (known.0 + 1, known.1 + bytes);
        // A sender's nudges leave one after the other.
        let queue = if matches!(message, Message::UpdateNotice(_)) {
            Duration::from_micros(to as u64 * 40)
        } else {
            Duration::ZERO
        };
        let message = Box::new(message);
        self.after(WAY + queue, Coming::Deliver { to, from, message });
    }

    fn run_to(&mut self, end: Duration) {
        while self
            .queue
            .first_key_value()
            .is_some_and(|((at, _), _)| *at < end)
        {
            let ((at, _), what) = self.queue.pop_first().expect("just seen");
            self.now = at;
            match what {
                Coming::Tick(node) => {
                    let every = if self.nodes[node].role == Role::Control {
                        lease::CONTROL_TICK
                    } else {
                        Duration::from_millis(50)
                    };
                    self.after(every, Coming::Tick(node));
                    self.step(node, "tick", Input::Tick);
                }
                Coming::Deliver { to, from, message } => {
                    let message = *message;
                    self.step(to, message.name(), Input::MessageReceived { from, message })
                }
                Coming::Synced { node, serial } => {
                    self.step(node, "synced", Input::Stored { serial })
                }
                Coming::Called { node, id, result } => {
                    self.step(node, "probe", Input::CallCompleted { id, result })
                }
                Coming::Watched { node, address } => self.step(
                    node,
                    "probe",
                    Input::ConnectionChanged {
                        address,
                        open: true,
                    },
                ),
            }
        }
        self.now = end;
    }

    fn count(&mut self, span: Duration) -> Tally {
        self.tally = Tally::default();
        self.run_to(self.now + span);
        Tally {
            span,
            ..std::mem::take(&mut self.tally)
        }
    }

    fn ask(&mut self, id: u64, partition: u8, change: Change) {
        self.step(
            0,
            "operator",
            Input::Operator {
                id,
                request: OperatorRequest::Change { partition, change },
            },
        );
    }

    /// Asks for a change and counts for a second; with how long it took to be
    /// in force everywhere.
    fn change(&mut self, id: u64, partition: u8, change: Change) -> Result<(Tally, Duration)> {
        let began = self.now;
        self.tally = Tally::default();
        self.ask(id, partition, change);
        self.run_to(began + Duration::from_secs(1));
        let tally = Tally {
            span: Duration::from_secs(1),
            ..std::mem::take(&mut self.tally)
        };
        for _ in 0..12 {
            if let Some((at, answer)) = self.answers.get(&id) {
                if !matches!(
                    answer,
                    OperatorResponse::ChangeOutcome(ChangeOutcome::Acknowledged { .. })
                ) {
                    bail!("change {id}: {answer:?}");
                }
                return Ok((tally, *at - began));
            }
            self.run_to(self.now + Duration::from_secs(1));
        }
        bail!("change {id} was not answered")
    }

    fn document(mark: u64) -> Arc<str> {
        let deployment = Deployment::find("trasa").expect("known");
        deployment.document(&[mark]).into()
    }

    fn origins() -> Vec<Origin> {
        let services = Deployment::find("trasa").expect("known").services;
        let one = |at: usize| {
            let service = services[at % services.len()].name;
            let address = SocketAddr::from(([10, 3, 0, at as u8], 8000));
            Origin {
                address,
                service: service.into(),
                instance: format!("{service}-{at}"),
                draining: false,
                zone: String::new(),
                region: String::new(),
                capacity: 0,
                cold_ms: 0,
            }
        };
        (0..ORIGINS_LISTED).map(one).collect()
    }

    fn live(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.role == Role::Edge && node.part.is_some() && self.now < node.until)
            .count()
    }

    /// Runs one size through. `used`: bytes in use, if they are counted.
    pub fn measure(edges: usize, control: usize, used: &dyn Fn() -> Option<u64>) -> Result<Sized> {
        let mut fleet = Capacity::new(edges, control);
        fleet.run_to(Duration::from_secs(5));
        let change = 1;
        fleet.change(
            1,
            CONFIGURATION_PARTITION,
            Change::PutConfiguration {
                text: Capacity::document(1),
                expect: None,
                change,
            },
        )?;
        fleet.change(
            2,
            ORIGINS_PARTITION,
            Change::PutOrigins {
                list: Arc::new(Capacity::origins()),
                expect: None,
                change,
                acknowledge: Acknowledge::Settled,
            },
        )?;
        fleet.run_to(fleet.now.max(SETTLED) + Duration::from_secs(3));
        let quiet = fleet.count(Duration::from_secs(2));
        let live = fleet.live();
        let purge = Purge {
            prefix: Some("/listing/".into()),
            ..Purge::default()
        };
        let purge = fleet.change(3, PURGES_PARTITION, Change::AddPurge { purge, change: 2 })?;
        fleet.run_to(fleet.now + Duration::from_secs(1));
        let configuration = fleet.change(
            4,
            CONFIGURATION_PARTITION,
            Change::PutConfiguration {
                text: Capacity::document(2),
                expect: None,
                change: 3,
            },
        )?;
        fleet.run_to(fleet.now + Duration::from_secs(1));
        let mut state = Vec::new();
        for partition in 0..PUBLISHED_PARTITIONS {
            let id = 10 + u64::from(partition);
            fleet.ask(id, partition, Change::List);
            fleet.run_to(fleet.now + Duration::from_secs(1));
            let Some((_, OperatorResponse::ChangeOutcome(ChangeOutcome::Rows { rows, .. }))) =
                fleet.answers.remove(&id)
            else {
                bail!("slice {partition} was not listed")
            };
            state.push((rows.len(), bincode::serialized_size(&rows)?));
        }
        let before = used();
        fleet.nodes[control + edges - 1].part = None;
        let edge = before.zip(used()).map(|(before, after)| before - after);
        let loss = fleet.count(Duration::from_secs(5));
        let before = used();
        fleet.nodes[..control]
            .iter_mut()
            .for_each(|node| node.part = None);
        let memory = before
            .zip(used())
            .map(|(before, after)| (before - after) / control as u64)
            .zip(edge);
        let regions = edges.min(REGIONS);
        Ok(Sized {
            edges,
            control,
            regions,
            quiet,
            purge,
            configuration,
            loss,
            state,
            memory,
            live,
        })
    }
}

impl Tally {
    /// Frames and bytes of one name by one role, a second.
    pub fn rate(&self, role: Role, name: &str) -> (f64, f64) {
        let (frames, bytes) = self
            .sent
            .iter()
            .filter(|((by, one), _)| (*by, *one) == (role, name))
            .map(|(_, sum)| *sum)
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        (
            frames as f64 / self.span.as_secs_f64(),
            bytes as f64 / self.span.as_secs_f64(),
        )
    }

    /// Share of a core that one node of a role takes.
    fn core(&self, role: Role, nodes: usize) -> f64 {
        let spent: f64 = self
            .steps
            .iter()
            .filter(|((by, _), _)| *by == role)
            .map(|(_, (_, took, _))| took.as_secs_f64())
            .sum();
        spent / self.span.as_secs_f64() / nodes as f64
    }
}

/// Least squares over points: constant and slope, and the share of the spread
/// that the line leaves over.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|point| point.0).sum::<f64>() / count,
        points.iter().map(|point| point.1).sum::<f64>() / count,
    );
    let over: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    let flat = mean_y - slope * mean_x;
    let spread: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let left: f64 = points
        .iter()
        .map(|(x, y)| (y - flat - slope * x).powi(2))
        .sum();
    (flat, slope, if spread > 0.0 { left / spread } else { 0.0 })
}

impl Sized {
    /// What is counted, by line; all of it hangs on the size alone. Frames and
    /// bytes are sent ones: a second for what goes on, a piece for events.
    pub fn counts(&self) -> Vec<(&'static str, f64)> {
        let (edges, control) = (self.edges as f64, self.control as f64);
        let quiet = |role, name| self.quiet.rate(role, name);
        let (renew, renewed) = (
            quiet(Role::Edge, "RenewRequest"),
            quiet(Role::Control, "RenewReply"),
        );
        let beat = quiet(Role::Control, "Heartbeat");
        let rounds = ["AppendRequest", "AppendReply", "Rounds", "Rounded"]
            .map(|name| quiet(Role::Control, name))
            .iter()
            .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let probes = self.quiet.probes as f64 / self.quiet.span.as_secs_f64();
        let more = |tally: &Tally| {
            let sum = |tally: &Tally| {
                tally
                    .sent
                    .values()
                    .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
            };
            let (event, idle) = (sum(tally), sum(&self.quiet));
            let share = tally.span.as_secs_f64() / self.quiet.span.as_secs_f64();
            (
                event.0 as f64 - idle.0 as f64 * share,
                event.1 as f64 - idle.1 as f64 * share,
            )
        };
        let (purge, configuration, loss) = (
            more(&self.purge.0),
            more(&self.configuration.0),
            more(&self.loss),
        );
        vec![
            (
                "renewals and answers, frames a second, an edge",
                (renew.0 + renewed.0) / edges,
            ),
            (
                "renewals and answers, bytes a second, an edge",
                (renew.1 + renewed.1) / edges,
            ),
            ("beats, frames a second, a control node", beat.0 / control),
            ("beats, bytes a second, a control node", beat.1 / control),
            (
                "rounds, frames a second, a control node",
                rounds.0 / control,
            ),
            ("rounds, bytes a second, a control node", rounds.1 / control),
            (
                "records a second, a control node",
                self.quiet.records.0 as f64 / self.quiet.span.as_secs_f64() / control,
            ),
            ("probes a second, all gates", probes),
            ("a purge: frames more, all nodes", purge.0),
            ("a purge: bytes more, all nodes", purge.1),
            ("a configuration: frames more, all nodes", configuration.0),
            ("a configuration: bytes more, all nodes", configuration.1),
            ("an edge lost: frames more, all nodes", loss.0),
            ("an edge lost: bytes more, all nodes", loss.1),
            (
                "news rows: configuration",
                self.state[usize::from(CONFIGURATION_PARTITION)].0 as f64,
            ),
            (
                "news bytes: configuration",
                self.state[usize::from(CONFIGURATION_PARTITION)].1 as f64,
            ),
            (
                "news bytes: origins",
                self.state[usize::from(ORIGINS_PARTITION)].1 as f64,
            ),
            (
                "news rows: duties",
                self.state[usize::from(ASSIGNMENTS_PARTITION)].0 as f64,
            ),
            (
                "news bytes: duties",
                self.state[usize::from(ASSIGNMENTS_PARTITION)].1 as f64,
            ),
            (
                "news bytes: places",
                self.state[usize::from(MEMBERSHIP_PARTITION)].1 as f64,
            ),
        ]
    }

    /// Times and bytes in use, as this machine shows them.
    pub fn times(&self) -> Vec<(&'static str, f64)> {
        let longest = |tally: &Tally, role| {
            tally
                .steps
                .iter()
                .filter(|((by, _), _)| *by == role)
                .map(|(_, (_, _, most))| most.as_secs_f64() * 1e3)
                .fold(0.0, f64::max)
        };
        let (control, edge) = self.memory.unwrap_or_default();
        vec![
            (
                "quiet: share of a core, a control node, %",
                100.0 * self.quiet.core(Role::Control, self.control),
            ),
            (
                "quiet: share of a core, an edge, %",
                100.0 * self.quiet.core(Role::Edge, self.edges),
            ),
            (
                "quiet: longest step of a control node, ms",
                longest(&self.quiet, Role::Control),
            ),
            (
                "an edge lost: share of a core over 5 s, a control node, %",
                100.0 * self.loss.core(Role::Control, self.control),
            ),
            (
                "an edge lost: share of a core over 5 s, an edge, %",
                100.0 * self.loss.core(Role::Edge, self.edges),
            ),
            (
                "an edge lost: longest step of a control node, ms",
                longest(&self.loss, Role::Control),
            ),
            (
                "a purge in force everywhere, virtual ms",
                self.purge.1.as_secs_f64() * 1e3,
            ),
            (
                "a configuration in force everywhere, virtual ms",
                self.configuration.1.as_secs_f64() * 1e3,
            ),
            ("memory of a control node's part, kB", control as f64 / 1e3),
            ("memory of an edge's part, kB", edge as f64 / 1e3),
        ]
    }

    /// A table of lines by size, with the line through all sizes.
    pub fn table(list: &[Sized], lines: &dyn Fn(&Sized) -> Vec<(&'static str, f64)>) -> String {
        let mut text = String::from("| line |");
        list.iter()
            .for_each(|one| text += &format!(" {} |", one.edges));
        text += " constant | slope an edge | left over |\n|---|";
        text += &"---|".repeat(list.len() + 3);
        text += "\n";
        let all: Vec<_> = list.iter().map(lines).collect();
        for (at, (name, _)) in all[0].iter().enumerate() {
            text += &format!("| {name} |");
            all.iter()
                .for_each(|lines| text += &format!(" {} |", number(lines[at].1)));
            let points: Vec<(f64, f64)> = list
                .iter()
                .zip(&all)
                .map(|(one, lines)| (one.edges as f64, lines[at].1))
                .collect();
            let (flat, slope, left) = fit(&points);
            text += &format!(
                " {} | {} | {:.0} % |\n",
                number(flat),
                number(slope),
                100.0 * left
            );
        }
        text
    }
}

/// Four figures, as far as they say anything.
fn number(value: f64) -> String {
    let digits = if value == 0.0 {
        0
    } else {
        (3 - value.abs().log10().floor() as i32).clamp(0, 4) as usize
    };
    let text = format!("{value:.digits$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').into()
    } else {
        text
    }
}
