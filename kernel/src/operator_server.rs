//! The frontend of a process that serves only operators and the platform.
use crate::prelude::*;

/// Interval at which the server checks whether the process is ending.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A frontend that serves operators and the platform with the program's plug-ins, with
/// one thread for each request. It makes no calls to origins.
pub struct OperatorServer {
    /// Program whose plug-ins are served.
    pub program: &'static str,
    /// Thread that accepts connections, once the frontend is open.
    pub server: Option<thread::JoinHandle<()>>,
}

impl OperatorServer {
    /// Creates a server that is not open yet.
    pub fn new(program: &'static str) -> OperatorServer {
        OperatorServer {
            program,
            server: None,
        }
    }
}

impl Frontend for OperatorServer {
    fn open(&mut self, port: &Arc<Port>) -> Result<(), FrontendError> {
        let address = port
            .startup
            .http
            .ok_or(FrontendError::MissingSetting("http address"))?;
        let plug_ins = PlugIn::of(self.program);
        let handler_port = port.clone();
        let server = rouille::Server::new(address, move |request| {
            serve_plug_ins(&plug_ins, &handler_port, request)
        })
        .map_err(|source| FrontendError::Listen { address, source })?;
        let port = port.clone();
        self.server = Some(thread::spawn(move || {
            while !port.ending.load(Ordering::Acquire) {
                server.poll_timeout(POLL_INTERVAL);
            }
            server.join();
        }));
        Ok(())
    }

    fn call(&self, _: u64, _: Call) {}

    fn is_done(&self) -> bool {
        self.server
            .as_ref()
            .is_none_or(|server| server.is_finished())
    }
}
