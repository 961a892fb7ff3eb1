//! Simulated callers on loopback sockets: one task a front, several sockets, what they send and read recorded.

use crate::record::{Record, Seen};
use crate::simulation::caller::{Callers, Rate, Try};
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

/// Messages that may wait for a front to read them.
const QUEUE: usize = 65_536;
/// After the last call came: what stands is released, and its releases get this long to arrive.
const AFTERMATH: Duration = Duration::from_millis(300);
/// Between tries to reach a front that is gone.
const AGAIN_NS: Nanos = 50_000_000;

/// What the callers of one front do.
pub(crate) struct Plan {
    pub edge: usize,
    pub address: SocketAddr,
    pub sockets: usize,
    pub classes: Vec<String>,
    pub pools: Vec<String>,
    pub callers: Callers,
    pub rate: Rate,
    /// The clock's moment at which the day begins, and its length.
    pub start_ns: Nanos,
    pub length_ns: Nanos,
    /// When all sockets are dropped and made anew, from the day's start.
    pub leave: Vec<Nanos>,
    /// A socket that the front's end has ended is made anew.
    pub come_back: bool,
}

enum Todo {
    Offer(Try),
    Release(String),
    Leave,
    Connect(usize),
}

struct Socket {
    out: mpsc::Sender<Outgoing>,
    task: AbortHandle,
}

struct Desk {
    plan: Plan,
    clock: Clock,
    sockets: Vec<Option<Socket>>,
    /// Calls without an answer, and calls that stand, each with its socket.
    waiting: BTreeMap<String, (Try, usize)>,
    standing: BTreeMap<String, usize>,
    todo: BTreeMap<(Nanos, u64), Todo>,
    serial: u64,
    news: mpsc::Sender<(usize, u64, Option<String>)>,
    /// Counts a socket's lives: what an earlier one still says is not heard.
    lives: Vec<u64>,
    records: Vec<Record>,
}

/// Plays a front's callers to the end of the day. Must run within a `LocalSet`.
pub(crate) async fn play(plan: Plan, clock: Clock) -> Result<Vec<Record>, String> {
    let (news, mut inbox) = mpsc::channel(QUEUE);
    let (sockets, end_ns) = (plan.sockets, plan.start_ns + plan.length_ns);
    let mut desk = Desk {
        plan,
        clock,
        sockets: (0..sockets).map(|_| None).collect(),
        waiting: BTreeMap::new(),
        standing: BTreeMap::new(),
        todo: BTreeMap::new(),
        serial: 0,
        news,
        lives: vec![0; sockets],
        records: Vec::new(),
    };
    for index in 0..sockets {
        desk.connect(index).await?;
    }
    for at in desk.plan.leave.clone() {
        desk.later(desk.plan.start_ns + at, Todo::Leave);
    }
    loop {
        let next = desk.plan.start_ns + desk.plan.callers.next_ns();
        let arrival = Some(next).filter(|at| *at < end_ns);
        let first = desk
            .todo
            .first_key_value()
            .map(|((at, _), _)| *at)
            .filter(|at| *at < end_ns || arrival.is_some());
        let due = match (arrival, first) {
            (None, None) if desk.waiting.is_empty() => break,
            // Past the end only answers are waited for; a front that owes one for long is the judge's matter.
            (None, None) => desk
                .waiting
                .values()
                .map(|(t, _)| t.first_ns + desk.plan.start_ns)
                .max()
                .map(|_| desk.clock.now() + 50_000_000),
            (a, b) => a.into_iter().chain(b).min(),
        };
        if arrival.is_none() && clock.now() > end_ns + 15_000_000_000 {
            break;
        }
        tokio::select! {
            Some((socket, life, text)) = inbox.recv() => desk.hear(socket, life, text),
            _ = tokio::time::sleep_until(clock.instant(due.unwrap_or(0))) => {}
        }
        while let Ok((socket, life, text)) = inbox.try_recv() {
            desk.hear(socket, life, text);
        }
        while desk.plan.start_ns + desk.plan.callers.next_ns() <= clock.now().min(end_ns) {
            let rate = desk.plan.rate.clone();
            let made = desk.plan.callers.next(&rate);
            desk.offer(made);
        }
        desk.do_due(end_ns).await?;
    }
    // The day is over: who still talks hangs up.
    let standing: Vec<String> = desk.standing.keys().cloned().collect();
    standing.into_iter().for_each(|call| desk.release(&call));
    tokio::time::sleep(AFTERMATH).await;
    while let Ok((socket, life, text)) = inbox.try_recv() {
        desk.hear(socket, life, text);
    }
    Ok(desk.records)
}

impl Desk {
    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.clock.now(), seen });
    }

    fn later(&mut self, at: Nanos, todo: Todo) {
        self.serial += 1;
        self.todo.insert((at, self.serial), todo);
    }

    async fn connect(&mut self, index: usize) -> Result<(), String> {
        let mut rng = StdRng::seed_from_u64(((self.plan.edge as u64) << 32) + index as u64);
        let (stream, rest) =
            open(self.plan.address, "/call", CALL_PROTOCOL, &mut rng).await.map_err(|e| e.to_string())?;
        let (out, mut queue) = mpsc::channel(QUEUE);
        self.lives[index] += 1;
        let (news, clock, life) = (self.news.clone(), self.clock, self.lives[index]);
        let task = tokio::task::spawn_local(async move {
            let connection = WebSocketConnection { stream, role: Role::Client, clock, rng, quiet: None };
            let on_event = async |event| match event {
                ConnectionEvent::Text(text) => news.send((index, life, Some(text))).await.is_ok(),
                ConnectionEvent::NotWritten(_) => true,
            };
            connection.run(&rest, &mut queue, on_event).await;
            let _ = news.send((index, life, None)).await;
        });
        self.sockets[index] = Some(Socket { out, task: task.abort_handle() });
        Ok(())
    }

    fn say(&mut self, socket: usize, message: &FromCaller) {
        if let Some(socket) = &self.sockets[socket] {
            let _ = socket.out.try_send(Outgoing { number: 0, text: message.encode(), not_after_ns: None });
        }
    }

    fn offer(&mut self, made: Try) {
        self.serial += 1;
        let socket = self.serial as usize % self.sockets.len();
        let message = FromCaller::Setup {
            call: made.call.clone(),
            class: self.plan.classes[made.class].clone(),
            pool: self.plan.pools.get(made.pool).cloned(),
            number: Some(made.number.to_string()),
            budget_ms: made.budget_ns / 1_000_000,
        };
        self.record(Seen::Offered {
            call: made.call.clone(),
            origin: made.origin.clone(),
            edge: self.plan.edge,
            class: made.class,
            budget_ns: made.budget_ns,
        });
        // A caller whose front is down can't reach it: its try is lost, and counted.
        if self.sockets[socket].is_none() {
            return self.record(Seen::CallerGone { calls: vec![made.call] });
        }
        self.say(socket, &message);
        self.waiting.insert(made.call.clone(), (made, socket));
    }

    fn release(&mut self, call: &str) {
        let Some(socket) = self.standing.remove(call) else { return };
        self.record(Seen::CallerEnded { call: call.to_string() });
        self.say(socket, &FromCaller::Release { call: call.to_string() });
    }

    async fn do_due(&mut self, end_ns: Nanos) -> Result<(), String> {
        while let Some(entry) = self.todo.first_entry().filter(|e| e.key().0 <= self.clock.now()) {
            let ((at, _), todo) = entry.remove_entry();
            match todo {
                // No new tries past the end.
                Todo::Offer(made) if at < end_ns => self.offer(made),
                Todo::Offer(_) => {}
                Todo::Release(call) => self.release(&call),
                Todo::Connect(index) if self.sockets[index].is_none() => {
                    if self.connect(index).await.is_err() {
                        self.later(at + AGAIN_NS, Todo::Connect(index));
                    }
                }
                Todo::Connect(_) => {}
                Todo::Leave => {
                    for index in 0..self.sockets.len() {
                        self.gone(index);
                        self.connect(index).await?;
                    }
                }
            }
        }
        Ok(())
    }

    /// A socket is dropped, or was ended by the front.
    fn gone(&mut self, index: usize) {
        let Some(socket) = self.sockets[index].take() else { return };
        socket.task.abort();
        let waiting = self.waiting.iter().filter(|(_, (_, s))| *s == index).map(|(call, _)| call.clone());
        let standing = self.standing.iter().filter(|(_, s)| **s == index).map(|(call, _)| call.clone());
        let calls: Vec<String> = waiting.chain(standing).collect();
        for call in &calls {
            self.waiting.remove(call);
            self.standing.remove(call);
        }
        self.record(Seen::CallerGone { calls });
    }

    fn hear(&mut self, socket: usize, life: u64, text: Option<String>) {
        if life != self.lives[socket] {
            return;
        }
        let Some(text) = text else {
            self.gone(socket);
            if self.plan.come_back {
                self.later(self.clock.now() + AGAIN_NS, Todo::Connect(socket));
            }
            return;
        };
        match ToCaller::decode(&text) {
            Ok(ToCaller::Final { call, answer, come_back_ms, .. }) => {
                self.record(Seen::Final { call: call.clone(), answer });
                let Some((made, socket)) = self.waiting.remove(&call) else { return };
                let now = self.clock.now();
                if answer == Answer::Stands {
                    self.standing.insert(call.clone(), socket);
                    self.later(now + made.hold_ns, Todo::Release(call));
                } else {
                    let day_ns = now - self.plan.start_ns;
                    if let Some((at, again)) = self.plan.callers.again(day_ns, &made, answer, come_back_ms) {
                        self.later(self.plan.start_ns + at, Todo::Offer(again));
                    }
                }
            }
            Ok(ToCaller::Released { call, cause }) => {
                self.standing.remove(&call);
                self.record(Seen::Released { call, cut: cause != "ended" });
            }
            Ok(ToCaller::Error { call: Some(call), reason }) => {
                // A release that crossed with the call's end is no refusal of it.
                if reason != "no such call" {
                    self.waiting.remove(&call);
                    self.record(Seen::NotTaken { call });
                }
            }
            Ok(ToCaller::Error { .. }) => {}
            Err(error) => panic!("a front's message that its own codec refuses: {text}: {error}"),
        }
    }
}
