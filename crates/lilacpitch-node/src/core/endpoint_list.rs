//! The endpoint list: the coordinator's servers as the controller's endpoints, and what a change of them ends.

use super::records::{AttemptState, Server};
use super::{Effect, NodeCore};
use crate::coordinator::{Endpoints, State, Target};
use lilacpitch::interface::{
    Availability, CallId, Endpoint, EndpointUpdate, LoadReport, Nanos, Outcome, ServerId,
};
use lilacpitch::Event;
use std::collections::BTreeSet;

impl NodeCore {
    /// Applies an event of the coordinator.
    pub(super) fn update_endpoints(&mut self, endpoints: &Endpoints, effects: &mut Vec<Effect>) {
        let mut listed = BTreeSet::new();
        let mut entries = Vec::new();
        for target in &endpoints.targets {
            // A removed server that was never known needs nothing.
            if target.state == State::Terminated && !self.servers_by_uid.contains_key(&target.uid) {
                continue;
            }
            let endpoint = self.update_server(target, effects);
            listed.insert(endpoint.server);
            entries.push(endpoint);
        }
        if endpoints.all {
            for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                server.endpoint.availability = Availability::Removed;
            }
            self.has_endpoint_list = true;
        }
        tracing::info!(servers = entries.len(), is_full = endpoints.all, "endpoint list updated");
        self.pending_events.push_back(Event::EndpointsUpdated(match endpoints.all {
            true => EndpointUpdate::Full(entries),
            false => EndpointUpdate::Changes(entries),
        }));
        // The controller learns of the list before it learns of what the list ends.
        self.run_pending_events(effects);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if self.servers.get(&id).is_some_and(|server| !is_ready(server)) {
                self.drop_queued_setups(id);
            }
            self.forget_removed_server(id, effects);
        }
    }

    /// Enters a listed server, or what has changed of it; as the controller is to know it.
    fn update_server(&mut self, target: &Target, effects: &mut Vec<Effect>) -> Endpoint {
        let id = self.servers_by_uid.get(&target.uid).copied().unwrap_or(self.next_server);
        let endpoint = self.endpoint(id, target);
        let Some(server) = self.servers.get_mut(&id) else {
            self.add_server(target, endpoint);
            return endpoint;
        };
        let is_restarted = server.boot_ms != target.boot_ms;
        let is_moved = server.address != target.endpoint;
        server.endpoint = endpoint;
        server.boot_ms = target.boot_ms;
        server.address = target.endpoint;
        if is_restarted || is_moved {
            self.release_calls_of_former_process(id, endpoint.up_since_ns, is_moved, effects);
            self.drop_queued_setups(id);
        }
        if is_moved {
            self.close_former_connections(id, effects);
        }
        endpoint
    }

    /// A listed server as the controller knows it.
    fn endpoint(&self, id: ServerId, target: &Target) -> Endpoint {
        let zone = self.site.zone_names.iter().position(|name| *name == target.az).unwrap_or(0);
        let availability = match target.state {
            State::InService => Availability::Ready,
            State::Terminating => Availability::Draining,
            State::Terminated => Availability::Removed,
        };
        let known = self.servers.get(&id).filter(|server| server.boot_ms == target.boot_ms);
        let up_since_ns = match known {
            Some(server) => server.endpoint.up_since_ns,
            // A start in the future is one of just now: the coordinator's clock or this node's is off.
            None => target.boot_ms.saturating_mul(1_000_000).min(self.now),
        };
        Endpoint { server: id, number: target.pod_group, zone: zone as u32, availability, up_since_ns }
    }

    fn add_server(&mut self, target: &Target, endpoint: Endpoint) {
        self.next_server += 1;
        self.servers_by_uid.insert(target.uid.clone(), endpoint.server);
        let server = Server {
            uid: target.uid.clone(),
            address: target.endpoint,
            endpoint,
            boot_ms: target.boot_ms,
            upstreams: Vec::new(),
            active_calls: BTreeSet::new(),
            last_seen_ns: self.now,
            unreachable_since_ns: None,
        };
        self.servers.insert(endpoint.server, server);
    }

    /// Another process has a server's place: calls that were established at the former one are over.
    fn release_calls_of_former_process(
        &mut self,
        id: ServerId,
        up_since_ns: Nanos,
        is_moved: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_former = |call: &CallId| {
            self.calls.get(call).is_some_and(|call| call.established_ns < up_since_ns || is_moved)
        };
        let former: Vec<_> = server.active_calls.iter().copied().filter(is_former).collect();
        former.into_iter().for_each(|call| self.release_orphaned_call(call, "server restarted", effects));
    }

    /// A server has another address: connections to the former one are closed, and their set-ups cut.
    fn close_former_connections(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let upstreams = self.servers.get(&id).map_or(Vec::new(), |server| server.upstreams.clone());
        for upstream in upstreams {
            let setups = self.upstreams.get(&upstream).map_or(BTreeSet::new(), |up| up.setups.clone());
            self.close_upstream(upstream, effects);
            setups
                .into_iter()
                .for_each(|call| self.complete_attempt(call, Outcome::Cut, LoadReport::default()));
        }
    }

    /// Set-ups that wait for a connection to a server that now drains, or was restarted, are not sent: the list binds
    /// what is queued as well as what the controller decides.
    fn drop_queued_setups(&mut self, id: ServerId) {
        let upstreams = self.servers.get(&id).map_or(&[][..], |server| &server.upstreams);
        let setups = upstreams.iter().filter_map(|id| self.upstreams.get(id)).flat_map(|up| &up.setups);
        let is_queued = |call: &CallId| {
            let attempt = self.calls.get(call).and_then(|call| call.attempt);
            attempt.is_some_and(|attempt| matches!(attempt.state, AttemptState::Queued(_)))
        };
        let queued: Vec<_> = setups.copied().filter(is_queued).collect();
        queued
            .into_iter()
            .for_each(|call| self.complete_attempt(call, Outcome::NotSent, LoadReport::default()));
    }

    /// Forgets a removed server once no set-up is in flight and no call is established there.
    pub(super) fn forget_removed_server(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.endpoint.availability != Availability::Removed {
            return;
        }
        let has_connection = server.upstreams.iter().any(|id| self.is_upstream_up(*id));
        let address = server.address;
        let is_address_reused =
            self.servers.values().any(|server| is_ready(server) && server.address == address);
        if !has_connection || is_address_reused {
            // No connection contradicts the list, or none that is surely this server's.
            self.release_orphaned_calls(id, "listed as removed", effects);
        }
        let Some(server) = self.servers.get(&id) else { return };
        let has_setups =
            |id: &super::UpstreamId| self.upstreams.get(id).is_some_and(|up| !up.setups.is_empty());
        if !server.active_calls.is_empty() || server.upstreams.iter().any(has_setups) {
            return;
        }
        let upstreams = server.upstreams.clone();
        upstreams.into_iter().for_each(|upstream| self.close_upstream(upstream, effects));
        if let Some(server) = self.servers.remove(&id) {
            self.servers_by_uid.remove(&server.uid);
        }
    }
}

fn is_ready(server: &Server) -> bool {
    server.endpoint.availability == Availability::Ready
}
