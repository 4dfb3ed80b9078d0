//! Entries known to one process, learned from their heartbeats and from contacts named by other processes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{DataCentreId, HostId, Incarnation, RegionId, Revision};
use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};

/// Maximum time since the last heartbeat for an entry to count as alive and be named to callers. Six heartbeat
/// intervals, so that a few lost heartbeats do not matter.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time since an entry was last seen; it is then removed, and only seeds are still contacted.
const FORGET_TIMEOUT: Duration = Duration::from_secs(20);
/// Retention of the peak number of entries. Regions may be partitioned from each other for minutes.
const PEAK_RETENTION: Duration = Duration::from_secs(600);
/// Minimum and maximum duration of discovery, the phase after the start in which a process finds the other entries.
/// The minimum is three rounds of heartbeats. The maximum covers the spread of start times among hosts that start
/// together.
const DISCOVERY_RANGE: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(10));
/// Time without a newly found entry that ends discovery: two rounds of heartbeats.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(500);
/// Minimum number of other entries assumed during discovery; more are assumed if there are more engines.
const ASSUMED_ENTRIES: usize = 44;
/// Maximum number of addresses in a response to a caller. Callers ignore any further ones.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of entries in the caller's data centre for a response that names no others.
const MIN_NEAR_ENTRIES: usize = 2;

/// An entry as described by its own heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryMember {
    /// Host id of the entry, used in log lines.
    pub name: HostId,
    /// Random number that identifies the run of the entry's process.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Data centre of the entry's host.
    pub data_centre: DataCentreId,
    /// Address on which the entry serves callers.
    pub caller_address: SocketAddr,
    /// Address for messages between processes. It identifies the entry.
    pub peer: SocketAddr,
    /// True if the entry can serve callers.
    pub ready: bool,
    /// True if the entry is about to stop.
    pub leaving: bool,
    /// Highest item revision known to the entry.
    #[serde(rename = "head")]
    pub revision: Revision,
    /// Digest of the assignment that the entry gives to agents. A changed value tells them to fetch the assignment
    /// again.
    #[serde(rename = "brief")]
    pub assignment_digest: u64,
    /// Time since the store last responded to the entry; `None` if its last request failed.
    #[serde(default)]
    pub store_age: Option<Duration>,
    /// Time since the state of the entry is known to have been current; `None` if it never was.
    #[serde(default)]
    pub state_age: Option<Duration>,
}

/// Location of a caller, and the regions that should serve its requests.
#[derive(Clone, Copy, Debug)]
pub struct CallerLocation<'a> {
    /// Data centre of the caller; empty if unknown.
    pub data_centre: &'a str,
    /// Region of the caller; empty if unknown.
    pub region: &'a str,
    /// Regions that may serve the caller's routes; empty if all may.
    pub home_regions: &'a [RegionId],
}

/// Table of known entries and when each was last seen.
#[derive(Debug, Default)]
pub struct EntryMembership {
    members: HashMap<SocketAddr, (EntryMember, Instant)>,
    contacts: HashMap<SocketAddr, Instant>,
    /// Largest number of entries known at once, and when that many were last known.
    peak: Option<(usize, Instant)>,
    /// Start of discovery: the first call of [`Self::peak_known`].
    discovery_start: Option<Instant>,
    /// Time at which the peak last grew.
    last_growth: Option<Instant>,
    /// Number of engines that the store lists.
    engines: usize,
    /// Heartbeats that were received before this time may have arrived during a pause of this process.
    pub(crate) backlog_until: Option<Instant>,
}

impl EntryMembership {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a heartbeat. Returns false if it is not newer than the last one recorded from the same incarnation.
    pub fn record_heartbeat(&mut self, member: EntryMember, now: Instant) -> bool {
        let is_outdated = self.members.get(&member.peer).is_some_and(|(known, _)| {
            known.incarnation == member.incarnation && known.sequence >= member.sequence
        });
        if is_outdated {
            return false;
        }
        self.contacts.remove(&member.peer);
        self.members.insert(member.peer, (member, now));
        true
    }

    /// Records an entry that another process last saw `age` ago. Ignored if the entry sends heartbeats to this process,
    /// or if `age` exceeds `FORGET_TIMEOUT`.
    pub fn record_contact(&mut self, peer: SocketAddr, age: Duration, now: Instant) {
        let Some(last_seen) = now.checked_sub(age) else { return };
        if age > FORGET_TIMEOUT || self.members.contains_key(&peer) {
            return;
        }
        let known = self.contacts.entry(peer).or_insert(last_seen);
        *known = (*known).max(last_seen);
    }

    /// Removes entries that have not been seen for `FORGET_TIMEOUT`.
    pub fn expire(&mut self, now: Instant) {
        let is_recent =
            |last_seen: &Instant| now.saturating_duration_since(*last_seen) < FORGET_TIMEOUT;
        self.members.retain(|_, (_, last_seen)| is_recent(last_seen));
        self.contacts.retain(|_, last_seen| is_recent(last_seen));
    }

    /// Returns the largest number of other entries known at once within `PEAK_RETENTION`. Limits that all entries share
    /// are divided by this number rather than the current one, because an entry that is unreachable from here may still
    /// be serving.
    ///
    /// A process that has just started does not know all entries yet, so during discovery the result is at least
    /// `ASSUMED_ENTRIES`, and at least the number of engines, because large fleets have about as many entries.
    pub fn peak_known(&mut self, now: Instant) -> usize {
        let known = self.members.len() + self.contacts.len();
        let since = |at: Instant| now.saturating_duration_since(at);
        let (peak, peak_at) = self.peak.unwrap_or((0, now));
        if known > peak {
            self.last_growth = Some(now);
        }
        if known >= peak || since(peak_at) > PEAK_RETENTION {
            self.peak = Some((known, now));
        }
        let uptime = since(*self.discovery_start.get_or_insert(now));
        let is_growing = self.last_growth.is_some_and(|at| since(at) < DISCOVERY_QUIET_TIME);
        let is_discovering = uptime < DISCOVERY_RANGE.0 || is_growing && uptime < DISCOVERY_RANGE.1;
        let peak = self.peak.map_or(known, |(peak, _)| peak);
        if is_discovering { peak.max(ASSUMED_ENTRIES).max(self.engines) } else { peak }
    }

    /// Sets the number of engines that the store lists.
    pub fn set_engines(&mut self, engines: usize) {
        self.engines = engines;
    }

    /// Returns the peer addresses of all known entries, whether they are alive or only contacts.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().chain(self.contacts.keys()).copied()
    }

    /// Returns the entries that sent a heartbeat to this process, with the time since the last one.
    pub fn members_with_age(&self, now: Instant) -> impl Iterator<Item = (&EntryMember, Duration)> {
        self.members
            .values()
            .map(move |(member, last_seen)| (member, now.saturating_duration_since(*last_seen)))
    }

    /// Returns the data centre of an entry, or `None` if it has not sent a heartbeat to this process.
    #[must_use]
    pub fn data_centre_of(&self, peer: SocketAddr) -> Option<&DataCentreId> {
        self.members.get(&peer).map(|(member, _)| &member.data_centre)
    }

    /// Returns the entries whose last heartbeat is recent enough for them to count as alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &EntryMember> {
        self.alive_with_age(now).map(|(member, _)| member)
    }

    /// Returns the entries that count as alive, with the time since the last heartbeat of each.
    pub(crate) fn alive_with_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&EntryMember, Duration)> {
        self.members_with_age(now).filter(|(_, age)| *age < ALIVE_TIMEOUT)
    }

    /// Returns the addresses to name to a caller, nearest first. Only entries of the caller's data centre are named if
    /// there are enough of them. Entries of other regions that may not serve the caller's routes are a last resort.
    pub fn addresses_for(
        &self,
        own: &EntryMember,
        location: &CallerLocation<'_>,
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
            let is_home = location.home_regions.is_empty()
                || location.home_regions.iter().any(|home| home == region);
            match () {
                () if member.data_centre == location.data_centre => 0,
                () if region == location.region => 1,
                () if is_home => 2,
                () => 3,
            }
        };
        usable.sort_by_key(|member| distance(member));
        let near = usable.iter().filter(|member| distance(member) == 0).count();
        if near >= MIN_NEAR_ENTRIES {
            usable.truncate(near);
        } else if let Some(nearest) = usable.first().map(|member| distance(member)) {
            // A caller picks at random among the addresses, so distant entries are added only if at most one is near.
            usable.retain(|member| distance(member) <= nearest.max(2));
        }
        usable.truncate(MAX_ADDRESSES);
        usable.into_iter().map(|member| member.caller_address).collect()
    }
}
