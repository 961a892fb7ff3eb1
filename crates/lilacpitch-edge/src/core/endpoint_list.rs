//! The endpoint list: which servers there are, what has changed of them, and which attempts that ends.
//!
//! The list comes whole each time. A server that it names no more is removed; its id is never given to another name.

use super::upstreams::Server;
use super::{EdgeCore, Effect, NS_PER_MS};
use lilacpitch::interface::{Availability, Endpoint, EndpointUpdate, LoadReport, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_config::{Pools, ServerState};
use std::collections::BTreeSet;

/// A server as the edge knows it, for pages and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    /// Whether it may be used.
    pub availability: Availability,
    /// Whether a connection to it is ready.
    pub is_connected: bool,
    /// Attempts there: queued, in flight or established.
    pub attempts: usize,
}

impl EdgeCore {
    /// The servers that the edge knows, removed ones too.
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

    /// Connects to servers that have come into service, and withdraws what waits for those that have left it.
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
            self.disconnect_if_removed(id, effects);
        }
    }

    /// Adds a server of the list, or applies what has changed of it.
    fn update_server(&mut self, entry: &lilacpitch_config::Server, effects: &mut Vec<Effect>) -> ServerId {
        let number = self.site.pool_or_insert(&entry.pool);
        let zone = self.site.zone_or_insert(&entry.zone);
        let availability = match entry.state {
            ServerState::Running => Availability::Ready,
            ServerState::Draining => Availability::Draining,
            ServerState::Gone => Availability::Removed,
        };
        let id = self.servers.id_or_insert(&entry.name);
        let known = self.servers.by_id.get(&id);
        // A start that the list puts into the future counts as one of just now: its clock or ours is off.
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
        if has_moved {
            tracing::info!(server = entry.name, address = %entry.address, "server address changed");
            self.reconnect_now(id, effects);
        }
        id
    }

    /// Ends set-ups that wait for a connection to a server that now drains, or that has restarted: the list binds
    /// what is queued as well as what the controller decides.
    fn withdraw_queued(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        for attempt in self.servers.queued_attempts(id) {
            self.end_attempt(attempt, Outcome::NotSent, LoadReport::default(), effects);
        }
    }
}
