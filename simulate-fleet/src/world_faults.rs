//! Injects the faults of a schedule.
use crate::prelude::*;

/// Time in which the first seed collects founding control nodes.
const GATHER_TIME: Duration = Duration::from_millis(500);
/// End of the fleet's first start: a node that starts later may not found the membership
/// table.
const FIRST_START_END: Duration = Duration::from_secs(5);
/// Interval at which a lasting fault is recorded again; its end is recorded too.
const FAULT_RECORD_INTERVAL: Duration = Duration::from_secs(4);
/// Time from SIGTERM until the platform kills the process.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

impl World {
    /// Closes the connections to an origin whose process ended.
    pub(crate) fn close_connections(&mut self, origin_index: usize) {
        let address = self.origins[origin_index].origin.address;
        let (ended, remaining) = std::mem::take(&mut self.open_connections)
            .into_iter()
            .partition(|connection| connection.2 == origin_index);
        self.open_connections = remaining;
        for (node, run, _) in ended as BTreeSet<(usize, u64, usize)> {
            self.after(
                Duration::from_millis(1),
                SimEvent::ConnectionChanged {
                    node,
                    run,
                    address,
                    open: false,
                },
            );
        }
    }

    /// Index of a node.
    pub(crate) fn node_index(&self, node_id: NodeId) -> usize {
        match node_id {
            NodeId::Control(slot) if slot >= self.plan.control_nodes => {
                self.first_spare() + slot - self.plan.control_nodes
            }
            NodeId::Control(slot) => slot,
            NodeId::Edge(at) => self.plan.control_nodes + at,
        }
    }

    /// The seeds in a node's settings. Nodes that may found the membership table, and fleets
    /// whose seeds form the table, always use the first control nodes.
    fn seed_addresses(&self, node: usize) -> Vec<SocketAddr> {
        let seeds_fixed = !self.plan.gather || self.nodes[node].founding != Founding::Never;
        let rotation = if seeds_fixed { 0 } else { self.seeds_rotation };
        let control = self.plan.control_nodes;
        (0..control.min(3))
            .map(|seed| self.nodes[(seed + rotation) % control].peer.address)
            .collect()
    }

    pub(crate) fn start(&mut self, node: usize) {
        if self.now > FIRST_START_END && self.nodes[node].founding == Founding::FirstStart {
            self.nodes[node].founding = Founding::Never;
        }
        let seeds = self.seed_addresses(node);
        let incarnation = self.random.below(u64::MAX >> 12) + 1;
        self.nodes[node].clock_offset = self.random_micros(0, 1 << 40);
        let gather = self.plan.gather.then_some(GATHER_TIME);
        self.nodes[node].start(self.now, &seeds, gather, incarnation);
        let run = self.nodes[node].run;
        let span = self.random_micros(0, 100_000);
        self.after(span, SimEvent::Tick { node, run });
    }

    pub(crate) fn kill(&mut self, node: usize) {
        if self.nodes[node].state_machine.is_none() {
            return;
        }
        self.nodes[node].kill();
        self.drop_undelivered(node);
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
        // Connections of operators are closed: the outcome is unknown to them.
        let operator_calls: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, pending_call)| pending_call.node == node)
            .map(|(id, _)| *id)
            .collect();
        operator_calls.into_iter().for_each(|id| {
            self.on_operator_response(id, OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown))
        });
    }

    /// Sets the behavior of an origin; a drained origin that stopped does not start again.
    fn set_behavior(&mut self, origin_index: usize, behavior: OriginBehavior) {
        if self.origins[origin_index].behavior == OriginBehavior::Down
            && self.origins[origin_index].origin.draining
        {
            return;
        }
        self.origins[origin_index].behavior = behavior;
        if behavior == OriginBehavior::Down {
            self.close_connections(origin_index);
        }
    }

    /// Restarts a node after its graceful shutdown. Requests that it left without a response
    /// are recorded as dropped.
    pub(crate) fn restart_node(&mut self, node: usize, run: u64) {
        if self.nodes[node].run != run {
            return;
        }
        let unanswered: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.node == node && request.run == run)
            .map(|(id, _)| *id)
            .collect();
        unanswered
            .into_iter()
            .for_each(|id| self.client_finished(id, None));
        self.nodes[node].kill();
        self.drop_undelivered(node);
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
                SimEvent::FaultStarts(Fault::Start(self.nodes[node].node_id)),
            );
        }
        self.check_total_loss();
        self.after(
            Duration::from_secs(3),
            SimEvent::FaultStarts(Fault::Returned),
        );
    }

    /// Checks for a total loss: no running edge has a route table and no control node has full
    /// state on disk. The fleet is then founded again, and operators and the platform
    /// resubmit the configuration and the origins.
    pub(crate) fn check_total_loss(&mut self) {
        let has_state = |node: &SimNode| match node.node_id {
            NodeId::Edge(_) => node.state_machine.is_some() && node.route_table.is_some(),
            NodeId::Control(_) => {
                matches!(Replica::replay(&node.disk.synced), Ok(Some(replica)) if replica.full)
            }
        };
        if self.now < Duration::from_secs(4) || self.nodes.iter().any(has_state) {
            return;
        }
        self.record("all-lost", "", 0, true);
        self.drop_pending_read_backs();
        self.clear_settled_flags();
        // The control nodes start with empty disks and may found a new table.
        let refounding_nodes = if self.plan.gather {
            self.plan.control_nodes
        } else {
            0
        };
        for node in 0..refounding_nodes {
            let was_running = self.nodes[node].state_machine.is_some();
            self.nodes[node].kill();
            self.nodes[node].disk = Disk::default();
            self.nodes[node].founding = Founding::AfterTotalLoss;
            if was_running {
                self.start(node);
            }
        }
        self.last_acknowledged = None;
        self.markers.clear();
        self.removed_markers.clear();
        self.origins_put_pending = None;
        self.after(Duration::from_secs(4), SimEvent::PutOrigins);
        self.after(
            Duration::from_secs(4),
            SimEvent::FaultStarts(Fault::Configure),
        );
    }

    /// Cancels pending read-backs of documents that were lost.
    fn drop_pending_read_backs(&mut self) {
        let read_back =
            |command: &OperatorCommand| matches!(command.call, OperatorCall::ReadBack { .. });
        self.operator_calls
            .retain(|_, pending_call| !read_back(&pending_call.command));
        self.queue
            .retain(|_, event| !matches!(event, SimEvent::SendOperatorCall { command, .. } if read_back(command)));
    }

    /// Records a lasting fault repeatedly, so that the checker treats requests during it as
    /// disturbed.
    fn record_span(&mut self, fault: &Fault) {
        let Some(span) = fault.span() else {
            return;
        };
        let mut at = FAULT_RECORD_INTERVAL;
        while at < span {
            self.after(at, SimEvent::FaultOngoing(fault.kind()));
            at += FAULT_RECORD_INTERVAL;
        }
        if span > FAULT_RECORD_INTERVAL {
            self.after(span, SimEvent::FaultOngoing(fault.kind()));
        }
    }

    /// Records a fault and applies it. A configuration change waits until earlier ones have
    /// their response.
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        if self.trace {
            println!("{:9.4} FAULT {fault:?}", self.seconds());
        }
        // Operators make one change at a time, except in a race: of two unconditional
        // changes the later one correctly overwrites the other.
        if !self.pending_markers.is_empty()
            && matches!(fault, Fault::Configure | Fault::Race(_) | Fault::Grow(_))
        {
            return self.after(Duration::from_millis(50), SimEvent::FaultStarts(fault));
        }
        let is_no_op = self.message_faults == (0, 0, 0)
            && matches!(
                fault,
                Fault::Returned
                    | Fault::LossyNetwork {
                        lost: 0,
                        doubled: 0,
                        late: 0
                    }
            );
        if !is_no_op {
            self.record("fault", &fault.kind(), 0, fault.is_planned());
        }
        self.record_span(&fault);
        self.apply_fault(fault);
    }

    /// Applies a fault of nodes, disks or links, and passes all others to `apply_change`.
    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node_id) => {
                self.kill(self.node_index(node_id));
                self.check_total_loss();
            }
            Fault::Start(node_id) => self.start_if_down(node_id),
            Fault::Pause(node_id, span) => self.pause(node_id, span),
            Fault::Restart(node_id) => self.request_shutdown(node_id),
            Fault::Retire(node_id) => self.retire(node_id),
            Fault::Wipe(node_id) => self.wipe(node_id),
            Fault::DiskFull(node_id) => {
                let node = self.node_index(node_id);
                self.nodes[node].disk.full = true;
            }
            Fault::DropLink(from, to) => {
                self.drop_link(self.node_index(from), self.node_index(to), Duration::MAX)
            }
            Fault::Isolate(node_id) => self.isolate(node_id),
            Fault::Partition(node_id, scope, span) => {
                self.partition_node(self.node_index(node_id), scope, span)
            }
            Fault::Reset(one, other) => self.reset(self.node_index(one), self.node_index(other)),
            Fault::Slow(node_id, span) => self.slow_down(node_id, span),
            Fault::StallDisk(node_id, span) => {
                let node = self.node_index(node_id);
                self.nodes[node].disk.stalled_until = self.now + span;
            }
            Fault::SlowDisk(node_id, span) => {
                let node = self.node_index(node_id);
                self.nodes[node].disk.slow_until = self.now + span;
            }
            Fault::ReorderSeeds => self.seeds_rotation += 1,
            Fault::LoseOperatorResponses(span) => {
                self.operator_responses_lost_until = self.now + span
            }
            Fault::Heal => self.dropped_links.clear(),
            Fault::LossyNetwork {
                lost,
                doubled,
                late,
            } => self.message_faults = (lost, doubled, late),
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
            | Fault::ReadBack) => self.apply_change(change),
        }
    }

    /// Applies a change of origins, a change by operators or a loss of many nodes.
    fn apply_change(&mut self, change: Fault) {
        match change {
            Fault::PutItem => self.put_item(),
            Fault::Origin(origin_index, behavior) => self.set_behavior(origin_index, behavior),
            Fault::Service(service, behavior) => self.set_service_behavior(service, behavior),
            Fault::DrainOrigin(origin_index) => {
                self.origins[origin_index].origin.draining = true;
                self.put_origins();
            }
            Fault::ReuseAddress(origin_index) => self.reuse_address(origin_index),
            Fault::Replace(origin_index) => self.replace_origin(origin_index),
            Fault::Content => {
                self.content_version += 1;
                self.record("content", "", self.content_version, true);
            }
            Fault::Purge(prefix) => self.send_operator_call(
                1,
                OperatorCall::Purge {
                    prefix,
                    version: self.content_version,
                },
                0,
            ),
            Fault::Configure => {
                self.extra_entries = 0;
                let base = self.markers.clone();
                self.configure(0, &base, None, false);
            }
            Fault::Grow(entries) => {
                self.extra_entries = entries;
                let base = self.markers.clone();
                self.configure(1, &base, None, false);
            }
            Fault::ConfigureInvalid => self.configure_invalid(),
            Fault::Race(operators) => self.race(operators),
            Fault::LossOnTrigger(trigger, loss) => self.armed_loss = Some((trigger, loss)),
            Fault::LoseAll => self.lose_all(),
            Fault::OpenLedger => {
                self.send_operator_call(0, OperatorCall::OpenLedger { generation: None }, 0)
            }
            Fault::Returned => self.expect_recovery(),
            Fault::ReadBack => {
                if let Some(expect) = self.last_acknowledged.clone() {
                    self.send_operator_call(2, OperatorCall::ReadBack { expect }, 0);
                }
            }
            fault => unreachable!("{fault:?} is a fault of nodes or links"),
        }
    }

    fn start_if_down(&mut self, node_id: NodeId) {
        let node = self.node_index(node_id);
        if self.nodes[node].state_machine.is_none() {
            self.nodes[node].disk.full = false;
            self.start(node);
        }
    }

    fn pause(&mut self, node_id: NodeId, span: Duration) {
        let node = self.node_index(node_id);
        self.nodes[node].paused_until = self.now + span;
        let subject = self.nodes[node].peer.address.to_string();
        // Clients may give up on the paused node; this is not a planned change.
        self.record("killed", &subject, 1, true);
    }

    fn request_shutdown(&mut self, node_id: NodeId) {
        let node = self.node_index(node_id);
        if self.nodes[node].state_machine.is_some() && self.now >= self.nodes[node].paused_until {
            self.step(node, Input::ShutdownRequested);
        }
    }

    fn retire(&mut self, node_id: NodeId) {
        let node = self.node_index(node_id);
        if self.nodes[node].state_machine.is_some() {
            self.nodes[node].retiring = true;
            self.after(SHUTDOWN_GRACE, SimEvent::FaultStarts(Fault::Kill(node_id)));
            self.step(node, Input::ShutdownRequested);
        }
    }

    fn wipe(&mut self, node_id: NodeId) {
        let node = self.node_index(node_id);
        self.kill(node);
        self.nodes[node].disk = Disk::default();
        self.nodes[node].founding = Founding::Never;
        self.check_total_loss();
    }

    fn isolate(&mut self, node_id: NodeId) {
        let node = self.node_index(node_id);
        for other in 0..self.nodes.len() {
            self.drop_link(node, other, Duration::MAX);
            self.drop_link(other, node, Duration::MAX);
        }
    }

    fn slow_down(&mut self, node_id: NodeId, span: Duration) {
        let node = self.node_index(node_id);
        self.nodes[node].slow_until = self.now + span;
        // Clients may give up on the slow node, as on a paused one.
        let subject = self.nodes[node].peer.address.to_string();
        self.record("killed", &subject, 1, true);
    }

    fn set_service_behavior(&mut self, service: usize, behavior: OriginBehavior) {
        let name = self.plan.deployment.services[service].name;
        let list: Vec<usize> = (0..self.origins.len())
            .filter(|origin_index| self.origins[*origin_index].origin.service == name)
            .collect();
        list.into_iter()
            .for_each(|origin_index| self.set_behavior(origin_index, behavior));
    }

    fn reuse_address(&mut self, origin_index: usize) {
        self.close_connections(origin_index);
        self.origins[origin_index].service = "usurper".into();
        self.origins[origin_index].instance = "usurper-0".into();
    }

    fn replace_origin(&mut self, origin_index: usize) {
        let instance = format!("{}-next", self.origins[origin_index].instance);
        self.close_connections(origin_index);
        self.origins[origin_index].instance = instance.clone();
        self.origins[origin_index].origin.instance = instance;
        self.put_origins();
    }

    fn configure_invalid(&mut self) {
        let text = self
            .plan
            .deployment
            .document(&[999])
            .replace("\"rank\": 0", "\"rank\": 0, \"colour\": 1");
        self.send_operator_call(
            2,
            OperatorCall::Configure {
                marker: 999,
                text,
                expect: None,
                race: false,
                removed_markers: vec![],
            },
            0,
        );
    }

    fn race(&mut self, operators: usize) {
        let expect = self.last_acknowledged.as_ref().map(|(version, _)| *version);
        let base = self.markers.clone();
        (0..operators)
            .for_each(|at| self.configure(at % self.plan.control_nodes, &base, expect, true));
    }

    fn expect_recovery(&mut self) {
        self.record("returned", "all", 0, true);
        self.after(
            Duration::from_secs(15),
            SimEvent::CheckReadiness { since: self.now },
        );
    }
}
