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
mod two_gone;

use case::Shape;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next().map(PathBuf::from)) else {
        eprintln!("review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let small = Shape {
        machines: 3,
        spare: 1,
        tolerated: 1,
    };
    // One control node in each of four zones, and two machines may be lost.
    let zones = Shape {
        machines: 4,
        spare: 2,
        tolerated: 2,
    };
    match name.as_str() {
        "stale-copy" => case::play(&folder, small, stale_copy::run),
        "first-start" => case::play(&folder, small, first_start::run),
        "stale-reader" => case::play(&folder, small, stale_reader::run),
        "two-gone" => case::play(&folder, zones, two_gone::run),
        _ => {
            eprintln!("no such case: {name}");
            ExitCode::from(2)
        }
    }
}
