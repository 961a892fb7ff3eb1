//! Releases to callers: each is sent on the connection of the call's set-up, or else on that of another
//! caller.
//!
//! The I/O layer is given only few releases of a connection at a time, and the next ones once these are
//! written. So any number of calls may end at once: what waits takes up little memory, and a caller that reads
//! is not held to be one that doesn't.

use super::records::Caller;
use super::{CallerId, Effect, NodeCore};
use lilacpitch_sip::Request;
use std::collections::{BTreeMap, VecDeque};

/// Most releases that are given to a connection and not known to be written.
const MAX_UNWRITTEN_RELEASES: usize = 64;

/// The release of an established call towards its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The call's id on the wire.
    pub wire_id: u64,
    /// Its Q.850 cause.
    pub cause: u16,
}

impl Release {
    /// Encodes the message for the caller.
    pub fn encode(&self) -> Vec<u8> {
        Request::encode_bye(&format!("{:016x}", self.wire_id), self.cause)
    }
}

/// Releases that wait until they can be given to a connection, oldest first.
#[derive(Debug, Default)]
pub(super) struct WaitingReleases {
    /// Those for the caller of the call's set-up, which is connected.
    by_caller: BTreeMap<CallerId, VecDeque<Release>>,
    /// Those for any caller.
    unassigned: VecDeque<Release>,
    /// Number of all.
    count: usize,
}

impl WaitingReleases {
    /// Returns the number of releases.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Adds a release for the caller of the call's set-up.
    fn push(&mut self, caller: CallerId, release: Release) {
        self.count += 1;
        self.by_caller.entry(caller).or_default().push_back(release);
    }

    /// Adds a release for any caller.
    fn push_unassigned(&mut self, release: Release) {
        self.count += 1;
        self.unassigned.push_back(release);
    }

    /// Removes and returns the next release for a caller. Only a verified one gets those for any caller.
    fn pop(&mut self, caller: CallerId, is_verified: bool) -> Option<Release> {
        let release = match self.by_caller.get_mut(&caller) {
            Some(own) => own.pop_front(),
            None if is_verified => self.unassigned.pop_front(),
            None => None,
        };
        if self.by_caller.get(&caller).is_some_and(VecDeque::is_empty) {
            self.by_caller.remove(&caller);
        }
        self.count -= usize::from(release.is_some());
        release
    }
}

impl NodeCore {
    /// Sends a release on a caller's connection if it is open, else on that of another verified caller, the
    /// next one if there is none.
    pub(super) fn release_to_caller(
        &mut self,
        caller: CallerId,
        release: Release,
        effects: &mut Vec<Effect>,
    ) {
        if self.callers.get(&caller).is_some_and(|caller| !caller.is_disconnected) {
            self.waiting_releases.push(caller, release);
            self.send_waiting_releases(caller, effects);
        } else {
            self.release_to_any_caller(release, effects);
        }
    }

    /// Sends a release to the newest verified caller that can take it, the next one if there is none.
    pub(super) fn release_to_any_caller(&mut self, release: Release, effects: &mut Vec<Effect>) {
        self.waiting_releases.push_unassigned(release);
        self.assign_waiting_releases(effects);
    }

    /// Sends verified callers the releases for any caller, as far as they can take them.
    fn assign_waiting_releases(&mut self, effects: &mut Vec<Effect>) {
        while !self.waiting_releases.unassigned.is_empty() {
            let can_take = |caller: &Caller| {
                caller.is_verified && !caller.is_disconnected && caller.has_release_capacity()
            };
            let newest = self.callers.iter().rev().find(|(_, caller)| can_take(caller)).map(|(id, _)| *id);
            let Some(caller) = newest else { return };
            self.send_waiting_releases(caller, effects);
        }
    }

    /// Sends a caller the releases that wait for it, as many as it can take.
    pub(super) fn send_waiting_releases(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        let Some(caller) = self.callers.get_mut(&id).filter(|caller| !caller.is_disconnected) else { return };
        while caller.has_release_capacity() {
            let Some(release) = self.waiting_releases.pop(id, caller.is_verified) else { return };
            caller.unwritten_releases += 1;
            effects.push(Effect::Release(id, release));
        }
    }

    /// Continues with the next releases after all messages queued for a caller are written.
    pub(super) fn handle_caller_drained(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        self.callers.entry(id).and_modify(|caller| caller.unwritten_releases = 0);
        self.send_waiting_releases(id, effects);
    }

    /// Hands over the releases that wait for a caller which has disconnected to others.
    pub(super) fn reassign_releases(&mut self, id: CallerId, effects: &mut Vec<Effect>) {
        let releases = self.waiting_releases.by_caller.remove(&id);
        self.waiting_releases.unassigned.extend(releases.into_iter().flatten());
        self.assign_waiting_releases(effects);
    }
}

impl Caller {
    /// Whether another release may be given to its connection.
    fn has_release_capacity(&self) -> bool {
        self.unwritten_releases < MAX_UNWRITTEN_RELEASES
    }
}
