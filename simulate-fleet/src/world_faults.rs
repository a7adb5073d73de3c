//! Carries out the faults of a schedule.
use crate::prelude::*;

/// How long the first seed collects founding control nodes.
const GATHER: Duration = Duration::from_millis(500);
/// Who starts later does not start with the whole fleet for the first time.
const FIRST_START: Duration = Duration::from_secs(5);
/// A fault that lasts is recorded again at this interval, and at its end.
const FAULT_RECORD_INTERVAL: Duration = Duration::from_secs(4);
/// From SIGTERM to the end of a process by its platform.
const GRACE: Duration = Duration::from_secs(6);

/// What is done to the fleet.
impl World {
    /// The process that listened there ended: its connections end.
    pub(crate) fn end_watches(&mut self, at: usize) {
        let address = self.origins[at].origin.address;
        let (ended, stand) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.2 == at);
        self.watches = stand;
        for (node, run, _) in ended as BTreeSet<(usize, u64, usize)> {
            self.after(
                Duration::from_millis(1),
                SimEvent::Watched {
                    node,
                    run,
                    address,
                    open: false,
                },
            );
        }
    }

    pub(crate) fn at(&self, place: NodeId) -> usize {
        match place {
            NodeId::Control(slot) if slot >= self.plan.control => {
                self.first_spare() + slot - self.plan.control
            }
            NodeId::Control(slot) => slot,
            NodeId::Edge(at) => self.plan.control + at,
        }
    }

    /// What a node's settings name as seeds. Who may found the table goes by
    /// the first ones, and so does a fleet whose seeds are the table.
    fn seeds(&self, node: usize) -> Vec<SocketAddr> {
        let fixed = !self.plan.gather || self.nodes[node].founding != Founding::Never;
        let turned = if fixed { 0 } else { self.seeds_rotation };
        let control = self.plan.control;
        (0..control.min(3))
            .map(|seed| self.nodes[(seed + turned) % control].peer.address)
            .collect()
    }

    pub(crate) fn start(&mut self, node: usize) {
        if self.now > FIRST_START && self.nodes[node].founding == Founding::FirstStart {
            self.nodes[node].founding = Founding::Never;
        }
        let seeds = self.seeds(node);
        let incarnation = self.random.below(u64::MAX >> 12) + 1;
        self.nodes[node].offset = self.micros(0, 1 << 40);
        let gather = self.plan.gather.then_some(GATHER);
        self.nodes[node].start(self.now, &seeds, gather, incarnation);
        let run = self.nodes[node].run;
        let span = self.micros(0, 100_000);
        self.after(span, SimEvent::Tick { node, run });
    }

    pub(crate) fn kill(&mut self, node: usize) {
        if self.nodes[node].part.is_none() {
            return;
        }
        self.nodes[node].kill();
        self.lose_unread(node);
        let subject = self.nodes[node].peer.address.to_string();
        self.record("killed", &subject, 0, true);
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.node == node)
            .map(|(id, _)| *id)
            .collect();
        lost.into_iter()
            .for_each(|id| self.client_finished(id, None));
        // Operators see their connection end: the outcome is unknown.
        let operator_calls: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, question)| question.node == node)
            .map(|(id, _)| *id)
            .collect();
        operator_calls.into_iter().for_each(|id| {
            self.on_operator_response(id, OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown))
        });
    }

    /// What has ended for good stays ended.
    fn set_behavior(&mut self, at: usize, behavior: OriginBehavior) {
        if self.origins[at].behavior == OriginBehavior::Down && self.origins[at].origin.draining {
            return;
        }
        self.origins[at].behavior = behavior;
        if behavior == OriginBehavior::Down {
            self.end_watches(at);
        }
    }

    /// It ended by itself; what it had read it must have answered.
    pub(crate) fn restarted(&mut self, node: usize, run: u64) {
        if self.nodes[node].run != run {
            return;
        }
        let unanswered: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, one)| one.node == node && one.run == run)
            .map(|(id, _)| *id)
            .collect();
        unanswered
            .into_iter()
            .for_each(|id| self.client_finished(id, None));
        self.nodes[node].kill();
        self.lose_unread(node);
        let subject = self.nodes[node].peer.address.to_string();
        self.record("restarted", &subject, 0, true);
        self.start(node);
    }

    fn lose_all(&mut self) {
        for node in 0..self.first_spare() {
            self.kill(node);
            self.nodes[node].disk = Disk::default();
            self.nodes[node].founding = Founding::AfterTotalLoss;
            self.after(
                Duration::from_secs(3),
                SimEvent::Fault(Fault::Start(self.nodes[node].place)),
            );
        }
        self.see_all_lost();
        self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Returned));
    }

    /// If nobody is left who knew anything, operators and the platform tell
    /// the fleet what they want once it is back.
    pub(crate) fn see_all_lost(&mut self) {
        let knows = |node: &SimNode| match node.place {
            NodeId::Edge(_) => node.part.is_some() && node.image.is_some(),
            NodeId::Control(_) => {
                matches!(Replica::replay(&node.disk.synced), Ok(Some(replica)) if replica.full)
            }
        };
        if self.now < Duration::from_secs(4) || self.nodes.iter().any(knows) {
            return;
        }
        self.record("all-lost", "", 0, true);
        self.forget_read_backs();
        self.forget_acknowledged_orders();
        // The fleet is founded anew.
        let again = if self.plan.gather {
            self.plan.control
        } else {
            0
        };
        for node in 0..again {
            let runs = self.nodes[node].part.is_some();
            self.nodes[node].kill();
            self.nodes[node].disk = Disk::default();
            self.nodes[node].founding = Founding::AfterTotalLoss;
            if runs {
                self.start(node);
            }
        }
        self.acknowledged = None;
        self.markers.clear();
        self.removed.clear();
        self.origins_due = None;
        self.after(Duration::from_secs(4), SimEvent::PutOrigins);
        self.after(Duration::from_secs(4), SimEvent::Fault(Fault::Configure));
    }

    /// Operators who still wait to read back what nobody knows any more.
    fn forget_read_backs(&mut self) {
        let read_back = |order: &Order| matches!(order.call, OperatorCall::ReadBack { .. });
        self.operator_calls
            .retain(|_, question| !read_back(&question.order));
        self.queue
            .retain(|_, what| !matches!(what, SimEvent::Ask { order, .. } if read_back(order)));
    }

    /// What is asked within the span of a fault is judged as disturbed by it.
    fn record_span(&mut self, fault: &Fault) {
        let Some(span) = fault.span() else {
            return;
        };
        let mut at = FAULT_RECORD_INTERVAL;
        while at < span {
            self.after(at, SimEvent::FaultGoesOn(fault.kind()));
            at += FAULT_RECORD_INTERVAL;
        }
        if span > FAULT_RECORD_INTERVAL {
            self.after(span, SimEvent::FaultGoesOn(fault.kind()));
        }
    }

    pub(crate) fn fault(&mut self, fault: Fault) {
        if self.trace {
            println!("{:9.4} FAULT {fault:?}", self.seconds());
        }
        // Operators make one change at a time, except where they race: of two
        // changes without a condition the later one rightly undoes the other.
        if !self.changing.is_empty()
            && matches!(fault, Fault::Configure | Fault::Race(_) | Fault::Grow(_))
        {
            return self.after(Duration::from_millis(50), SimEvent::Fault(fault));
        }
        let ends_nothing = self.weather == (0, 0, 0)
            && matches!(
                fault,
                Fault::Returned
                    | Fault::LossyNetwork {
                        lost: 0,
                        doubled: 0,
                        late: 0
                    }
            );
        if !ends_nothing {
            self.record("fault", &fault.kind(), 0, fault.planned());
        }
        self.record_span(&fault);
        self.carry_out(fault);
    }

    /// Faults of nodes and links; all others are changes.
    fn carry_out(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(place) => {
                self.kill(self.at(place));
                self.see_all_lost();
            }
            Fault::Start(place) => self.start_if_down(place),
            Fault::Pause(place, span) => self.pause(place, span),
            Fault::Restart(place) => self.request_shutdown(place),
            Fault::Retire(place) => self.retire(place),
            Fault::Wipe(place) => self.wipe(place),
            Fault::DiskFull(place) => {
                let node = self.at(place);
                self.nodes[node].disk.full = true;
            }
            Fault::DropLink(from, to) => self.cut(self.at(from), self.at(to), Duration::MAX),
            Fault::Isolate(place) => self.isolate(place),
            Fault::Partition(place, scope, span) => self.cut_off(self.at(place), scope, span),
            Fault::Reset(one, other) => self.reset(self.at(one), self.at(other)),
            Fault::Slow(place, span) => self.slow_down(place, span),
            Fault::StallDisk(place, span) => {
                let node = self.at(place);
                self.nodes[node].disk.stalled_until = self.now + span;
            }
            Fault::SlowDisk(place, span) => {
                let node = self.at(place);
                self.nodes[node].disk.slow_until = self.now + span;
            }
            Fault::ReorderSeeds => self.seeds_rotation += 1,
            Fault::LoseOperatorResponses(span) => {
                self.operator_responses_lost_until = self.now + span
            }
            Fault::Heal => self.cuts.clear(),
            Fault::LossyNetwork {
                lost,
                doubled,
                late,
            } => self.weather = (lost, doubled, late),
            change @ (Fault::PutItem
            | Fault::Origin(..)
            | Fault::Service(..)
            | Fault::DrainOrigin(_)
            | Fault::ReuseAddress(_)
            | Fault::Replace(_)
            | Fault::Content
            | Fault::Purge(_)
            | Fault::Configure
            | Fault::Grow(_)
            | Fault::ConfigureInvalid
            | Fault::Race(_)
            | Fault::LossOnTrigger(..)
            | Fault::LoseAll
            | Fault::OpenLedger
            | Fault::Returned
            | Fault::ReadBack) => self.change(change),
        }
    }

    /// Changes of origins, operators' changes, and losses of many nodes.
    fn change(&mut self, change: Fault) {
        match change {
            Fault::PutItem => self.put_item(),
            Fault::Origin(at, behavior) => self.set_behavior(at, behavior),
            Fault::Service(service, behavior) => self.set_service_behavior(service, behavior),
            Fault::DrainOrigin(at) => {
                self.origins[at].origin.draining = true;
                self.put_origins();
            }
            Fault::ReuseAddress(at) => self.reuse_address(at),
            Fault::Replace(at) => self.replace_origin(at),
            Fault::Content => {
                self.version += 1;
                self.record("content", "", self.version, true);
            }
            Fault::Purge(prefix) => self.ask(
                1,
                OperatorCall::Purge {
                    prefix,
                    version: self.version,
                },
                0,
            ),
            Fault::Configure => {
                self.grown = 0;
                let base = self.markers.clone();
                self.configure(0, &base, None, false);
            }
            Fault::Grow(entries) => {
                self.grown = entries;
                let base = self.markers.clone();
                self.configure(1, &base, None, false);
            }
            Fault::ConfigureInvalid => self.configure_invalid(),
            Fault::Race(operators) => self.race(operators),
            Fault::LossOnTrigger(trigger, loss) => self.armed_loss = Some((trigger, loss)),
            Fault::LoseAll => self.lose_all(),
            Fault::OpenLedger => self.ask(0, OperatorCall::OpenLedger { generation: None }, 0),
            Fault::Returned => self.expect_recovery(),
            Fault::ReadBack => {
                if let Some(expect) = self.acknowledged.clone() {
                    self.ask(2, OperatorCall::ReadBack { expect }, 0);
                }
            }
            fault => unreachable!("{fault:?} is a fault of nodes or links"),
        }
    }

    fn start_if_down(&mut self, place: NodeId) {
        let node = self.at(place);
        if self.nodes[node].part.is_none() {
            self.nodes[node].disk.full = false;
            self.start(node);
        }
    }

    fn pause(&mut self, place: NodeId, span: Duration) {
        let node = self.at(place);
        self.nodes[node].paused = self.now + span;
        let subject = self.nodes[node].peer.address.to_string();
        // Callers may give up on it meanwhile; that is no planned change.
        self.record("killed", &subject, 1, true);
    }

    fn request_shutdown(&mut self, place: NodeId) {
        let node = self.at(place);
        if self.nodes[node].part.is_some() && self.now >= self.nodes[node].paused {
            self.step(node, Input::ShutdownRequested);
        }
    }

    fn retire(&mut self, place: NodeId) {
        let node = self.at(place);
        if self.nodes[node].part.is_some() {
            self.nodes[node].retiring = true;
            self.after(GRACE, SimEvent::Fault(Fault::Kill(place)));
            self.step(node, Input::ShutdownRequested);
        }
    }

    fn wipe(&mut self, place: NodeId) {
        let node = self.at(place);
        self.kill(node);
        self.nodes[node].disk = Disk::default();
        self.nodes[node].founding = Founding::Never;
        self.see_all_lost();
    }

    fn isolate(&mut self, place: NodeId) {
        let node = self.at(place);
        for other in 0..self.nodes.len() {
            self.cut(node, other, Duration::MAX);
            self.cut(other, node, Duration::MAX);
        }
    }

    fn slow_down(&mut self, place: NodeId, span: Duration) {
        let node = self.at(place);
        self.nodes[node].slow_until = self.now + span;
        // As with a pause: callers may give up on it.
        let subject = self.nodes[node].peer.address.to_string();
        self.record("killed", &subject, 1, true);
    }

    fn set_service_behavior(&mut self, service: usize, behavior: OriginBehavior) {
        let name = self.plan.deployment.services[service].name;
        let list: Vec<usize> = (0..self.origins.len())
            .filter(|at| self.origins[*at].origin.service == name)
            .collect();
        list.into_iter()
            .for_each(|at| self.set_behavior(at, behavior));
    }

    fn reuse_address(&mut self, at: usize) {
        self.end_watches(at);
        self.origins[at].service = "usurper".into();
        self.origins[at].instance = "usurper-0".into();
    }

    fn replace_origin(&mut self, at: usize) {
        let instance = format!("{}-next", self.origins[at].instance);
        self.end_watches(at);
        self.origins[at].instance = instance.clone();
        self.origins[at].origin.instance = instance;
        self.put_origins();
    }

    fn configure_invalid(&mut self) {
        let text = self
            .plan
            .deployment
            .document(&[999])
            .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
        self.ask(
            2,
            OperatorCall::Configure {
                marker: 999,
                text,
                expect: None,
                race: false,
                without: vec![],
            },
            0,
        );
    }

    fn race(&mut self, operators: usize) {
        let expect = self.acknowledged.as_ref().map(|(version, _)| *version);
        let base = self.markers.clone();
        (0..operators).for_each(|at| self.configure(at % self.plan.control, &base, expect, true));
    }

    fn expect_recovery(&mut self) {
        self.record("returned", "all", 0, true);
        self.after(
            Duration::from_secs(15),
            SimEvent::LookReady { since: self.now },
        );
    }
}
