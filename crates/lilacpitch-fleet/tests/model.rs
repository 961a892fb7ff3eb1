//! Purge, lease and fence at small sizes, every order of events explored: one root, one relay, one front, the cores as
//! they are. Messages are lost, overtake each other and come late; relay and front die and come back; another process
//! takes the root over. Whoever is not moved on while time goes by stands still.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, FleetCommand, LogPosition, PurgeScope, Response};
use lilacpitch_fleet::Safeguards;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const LEASE: u64 = 2;
const LOG: u64 = 7;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Who {
    Relay,
    Front,
}

/// What is on its way, to or from a life of the process below.
#[derive(Debug, Clone, PartialEq)]
enum Message {
    /// From a process: its life, when it asked, what it has applied.
    Renew(Who, u64, u64, Option<LogPosition>),
    /// To a process, with when it asked.
    Answer(Who, u64, u64, Response),
    Orders(Who, u64, Vec<FleetCommand>),
    Applied(Who, u64, LogPosition),
    Sum(u64, LogPosition),
}

#[derive(Debug, Clone)]
struct State {
    now: u64,
    /// How often the row changed: order `n` withdraws what was read before the `n`th change.
    truth: u64,
    root: AckAggregator,
    taken_over: bool,
    relay: (u64, LeaseHolder, AckAggregator),
    front: (u64, LeaseHolder),
    /// What the front has read of the row, and whether the answer is still on its way to it.
    cached: Option<u64>,
    reading: Option<u64>,
    messages: Vec<Message>,
    /// Up to where the root has ever reported complete.
    complete: u64,
    /// The front's writes were taken by the relay though it had not asked this life for anything.
    wrote: bool,
    asked: bool,
}

impl State {
    fn text(&self) -> String {
        // Messages may be delivered in any order: which came first makes no other state.
        let mut messages: Vec<String> = self.messages.iter().map(|m| format!("{m:?}")).collect();
        messages.sort_unstable();
        format!("{:?} {messages:?}", State { messages: Vec::new(), ..self.clone() })
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.text() == other.text()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text().hash(state);
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Action {
    Tick,
    Change,
    Renew(Who),
    Push(Who),
    Say,
    Deliver(usize),
    Read,
    Filled,
    Restart(Who),
    TakeOver,
    Write,
}

struct Fleet {
    guards: Safeguards,
    ticks: u64,
    changes: u64,
    /// How often relay and front may live.
    lives: [u64; 2],
    in_flight: usize,
    take_over: bool,
}

fn terms() -> LeaseTerms {
    LeaseTerms { lease_ns: LEASE, clock_allowance: 0.0, lagging_after_ns: LEASE }
}

fn id(who: Who, life: u64) -> ChildId {
    ChildId { name: format!("{who:?}"), incarnation: life }
}

impl Fleet {
    fn origin(&self) -> AckAggregator {
        let mut root = AckAggregator::new(terms(), self.guards);
        root.reset(LogTail::starting_at(LogPosition { log: LOG, index: 0 }, BTreeSet::new()));
        root.allow_grants_until(u64::MAX, LogPosition { log: LOG, index: 0 });
        root
    }

    fn deliver(&self, s: &mut State, message: Message) {
        match message {
            Message::Renew(who, life, asked, applied) => {
                let to = if who == Who::Relay { &mut s.root } else { &mut s.relay.2 };
                s.asked |= who == Who::Front;
                let said = to.renew_lease(s.now, &id(who, life), who == Who::Front, applied, 1);
                s.messages.push(Message::Answer(who, life, asked, said));
            }
            Message::Answer(Who::Front, life, asked, response) if life == s.front.0 => {
                match s.front.1.handle_response(asked, response) {
                    LeaseUpdate::Commands(orders) => apply(s, &orders),
                    // What is being read was read before this, and fills nothing.
                    LeaseUpdate::Reset => (s.cached, s.reading) = (None, None),
                    LeaseUpdate::Unchanged => {}
                }
            }
            Message::Answer(Who::Relay, life, asked, response) if life == s.relay.0 => {
                let granted = match &response {
                    Response::LeaseGranted { for_ns, position, .. } => Some((asked + for_ns, *position)),
                    _ => None,
                };
                match s.relay.1.handle_response(asked, response) {
                    LeaseUpdate::Commands(orders) => pass_on(s, orders),
                    LeaseUpdate::Reset => {
                        let position = s.relay.1.position().unwrap_or_default();
                        s.relay.2.reset(LogTail::starting_at(position, BTreeSet::new()));
                    }
                    LeaseUpdate::Unchanged => {}
                }
                if let Some((until, needs)) = granted {
                    s.relay.2.allow_grants_until(until, needs);
                }
            }
            Message::Orders(Who::Front, life, orders) if life == s.front.0 => {
                let next = s.front.1.select_next_commands(LOG, orders).unwrap_or_default();
                apply(s, &next);
                let upto = s.front.1.position().unwrap_or_default();
                s.messages.push(Message::Applied(Who::Front, life, upto));
            }
            Message::Orders(Who::Relay, life, orders) if life == s.relay.0 => {
                let next = s.relay.1.select_next_commands(LOG, orders).unwrap_or_default();
                pass_on(s, next);
                let upto = s.relay.1.position().unwrap_or_default();
                s.messages.push(Message::Applied(Who::Relay, life, upto));
            }
            Message::Applied(Who::Front, life, upto) => s.relay.2.record_applied(&id(Who::Front, life), upto),
            Message::Applied(Who::Relay, life, upto) => s.root.record_applied(&id(Who::Relay, life), upto),
            Message::Sum(life, upto) => {
                let sum = AggregatedAck { acknowledged: upto, missing: Vec::new(), missing_count: 0 };
                s.root.record_aggregated_ack(&id(Who::Relay, life), sum);
            }
            // Of a former life.
            Message::Answer(..) | Message::Orders(..) => {}
        }
    }
}

/// The front applies orders: what they withdraw is gone, and what is being read was read before them.
fn apply(s: &mut State, orders: &[FleetCommand]) {
    for order in orders {
        s.cached = s.cached.filter(|read| *read >= order.number);
        s.reading = None;
        s.front.1.record_applied(order);
    }
}

fn pass_on(s: &mut State, orders: Vec<FleetCommand>) {
    for order in orders {
        s.relay.1.record_applied(&order);
        s.relay.2.append_command(s.now, order.action);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 1,
            truth: 0,
            root: self.origin(),
            taken_over: false,
            relay: (1, LeaseHolder::default(), AckAggregator::new(terms(), self.guards)),
            front: (1, LeaseHolder::new(0)),
            cached: None,
            reading: None,
            messages: Vec::new(),
            complete: 0,
            wrote: false,
            asked: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < self.ticks {
            actions.push(Action::Tick);
        }
        if s.truth < self.changes {
            actions.push(Action::Change);
        }
        if s.messages.len() < self.in_flight {
            let asks = |who| s.messages.iter().any(|m| matches!(m, Message::Renew(of, ..) if *of == who));
            actions.extend([Who::Relay, Who::Front].into_iter().filter(|who| !asks(*who)).map(Action::Renew));
            let pushed = |who| s.messages.iter().any(|m| matches!(m, Message::Orders(of, ..) if *of == who));
            actions
                .extend([Who::Relay, Who::Front].into_iter().filter(|who| !pushed(*who)).map(Action::Push));
            actions.push(Action::Say);
        }
        actions.extend((0..s.messages.len()).map(Action::Deliver));
        match s.reading {
            None if s.cached.is_none() => actions.push(Action::Read),
            Some(_) => actions.push(Action::Filled),
            None => {}
        }
        let [relay, front] = self.lives;
        let lives = [(Who::Relay, s.relay.0, relay), (Who::Front, s.front.0, front)];
        actions.extend(
            lives.into_iter().filter(|(_, life, most)| life < most).map(|(w, ..)| Action::Restart(w)),
        );
        if self.take_over && !s.taken_over {
            actions.push(Action::TakeOver);
        }
        if !s.wrote {
            actions.push(Action::Write);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut s = before.clone();
        match action {
            Action::Tick => s.now += 1,
            Action::Change => {
                s.truth += 1;
                s.root.append_command(s.now, CommandAction::Purge(vec![PurgeScope::All]));
            }
            Action::Renew(Who::Relay) => {
                s.messages.push(Message::Renew(Who::Relay, s.relay.0, s.now, s.relay.1.position()));
            }
            Action::Renew(Who::Front) => {
                s.messages.push(Message::Renew(Who::Front, s.front.0, s.now, s.front.1.position()));
            }
            Action::Push(who) => {
                let (from, life) = match who {
                    Who::Relay => (&s.root, s.relay.0),
                    Who::Front => (&s.relay.2, s.front.0),
                };
                let missing = from.missing_commands(&id(who, life));
                let missing = missing.filter(|missing| !missing.commands.is_empty())?;
                s.messages.push(Message::Orders(who, life, missing.commands));
            }
            Action::Say => {
                let upto = s.relay.2.aggregate(s.now).acknowledged;
                let message = Message::Sum(s.relay.0, upto);
                if s.messages.contains(&message) {
                    return None;
                }
                s.messages.push(message);
            }
            Action::Deliver(at) => {
                let message = s.messages.remove(at);
                self.deliver(&mut s, message);
            }
            Action::Read => s.reading = Some(s.truth),
            Action::Filled => s.cached = s.reading.take(),
            Action::Restart(Who::Relay) => {
                s.relay = (s.relay.0 + 1, LeaseHolder::default(), AckAggregator::new(terms(), self.guards));
                s.asked = false;
            }
            Action::Restart(Who::Front) => {
                s.front = (s.front.0 + 1, LeaseHolder::new(0));
                (s.cached, s.reading, s.asked) = (None, None, false);
            }
            Action::TakeOver => {
                let position = s.root.position();
                s.root = self.origin();
                s.root.reset(LogTail::starting_at(position, BTreeSet::new()));
                s.root.allow_grants_until(u64::MAX, position);
                // It has counted those below it all the while, and there were none.
                s.root.aggregate(s.now);
                s.root.become_origin(s.now);
                s.taken_over = true;
            }
            Action::Write => {
                s.wrote = s.relay.2.accepts_writes_from(s.now, &id(Who::Front, s.front.0)) && !s.asked
            }
        }
        s.complete = s.complete.max(s.root.aggregate(s.now).acknowledged.index);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("purged means gone", |_, s: &State| {
                let serves = s.front.1.valid_until(s.now).is_ok();
                !serves || s.cached.is_none_or(|read| read >= s.complete)
            }),
            Property::always("who has not asked writes nothing", |_, s: &State| !s.wrote),
            Property::sometimes("a purge is complete while the front has a lease", |_, s: &State| {
                s.complete > 0 && s.front.1.valid_until(s.now).is_ok()
            }),
            Property::sometimes("what is cached is used", |_, s: &State| {
                s.cached.is_some() && s.front.1.valid_until(s.now).is_ok()
            }),
        ]
    }
}

fn explored(fleet: Fleet) -> impl Checker<Fleet> {
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker
}

fn small(guards: Safeguards) -> Fleet {
    Fleet { guards, ticks: 3, changes: 1, lives: [1, 1], in_flight: 1, take_over: false }
}

#[test]
fn purged_means_gone_in_every_order_of_events() {
    explored(small(Safeguards::default())).assert_properties();
}

#[test]
fn and_with_a_relay_that_dies() {
    explored(Fleet { lives: [2, 1], ..small(Safeguards::default()) }).assert_properties();
}

#[test]
fn and_with_a_front_that_dies() {
    explored(Fleet { lives: [1, 2], ..small(Safeguards::default()) }).assert_properties();
}

#[test]
fn and_with_a_root_that_is_taken_over() {
    explored(Fleet { take_over: true, ..small(Safeguards::default()) }).assert_properties();
}

/// The model sees what it is there for.
#[test]
fn acknowledgements_that_are_assumed_and_writes_without_a_lease_are_found() {
    for (guards, property) in [
        (Safeguards { acknowledgements: false, ..Safeguards::default() }, "purged means gone"),
        (Safeguards { write_fencing: false, ..Safeguards::default() }, "who has not asked writes nothing"),
    ] {
        assert!(explored(small(guards)).discovery(property).is_some(), "{property}");
    }
}
