//! The frontend of a process that only operators and the platform call.
use crate::prelude::*;

/// Serves operators and the platform: one thread a request, plug-ins in their
/// order. It makes no calls.
pub struct OperatorServer {
    /// The program whose plug-ins are served.
    pub program: &'static str,
    /// The thread that accepts connections, once it is open.
    pub server: Option<thread::JoinHandle<()>>,
}

impl OperatorServer {
    /// A server that is not open yet.
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
        let frontend = port.clone();
        let server = rouille::Server::new(address, move |request| {
            serve_plug_ins(&plug_ins, &frontend, request)
        })
        .map_err(|source| FrontendError::Listen { address, source })?;
        let port = port.clone();
        self.server = Some(thread::spawn(move || {
            while !port.ending.load(Ordering::Acquire) {
                server.poll_timeout(Duration::from_millis(50));
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
