//! Following the pool list: names to ids, what changed, and what that ends.

use super::links::ServerRow;
use super::{EdgeCore, Effect};
use lilacpitch::interface::{Availability, Endpoint, EndpointUpdate, LoadReport, Nanos, Outcome, ServerId};
use lilacpitch::Event;
use lilacpitch_config::{Pools, Server, ServerState};
use std::collections::BTreeSet;

/// A server as the front has it, for who asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    /// Whether it may be used.
    pub availability: Availability,
    /// Whether a connection to it is ready.
    pub connected: bool,
    /// Set-ups out and calls standing there.
    pub attempts: usize,
}

impl EdgeCore {
    /// The servers that the front knows.
    pub fn servers(&self) -> impl Iterator<Item = ListedServer> + '_ {
        self.servers.rows.values().map(|row| ListedServer {
            name: row.name.clone(),
            availability: row.entry.availability,
            connected: row.up().is_some(),
            attempts: row.attempts.len(),
        })
    }

    pub(super) fn on_pool_list(&mut self, pools: &Pools, effects: &mut Vec<Effect>) {
        self.counters.pool_lists_taken += 1;
        let mut listed = BTreeSet::new();
        let mut entries = Vec::new();
        for server in &pools.servers {
            let id = self.listed(server, effects);
            listed.insert(id);
            entries.extend(self.servers.rows.get(&id).map(|row| row.entry));
        }
        for (id, row) in &mut self.servers.rows {
            if !listed.contains(id) {
                row.entry.availability = Availability::Removed;
            }
        }
        let ids: Vec<ServerId> = self.servers.rows.keys().copied().collect();
        for id in ids {
            if self.guards.drain_deadline && !self.servers.in_service(id) {
                self.withdraw_queued(id, effects);
            }
            if self.servers.in_service(id) && self.servers.rows.get(&id).is_some_and(ServerRow::untried) {
                self.connect(id, effects);
            }
            self.let_go(id, effects);
        }
        if !self.guards.drain_deadline {
            for entry in entries.iter_mut().filter(|e| e.availability == Availability::Draining) {
                entry.availability = Availability::Ready;
            }
        }
        tracing::info!(servers = entries.len(), "pool list taken");
        entries.retain(|e| e.availability != Availability::Removed);
        self.follow.push_back(Event::EndpointsUpdated(EndpointUpdate::Full(entries)));
    }

    /// Enters a listed server, or what has changed of it.
    fn listed(&mut self, server: &Server, effects: &mut Vec<Effect>) -> ServerId {
        let number = self.site.pool_listed(&server.pool);
        let zone = self.site.zone_listed(&server.zone);
        let availability = match server.state {
            ServerState::Running => Availability::Ready,
            ServerState::Draining => Availability::Draining,
            ServerState::Gone => Availability::Removed,
        };
        let id = self.servers.id_of(&server.name);
        let row = self.servers.rows.get(&id);
        // A start that the list puts into the future is one of just now: its clock or ours is off.
        let up_since_ns = match row.filter(|row| row.started_ms == server.started_ms) {
            Some(row) => row.entry.up_since_ns,
            None => server.started_ms.saturating_mul(1_000_000).min(self.now),
        };
        let entry = Endpoint { server: id, number, zone, availability, up_since_ns };
        let moved = row.is_some_and(|row| row.address != server.address);
        let anew = row.is_some_and(|row| row.started_ms != server.started_ms);
        match self.servers.rows.get_mut(&id) {
            Some(row) => {
                (row.entry, row.started_ms, row.address) = (entry, server.started_ms, server.address);
            }
            None => {
                let row = ServerRow::new(server.name.clone(), server.address, entry, server.started_ms);
                self.servers.rows.insert(id, row);
            }
        }
        if anew {
            tracing::info!(server = server.name, "server has started anew");
            self.withdraw_queued(id, effects);
        }
        if moved {
            tracing::info!(server = server.name, address = %server.address, "server has moved");
            self.drop_link(id, effects);
        }
        id
    }

    /// Set-ups that wait for a connection to a server that now drains, or that has started anew, are not sent
    /// after all: what the list tells binds what is queued as well as what the module decides.
    fn withdraw_queued(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        for attempt in self.servers.queued(id) {
            self.end_attempt(attempt, Outcome::NotSent, LoadReport::default(), effects);
        }
    }

    /// How long a set-up may wait in a connection's queue: half of the grace after a drain, so that none leaves
    /// past it though it was queued just before.
    pub(super) fn set_up_not_after(&self) -> Nanos {
        self.now + self.settings.rules.drain_grace_ns / 2
    }
}
