//! Findings: validation errors of settings and documents, reported together.
use crate::prelude::*;

/// A validation error of a document or a setting. Findings are collected and reported
/// together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location: a JSON pointer, or the name of a flag or setting.
    pub place: String,
    /// Description of the error.
    pub text: String,
}

impl Finding {
    /// Creates a finding at `place`.
    pub fn new(place: impl Into<String>, text: impl Into<String>) -> Finding {
        Finding {
            place: place.into(),
            text: text.into(),
        }
    }
}

/// Prints all findings and exits the program with status 2.
pub fn exit_with_findings(program: &str, findings: &[Finding]) -> ! {
    for finding in findings {
        eprintln!("{program}: {finding}");
    }
    eprintln!(
        "{program}: {} finding(s); see {program} --help",
        findings.len()
    );
    std::process::exit(2);
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}
