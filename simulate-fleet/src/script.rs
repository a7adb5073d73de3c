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
    /// Of a hundred messages.
    #[serde(default)]
    lost: Option<u64>,
    #[serde(default)]
    doubled: Option<u64>,
    #[serde(default)]
    late: Option<u64>,
}

impl Script {
    pub fn read(text: &str, deployment: &Deployment) -> Result<Vec<(Duration, Fault)>, Vec<Finding>> {
        let items: Vec<serde_json::Value> = serde_json::from_str(text).map_err(|error| vec![Finding::new("", error.to_string())])?;
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
            let mut say = |field: &str, text: &str| found.push(Finding::new(format!("/{at}/{field}"), text));
            let when = Duration::try_from_secs_f64(line.at).unwrap_or_else(|_| {
                say("at", "must be seconds, not negative");
                Duration::ZERO
            });
            let fault = Script::fault(&line, deployment, &mut say);
            if found.len() == before {
                list.extend(fault.map(|fault| (when, fault)));
            }
        }
        if found.is_empty() { Ok(list) } else { Err(found) }
    }

    fn fault(line: &Line, deployment: &Deployment, say: &mut dyn FnMut(&str, &str)) -> Option<Fault> {
        let number = |name: &str, start: &str| name.strip_prefix(start).and_then(|rest| rest.parse::<usize>().ok());
        let place = |name: &Option<String>| {
            let name = name.as_deref().unwrap_or("");
            let control = number(name, "control-").filter(|at| *at < 4).map(Place::Control);
            control.or(number(name, "edge-").filter(|at| *at < deployment.edges).map(Place::Edge))
        };
        let origins: usize = deployment.services.iter().map(|service| service.origins).sum();
        let (to, other) = (place(&line.to), place(&line.other));
        let origin = line.to.as_deref().and_then(|name| number(name, "origin-")).filter(|at| *at < origins);
        let node = |make: &dyn Fn(Place) -> Fault, say: &mut dyn FnMut(&str, &str)| {
            if to.is_none() {
                say("to", "must be control-0 to control-3 or an edge of the deployment, as edge-0");
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
            "wipe" => node(&Fault::Wipe, say),
            "disk-full" => node(&Fault::DiskFull, say),
            "isolate" => node(&Fault::Isolate, say),
            "pause" => {
                let span = Duration::try_from_secs_f64(line.seconds.unwrap_or(-1.0));
                if span.is_err() {
                    say("seconds", "is needed");
                }
                node(&|place| Fault::Pause(place, span.clone().unwrap_or_default()), say)
            }
            "cut" => {
                if other.is_none() {
                    say("other", "must be a node: nothing gets to it any more");
                }
                node(&|place| Fault::Cut(place, other.unwrap_or(place)), say)
            }
            "heal" => Some(Fault::Heal),
            "weather" => Some(Fault::Weather { lost: line.lost.unwrap_or(0), doubled: line.doubled.unwrap_or(0), late: line.late.unwrap_or(0) }),
            "origin-good" => back(&|at| Fault::Origin(at, Mood::Good), say),
            "origin-down" => back(&|at| Fault::Origin(at, Mood::Down), say),
            "origin-mute" => back(&|at| Fault::Origin(at, Mood::Mute), say),
            "origin-slow" => back(&|at| Fault::Origin(at, Mood::Slow), say),
            "origin-wrong" => back(&|at| Fault::Origin(at, Mood::WrongBytes), say),
            "origin-leave" => back(&Fault::Leave, say),
            "origin-replace" => back(&Fault::Replace, say),
            "origin-usurp" => back(&Fault::Usurp, say),
            "content" => Some(Fault::Content),
            "purge" => Some(Fault::Purge(line.prefix.clone().unwrap_or_else(|| "/".into()))),
            "configure" => Some(Fault::Configure),
            "configure-invalid" => Some(Fault::ConfigureInvalid),
            "race" => Some(Fault::Race),
            "read-back" => Some(Fault::ReadBack),
            "returned" => Some(Fault::Returned),
            _ => {
                say("do", "no such fault or change; see docs/simulator.md");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_script_is_read_and_all_its_findings_come_at_once() {
        let deployment = Deployment::find("small").unwrap();
        let good = r#"[{"at":8,"do":"kill","to":"edge-1"},{"at":9.5,"do":"cut","to":"control-0","other":"edge-3"},{"at":12,"do":"heal"}]"#;
        let list = Script::read(good, &deployment).unwrap();
        assert_eq!(list[1], (Duration::from_millis(9500), Fault::Cut(Place::Control(0), Place::Edge(3))));
        let bad = r#"[{"at":-1,"do":"kill","to":"edge-9"},{"at":1,"do":"explode"},{"at":1,"do":"pause","to":"edge-0"},
            {"at":1,"do":"heal","why":"x"},{"do":"heal"},{"at":1,"do":"cut","to":"edge-1"},{"at":2,"do":"origin-down","to":"edge-1"}]"#;
        let found: Vec<String> = Script::read(bad, &deployment).unwrap_err().into_iter().map(|finding| finding.place).collect();
        assert_eq!(found, ["/0/at", "/0/to", "/1/do", "/2/seconds", "/3", "/4", "/5/other", "/6/to"]);
    }
}
