//! Operators' calls over HTTP, in the product's own words.

use crate::prelude::*;

#[cfg(test)]
mod tests;

inventory::submit!(PlugIn {
    name: "operators",
    program: "control-node",
    order: 100,
    serve
});

/// Longer than a front tries.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// When to ask a node again that was cut off.
const NO_MAJORITY_RETRY: Duration = Duration::from_secs(1);
const MAX_LISTED_ORIGINS: usize = 1000;

fn serve(port: &Port, request: &rouille::Request) -> Option<rouille::Response> {
    let path = request.raw_url().strip_prefix("/.otterslip/v1/")?;
    Some(match (request.method(), path) {
        ("GET", "configuration") => get_configuration(port),
        ("PUT", "configuration") => answer_of(put_configuration(port, request)),
        ("POST", "configuration/check") => answer_of(check_configuration(request)),
        ("POST", "purges") => answer_of(add_purge(port, request)),
        ("POST", "ledger/open") => answer_of(open_ledger(port, request)),
        ("GET", "origins") => list(port, ORIGINS_PARTITION, &show_origins),
        ("PUT", "origins") => answer_of(put_origins(port, request)),
        ("GET", "items") => get_items(port),
        ("PATCH", "items") => answer_of(put_items(port, request)),
        ("GET", "duties") => list(port, ASSIGNMENTS_PARTITION, &show_assignments),
        ("GET", "state") => match port.ask(OPERATOR_REQUEST_TIMEOUT, &|id| Input::Operator {
            id,
            request: OperatorRequest::State,
        }) {
            Some(Output::OperatorResponse {
                response: OperatorResponse::State(state),
                ..
            }) => json(200, &state),
            _ => refuse(&lost()),
        },
        ("GET", _) if path == "history" || path.starts_with("history/") => history(port, path),
        _ => return None,
    })
}

/// The configurations this node has kept: all, one, or one against another.
fn history(port: &Port, path: &str) -> rouille::Response {
    let numbers: Option<Vec<u64>> = path
        .split('/')
        .skip(1)
        .map(|word| word.parse().ok())
        .collect();
    let store = port
        .startup
        .data
        .as_ref()
        .context("no data folder")
        .and_then(|data| History::open(data));
    let told = store.and_then(|store| match numbers.as_deref() {
        Some([]) => Ok(json(
            200,
            &serde_json::json!({ "versions": store.versions()? }),
        )),
        Some([version]) => Ok(rouille::Response::from_data(
            "application/json",
            store.text(*version)?,
        )),
        Some([old, new]) => Ok(rouille::Response::from_data(
            "text/plain; charset=utf-8",
            store.diff(*old, *new)?,
        )),
        _ => bail!("no such path"),
    });
    told.unwrap_or_else(|error| {
        refuse(&Rejection::not_run(
            404,
            "not_in_history",
            &format!("{error:#}"),
        ))
    })
}

fn answer_of(done: Result<rouille::Response, rouille::Response>) -> rouille::Response {
    done.unwrap_or_else(|refused| refused)
}

fn lost() -> Rejection {
    Rejection::unknown(
        503,
        "outcome_unknown",
        "no answer came from the owner in time; read back before trying again",
    )
}

/// The node that was asked is cut off: it neither did anything nor can it tell
/// what is in force.
fn no_majority() -> Rejection {
    let text = "this node is not in contact with a majority; ask another one";
    Rejection::not_run(503, "no_majority", text).with_retry_after(NO_MAJORITY_RETRY)
}

fn text_of(request: &rouille::Request) -> Result<String, rouille::Response> {
    let bytes = read_body(request, CONFIGURATION_BYTES).map_err(|refusal| refuse(&refusal))?;
    String::from_utf8(bytes).map_err(|_| invalid(&[Finding::new("", "not UTF-8")]))
}

fn invalid(found: &[Finding]) -> rouille::Response {
    let body = serde_json::json!({ "code": "invalid", "outcome": "not_run", "text": "nothing took effect", "findings": found });
    json(422, &body)
}

fn ask(port: &Port, partition: u8, change: &Change) -> ChangeOutcome {
    match port.ask(OPERATOR_REQUEST_TIMEOUT, &|id| Input::Operator {
        id,
        request: OperatorRequest::Change {
            partition,
            change: change.clone(),
        },
    }) {
        Some(Output::OperatorResponse {
            response: OperatorResponse::ChangeOutcome(outcome),
            ..
        }) => outcome,
        _ => ChangeOutcome::Unknown,
    }
}

/// What is said where no answer came.
fn unanswered(outcome: &ChangeOutcome) -> rouille::Response {
    match outcome {
        ChangeOutcome::NoMajority => refuse(&no_majority()),
        _ => refuse(&lost()),
    }
}

fn acknowledged(outcome: ChangeOutcome) -> rouille::Response {
    match outcome {
        ChangeOutcome::Acknowledged { version } => {
            json(200, &serde_json::json!({ "version": version }))
                .with_additional_header("ETag", format!("\"{version}\""))
        }
        ChangeOutcome::VersionConflict { version, .. } => {
            let text = "another change came first";
            json(
                409,
                &serde_json::json!({ "code": "raced", "outcome": "not_run", "text": text, "version": version }),
            )
        }
        ChangeOutcome::Findings(found) => invalid(&found),
        ChangeOutcome::RevisionConflict(found) => conflict(&found),
        ChangeOutcome::RevisionForgotten(found) => revision_forgotten(&found),
        other => unanswered(&other),
    }
}

/// Names the items whose revision was accepted with another content.
fn conflict(found: &[Finding]) -> rouille::Response {
    let text = "a revision was accepted with another content; nothing took effect";
    json(
        409,
        &serde_json::json!({ "code": "revision_conflict", "outcome": "not_run", "text": text, "findings": found }),
    )
}

/// Names the items whose revision is below all that is remembered.
fn revision_forgotten(found: &[Finding]) -> rouille::Response {
    let text = "whether these revisions were accepted is not known any more; newer ones stand";
    json(
        410,
        &serde_json::json!({ "code": "revision_forgotten", "outcome": "unknown", "text": text, "findings": found }),
    )
}

fn get_configuration(port: &Port) -> rouille::Response {
    match ask(port, CONFIGURATION_PARTITION, &Change::GetConfiguration) {
        ChangeOutcome::Configuration { version: 0, .. } => refuse(&Rejection::not_run(
            404,
            "no_configuration",
            "none was put yet",
        )),
        ChangeOutcome::Configuration { version, text } => {
            rouille::Response::from_data("application/json", text.as_bytes())
                .with_additional_header("ETag", format!("\"{version}\""))
        }
        other => unanswered(&other),
    }
}

fn check_configuration(request: &rouille::Request) -> Result<rouille::Response, rouille::Response> {
    Configuration::read(&text_of(request)?).map_err(|found| invalid(&found))?;
    Ok(json(200, &serde_json::json!({ "valid": true })))
}

fn put_configuration(
    port: &Port,
    request: &rouille::Request,
) -> Result<rouille::Response, rouille::Response> {
    let text = text_of(request)?;
    Configuration::read(&text).map_err(|found| invalid(&found))?;
    let expect = expected(request)?;
    let change = change_id(expect, &text)?;
    let change = Change::PutConfiguration {
        text: text.into(),
        expect,
        change,
    };
    Ok(acknowledged(ask(port, CONFIGURATION_PARTITION, &change)))
}

/// The version that a change is made to replace, if it says so.
fn expected(request: &rouille::Request) -> Result<Option<u64>, rouille::Response> {
    let read = |tag: &str| tag.trim_matches('"').parse();
    let malformed = |_| {
        refuse(&Rejection::not_run(
            400,
            "if_match_malformed",
            "If-Match must be a version as given in ETag",
        ))
    };
    request
        .header("If-Match")
        .map(read)
        .transpose()
        .map_err(malformed)
}

fn add_purge(
    port: &Port,
    request: &rouille::Request,
) -> Result<rouille::Response, rouille::Response> {
    let purge: Purge = serde_json::from_str(&text_of(request)?)
        .map_err(|error| invalid(&[Finding::new("", error.to_string())]))?;
    let found = purge.findings();
    if !found.is_empty() {
        return Err(invalid(&found));
    }
    Ok(acknowledged(ask(
        port,
        PURGES_PARTITION,
        &Change::AddPurge {
            purge,
            change: new_change_id()?,
        },
    )))
}

/// What an operator says of a generation: nothing that may come again ran before.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenLedger {
    /// As `state` shows it, so that nobody opens another one by habit.
    #[serde(rename = "realm")]
    generation: String,
}

fn open_ledger(
    port: &Port,
    request: &rouille::Request,
) -> Result<rouille::Response, rouille::Response> {
    let said: OpenLedger = serde_json::from_str(&text_of(request)?)
        .map_err(|error| invalid(&[Finding::new("", error.to_string())]))?;
    let generation = u64::from_str_radix(&said.generation, 16).map_err(|_| {
        invalid(&[Finding::new(
            "/realm",
            "must be 16 hexadecimal digits, as state shows it",
        )])
    })?;
    Ok(acknowledged(ask(
        port,
        ASSIGNMENTS_PARTITION,
        &Change::OpenLedger { generation },
    )))
}

fn put_origins(
    port: &Port,
    request: &rouille::Request,
) -> Result<rouille::Response, rouille::Response> {
    let text = text_of(request)?;
    let items: Vec<serde_json::Value> = serde_json::from_str(&text)
        .map_err(|error| invalid(&[Finding::new("", error.to_string())]))?;
    let mut found = Vec::new();
    let mut origins: Vec<Origin> = Vec::new();
    let mut seen = HashSet::new();
    if items.len() > MAX_LISTED_ORIGINS {
        found.push(Finding::new(
            "",
            format!("more than {MAX_LISTED_ORIGINS} origins"),
        ));
    }
    for (at, item) in items.into_iter().enumerate() {
        match serde_json::from_value::<Origin>(item) {
            Err(error) => found.push(Finding::new(format!("/{at}"), error.to_string())),
            Ok(origin) => {
                found.extend(
                    findings_of(origin.validate()).into_iter().map(|finding| {
                        Finding::new(format!("/{at}{}", finding.place), finding.text)
                    }),
                );
                if !seen.insert(origin.address) {
                    found.push(Finding::new(
                        format!("/{at}/address"),
                        "address is listed already",
                    ));
                }
                origins.push(origin);
            }
        }
    }
    if !found.is_empty() {
        return Err(invalid(&found));
    }
    let expect = expected(request)?;
    let change = change_id(expect, &text)?;
    let change = Change::PutOrigins {
        list: Arc::new(origins),
        expect,
        change,
        acknowledge: Acknowledge::Settled,
    };
    Ok(acknowledged(ask(port, ORIGINS_PARTITION, &change)))
}

/// An item as operators send it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SentItem {
    kind: ItemKind,
    name: String,
    revision: u64,
    /// Null: it is removed. It must be said.
    value: Box<RawValue>,
}

impl SentItem {
    fn item(self) -> Item {
        let said: Arc<str> = self.value.get().into();
        let text = Some(said.clone()).filter(|text| &**text != "null");
        Item {
            kind: self.kind,
            name: self.name,
            revision: self.revision,
            text,
            source: said,
        }
    }
}

/// The items of a call, or all that is wrong with each by itself.
fn items_of(body: &str) -> Result<Vec<Item>, Vec<Finding>> {
    let sent: Vec<Box<RawValue>> =
        serde_json::from_str(body).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let mut found = Vec::new();
    let mut items = Vec::new();
    for (at, one) in sent.iter().enumerate() {
        match serde_json::from_str::<SentItem>(one.get()).map(SentItem::item) {
            Err(error) => found.push(Finding::new(format!("/{at}"), error.to_string())),
            Ok(item) => {
                found.extend(
                    Items::findings(&item)
                        .into_iter()
                        .map(|one| Finding::new(format!("/{at}{}", one.place), one.text)),
                );
                items.push(item);
            }
        }
    }
    if found.is_empty() {
        Ok(items)
    } else {
        Err(found)
    }
}

fn put_items(
    port: &Port,
    request: &rouille::Request,
) -> Result<rouille::Response, rouille::Response> {
    let items = items_of(&text_of(request)?).map_err(|found| invalid(&found))?;
    Ok(acknowledged(ask(
        port,
        CONFIGURATION_PARTITION,
        &Change::PutItems { items },
    )))
}

/// Those that stand, each byte for byte; of those sent in other words than
/// ours, what was read from them.
fn get_items(port: &Port) -> rouille::Response {
    #[derive(Serialize)]
    struct PublishedState {
        kind: ItemKind,
        name: String,
        revision: u64,
        value: Box<RawValue>,
    }
    #[derive(Serialize)]
    struct Standing {
        version: u64,
        items: Vec<PublishedState>,
    }
    let (version, rows) = match ask(port, CONFIGURATION_PARTITION, &Change::List) {
        ChangeOutcome::Rows { version, rows } => (version, rows),
        other => return unanswered(&other),
    };
    let shown = |(_, row): (String, Row)| match row.value {
        Value::Item(Item {
            kind,
            name,
            revision,
            text: Some(text),
            ..
        }) => Some(
            RawValue::from_string(text.to_string()).map(|value| PublishedState {
                kind,
                name,
                revision,
                value,
            }),
        ),
        _ => None,
    };
    let items: serde_json::Result<Vec<PublishedState>> =
        rows.into_iter().filter_map(shown).collect();
    match items {
        Ok(items) => json(200, &Standing { version, items }),
        Err(error) => refuse(&Rejection::not_run(500, "not_shown", &error.to_string())),
    }
}

/// Names a change. One that replaces a given version is the same change when
/// it is sent again, to whatever node: that version stands once only. Without
/// a version, the same content is another change each time.
fn change_id(expect: Option<u64>, content: &str) -> Result<u64, rouille::Response> {
    match expect {
        Some(version) => Ok(repeatable_change_id(version, content)),
        None => new_change_id(),
    }
}

fn repeatable_change_id(replaced: u64, content: &str) -> u64 {
    let hash = Sha256::new()
        .chain_update(replaced.to_be_bytes())
        .chain_update(content.as_bytes())
        .finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("eight bytes"))
}

fn new_change_id() -> Result<u64, rouille::Response> {
    new_incarnation().map_err(|error| {
        refuse(&Rejection::not_run(
            500,
            "no_randomness",
            &error.to_string(),
        ))
    })
}

fn list(
    port: &Port,
    partition: u8,
    show: &dyn Fn(u64, Vec<(String, Row)>) -> serde_json::Value,
) -> rouille::Response {
    match ask(port, partition, &Change::List) {
        ChangeOutcome::Rows { version, rows } => json(200, &show(version, rows)),
        other => unanswered(&other),
    }
}

fn show_origins(version: u64, rows: Vec<(String, Row)>) -> serde_json::Value {
    let origins = rows.into_iter().find_map(|(_, row)| match row.value {
        Value::Origins { list, .. } => Some(list),
        _ => None,
    });
    serde_json::json!({ "version": version, "origins": origins.unwrap_or_default() })
}

fn show_assignments(version: u64, rows: Vec<(String, Row)>) -> serde_json::Value {
    let assignments: Vec<_> = rows
        .into_iter()
        .filter_map(|(assignment, row)| match row.value {
            Value::Assignment(known) => {
                let holder = known.owner.map(|peer| peer.address.to_string());
                Some(serde_json::json!({ "duty": assignment, "epoch": known.epoch, "holder": holder }))
            }
            _ => None,
        })
        .collect();
    serde_json::json!({ "version": version, "duties": assignments })
}
