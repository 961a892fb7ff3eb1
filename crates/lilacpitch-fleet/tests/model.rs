//! Explores purges, leases and write fencing with a model checker, in every order of events at a small size:
//! one root, one process below it (the parent) and one front. The model runs the cores of the library
//! unchanged.
//!
//! Messages are lost, reordered and delayed. The parent and the front restart, and another process of the
//! root becomes the origin. A process that takes no action while the time advances is one that is suspended.

use lilacpitch_fleet::ack_aggregator::{AckAggregator, AggregatedAck, ChildId};
use lilacpitch_fleet::lease::LeaseTerms;
use lilacpitch_fleet::lease_holder::{LeaseHolder, LeaseUpdate};
use lilacpitch_fleet::log_tail::LogTail;
use lilacpitch_fleet::message::{CommandAction, FleetCommand, LogPosition, PurgeScope, Response};
use lilacpitch_fleet::Safeguards;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// The length of a lease, in ticks.
const LEASE: u64 = 2;
/// The id of the command log.
const LOG: u64 = 7;

const NO_STALE_ANSWERS: &str = "purged answers are not served";
const NO_UNFENCED_WRITES: &str = "an incarnation that has not requested a lease writes nothing";

/// A process below the root.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Node {
    Parent,
    Front,
}

/// A message in flight between a node and the process above it. The first two fields are the node and its
/// incarnation.
#[derive(Debug, Clone, PartialEq)]
enum Message {
    /// A lease request, with the time when it was sent and the position of the node.
    Renew(Node, u64, u64, Option<LogPosition>),
    /// The response to a lease request, with the time when the request was sent.
    Response(Node, u64, u64, Response),
    /// Commands that are pushed to the node.
    Commands(Node, u64, Vec<FleetCommand>),
    /// The position up to which the node has applied commands.
    Applied(Node, u64, LogPosition),
    /// The parent's aggregated acknowledgement, with the parent's incarnation.
    AggregatedAck(u64, LogPosition),
}

#[derive(Debug, Clone)]
struct Parent {
    incarnation: u64,
    lease: LeaseHolder,
    children: AckAggregator,
}

#[derive(Debug, Clone)]
struct Front {
    incarnation: u64,
    lease: LeaseHolder,
}

#[derive(Debug, Clone)]
struct State {
    now: u64,
    /// How often the record has changed. Command `n` purges the answers that were read before the `n`th
    /// change.
    record_version: u64,
    root: AckAggregator,
    has_new_origin: bool,
    parent: Parent,
    front: Front,
    /// The version of the record that the front has cached.
    cached: Option<u64>,
    /// The version of the record in an answer that is on its way to the front.
    reading: Option<u64>,
    messages: Vec<Message>,
    /// The highest index that the root has reported as complete.
    complete: u64,
    /// Whether the parent accepted a write of the front though this incarnation of the parent has received no
    /// lease request from this incarnation of the front.
    has_unfenced_write: bool,
    /// Whether this incarnation of the parent has received a lease request of the front.
    has_renewed: bool,
}

impl State {
    /// Identifies the state. Messages may be delivered in any order, so their order does not matter.
    fn text(&self) -> String {
        let mut messages: Vec<String> = self.messages.iter().map(|message| format!("{message:?}")).collect();
        messages.sort_unstable();
        format!("{:?} {messages:?}", State { messages: Vec::new(), ..self.clone() })
    }

    fn incarnation(&self, node: Node) -> u64 {
        match node {
            Node::Parent => self.parent.incarnation,
            Node::Front => self.front.incarnation,
        }
    }

    /// The front applies commands: the answers that they purge are removed. An answer that is on its way was
    /// read before them and is not cached.
    fn apply_at_front(&mut self, commands: &[FleetCommand]) {
        for command in commands {
            self.cached = self.cached.filter(|read| *read >= command.number);
            self.reading = None;
            self.front.lease.record_applied(command);
        }
    }

    /// The parent applies commands and retains them for the front.
    fn apply_at_parent(&mut self, commands: Vec<FleetCommand>) {
        for command in commands {
            self.parent.lease.record_applied(&command);
            self.parent.children.append_command(self.now, command.action);
        }
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
    /// The time advances.
    Tick,
    /// The record changes, and the root appends a purge.
    Change,
    /// The node requests a lease.
    Renew(Node),
    /// The process above pushes the commands that the node lacks.
    Push(Node),
    /// The parent reports its aggregated acknowledgement.
    Report,
    /// The message at this index arrives.
    Deliver(usize),
    /// The front reads the record.
    Read,
    /// The answer arrives at the front, which caches it.
    Fill,
    /// The node restarts.
    Restart(Node),
    /// Another process of the root becomes the origin.
    TakeOver,
    /// The front writes at the parent.
    Write,
}

struct Fleet {
    safeguards: Safeguards,
    ticks: u64,
    changes: u64,
    /// The number of incarnations of the parent and of the front.
    incarnations: [u64; 2],
    max_in_flight: usize,
    may_take_over: bool,
}

fn terms() -> LeaseTerms {
    LeaseTerms { lease_ns: LEASE, clock_allowance: 0.0, lagging_after_ns: LEASE }
}

fn child_id(node: Node, incarnation: u64) -> ChildId {
    ChildId { name: format!("{node:?}"), incarnation }
}

impl Fleet {
    fn origin(&self) -> AckAggregator {
        let mut root = AckAggregator::new(terms(), self.safeguards);
        root.reset(LogTail::starting_at(LogPosition { log: LOG, index: 0 }, BTreeSet::new()));
        root.allow_grants_until(u64::MAX, LogPosition { log: LOG, index: 0 });
        root
    }

    /// Another process of the root becomes the origin.
    fn take_over_root(&self, state: &mut State) {
        let position = state.root.position();
        state.root = self.origin();
        state.root.reset(LogTail::starting_at(position, BTreeSet::new()));
        state.root.allow_grants_until(u64::MAX, position);
        // Before it became the origin it had no children, so that everything counted as acknowledged.
        state.root.aggregate(state.now);
        state.root.become_origin(state.now);
        state.has_new_origin = true;
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Renew(node, incarnation, sent, position) => {
                let granter = if node == Node::Parent { &mut state.root } else { &mut state.parent.children };
                state.has_renewed |= node == Node::Front;
                let id = child_id(node, incarnation);
                let response = granter.renew_lease(state.now, &id, node == Node::Front, position, 1);
                state.messages.push(Message::Response(node, incarnation, sent, response));
            }
            Message::Response(Node::Front, incarnation, sent, response)
                if incarnation == state.front.incarnation =>
            {
                match state.front.lease.handle_response(sent, response) {
                    LeaseUpdate::Commands(commands) => state.apply_at_front(&commands),
                    // An answer that is on its way was read before the reset and is not cached.
                    LeaseUpdate::Reset => (state.cached, state.reading) = (None, None),
                    LeaseUpdate::Unchanged => {}
                }
            }
            Message::Response(Node::Parent, incarnation, sent, response)
                if incarnation == state.parent.incarnation =>
            {
                deliver_response_to_parent(state, sent, response);
            }
            Message::Commands(Node::Front, incarnation, commands)
                if incarnation == state.front.incarnation =>
            {
                let next = state.front.lease.select_next_commands(LOG, commands).unwrap_or_default();
                state.apply_at_front(&next);
                let applied = state.front.lease.position().unwrap_or_default();
                state.messages.push(Message::Applied(Node::Front, incarnation, applied));
            }
            Message::Commands(Node::Parent, incarnation, commands)
                if incarnation == state.parent.incarnation =>
            {
                let next = state.parent.lease.select_next_commands(LOG, commands).unwrap_or_default();
                state.apply_at_parent(next);
                let applied = state.parent.lease.position().unwrap_or_default();
                state.messages.push(Message::Applied(Node::Parent, incarnation, applied));
            }
            Message::Applied(Node::Front, incarnation, applied) => {
                state.parent.children.record_applied(&child_id(Node::Front, incarnation), applied);
            }
            Message::Applied(Node::Parent, incarnation, applied) => {
                state.root.record_applied(&child_id(Node::Parent, incarnation), applied);
            }
            Message::AggregatedAck(incarnation, acknowledged) => {
                let ack = AggregatedAck { acknowledged, missing: Vec::new(), missing_count: 0 };
                state.root.record_aggregated_ack(&child_id(Node::Parent, incarnation), ack);
            }
            // For a former incarnation.
            Message::Response(..) | Message::Commands(..) => {}
        }
    }
}

fn deliver_response_to_parent(state: &mut State, sent: u64, response: Response) {
    let grant = match &response {
        Response::LeaseGranted { for_ns, position, .. } => Some((sent + for_ns, *position)),
        _ => None,
    };
    match state.parent.lease.handle_response(sent, response) {
        LeaseUpdate::Commands(commands) => state.apply_at_parent(commands),
        LeaseUpdate::Reset => {
            let position = state.parent.lease.position().unwrap_or_default();
            state.parent.children.reset(LogTail::starting_at(position, BTreeSet::new()));
        }
        LeaseUpdate::Unchanged => {}
    }
    if let Some((until, required)) = grant {
        state.parent.children.allow_grants_until(until, required);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 1,
            record_version: 0,
            root: self.origin(),
            has_new_origin: false,
            parent: Parent {
                incarnation: 1,
                lease: LeaseHolder::default(),
                children: AckAggregator::new(terms(), self.safeguards),
            },
            front: Front { incarnation: 1, lease: LeaseHolder::new(0) },
            cached: None,
            reading: None,
            messages: Vec::new(),
            complete: 0,
            has_unfenced_write: false,
            has_renewed: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        const NODES: [Node; 2] = [Node::Parent, Node::Front];
        if state.now < self.ticks {
            actions.push(Action::Tick);
        }
        if state.record_version < self.changes {
            actions.push(Action::Change);
        }
        if state.messages.len() < self.max_in_flight {
            let renews = |node| {
                state.messages.iter().any(|message| matches!(message, Message::Renew(of, ..) if *of == node))
            };
            actions.extend(NODES.into_iter().filter(|node| !renews(*node)).map(Action::Renew));
            let is_pushed = |node| {
                state
                    .messages
                    .iter()
                    .any(|message| matches!(message, Message::Commands(to, ..) if *to == node))
            };
            actions.extend(NODES.into_iter().filter(|node| !is_pushed(*node)).map(Action::Push));
            actions.push(Action::Report);
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        match state.reading {
            None if state.cached.is_none() => actions.push(Action::Read),
            Some(_) => actions.push(Action::Fill),
            None => {}
        }
        for (node, max_incarnation) in NODES.into_iter().zip(self.incarnations) {
            if state.incarnation(node) < max_incarnation {
                actions.push(Action::Restart(node));
            }
        }
        if self.may_take_over && !state.has_new_origin {
            actions.push(Action::TakeOver);
        }
        if !state.has_unfenced_write {
            actions.push(Action::Write);
        }
    }

    fn next_state(&self, last_state: &State, action: Action) -> Option<State> {
        let mut state = last_state.clone();
        match action {
            Action::Tick => state.now += 1,
            Action::Change => {
                state.record_version += 1;
                state.root.append_command(state.now, CommandAction::Purge(vec![PurgeScope::All]));
            }
            Action::Renew(node) => {
                let position = match node {
                    Node::Parent => state.parent.lease.position(),
                    Node::Front => state.front.lease.position(),
                };
                let incarnation = state.incarnation(node);
                state.messages.push(Message::Renew(node, incarnation, state.now, position));
            }
            Action::Push(node) => {
                let sender = match node {
                    Node::Parent => &state.root,
                    Node::Front => &state.parent.children,
                };
                let incarnation = state.incarnation(node);
                let missing = sender.missing_commands(&child_id(node, incarnation));
                let missing = missing.filter(|missing| !missing.commands.is_empty())?;
                state.messages.push(Message::Commands(node, incarnation, missing.commands));
            }
            Action::Report => {
                let acknowledged = state.parent.children.aggregate(state.now).acknowledged;
                let message = Message::AggregatedAck(state.parent.incarnation, acknowledged);
                if state.messages.contains(&message) {
                    return None;
                }
                state.messages.push(message);
            }
            Action::Deliver(index) => {
                let message = state.messages.remove(index);
                self.deliver(&mut state, message);
            }
            Action::Read => state.reading = Some(state.record_version),
            Action::Fill => state.cached = state.reading.take(),
            Action::Restart(Node::Parent) => {
                state.parent = Parent {
                    incarnation: state.parent.incarnation + 1,
                    lease: LeaseHolder::default(),
                    children: AckAggregator::new(terms(), self.safeguards),
                };
                state.has_renewed = false;
            }
            Action::Restart(Node::Front) => {
                state.front = Front { incarnation: state.front.incarnation + 1, lease: LeaseHolder::new(0) };
                (state.cached, state.reading, state.has_renewed) = (None, None, false);
            }
            Action::TakeOver => self.take_over_root(&mut state),
            Action::Write => {
                let id = child_id(Node::Front, state.front.incarnation);
                let is_accepted = state.parent.children.accepts_writes_from(state.now, &id);
                state.has_unfenced_write = is_accepted && !state.has_renewed;
            }
        }
        state.complete = state.complete.max(state.root.aggregate(state.now).acknowledged.index);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_STALE_ANSWERS, |_, state: &State| {
                let has_lease = state.front.lease.valid_until(state.now).is_ok();
                !has_lease || state.cached.is_none_or(|read| read >= state.complete)
            }),
            Property::always(NO_UNFENCED_WRITES, |_, state: &State| !state.has_unfenced_write),
            Property::sometimes("a purge is complete while the front has a lease", |_, state: &State| {
                state.complete > 0 && state.front.lease.valid_until(state.now).is_ok()
            }),
            Property::sometimes("a cached answer is used", |_, state: &State| {
                state.cached.is_some() && state.front.lease.valid_until(state.now).is_ok()
            }),
        ]
    }
}

fn explore(fleet: Fleet) -> impl Checker<Fleet> {
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker
}

fn small_fleet(safeguards: Safeguards) -> Fleet {
    Fleet { safeguards, ticks: 3, changes: 1, incarnations: [1, 1], max_in_flight: 1, may_take_over: false }
}

#[test]
fn purged_answers_are_never_served_in_any_order_of_events() {
    explore(small_fleet(Safeguards::default())).assert_properties();
}

#[test]
fn purged_answers_are_never_served_when_the_parent_restarts() {
    explore(Fleet { incarnations: [2, 1], ..small_fleet(Safeguards::default()) }).assert_properties();
}

#[test]
fn purged_answers_are_never_served_when_the_front_restarts() {
    explore(Fleet { incarnations: [1, 2], ..small_fleet(Safeguards::default()) }).assert_properties();
}

#[test]
fn purged_answers_are_never_served_when_another_process_becomes_the_origin() {
    explore(Fleet { may_take_over: true, ..small_fleet(Safeguards::default()) }).assert_properties();
}

/// With a safeguard switched off, the model finds the violation that the safeguard prevents.
#[test]
fn model_finds_violations_when_a_safeguard_is_off() {
    for (safeguards, property) in [
        (Safeguards { acknowledgements: false, ..Safeguards::default() }, NO_STALE_ANSWERS),
        (Safeguards { write_fencing: false, ..Safeguards::default() }, NO_UNFENCED_WRITES),
    ] {
        assert!(explore(small_fleet(safeguards)).discovery(property).is_some(), "{property}");
    }
}
