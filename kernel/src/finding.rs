//! Findings: what is wrong with settings and documents, reported together.
use crate::prelude::*;

/// One thing wrong with a document or a setting. Findings are collected and
/// reported together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where: a JSON pointer, or the flag's name.
    pub place: String,
    /// What is wrong.
    pub text: String,
}

impl Finding {
    /// A finding at `place`.
    pub fn new(place: impl Into<String>, text: impl Into<String>) -> Finding {
        Finding {
            place: place.into(),
            text: text.into(),
        }
    }
}

/// Prints everything that is wrong and ends the program with code 2.
pub fn exit_with_findings(program: &str, found: &[Finding]) -> ! {
    for finding in found {
        eprintln!("{program}: {finding}");
    }
    eprintln!(
        "{program}: {} finding(s); see {program} --help",
        found.len()
    );
    std::process::exit(2);
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}
