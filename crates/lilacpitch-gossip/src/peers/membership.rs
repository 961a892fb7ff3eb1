//! Membership: the SWIM protocol of the `foca` library, and the announcements by which this front becomes
//! known to seeds and other members.

use super::datagrams::Body;
use super::{Effect, Peers, TimerEvent, DATAGRAM_CAPACITY_BYTES, MS};
use crate::member_id::MemberId;
use crate::sealed_datagram::DatagramError;
use foca::{Config, Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use lilacpitch::interface::Nanos;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Least number of times that each membership update is sent. Among three fronts the library would send a
/// suspicion only twice; if both datagrams are lost, the suspected front can't refute it and is declared dead
/// by mistake.
const MIN_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(15).unwrap();
/// Factor by which the library's number of transmissions is raised in a large installation.
const TRANSMISSIONS_FACTOR: NonZeroU8 = NonZeroU8::new(2).unwrap();
/// First delay before this front announces itself again to seeds that are not members; half of it is random.
/// The first announcement may be lost, and without later ones the halves of a healed partition would not find
/// each other in time.
pub(super) const FIRST_ANNOUNCE_DELAY_NS: Nanos = 1_000 * MS;
/// Longest delay between announcements; the delay doubles up to it.
const MAX_ANNOUNCE_DELAY_NS: Nanos = 8_000 * MS;
/// Members, besides the seeds, that a front which has just started announces itself to in each round. A
/// response lists some forty random members; without these announcements the front would get to know a large
/// installation only at the rate at which other members probe it, one a second.
const EXTRA_ANNOUNCEMENTS: usize = 3;
/// Rounds in a row without a new member after which these additional announcements end.
const MAX_ROUNDS_WITHOUT_GAIN: u32 = 4;
/// Time after the start at which they end in any case.
const DISCOVERY_DURATION_NS: Nanos = 60_000 * MS;
/// Number of members at which datagrams of fronts that are not members are rejected.
const MAX_MEMBERS: usize = 1_000;

pub(super) type Swim = Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>;

/// Progress of the discovery of members.
#[derive(Debug)]
pub(super) struct Discovery {
    /// The delay before the next announcement.
    delay_ns: Nanos,
    /// Most members known at once so far.
    most_members: usize,
    /// Consecutive rounds of announcements that found no further member.
    rounds_without_gain: u32,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { delay_ns: FIRST_ANNOUNCE_DELAY_NS, most_members: 0, rounds_without_gain: 0 }
    }
}

/// Effects of one call into the library, collected while it is borrowed.
#[derive(Default)]
pub(super) struct CollectedEffects {
    packets: Vec<(MemberId, Vec<u8>)>,
    timers: Vec<(Timer<MemberId>, Duration)>,
    effects: Vec<Effect>,
    new_own_id: Option<MemberId>,
}

impl Runtime<MemberId> for CollectedEffects {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::MemberUp(peer) => self.effects.push(Effect::MemberJoined(peer.clone())),
            Notification::MemberDown(peer) => self.effects.push(Effect::MemberLeft(peer.clone())),
            Notification::Rejoin(own_id) => self.new_own_id = Some(own_id.clone()),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.packets.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// The membership protocol of a front in an installation of approximately `fronts` fronts.
pub(super) fn new_swim(own_id: MemberId, fronts: u32, rng: &mut StdRng) -> Swim {
    let fronts = NonZeroU32::new(fronts.max(2)).unwrap_or(NonZeroU32::MIN);
    let lan = Config::new_lan(fronts);
    let config = Config {
        max_transmissions: lan.max_transmissions.saturating_mul(TRANSMISSIONS_FACTOR).max(MIN_TRANSMISSIONS),
        max_packet_size: NonZeroUsize::new(DATAGRAM_CAPACITY_BYTES).unwrap_or(NonZeroUsize::MIN),
        ..lan
    };
    Foca::new(own_id, config, StdRng::seed_from_u64(rng.next_u64()), PostcardCodec)
}

impl Peers {
    /// Announces this front to the seeds that are not members and, soon after its start, to some of the
    /// members.
    pub(super) fn announce(&mut self, effects: &mut Vec<Effect>) {
        let mut to = self.seeds();
        to.retain(|address| !self.is_member(*address));
        // While all seeds are members the delay is reset: if one is lost, perhaps to a network failure, it is
        // contacted again soon.
        if to.is_empty() {
            self.discovery.delay_ns = FIRST_ANNOUNCE_DELAY_NS;
        }
        self.count_members();
        if self.is_discovering() {
            let mut members = self.member_addresses();
            for _ in 0..EXTRA_ANNOUNCEMENTS.min(members.len()) {
                to.push(members.swap_remove(self.rng.random_range(0..members.len())));
            }
            self.discovery.delay_ns = FIRST_ANNOUNCE_DELAY_NS;
        }
        for address in to {
            let other = MemberId { name: String::new(), address, epoch: 0 };
            self.with_swim(effects, |swim, out| swim.announce(other, out));
        }
        let delay_ns = self.discovery.delay_ns / 2 + self.rng.random_range(0..=self.discovery.delay_ns / 2);
        self.discovery.delay_ns = self.discovery.delay_ns.saturating_mul(2).min(MAX_ANNOUNCE_DELAY_NS);
        self.schedule(delay_ns, TimerEvent::Announce);
    }

    /// Records whether more members are known than before.
    fn count_members(&mut self) {
        let members = self.swim.num_members();
        if members > self.discovery.most_members {
            self.discovery.most_members = members;
            self.discovery.rounds_without_gain = 0;
        } else {
            self.discovery.rounds_without_gain += 1;
        }
    }

    fn is_discovering(&self) -> bool {
        self.now < self.started_ns + DISCOVERY_DURATION_NS
            && self.discovery.rounds_without_gain < MAX_ROUNDS_WITHOUT_GAIN
    }

    pub(super) fn handle_swim_packet(
        &mut self,
        from: &MemberId,
        packet: &[u8],
        effects: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        if self.swim.num_members() >= MAX_MEMBERS && !self.is_member(from.address) {
            return Err(DatagramError::TooMany);
        }
        let mut is_malformed = false;
        self.with_swim(effects, |swim, out| {
            let result = swim.handle_data(packet, out);
            is_malformed = matches!(result, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket));
            result
        });
        match is_malformed {
            true => Err(DatagramError::Malformed("membership")),
            false => Ok(()),
        }
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        let own_address = self.own_id.address;
        self.settings.seeds.iter().copied().filter(|address| *address != own_address).collect()
    }

    /// The addresses of all members, in the protocol's order.
    pub(super) fn member_addresses(&self) -> Vec<SocketAddr> {
        self.swim.iter_members().map(|member| member.id().address).collect()
    }

    fn is_member(&self, address: SocketAddr) -> bool {
        self.swim.iter_members().any(|member| member.id().address == address)
    }

    /// Calls into the membership protocol, then carries out the effects. The protocol's errors are caused by
    /// peers and are ignored here; malformed packets are counted by the caller.
    pub(super) fn with_swim(
        &mut self,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut Swim, &mut CollectedEffects) -> Result<(), foca::Error>,
    ) {
        let mut out = CollectedEffects::default();
        let _ = act(&mut self.swim, &mut out);
        if let Some(own_id) = out.new_own_id.take() {
            self.own_id = own_id;
            // With its new identity the library keeps the members but considers itself alone and would never
            // probe again. An empty update makes it check for members.
            let _ = self.swim.apply_many(std::iter::empty(), false, &mut out);
        }
        for (timer, after) in out.timers {
            self.schedule(after.as_nanos() as Nanos, TimerEvent::Swim(timer));
        }
        for (to, packet) in out.packets {
            self.send(to.address, Body::Swim(&packet), effects);
        }
        effects.append(&mut out.effects);
    }
}
