//! Origins, as the users' pages describe them: soundness is the default, a case adds what it needs.
use crate::http::{self, Request, Response};
use crate::record::Record;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that reached an origin.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub origin: String,
    pub request_id: String,
    pub target: String,
    /// It was run, and not turned away.
    pub ran: bool,
}

/// What an origin answers to a request that it runs.
pub type Work = dyn Fn(&Request) -> Response + Send + Sync;

pub struct Origin {
    pub id: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Origin {
    /// Listens and serves until the case ends.
    pub fn start(
        id: &str,
        address: SocketAddr,
        record: &Record,
        work: Arc<Work>,
    ) -> io::Result<Origin> {
        let listener = TcpListener::bind(address)?;
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (id_, arrivals_, record) = (id.to_string(), arrivals.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, arrivals, record, work) =
                    (id_.clone(), arrivals_.clone(), record.clone(), work.clone());
                thread::spawn(move || serve(&id, stream, &arrivals, &record, &*work));
            }
        });
        Ok(Origin {
            id: id.into(),
            address,
            arrivals,
        })
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

fn serve(
    id: &str,
    stream: TcpStream,
    arrivals: &Mutex<Vec<Arrival>>,
    record: &Record,
    work: &Work,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    loop {
        let request = http::read_request(&mut input).ok()??;
        let request_id = request.header("Request-Id").unwrap_or_default().to_string();
        let expected = request.header("Expected-Instance");
        let is_other = expected.is_some_and(|expected| expected != id);
        let is_probe = request.target == "/health";
        if !is_probe {
            arrivals.lock().unwrap().push(Arrival {
                at: record.now(),
                origin: id.into(),
                request_id: request_id.clone(),
                target: request.target.clone(),
                ran: !is_other,
            });
        }
        let mut answer = if is_other {
            Response {
                status: 421,
                headers: vec![("Not-Executed".into(), "1".into())],
                body: Vec::new(),
            }
        } else if is_probe {
            Response {
                status: 200,
                headers: vec![("Instance-Id".into(), id.into())],
                body: Vec::new(),
            }
        } else {
            work(&request)
        };
        answer
            .headers
            .push(("Request-Id".into(), request_id.clone()));
        if !is_probe {
            let what = if is_other { "turned away" } else { "ran" };
            record.say(format!(
                "origin {id}: {what} {} {} id {request_id}, answers {}",
                request.method, request.target, answer.status
            ));
        }
        http::write_response(&mut output, &answer).ok()?;
    }
}
