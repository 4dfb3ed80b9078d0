//! One entry's share of the limits that apply to all entries together.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::{ServiceId, UpstreamId};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::send_log::SendLog;

/// Minimum number of entries assumed to exist. An entry that cannot reach the others must not use their shares.
pub(crate) const MIN_ENTRIES: usize = 12;
/// Fraction of the retry share that is used. The margin is small because an entry's own counts are exact and the window
/// is rounded up.
const RETRY_SHARE_USED: f64 = 0.95;
/// Fraction of the share that backups of slow attempts leave to retries of failed ones. Silence of one upstream makes many
/// backups at once.
const BACKUP_RESERVE: f64 = 0.5;
/// Fraction of the share of a cold upstream that is used. The margin is needed because requests sent within a second
/// may arrive within less than a second.
const COLD_SHARE_USED: f64 = 0.8;
/// Same as [`COLD_SHARE_USED`] for shares below one request per second. The entries then send at independent times that
/// may coincide. With 40 entries, this keeps their sum below the limit by almost four standard deviations.
const SPARSE_COLD_SHARE_USED: f64 = 0.6;
/// Buckets into which the window of the retry budget is divided.
const WINDOW_BUCKETS: u32 = 20;
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Maximum interval between two requests of an entry to a cold upstream. Upstreams stay cold only for seconds.
const MAX_COLD_INTERVAL: Duration = Duration::from_secs(60);

/// Limits that apply to all entries together, from the settings.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedLimits {
    /// Allowed retries per request of a service within the window.
    pub retry_ratio: f64,
    /// Allowed retries per window in addition to `retry_ratio`.
    pub retry_extra: f64,
    /// Window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Factor on the rate that a service tolerates at a cold upstream.
    pub cold_factor: f64,
    /// Requests per second that a cold upstream tolerates in addition to that rate.
    pub cold_extra: f64,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window: Duration::from_secs(10),
            cold_factor: 1.0,
            cold_extra: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// This entry's share of the retry budget, counted per service.
#[derive(Debug)]
pub struct RetryBudgetShare {
    limits: SharedLimits,
    started: Instant,
    entries: usize,
    services: HashMap<ServiceId, VecDeque<WindowBucket>>,
}

impl RetryBudgetShare {
    /// Creates the share of an entry that started at `now`.
    #[must_use]
    pub fn new(limits: SharedLimits, now: Instant) -> Self {
        Self { limits, started: now, entries: MIN_ENTRIES, services: HashMap::new() }
    }

    /// Sets the number of entries among which the budget is divided. Numbers below the assumed minimum are raised to
    /// it.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(MIN_ENTRIES);
    }

    /// Counts a caller's request, which adds to the budget.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry from the share; false if the share is used up.
    pub fn try_take(&mut self, service: &ServiceId, now: Instant) -> bool {
        let has_room = self.has_room(service, now);
        if has_room {
            self.bucket(service, now).retries += 1;
        }
        has_room
    }

    /// True if the share allows another retry.
    pub fn has_room(&mut self, service: &ServiceId, now: Instant) -> bool {
        let (retries, allowed) = self.usage(service, now);
        retries + 1.0 <= allowed
    }

    /// True if the share allows another retry and leaves [`BACKUP_RESERVE`] of itself to requests that have failed.
    pub fn has_room_for_backup(&mut self, service: &ServiceId, now: Instant) -> bool {
        let (retries, allowed) = self.usage(service, now);
        // One is possible as long as nothing has been used.
        retries + 1.0 <= (allowed * (1.0 - BACKUP_RESERVE)).max(allowed.min(1.0))
    }

    /// Number of retries in the window, and the number that the share allows.
    fn usage(&mut self, service: &ServiceId, now: Instant) -> (f64, f64) {
        self.bucket(service, now);
        let (requests, retries) = self.services[service]
            .iter()
            .fold((0, 0), |sum, bucket| (sum.0 + bucket.requests, sum.1 + bucket.retries));
        let uptime = now.saturating_duration_since(self.started).as_secs_f64();
        let uptime = (uptime / self.limits.retry_window.as_secs_f64().max(f64::EPSILON)).min(1.0);
        let share = self.limits.retry_extra / self.entries as f64;
        let proportional = self.limits.retry_ratio * f64::from(requests);
        // A process that ran here before may have used the share in the same window. One retry is always possible.
        let allowed = RETRY_SHARE_USED * (proportional + share * uptime);
        (f64::from(retries), allowed.max(share.min(1.0)))
    }

    fn bucket(&mut self, service: &ServiceId, now: Instant) -> &mut WindowBucket {
        let span = self.limits.retry_window / WINDOW_BUCKETS;
        let elapsed = now.saturating_duration_since(self.started).as_nanos();
        let number = u64::try_from(elapsed / span.as_nanos().max(1)).unwrap_or(u64::MAX);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service).expect("the service was just added");
        while buckets.front().is_some_and(|first| first.number + u64::from(WINDOW_BUCKETS) < number)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|last| last.number < number) {
            buckets.push_back(WindowBucket { number, ..WindowBucket::default() });
        }
        buckets.back_mut().expect("a bucket was just added")
    }
}

/// Limits the rate of this entry's requests to each cold upstream to its share of what the upstream tolerates.
#[derive(Debug)]
pub struct ColdLimiter {
    limits: SharedLimits,
    entries: usize,
    /// Earliest time of the first request to an upstream in its cold period, for shares below one request per second.
    not_before: HashMap<UpstreamId, Instant>,
}

impl ColdLimiter {
    /// Creates a limiter that assumes the minimum number of entries until [`ColdLimiter::set_entries`] is called.
    #[must_use]
    pub fn new(limits: SharedLimits) -> Self {
        Self { limits, entries: MIN_ENTRIES, not_before: HashMap::new() }
    }

    /// Sets the number of entries among which the limit is divided. Numbers below the assumed minimum are raised to it.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(MIN_ENTRIES);
    }

    /// True if another request may be sent to an upstream that tolerates `per_second` while it is cold. `sent` contains
    /// the requests that this entry has sent, including those from before the upstream turned cold.
    pub fn may_send(
        &mut self,
        upstream: &UpstreamId,
        per_second: f64,
        sent: &SendLog,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let share =
            (per_second * self.limits.cold_factor + self.limits.cold_extra) / self.entries as f64;
        if COLD_SHARE_USED * share < 1.0 {
            let rate = SPARSE_COLD_SHARE_USED * share;
            return self.may_send_sparse(upstream, rate, sent, now, rng);
        }
        let recent = sent.count(upstream, COLD_WINDOW, now);
        (recent as f64) + 1.0 <= COLD_SHARE_USED * share
    }

    /// Allows one request per `1 / rate` seconds. The first request waits for a random part of that interval, because
    /// all entries learn at the same moment that an upstream is cold.
    fn may_send_sparse(
        &mut self,
        upstream: &UpstreamId,
        rate: f64,
        sent: &SendLog,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate)
            .unwrap_or(MAX_COLD_INTERVAL)
            .min(MAX_COLD_INTERVAL);
        let first = *self
            .not_before
            .entry(upstream.clone())
            .or_insert_with(|| now + interval.mul_f64(rng.random()));
        let last = sent.last(upstream);
        now >= first && last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
    }

    /// Records that an upstream which was not cold turns cold.
    pub fn begin_period(&mut self, upstream: &UpstreamId) {
        self.not_before.remove(upstream);
    }

    /// Removes the state of all upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.not_before.retain(|upstream, _| keep(upstream));
    }
}
