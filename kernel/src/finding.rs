use crate::prelude::*;

/// One thing wrong with a document, with its place as a JSON pointer (or the
/// flag's name). Findings are collected and reported together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    pub place: String,
    pub text: String,
}

impl Finding {
    pub fn new(place: impl Into<String>, text: impl Into<String>) -> Finding {
        Finding {
            place: place.into(),
            text: text.into(),
        }
    }
}

/// Tells everything that is wrong and ends the program with code 2.
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
