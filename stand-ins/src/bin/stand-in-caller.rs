//! Command-line client: runs a traffic plan or sends one request.
use stand_ins::prelude::*;

const HELP: &str = "stand-in for clients

--plan FILE --record FILE     runs the traffic of the plan
--edge IP:PORT --path PATH [--method GET] [--operation KEY]     sends one request and prints its record";

fn main() -> Result<()> {
    let mut flags = Flags::from_command_line("stand-in-caller", HELP);
    let plan = flags
        .value::<String>("--plan", Some(String::new()))
        .filter(|path| !path.is_empty());
    if let Some(path) = plan {
        let record = flags.value::<String>("--record", None);
        let plan = fs::read_to_string(&path).map_err(|error| error.to_string());
        let plan = plan.and_then(|text| {
            serde_json::from_str::<CallerPlan>(&text).map_err(|error| error.to_string())
        });
        if let Err(error) = &plan {
            flags.add_finding(&path, error);
        }
        flags.finish();
        let plan = plan.map_err(|error| anyhow!(error))?;
        Traffic::run(plan, Recorder::open(Path::new(&record.context("record")?))?);
        return Ok(());
    }
    let edge = flags.value::<SocketAddr>("--edge", None);
    let path = flags.value::<String>("--path", None);
    let method = flags.value("--method", Some("GET".to_string()));
    let operation = flags
        .value("--operation", Some(String::new()))
        .filter(|key| !key.is_empty());
    flags.finish();
    let (edge, path) = (edge.context("edge")?, path.context("path")?);
    let mix = stand_ins::deployment::Mix {
        entry: String::new(),
        path: path.clone(),
        paths: 1,
        percentage: 100,
        method: method.unwrap_or_default(),
        keyed: operation.is_some(),
        rank: 0,
        ttl: 0,
    };
    let record = stand_ins::caller::send_request(&mix, &path, operation.as_deref(), edge);
    println!("{}", serde_json::to_string_pretty(&record)?);
    std::process::exit(i32::from(record.status != 200));
}
