//! Command-line flags of the test tools.
use crate::prelude::*;

/// Creates a request that ignores proxy settings in the environment.
pub fn request_without_proxy(method: &str, url: &str) -> attohttpc::RequestBuilder {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).unwrap_or_default();
    attohttpc::RequestBuilder::new(method, url)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Flags of a test tool. All errors are collected and reported together.
pub struct Flags {
    program: &'static str,
    flags: pico_args::Arguments,
    findings: Vec<Finding>,
}

impl Flags {
    /// Reads the command line; prints the help text or the version on request.
    pub fn from_command_line(program: &'static str, help: &str) -> Flags {
        let mut flags = pico_args::Arguments::from_env();
        help_or_version(program, &mut flags, &format!("{program}: {help}"));
        Flags {
            program,
            flags,
            findings: Vec::new(),
        }
    }

    /// Returns the value of a flag or its default; a missing or invalid value
    /// is a finding.
    pub fn value<T: std::str::FromStr>(
        &mut self,
        name: &'static str,
        default: Option<T>,
    ) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        // The value is read as text first, so that the flag is consumed even if
        // the value does not parse.
        let raw_value = self
            .flags
            .opt_value_from_str::<_, String>(name)
            .map_err(|error| error.to_string());
        match raw_value.and_then(|text| {
            text.map(|text| text.parse().map_err(|error| format!("{text}: {error}")))
                .transpose()
        }) {
            Ok(Some(value)) => Some(value),
            Ok(None) => {
                if default.is_none() {
                    self.findings.push(Finding::new(name, "is needed"));
                }
                default
            }
            Err(error) => {
                self.findings.push(Finding::new(name, error));
                None
            }
        }
    }

    /// Adds a finding.
    pub fn add_finding(&mut self, place: &str, text: &str) {
        self.findings.push(Finding::new(place, text));
    }

    /// Exits with code 2 if there are findings.
    pub fn finish(mut self) {
        for unknown in self.flags.finish() {
            self.findings
                .push(Finding::new(unknown.to_string_lossy(), "unknown flag"));
        }
        if !self.findings.is_empty() {
            exit_with_findings(self.program, &self.findings);
        }
    }
}
