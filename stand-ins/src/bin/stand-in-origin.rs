//! Command-line stand-in origin.
use stand_ins::prelude::*;

const HELP: &str = "stand-in for one origin

--http IP:PORT --service NAME --instance NAME [--delay-ms N] [--content FILE] [--record FILE]
The key is derived from the service's name. Faults: PUT /.stand-in/fault/NAME";

fn main() -> Result<()> {
    let mut flags = Flags::from_command_line("stand-in-origin", HELP);
    let address = flags.value::<SocketAddr>("--http", None);
    let service = flags.value::<String>("--service", None);
    let instance = flags.value::<String>("--instance", None);
    let delay = flags.value("--delay-ms", Some(5));
    let content = flags.value::<String>("--content", Some(String::new()));
    let record = flags.value::<String>("--record", Some(String::new()));
    flags.finish();
    let (service, instance) = (service.context("service")?, instance.context("instance")?);
    let mut origin = StandInOrigin::new(
        address.context("address")?,
        &service,
        &instance,
        Deployment::signing_key(&service),
    );
    origin.delay = Duration::from_millis(delay.unwrap_or(5));
    origin.content = content.filter(|path| !path.is_empty()).map(Into::into);
    origin.record = record
        .filter(|path| !path.is_empty())
        .map(|path| Recorder::open(Path::new(&path)))
        .transpose()?;
    let (_, server) = Arc::new(origin).serve(Arc::default())?;
    let _ = server.join();
    Ok(())
}
