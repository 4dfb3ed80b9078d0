//! The entries that one process knows of, from their own beats and from what others say of them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, Incarnation, RegionId, Revision};
use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};

/// An entry that was silent for longer is not named to callers: six beats, so that a few lost ones do not matter.
const BEAT_LIFETIME: Duration = Duration::from_millis(1_500);
/// An entry that was silent for longer is not addressed any more, unless it is a seed.
const CONTACT_LIFETIME: Duration = Duration::from_secs(20);
/// Time for which the largest number of entries counts: regions may be parted for minutes.
const MOST_LIFETIME: Duration = Duration::from_secs(600);
/// Shortest and longest time after the start in which a process learns of the other entries: three rounds of beats, and
/// as long as hosts that start together differ.
const LEARNING_RANGE: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(10));
/// Time without a further entry after which a process that learns knows them all: two rounds of beats.
const GROWTH_TIME: Duration = Duration::from_millis(500);
/// Entries that are assumed until then: the largest deployment of the users has 43.
const ASSUMED_ENTRIES: usize = 44;
/// Addresses in one answer to a caller at most, as the callers read no more.
const MAX_ADDRESSES: usize = 64;
/// Entries near the caller that make others needless.
const ENOUGH_NEAR: usize = 2;

/// What an entry says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryMember {
    /// Name, for logs.
    pub name: HostId,
    /// Drawn at the start of its process.
    pub incarnation: Incarnation,
    /// Rises with each beat.
    pub sequence: u64,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for messages between processes; names the entry.
    pub peer: SocketAddr,
    /// True if it can serve callers.
    pub ready: bool,
    /// True if it is about to stop.
    pub leaving: bool,
    /// Highest revision of an item that it knows.
    pub head: Revision,
    /// Digest of what it tells agents.
    pub brief: u64,
}

/// Place of a caller, and regions to which its requests should go.
#[derive(Clone, Copy, Debug)]
pub struct CallerPlace<'a> {
    /// Data centre of the caller; empty if unknown.
    pub data_centre: &'a str,
    /// Region of the caller; empty if unknown.
    pub region: &'a str,
    /// Regions that may serve the caller's routes; empty if all may.
    pub homes: &'a [RegionId],
}

/// Entries with the time at which each was heard of.
#[derive(Debug, Default)]
pub struct EntryRoster {
    members: HashMap<SocketAddr, (EntryMember, Instant)>,
    contacts: HashMap<SocketAddr, Instant>,
    /// Most entries known at once, and when that was so last.
    most: Option<(usize, Instant)>,
    /// When the number was first asked for, and when it last grew.
    first: Option<Instant>,
    grown: Option<Instant>,
}

impl EntryRoster {
    /// Creates an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a beat; false if it is older than what is known.
    pub fn record_beat(&mut self, member: EntryMember, now: Instant) -> bool {
        let is_old = self.members.get(&member.peer).is_some_and(|(known, _)| {
            known.incarnation == member.incarnation && known.sequence >= member.sequence
        });
        if is_old {
            return false;
        }
        self.contacts.remove(&member.peer);
        self.members.insert(member.peer, (member, now));
        true
    }

    /// Takes note of an entry that another process heard of `age` ago.
    pub fn record_contact(&mut self, peer: SocketAddr, age: Duration, now: Instant) {
        let Some(heard) = now.checked_sub(age) else { return };
        if age > CONTACT_LIFETIME || self.members.contains_key(&peer) {
            return;
        }
        let known = self.contacts.entry(peer).or_insert(heard);
        *known = (*known).max(heard);
    }

    /// Forgets entries that were silent for long.
    pub fn expire(&mut self, now: Instant) {
        let is_fresh = |heard: &Instant| now.saturating_duration_since(*heard) < CONTACT_LIFETIME;
        self.members.retain(|_, (_, heard)| is_fresh(heard));
        self.contacts.retain(|_, heard| is_fresh(heard));
    }

    /// Most other entries that were known at once lately. Limits that all entries share are divided by this number,
    /// because entries out of sight go on serving.
    ///
    /// A process that has just started has not heard of all of them yet, so it assumes many.
    pub fn most_known(&mut self, now: Instant) -> usize {
        let known = self.members.len() + self.contacts.len();
        let since = |at: Instant| now.saturating_duration_since(at);
        let (most, seen) = self.most.unwrap_or((0, now));
        if known > most {
            self.grown = Some(now);
        }
        if known >= most || since(seen) > MOST_LIFETIME {
            self.most = Some((known, now));
        }
        let uptime = since(*self.first.get_or_insert(now));
        let is_growing = self.grown.is_some_and(|grown| since(grown) < GROWTH_TIME);
        let is_learning = uptime < LEARNING_RANGE.0 || is_growing && uptime < LEARNING_RANGE.1;
        let most = self.most.map_or(known, |(most, _)| most);
        if is_learning { most.max(ASSUMED_ENTRIES) } else { most }
    }

    /// Addresses of all entries that may be alive.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().chain(self.contacts.keys()).copied()
    }

    /// Entries heard directly, with the time since.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = (&EntryMember, Duration)> {
        self.members
            .values()
            .map(move |(member, heard)| (member, now.saturating_duration_since(*heard)))
    }

    /// Data centre of an entry that was heard of directly.
    #[must_use]
    pub fn data_centre_of(&self, peer: SocketAddr) -> Option<&DataCentreId> {
        self.members.get(&peer).map(|(member, _)| &member.data_centre)
    }

    /// Entries that are alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &EntryMember> {
        self.heard(now).filter(|(_, age)| *age < BEAT_LIFETIME).map(|(member, _)| member)
    }

    /// Addresses for a caller: entries of its data centre, others only if there are too few. Regions outside the homes
    /// of its routes are left out while there are others.
    pub fn addresses_for(
        &self,
        own: &EntryMember,
        place: &CallerPlace<'_>,
        regions: &HashMap<DataCentreId, RegionId>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self.alive(now).filter(|member| member.peer != own.peer);
        let mut usable: Vec<&EntryMember> =
            others.chain([own]).filter(|member| member.ready && !member.leaving).collect();
        usable.shuffle(rng);
        let distance = |member: &EntryMember| {
            let region = regions.get(&member.data_centre).map_or("", |region| region.as_str());
            let is_home = place.homes.is_empty() || place.homes.iter().any(|home| home == region);
            match () {
                () if member.data_centre == place.data_centre => 0,
                () if region == place.region => 1,
                () if is_home => 2,
                () => 3,
            }
        };
        usable.sort_by_key(|member| distance(member));
        let near = usable.iter().filter(|member| distance(member) == 0).count();
        if near >= ENOUGH_NEAR {
            usable.truncate(near);
        } else if let Some(nearest) = usable.first().map(|member| distance(member)) {
            // A caller picks at random, so entries far away are named only beside a single near one.
            usable.retain(|member| distance(member) <= nearest.max(2));
        }
        usable.truncate(MAX_ADDRESSES);
        usable.into_iter().map(|member| member.caller_address).collect()
    }
}
