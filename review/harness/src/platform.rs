//! The platform's list of origins, at one address for each machine, so that a case can be slow to one of them.
use crate::http::{self, Request, Response};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub capacity: u32,
    pub draining: bool,
}

/// Called with the machine whose address was called, before the page is taken and again before it is sent.
pub type Hook = dyn Fn(usize, When) + Send + Sync;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum When {
    /// A call has come. `first`: for the first page.
    Called { first: bool },
    /// Its page is taken from the list, and not sent yet.
    Taken,
}

#[derive(Clone)]
pub struct Platform {
    pub addresses: Vec<SocketAddr>,
    list: Arc<Mutex<Vec<Listed>>>,
    hook: Arc<Mutex<Arc<Hook>>>,
}

/// Entries of a page.
const PAGE: usize = 6;

impl Platform {
    pub fn start(addresses: Vec<SocketAddr>) -> io::Result<Platform> {
        let platform = Platform {
            addresses: addresses.clone(),
            list: Arc::default(),
            hook: Arc::new(Mutex::new(Arc::new(|_, _| ()))),
        };
        for (machine, address) in addresses.into_iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let platform = platform.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let platform = platform.clone();
                    thread::spawn(move || -> Option<()> {
                        let _ = stream.set_nodelay(true);
                        let mut output = stream.try_clone().ok()?;
                        let mut input = BufReader::new(stream);
                        loop {
                            let request = http::read_request(&mut input).ok()??;
                            let first = !request.target.contains("page_token=");
                            let hook = platform.hook.lock().unwrap().clone();
                            hook(machine, When::Called { first });
                            let answer = page(&platform.list(), &request);
                            hook(machine, When::Taken);
                            http::write_response(&mut output, &answer).ok()?;
                        }
                    });
                }
            });
        }
        Ok(platform)
    }

    pub fn set(&self, list: Vec<Listed>) {
        *self.list.lock().unwrap() = list;
    }

    pub fn list(&self) -> Vec<Listed> {
        self.list.lock().unwrap().clone()
    }

    pub fn set_hook(&self, hook: Arc<Hook>) {
        *self.hook.lock().unwrap() = hook;
    }
}

fn page(list: &[Listed], request: &Request) -> Response {
    if !request.target.starts_with("/instances") {
        return Response {
            status: 404,
            headers: Vec::new(),
            body: Vec::new(),
        };
    }
    let token = request.target.split_once("page_token=p-");
    let from: usize = token
        .and_then(|(_, text)| text.parse().ok())
        .unwrap_or_default();
    let records: Vec<String> = list
        .iter()
        .skip(from)
        .take(PAGE)
        .map(|one| {
            let state = if one.draining { "draining" } else { "ready" };
            format!(
                r#"["{}","{}","nyali","v1",{},"{state}",0,"{}"]"#,
                one.service, one.address, one.capacity, one.id
            )
        })
        .collect();
    let next = if list.len() > from + PAGE {
        format!("\"p-{}\"", from + PAGE)
    } else {
        "null".to_string()
    };
    let names =
        r#"["backend","address","zone","revision","capacity","state","cold_remaining_s","id"]"#;
    let body = format!(
        r#"{{"instances":{{"column_names":{names},"records":[{}]}},"next_page_token":{next}}}"#,
        records.join(",")
    );
    Response {
        status: 200,
        headers: vec![("Content-Type".into(), "application/json".into())],
        body: body.into_bytes(),
    }
}
