//! Simulated callers on loopback sockets: one task and several sockets for each front. What they send and
//! read is recorded.

use crate::record::{Record, Seen};
use crate::simulation::caller::{CallAttempt, Callers, Rate};
use lilacpitch::interface::Nanos;
use lilacpitch_edge::net::{open, Clock, ConnectionEvent, Outgoing, WebSocketConnection};
use lilacpitch_protocol::frame::Role;
use lilacpitch_protocol::handshake::CALL_PROTOCOL;
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Most messages queued for a front.
const QUEUE: usize = 65_536;
/// Time for the releases at the end of the day to arrive.
const RELEASE_TIME: Duration = Duration::from_millis(300);
/// Longest time after the end of the day in which answers are awaited.
const MAX_ANSWER_WAIT_NS: Nanos = 15_000_000_000;
/// Interval of the checks for these answers.
const ANSWER_CHECK_NS: Nanos = 50_000_000;
/// Interval between attempts to connect to a front that is down.
const RECONNECT_NS: Nanos = 50_000_000;

/// The callers of one front and what they are to do.
pub(crate) struct Plan {
    pub edge: usize,
    pub address: SocketAddr,
    pub sockets: usize,
    pub classes: Vec<String>,
    pub pools: Vec<String>,
    pub callers: Callers,
    pub rate: Rate,
    /// Start of the day by the clock.
    pub start_ns: Nanos,
    pub length_ns: Nanos,
    /// Times, from the start of the day, at which all sockets are closed and connected again.
    pub leave: Vec<Nanos>,
    /// Whether a socket that the front has closed is connected again.
    pub reconnect: bool,
}

/// An action that is due at a certain time.
enum Task {
    Offer(CallAttempt),
    Release(String),
    Leave,
    Connect(usize),
}

struct Socket {
    outgoing: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

/// Something received on a socket.
struct Received {
    socket: usize,
    /// The connection it was received on; see [`FrontCallers::connections`].
    connection: u64,
    /// The message; `None`: the connection has ended.
    text: Option<String>,
}

/// The callers of one front while a day runs.
struct FrontCallers {
    plan: Plan,
    clock: Clock,
    sockets: Vec<Option<Socket>>,
    /// Calls without an answer, each with its socket.
    waiting: BTreeMap<String, (CallAttempt, usize)>,
    /// Established calls, each with its socket.
    established: BTreeMap<String, usize>,
    /// Tasks by the time at which they are due and a serial number.
    tasks: BTreeMap<(Nanos, u64), Task>,
    serial: u64,
    received: mpsc::Sender<Received>,
    /// Number of connections made so far for each socket. Messages of earlier ones are ignored.
    connections: Vec<u64>,
    records: Vec<Record>,
}

/// Runs the callers of a front to the end of the day. Must be called within a `LocalSet`.
pub(crate) async fn run(plan: Plan, clock: Clock) -> Result<Vec<Record>, String> {
    let (received, mut inbox) = mpsc::channel(QUEUE);
    let (sockets, end_ns) = (plan.sockets, plan.start_ns + plan.length_ns);
    let mut callers = FrontCallers {
        plan,
        clock,
        sockets: (0..sockets).map(|_| None).collect(),
        waiting: BTreeMap::new(),
        established: BTreeMap::new(),
        tasks: BTreeMap::new(),
        serial: 0,
        received,
        connections: vec![0; sockets],
        records: Vec::new(),
    };
    for index in 0..sockets {
        callers.connect(index).await?;
    }
    for at in callers.plan.leave.clone() {
        callers.schedule(callers.plan.start_ns + at, Task::Leave);
    }
    loop {
        let next_call = callers.plan.start_ns + callers.plan.callers.next_ns();
        let arrival = Some(next_call).filter(|at| *at < end_ns);
        let next_task = callers
            .tasks
            .first_key_value()
            .map(|((at, _), _)| *at)
            .filter(|at| *at < end_ns || arrival.is_some());
        let due = match (arrival, next_task) {
            (None, None) if callers.waiting.is_empty() => break,
            // After the end only answers are awaited. An answer that is missing for too long is found by the
            // checker.
            (None, None) => callers
                .waiting
                .values()
                .map(|(waiting_try, _)| waiting_try.first_ns + callers.plan.start_ns)
                .max()
                .map(|_| callers.clock.now() + ANSWER_CHECK_NS),
            (arrival, next_task) => arrival.into_iter().chain(next_task).min(),
        };
        if arrival.is_none() && clock.now() > end_ns + MAX_ANSWER_WAIT_NS {
            break;
        }
        tokio::select! {
            Some(received) = inbox.recv() => callers.handle(received),
            _ = tokio::time::sleep_until(clock.instant(due.unwrap_or(0))) => {}
        }
        while let Ok(received) = inbox.try_recv() {
            callers.handle(received);
        }
        while callers.plan.start_ns + callers.plan.callers.next_ns() <= clock.now().min(end_ns) {
            let rate = callers.plan.rate.clone();
            let first_try = callers.plan.callers.next(&rate);
            callers.offer(first_try);
        }
        callers.run_due(end_ns).await?;
    }
    // At the end of the day the remaining calls are released.
    let established: Vec<String> = callers.established.keys().cloned().collect();
    established.into_iter().for_each(|call| callers.release(&call));
    tokio::time::sleep(RELEASE_TIME).await;
    while let Ok(received) = inbox.try_recv() {
        callers.handle(received);
    }
    Ok(callers.records)
}

impl FrontCallers {
    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.clock.now(), seen });
    }

    fn schedule(&mut self, at: Nanos, task: Task) {
        self.serial += 1;
        self.tasks.insert((at, self.serial), task);
    }

    async fn connect(&mut self, index: usize) -> Result<(), String> {
        let mut rng = StdRng::seed_from_u64(((self.plan.edge as u64) << 32) + index as u64);
        let (stream, unread_bytes) =
            open(self.plan.address, "/call", CALL_PROTOCOL, &mut rng).await.map_err(|e| e.to_string())?;
        let (outgoing, mut queue) = mpsc::channel(QUEUE);
        self.connections[index] += 1;
        let (received, clock, connection) = (self.received.clone(), self.clock, self.connections[index]);
        let task = tokio::task::spawn_local(async move {
            let websocket = WebSocketConnection {
                stream,
                role: Role::Client,
                clock,
                rng,
                quiet: None,
                write_limits: None,
                has_client_left: std::sync::Arc::default(),
            };
            let on_event = async |event| match event {
                ConnectionEvent::Text(text) => {
                    received.send(Received { socket: index, connection, text: Some(text) }).await.is_ok()
                }
                ConnectionEvent::NotWritten(_) | ConnectionEvent::Written(_) => true,
            };
            websocket.run(&unread_bytes, &mut queue, on_event).await;
            let _ = received.send(Received { socket: index, connection, text: None }).await;
        });
        self.sockets[index] = Some(Socket { outgoing, task: task.abort_handle() });
        Ok(())
    }

    fn send(&mut self, socket: usize, message: &FromCaller) {
        if let Some(socket) = &self.sockets[socket] {
            let text = message.encode();
            let _ = socket.outgoing.try_send(Outgoing {
                number: 0,
                text,
                not_after_ns: None,
                reports_written: false,
            });
        }
    }

    /// Makes a try: sends its set-up on one of the sockets.
    fn offer(&mut self, new_try: CallAttempt) {
        self.serial += 1;
        let socket = self.serial as usize % self.sockets.len();
        let message = FromCaller::Setup {
            call: new_try.call.clone(),
            class: self.plan.classes[new_try.class].clone(),
            pool: self.plan.pools.get(new_try.pool).cloned(),
            number: Some(new_try.number.to_string()),
            budget_ms: new_try.budget_ns / 1_000_000,
        };
        self.record(Seen::Offered {
            call: new_try.call.clone(),
            origin: new_try.origin.clone(),
            edge: self.plan.edge,
            class: new_try.class,
            budget_ns: new_try.budget_ns,
        });
        // While the front is down the try is lost, and counts as offered.
        if self.sockets[socket].is_none() {
            return self.record(Seen::CallerGone { calls: vec![new_try.call] });
        }
        self.send(socket, &message);
        self.waiting.insert(new_try.call.clone(), (new_try, socket));
    }

    fn release(&mut self, call: &str) {
        let Some(socket) = self.established.remove(call) else { return };
        self.record(Seen::CallerEnded { call: call.to_string() });
        self.send(socket, &FromCaller::Release { call: call.to_string() });
    }

    /// Runs the tasks that are due. No tries are made after `end_ns`.
    async fn run_due(&mut self, end_ns: Nanos) -> Result<(), String> {
        while let Some(entry) = self.tasks.first_entry().filter(|e| e.key().0 <= self.clock.now()) {
            let ((at, _), task) = entry.remove_entry();
            match task {
                Task::Offer(new_try) if at < end_ns => self.offer(new_try),
                Task::Offer(_) => {}
                Task::Release(call) => self.release(&call),
                Task::Connect(index) if self.sockets[index].is_none() => {
                    if self.connect(index).await.is_err() {
                        self.schedule(at + RECONNECT_NS, Task::Connect(index));
                    }
                }
                Task::Connect(_) => {}
                Task::Leave => {
                    for index in 0..self.sockets.len() {
                        self.drop_socket(index);
                        self.connect(index).await?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Drops a socket, which the callers close or the front has closed, with its calls.
    fn drop_socket(&mut self, index: usize) {
        let Some(socket) = self.sockets[index].take() else { return };
        socket.task.abort();
        let waiting = self.waiting.iter().filter(|(_, (_, s))| *s == index).map(|(call, _)| call.clone());
        let established = self.established.iter().filter(|(_, s)| **s == index).map(|(call, _)| call.clone());
        let calls: Vec<String> = waiting.chain(established).collect();
        for call in &calls {
            self.waiting.remove(call);
            self.established.remove(call);
        }
        self.record(Seen::CallerGone { calls });
    }

    fn handle(&mut self, received: Received) {
        let Received { socket, connection, text } = received;
        if connection != self.connections[socket] {
            return;
        }
        let Some(text) = text else {
            self.drop_socket(socket);
            if self.plan.reconnect {
                self.schedule(self.clock.now() + RECONNECT_NS, Task::Connect(socket));
            }
            return;
        };
        match ToCaller::decode(&text) {
            Ok(ToCaller::Final { call, answer, come_back_ms, .. }) => {
                self.record(Seen::Final { call: call.clone(), answer });
                let Some((answered_try, socket)) = self.waiting.remove(&call) else { return };
                let now = self.clock.now();
                if answer == Answer::Stands {
                    self.established.insert(call.clone(), socket);
                    self.schedule(now + answered_try.hold_ns, Task::Release(call));
                } else {
                    let day_ns = now - self.plan.start_ns;
                    let next_try =
                        self.plan.callers.next_attempt(day_ns, &answered_try, answer, come_back_ms);
                    if let Some((at, next_try)) = next_try {
                        self.schedule(self.plan.start_ns + at, Task::Offer(next_try));
                    }
                }
            }
            Ok(ToCaller::Released { call, cause }) => {
                self.established.remove(&call);
                self.record(Seen::Released { call, cut: cause != "ended" });
            }
            Ok(ToCaller::Error { call: Some(call), reason }) => {
                // "No such call" answers a release that crossed with the end of its call; it rejects no
                // set-up.
                if reason != "no such call" {
                    self.waiting.remove(&call);
                    self.record(Seen::NotTaken { call });
                }
            }
            Ok(ToCaller::Error { .. }) => {}
            Err(error) => panic!("a front sent a message that does not decode: {text}: {error}"),
        }
    }
}
