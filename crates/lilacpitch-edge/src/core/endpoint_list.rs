//! The endpoint list, which the settings call the pool list: adds, updates and removes servers, and ends the
//! attempts that this affects.
//!
//! Each version of the list is complete. A server that it no longer names is removed; its id is never reused
//! for another name.

use super::upstreams::Server;
use super::{EdgeCore, Effect, NS_PER_MS};
use lilacpitch::interface::{Availability, Endpoint, EndpointUpdate, LoadReport, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_config::{Pools, ServerState};
use std::collections::BTreeSet;

/// The state of a server, for pages and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// The name of the server.
    pub name: String,
    /// Whether the server may get set-ups.
    pub availability: Availability,
    /// Whether a connection to the server is established.
    pub is_connected: bool,
    /// Number of attempts at the server: queued, in flight or established.
    pub attempts: usize,
}

impl EdgeCore {
    /// All servers that have been listed, including removed ones.
    pub fn servers(&self) -> impl Iterator<Item = ListedServer> + '_ {
        self.servers.by_id.values().map(|server| ListedServer {
            name: server.name.clone(),
            availability: server.endpoint.availability,
            is_connected: server.connected_upstream().is_some(),
            attempts: server.attempts.len(),
        })
    }

    pub(super) fn handle_endpoint_list(&mut self, pools: &Pools, effects: &mut Vec<Effect>) {
        self.counters.lists_accepted += 1;
        let mut listed = BTreeSet::new();
        let mut endpoints = Vec::new();
        for entry in &pools.servers {
            let id = self.update_server(entry, effects);
            listed.insert(id);
            endpoints.extend(self.servers.by_id.get(&id).map(|server| server.endpoint));
        }
        for (id, server) in &mut self.servers.by_id {
            if !listed.contains(id) {
                server.endpoint.availability = Availability::Removed;
            }
        }
        self.apply_availability(effects);
        if !self.safeguards.drain_deadline {
            for endpoint in endpoints.iter_mut().filter(|e| e.availability == Availability::Draining) {
                endpoint.availability = Availability::Ready;
            }
        }
        tracing::info!(servers = endpoints.len(), "endpoint list accepted");
        endpoints.retain(|endpoint| endpoint.availability != Availability::Removed);
        self.pending_events.push_back(Event::EndpointsUpdated(EndpointUpdate::Full(endpoints)));
    }

    /// Connects to servers that have come into service, and withdraws queued set-ups for those that have left
    /// it.
    fn apply_availability(&mut self, effects: &mut Vec<Effect>) {
        let ids: Vec<ServerId> = self.servers.by_id.keys().copied().collect();
        for id in ids {
            if self.safeguards.drain_deadline && !self.servers.is_in_service(id) {
                self.withdraw_queued(id, effects);
            }
            if self.servers.is_in_service(id)
                && self.servers.by_id.get(&id).is_some_and(Server::is_never_tried)
            {
                self.connect(id, effects);
            }
            self.disconnect_if_address_reused(id, effects);
            self.disconnect_if_removed(id, effects);
        }
    }

    /// Adds a server of the list, or applies its changes.
    fn update_server(&mut self, entry: &lilacpitch_config::Server, effects: &mut Vec<Effect>) -> ServerId {
        let number = self.names.pool_or_insert(&entry.pool);
        let zone = self.names.zone_or_insert(&entry.zone);
        let availability = match entry.state {
            ServerState::Running => Availability::Ready,
            ServerState::Draining => Availability::Draining,
            ServerState::Gone => Availability::Removed,
        };
        let id = self.servers.id_or_insert(&entry.name);
        let known = self.servers.by_id.get(&id);
        // A start time in the future is replaced by the current time: the clock of one of the machines is
        // wrong.
        let up_since_ns = match known.filter(|server| server.started_ms == entry.started_ms) {
            Some(server) => server.endpoint.up_since_ns,
            None => entry.started_ms.saturating_mul(NS_PER_MS).min(self.now),
        };
        let endpoint = Endpoint { server: id, number, zone, availability, up_since_ns };
        let has_moved = known.is_some_and(|server| server.address != entry.address);
        let has_restarted = known.is_some_and(|server| server.started_ms != entry.started_ms);
        match self.servers.by_id.get_mut(&id) {
            Some(server) => {
                server.endpoint = endpoint;
                server.started_ms = entry.started_ms;
                server.address = entry.address;
            }
            None => {
                let server = Server::new(entry.name.clone(), entry.address, endpoint, entry.started_ms);
                self.servers.by_id.insert(id, server);
            }
        }
        if has_restarted {
            tracing::info!(server = entry.name, "server restarted");
            self.withdraw_queued(id, effects);
        }
        // A machine that was lost doesn't reset its connections.
        let is_former = self.servers.by_id.get(&id).is_some_and(Server::is_connected_to_former_process);
        if has_restarted && !has_moved && is_former {
            self.reconnect_now(id, effects);
        }
        if has_moved {
            tracing::info!(server = entry.name, address = %entry.address, "server address changed");
            self.reconnect_now(id, effects);
        }
        id
    }

    /// Ends set-ups that wait for a connection to a server that is draining or has restarted: the list
    /// applies to queued set-ups as well as to later decisions of the controller.
    fn withdraw_queued(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        for attempt in self.servers.queued_attempts(id) {
            self.end_attempt(attempt, Outcome::NotSent, LoadReport::default(), effects);
        }
    }
}
