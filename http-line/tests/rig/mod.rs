//! An event loop over 127.0.0.1 whose callers and origins the test plays.
#![allow(dead_code)]
use http_line::prelude::*;
use std::net::TcpStream;
use std::sync::OnceLock;

pub enum Event {
    Asked(u64, usize, Asked),
    Came(u64, Came),
    Gone(u64),
}

/// Passes all on; a target that starts with `/now` is answered at once.
pub struct Desk(flume::Sender<Event>, OnceLock<HttpLine>);

impl Taker for Desk {
    fn asked(&self, line: u64, face: usize, asked: Asked) {
        match self.1.get().filter(|_| asked.target.starts_with("/now")) {
            Some(http) => http.tell(line, told(&asked.target)),
            None => self.0.send(Event::Asked(line, face, asked)).unwrap(),
        }
    }
    fn came(&self, id: u64, came: Came) {
        self.0.send(Event::Came(id, came)).unwrap();
    }
    fn gone(&self, line: u64) {
        self.0.send(Event::Gone(line)).unwrap();
    }
}

pub struct Rig {
    pub http: HttpLine,
    pub events: flume::Receiver<Event>,
    pub at: SocketAddr,
}

pub const WAIT: Duration = Duration::from_secs(10);

impl Rig {
    pub fn new(limits: Limits) -> Rig {
        let (send, events) = flume::unbounded();
        let face = HttpLine::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let at = face.local_addr().unwrap();
        let desk = Arc::new(Desk(send, OnceLock::new()));
        let http = HttpLine::open(vec![face], limits, desk.clone()).unwrap();
        assert!(desk.1.set(http.clone()).is_ok());
        Rig { http, events, at }
    }

    pub fn asked(&self) -> (u64, Asked) {
        match self.events.recv_timeout(WAIT) {
            Ok(Event::Asked(line, 0, asked)) => (line, asked),
            Ok(Event::Came(_, came)) => panic!("came {came:?}"),
            _ => panic!("nobody asked"),
        }
    }

    pub fn came(&self) -> (u64, Came) {
        match self.events.recv_timeout(WAIT) {
            Ok(Event::Came(id, came)) => (id, came),
            Ok(Event::Asked(_, _, asked)) => panic!("asked {asked:?}"),
            _ => panic!("nothing came"),
        }
    }

    pub fn gone(&self) -> u64 {
        match self.events.recv_timeout(WAIT) {
            Ok(Event::Gone(line)) => line,
            _ => panic!("nobody is gone"),
        }
    }

    pub fn call(&self, id: u64, to: SocketAddr, target: &str) {
        self.http.call(call(id, to, target));
    }

    pub fn peer(&self) -> TcpStream {
        let peer = TcpStream::connect(self.at).unwrap();
        peer.set_read_timeout(Some(WAIT)).unwrap();
        peer
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.http.close();
    }
}

pub fn told(text: &str) -> Told {
    Told {
        status: 200,
        headers: vec![("X".into(), "y".into())],
        body: text.as_bytes().to_vec().into(),
        close: false,
    }
}

pub fn call(id: u64, to: SocketAddr, target: &str) -> Call {
    Call {
        id,
        to,
        method: "GET".into(),
        target: target.into(),
        headers: vec![("Host".into(), "h".into())],
        body: Arc::default(),
        limit: Duration::from_secs(5),
        request: None,
        echo: None,
        sessions: 2,
    }
}

pub fn body(came: (u64, Came)) -> (u64, String) {
    match came {
        (
            id,
            Came::Reply {
                status: 200, body, ..
            },
        ) => (id, String::from_utf8(body).unwrap()),
        other => panic!("{other:?}"),
    }
}

pub fn rest(peer: &mut TcpStream) -> String {
    let mut all = Vec::new();
    peer.read_to_end(&mut all).unwrap();
    String::from_utf8(all).unwrap()
}

pub fn exact(peer: &mut TcpStream, want: &str) {
    let mut bytes = vec![0; want.len()];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(String::from_utf8_lossy(&bytes), want);
}

/// Reads to the end of a head, answers; the connection stays.
pub fn serve(peer: &mut TcpStream, answer: &str) {
    peer.set_read_timeout(Some(WAIT)).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        peer.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    peer.write_all(answer.as_bytes()).unwrap();
}
