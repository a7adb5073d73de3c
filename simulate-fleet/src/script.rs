//! Schedules as text: reads and writes them.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// A scenario file: what happens when. Everything wrong with it is told at
/// once, each with its place.
pub struct Script;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    /// Seconds of virtual time.
    at: f64,
    #[serde(rename = "do")]
    what: String,
    /// "control-0", "edge-3", "origin-2".
    #[serde(default)]
    to: Option<String>,
    #[serde(default)]
    other: Option<String>,
    #[serde(default)]
    seconds: Option<f64>,
    #[serde(default)]
    prefix: Option<String>,
    /// Operators in a race, entries of a growth.
    #[serde(default)]
    count: Option<usize>,
    #[serde(default, rename = "moment")]
    trigger: Option<String>,
    /// What a node that is cut off does not reach.
    #[serde(default)]
    scope: Option<String>,
    /// Of a hundred messages.
    #[serde(default)]
    lost: Option<u64>,
    #[serde(default)]
    doubled: Option<u64>,
    #[serde(default)]
    late: Option<u64>,
}

impl Script {
    /// For a fleet of so many control nodes.
    pub fn read(
        text: &str,
        deployment: &Deployment,
        control: usize,
    ) -> Result<Vec<(Duration, Fault)>, Vec<Finding>> {
        let items: Vec<serde_json::Value> = serde_json::from_str(text)
            .map_err(|error| vec![Finding::new("", error.to_string())])?;
        let mut found = Vec::new();
        let mut list = Vec::new();
        for (at, item) in items.into_iter().enumerate() {
            let line: Line = match serde_json::from_value(item) {
                Ok(line) => line,
                Err(error) => {
                    found.push(Finding::new(format!("/{at}"), error.to_string()));
                    continue;
                }
            };
            let before = found.len();
            let mut say =
                |field: &str, text: &str| found.push(Finding::new(format!("/{at}/{field}"), text));
            let when = Duration::try_from_secs_f64(line.at).unwrap_or_else(|_| {
                say("at", "must be seconds, not negative");
                Duration::ZERO
            });
            let fault = Script::fault(&line, deployment, control, &mut say);
            if found.len() == before {
                list.extend(fault.map(|fault| (when, fault)));
            }
        }
        if found.is_empty() {
            Ok(list)
        } else {
            Err(found)
        }
    }

    /// The script that says the same, a line each.
    pub fn write(list: &[(Duration, Fault)], deployment: &Deployment) -> String {
        let node = |place: &NodeId| match place {
            NodeId::Control(slot) => format!("control-{slot}"),
            NodeId::Edge(at) => format!("edge-{at}"),
        };
        let lines: Vec<String> = list
            .iter()
            .map(|(at, fault)| {
                let mut line = json!({ "at": at.as_secs_f64(), "do": fault.name() });
                let mut set = |name: &str, value: serde_json::Value| line[name] = value;
                match fault {
                    Fault::Kill(to)
                    | Fault::Start(to)
                    | Fault::Restart(to)
                    | Fault::Retire(to)
                    | Fault::Wipe(to)
                    | Fault::DiskFull(to)
                    | Fault::Isolate(to) => set("to", node(to).into()),
                    Fault::Pause(to, span)
                    | Fault::Slow(to, span)
                    | Fault::StallDisk(to, span)
                    | Fault::SlowDisk(to, span) => {
                        set("to", node(to).into());
                        set("seconds", span.as_secs_f64().into());
                    }
                    Fault::Partition(to, scope, span) => {
                        set("to", node(to).into());
                        set("scope", scope.name().into());
                        set("seconds", span.as_secs_f64().into());
                    }
                    Fault::LoseOperatorResponses(span) => set("seconds", span.as_secs_f64().into()),
                    Fault::DropLink(to, other) | Fault::Reset(to, other) => {
                        set("to", node(to).into());
                        set("other", node(other).into());
                    }
                    Fault::LossyNetwork {
                        lost,
                        doubled,
                        late,
                    } => [("lost", lost), ("doubled", doubled), ("late", late)]
                        .into_iter()
                        .for_each(|(name, share)| set(name, (*share).into())),
                    Fault::Origin(to, _)
                    | Fault::DrainOrigin(to)
                    | Fault::ReuseAddress(to)
                    | Fault::Replace(to) => set("to", format!("origin-{to}").into()),
                    Fault::Service(to, _) => set("to", deployment.services[*to].name.into()),
                    Fault::Purge(prefix) => set("prefix", prefix.as_str().into()),
                    Fault::Grow(count) | Fault::Race(count) => set("count", (*count).into()),
                    Fault::LossOnTrigger(trigger, loss) => {
                        set("moment", trigger.name().into());
                        if let Loss::Disk(slot) | Loss::DiskSpace(slot) | Loss::Disks(slot, _) =
                            loss
                        {
                            set("to", node(&NodeId::Control(*slot)).into());
                        }
                        if let Loss::Disks(_, count) = loss {
                            set("count", (*count).into());
                        }
                    }
                    _ => {}
                }
                line.to_string()
            })
            .collect();
        format!("[{}]", lines.join(",\n "))
    }

    fn span(line: &Line, say: &mut dyn FnMut(&str, &str)) -> Duration {
        Duration::try_from_secs_f64(line.seconds.unwrap_or(-1.0)).unwrap_or_else(|_| {
            say("seconds", "is needed");
            Duration::ZERO
        })
    }

    fn scope(line: &Line, say: &mut dyn FnMut(&str, &str)) -> PartitionScope {
        let name = line
            .scope
            .as_deref()
            .unwrap_or(PartitionScope::Everybody.name());
        let known = PartitionScope::ALL
            .into_iter()
            .find(|scope| scope.name() == name);
        known.unwrap_or_else(|| {
            say("scope", "no such scope; see docs/simulator.md");
            PartitionScope::Everybody
        })
    }

    fn fault(
        line: &Line,
        deployment: &Deployment,
        control: usize,
        say: &mut dyn FnMut(&str, &str),
    ) -> Option<Fault> {
        let number = |name: &str, start: &str| {
            name.strip_prefix(start)
                .and_then(|rest| rest.parse::<usize>().ok())
        };
        let place = |name: &Option<String>| {
            let name = name.as_deref().unwrap_or("");
            let node = number(name, "control-")
                .filter(|at| *at <= control)
                .map(NodeId::Control);
            node.or(number(name, "edge-")
                .filter(|at| *at < deployment.edges)
                .map(NodeId::Edge))
        };
        let origins: usize = deployment
            .services
            .iter()
            .map(|service| service.origins)
            .sum();
        let (to, other) = (place(&line.to), place(&line.other));
        let origin = line
            .to
            .as_deref()
            .and_then(|name| number(name, "origin-"))
            .filter(|at| *at < origins);
        let node = |make: &dyn Fn(NodeId) -> Fault, say: &mut dyn FnMut(&str, &str)| {
            if to.is_none() {
                say(
                    "to",
                    "must be control-0 to control-3 (the last one: the standby) or an edge of the deployment, as edge-0",
                );
            }
            to.map(make)
        };
        let back = |make: &dyn Fn(usize) -> Fault, say: &mut dyn FnMut(&str, &str)| {
            if origin.is_none() {
                say("to", "must be an origin of the deployment, as origin-0");
            }
            origin.map(make)
        };
        match line.what.as_str() {
            "kill" => node(&Fault::Kill, say),
            "start" => node(&Fault::Start, say),
            "restart" => node(&Fault::Restart, say),
            "retire" => node(&Fault::Retire, say),
            "wipe" => node(&Fault::Wipe, say),
            "disk-full" => node(&Fault::DiskFull, say),
            "isolate" => node(&Fault::Isolate, say),
            "pause" => {
                let span = Script::span(line, say);
                node(&|place| Fault::Pause(place, span), say)
            }
            "slow" => {
                let span = Script::span(line, say);
                node(&|place| Fault::Slow(place, span), say)
            }
            "disk-stall" => {
                let span = Script::span(line, say);
                node(&|place| Fault::StallDisk(place, span), say)
            }
            "disk-slow" => {
                let span = Script::span(line, say);
                node(&|place| Fault::SlowDisk(place, span), say)
            }
            "cut-off" => {
                let span = Script::span(line, say);
                let scope = Script::scope(line, say);
                node(&|place| Fault::Partition(place, scope, span), say)
            }
            "lose-answers" => Some(Fault::LoseOperatorResponses(Script::span(line, say))),
            "reset" => {
                if other.is_none() {
                    say("other", "must be a node: the other end");
                }
                node(&|place| Fault::Reset(place, other.unwrap_or(place)), say)
            }
            "turn-seeds" => Some(Fault::ReorderSeeds),
            "put-item" => Some(Fault::PutItem),
            "cut" => {
                if other.is_none() {
                    say("other", "must be a node: nothing gets to it any more");
                }
                node(&|place| Fault::DropLink(place, other.unwrap_or(place)), say)
            }
            "heal" => Some(Fault::Heal),
            "weather" => Some(Fault::LossyNetwork {
                lost: line.lost.unwrap_or(0),
                doubled: line.doubled.unwrap_or(0),
                late: line.late.unwrap_or(0),
            }),
            "origin-leave" => back(&Fault::DrainOrigin, say),
            "origin-replace" => back(&Fault::Replace, say),
            "origin-usurp" => back(&Fault::ReuseAddress, say),
            name if OriginBehavior::ALL
                .iter()
                .any(|behavior| behavior.name() == name) =>
            {
                let behavior = OriginBehavior::ALL
                    .into_iter()
                    .find(|behavior| behavior.name() == name)?;
                back(&|at| Fault::Origin(at, behavior), say)
            }
            name if name.starts_with("service-") => {
                let behavior = OriginBehavior::ALL.into_iter().find(|behavior| {
                    behavior.name()["origin-".len()..] == name["service-".len()..]
                });
                let service = deployment
                    .services
                    .iter()
                    .position(|service| Some(service.name) == line.to.as_deref());
                if service.is_none() {
                    say("to", "must be a service of the deployment");
                }
                if behavior.is_none() {
                    say("do", "no such fault or change; see docs/simulator.md");
                }
                Some(Fault::Service(service?, behavior?))
            }
            "power-on" | "disk-lost-on" | "disks-lost-on" | "disk-full-on" => {
                let trigger = Trigger::ALL
                    .into_iter()
                    .find(|trigger| Some(trigger.name()) == line.trigger.as_deref());
                if trigger.is_none() {
                    say("moment", "must be configured, purged or booked");
                }
                let slot = match to {
                    Some(NodeId::Control(slot)) => slot,
                    _ if line.what == "power-on" => 0,
                    _ => {
                        say("to", "must be a control node");
                        0
                    }
                };
                let loss = match line.what.as_str() {
                    "power-on" => Loss::Power,
                    "disk-lost-on" => Loss::Disk(slot),
                    "disks-lost-on" => Loss::Disks(slot, line.count.unwrap_or(1)),
                    _ => Loss::DiskSpace(slot),
                };
                Some(Fault::LossOnTrigger(trigger?, loss))
            }
            "content" => Some(Fault::Content),
            "purge" => Some(Fault::Purge(
                line.prefix.clone().unwrap_or_else(|| "/".into()),
            )),
            "configure" => Some(Fault::Configure),
            "configure-invalid" => Some(Fault::ConfigureInvalid),
            "race" => Some(Fault::Race(line.count.unwrap_or(2))),
            "grow" => Some(Fault::Grow(line.count.unwrap_or(1000))),
            "lose-all" => Some(Fault::LoseAll),
            "open-ledger" => Some(Fault::OpenLedger),
            "read-back" => Some(Fault::ReadBack),
            "returned" => Some(Fault::Returned),
            _ => {
                say("do", "no such fault or change; see docs/simulator.md");
                None
            }
        }
    }
}
