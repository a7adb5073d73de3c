#[cfg(test)]
mod tests;

use crate::prelude::*;

/// One served connection, without its socket. Invariants:
/// - `slots` are the requests handed out, oldest first, their places without
///   gaps; an answer is written once it is told and all before it are.
/// - Once `closing`, no input is looked at any more.
/// - `inbox` holds the start of a head, or what came while `paused`.
pub struct Served {
    peer: SocketAddr,
    /// Says what our own refusals read like.
    taker: Arc<dyn Taker>,
    inbox: Vec<u8>,
    /// Bytes at the start of `inbox` known to hold no end of a head.
    seen: usize,
    body: Option<(AskedHead, Reading)>,
    slots: VecDeque<Slot>,
    next: u64,
    pub out: Outgoing,
    closing: bool,
    last: bool,
    drained: bool,
    eof: bool,
    extra: bool,
    owed: bool,
    began: Instant,
    moved: Instant,
}

struct Slot {
    place: u64,
    bare: bool,
    close: bool,
    /// Asked in HTTP/1.0: that it goes on must be said.
    old: bool,
    /// Refused by us: nobody was asked.
    own: bool,
    /// That its caller has left was reported.
    left: bool,
    told: Option<Told>,
}

impl Slot {
    /// It was handed out, no answer was written, and its caller was not reported
    /// as gone.
    fn is_awaited(&self) -> bool {
        !self.own && !self.left
    }
}

/// Answers waiting for the reader, in bytes, before no more is read from it.
const BACKLOG: usize = 64 * 1024;

impl Served {
    pub fn new(peer: SocketAddr, taker: Arc<dyn Taker>, now: Instant) -> Served {
        Served {
            peer,
            taker,
            inbox: Vec::new(),
            seen: 0,
            body: None,
            slots: VecDeque::new(),
            next: 0,
            out: Outgoing::default(),
            closing: false,
            last: false,
            drained: false,
            eof: false,
            extra: false,
            owed: false,
            began: now,
            moved: now,
        }
    }

    fn paused(&self, limits: &Limits) -> bool {
        self.slots.len() >= limits.pipeline.max(1) || self.out.left() > BACKLOG
    }

    pub fn wants_read(&self, limits: &Limits) -> bool {
        !self.eof && !self.closing && !self.paused(limits)
    }

    /// Something is being read, unanswered or unwritten.
    pub fn busy(&self) -> bool {
        !self.slots.is_empty()
            || !self.out.is_empty()
            || self.body.is_some()
            || !self.inbox.is_empty()
    }

    /// All is written; the connection is to be closed.
    pub fn finished(&self) -> bool {
        self.closing && self.slots.is_empty() && self.out.is_empty()
    }

    /// Nothing the peer sent is unread, and nothing more is to come.
    pub fn clean(&self) -> bool {
        self.eof || (self.last && !self.extra)
    }

    /// The whole requests found in the input, with their places.
    pub fn feed(
        &mut self,
        input: &[u8],
        limits: &Limits,
        now: Instant,
        found: &mut Vec<(u64, Asked)>,
    ) {
        if self.inbox.is_empty() {
            let used = self.read(input, limits, now, found);
            self.inbox.extend_from_slice(&input[used..]);
        } else {
            self.inbox.extend_from_slice(input);
            self.resume(limits, now, found);
        }
    }

    /// Goes on with what was held back, once there is room for more.
    pub fn resume(&mut self, limits: &Limits, now: Instant, found: &mut Vec<(u64, Asked)>) {
        if self.inbox.is_empty() || (self.paused(limits) && !self.closing) {
            return;
        }
        let mut held = std::mem::take(&mut self.inbox);
        let used = self.read(&held, limits, now, found);
        if used < held.len() {
            held.drain(..used);
            if held.capacity() > 16 * 1024 && held.len() * 4 < held.capacity() {
                held.shrink_to_fit();
            }
            self.inbox = held;
        }
    }

    fn read(
        &mut self,
        input: &[u8],
        limits: &Limits,
        now: Instant,
        found: &mut Vec<(u64, Asked)>,
    ) -> usize {
        let mut at = 0;
        loop {
            if self.closing {
                self.extra |= at < input.len();
                return input.len();
            }
            if self.paused(limits) {
                self.seen = 0;
                self.began = now;
                return at;
            }
            if let Some((_, reading)) = &mut self.body {
                self.owed &= at == input.len();
                match reading.feed(&input[at..]) {
                    Ok((used, whole)) => {
                        at += used;
                        if !whole {
                            return at;
                        }
                        self.hand_out(now, found);
                    }
                    Err(Fault::Bad(why)) => self.refuse(400, why),
                    Err(Fault::Large) => self.refuse(413, "the body is too large"),
                }
                continue;
            }
            while matches!(input[at..], [b'\r', b'\n', ..]) {
                at += 2;
                self.seen = 0;
            }
            let rest = &input[at..];
            if rest.is_empty() || rest == b"\r" {
                if rest.is_empty() || self.seen == 0 {
                    self.began = now;
                }
                self.seen = rest.len();
                return at;
            }
            if self.seen == 0 {
                self.began = now;
            }
            if rest[0] <= b' ' || rest[0] >= 0x7f {
                self.refuse(400, "malformed head");
                continue;
            }
            match Head::end(rest, self.seen) {
                None if rest.len() > limits.head_bytes => self.refuse(431, "the head is too large"),
                None => {
                    self.seen = rest.len();
                    return at;
                }
                Some(size) if size > limits.head_bytes => self.refuse(431, "the head is too large"),
                Some(size) => {
                    self.seen = 0;
                    match Head::asked(&rest[..size]) {
                        Ok(head) => {
                            at += size;
                            self.begin(head, at == input.len(), limits, now, found);
                        }
                        Err((status, why)) => self.refuse(status, why),
                    }
                }
            }
        }
    }

    fn begin(
        &mut self,
        head: AskedHead,
        alone: bool,
        limits: &Limits,
        now: Instant,
        found: &mut Vec<(u64, Asked)>,
    ) {
        match Reading::new(head.framing, limits.body_bytes) {
            Ok(reading) => {
                let none = head.framing == Framing::Length(0);
                self.owed = head.expect && alone && !none;
                self.body = Some((head, reading));
                self.began = now;
                if none {
                    self.hand_out(now, found);
                } else {
                    self.advance();
                }
            }
            Err(_) => self.refuse(413, "the body is too large"),
        }
    }

    fn hand_out(&mut self, now: Instant, found: &mut Vec<(u64, Asked)>) {
        if let Some((head, reading)) = self.body.take() {
            let place = self.next;
            self.next += 1;
            let bare = head.method == "HEAD";
            self.slots.push_back(Slot {
                place,
                bare,
                close: head.close,
                old: head.old,
                own: false,
                left: false,
                told: None,
            });
            self.last |= head.close;
            self.closing |= head.close || self.drained || self.next >> crate::line::PLACES != 0;
            self.owed = false;
            self.moved = now;
            let Reading { body, .. } = reading;
            let AskedHead {
                method,
                target,
                headers,
                ..
            } = head;
            found.push((
                place,
                Asked {
                    method,
                    target,
                    headers,
                    body,
                    peer: self.peer,
                },
            ));
        }
    }

    fn refuse(&mut self, status: u16, why: &'static str) {
        let told = self.taker.refused(status, why);
        self.slots.push_back(Slot {
            place: self.next,
            bare: false,
            close: true,
            old: false,
            own: true,
            left: false,
            told: Some(told),
        });
        self.next += 1;
        self.body = None;
        self.inbox = Vec::new();
        self.seen = 0;
        self.owed = false;
        self.closing = true;
        self.extra = true;
        self.advance();
    }

    /// An answer, in any order; the places in `gone` will get none.
    pub fn told(&mut self, place: u64, told: Told, now: Instant, gone: &mut Vec<u64>) {
        let Some(first) = self.slots.front().map(|slot| slot.place) else {
            return;
        };
        let Some(slot) = place
            .checked_sub(first)
            .and_then(|at| self.slots.get_mut(at as usize))
        else {
            return;
        };
        if slot.told.is_some() {
            return;
        }
        if told.close {
            self.shut();
        }
        let Some(slot) = self.slots.get_mut((place - first) as usize) else {
            return;
        };
        slot.close |= told.close;
        slot.told = Some(told);
        if let Some(at) = self.slots.iter().position(|slot| slot.close) {
            let dropped = self.slots.drain(at + 1..);
            gone.extend(dropped.filter(Slot::is_awaited).map(|slot| slot.place));
        }
        if self.out.is_empty() {
            self.moved = now;
        }
        self.advance();
    }

    /// No more requests are taken.
    fn shut(&mut self) {
        self.extra |= !self.inbox.is_empty() || self.body.is_some();
        self.closing = true;
        self.inbox = Vec::new();
        self.body = None;
        self.owed = false;
    }

    fn advance(&mut self) {
        while self.slots.front().is_some_and(|slot| slot.told.is_some()) {
            let Some(slot) = self.slots.pop_front() else {
                break;
            };
            let close = slot.close || (self.closing && self.slots.is_empty());
            if let Some(told) = slot.told {
                Served::write(&mut self.out, told, slot.bare, close, slot.old);
            }
        }
        if self.owed && self.slots.is_empty() {
            self.owed = false;
            self.out
                .push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec().into());
        }
    }

    fn write(out: &mut Outgoing, told: Told, bare: bool, close: bool, old: bool) {
        let fits =
            (200..1000).contains(&told.status) && told.headers.iter().all(crate::call::header_fits);
        let told = if fits {
            told
        } else {
            Told {
                status: 500,
                close,
                ..Told::default()
            }
        };
        let mut head = Vec::with_capacity(
            64 + told
                .headers
                .iter()
                .map(|(n, v)| n.len() + v.len() + 4)
                .sum::<usize>(),
        );
        head.extend_from_slice(
            format!(
                "HTTP/1.1 {} {}\r\n",
                told.status,
                Served::reason(told.status)
            )
            .as_bytes(),
        );
        let none = matches!(told.status, 204 | 304);
        let keeps = told.body.is_empty() && (bare || told.status == 304);
        let mut sized = false;
        for (name, value) in &told.headers {
            let ours = ["connection", "transfer-encoding", "keep-alive"]
                .iter()
                .any(|our| name.eq_ignore_ascii_case(our));
            let length = name.eq_ignore_ascii_case("content-length");
            if ours || (length && (!keeps || sized || value.parse::<u64>().is_err())) {
                continue;
            }
            sized |= length;
            for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
                head.extend_from_slice(part);
            }
        }
        let unknown = bare && told.body.is_empty();
        if !(sized || none || unknown) {
            head.extend_from_slice(format!("Content-Length: {}\r\n", told.body.len()).as_bytes());
        }
        let end: &[u8] = match (close, old) {
            (true, _) => b"Connection: close\r\n\r\n",
            (_, true) => b"Connection: keep-alive\r\n\r\n",
            _ => b"\r\n",
        };
        head.extend_from_slice(end);
        out.push(head.into());
        if !bare && !none {
            out.push(told.body);
        }
    }

    fn reason(status: u16) -> &'static str {
        match status {
            200 => "OK",
            201 => "Created",
            202 => "Accepted",
            204 => "No Content",
            206 => "Partial Content",
            301 => "Moved Permanently",
            302 => "Found",
            303 => "See Other",
            304 => "Not Modified",
            307 => "Temporary Redirect",
            308 => "Permanent Redirect",
            400 => "Bad Request",
            401 => "Unauthorized",
            403 => "Forbidden",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            410 => "Gone",
            412 => "Precondition Failed",
            413 => "Content Too Large",
            416 => "Range Not Satisfiable",
            422 => "Unprocessable Content",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            500 => "Internal Server Error",
            501 => "Not Implemented",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Other",
        }
    }

    /// The peer writes no more: what it asked is still answered.
    pub fn eof(&mut self) {
        self.eof = true;
        if !self.closing {
            self.shut();
        }
    }

    /// The next request is the last. An idle connection stays open for it: it may
    /// be on its way, and once it is read it must be answered.
    pub fn drain(&mut self) {
        self.drained = true;
        let unanswered = !self.slots.is_empty();
        if unanswered && self.body.is_none() && self.inbox.is_empty() {
            self.closing = true;
        }
    }

    /// Nothing is read any more: what was read in part is dropped, what was read
    /// whole is still answered.
    pub fn stop(&mut self) {
        self.inbox = Vec::new();
        self.body = None;
        self.owed = false;
    }

    /// A connection made while draining is served one request.
    pub fn serve_one(&mut self) {
        self.drained = true;
    }

    pub fn wrote(&mut self, now: Instant) {
        self.moved = now;
    }

    /// The places that will get no answer, when the connection ends.
    pub fn unanswered(&mut self) -> Vec<u64> {
        self.slots
            .drain(..)
            .filter(Slot::is_awaited)
            .map(|slot| slot.place)
            .collect()
    }

    /// The caller has ended its side of the connection: the places whose answers
    /// nobody waits for any more, each once.
    pub fn caller_left(&mut self) -> Vec<u64> {
        let awaited = self.slots.iter_mut().filter(|slot| slot.is_awaited());
        awaited
            .map(|slot| {
                slot.left = true;
                slot.place
            })
            .collect()
    }

    /// When `late` is to be asked.
    pub fn due(&self, limits: &Limits) -> Option<Instant> {
        if !self.out.is_empty() {
            return Some(self.moved + limits.idle_time);
        }
        if self.closing || self.paused(limits) {
            return None;
        }
        if let Some((_, reading)) = &self.body {
            return Some(
                self.began + limits.idle_time + Duration::from_millis(reading.body.len() as u64),
            );
        }
        if !self.inbox.is_empty() {
            return Some(self.began + limits.head_time);
        }
        self.slots
            .is_empty()
            .then_some(self.moved + limits.idle_time)
    }

    /// At `due`: whether the connection is to be cut off without a word.
    pub fn late(&mut self) -> bool {
        if self.out.is_empty() && (self.body.is_some() || !self.inbox.is_empty()) {
            self.refuse(408, "the request did not come in time");
            return false;
        }
        true
    }
}
