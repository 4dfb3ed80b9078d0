//! Limits that upstreams state in their responses for the requests of all entries together.
//!
//! Each entry learns a limit from its own responses or from another entry, and uses a share of it. The shares follow
//! from what the entries report to one another: an entry gets more if more of its requests would go to the upstream.
//! An entry that is not heard counts as one with average demand, and an entry that hears none uses the equal share of
//! at least [`MIN_ENTRIES`].

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::UpstreamId;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{send_log::SendLog, share::MIN_ENTRIES};

/// Period in which requests are counted against a stated limit; the platform judges limits over such periods.
pub(crate) const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time for which a limit that has ended, or one of an upstream that is no longer listed, is remembered.
const FORGET_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of another entry's report: as for heartbeats, a few lost ones do not matter.
const USAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Rate at which all entries together still send to an upstream that states a lower limit. Only a response can show
/// that a limit has ended.
const PROBE_RATE: f64 = 0.25;
/// Fraction of a limit that is divided equally. The rest is divided by demand; with the equal part, an entry without
/// recent demand can serve its first requests.
const EQUAL_FRACTION: f64 = 0.25;
/// Requests in addition to the limit up to which a window may be filled by all entries together. The platform tolerates
/// 1.5 times the limit and 5 requests; the rest of that is left for requests that reports do not include yet.
const WINDOW_EXTRA: f64 = 2.0;
/// Factor on its share of the limit at which an entry that hears others sends. An entry rarely has a request at the
/// moment at which it may send one, and the window still keeps the sum at the limit.
const PACE: f64 = 1.5;
/// Factor on its share at which an entry that hears no other one sends. The entries then send at independent times that
/// may coincide. With 43 entries, this keeps their sum below what is tolerated in all of 300 simulated cases.
const ISOLATED_PACE: f64 = 0.5;
/// Maximum number of withheld requests that are remembered per upstream.
const MAX_WITHHELD: usize = 4_096;

/// What the head of a response states about the limit of its upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum LimitStatement {
    /// The response states no limit.
    #[default]
    Absent,
    /// The upstream takes this many requests per second from all entries together; finite and not negative.
    PerSecond(f64),
    /// The response states a limit that cannot be read.
    Unreadable,
}

/// Change of what this entry knows about the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second before; `None` if there was no limit.
    pub before: Option<f64>,
    /// Requests per second now; `None` if the limit has ended.
    pub after: Option<f64>,
    /// True if the upstream stated a limit that cannot be read. The limit before it stays in force.
    pub unreadable: bool,
}

/// What one entry knows and uses of the limit of an upstream, as it reports it to the other entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitUsage {
    /// Upstream that has stated the limit.
    pub upstream: UpstreamId,
    /// Start of the upstream's process in Unix milliseconds.
    pub started_ms: u64,
    /// Requests per second from all entries together; `None` if the limit has ended.
    pub per_second: Option<f64>,
    /// Time since the response that stated the limit or showed its end.
    pub age: Duration,
    /// Requests that the entry sent to the upstream in the last 4 s.
    pub sent: u32,
    /// Requests in the last 4 s that the entry would have sent there without the limit.
    pub withheld: u32,
}

/// Last report of another entry.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    sent: u32,
    withheld: u32,
    received: Instant,
}

#[derive(Clone, Debug)]
struct LimitState {
    /// Start of the upstream's process; a process that starts later has no limit until it states one.
    started_ms: u64,
    /// Requests per second; `None` if no limit is in force.
    per_second: Option<f64>,
    /// Time of the response that made the last readable statement; `None` if there was none.
    stated_at: Option<Instant>,
    /// The last statement could not be read.
    unreadable: bool,
    /// Time from which the next request is spaced, and the part of the entry's interval that must pass: all of it after
    /// a request, a random part of it after the limit became known or the window was full, so that the entries do not
    /// send at the same time.
    spaced_from: Instant,
    spacing: f64,
    /// Times of the requests that were withheld.
    withheld: VecDeque<Instant>,
    peers: HashMap<SocketAddr, PeerUsage>,
}

/// This entry's share of a limit.
struct LimitShare {
    /// Requests of all entries in the window, as far as they are known.
    sent_by_all: f64,
    /// Fraction of the limit; at most 1.
    fraction: f64,
    /// Factor on the rate that follows from the fraction.
    pace: f64,
}

impl LimitState {
    fn withheld_count(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= LIMIT_WINDOW;
        self.withheld.iter().rev().take_while(is_recent).count()
    }

    /// Share of this entry, which has sent `own_sent` requests in the window, among `entries` that may be alive.
    fn share(&self, own_sent: usize, entries: usize, now: Instant) -> LimitShare {
        let own_demand = (own_sent + self.withheld_count(now)) as f64;
        let heard = self
            .peers
            .values()
            .filter(|usage| now.saturating_duration_since(usage.received) <= USAGE_TIMEOUT);
        let (mut reporting, mut sent, mut demand) = (1, own_sent as f64, own_demand);
        for usage in heard {
            reporting += 1;
            sent += f64::from(usage.sent);
            demand += f64::from(usage.sent) + f64::from(usage.withheld);
        }
        let (count, pace) = match reporting {
            1 => (entries.max(MIN_ENTRIES), ISOLATED_PACE),
            _ => (entries.max(reporting), PACE),
        };
        let mean = demand / reporting as f64;
        let relative = if mean > 0.0 { own_demand / mean } else { 1.0 };
        let fraction = (EQUAL_FRACTION + (1.0 - EQUAL_FRACTION) * relative) / count as f64;
        LimitShare { sent_by_all: sent, fraction: fraction.min(1.0), pace }
    }

    fn set_limit(&mut self, per_second: Option<f64>, now: Instant, rng: &mut impl Rng) {
        if self.per_second.is_none() && per_second.is_some() {
            self.space(rng.random(), now);
        }
        self.per_second = per_second;
    }

    fn space(&mut self, spacing: f64, now: Instant) {
        (self.spaced_from, self.spacing) = (now, spacing);
    }
}

/// Limits of all upstreams, as this entry knows them, and its shares in them.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    /// Entries that may be alive, including this one.
    entries: usize,
    known: HashMap<UpstreamId, LimitState>,
}

impl RateLimiter {
    pub(crate) fn new() -> Self {
        Self { entries: 1, known: HashMap::new() }
    }

    /// Sets the number of entries that may be alive, including those that this entry cannot reach.
    pub(crate) fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Limit of an upstream in requests per second; `None` if it has stated none.
    pub(crate) fn limit_of(&self, upstream: &str) -> Option<f64> {
        self.known.get(upstream)?.per_second
    }

    /// True if another request may be sent to an upstream. `sent` contains the requests that this entry has sent,
    /// including those from before the limit was known.
    pub(crate) fn may_send(
        &mut self,
        upstream: &str,
        sent: &SendLog,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(state) = self.known.get_mut(upstream) else { return true };
        let Some(per_second) = state.per_second else { return true };
        let rate = per_second.max(PROBE_RATE);
        let own_sent = sent.count(upstream, LIMIT_WINDOW, now);
        let share = state.share(own_sent, self.entries, now);
        let capacity = rate * LIMIT_WINDOW.as_secs_f64() + WINDOW_EXTRA;
        let own_capacity = (share.fraction * capacity).max(1.0);
        if share.sent_by_all + 1.0 > capacity || own_sent as f64 + 1.0 > own_capacity {
            state.space(rng.random(), now);
            return false;
        }
        let interval = state.spacing / (share.fraction * share.pace * rate);
        now.saturating_duration_since(state.spaced_from).as_secs_f64() >= interval
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn record_sent(&mut self, upstream: &str, now: Instant) {
        if let Some(state) = self.known.get_mut(upstream) {
            state.space(1.0, now);
        }
    }

    /// Records a request that would have been sent to an upstream without its limit.
    pub(crate) fn record_withheld(&mut self, upstream: &str, now: Instant) {
        let Some(state) = self.known.get_mut(upstream) else { return };
        while state.withheld.len() >= MAX_WITHHELD
            || state
                .withheld
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > LIMIT_WINDOW)
        {
            state.withheld.pop_front();
        }
        state.withheld.push_back(now);
    }

    /// Records what a response states. `sent_at` is the time at which its request was sent. A response that states no
    /// limit ends the known one only if its request was sent after that was last stated: responses on different
    /// connections may overtake one another.
    pub(crate) fn record_statement(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        statement: LimitStatement,
        sent_at: Instant,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<LimitChange> {
        let known = self.known.get(upstream).filter(|known| known.started_ms == started_ms);
        let before = known.and_then(|known| known.per_second);
        let was_unreadable = known.is_some_and(|known| known.unreadable);
        let per_second = match statement {
            LimitStatement::Absent => {
                let stated_at = known.and_then(|known| known.stated_at);
                if before.is_none() || stated_at.is_some_and(|at| at >= sent_at) {
                    return None;
                }
                None
            }
            LimitStatement::PerSecond(per_second) => Some(per_second),
            LimitStatement::Unreadable => before,
        };
        let is_readable = statement != LimitStatement::Unreadable;
        let state = self.state_of(upstream, started_ms, now, rng);
        if is_readable {
            state.stated_at = Some(now);
        }
        state.set_limit(per_second, now, rng);
        state.unreadable = !is_readable;
        let unreadable = state.unreadable && !was_unreadable;
        (before != per_second || unreadable).then_some(LimitChange {
            before,
            after: per_second,
            unreadable,
        })
    }

    /// Records what another entry reports. Its knowledge of the limit is adopted if it is newer.
    pub(crate) fn record_peer(
        &mut self,
        peer: SocketAddr,
        usage: &LimitUsage,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<LimitChange> {
        let known = self.known.get(&usage.upstream);
        let known = known.filter(|known| known.started_ms == usage.started_ms);
        let before = known.and_then(|known| known.per_second);
        let stated_at = now.checked_sub(usage.age).unwrap_or(now);
        let known_at = known.and_then(|known| known.stated_at);
        if known_at.is_none() && usage.per_second.is_none() {
            return None;
        }
        let state = self.state_of(&usage.upstream, usage.started_ms, now, rng);
        state
            .peers
            .retain(|_, known| now.saturating_duration_since(known.received) <= FORGET_TIMEOUT);
        let report = PeerUsage { sent: usage.sent, withheld: usage.withheld, received: now };
        state.peers.insert(peer, report);
        if known_at.is_some_and(|known_at| known_at >= stated_at) {
            return None;
        }
        state.stated_at = Some(stated_at);
        state.set_limit(usage.per_second, now, rng);
        let after = usage.per_second;
        (before != after).then_some(LimitChange { before, after, unreadable: false })
    }

    /// State of an upstream's process, created without a limit if it is not known.
    fn state_of(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> &mut LimitState {
        let is_known = self.known.get(upstream).is_some_and(|known| known.started_ms == started_ms);
        if !is_known {
            let state = LimitState {
                started_ms,
                per_second: None,
                stated_at: None,
                unreadable: false,
                spaced_from: now,
                spacing: rng.random(),
                withheld: VecDeque::new(),
                peers: HashMap::new(),
            };
            self.known.insert(upstream.clone(), state);
        }
        self.known.get_mut(upstream).expect("the state was just added")
    }

    /// Reports for the other entries.
    pub(crate) fn usage(&self, sent: &SendLog, now: Instant) -> Vec<LimitUsage> {
        let usage = self.known.iter().filter_map(|(upstream, state)| {
            Some(LimitUsage {
                upstream: upstream.clone(),
                started_ms: state.started_ms,
                per_second: state.per_second,
                age: now.saturating_duration_since(state.stated_at?),
                sent: sent.count(upstream, LIMIT_WINDOW, now) as u32,
                withheld: state.withheld_count(now) as u32,
            })
        });
        usage.collect()
    }

    /// Removes limits that ended some time ago, and those of upstreams that are neither listed nor were recently.
    /// `started_ms` returns the start of the process of a listed upstream.
    pub(crate) fn retain(&mut self, now: Instant, started_ms: impl Fn(&UpstreamId) -> Option<u64>) {
        self.known.retain(|upstream, known| {
            let is_recent = known
                .stated_at
                .is_some_and(|at| now.saturating_duration_since(at) <= FORGET_TIMEOUT);
            match started_ms(upstream) {
                Some(started_ms) if started_ms != known.started_ms => false,
                Some(_) => is_recent || known.per_second.is_some(),
                None => is_recent,
            }
        });
    }
}
