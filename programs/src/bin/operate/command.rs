//! Parsing of the command line into a call to the control plane.
use crate::api::ApiCall;
use programs::prelude::*;

/// Flags of `purge`, and the fields of the request body that they set.
const PURGE_FLAGS: [(&str, &str); 3] = [
    ("--entry", "entry"),
    ("--url", "url"),
    ("--prefix", "prefix"),
];

type PurgeFields = serde_json::Map<String, serde_json::Value>;

/// Parses the command line into a call. Returns all findings if it is not valid.
pub fn parse(flags: pico_args::Arguments) -> Result<ApiCall, Vec<Finding>> {
    let mut parser = Parser {
        flags,
        findings: Vec::new(),
    };
    let mut call = ApiCall::get_from(parser.addresses());
    call.if_match = parser.if_match();
    let purge = parser.purge();
    let operands = parser.operands();
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    parser.command(&operands, &purge, &mut call);
    if call.if_match.is_some() && (call.method, call.path.as_str()) != ("PUT", "configuration") {
        parser.report("--if-match", "goes with put");
    }
    if !purge.is_empty() && call.path != "purges" {
        parser.report("--entry, --url, --prefix", "go with purge");
    }
    if parser.findings.is_empty() {
        Ok(call)
    } else {
        Err(parser.findings)
    }
}

/// Parser of the flags that collects findings.
struct Parser {
    flags: pico_args::Arguments,
    findings: Vec<Finding>,
}

impl Parser {
    fn report(&mut self, place: impl Into<String>, text: impl Into<String>) {
        self.findings.push(Finding::new(place, text));
    }

    fn value(&mut self, flag: &'static str) -> Result<Option<String>, pico_args::Error> {
        self.flags.opt_value_from_str(flag)
    }

    fn addresses(&mut self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        match self.value("--to") {
            Ok(Some(list)) => {
                for item in list.split(',') {
                    match item.parse() {
                        Ok(address) => addresses.push(address),
                        Err(_) => self.report("--to", format!("{item} is no IP:PORT")),
                    }
                }
            }
            Ok(None) => self.report("--to", "is needed"),
            Err(error) => self.report("--to", error.to_string()),
        }
        addresses
    }

    fn if_match(&mut self) -> Option<u64> {
        let text = self.value("--if-match").ok().flatten()?;
        let version = text.parse().ok();
        if version.is_none() {
            self.report("--if-match", format!("{text} is no version"));
        }
        version
    }

    fn purge(&mut self) -> PurgeFields {
        let mut fields = PurgeFields::new();
        for (flag, field) in PURGE_FLAGS {
            match self.value(flag) {
                Ok(Some(text)) => drop(fields.insert(field.into(), text.into())),
                Ok(None) => {}
                Err(error) => self.report(flag, error.to_string()),
            }
        }
        fields
    }

    /// Returns the remaining arguments: the command and its operands.
    fn operands(&mut self) -> Vec<String> {
        let flags = std::mem::replace(&mut self.flags, pico_args::Arguments::from_vec(vec![]));
        let rest = flags.finish().into_iter();
        let (unknown, operands): (Vec<String>, Vec<String>) = rest
            .map(|argument| argument.to_string_lossy().into_owned())
            .partition(|argument| argument.starts_with('-'));
        for flag in unknown {
            self.report(flag, "unknown flag, or its value is missing");
        }
        operands
    }

    fn file(&mut self, path: &str) -> Vec<u8> {
        std::fs::read(path).unwrap_or_else(|error| {
            self.report(path, error.to_string());
            Vec::new()
        })
    }

    fn command(&mut self, operands: &[&str], purge: &PurgeFields, call: &mut ApiCall) {
        let (method, path, body) = match operands {
            ["check", path] => ("POST", "configuration/check".into(), self.file(path)),
            ["put", path] => ("PUT", "configuration".into(), self.file(path)),
            ["get"] => ("GET", "configuration".into(), Vec::new()),
            ["items", "get"] => ("GET", "items".into(), Vec::new()),
            ["items", "put", path] => ("PATCH", "items".into(), self.file(path)),
            ["open-ledger", generation] => {
                let body = serde_json::json!({ "realm": generation });
                ("POST", "ledger/open".into(), body.to_string().into_bytes())
            }
            ["purge"] => {
                let body = serde_json::to_vec(purge).unwrap_or_default();
                ("POST", "purges".into(), body)
            }
            ["origins"] => ("GET", "origins".into(), Vec::new()),
            ["origins", path] => ("PUT", "origins".into(), self.file(path)),
            [name @ ("duties" | "state" | "schema" | "history")] => {
                ("GET", name.to_string(), Vec::new())
            }
            ["show", version] => ("GET", format!("history/{version}"), Vec::new()),
            ["compare", old, new] => ("GET", format!("history/{old}/{new}"), Vec::new()),
            ["put-back", version] => {
                call.put_back = version.parse().ok();
                if call.put_back.is_none() {
                    self.report("put-back", format!("{version} is no version"));
                }
                ("PUT", "configuration".into(), Vec::new())
            }
            [] => return self.report("COMMAND", "is needed"),
            other => return self.report(other.join(" "), "no such command"),
        };
        (call.method, call.path, call.body) = (method, path, body);
    }
}
