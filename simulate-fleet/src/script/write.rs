//! Writes a schedule as a script.
use crate::prelude::*;

type Field = (&'static str, serde_json::Value);

pub(super) fn write(schedule: &[(Duration, Fault)], deployment: &Deployment) -> String {
    let lines: Vec<String> = schedule
        .iter()
        .map(|(at, fault)| line(*at, fault, deployment).to_string())
        .collect();
    format!("[{}]", lines.join(",\n "))
}

fn line(at: Duration, fault: &Fault, deployment: &Deployment) -> serde_json::Value {
    let mut line = json!({ "at": at.as_secs_f64(), "do": fault.name() });
    for (name, value) in fields(fault, deployment) {
        line[name] = value;
    }
    line
}

/// Fields of a line other than its time and its fault name.
fn fields(fault: &Fault, deployment: &Deployment) -> Vec<Field> {
    match fault {
        Fault::Kill(node)
        | Fault::Start(node)
        | Fault::Restart(node)
        | Fault::Retire(node)
        | Fault::Wipe(node)
        | Fault::DiskFull(node)
        | Fault::Isolate(node) => vec![to_node(node)],
        Fault::Pause(node, span)
        | Fault::Slow(node, span)
        | Fault::StallDisk(node, span)
        | Fault::SlowDisk(node, span) => vec![to_node(node), seconds(*span)],
        Fault::Partition(node, scope, span) => vec![
            to_node(node),
            ("scope", scope.name().into()),
            seconds(*span),
        ],
        Fault::LoseOperatorResponses(span) => vec![seconds(*span)],
        Fault::DropLink(node, other) | Fault::Reset(node, other) => {
            vec![to_node(node), ("other", node_name(other).into())]
        }
        Fault::LossyNetwork {
            lost,
            doubled,
            late,
        } => vec![
            ("lost", (*lost).into()),
            ("doubled", (*doubled).into()),
            ("late", (*late).into()),
        ],
        Fault::Origin(origin, _)
        | Fault::DrainOrigin(origin)
        | Fault::ReuseAddress(origin)
        | Fault::Replace(origin) => vec![("to", format!("origin-{origin}").into())],
        Fault::Service(service, _) => vec![("to", deployment.services[*service].name.into())],
        Fault::Purge(prefix) => vec![("prefix", prefix.as_str().into())],
        Fault::Grow(count) | Fault::Race(count) => vec![("count", (*count).into())],
        Fault::LossOnTrigger(trigger, loss) => loss_fields(*trigger, loss),
        _ => vec![],
    }
}

fn loss_fields(trigger: Trigger, loss: &Loss) -> Vec<Field> {
    let mut fields: Vec<Field> = vec![("moment", trigger.name().into())];
    if let Loss::Disk(slot) | Loss::DiskSpace(slot) | Loss::Disks(slot, _) = loss {
        fields.push(to_node(&NodeId::Control(*slot)));
    }
    if let Loss::Disks(_, count) = loss {
        fields.push(("count", (*count).into()));
    }
    fields
}

fn to_node(node: &NodeId) -> Field {
    ("to", node_name(node).into())
}

fn seconds(span: Duration) -> Field {
    ("seconds", span.as_secs_f64().into())
}

fn node_name(node: &NodeId) -> String {
    match node {
        NodeId::Control(slot) => format!("control-{slot}"),
        NodeId::Edge(edge) => format!("edge-{edge}"),
    }
}
