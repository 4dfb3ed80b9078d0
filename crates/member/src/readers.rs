//! Which entries follow the store, and how recent the state of the others is.
//!
//! Load pattern: a configuration of hundreds of kilobytes changes while hundreds of entries wait for changes. If the
//! store sent it to each of them, the links between regions would be full for seconds, and requests would wait behind
//! it. Two entries of each region follow the store instead, and the others take changes from entries of their region.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{Revision, rendezvous_weight};

use crate::membership::{EntryMember, EntryMembership};

/// Number of entries per region that follow the store. Two, so that one may fail.
const READERS_PER_REGION: usize = 2;
/// Maximum time since the last response of the store for an entry to count as one that follows it. A watch that waits
/// for changes responds every 1.5 s.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2_200);
/// Upper bound on the time that a heartbeat needs, by which the age that it reports is increased.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(250);
/// Age of its state from which an entry queries the store although others of its region follow it: it hears of them, but
/// cannot get their changes. Far above the time in which a large configuration arrives from another entry.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(5);
/// Interval between the times at which two entries of a region do so, so that their responses do not share the link.
const TURN_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a pause of this process in which it still reads heartbeats that arrived meanwhile, whose age is unknown.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

impl EntryMembership {
    /// True if the entry at `own` should follow the store: fewer than [`READERS_PER_REGION`] of the entries that
    /// `is_local` selects come before it in an order that all entries share, and follow the store at present. If
    /// entries cannot reach each other, more of them follow it. An entry whose response is still arriving follows the
    /// store as well.
    #[must_use]
    pub fn is_reader(
        &self,
        own: SocketAddr,
        is_local: impl Fn(&EntryMember) -> bool,
        now: Instant,
    ) -> bool {
        let follows_store = |member: &EntryMember, age: Duration| {
            member.store_age.is_some_and(|store_age| store_age + age <= MAX_STORE_SILENCE)
        };
        let preceding = self
            .preceding(own, is_local, now)
            .filter(|(member, age)| member.ready && !member.leaving && follows_store(member, *age))
            .count();
        preceding < READERS_PER_REGION
    }

    /// True if an entry that need not follow the store queries it nevertheless, because its state has not been
    /// confirmed for `unconfirmed`. The entries of a region take turns: if a link is too slow for one response, it is
    /// slower still for those of all entries.
    #[must_use]
    pub fn is_turn(
        &self,
        own: SocketAddr,
        is_local: impl Fn(&EntryMember) -> bool,
        unconfirmed: Duration,
        now: Instant,
    ) -> bool {
        unconfirmed.checked_sub(MAX_UNCONFIRMED).is_some_and(|waited| {
            let preceding = self.preceding(own, is_local, now).count();
            waited >= TURN_INTERVAL.saturating_mul(u32::try_from(preceding).unwrap_or(u32::MAX))
        })
    }

    /// Other live entries of the region that come before the one at `own` in an order that all entries share, with the
    /// time since the last heartbeat of each.
    fn preceding(
        &self,
        own: SocketAddr,
        is_local: impl Fn(&EntryMember) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = (&EntryMember, Duration)> {
        let weight = |peer: SocketAddr| rendezvous_weight(b"reader", &peer.to_string());
        let own_weight = weight(own);
        self.alive_with_age(now).filter(move |(member, _)| {
            member.peer != own && is_local(member) && weight(member.peer) > own_weight
        })
    }

    /// Records that a pause of this process has ended, after which the heartbeats known so far prove nothing.
    pub fn record_pause(&mut self, now: Instant) {
        self.backlog_until = Some(now + BACKLOG_TIME);
    }

    /// Latest time at which the state of a process that has received all changes up to `as_of` was current, according
    /// to the heartbeats of the others. A heartbeat proves nothing if its sender knows a later change.
    #[must_use]
    pub fn confirmed_at(&self, as_of: Revision, now: Instant) -> Option<Instant> {
        self.alive_with_age(now)
            .filter(|(member, age)| {
                let is_recent = self.backlog_until.is_none_or(|until| now >= until + *age);
                member.revision <= as_of && is_recent
            })
            .filter_map(|(member, age)| now.checked_sub(member.state_age? + age + HEARTBEAT_DELAY))
            .max()
    }
}
