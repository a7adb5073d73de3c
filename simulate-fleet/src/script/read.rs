//! Parses a script: each line yields a fault or findings with their locations.
use crate::prelude::*;

const UNKNOWN_FAULT: &str = "no such fault or change; see docs/simulator.md";
const UNKNOWN_NODE: &str = "must be control-0 to control-3 (the last one: the standby) or an edge of the deployment, as edge-0";

/// Number of entries that `grow` adds if its line has no count.
const DEFAULT_GROWTH: usize = 1000;
/// Number of operators in a `race` if its line has no count.
const DEFAULT_RACE: usize = 2;

/// Line of a script.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    /// Virtual time of the fault, in seconds.
    at: f64,
    /// Name of the fault or change.
    #[serde(rename = "do")]
    action: String,
    /// Target of the fault, for example "control-0", "edge-3" or "origin-2".
    #[serde(default)]
    to: Option<String>,
    #[serde(default)]
    other: Option<String>,
    #[serde(default)]
    seconds: Option<f64>,
    #[serde(default)]
    prefix: Option<String>,
    /// Number of operators in a race, of entries to add, or of disks to lose.
    #[serde(default)]
    count: Option<usize>,
    #[serde(default, rename = "moment")]
    trigger: Option<String>,
    /// Scope of a network partition.
    #[serde(default)]
    scope: Option<String>,
    /// Percentage of lost messages; `doubled` and `late` are percentages too.
    #[serde(default)]
    lost: Option<u64>,
    #[serde(default)]
    doubled: Option<u64>,
    #[serde(default)]
    late: Option<u64>,
}

pub(super) fn read(
    text: &str,
    deployment: &Deployment,
    control_nodes: usize,
) -> Result<Vec<(Duration, Fault)>, Vec<Finding>> {
    let items: Vec<serde_json::Value> =
        serde_json::from_str(text).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let mut findings = Vec::new();
    let mut schedule = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        let line: Line = match serde_json::from_value(item) {
            Ok(line) => line,
            Err(error) => {
                findings.push(Finding::new(format!("/{index}"), error.to_string()));
                continue;
            }
        };
        let mut reader = LineReader {
            line: &line,
            index,
            deployment,
            control_nodes,
            findings: Vec::new(),
        };
        let at = reader.time();
        let fault = reader.fault();
        if reader.findings.is_empty() {
            schedule.extend(fault.map(|fault| (at, fault)));
        }
        findings.extend(reader.findings);
    }
    if findings.is_empty() {
        Ok(schedule)
    } else {
        Err(findings)
    }
}

/// Parses one line and collects its errors.
struct LineReader<'a> {
    line: &'a Line,
    /// Index of the line in the script.
    index: usize,
    deployment: &'a Deployment,
    control_nodes: usize,
    findings: Vec<Finding>,
}

impl LineReader<'_> {
    fn report(&mut self, field: &str, text: &str) {
        let location = format!("/{}/{field}", self.index);
        self.findings.push(Finding::new(location, text));
    }

    fn time(&mut self) -> Duration {
        Duration::try_from_secs_f64(self.line.at).unwrap_or_else(|_| {
            self.report("at", "must be seconds, not negative");
            Duration::ZERO
        })
    }

    /// Duration of the fault.
    fn span(&mut self) -> Duration {
        Duration::try_from_secs_f64(self.line.seconds.unwrap_or(-1.0)).unwrap_or_else(|_| {
            self.report("seconds", "is needed");
            Duration::ZERO
        })
    }

    fn scope(&mut self) -> PartitionScope {
        let everybody = PartitionScope::Everybody;
        let name = self.line.scope.as_deref().unwrap_or(everybody.name());
        let known = PartitionScope::ALL
            .into_iter()
            .find(|scope| scope.name() == name);
        known.unwrap_or_else(|| {
            self.report("scope", "no such scope; see docs/simulator.md");
            everybody
        })
    }

    /// The node of this name; the highest control node number is the standby.
    fn node_named(&self, name: Option<&str>) -> Option<NodeId> {
        let name = name?;
        let control = number_after(name, "control-")
            .filter(|slot| *slot <= self.control_nodes)
            .map(NodeId::Control);
        control.or(number_after(name, "edge-")
            .filter(|edge| *edge < self.deployment.edges)
            .map(NodeId::Edge))
    }

    fn node(&mut self) -> Option<NodeId> {
        let node = self.node_named(self.line.to.as_deref());
        if node.is_none() {
            self.report("to", UNKNOWN_NODE);
        }
        node
    }

    fn other_node(&mut self, requirement: &str) -> Option<NodeId> {
        let other = self.node_named(self.line.other.as_deref());
        if other.is_none() {
            self.report("other", requirement);
        }
        other
    }

    fn origin(&mut self) -> Option<usize> {
        let services = &self.deployment.services;
        let origins: usize = services.iter().map(|service| service.origins).sum();
        let name = self.line.to.as_deref();
        let origin = name
            .and_then(|name| number_after(name, "origin-"))
            .filter(|origin| *origin < origins);
        if origin.is_none() {
            self.report("to", "must be an origin of the deployment, as origin-0");
        }
        origin
    }

    fn fault(&mut self) -> Option<Fault> {
        let action = self.line.action.as_str();
        if let Some(make) = node_fault(action) {
            return self.node().map(make);
        }
        if let Some(make) = lasting_node_fault(action) {
            let span = self.span();
            return self.node().map(|node| make(node, span));
        }
        if let Some(make) = origin_fault(action) {
            return self.origin().map(make);
        }
        if let Some(behavior) = behavior_named(action) {
            return self.origin().map(|origin| Fault::Origin(origin, behavior));
        }
        match action {
            "cut-off" => self.partition(),
            "reset" => {
                let other = self.other_node("must be a node: the other end");
                let node = self.node()?;
                Some(Fault::Reset(node, other?))
            }
            "cut" => {
                let other = self.other_node("must be a node: nothing gets to it any more");
                let node = self.node()?;
                Some(Fault::DropLink(node, other?))
            }
            "power-on" | "disk-lost-on" | "disks-lost-on" | "disk-full-on" => self.triggered_loss(),
            _ if action.starts_with("service-") => self.service_fault(),
            _ => self.fleet_fault(),
        }
    }

    fn partition(&mut self) -> Option<Fault> {
        let span = self.span();
        let scope = self.scope();
        let node = self.node()?;
        Some(Fault::Partition(node, scope, span))
    }

    /// Sets the behavior of all origins of a service.
    fn service_fault(&mut self) -> Option<Fault> {
        let behavior = self
            .line
            .action
            .strip_prefix("service-")
            .and_then(|rest| behavior_named(&format!("origin-{rest}")));
        let service = self
            .deployment
            .services
            .iter()
            .position(|service| Some(service.name) == self.line.to.as_deref());
        if service.is_none() {
            self.report("to", "must be a service of the deployment");
        }
        if behavior.is_none() {
            self.report("do", UNKNOWN_FAULT);
        }
        Some(Fault::Service(service?, behavior?))
    }

    /// A loss injected at the moment of an acknowledgement.
    fn triggered_loss(&mut self) -> Option<Fault> {
        let trigger = Trigger::ALL
            .into_iter()
            .find(|trigger| Some(trigger.name()) == self.line.trigger.as_deref());
        if trigger.is_none() {
            self.report("moment", "must be configured, purged or booked");
        }
        let loss = match self.line.action.as_str() {
            "power-on" => Loss::Power,
            "disk-lost-on" => Loss::Disk(self.control_slot()?),
            "disks-lost-on" => Loss::Disks(self.control_slot()?, self.line.count.unwrap_or(1)),
            _ => Loss::DiskSpace(self.control_slot()?),
        };
        Some(Fault::LossOnTrigger(trigger?, loss))
    }

    fn control_slot(&mut self) -> Option<usize> {
        match self.node_named(self.line.to.as_deref()) {
            Some(NodeId::Control(slot)) => Some(slot),
            _ => {
                self.report("to", "must be a control node");
                None
            }
        }
    }

    /// Faults and changes that name no node, origin or service.
    fn fleet_fault(&mut self) -> Option<Fault> {
        let line = self.line;
        Some(match line.action.as_str() {
            "lose-answers" => Fault::LoseOperatorResponses(self.span()),
            "turn-seeds" => Fault::ReorderSeeds,
            "put-item" => Fault::PutItem,
            "heal" => Fault::Heal,
            "weather" => Fault::LossyNetwork {
                lost: line.lost.unwrap_or(0),
                doubled: line.doubled.unwrap_or(0),
                late: line.late.unwrap_or(0),
            },
            "content" => Fault::Content,
            "purge" => Fault::Purge(line.prefix.clone().unwrap_or_else(|| "/".into())),
            "configure" => Fault::Configure,
            "configure-invalid" => Fault::ConfigureInvalid,
            "race" => Fault::Race(line.count.unwrap_or(DEFAULT_RACE)),
            "grow" => Fault::Grow(line.count.unwrap_or(DEFAULT_GROWTH)),
            "lose-all" => Fault::LoseAll,
            "open-ledger" => Fault::OpenLedger,
            "read-back" => Fault::ReadBack,
            "returned" => Fault::Returned,
            _ => {
                self.report("do", UNKNOWN_FAULT);
                return None;
            }
        })
    }
}

/// Parses the number that follows this prefix of a name.
fn number_after(name: &str, prefix: &str) -> Option<usize> {
    name.strip_prefix(prefix)?.parse().ok()
}

/// Faults of one node without a duration.
fn node_fault(action: &str) -> Option<fn(NodeId) -> Fault> {
    Some(match action {
        "kill" => Fault::Kill,
        "start" => Fault::Start,
        "restart" => Fault::Restart,
        "retire" => Fault::Retire,
        "wipe" => Fault::Wipe,
        "disk-full" => Fault::DiskFull,
        "isolate" => Fault::Isolate,
        _ => return None,
    })
}

/// Faults of one node with a duration.
fn lasting_node_fault(action: &str) -> Option<fn(NodeId, Duration) -> Fault> {
    Some(match action {
        "pause" => Fault::Pause,
        "slow" => Fault::Slow,
        "disk-stall" => Fault::StallDisk,
        "disk-slow" => Fault::SlowDisk,
        _ => return None,
    })
}

/// Faults that change which origin listens or is listed at an address.
fn origin_fault(action: &str) -> Option<fn(usize) -> Fault> {
    Some(match action {
        "origin-leave" => Fault::DrainOrigin,
        "origin-replace" => Fault::Replace,
        "origin-usurp" => Fault::ReuseAddress,
        _ => return None,
    })
}

fn behavior_named(action: &str) -> Option<OriginBehavior> {
    OriginBehavior::ALL
        .into_iter()
        .find(|behavior| behavior.name() == action)
}
