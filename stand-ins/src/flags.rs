use crate::prelude::*;

/// Flags of a test tool; what is wrong is collected and told at once.
pub struct Flags {
    program: &'static str,
    flags: pico_args::Arguments,
    found: Vec<Finding>,
}

impl Flags {
    pub fn gather(program: &'static str, help: &str) -> Flags {
        let mut flags = pico_args::Arguments::from_env();
        if flags.contains(["-h", "--help"]) {
            println!("{program}: {help}");
            std::process::exit(0);
        }
        if flags.contains(["-V", "--version"]) {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            std::process::exit(0);
        }
        Flags { program, flags, found: Vec::new() }
    }

    pub fn take<T: std::str::FromStr>(&mut self, name: &'static str, usual: Option<T>) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        // Read as text first: a value that does not parse is taken all the same.
        let read = self.flags.opt_value_from_str::<_, String>(name).map_err(|error| error.to_string());
        match read.and_then(|text| text.map(|text| text.parse().map_err(|error| format!("{text}: {error}"))).transpose()) {
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

    pub fn found(&mut self, place: &str, text: &str) {
        self.found.push(Finding::new(place, text));
    }

    /// Ends the program with code 2 if anything was wrong.
    pub fn finish(mut self) {
        for rest in self.flags.finish() {
            self.found.push(Finding::new(rest.to_string_lossy(), "unknown flag"));
        }
        if !self.found.is_empty() {
            for finding in &self.found {
                eprintln!("{}: {finding}", self.program);
            }
            std::process::exit(2);
        }
    }
}
