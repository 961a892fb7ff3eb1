//! A day in virtual time: the same front, the same servers and callers, and the same judge, without a socket.
//!
//! The same day and seed give the same records, so a failing seed is a reproducer; a day of hundreds of fronts
//! plays in seconds. Messages take a drawn while and keep their order on a connection, as on TCP.

use crate::baseline::Baseline;
use crate::call_rules_checker::judge;
use crate::day::{Day, Listed, Script, ServerEvent};
use crate::record::{Record, Seen};
use crate::report::report;
use crate::runner::Played;
use crate::simulated_network::Sent;
use crate::simulation::caller::{Callers, Rate, Try};
use crate::simulation::server::{Does, Server};
use lilacpitch::interface::Nanos;
use lilacpitch_config::{ConfigError, Edge, Pools, ServerState};
use lilacpitch_edge::core::{CallerId, EdgeCore, Effect, Input, Safeguards, UpstreamId};
use lilacpitch_gossip::{Effect as Said, Keys, Peers, ServerReport, Settings as PeersSettings};
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The day begins at this moment of the fronts' clocks.
const START_NS: Nanos = 1_700_000_000_000_000_000;
/// From the fronts' start to the first call.
const LEAD_NS: Nanos = 1_000_000_000;
/// A message takes this long at least, and up to as long again.
const WAY_NS: Nanos = 1_000_000;
/// The pool list's file is looked at so often.
const LOOK_NS: Nanos = 50_000_000;
/// After the last call came, answers are waited for this long.
const AFTERMATH_NS: Nanos = 16_000_000_000;

enum Happens {
    ToFront(usize, Input),
    Wake(usize),
    Connect { front: usize, link: UpstreamId, server: usize },
    ToServer { front: usize, link: UpstreamId, server: usize, text: String },
    Hangup { front: usize, link: UpstreamId, server: usize },
    Work(usize),
    ToCaller { front: usize, caller: CallerId, text: String },
    Arrival(usize),
    Offer(usize, Try),
    Release(usize, String),
    ToServerItself(usize, ServerEvent),
    List(usize, Listed),
    Freeze(usize, bool),
    Leave(usize),
    Kill(usize),
    Start(usize),
    Confuse(usize),
    Datagram(usize, Vec<u8>),
    PeersWake(usize),
}

struct FrontRow {
    front: EdgeCore,
    peers: Option<Peers>,
    peers_wake_ns: Option<Nanos>,
    /// Killed, and not started anew yet.
    down: bool,
    confused: bool,
    wake_ns: Option<Nanos>,
    frozen: bool,
    /// What came while it was frozen.
    held: Vec<Input>,
    caller: CallerId,
    callers: Callers,
    waiting: BTreeMap<String, Try>,
    standing: BTreeMap<String, ()>,
}

struct ServerRow {
    name: String,
    model: Server,
    dead: bool,
    stopped: bool,
    conns: BTreeMap<usize, UpstreamId>,
    work_ns: Option<Nanos>,
}

struct World<'a> {
    day: &'a Day,
    script: &'a Script,
    rng: Pcg64Mcg,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Happens>,
    serial: u64,
    /// When the last message on each way arrives: a way from a front to a server, a server to a front, and
    /// between a front and its callers.
    last: BTreeMap<(u8, usize, usize), Nanos>,
    fronts: Vec<FrontRow>,
    servers: Vec<ServerRow>,
    listed: Vec<Listed>,
    /// Of a server and a front: when a late list tells the front of the server's start.
    untold: BTreeMap<(usize, usize), Nanos>,
    /// Calls at each front over time.
    rates: Vec<Rate>,
    connect_ns: Nanos,
    guards: Safeguards,
    policy: Baseline,
    records: Vec<Record>,
    effects: Vec<Effect>,
    does: Vec<Does>,
    /// What all fronts together sent each other.
    talk: Sent,
}

/// Plays a day in virtual time.
pub fn play(day: &Day, guards: Safeguards) -> Result<Played, ConfigError> {
    play_with(day, guards, Baseline::Module)
}

/// The same with another policy in the module's place.
pub fn play_with(day: &Day, guards: Safeguards, policy: Baseline) -> Result<Played, ConfigError> {
    let script = day.script();
    let mut world = World::new(day, &script, guards, policy)?;
    let end_ns = START_NS + day.length_ns + AFTERMATH_NS;
    while let Some(((at, _), happens)) = world.queue.pop_first() {
        if at > end_ns {
            break;
        }
        world.now = at;
        world.happen(happens);
    }
    let mut records = world.records;
    records.iter_mut().for_each(|r| r.at_ns = r.at_ns.saturating_sub(START_NS));
    let breaches = judge(&records, day.figures());
    let ramp = world.servers.iter().map(|row| row.model.ramp()).fold(0.0, f64::max);
    let (report, talk) = (report(day, &records, 0), world.talk);
    Ok(Played { report, breaches, records, used: Vec::new(), talk, ramp })
}

impl<'a> World<'a> {
    fn new(
        day: &'a Day,
        script: &'a Script,
        guards: Safeguards,
        policy: Baseline,
    ) -> Result<Self, ConfigError> {
        let mut world = World {
            day,
            script,
            rng: Pcg64Mcg::seed_from_u64(day.seed),
            now: START_NS - LEAD_NS,
            queue: BTreeMap::new(),
            serial: 0,
            last: BTreeMap::new(),
            fronts: Vec::new(),
            servers: Vec::new(),
            listed: Vec::new(),
            untold: BTreeMap::new(),
            rates: (0..day.edges).map(|edge| day.rate_at(edge, script)).collect(),
            connect_ns: 0,
            guards,
            policy,
            records: Vec::new(),
            effects: Vec::new(),
            does: Vec::new(),
            talk: Sent::default(),
        };
        for (server, listed) in &script.servers {
            let mut model = Server::new(day.make(server));
            if !listed {
                model.die();
            }
            world.servers.push(ServerRow {
                name: server.name.clone(),
                model,
                dead: !listed,
                stopped: false,
                conns: BTreeMap::new(),
                work_ns: None,
            });
            world.listed.push(if *listed { Listed::Running(None) } else { Listed::Gone });
        }
        for edge in 0..day.edges {
            let seed = day.seed.wrapping_mul(1000) + edge as u64;
            let front = world.new_front(edge)?;
            let callers = Callers::new(format!("e{edge}c"), day.habits(), day.pools().len(), seed);
            world.fronts.push(FrontRow {
                front,
                peers: None,
                peers_wake_ns: None,
                down: false,
                confused: false,
                wake_ns: None,
                frozen: false,
                held: Vec::new(),
                caller: 1,
                callers,
                waiting: BTreeMap::new(),
                standing: BTreeMap::new(),
            });
            world.feed(edge, Input::CallerOpened(1));
            world.feed(edge, Input::PoolList(world.pools()));
            world.at(START_NS, Happens::Arrival(edge));
        }
        (0..day.edges).for_each(|edge| world.start_peers(edge));
        for (at, server, event) in &script.server {
            world.at(START_NS + at, Happens::ToServerItself(*server, *event));
        }
        for (at, server, listed) in &script.list {
            world.at(START_NS + at, Happens::List(*server, *listed));
        }
        for (from, to, edge) in &script.freeze {
            world.at(START_NS + from, Happens::Freeze(*edge, true));
            world.at(START_NS + to, Happens::Freeze(*edge, false));
        }
        for (from, to, edge) in &script.restart {
            world.at(START_NS + from, Happens::Kill(*edge));
            world.at(START_NS + to, Happens::Start(*edge));
        }
        for (at, edge) in &script.confused {
            world.at(START_NS + at, Happens::Confuse(*edge));
        }
        for (at, edge) in &script.leave {
            world.at(START_NS + at, Happens::Leave(*edge));
        }
        Ok(world)
    }

    fn at(&mut self, at: Nanos, happens: Happens) {
        self.serial += 1;
        self.queue.insert((at.max(self.now), self.serial), happens);
    }

    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.now, seen });
    }

    /// When a message sent now arrives: after what was sent before it on the same way.
    fn arrives(&mut self, way: (u8, usize, usize)) -> Nanos {
        let drawn = self.rng.next_u64() % WAY_NS;
        let last = self.last.entry(way).or_default();
        *last = (self.now + WAY_NS + drawn).max(*last);
        *last
    }

    fn pools(&self) -> Pools {
        let rows = self.script.servers.iter().zip(&self.listed).enumerate();
        let server = |(index, ((make, _), listed)): (usize, (&(crate::day::ServerMake, bool), &Listed))| {
            let (state, started_ms) = match listed {
                Listed::Running(None) => (ServerState::Running, 0),
                Listed::Running(Some(at)) => (ServerState::Running, (START_NS + at) / 1_000_000),
                Listed::Draining => (ServerState::Draining, 0),
                Listed::Gone => return None,
            };
            Some(lilacpitch_config::Server {
                name: make.name.clone(),
                pool: make.pool.clone(),
                zone: String::new(),
                // The address stands for the server's place in the script.
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1)),
                state,
                started_ms,
            })
        };
        Pools { servers: rows.filter_map(server).collect() }
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::ToFront(front, input) => self.feed(front, input),
            Happens::Wake(front) => {
                if self.fronts[front].wake_ns == Some(self.now) {
                    self.fronts[front].wake_ns = None;
                    self.feed(front, Input::Timeout);
                }
            }
            Happens::Connect { front, link, server } => self.connected(front, link, server),
            Happens::ToServer { front, link, server, text } => self.server_reads(front, link, server, &text),
            Happens::Hangup { front, link, server } => {
                if self.servers[server].conns.get(&front) == Some(&link) {
                    self.drop_conn(server, front);
                }
            }
            Happens::Work(server) => {
                self.servers[server].work_ns = None;
                let mut does = std::mem::take(&mut self.does);
                self.servers[server].model.work(self.now, &mut does);
                self.does = does;
                self.server_does(server);
            }
            Happens::ToCaller { front, caller, text } => self.caller_reads(front, caller, &text),
            Happens::Arrival(front) => self.arrival(front),
            Happens::Offer(front, made) => self.offer(front, made),
            Happens::Release(front, call) => {
                if self.fronts[front].standing.remove(&call).is_some() {
                    self.record(Seen::CallerEnded { call: call.clone() });
                    self.say(front, &FromCaller::Release { call });
                }
            }
            Happens::ToServerItself(server, event) => self.server_event(server, event),
            Happens::List(server, listed) => self.list(server, listed),
            Happens::Freeze(front, on) => self.freeze(front, on),
            Happens::Leave(front) => self.leave(front),
            Happens::Kill(front) => self.kill(front),
            Happens::Start(front) => self.start(front),
            Happens::Confuse(front) => self.fronts[front].confused = true,
            Happens::Datagram(front, bytes) => {
                self.with_peers(front, |peers, now, out| {
                    // Its counters say what was refused.
                    let _ = peers.handle_datagram(now, &bytes, out);
                });
            }
            Happens::PeersWake(front) => {
                if self.fronts[front].peers_wake_ns == Some(self.now) {
                    self.fronts[front].peers_wake_ns = None;
                    self.with_peers(front, |peers, now, out| peers.handle_timeout(now, out));
                }
            }
        }
    }

    // ---- Fronts ----

    fn feed(&mut self, index: usize, input: Input) {
        let row = &mut self.fronts[index];
        if row.down {
            return;
        }
        if row.frozen {
            row.held.push(input);
            return;
        }
        let mut effects = std::mem::take(&mut self.effects);
        row.front.handle(self.now, input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(index, effect);
        }
        self.effects = effects;
        let wanted = self.fronts[index].front.next_timeout();
        if let Some(at) = wanted.filter(|at| self.fronts[index].wake_ns.is_none_or(|set| *at < set)) {
            let at = at.max(self.now);
            self.fronts[index].wake_ns = Some(at);
            self.at(at, Happens::Wake(index));
        }
    }

    fn carry_out(&mut self, front: usize, effect: Effect) {
        match effect {
            // Virtual days play fronts without a fleet.
            Effect::Locate { .. } | Effect::RecordChanged(_) => {}
            Effect::ToCaller(caller, text) => {
                let at = self.arrives((0, front, 0));
                self.at(at, Happens::ToCaller { front, caller, text });
            }
            Effect::Connect(link, address) => {
                let server = usize::from(address.port()) - 1;
                let at = self.arrives((1, front, server));
                self.at(at, Happens::Connect { front, link, server });
            }
            Effect::ToServer { upstream: link, text, .. } => {
                let on = self.servers.iter().position(|s| s.conns.get(&front) == Some(&link));
                let Some(server) = on else { return };
                let at = self.arrives((1, front, server));
                self.at(at, Happens::ToServer { front, link, server, text });
            }
            Effect::Disconnect(link) => {
                let on = self.servers.iter().position(|s| s.conns.get(&front) == Some(&link));
                let Some(server) = on else { return };
                let at = self.arrives((1, front, server));
                self.at(at, Happens::Hangup { front, link, server });
            }
            Effect::Stopped => {}
        }
    }

    fn connected(&mut self, front: usize, link: UpstreamId, server: usize) {
        let row = &mut self.servers[server];
        if row.dead && !row.stopped {
            // Taken by the machine, answered by nobody: the front's own patience ends it.
            return self.at(
                self.now + self.connect_ns,
                Happens::ToFront(front, Input::UpstreamClosed { upstream: link, written: 0 }),
            );
        }
        let input = if row.stopped {
            Input::UpstreamClosed { upstream: link, written: 0 }
        } else {
            row.conns.insert(front, link);
            Input::UpstreamConnected(link)
        };
        let at = self.arrives((2, server, front));
        self.at(at, Happens::ToFront(front, input));
    }

    fn freeze(&mut self, front: usize, on: bool) {
        self.fronts[front].frozen = on;
        self.record(if on { Seen::Frozen { edge: front } } else { Seen::Thawed { edge: front } });
        if !on {
            for input in std::mem::take(&mut self.fronts[front].held) {
                self.feed(front, input);
            }
            self.feed(front, Input::Timeout);
        }
    }

    fn list(&mut self, server: usize, listed: Listed) {
        self.listed[server] = listed;
        let running = matches!(listed, Listed::Running(_));
        self.record(Seen::Told { server: self.servers[server].name.clone(), running });
        for front in 0..self.fronts.len() {
            let look = self.rng.next_u64() % LOOK_NS;
            let pools = self.pools();
            // Looks are in step with the list: one made later shows what is in force then.
            let way = (3, front, 0);
            let last = self.last.get(&way).copied().unwrap_or(0);
            let late_ns = self.script.list_late_ns(front, self.now - START_NS);
            let at = (self.now + look + late_ns).max(last);
            if running && at > self.now + LOOK_NS {
                self.untold.insert((server, front), at);
            }
            self.last.insert(way, at);
            self.at(at, Happens::ToFront(front, Input::PoolList(pools)));
        }
    }

    // ---- Servers ----

    fn server_reads(&mut self, front: usize, link: UpstreamId, server: usize, text: &str) {
        if self.servers[server].conns.get(&front) != Some(&link) {
            return;
        }
        let Ok(message) = ToServer::decode(text) else { return };
        let row = &self.servers[server];
        let known = row.model.knows((front, message.attempt()));
        self.record(Seen::read(&row.name.clone(), front, &message, known));
        let mut does = std::mem::take(&mut self.does);
        self.servers[server].model.hear(self.now, front, &message, &mut does);
        self.does = does;
        self.server_does(server);
    }

    fn server_does(&mut self, server: usize) {
        for does in std::mem::take(&mut self.does) {
            match does {
                Does::Send(front, message) => self.server_sends(server, front, &message),
                Does::Loses((edge, attempt)) => {
                    let server = self.servers[server].name.clone();
                    self.record(Seen::Answered { server, edge, attempt, stands: true });
                }
                Does::Falls { multiple, from } => {
                    self.servers[server].dead = true;
                    // Those that a late list kept from hearing of its start can't be held to its ramp.
                    let untold = |front: &&usize| {
                        self.untold.get(&(server, **front)).is_some_and(|told_ns| self.now < *told_ns)
                    };
                    if 3 * from.iter().filter(untold).count() < from.len() {
                        self.record(Seen::Fell { server: self.servers[server].name.clone(), multiple });
                    }
                }
            }
        }
        let row = &mut self.servers[server];
        if let Some(at) = row.model.next_ns().filter(|at| row.work_ns.is_none_or(|set| *at < set)) {
            row.work_ns = Some(at);
            self.at(at, Happens::Work(server));
        }
    }

    fn server_sends(&mut self, server: usize, front: usize, message: &FromServer) {
        let Some(link) = self.servers[server].conns.get(&front).copied() else { return };
        self.record(Seen::said(&self.servers[server].name.clone(), front, message));
        let at = self.arrives((2, server, front));
        self.at(at, Happens::ToFront(front, Input::UpstreamText(link, message.encode())));
    }

    fn drop_conn(&mut self, server: usize, front: usize) {
        let row = &mut self.servers[server];
        let Some(link) = row.conns.remove(&front) else { return };
        row.model.drop_front(front);
        let server_name = row.name.clone();
        self.record(Seen::LinkEnded { server: server_name, edge: front });
        let at = self.arrives((2, server, front));
        self.at(at, Happens::ToFront(front, Input::UpstreamClosed { upstream: link, written: u64::MAX }));
    }

    fn drop_all(&mut self, server: usize) {
        let fronts: Vec<usize> = self.servers[server].conns.keys().copied().collect();
        fronts.into_iter().for_each(|front| self.drop_conn(server, front));
    }

    fn server_event(&mut self, server: usize, event: ServerEvent) {
        let (now, row) = (self.now, &mut self.servers[server]);
        match event {
            ServerEvent::Slow(times) => row.model.slow(times),
            ServerEvent::Still(span) => row.model.stand_still(now + span),
            ServerEvent::LoseAnswers(share) => row.model.lose_answers(share),
            ServerEvent::Ail(ailment) => row.model.ail(ailment),
            ServerEvent::Heal(ailment) => row.model.heal(&ailment),
            ServerEvent::Die => {
                row.model.die();
                row.dead = true;
            }
            ServerEvent::Start => {
                row.model.start(now);
                row.dead = false;
                self.drop_all(server);
            }
            ServerEvent::Reset => self.drop_all(server),
            ServerEvent::Stop => {
                let cut = row.model.cut_all();
                row.model.die();
                (row.dead, row.stopped) = (true, true);
                for (front, message) in cut {
                    self.server_sends(server, front, &message);
                }
                self.drop_all(server);
            }
        }
        self.server_does(server);
    }

    // ---- Callers ----

    fn say(&mut self, front: usize, message: &FromCaller) {
        let caller = self.fronts[front].caller;
        let at = self.arrives((4, front, 0));
        self.at(at, Happens::ToFront(front, Input::CallerText(caller, message.encode())));
    }

    fn arrival(&mut self, front: usize) {
        let row = &mut self.fronts[front];
        // The first is drawn from the day's start on, like all others.
        let made = row.callers.next(&self.rates[front]);
        let next = row.callers.next_ns();
        if made.first_ns > 0 {
            self.offer(front, made);
        }
        if next < self.day.length_ns {
            self.at(START_NS + next, Happens::Arrival(front));
        }
    }

    fn offer(&mut self, front: usize, made: Try) {
        // A caller whose front is down can't reach it: its try is lost, and counted.
        if self.now >= START_NS + self.day.length_ns {
            return;
        }
        let message = FromCaller::Setup {
            call: made.call.clone(),
            class: self.day.classes[made.class].name.clone(),
            pool: self.day.pools().get(made.pool).cloned(),
            number: Some(made.number.to_string()),
            budget_ms: made.budget_ns / 1_000_000,
        };
        self.record(Seen::Offered {
            call: made.call.clone(),
            origin: made.origin.clone(),
            edge: front,
            class: made.class,
            budget_ns: made.budget_ns,
        });
        if self.fronts[front].down {
            self.record(Seen::CallerGone { calls: vec![made.call] });
            return;
        }
        self.fronts[front].waiting.insert(made.call.clone(), made);
        self.say(front, &message);
    }

    fn caller_reads(&mut self, front: usize, caller: CallerId, text: &str) {
        if self.fronts[front].caller != caller {
            return;
        }
        match ToCaller::decode(text) {
            Ok(ToCaller::Final { call, answer, come_back_ms, .. }) => {
                self.record(Seen::Final { call: call.clone(), answer });
                let row = &mut self.fronts[front];
                let Some(made) = row.waiting.remove(&call) else { return };
                if answer == Answer::Stands {
                    row.standing.insert(call.clone(), ());
                    self.at(self.now + made.hold_ns, Happens::Release(front, call));
                } else {
                    let day_ns = self.now - START_NS;
                    if let Some((at, again)) = row.callers.again(day_ns, &made, answer, come_back_ms) {
                        self.at(START_NS + at, Happens::Offer(front, again));
                    }
                }
            }
            Ok(ToCaller::Released { call, cause }) => {
                self.fronts[front].standing.remove(&call);
                self.record(Seen::Released { call, cut: cause != "ended" });
            }
            Ok(ToCaller::Error { call: Some(call), reason }) if reason != "no such call" => {
                self.fronts[front].waiting.remove(&call);
                self.record(Seen::NotTaken { call });
            }
            Ok(ToCaller::Error { .. }) => {}
            Err(error) => panic!("a front's message that its own codec refuses: {text}: {error}"),
        }
    }

    /// The front and all it held are gone; its callers and servers see their connections end.
    fn kill(&mut self, front: usize) {
        self.fronts[front].down = true;
        self.fronts[front].peers = None;
        for server in 0..self.servers.len() {
            if self.servers[server].conns.contains_key(&front) {
                self.drop_conn(server, front);
            }
        }
        self.leave(front);
    }

    /// It starts anew, knowing nothing but its settings and the list.
    fn start(&mut self, front: usize) {
        // The day's own settings were read once already.
        let Ok(new) = self.new_front(front) else { return };
        let row = &mut self.fronts[front];
        (row.front, row.down, row.wake_ns, row.peers_wake_ns) = (new, false, None, None);
        let caller = row.caller;
        let pools = self.pools();
        self.feed(front, Input::CallerOpened(caller));
        self.feed(front, Input::PoolList(pools));
        self.start_peers(front);
    }

    fn new_front(&mut self, edge: usize) -> Result<EdgeCore, ConfigError> {
        let text = self.day.edge_settings(edge, "-", "127.0.0.1:1");
        let settings = Edge::from_text("a day's front", &text)?.value;
        self.connect_ns = settings.timing.connect_ns;
        let policy = self.policy;
        let (seed, make) = (self.rng.next_u64(), |told, seed| policy.make(told, seed));
        Ok(EdgeCore::with_policy(settings, self.now, seed, self.guards, &make))
    }

    // ---- The talk among fronts ----

    fn start_peers(&mut self, front: usize) {
        if !self.day.peers {
            return;
        }
        let address = |front: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + front as u16));
        let settings = PeersSettings {
            name: format!("edge-{front}"),
            address: address(front),
            seeds: (0..self.day.edges.min(5)).map(address).collect(),
            keys: Keys::from_bytes([0x5a; 32]),
            fronts: self.day.edges as u32,
        };
        self.fronts[front].peers = Some(Peers::new(settings, self.now, self.rng.next_u64()));
        self.with_peers(front, |peers, now, out| peers.start(now, out));
    }

    fn with_peers(&mut self, front: usize, act: impl FnOnce(&mut Peers, Nanos, &mut Vec<Said>)) {
        let (now, row) = (self.now, &mut self.fronts[front]);
        let Some(peers) = row.peers.as_mut().filter(|_| !row.frozen) else { return };
        let mut out = Vec::new();
        act(peers, now, &mut out);
        if let Some(at) = peers.next_timeout().filter(|at| row.peers_wake_ns.is_none_or(|set| *at < set)) {
            row.peers_wake_ns = Some(at.max(now));
            self.at(at.max(now), Happens::PeersWake(front));
        }
        self.peers_said(front, out);
    }

    fn peers_said(&mut self, front: usize, out: Vec<Said>) {
        for said in out {
            match said {
                Said::Send(to, bytes) => {
                    // What is said in the aftermath, without calls, is none of the day's.
                    if self.now < START_NS + self.day.length_ns {
                        self.talk.datagrams += 1;
                        self.talk.bytes += bytes.len() as u64;
                    }
                    self.datagram(front, usize::from(to.port()) - 20_000, bytes);
                }
                Said::ReportsWanted => {
                    let facts = self.facts(front);
                    self.with_peers(front, |peers, now, out| peers.publish_reports(now, &facts, out));
                }
                Said::RumorsReceived(heard) => self.feed(front, Input::RumorsReceived(heard)),
                Said::ReportsRequested(asker) => {
                    let facts = self.facts(front);
                    self.with_peers(front, |peers, now, out| peers.answer_request(now, asker, facts, out));
                }
                Said::ReportsReceived(peer, facts) => {
                    self.feed(front, Input::PeerReported(peer.origin(), facts))
                }
                Said::MemberJoined(_) | Said::MemberLeft(_) => {}
            }
        }
    }

    /// What a front says that it knows.
    fn facts(&self, front: usize) -> Vec<ServerReport> {
        let row = &self.fronts[front];
        let mut facts = row.front.server_reports();
        if row.confused {
            for fact in &mut facts {
                (fact.is_unresponsive, fact.is_draining, fact.warming_up_for_ms) = (true, true, Some(0));
                (fact.wait_ms, fact.in_flight, fact.succeeded, fact.age_ms) = (60_000, 1_000, 0, 0);
            }
        }
        facts
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let weather = self.day.weather(self.script, self.now.saturating_sub(START_NS));
        let to = Some(to).filter(|to| *to < self.fronts.len());
        let arrives = weather.carry(from, to, bytes, || self.rng.next_u64());
        let at = self.now + WAY_NS + self.rng.next_u64() % WAY_NS;
        for (late_ns, bytes) in arrives {
            self.at(at + late_ns, Happens::Datagram(to.unwrap_or_default(), bytes));
        }
    }

    fn leave(&mut self, front: usize) {
        let row = &mut self.fronts[front];
        let gone = row.caller;
        row.caller += 1;
        let new = row.caller;
        let calls = std::mem::take(&mut row.waiting).into_keys();
        let calls: Vec<String> = calls.chain(std::mem::take(&mut row.standing).into_keys()).collect();
        self.record(Seen::CallerGone { calls });
        for input in [Input::CallerClosed(gone), Input::CallerOpened(new)] {
            let at = self.arrives((4, front, 0));
            self.at(at, Happens::ToFront(front, input));
        }
    }
}
