//! The endpoint list: converts the coordinator's servers to the controller's endpoints, and ends the calls,
//! connections and queued set-ups that a change of the list invalidates.

use super::records::{AttemptState, Server};
use super::{Effect, NodeCore, UpstreamId};
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
            // A removed server that was never listed needs no action.
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
        // The controller handles the new list before the events that result from it.
        self.run_pending_events(effects);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if self.servers.get(&id).is_some_and(|server| !is_ready(server)) {
                self.drop_queued_setups(id);
            }
            self.forget_removed_server(id, effects);
        }
    }

    /// Adds or updates a listed server, and returns its description for the controller.
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
            self.close_former_connections(id, Nanos::MAX, effects);
        } else if is_restarted {
            // A machine that was lost doesn't reset its connections.
            self.close_former_connections(id, endpoint.up_since_ns, effects);
        }
        endpoint
    }

    /// Converts a listed server to its description for the controller.
    fn endpoint(&self, id: ServerId, target: &Target) -> Endpoint {
        let zone = self.site.zone_names.iter().position(|name| *name == target.az).unwrap_or(0);
        let availability = match target.state {
            State::InService => Availability::Ready,
            State::Terminating => Availability::Draining,
            State::Terminated => Availability::Removed,
        };
        let current = self.servers.get(&id).filter(|server| server.boot_ms == target.boot_ms);
        let up_since_ns = match current {
            Some(server) => server.endpoint.up_since_ns,
            // A start in the future, which results from differing clocks, is taken for the present.
            None => target.boot_ms.saturating_mul(1_000_000).min(self.now),
        };
        Endpoint { server: id, number: target.pod_group, zone: zone as u32, availability, up_since_ns }
    }

    /// Adds a server that was not listed before.
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
            had_silent_upstream: false,
            reconnected_ns: 0,
            last_seen_ns: self.now,
            unreachable_since_ns: None,
        };
        self.servers.insert(endpoint.server, server);
    }

    /// Releases the calls that were established at a former process of a server, which has been replaced by
    /// another.
    fn release_calls_of_former_process(
        &mut self,
        id: ServerId,
        up_since_ns: Nanos,
        is_moved: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.servers.get(&id) else { return };
        let is_at_former_process = |call: &CallId| {
            self.calls.get(call).is_some_and(|call| call.established_ns < up_since_ns || is_moved)
        };
        let former_calls: Vec<_> = server.active_calls.iter().copied().filter(is_at_former_process).collect();
        former_calls
            .into_iter()
            .for_each(|call| self.release_orphaned_call(call, "server restarted", effects));
    }

    /// Closes the connections to a server that were opened before a time, to a process or at an address that it no
    /// longer has, and completes their set-ups as cut.
    fn close_former_connections(&mut self, id: ServerId, before_ns: Nanos, effects: &mut Vec<Effect>) {
        let upstreams = self.servers.get(&id).map_or(Vec::new(), |server| server.upstreams.clone());
        let is_former =
            |id: &UpstreamId| self.upstreams.get(id).is_some_and(|upstream| upstream.opened_ns < before_ns);
        let former: Vec<_> = upstreams.into_iter().filter(is_former).collect();
        for upstream in former {
            let setups = self.upstreams.get(&upstream).map_or(BTreeSet::new(), |up| up.setups.clone());
            self.close_upstream(upstream, effects);
            setups
                .into_iter()
                .for_each(|call| self.complete_attempt(call, Outcome::Cut, LoadReport::default()));
        }
    }

    /// Completes set-ups as not sent that wait for a connection to a server that now drains or was restarted.
    /// The endpoint list applies to queued set-ups as well as to new decisions of the controller.
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

    /// Forgets a removed server once no set-up is queued or in flight and no call is established there.
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
            // No connection shows that the server is still running, or it may be to the server that has the
            // address now.
            self.release_orphaned_calls(id, "listed as removed", effects);
        }
        let Some(server) = self.servers.get(&id) else { return };
        let has_setups = |id: &UpstreamId| self.upstreams.get(id).is_some_and(|up| !up.setups.is_empty());
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

/// Whether a server accepts set-ups.
fn is_ready(server: &Server) -> bool {
    server.endpoint.availability == Availability::Ready
}
