//! Command line for operators.
mod api;
mod command;

use api::{ApiCall, ApiResponse};
use programs::prelude::*;

const HELP: &str = "operate: command-line client for operators of otterslip

Usage: operate --to IP:PORT[,IP:PORT...] COMMAND

  check FILE                      print all findings of a configuration; changes nothing
  put FILE [--if-match VERSION]   put a configuration; returns once it is in effect
  get                             print the configuration in effect, as it was put
  items get                       print the named items, which are kept beside it
  items put FILE                  put and remove named items, atomically
  purge [--entry NAME] [--url URL | --prefix START]
  origins [FILE]                  print the list of origins, or put it from a file
  history                         print the versions in the histories of the given nodes
  show VERSION                    print an earlier configuration
  compare OLD NEW                 print the differences between two versions
  put-back VERSION --if-match V   put an earlier configuration as a new version
  open-ledger REALM               confirm that no operation that may be retried ran before this
                                  realm (see state); new operations are accepted at once
  duties                          print the assignments and their holders
  state                           print nodes, sessions, usage and owned slices
  schema                          print the schema of all remote calls

--to lists the HTTP addresses of control nodes; reads go to the first that responds.
Exit codes: 0 executed; 1 rejected or not sent, see the output; 2 invalid options; 3 outcome unknown.";

/// Exit code if the command was executed. Scripts may rely on the exit codes.
const DONE: i32 = 0;
/// Exit code if the command was rejected or could not be sent.
const REFUSED: i32 = 1;
/// Exit code if the outcome of a change is unknown.
const OUTCOME_UNKNOWN: i32 = 3;

fn main() {
    let mut flags = pico_args::Arguments::from_env();
    help_or_version("operate", &mut flags, HELP);
    std::process::exit(match command::parse(flags) {
        Ok(call) => run(call),
        Err(findings) => exit_with_findings("operate", &findings),
    });
}

fn run(mut call: ApiCall) -> i32 {
    if call.path == "history" {
        return list_history(&call);
    }
    if let Some(version) = call.put_back {
        let Some(text) = earlier_configuration(&call, version) else {
            eprintln!("operate: version {version} is in no history of the nodes named");
            return REFUSED;
        };
        call.body = text.into_bytes();
    }
    send_to_nodes(&call)
}

/// Sends the call to the nodes in order until one responds.
fn send_to_nodes(call: &ApiCall) -> i32 {
    let mut last_error = String::new();
    for to in &call.to {
        let is_last = Some(to) == call.to.last();
        match call.send(*to) {
            // Another node may have the version that this one does not have.
            Ok(response)
                if response.status == 404 && call.path.starts_with("history/") && !is_last => {}
            Ok(response) => return show(call, &response),
            Err(error) => {
                last_error = format!("{to}: {error}");
                if call.method != "GET" && !is_connection_refused(&error) {
                    eprintln!(
                        "operate: {last_error}\noperate: outcome unknown; read back before trying again"
                    );
                    return OUTCOME_UNKNOWN;
                }
            }
        }
    }
    eprintln!("operate: {last_error}");
    REFUSED
}

/// Returns true if the connection was refused, so that no request was sent.
fn is_connection_refused(error: &attohttpc::Error) -> bool {
    matches!(error.kind(), attohttpc::ErrorKind::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Reads this version of the configuration from the first node that has it.
fn earlier_configuration(call: &ApiCall, version: u64) -> Option<String> {
    let earlier = ApiCall {
        path: format!("history/{version}"),
        ..ApiCall::get_from(call.to.clone())
    };
    let responses = call.to.iter().filter_map(|to| earlier.send(*to).ok());
    let found = responses
        .into_iter()
        .find(|response| response.status == 200);
    found.map(|response| response.text)
}

/// Prints all versions in the histories of the nodes.
fn list_history(call: &ApiCall) -> i32 {
    let mut versions = BTreeSet::new();
    let mut responded = false;
    let responses = call.to.iter().filter_map(|to| call.send(*to).ok());
    for response in responses.filter(|response| response.status == 200) {
        responded = true;
        let body: serde_json::Value = serde_json::from_str(&response.text).unwrap_or_default();
        let listed = body["versions"].as_array().into_iter().flatten();
        versions.extend(listed.filter_map(serde_json::Value::as_u64));
    }
    versions.iter().for_each(|version| println!("{version}"));
    if responded { DONE } else { REFUSED }
}

fn show(call: &ApiCall, response: &ApiResponse) -> i32 {
    if response.status == 200 {
        show_success(call, response);
        return DONE;
    }
    show_error(response)
}

fn show_success(call: &ApiCall, response: &ApiResponse) {
    if let Some(tag) = &response.tag {
        eprintln!("version {}", tag.trim_matches('"'));
    }
    if call.method == "GET" || response.tag.is_none() {
        print!("{}", response.text);
        if !response.text.ends_with('\n') {
            println!();
        }
    }
}

fn show_error(response: &ApiResponse) -> i32 {
    let body: serde_json::Value = serde_json::from_str(&response.text).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or("?");
    eprintln!(
        "operate: {} {} ({}): {}",
        response.status,
        text("code"),
        text("outcome"),
        text("text")
    );
    for finding in body["findings"].as_array().into_iter().flatten() {
        let text = |name: &str| finding[name].as_str().unwrap_or("");
        eprintln!("  {}: {}", text("place"), text("text"));
    }
    if let Some(version) = body.get("version") {
        eprintln!("  version in force: {version}");
    }
    if text("outcome") == "unknown" {
        OUTCOME_UNKNOWN
    } else {
        REFUSED
    }
}
