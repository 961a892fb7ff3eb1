//! A run of calls in virtual time: the same front code, simulated servers and callers, and checker as in real
//! runs, but without sockets.
//!
//! The same day and seed give the same records, so a failing seed reproduces the failure. A day with hundreds
//! of fronts runs in seconds. Messages take a random time and keep their order on a connection, as on TCP.

use crate::baseline::Baseline;
use crate::call_rules_checker;
use crate::day::{Day, Listed, Script, ServerEvent};
use crate::record::{Record, Seen};
use crate::report::report;
use crate::runner::RunResult;
use crate::simulated_network::GossipTraffic;
use crate::simulation::caller::{CallAttempt, Callers, Rate};
use crate::simulation::server::{Server, ServerEffect};
use lilacpitch::interface::Nanos;
use lilacpitch_config::{ConfigError, Edge, Pools, ServerState};
use lilacpitch_edge::core::{CallerId, EdgeCore, Effect, Input, Safeguards, UpstreamId};
use lilacpitch_gossip::{Effect as GossipEffect, Keys, Peers, ServerReport, Settings as PeersSettings};
use lilacpitch_protocol::message::call::{Answer, FromCaller, ToCaller};
use lilacpitch_protocol::message::signal::{FromServer, ToServer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Time of the fronts' clocks at which the day begins, in nanoseconds.
const START_NS: Nanos = 1_700_000_000_000_000_000;
/// Time from the start of the fronts to the start of the day, in nanoseconds.
const WARM_UP_NS: Nanos = 1_000_000_000;
/// Minimum latency of a message, in nanoseconds. The maximum is twice as long.
const LATENCY_NS: Nanos = 1_000_000;
/// Interval at which a front polls the file of the endpoint list, in nanoseconds.
const LIST_POLL_NS: Nanos = 50_000_000;
/// How long answers are awaited after the end of the day, in nanoseconds.
const ANSWER_WAIT_NS: Nanos = 16_000_000_000;

/// A scheduled event of the simulation. Fronts and servers are given by their indexes.
enum Event {
    ToFront(usize, Input),
    FrontTimeout(usize),
    Connect {
        front: usize,
        link: UpstreamId,
        server: usize,
    },
    ToServer {
        front: usize,
        link: UpstreamId,
        server: usize,
        text: String,
    },
    Disconnect {
        front: usize,
        link: UpstreamId,
        server: usize,
    },
    /// A server's next internal deadline.
    ServerTimeout(usize),
    ToCaller {
        front: usize,
        caller: CallerId,
        text: String,
    },
    Arrival(usize),
    Offer(usize, CallAttempt),
    Release(usize, String),
    ServerChange(usize, ServerEvent),
    /// The endpoint list's entry of a server changes.
    ListChange(usize, Listed),
    Freeze(usize, bool),
    /// The callers of a front disconnect and reconnect.
    CallersLeave(usize),
    KillFront(usize),
    StartFront(usize),
    /// A front starts to report wrong facts to its peers.
    Confuse(usize),
    Datagram(usize, Vec<u8>),
    PeersTimeout(usize),
}

/// A front, with its callers, and its place in the simulation.
struct SimulatedFront {
    front: EdgeCore,
    peers: Option<Peers>,
    peers_timeout_ns: Option<Nanos>,
    /// Killed and not yet restarted.
    down: bool,
    /// Reports wrong facts to its peers.
    confused: bool,
    timeout_ns: Option<Nanos>,
    frozen: bool,
    /// Inputs that arrived while it was frozen.
    held_inputs: Vec<Input>,
    caller: CallerId,
    callers: Callers,
    waiting: BTreeMap<String, CallAttempt>,
    established: BTreeMap<String, ()>,
}

/// A channel whose messages keep their order: its kind and its ends.
type Channel = (u8, usize, usize);

/// Channel kind: from a front to its callers.
const FRONT_TO_CALLERS: u8 = 0;
/// Channel kind: from a front to a server.
const FRONT_TO_SERVER: u8 = 1;
/// Channel kind: from a server to a front.
const SERVER_TO_FRONT: u8 = 2;
/// Channel kind: from the endpoint list to a front.
const LIST_TO_FRONT: u8 = 3;
/// Channel kind: from the callers of a front to the front.
const CALLERS_TO_FRONT: u8 = 4;

/// A server and its place in the simulation.
struct SimulatedServer {
    name: String,
    model: Server,
    dead: bool,
    /// Stopped regularly: it refuses connections, while a dead server leaves them unanswered.
    stopped: bool,
    /// The connection from each front.
    connections: BTreeMap<usize, UpstreamId>,
    timeout_ns: Option<Nanos>,
}

struct Simulation<'a> {
    day: &'a Day,
    script: &'a Script,
    rng: Pcg64Mcg,
    now: Nanos,
    /// Events by time and sequence number.
    queue: BTreeMap<(Nanos, u64), Event>,
    event_count: u64,
    /// When the last message of each channel arrives.
    last_arrivals: BTreeMap<Channel, Nanos>,
    fronts: Vec<SimulatedFront>,
    servers: Vec<SimulatedServer>,
    /// The endpoint list's entry of each server.
    listed: Vec<Listed>,
    /// By server and front: when the front reads the server's start from a delayed endpoint list.
    late_start_notices: BTreeMap<(usize, usize), Nanos>,
    /// The rate of calls at each front over time.
    rates: Vec<Rate>,
    connect_ns: Nanos,
    guards: Safeguards,
    policy: Baseline,
    records: Vec<Record>,
    effects: Vec<Effect>,
    server_effects: Vec<ServerEffect>,
    /// The gossip traffic of all fronts together.
    gossip_traffic: GossipTraffic,
}

/// Runs a day in virtual time with the module's own policy.
///
/// # Errors
///
/// Returns an error if the settings of a front are invalid.
pub fn simulate_day(day: &Day, guards: Safeguards) -> Result<RunResult, ConfigError> {
    simulate_day_with(day, guards, Baseline::Module)
}

/// Runs a day in virtual time with another policy in place of the module's.
///
/// # Errors
///
/// Returns an error if the settings of a front are invalid.
pub fn simulate_day_with(day: &Day, guards: Safeguards, policy: Baseline) -> Result<RunResult, ConfigError> {
    let script = day.script();
    let mut simulation = Simulation::new(day, &script, guards, policy)?;
    let end_ns = START_NS + day.length_ns + ANSWER_WAIT_NS;
    while let Some(((at, _), event)) = simulation.queue.pop_first() {
        if at > end_ns {
            break;
        }
        simulation.now = at;
        simulation.process(event);
    }
    let mut records = simulation.records;
    records.iter_mut().for_each(|record| record.at_ns = record.at_ns.saturating_sub(START_NS));
    let violations = call_rules_checker::check(&records, day.rule_limits());
    let ramp = simulation.servers.iter().map(|server| server.model.ramp()).fold(0.0, f64::max);
    let report = report(day, &records, 0);
    Ok(RunResult {
        report,
        violations,
        records,
        resource_usage: Vec::new(),
        gossip_traffic: simulation.gossip_traffic,
        ramp,
    })
}

impl<'a> Simulation<'a> {
    fn new(
        day: &'a Day,
        script: &'a Script,
        guards: Safeguards,
        policy: Baseline,
    ) -> Result<Self, ConfigError> {
        let mut simulation = Simulation {
            day,
            script,
            rng: Pcg64Mcg::seed_from_u64(day.seed),
            now: START_NS - WARM_UP_NS,
            queue: BTreeMap::new(),
            event_count: 0,
            last_arrivals: BTreeMap::new(),
            fronts: Vec::new(),
            servers: Vec::new(),
            listed: Vec::new(),
            late_start_notices: BTreeMap::new(),
            rates: (0..day.edges).map(|edge| day.rate_at(edge, script)).collect(),
            connect_ns: 0,
            guards,
            policy,
            records: Vec::new(),
            effects: Vec::new(),
            server_effects: Vec::new(),
            gossip_traffic: GossipTraffic::default(),
        };
        for (server, listed) in &script.servers {
            let mut model = Server::new(day.server_parameters(server));
            if !listed {
                model.silence();
            }
            simulation.servers.push(SimulatedServer {
                name: server.name.clone(),
                model,
                dead: !listed,
                stopped: false,
                connections: BTreeMap::new(),
                timeout_ns: None,
            });
            simulation.listed.push(if *listed { Listed::Running(None) } else { Listed::Gone });
        }
        for edge in 0..day.edges {
            let seed = day.seed.wrapping_mul(1000) + edge as u64;
            let front = simulation.new_front(edge)?;
            let callers = Callers::new(format!("e{edge}c"), day.caller_behaviors(), day.pools().len(), seed);
            simulation.fronts.push(SimulatedFront {
                front,
                peers: None,
                peers_timeout_ns: None,
                down: false,
                confused: false,
                timeout_ns: None,
                frozen: false,
                held_inputs: Vec::new(),
                caller: 1,
                callers,
                waiting: BTreeMap::new(),
                established: BTreeMap::new(),
            });
            simulation.feed(edge, Input::CallerOpened(1));
            simulation.feed(edge, Input::PoolList(simulation.pools()));
            simulation.schedule(START_NS, Event::Arrival(edge));
        }
        (0..day.edges).for_each(|edge| simulation.start_peers(edge));
        for (at, server, event) in &script.server_events {
            simulation.schedule(START_NS + at, Event::ServerChange(*server, *event));
        }
        for (at, server, listed) in &script.list_changes {
            simulation.schedule(START_NS + at, Event::ListChange(*server, *listed));
        }
        for (from, to, edge) in &script.suspensions {
            simulation.schedule(START_NS + from, Event::Freeze(*edge, true));
            simulation.schedule(START_NS + to, Event::Freeze(*edge, false));
        }
        for (from, to, edge) in &script.restarts {
            simulation.schedule(START_NS + from, Event::KillFront(*edge));
            simulation.schedule(START_NS + to, Event::StartFront(*edge));
        }
        for (at, edge) in &script.confused_fronts {
            simulation.schedule(START_NS + at, Event::Confuse(*edge));
        }
        for (at, edge) in &script.caller_departures {
            simulation.schedule(START_NS + at, Event::CallersLeave(*edge));
        }
        Ok(simulation)
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.event_count += 1;
        self.queue.insert((at.max(self.now), self.event_count), event);
    }

    /// Returns the server at the other end of a front's connection, if it is still connected.
    fn connected_server(&self, front: usize, link: UpstreamId) -> Option<usize> {
        self.servers.iter().position(|server| server.connections.get(&front) == Some(&link))
    }

    fn record(&mut self, seen: Seen) {
        self.records.push(Record { at_ns: self.now, seen });
    }

    /// Returns when a message sent now arrives; not before earlier messages of the same channel.
    fn arrival_ns(&mut self, channel: Channel) -> Nanos {
        let jitter_ns = self.rng.next_u64() % LATENCY_NS;
        let last_arrival = self.last_arrivals.entry(channel).or_default();
        *last_arrival = (self.now + LATENCY_NS + jitter_ns).max(*last_arrival);
        *last_arrival
    }

    /// Returns the endpoint list in its current state.
    fn pools(&self) -> Pools {
        let entries = self.script.servers.iter().zip(&self.listed).enumerate();
        let server = |(index, ((spec, _), listed)): (usize, (&(crate::day::ServerSpec, bool), &Listed))| {
            let (state, started_ms) = match listed {
                Listed::Running(None) => (ServerState::Running, 0),
                Listed::Running(Some(at)) => (ServerState::Running, (START_NS + at) / 1_000_000),
                Listed::Draining => (ServerState::Draining, 0),
                Listed::Gone => return None,
            };
            Some(lilacpitch_config::Server {
                name: spec.name.clone(),
                pool: spec.pool.clone(),
                zone: String::new(),
                // The port encodes the server's index in the script.
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1)),
                state,
                started_ms,
            })
        };
        Pools { servers: entries.filter_map(server).collect() }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::ToFront(front, input) => self.feed(front, input),
            Event::FrontTimeout(front) => {
                if self.fronts[front].timeout_ns == Some(self.now) {
                    self.fronts[front].timeout_ns = None;
                    self.feed(front, Input::Timeout);
                }
            }
            Event::Connect { front, link, server } => self.accept_connection(front, link, server),
            Event::ToServer { front, link, server, text } => self.server_receives(front, link, server, &text),
            Event::Disconnect { front, link, server } => {
                if self.servers[server].connections.get(&front) == Some(&link) {
                    self.close_connection(server, front);
                }
            }
            Event::ServerTimeout(server) => {
                self.servers[server].timeout_ns = None;
                let mut server_effects = std::mem::take(&mut self.server_effects);
                self.servers[server].model.work(self.now, &mut server_effects);
                self.server_effects = server_effects;
                self.server_does(server);
            }
            Event::ToCaller { front, caller, text } => self.caller_receives(front, caller, &text),
            Event::Arrival(front) => self.arrival(front),
            Event::Offer(front, made) => self.offer(front, made),
            Event::Release(front, call) => {
                if self.fronts[front].established.remove(&call).is_some() {
                    self.record(Seen::CallerEnded { call: call.clone() });
                    self.send_to_front(front, &FromCaller::Release { call });
                }
            }
            Event::ServerChange(server, event) => self.server_event(server, event),
            Event::ListChange(server, listed) => self.change_list(server, listed),
            Event::Freeze(front, frozen) => self.set_frozen(front, frozen),
            Event::CallersLeave(front) => self.reconnect_callers(front),
            Event::KillFront(front) => self.kill_front(front),
            Event::StartFront(front) => self.start_front(front),
            Event::Confuse(front) => self.fronts[front].confused = true,
            Event::Datagram(front, bytes) => {
                self.with_peers(front, |peers, now, out| {
                    // Rejected datagrams are counted by the peers themselves.
                    let _ = peers.handle_datagram(now, &bytes, out);
                });
            }
            Event::PeersTimeout(front) => {
                if self.fronts[front].peers_timeout_ns == Some(self.now) {
                    self.fronts[front].peers_timeout_ns = None;
                    self.with_peers(front, |peers, now, out| peers.handle_timeout(now, out));
                }
            }
        }
    }

    // ---- Fronts ----

    /// Passes an input to a front and carries out its effects.
    fn feed(&mut self, index: usize, input: Input) {
        let front_state = &mut self.fronts[index];
        if front_state.down {
            return;
        }
        if front_state.frozen {
            front_state.held_inputs.push(input);
            return;
        }
        let mut effects = std::mem::take(&mut self.effects);
        front_state.front.handle(self.now, input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(index, effect);
        }
        self.effects = effects;
        let wanted = self.fronts[index].front.next_timeout();
        if let Some(at) = wanted.filter(|at| self.fronts[index].timeout_ns.is_none_or(|set| *at < set)) {
            let at = at.max(self.now);
            self.fronts[index].timeout_ns = Some(at);
            self.schedule(at, Event::FrontTimeout(index));
        }
    }

    fn carry_out(&mut self, front: usize, effect: Effect) {
        match effect {
            // Fronts in this simulation are not part of a fleet.
            Effect::Locate { .. } | Effect::RecordChanged(_) => {}
            Effect::ToCaller(caller, text) => {
                let at = self.arrival_ns((FRONT_TO_CALLERS, front, 0));
                self.schedule(at, Event::ToCaller { front, caller, text });
            }
            Effect::Connect(link, address) => {
                let server = usize::from(address.port()) - 1;
                let at = self.arrival_ns((FRONT_TO_SERVER, front, server));
                self.schedule(at, Event::Connect { front, link, server });
            }
            Effect::ToServer { upstream: link, message, text, reports_written, .. } => {
                let Some(server) = self.connected_server(front, link) else { return };
                if reports_written {
                    // Connections of this simulation are never full.
                    let written = Input::Written { upstream: link, message };
                    self.schedule(self.now, Event::ToFront(front, written));
                }
                let at = self.arrival_ns((FRONT_TO_SERVER, front, server));
                self.schedule(at, Event::ToServer { front, link, server, text });
            }
            Effect::Disconnect(link) => {
                let Some(server) = self.connected_server(front, link) else { return };
                let at = self.arrival_ns((FRONT_TO_SERVER, front, server));
                self.schedule(at, Event::Disconnect { front, link, server });
            }
            Effect::Stopped => {}
        }
    }

    fn accept_connection(&mut self, front: usize, link: UpstreamId, server: usize) {
        let server_state = &mut self.servers[server];
        if server_state.dead && !server_state.stopped {
            // The host accepts the connection but nobody answers, so the front's connection timeout applies.
            return self.schedule(
                self.now + self.connect_ns,
                Event::ToFront(front, Input::UpstreamClosed { upstream: link, written: 0 }),
            );
        }
        let input = if server_state.stopped {
            Input::UpstreamClosed { upstream: link, written: 0 }
        } else {
            server_state.connections.insert(front, link);
            Input::UpstreamConnected(link)
        };
        let at = self.arrival_ns((SERVER_TO_FRONT, server, front));
        self.schedule(at, Event::ToFront(front, input));
    }

    fn set_frozen(&mut self, front: usize, frozen: bool) {
        self.fronts[front].frozen = frozen;
        self.record(if frozen { Seen::Frozen { edge: front } } else { Seen::Thawed { edge: front } });
        if !frozen {
            for input in std::mem::take(&mut self.fronts[front].held_inputs) {
                self.feed(front, input);
            }
            self.feed(front, Input::Timeout);
        }
    }

    fn change_list(&mut self, server: usize, listed: Listed) {
        self.listed[server] = listed;
        let running = matches!(listed, Listed::Running(_));
        self.record(Seen::Told { server: self.servers[server].name.clone(), running });
        for front in 0..self.fronts.len() {
            let poll_delay_ns = self.rng.next_u64() % LIST_POLL_NS;
            let pools = self.pools();
            // List versions reach a front in their order.
            let channel = (LIST_TO_FRONT, front, 0);
            let last_arrival = self.last_arrivals.get(&channel).copied().unwrap_or(0);
            let late_ns = self.script.list_late_ns(front, self.now - START_NS);
            let at = (self.now + poll_delay_ns + late_ns).max(last_arrival);
            if running && at > self.now + LIST_POLL_NS {
                self.late_start_notices.insert((server, front), at);
            }
            self.last_arrivals.insert(channel, at);
            self.schedule(at, Event::ToFront(front, Input::PoolList(pools)));
        }
    }

    // ---- Servers ----

    fn server_receives(&mut self, front: usize, link: UpstreamId, server: usize, text: &str) {
        if self.servers[server].connections.get(&front) != Some(&link) {
            return;
        }
        let Ok(message) = ToServer::decode(text) else { return };
        let server_state = &self.servers[server];
        let known = server_state.model.has_attempt((front, message.attempt()));
        self.record(Seen::received_by_server(&server_state.name.clone(), front, &message, known));
        let mut server_effects = std::mem::take(&mut self.server_effects);
        self.servers[server].model.handle(self.now, front, &message, &mut server_effects);
        self.server_effects = server_effects;
        self.server_does(server);
    }

    fn server_does(&mut self, server: usize) {
        for effect in std::mem::take(&mut self.server_effects) {
            match effect {
                ServerEffect::Send(front, message) => self.server_sends(server, front, &message),
                ServerEffect::AnswerLost((edge, attempt)) => {
                    let server = self.servers[server].name.clone();
                    self.record(Seen::Answered { server, edge, attempt, stands: true });
                }
                ServerEffect::Failed { multiple, from } => {
                    self.servers[server].dead = true;
                    // Fronts that a delayed list kept from learning of the server's start can't apply slow
                    // start.
                    let is_unaware = |front: &&usize| {
                        let notice_ns = self.late_start_notices.get(&(server, **front));
                        notice_ns.is_some_and(|notice_ns| self.now < *notice_ns)
                    };
                    if 3 * from.iter().filter(is_unaware).count() < from.len() {
                        self.record(Seen::Fell { server: self.servers[server].name.clone(), multiple });
                    }
                }
            }
        }
        let server_state = &mut self.servers[server];
        if let Some(at) =
            server_state.model.next_ns().filter(|at| server_state.timeout_ns.is_none_or(|set| *at < set))
        {
            server_state.timeout_ns = Some(at);
            self.schedule(at, Event::ServerTimeout(server));
        }
    }

    fn server_sends(&mut self, server: usize, front: usize, message: &FromServer) {
        let Some(link) = self.servers[server].connections.get(&front).copied() else { return };
        self.record(Seen::sent_by_server(&self.servers[server].name.clone(), front, message));
        let at = self.arrival_ns((SERVER_TO_FRONT, server, front));
        self.schedule(at, Event::ToFront(front, Input::UpstreamText(link, message.encode())));
    }

    fn close_connection(&mut self, server: usize, front: usize) {
        let server_state = &mut self.servers[server];
        let Some(link) = server_state.connections.remove(&front) else { return };
        server_state.model.drop_front(front);
        let server_name = server_state.name.clone();
        self.record(Seen::LinkEnded { server: server_name, edge: front });
        let at = self.arrival_ns((SERVER_TO_FRONT, server, front));
        self.schedule(at, Event::ToFront(front, Input::UpstreamClosed { upstream: link, written: u64::MAX }));
    }

    fn close_all_connections(&mut self, server: usize) {
        let fronts: Vec<usize> = self.servers[server].connections.keys().copied().collect();
        fronts.into_iter().for_each(|front| self.close_connection(server, front));
    }

    fn server_event(&mut self, server: usize, event: ServerEvent) {
        let (now, server_state) = (self.now, &mut self.servers[server]);
        match event {
            ServerEvent::Slow(times) => server_state.model.slow(times),
            ServerEvent::Pause(span) => server_state.model.pause(now + span),
            ServerEvent::LoseAnswers(share) => server_state.model.lose_answers(share),
            ServerEvent::BeginFault(fault) => server_state.model.add_fault(fault),
            ServerEvent::EndFault(fault) => server_state.model.remove_fault(&fault),
            ServerEvent::Silence => {
                server_state.model.silence();
                server_state.dead = true;
            }
            ServerEvent::Start => {
                server_state.model.start(now);
                server_state.dead = false;
                self.close_all_connections(server);
            }
            ServerEvent::Reset => self.close_all_connections(server),
            ServerEvent::Stop => {
                let cut = server_state.model.cut_all();
                server_state.model.silence();
                (server_state.dead, server_state.stopped) = (true, true);
                for (front, message) in cut {
                    self.server_sends(server, front, &message);
                }
                self.close_all_connections(server);
            }
        }
        self.server_does(server);
    }

    // ---- Callers ----

    fn send_to_front(&mut self, front: usize, message: &FromCaller) {
        let caller = self.fronts[front].caller;
        let at = self.arrival_ns((CALLERS_TO_FRONT, front, 0));
        self.schedule(at, Event::ToFront(front, Input::CallerText(caller, message.encode())));
    }

    fn arrival(&mut self, front: usize) {
        let front_state = &mut self.fronts[front];
        // The first event of a front only draws its first call, whose time counts from the start of the day.
        let made = front_state.callers.next(&self.rates[front]);
        let next = front_state.callers.next_ns();
        if made.first_ns > 0 {
            self.offer(front, made);
        }
        if next < self.day.length_ns {
            self.schedule(START_NS + next, Event::Arrival(front));
        }
    }

    fn offer(&mut self, front: usize, made: CallAttempt) {
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
        // A call to a front that is down is lost, but still recorded.
        if self.fronts[front].down {
            self.record(Seen::CallerGone { calls: vec![made.call] });
            return;
        }
        self.fronts[front].waiting.insert(made.call.clone(), made);
        self.send_to_front(front, &message);
    }

    fn caller_receives(&mut self, front: usize, caller: CallerId, text: &str) {
        if self.fronts[front].caller != caller {
            return;
        }
        match ToCaller::decode(text) {
            Ok(ToCaller::Final { call, answer, come_back_ms, .. }) => {
                self.record(Seen::Final { call: call.clone(), answer });
                let front_state = &mut self.fronts[front];
                let Some(made) = front_state.waiting.remove(&call) else { return };
                if answer == Answer::Stands {
                    front_state.established.insert(call.clone(), ());
                    self.schedule(self.now + made.hold_ns, Event::Release(front, call));
                } else {
                    let day_ns = self.now - START_NS;
                    if let Some((at, again)) =
                        front_state.callers.next_attempt(day_ns, &made, answer, come_back_ms)
                    {
                        self.schedule(START_NS + at, Event::Offer(front, again));
                    }
                }
            }
            Ok(ToCaller::Released { call, cause }) => {
                self.fronts[front].established.remove(&call);
                self.record(Seen::Released { call, cut: cause != "ended" });
            }
            Ok(ToCaller::Error { call: Some(call), reason }) if reason != "no such call" => {
                self.fronts[front].waiting.remove(&call);
                self.record(Seen::NotTaken { call });
            }
            Ok(ToCaller::Error { .. }) => {}
            Err(error) => panic!("a front sent a message that cannot be decoded: {text}: {error}"),
        }
    }

    /// Kills a front: its state is lost, and its callers and servers see their connections close.
    fn kill_front(&mut self, front: usize) {
        self.fronts[front].down = true;
        self.fronts[front].peers = None;
        for server in 0..self.servers.len() {
            if self.servers[server].connections.contains_key(&front) {
                self.close_connection(server, front);
            }
        }
        self.reconnect_callers(front);
    }

    /// Starts a killed front, with only its settings and the endpoint list.
    fn start_front(&mut self, front: usize) {
        // The same settings were parsed successfully at the start of the run.
        let Ok(new) = self.new_front(front) else { return };
        let front_state = &mut self.fronts[front];
        (front_state.front, front_state.down, front_state.timeout_ns, front_state.peers_timeout_ns) =
            (new, false, None, None);
        let caller = front_state.caller;
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
        let (seed, make) = (self.rng.next_u64(), |config, seed| policy.make(config, seed));
        Ok(EdgeCore::with_policy(settings, self.now, seed, self.guards, &make))
    }

    // ---- Gossip among fronts ----

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

    /// Runs an operation on a front's gossip state, unless the front is frozen, and carries out its effects.
    fn with_peers(
        &mut self,
        front: usize,
        operation: impl FnOnce(&mut Peers, Nanos, &mut Vec<GossipEffect>),
    ) {
        let (now, front_state) = (self.now, &mut self.fronts[front]);
        let Some(peers) = front_state.peers.as_mut().filter(|_| !front_state.frozen) else { return };
        let mut effects = Vec::new();
        operation(peers, now, &mut effects);
        if let Some(at) =
            peers.next_timeout().filter(|at| front_state.peers_timeout_ns.is_none_or(|set| *at < set))
        {
            front_state.peers_timeout_ns = Some(at.max(now));
            self.schedule(at.max(now), Event::PeersTimeout(front));
        }
        self.carry_out_gossip(front, effects);
    }

    fn carry_out_gossip(&mut self, front: usize, effects: Vec<GossipEffect>) {
        for effect in effects {
            match effect {
                GossipEffect::Send(to, bytes) => {
                    // Only the traffic during the day counts, not while the last answers are awaited.
                    if self.now < START_NS + self.day.length_ns {
                        self.gossip_traffic.datagrams += 1;
                        self.gossip_traffic.bytes += bytes.len() as u64;
                    }
                    self.datagram(front, usize::from(to.port()) - 20_000, bytes);
                }
                GossipEffect::ReportsWanted => {
                    let reports = self.server_reports(front);
                    self.with_peers(front, |peers, now, out| peers.publish_reports(now, &reports, out));
                }
                GossipEffect::RumorsReceived(rumors) => self.feed(front, Input::RumorsReceived(rumors)),
                GossipEffect::ReportsRequested(requester) => {
                    let reports = self.server_reports(front);
                    self.with_peers(front, |peers, now, out| {
                        peers.answer_request(now, requester, reports, out)
                    });
                }
                GossipEffect::ReportsReceived(peer, reports) => {
                    self.feed(front, Input::PeerReported(peer.origin(), reports))
                }
                GossipEffect::MemberJoined(_) | GossipEffect::MemberLeft(_) => {}
            }
        }
    }

    /// Returns what a front reports about servers to its peers; wrong values if it is confused.
    fn server_reports(&self, front: usize) -> Vec<ServerReport> {
        let front_state = &self.fronts[front];
        let mut reports = front_state.front.server_reports();
        if front_state.confused {
            for report in &mut reports {
                (report.is_unresponsive, report.is_draining, report.warming_up_for_ms) =
                    (true, true, Some(0));
                (report.wait_ms, report.in_flight, report.succeeded, report.age_ms) = (60_000, 1_000, 0, 0);
            }
        }
        reports
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let conditions = self.day.network_conditions(self.script, self.now.saturating_sub(START_NS));
        let to = Some(to).filter(|to| *to < self.fronts.len());
        let deliveries = conditions.deliver(from, to, bytes, || self.rng.next_u64());
        let at = self.now + LATENCY_NS + self.rng.next_u64() % LATENCY_NS;
        for (late_ns, bytes) in deliveries {
            self.schedule(at + late_ns, Event::Datagram(to.unwrap_or_default(), bytes));
        }
    }

    /// Disconnects the callers of a front, with all their calls, and connects them anew.
    fn reconnect_callers(&mut self, front: usize) {
        let front_state = &mut self.fronts[front];
        let gone = front_state.caller;
        front_state.caller += 1;
        let new = front_state.caller;
        let calls = std::mem::take(&mut front_state.waiting).into_keys();
        let calls: Vec<String> =
            calls.chain(std::mem::take(&mut front_state.established).into_keys()).collect();
        self.record(Seen::CallerGone { calls });
        for input in [Input::CallerClosed(gone), Input::CallerOpened(new)] {
            let at = self.arrival_ns((CALLERS_TO_FRONT, front, 0));
            self.schedule(at, Event::ToFront(front, input));
        }
    }
}
