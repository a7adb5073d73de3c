use crate::prelude::*;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// The loop. Invariants:
/// - A token is never used twice, so a late event or timer finds nobody.
/// - Events come once an edge: `unread` and `blocked` remember them until the
///   socket has said that there is no more.
/// - `awake` is false only while the loop waits in poll with no orders left.
pub struct Line {
    poll: Poll,
    listeners: Vec<TcpListener>,
    held: HashMap<usize, Held>,
    next: usize,
    timers: Timers,
    pool: Pool,
    calls: HashMap<u64, usize>,
    orders: flume::Receiver<Order>,
    shared: Arc<Shared>,
    taker: Arc<dyn Taker>,
    limits: Limits,
    pacer: Pacer,
    /// Bytes of answers that are not written yet.
    queued: usize,
    scratch: Vec<u8>,
    again: Vec<usize>,
    touched: Vec<usize>,
    refused: Option<Instant>,
    drained: bool,
    /// Nothing is read from callers any more.
    stopped: bool,
    now: Instant,
}

const WAKER: usize = usize::MAX;
/// Bits of a line's name that are the place.
pub const PLACES: u32 = 24;
const SCRATCH: usize = 64 * 1024;
const ROUNDS: usize = 8;
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 2 * 1024 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const SERVED_SILENCE: Duration = Duration::from_secs(10);
const CALLED_SILENCE: Duration = Duration::from_millis(1500);

impl Line {
    pub fn start(
        faces: Vec<std::net::TcpListener>,
        limits: Limits,
        taker: Arc<dyn Taker>,
    ) -> Result<Arc<Shared>> {
        let poll = Poll::new()?;
        let waker = mio::Waker::new(poll.registry(), Token(WAKER))?;
        let mut listeners = Vec::new();
        for (at, face) in faces.into_iter().enumerate() {
            Line::tune(&face)?;
            face.set_nonblocking(true)?;
            let mut listener = TcpListener::from_std(face);
            poll.registry()
                .register(&mut listener, Token(at), Interest::READABLE)?;
            listeners.push(listener);
        }
        let (send, orders) = flume::unbounded();
        let shared = Arc::new(Shared {
            orders: send,
            waker,
            awake: AtomicBool::new(true),
            accepted: AtomicU64::new(0),
            connects: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            open: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            backlog_us: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let now = Instant::now();
        let line = Line {
            poll,
            next: listeners.len(),
            listeners,
            held: HashMap::new(),
            timers: Timers::new(now),
            pool: Pool::default(),
            calls: HashMap::new(),
            orders,
            shared: shared.clone(),
            taker,
            pacer: Pacer::new(limits.send_bytes_s, now),
            queued: 0,
            limits,
            scratch: vec![0; SCRATCH],
            again: Vec::new(),
            touched: Vec::new(),
            refused: None,
            drained: false,
            stopped: false,
            now,
        };
        std::thread::Builder::new()
            .name("http-line".into())
            .spawn(move || line.run())?;
        Ok(shared)
    }

    /// What is set here, each accepted connection has from the start.
    fn tune(face: &std::net::TcpListener) -> io::Result<()> {
        let socket = socket2::SockRef::from(face);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(SERVED_SILENCE))
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            if !self.obey() {
                return;
            }
            self.shared.stopped.store(self.stopped, Ordering::SeqCst);
            self.shared.awake.store(false, Ordering::SeqCst);
            if !self.orders.is_empty() {
                self.shared.awake.store(true, Ordering::SeqCst);
                continue;
            }
            let wait = self.wait();
            let polled = self.poll.poll(&mut events, wait);
            self.shared.awake.store(true, Ordering::SeqCst);
            self.now = Instant::now();
            if polled.is_err() {
                continue;
            }
            for token in std::mem::take(&mut self.again) {
                self.pump(token);
            }
            self.give_turns();
            for event in &events {
                let token = event.token().0;
                if token < self.listeners.len() {
                    self.accept(token);
                } else if let Some(held) = self.held.get_mut(&token) {
                    held.unread |= event.is_readable() || event.is_error();
                    held.hup |= event.is_read_closed() || event.is_error();
                    if event.is_writable() || event.is_error() {
                        held.blocked = false;
                    }
                    if event.is_error()
                        && matches!(held.side, Side::Served { .. } | Side::Linger { .. })
                    {
                        self.cut(token);
                    } else {
                        self.pump(token);
                    }
                }
            }
            self.fire();
        }
    }

    /// Connections that were held back write on, each in its turn.
    fn give_turns(&mut self) {
        while let Some(token) = self.pacer.next(self.now) {
            if let Some(held) = self.held.get_mut(&token) {
                held.paced = false;
                self.pump(token);
            }
        }
    }

    /// Until the next due time; entries out of date are put right first.
    fn wait(&mut self) -> Option<Duration> {
        if !self.again.is_empty() {
            return Some(Duration::ZERO);
        }
        while let Some((tick, token)) = self.timers.first() {
            let Some(held) = self
                .held
                .get_mut(&token)
                .filter(|held| held.armed == Some(tick))
            else {
                self.timers.pop();
                continue;
            };
            let real = held.due(&self.limits).map(|due| self.timers.tick(due));
            if real.is_some_and(|real| real <= tick) {
                break;
            }
            held.armed = real;
            self.timers.pop();
            if let Some(real) = real {
                self.timers.push(real, token);
            }
        }
        let first = self.timers.first().map(|(tick, _)| self.timers.at(tick));
        let next = first
            .into_iter()
            .chain(self.refused)
            .chain(self.pacer.due())
            .min()?;
        Some(next.saturating_duration_since(Instant::now()))
    }

    fn fire(&mut self) {
        while let Some((tick, token)) = self
            .timers
            .first()
            .filter(|(tick, _)| self.timers.at(*tick) <= self.now)
        {
            self.timers.pop();
            let Some(held) = self
                .held
                .get_mut(&token)
                .filter(|held| held.armed == Some(tick))
            else {
                continue;
            };
            held.armed = None;
            if held.due(&self.limits).is_some_and(|due| due <= self.now) {
                let (cut, ended) = match &mut held.side {
                    Side::Served { served, .. } => (served.late(), None),
                    Side::Linger { .. } => (true, None),
                    Side::Called(called) => (true, called.late()),
                };
                if cut {
                    if ended.is_some() {
                        held.reset();
                    }
                    self.cut(token);
                } else {
                    self.pump(token);
                }
                self.came(ended);
            } else {
                self.arm(token);
            }
        }
        if self.refused.is_some_and(|until| until <= self.now) {
            self.refused = None;
            for face in 0..self.listeners.len() {
                self.accept(face);
            }
        }
    }

    fn arm(&mut self, token: usize) {
        let Some(held) = self.held.get_mut(&token) else {
            return;
        };
        let Some(due) = held.due(&self.limits) else {
            return;
        };
        let tick = self.timers.tick(due);
        if held.armed.is_none_or(|armed| tick < armed) {
            held.armed = Some(tick);
            self.timers.push(tick, token);
        }
    }

    /// All orders there are; false: the loop is to end.
    fn obey(&mut self) -> bool {
        while !self.orders.is_empty() || !self.touched.is_empty() {
            while let Ok(order) = self.orders.try_recv() {
                match order {
                    Order::Tell(line, told) => self.tell(line, told),
                    Order::Call(call, from) => self.begin(*call, from),
                    Order::DropCall(id) => {
                        if let Some(token) = self.calls.remove(&id) {
                            self.held.get(&token).inspect(|held| held.reset());
                            self.cut(token);
                        }
                    }
                    Order::ExtendCall(id, end) => {
                        let token = self.calls.get(&id);
                        if let Some(held) = token.and_then(|token| self.held.get_mut(token))
                            && let Side::Called(called) = &mut held.side
                        {
                            called.extend(end);
                        }
                    }
                    Order::Limits(limits) => {
                        self.limits = limits;
                        self.touch_all();
                    }
                    Order::LinkDelay(delay) => {
                        self.pacer.measured(Instant::now(), delay);
                    }
                    Order::Drain => {
                        self.drained = true;
                        for held in self.held.values_mut() {
                            if let Side::Served { served, .. } = &mut held.side {
                                served.drain();
                            }
                        }
                        self.touch_all();
                    }
                    Order::Stop => {
                        self.stopped = true;
                        for held in self.held.values_mut() {
                            if let Side::Served { served, .. } = &mut held.side {
                                served.stop();
                            }
                        }
                        self.touch_all();
                    }
                    Order::Close => return false,
                }
            }
            for token in std::mem::take(&mut self.touched) {
                self.pump(token);
            }
        }
        true
    }

    fn touch_all(&mut self) {
        let served = self
            .held
            .iter()
            .filter(|(_, held)| matches!(held.side, Side::Served { .. }));
        self.touched.extend(served.map(|(token, _)| *token));
    }

    fn tell(&mut self, line: u64, told: Told) {
        let token = (line >> PLACES) as usize;
        let Some(Held {
            side: Side::Served { served, .. },
            ..
        }) = self.held.get_mut(&token)
        else {
            return;
        };
        let mut gone = Vec::new();
        served.told(line & ((1 << PLACES) - 1), told, self.now, &mut gone);
        if self.touched.last() != Some(&token) {
            self.touched.push(token);
        }
        for place in gone {
            self.taker.gone(Line::named(token, place));
        }
    }

    fn named(token: usize, place: u64) -> u64 {
        ((token as u64) << PLACES) | place
    }

    fn accept(&mut self, face: usize) {
        if self.stopped {
            return;
        }
        loop {
            match self.listeners[face].accept() {
                Ok((mut stream, peer)) => {
                    let token = self.next;
                    self.next += 1;
                    self.shared.accepted.fetch_add(1, Ordering::Relaxed);
                    if self
                        .poll
                        .registry()
                        .register(&mut stream, Token(token), Interest::READABLE)
                        .is_err()
                    {
                        continue;
                    }
                    let mut served = Served::new(peer, self.taker.clone(), self.now);
                    if self.drained {
                        served.serve_one();
                    }
                    self.shared.open.fetch_add(1, Ordering::Relaxed);
                    self.held
                        .insert(token, Held::new(stream, Side::Served { face, served }));
                    self.arm(token);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.refused = Some(self.now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn begin(&mut self, call: Call, from: Instant) {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        if let Err(why) = self.try_begin(&call, from) {
            self.taker.came(call.id, Came::Unsent(why));
        }
    }

    /// Writes the call to a connection; an error: nothing was written.
    fn try_begin(&mut self, call: &Call, from: Instant) -> std::result::Result<(), String> {
        call.check()?;
        self.now = Instant::now();
        if self.now >= from + call.limit {
            return Err("the limit ran out".into());
        }
        while let Some(token) = self.take_idle(call) {
            let Some(mut held) = self.held.remove(&token) else {
                continue;
            };
            if let Side::Called(called) = &mut held.side
                && called.fresh(self.now)
                && !held.unread
            {
                called.begin(call, from, self.now);
                let (size, end) = called.out.write(&mut held.stream);
                let blocked = end
                    .as_ref()
                    .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
                if size > 0 || blocked {
                    self.shared.reused.fetch_add(1, Ordering::Relaxed);
                    return self.began(token, held, call.id, size, end);
                }
            }
            self.end(token, held);
        }
        if self.pool.open(call.to) >= call.sessions
            && let Some(token) = self.pool.take(call.to, |_| true)
        {
            // Idle but not to be used for this call: it makes room.
            self.cut(token);
        }
        if self.pool.open(call.to) >= call.sessions {
            return Err("all sessions busy".into());
        }
        let stream = TcpStream::connect(call.to).map_err(|e| format!("connect: {e}"))?;
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(CALLED_SILENCE));
        let token = self.next;
        self.next += 1;
        let mut called = Called::new(call.to);
        called.begin(call, from, self.now);
        let mut held = Held::new(stream, Side::Called(called));
        let (size, end) = match &mut held.side {
            Side::Called(called) => called.out.write(&mut held.stream),
            _ => (0, Ok(())),
        };
        let waits =
            |e: &io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected);
        let end = match end {
            Err(e) if size == 0 && !waits(&e) => return Err(format!("connect: {e}")),
            Err(e) if waits(&e) => Err(ErrorKind::WouldBlock.into()),
            end => end,
        };
        held.writes = end.is_err();
        let interest = if held.writes {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        let registered = self
            .poll
            .registry()
            .register(&mut held.stream, Token(token), interest);
        self.shared.connects.fetch_add(1, Ordering::Relaxed);
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        self.pool.opened(call.to);
        self.began(token, held, call.id, size, registered.and(end))
    }

    /// The idle connection used last that has not carried this id before.
    fn take_idle(&mut self, call: &Call) -> Option<usize> {
        let held = &self.held;
        self.pool.take(call.to, |token| {
            match held.get(&token).map(|held| &held.side) {
                Some(Side::Called(called)) => !called.carried(call),
                _ => true,
            }
        })
    }

    fn began(
        &mut self,
        token: usize,
        mut held: Held,
        id: u64,
        size: usize,
        end: io::Result<()>,
    ) -> std::result::Result<(), String> {
        if let Side::Called(called) = &mut held.side
            && size > 0
        {
            called.wrote();
        }
        held.blocked = end
            .as_ref()
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        let broken = end.is_err() && !held.blocked;
        held.unread |= broken;
        self.calls.insert(id, token);
        self.held.insert(token, held);
        if broken {
            self.touched.push(token);
        }
        self.watch(token);
        self.arm(token);
        Ok(())
    }

    /// Asks to be told when a blocked socket can be written.
    fn watch(&mut self, token: usize) {
        let Some(held) = self
            .held
            .get_mut(&token)
            .filter(|held| held.blocked && !held.writes)
        else {
            return;
        };
        let both = Interest::READABLE | Interest::WRITABLE;
        held.writes = true;
        if self
            .poll
            .registry()
            .reregister(&mut held.stream, Token(token), both)
            .is_err()
        {
            self.cut(token);
        }
    }

    /// Writes and reads what can be, then settles what is to be waited for.
    fn pump(&mut self, token: usize) {
        let Some(mut held) = self.held.remove(&token) else {
            return;
        };
        let mut ended = None;
        let keep = match &mut held.side {
            Side::Served { .. } => self.pump_served(token, &mut held),
            Side::Linger { .. } => self.pump_linger(&mut held),
            Side::Called(_) => self.pump_called(token, &mut held, &mut ended),
        };
        if keep {
            self.settle(&mut held);
            self.held.insert(token, held);
            self.watch(token);
            self.arm(token);
        } else {
            self.end(token, held);
        }
        self.came(ended);
    }

    /// Counts what the connection has still to write.
    fn count_queued(&mut self, held: &mut Held, left: usize) {
        self.queued = self.queued + left - std::mem::replace(&mut held.queued, left);
        let rate = self.pacer.rate().unwrap_or(f64::INFINITY);
        let span = Duration::from_secs_f64(self.queued as f64 / rate);
        let micros = span.as_micros() as u64;
        self.shared.backlog_us.store(micros, Ordering::Relaxed);
    }

    fn settle(&mut self, held: &mut Held) {
        if let Side::Served { served, .. } = &held.side {
            let left = served.out.left();
            self.count_queued(held, left);
        }
        let busy = matches!(&held.side, Side::Served { served, .. } if served.busy());
        if busy != held.busy {
            held.busy = busy;
            match busy {
                true => self.shared.busy.fetch_add(1, Ordering::SeqCst),
                false => self.shared.busy.fetch_sub(1, Ordering::SeqCst),
            };
        }
    }

    fn pump_served(&mut self, token: usize, held: &mut Held) -> bool {
        let Side::Served { face, served } = &mut held.side else {
            return true;
        };
        let mut found = Vec::new();
        for _ in 0..ROUNDS {
            if !served.out.is_empty() && !held.blocked && !held.paced {
                let turn = self.pacer.turn(self.now);
                let (size, end, spent) = Line::write_turn(served, &mut held.stream, turn);
                if size > 0 {
                    served.wrote(self.now);
                    self.pacer.wrote(size);
                }
                match end {
                    Ok(()) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock && spent => {
                        held.paced = true;
                        self.pacer.wait(token, served.out.left());
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => held.blocked = true,
                    Err(_) => return false,
                }
            }
            served.resume(&self.limits, self.now, &mut found);
            let reads = !self.stopped && served.wants_read(&self.limits);
            if held.unread && reads {
                match held.stream.read(&mut self.scratch) {
                    Ok(0) => {
                        held.unread = false;
                        held.hup = true;
                        served.eof();
                    }
                    Ok(size) => {
                        // A short read has emptied the socket, unless its end is behind.
                        held.unread = size == self.scratch.len() || held.hup;
                        served.feed(&self.scratch[..size], &self.limits, self.now, &mut found);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => held.unread = false,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return false,
                }
            }
            if !found.is_empty() && !held.busy {
                held.busy = true;
                self.shared.busy.fetch_add(1, Ordering::SeqCst);
            }
            for (place, asked) in found.drain(..) {
                self.taker.asked(Line::named(token, place), *face, asked);
            }
            // Also seen on a connection that is not read from.
            if held.hup {
                for place in served.caller_left() {
                    self.taker.gone(Line::named(token, place));
                }
            }
            if served.finished() {
                if served.clean() && !held.unread {
                    return false;
                }
                if held.stream.shutdown(std::net::Shutdown::Write).is_err() {
                    return false;
                }
                held.side = Side::Linger {
                    until: self.now + LINGER,
                    left: LINGER_BYTES,
                };
                return self.pump_linger(held);
            }
            let more = held.unread && !self.stopped && served.wants_read(&self.limits);
            if !more && (served.out.is_empty() || held.blocked || held.paced) {
                return true;
            }
        }
        self.again.push(token);
        true
    }

    /// Writes at most `turn` bytes: how many were taken, how it ended, and
    /// whether the turn was used up.
    fn write_turn(
        served: &mut Served,
        stream: &mut TcpStream,
        turn: usize,
    ) -> (usize, io::Result<()>, bool) {
        if turn >= served.out.left() {
            let (size, end) = served.out.write(stream);
            return (size, end, false);
        }
        let mut limited = Limited {
            sink: stream,
            left: turn,
        };
        let (size, end) = served.out.write(&mut limited);
        (size, end, limited.left == 0)
    }

    fn pump_linger(&mut self, held: &mut Held) -> bool {
        let Side::Linger { left, .. } = &mut held.side else {
            return true;
        };
        while held.unread {
            match held.stream.read(&mut self.scratch) {
                Ok(0) => return false,
                Ok(size) if size >= *left => return false,
                Ok(size) => {
                    *left -= size;
                    held.unread = size == self.scratch.len() || held.hup;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => held.unread = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    fn pump_called(&mut self, token: usize, held: &mut Held, ended: &mut Option<Ended>) -> bool {
        let Side::Called(called) = &mut held.side else {
            return true;
        };
        if called.idle() {
            return !held.unread && !held.hup;
        }
        for _ in 0..ROUNDS {
            if !called.out.is_empty() && !held.blocked {
                let (size, end) = called.out.write(&mut held.stream);
                if size > 0 {
                    called.wrote();
                }
                match end {
                    Ok(()) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => held.blocked = true,
                    // An answer may have come before the other side shut us out.
                    Err(_) if called.sent() => {
                        held.blocked = true;
                        held.unread = true;
                        held.hup = true;
                    }
                    Err(e) => {
                        *ended = called.ended(false, &format!("connect: {e}"));
                        return false;
                    }
                }
            }
            if held.unread {
                match held.stream.read(&mut self.scratch) {
                    Ok(0) => *ended = called.ended(true, "the other side closed"),
                    Ok(size) => {
                        held.unread = size == self.scratch.len() || held.hup;
                        *ended = called.feed(&self.scratch[..size], &self.limits);
                    }
                    Err(e)
                        if e.kind() == ErrorKind::WouldBlock
                            && held.hup
                            && !called.out.is_empty()
                            && called.sent() =>
                    {
                        *ended = called.ended(false, "the other side stopped reading");
                    }
                    Err(e)
                        if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) =>
                    {
                        held.unread = false
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => *ended = called.ended(false, &format!("connection: {e}")),
                }
            }
            if let Some(done) = ended {
                let Some(keep) = done.keep.filter(|_| !held.unread && !held.hup) else {
                    return false;
                };
                called.keep(self.now + keep);
                self.pool.keep(called.to, token);
                return true;
            }
            if !held.unread {
                return true;
            }
        }
        self.again.push(token);
        true
    }

    fn came(&mut self, ended: Option<Ended>) {
        if let Some(Ended { id, came, .. }) = ended {
            self.calls.remove(&id);
            self.taker.came(id, came);
        }
    }

    fn cut(&mut self, token: usize) {
        if let Some(held) = self.held.remove(&token) {
            self.end(token, held);
        }
    }

    /// The connection ends here; its socket closes with it.
    fn end(&mut self, token: usize, mut held: Held) {
        self.count_queued(&mut held, 0);
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        if held.busy {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
        match held.side {
            Side::Served { mut served, .. } => {
                for place in served.unanswered() {
                    self.taker.gone(Line::named(token, place));
                }
            }
            Side::Linger { .. } => {}
            Side::Called(called) => self.pool.closed(called.to, token),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepted_ones_are_tuned_by_their_listener() {
        let face = HttpLine::listen(([127, 0, 0, 1], 0).into()).unwrap();
        Line::tune(&face).unwrap();
        let peer = std::net::TcpStream::connect(face.local_addr().unwrap()).unwrap();
        let got = face.accept().unwrap().0;
        let socket = socket2::SockRef::from(&got);
        assert!(socket.tcp_nodelay().unwrap() && !peer.nodelay().unwrap());
        assert_eq!(socket.tcp_user_timeout().unwrap(), Some(SERVED_SILENCE));
    }
}
