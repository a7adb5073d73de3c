//! Scripts of the second review: each starts the project's own programs as separate processes on
//! loopback addresses, disturbs them, and judges what clients, origins and operators have seen.
//!
//! Usage: review-harness-2 CASE FOLDER (CASE: claims, handover, invalid). `FOLDER/record.txt` is written.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
mod claims;
mod fleet;
mod handover;
mod http;
mod invalid;
mod load;
mod origin;
mod record;

use std::process::ExitCode;

/// The verdict of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Error that prevents a case from running.
pub type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || -> Result<Verdict, Failure> {
        let record = record::Record::create(folder)?;
        record.line(&format!("case {case}, trouble: {has_trouble}"));
        let verdict = match case.as_str() {
            "claims" => claims::run(&record, has_trouble),
            "handover" => handover::run(&record, has_trouble),
            "invalid" => invalid::run(&record, has_trouble),
            unknown => Err(format!("unknown case {unknown}").into()),
        };
        match &verdict {
            Ok(Verdict::Held) => record.line("verdict: the rule held"),
            Ok(Verdict::Broken) => record.line("verdict: the rule was broken"),
            Err(error) => record.line(&format!("the case could not run: {error}")),
        }
        verdict
    };
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
