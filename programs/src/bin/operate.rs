//! The operators' command line.
use programs::prelude::*;

const HELP: &str = "operate: the command line of otterslip

Usage: operate --to IP:PORT[,IP:PORT...] COMMAND

  check FILE                      all findings of a configuration; changes nothing
  put FILE [--if-match VERSION]   put a configuration; returns once it is in force
  get                             the configuration in force, as it was put
  items get                       the named parts that stand beside it
  items put FILE                  sets and removes named parts, whole or not at all
  purge [--entry NAME] [--url URL | --prefix START]
  origins [FILE]                  the list of origins, or put it from a file
  history                         versions kept by the nodes named
  show VERSION                    an earlier configuration
  compare OLD NEW                 what changed between two
  put-back VERSION --if-match V   put an earlier one again, as a new version
  open-ledger REALM               says that no fleet ran operations before this realm
                                  (see state): new ones are taken at once
  duties                          who holds which duty
  state                           nodes, sessions, usage, slices
  schema                          the schema of all remote calls

--to names HTTP addresses of control nodes; reads go to the first that answers.
Exit codes: 0 done; 1 refused, see the text; 2 bad options; 3 outcome unknown.";

struct Told {
    status: u16,
    tag: Option<String>,
    text: String,
}

fn main() {
    let mut flags = pico_args::Arguments::from_env();
    help_or_version("operate", &mut flags, HELP);
    std::process::exit(match gather(flags) {
        Ok(ask) => run(ask),
        Err(found) => exit_with_findings("operate", &found),
    });
}

/// One remote call, ready to be made.
struct Ask {
    to: Vec<SocketAddr>,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    if_match: Option<u64>,
    /// Taken from the history first, then put.
    put_back: Option<u64>,
}

fn gather(mut flags: pico_args::Arguments) -> Result<Ask, Vec<Finding>> {
    let mut found = Vec::new();
    let mut ask = Ask {
        to: vec![],
        method: "GET",
        path: String::new(),
        body: vec![],
        if_match: None,
        put_back: None,
    };
    match flags.opt_value_from_str::<_, String>("--to") {
        Ok(Some(list)) => {
            for one in list.split(',') {
                match one.parse() {
                    Ok(address) => ask.to.push(address),
                    Err(_) => found.push(Finding::new("--to", format!("{one} is no IP:PORT"))),
                }
            }
        }
        Ok(None) => found.push(Finding::new("--to", "is needed")),
        Err(error) => found.push(Finding::new("--to", error.to_string())),
    }
    match flags
        .opt_value_from_str::<_, String>("--if-match")
        .ok()
        .flatten()
        .map(|text| text.parse().map_err(|_| text))
    {
        Some(Ok(version)) => ask.if_match = Some(version),
        Some(Err(text)) => found.push(Finding::new("--if-match", format!("{text} is no version"))),
        None => {}
    }
    let mut purge = serde_json::Map::new();
    for name in ["entry", "url", "prefix"] {
        let flag: &'static str = match name {
            "entry" => "--entry",
            "url" => "--url",
            _ => "--prefix",
        };
        match flags.opt_value_from_str::<_, String>(flag) {
            Ok(Some(text)) => drop(purge.insert(name.into(), text.into())),
            Ok(None) => {}
            Err(error) => found.push(Finding::new(flag, error.to_string())),
        }
    }
    let words: Vec<String> = flags
        .finish()
        .into_iter()
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let (odd, words): (Vec<&str>, Vec<&str>) = words
        .iter()
        .map(String::as_str)
        .partition(|word| word.starts_with('-'));
    found.extend(
        odd.into_iter()
            .map(|flag| Finding::new(flag, "unknown flag, or its value is missing")),
    );
    let mut file = |path: &str| {
        std::fs::read(path).unwrap_or_else(|error| {
            found.push(Finding::new(path, error.to_string()));
            vec![]
        })
    };
    match words.as_slice() {
        ["check", path] => {
            (ask.method, ask.path, ask.body) = ("POST", "configuration/check".into(), file(path))
        }
        ["put", path] => {
            (ask.method, ask.path, ask.body) = ("PUT", "configuration".into(), file(path))
        }
        ["get"] => ask.path = "configuration".into(),
        ["items", "get"] => ask.path = "items".into(),
        ["items", "put", path] => {
            (ask.method, ask.path, ask.body) = ("PATCH", "items".into(), file(path))
        }
        ["open-ledger", generation] => {
            (ask.method, ask.path) = ("POST", "ledger/open".into());
            ask.body = serde_json::json!({ "realm": generation })
                .to_string()
                .into_bytes();
        }
        ["purge"] => {
            (ask.method, ask.path) = ("POST", "purges".into());
            ask.body = serde_json::to_vec(&purge).unwrap_or_default();
        }
        ["origins"] => ask.path = "origins".into(),
        ["origins", path] => {
            (ask.method, ask.path, ask.body) = ("PUT", "origins".into(), file(path))
        }
        [name @ ("duties" | "state" | "schema" | "history")] => ask.path = name.to_string(),
        ["show", version] => ask.path = format!("history/{version}"),
        ["compare", old, new] => ask.path = format!("history/{old}/{new}"),
        ["put-back", version] => {
            (ask.method, ask.path) = ("PUT", "configuration".into());
            ask.put_back = version.parse().ok();
            if ask.put_back.is_none() {
                found.push(Finding::new("put-back", format!("{version} is no version")));
            }
        }
        [] => found.push(Finding::new("COMMAND", "is needed")),
        other => found.push(Finding::new(other.join(" "), "no such command")),
    }
    if ask.if_match.is_some() && (ask.method, ask.path.as_str()) != ("PUT", "configuration") {
        found.push(Finding::new("--if-match", "goes with put"));
    }
    if !purge.is_empty() && ask.path != "purges" {
        found.push(Finding::new("--entry, --url, --prefix", "go with purge"));
    }
    if found.is_empty() {
        Ok(ask)
    } else {
        Err(found)
    }
}

fn run(mut ask: Ask) -> i32 {
    if ask.path == "history" {
        return history(&ask);
    }
    if let Some(version) = ask.put_back {
        let kept = Ask {
            method: "GET",
            path: format!("history/{version}"),
            body: vec![],
            if_match: None,
            put_back: None,
            to: ask.to.clone(),
        };
        match ask
            .to
            .iter()
            .filter_map(|to| call(*to, &kept).ok())
            .find(|told| told.status == 200)
        {
            Some(told) => ask.body = told.text.into_bytes(),
            None => {
                eprintln!("operate: version {version} is in no history of the nodes named");
                return 1;
            }
        }
    }
    let ask = &ask;
    let mut last = String::new();
    for to in &ask.to {
        match call(*to, ask) {
            // Another node may have kept what this one has not.
            Ok(told)
                if told.status == 404
                    && ask.path.starts_with("history/")
                    && Some(to) != ask.to.last() =>
            {
                continue;
            }
            Ok(told) => return show(ask, &told),
            Err(error) => {
                // A connection that never came about asked nothing.
                let refused = matches!(error.kind(), attohttpc::ErrorKind::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused);
                last = format!("{to}: {error}");
                if ask.method != "GET" && !refused {
                    eprintln!(
                        "operate: {last}\noperate: outcome unknown; read back before trying again"
                    );
                    return 3;
                }
            }
        }
    }
    eprintln!("operate: {last}");
    1
}

/// All versions that any of the nodes kept.
fn history(ask: &Ask) -> i32 {
    let mut versions = BTreeSet::new();
    let mut answered = false;
    for told in ask
        .to
        .iter()
        .filter_map(|to| call(*to, ask).ok())
        .filter(|told| told.status == 200)
    {
        answered = true;
        let body: serde_json::Value = serde_json::from_str(&told.text).unwrap_or_default();
        versions.extend(
            body["versions"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|version| version.as_u64()),
        );
    }
    versions.iter().for_each(|version| println!("{version}"));
    i32::from(!answered)
}

fn call(to: SocketAddr, ask: &Ask) -> attohttpc::Result<Told> {
    let method = attohttpc::Method::from_bytes(ask.method.as_bytes()).expect("ours");
    let mut request =
        attohttpc::RequestBuilder::new(method, format!("http://{to}/.otterslip/v1/{}", ask.path))
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .timeout(Duration::from_secs(20));
    if let Some(version) = ask.if_match {
        request = request.header("If-Match", format!("\"{version}\""));
    }
    let answer = request.bytes(ask.body.as_slice()).send()?;
    let tag = answer
        .headers()
        .get("etag")
        .and_then(|tag| tag.to_str().ok())
        .map(Into::into);
    Ok(Told {
        status: answer.status().as_u16(),
        tag,
        text: answer.text_utf8()?,
    })
}

fn show(ask: &Ask, told: &Told) -> i32 {
    if told.status == 200 {
        if let Some(tag) = &told.tag {
            eprintln!("version {}", tag.trim_matches('"'));
        }
        if ask.method == "GET" || told.tag.is_none() {
            print!("{}", told.text);
            if !told.text.ends_with('\n') {
                println!();
            }
        }
        return 0;
    }
    let body: serde_json::Value = serde_json::from_str(&told.text).unwrap_or_default();
    let word = |name: &str| {
        body.get(name)
            .and_then(|value| value.as_str())
            .unwrap_or("?")
    };
    eprintln!(
        "operate: {} {} ({}): {}",
        told.status,
        word("code"),
        word("outcome"),
        word("text")
    );
    for finding in body
        .get("findings")
        .and_then(|list| list.as_array())
        .into_iter()
        .flatten()
    {
        let part = |name: &str| {
            finding
                .get(name)
                .and_then(|value| value.as_str())
                .unwrap_or("")
        };
        eprintln!("  {}: {}", part("place"), part("text"));
    }
    if let Some(version) = body.get("version") {
        eprintln!("  version in force: {version}");
    }
    if word("outcome") == "unknown" { 3 } else { 1 }
}
