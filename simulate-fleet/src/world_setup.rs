//! Lays out the nodes and origins of a deployment and schedules its first events.
use crate::prelude::*;

/// When the platform puts its first list of origins.
const ORIGINS_AT: Duration = Duration::from_millis(1_500);
/// When the first document is put.
const CONFIGURATION_AT: Duration = Duration::from_millis(1_600);
/// When the ledger is opened.
const LEDGER_AT: Duration = Duration::from_millis(1_700);
/// When traffic begins.
const TRAFFIC_AT: Duration = Duration::from_millis(4_000);
/// The same where the membership table is gathered, which takes a moment more.
const TRAFFIC_AFTER_GATHERING_AT: Duration = Duration::from_millis(6_000);
/// When the last control node starts in a plan in which it is late.
const LATE_START_AT: Duration = Duration::from_millis(4_500);

/// Kinds of simulated machines, as a part of their addresses.
const CONTROL_NET: u8 = 1;
const EDGE_NET: u8 = 2;
const ORIGIN_NET: u8 = 3;

fn address(net: u8, index: usize) -> SocketAddr {
    SocketAddr::from(([10, net, 0, 1], 1000 + index as u16))
}

impl World {
    /// Everything that stands when virtual time begins.
    pub(crate) fn lay_out(&mut self) {
        self.lay_out_nodes();
        self.lay_out_origins();
        self.draw_drifts();
        self.start_nodes();
        self.schedule_start();
    }

    /// Control nodes, edges and then the spare control nodes.
    fn lay_out_nodes(&mut self) {
        let control = self.plan.control;
        let spares = control..control + self.plan.spares;
        (0..control).for_each(|slot| self.lay_out_control(slot));
        for edge in 0..self.plan.deployment.edges {
            let zone = self.zone(edge);
            let node = SimNode::new(NodeId::Edge(edge), address(EDGE_NET, edge), zone);
            self.nodes.push(node);
        }
        spares.for_each(|slot| self.lay_out_control(slot));
        self.by_address = self
            .nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.peer.address, index))
            .collect();
    }

    fn lay_out_control(&mut self, slot: usize) {
        let zone = self.zone(slot);
        let node = SimNode::new(NodeId::Control(slot), address(CONTROL_NET, slot), zone);
        self.nodes.push(node);
    }

    fn zone(&self, index: usize) -> &'static str {
        let zones = &self.plan.deployment.zones;
        zones[index % zones.len()]
    }

    fn lay_out_origins(&mut self) {
        for service in &self.plan.deployment.services {
            for index in 0..service.origins {
                let name = service.name.to_string();
                let instance = format!("{}-{index}", service.name);
                let origin = Origin {
                    address: address(ORIGIN_NET, self.origins.len()),
                    service: name.clone(),
                    instance: instance.clone(),
                    draining: false,
                    zone: String::new(),
                    region: String::new(),
                    capacity: 0,
                    cold_ms: 0,
                };
                self.origins.push(SimOrigin {
                    origin,
                    service: name,
                    instance,
                    behavior: OriginBehavior::Good,
                });
            }
        }
    }

    fn draw_drifts(&mut self) {
        let drift = self.plan.drift;
        for node in &mut self.nodes {
            node.drift = self.random.below(2 * drift + 1) as i64 - drift as i64;
        }
    }

    fn start_nodes(&mut self) {
        for node in 0..self.first_spare() {
            self.nodes[node].founding = Founding::FirstStart;
            if self.plan.late && node + 1 == self.plan.control {
                let start = Fault::Start(self.nodes[node].place);
                self.push(LATE_START_AT, SimEvent::Fault(start));
            } else {
                self.start(node);
            }
        }
    }

    fn schedule_start(&mut self) {
        self.push(ORIGINS_AT, SimEvent::PutOrigins);
        self.push(CONFIGURATION_AT, SimEvent::Fault(Fault::Configure));
        let open = SimEvent::Ask {
            node: 0,
            order: OperatorCall::OpenLedger { generation: None }.into(),
            tries: 0,
        };
        self.push(LEDGER_AT, open);
        self.schedule_orders();
        for (at, fault) in self.plan.faults.clone() {
            self.push(at, SimEvent::Fault(fault));
        }
        let traffic = if self.plan.gather {
            TRAFFIC_AFTER_GATHERING_AT
        } else {
            TRAFFIC_AT
        };
        self.push(traffic, SimEvent::ClientArrives);
        self.push(traffic, SimEvent::LookAtMarkers);
    }
}
