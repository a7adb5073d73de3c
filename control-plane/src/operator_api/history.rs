//! Requests for the configurations stored on this node.

use crate::prelude::*;

/// Reason why no stored configuration is shown.
#[derive(Debug, thiserror::Error)]
enum NotShown {
    #[error("no data folder")]
    NoDataFolder,
    #[error("no such path")]
    NoSuchPath,
    #[error(transparent)]
    History(#[from] HistoryError),
}

/// Returns all versions, the text of one, or the difference of two.
pub(super) fn get(port: &Port, path: &str) -> rouille::Response {
    let data = port.startup.data.as_deref();
    show(data, path).unwrap_or_else(|error| {
        let text = error.to_string();
        rejection_response(&Rejection::not_run(404, "not_in_history", &text))
    })
}

fn show(data: Option<&Path>, path: &str) -> Result<rouille::Response, NotShown> {
    let versions: Option<Vec<u64>> = path
        .split('/')
        .skip(1)
        .map(|version| version.parse().ok())
        .collect();
    let history = History::open(data.ok_or(NotShown::NoDataFolder)?)?;
    match versions.as_deref() {
        Some([]) => {
            let body = serde_json::json!({ "versions": history.versions()? });
            Ok(json_response(200, &body))
        }
        Some([version]) => {
            let text = history.text(*version)?;
            Ok(rouille::Response::from_data("application/json", text))
        }
        Some([old, new]) => {
            let diff = history.diff(*old, *new)?;
            let content_type = "text/plain; charset=utf-8";
            Ok(rouille::Response::from_data(content_type, diff))
        }
        _ => Err(NotShown::NoSuchPath),
    }
}
