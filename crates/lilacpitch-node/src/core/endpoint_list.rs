//! Following the coordinator: ids to numbers, what has changed, and what that ends.

use super::calls::AttemptState;
use super::upstreams::Server;
use super::{Effect, NodeCore};
use crate::coordinator::{Endpoints, State, Target};
use lilacpitch::interface::{Availability, Endpoint, EndpointUpdate, LoadReport, Outcome, ServerId};
use lilacpitch::Event;
use std::collections::BTreeSet;

impl NodeCore {
    pub(super) fn on_list(&mut self, endpoints: &Endpoints, effects: &mut Vec<Effect>) {
        let mut listed = BTreeSet::new();
        let mut entries = Vec::new();
        for target in &endpoints.targets {
            // One that is gone and that nobody knew leaves nothing to do.
            if target.state == State::Terminated && !self.by_uid.contains_key(&target.uid) {
                continue;
            }
            let (id, entry) = self.listed(target, effects);
            listed.insert(id);
            entries.push(entry);
        }
        if endpoints.all {
            for (_, row) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                row.entry.availability = Availability::Removed;
            }
            self.listed = true;
        }
        tracing::info!(servers = entries.len(), whole = endpoints.all, "list news");
        self.follow.push_back(Event::EndpointsUpdated(match endpoints.all {
            true => EndpointUpdate::Full(entries),
            false => EndpointUpdate::Changes(entries),
        }));
        // The module hears of the list before it hears of what the list ends.
        self.run_follow(effects);
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if self.servers.get(&id).is_some_and(|s| s.entry.availability != Availability::Ready) {
                self.withdraw_queued(id);
            }
            self.forget_gone(id, effects);
        }
    }

    /// Enters a listed server, or what has changed of it.
    fn listed(&mut self, target: &Target, effects: &mut Vec<Effect>) -> (ServerId, Endpoint) {
        let id = self.by_uid.get(&target.uid).copied().unwrap_or(self.next_server);
        let zone = self.site.zone_names.iter().position(|name| *name == target.az).unwrap_or(0);
        let availability = match target.state {
            State::InService => Availability::Ready,
            State::Terminating => Availability::Draining,
            State::Terminated => Availability::Removed,
        };
        // A start that the list puts into the future is one of just now: its clock or ours is off.
        let row = self.servers.get(&id);
        let up_since_ns = match row.filter(|row| row.boot_ms == target.boot_ms) {
            Some(row) => row.entry.up_since_ns,
            None => target.boot_ms.saturating_mul(1_000_000).min(self.now),
        };
        let entry =
            Endpoint { server: id, number: target.pod_group, zone: zone as u32, availability, up_since_ns };
        let Some(row) = self.servers.get_mut(&id) else {
            self.next_server += 1;
            self.by_uid.insert(target.uid.clone(), id);
            let row = Server {
                uid: target.uid.clone(),
                address: target.endpoint,
                entry,
                boot_ms: target.boot_ms,
                links: Vec::new(),
                standing: BTreeSet::new(),
                heard_ns: self.now,
                unreached_ns: None,
            };
            self.servers.insert(id, row);
            return (id, entry);
        };
        let anew = row.boot_ms != target.boot_ms;
        let moved = row.address != target.endpoint;
        row.entry = entry;
        row.boot_ms = target.boot_ms;
        row.address = target.endpoint;
        if anew || moved {
            // Another process: what stood at the former one before it started is over.
            let before: Vec<_> = row.standing.iter().copied().collect();
            let before = before
                .into_iter()
                .filter(|call| self.calls.get(call).is_some_and(|call| call.stood_ns < up_since_ns || moved));
            let before: Vec<_> = before.collect();
            before.into_iter().for_each(|call| self.orphaned(call, "started anew", effects));
            self.withdraw_queued(id);
        }
        if moved {
            let links = self.servers.get(&id).map_or(Vec::new(), |row| row.links.clone());
            for link in links {
                let set_ups = self.upstreams.get(&link).map_or(BTreeSet::new(), |l| l.set_ups.clone());
                self.drop_link(link, effects);
                set_ups
                    .into_iter()
                    .for_each(|call| self.end_attempt(call, Outcome::Cut, LoadReport::default()));
            }
        }
        (id, entry)
    }

    /// Set-ups that wait for a connection to a server that now drains, or has started anew, are not sent after
    /// all: what the list tells binds what is queued as well as what the module decides.
    fn withdraw_queued(&mut self, id: ServerId) {
        let links = self.servers.get(&id).map_or(&[][..], |row| &row.links);
        let waiting =
            links.iter().filter_map(|link| self.upstreams.get(link)).flat_map(|l| l.set_ups.iter().copied());
        let queued = |call: &u64| {
            let attempt = self.calls.get(call).and_then(|call| call.attempt);
            attempt.is_some_and(|a| matches!(a.state, AttemptState::Queued(_)))
        };
        let queued: Vec<_> = waiting.filter(queued).collect();
        queued.into_iter().for_each(|call| self.end_attempt(call, Outcome::NotSent, LoadReport::default()));
    }

    /// A server that is gone leaves the tables once nothing is out or stands there.
    pub(super) fn forget_gone(&mut self, id: ServerId, effects: &mut Vec<Effect>) {
        let Some(row) = self.servers.get(&id) else { return };
        if row.entry.availability != Availability::Removed {
            return;
        }
        let up = row.links.iter().any(|link| self.upstreams.get(link).is_some_and(|l| l.up));
        let address = row.address;
        let taken = self
            .servers
            .values()
            .any(|s| s.entry.availability == Availability::Ready && s.address == address);
        let Some(row) = self.servers.get(&id) else { return };
        if !up || taken {
            // Gone by the list's word, and no connection says otherwise, or none that is surely its own.
            let standing: Vec<_> = row.standing.iter().copied().collect();
            standing.into_iter().for_each(|call| self.orphaned(call, "listed as gone", effects));
        }
        let Some(row) = self.servers.get(&id) else { return };
        let out = |link: &super::UpstreamId| self.upstreams.get(link).is_some_and(|l| !l.set_ups.is_empty());
        if !row.standing.is_empty() || row.links.iter().any(out) {
            return;
        }
        let links = row.links.clone();
        links.into_iter().for_each(|link| self.drop_link(link, effects));
        if let Some(row) = self.servers.remove(&id) {
            self.by_uid.remove(&row.uid);
        }
    }
}
