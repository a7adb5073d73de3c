//! Requests for items of the configuration: to set or remove single items, and to list the current ones.

use super::responses::{change_response, invalid, no_reply};
use super::{HandlerResult, body_text, submit};
use crate::prelude::*;

/// Item as sent by operators.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SentItem {
    kind: ItemKind,
    name: String,
    revision: u64,
    /// Content of the item; required. Null removes the item.
    value: Box<RawValue>,
}

/// Item as shown to operators.
#[derive(Serialize)]
struct ShownItem {
    kind: ItemKind,
    name: String,
    revision: u64,
    value: Box<RawValue>,
}

/// All current items.
#[derive(Serialize)]
struct ShownItems {
    version: u64,
    items: Vec<ShownItem>,
}

impl SentItem {
    fn into_item(self) -> Item {
        let source: Arc<str> = self.value.get().into();
        let text = Some(source.clone()).filter(|text| &**text != "null");
        Item {
            kind: self.kind,
            name: self.name,
            revision: self.revision,
            text,
            source,
        }
    }
}

impl ShownItem {
    /// Returns the row's item, unless the row holds something else or the item was removed.
    fn of_row(row: Row) -> Option<serde_json::Result<ShownItem>> {
        let Value::Item(Item {
            kind,
            name,
            revision,
            text: Some(text),
            ..
        }) = row.value
        else {
            return None;
        };
        let value = RawValue::from_string(text.to_string());
        Some(value.map(|value| ShownItem {
            kind,
            name,
            revision,
            value,
        }))
    }
}

/// Parses the items of a call, or returns the findings in each single item.
pub(super) fn parse_items(body: &str) -> Result<Vec<Item>, Vec<Finding>> {
    let sent: Vec<Box<RawValue>> =
        serde_json::from_str(body).map_err(|error| vec![Finding::new("", error.to_string())])?;
    let mut findings = Vec::new();
    let mut items = Vec::new();
    for (at, raw) in sent.iter().enumerate() {
        match serde_json::from_str::<SentItem>(raw.get()).map(SentItem::into_item) {
            Err(error) => findings.push(Finding::new(format!("/{at}"), error.to_string())),
            Ok(item) => {
                let own_findings = Items::findings(&item).into_iter();
                findings.extend(own_findings.map(|finding| finding_at(at, finding)));
                items.push(item);
            }
        }
    }
    if findings.is_empty() {
        Ok(items)
    } else {
        Err(findings)
    }
}

/// Returns a finding with its place in an element of a list.
pub(super) fn finding_at(at: usize, finding: Finding) -> Finding {
    Finding::new(format!("/{at}{}", finding.place), finding.text)
}

/// Sets or removes the items in the request's body.
pub(super) fn put(port: &Port, request: &rouille::Request) -> HandlerResult<rouille::Response> {
    let items = parse_items(&body_text(request)?).map_err(|findings| invalid(&findings))?;
    let change = Change::PutItems { items };
    let outcome = submit(port, CONFIGURATION_PARTITION, &change);
    Ok(change_response(outcome))
}

/// Returns the current items, each byte for byte. For items sent in another form than this program's own, the value is
/// the one read from that form.
pub(super) fn get(port: &Port) -> rouille::Response {
    let (version, rows) = match submit(port, CONFIGURATION_PARTITION, &Change::List) {
        ChangeOutcome::Rows { version, rows } => (version, rows),
        other => return no_reply(&other),
    };
    let shown = rows
        .into_iter()
        .filter_map(|(_, row)| ShownItem::of_row(row));
    match shown.collect::<serde_json::Result<Vec<ShownItem>>>() {
        Ok(items) => json_response(200, &ShownItems { version, items }),
        Err(error) => rejection_response(&Rejection::not_run(500, "not_shown", &error.to_string())),
    }
}
