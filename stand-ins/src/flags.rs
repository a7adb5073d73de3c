//! Command-line flags of the test tools.
use crate::prelude::*;

/// A call of a test tool: never by way of a proxy named in the environment.
pub fn direct(method: &str, url: &str) -> attohttpc::RequestBuilder {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).unwrap_or_default();
    attohttpc::RequestBuilder::new(method, url)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Flags of a test tool; what is wrong is collected and told at once.
pub struct Flags {
    program: &'static str,
    flags: pico_args::Arguments,
    found: Vec<Finding>,
}

impl Flags {
    /// Reads the command line; prints help or the version if it asks for them.
    pub fn gather(program: &'static str, help: &str) -> Flags {
        let mut flags = pico_args::Arguments::from_env();
        help_or_version(program, &mut flags, &format!("{program}: {help}"));
        Flags {
            program,
            flags,
            found: Vec::new(),
        }
    }

    /// The value of a flag, or the usual one; a missing or wrong value is a finding.
    pub fn take<T: std::str::FromStr>(&mut self, name: &'static str, usual: Option<T>) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        // Read as text first: a value that does not parse is taken all the same.
        let read = self
            .flags
            .opt_value_from_str::<_, String>(name)
            .map_err(|error| error.to_string());
        match read.and_then(|text| {
            text.map(|text| text.parse().map_err(|error| format!("{text}: {error}")))
                .transpose()
        }) {
            Ok(Some(value)) => Some(value),
            Ok(None) => {
                if usual.is_none() {
                    self.found.push(Finding::new(name, "is needed"));
                }
                usual
            }
            Err(error) => {
                self.found.push(Finding::new(name, error));
                None
            }
        }
    }

    /// Adds a finding.
    pub fn found(&mut self, place: &str, text: &str) {
        self.found.push(Finding::new(place, text));
    }

    /// Ends the program with code 2 if anything was wrong.
    pub fn finish(mut self) {
        for rest in self.flags.finish() {
            self.found
                .push(Finding::new(rest.to_string_lossy(), "unknown flag"));
        }
        if !self.found.is_empty() {
            exit_with_findings(self.program, &self.found);
        }
    }
}
