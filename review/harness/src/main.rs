//! Runs one case: `review-case NAME FOLDER`, from the project's root. Exit codes: 0 the rule held, 1 it was broken,
//! 2 the case could not run. With TROUBLE=0 in the environment the disruption is left out.
mod case;
mod first_start;
mod fleet;
mod http;
mod origin;
mod platform;
mod record;
mod stale_copy;
mod stale_reader;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next().map(PathBuf::from)) else {
        eprintln!("review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let run = match name.as_str() {
        "stale-copy" => stale_copy::run,
        "first-start" => first_start::run,
        "stale-reader" => stale_reader::run,
        _ => {
            eprintln!("no such case: {name}");
            return ExitCode::from(2);
        }
    };
    case::play(&folder, run)
}
