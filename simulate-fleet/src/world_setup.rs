//! Creates the nodes and origins of a deployment and schedules the initial events.
use crate::prelude::*;

/// Time at which the platform puts its first origin list.
const ORIGINS_AT: Duration = Duration::from_millis(1_500);
/// Time at which the first configuration document is put.
const CONFIGURATION_AT: Duration = Duration::from_millis(1_600);
/// Time at which the ledger is opened.
const LEDGER_AT: Duration = Duration::from_millis(1_700);
/// Time at which client traffic begins.
const TRAFFIC_AT: Duration = Duration::from_millis(4_000);
/// Time at which client traffic begins if the membership table is founded by gathering, which
/// takes longer.
const TRAFFIC_AFTER_GATHERING_AT: Duration = Duration::from_millis(6_000);
/// Time at which a late control node starts.
const LATE_START_AT: Duration = Duration::from_millis(4_500);

/// Second byte of control node addresses.
const CONTROL_SUBNET: u8 = 1;
/// Second byte of edge addresses.
const EDGE_SUBNET: u8 = 2;
/// Second byte of origin addresses.
const ORIGIN_SUBNET: u8 = 3;

fn address(subnet: u8, index: usize) -> SocketAddr {
    SocketAddr::from(([10, subnet, 0, 1], 1000 + index as u16))
}

impl World {
    /// Creates the fleet and schedules its initial events.
    pub(crate) fn create_fleet(&mut self) {
        self.create_nodes();
        self.create_origins();
        self.draw_drifts();
        self.start_nodes();
        self.schedule_start();
    }

    /// Creates the control nodes, the edges and the spare control nodes, in this order.
    fn create_nodes(&mut self) {
        let control = self.plan.control_nodes;
        let spares = control..control + self.plan.spares;
        (0..control).for_each(|slot| self.create_control_node(slot));
        for edge in 0..self.plan.deployment.edges {
            let zone = self.zone(edge);
            let node = SimNode::new(NodeId::Edge(edge), address(EDGE_SUBNET, edge), zone);
            self.nodes.push(node);
        }
        spares.for_each(|slot| self.create_control_node(slot));
        self.node_by_address = self
            .nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.peer.address, index))
            .collect();
    }

    fn create_control_node(&mut self, slot: usize) {
        let zone = self.zone(slot);
        let node = SimNode::new(NodeId::Control(slot), address(CONTROL_SUBNET, slot), zone);
        self.nodes.push(node);
    }

    fn zone(&self, index: usize) -> &'static str {
        let zones = &self.plan.deployment.zones;
        zones[index % zones.len()]
    }

    fn create_origins(&mut self) {
        for service in &self.plan.deployment.services {
            for index in 0..service.origins {
                let name = service.name.to_string();
                let instance = format!("{}-{index}", service.name);
                let origin = Origin {
                    address: address(ORIGIN_SUBNET, self.origins.len()),
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
            node.clock_drift_ppm = self.random.below(2 * drift + 1) as i64 - drift as i64;
        }
    }

    fn start_nodes(&mut self) {
        for node in 0..self.first_spare() {
            self.nodes[node].founding = Founding::FirstStart;
            if self.plan.late_control_node && node + 1 == self.plan.control_nodes {
                let start = Fault::Start(self.nodes[node].node_id);
                self.push(LATE_START_AT, SimEvent::FaultStarts(start));
            } else {
                self.start(node);
            }
        }
    }

    fn schedule_start(&mut self) {
        self.push(ORIGINS_AT, SimEvent::PutOrigins);
        self.push(CONFIGURATION_AT, SimEvent::FaultStarts(Fault::Configure));
        let open = SimEvent::SendOperatorCall {
            node: 0,
            command: OperatorCall::OpenLedger { generation: None }.into(),
            attempts: 0,
        };
        self.push(LEDGER_AT, open);
        self.schedule_item_commands();
        for (at, fault) in self.plan.faults.clone() {
            self.push(at, SimEvent::FaultStarts(fault));
        }
        let traffic = if self.plan.gather {
            TRAFFIC_AFTER_GATHERING_AT
        } else {
            TRAFFIC_AT
        };
        self.push(traffic, SimEvent::ClientArrives);
        self.push(traffic, SimEvent::CheckMarkers);
    }
}
