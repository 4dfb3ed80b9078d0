//! One entry's share of limits that bind all entries together.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::{ServiceId, UpstreamId};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Entries that are taken to exist at least. An entry that cannot reach the others must not take their shares.
pub(crate) const MIN_ENTRIES: usize = 12;
/// Part of the retry share that is used. Own counts are exact and the window is rounded up, so little is kept back.
const RETRY_PART: f64 = 0.95;
/// Part of the share of a cold upstream that is used: what was sent within a second may arrive within less.
const COLD_PART: f64 = 0.8;
/// The same if the share is less than one request a second. Each entry then sends at times of its own, which may fall
/// together: with 40 entries, the sum stays below the limit by
/// almost four standard deviations.
const SPARSE_COLD_PART: f64 = 0.6;
/// Buckets into which the window of the retry budget is divided.
const WINDOW_BUCKETS: u32 = 20;
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Sends that are remembered of one upstream, above every share of one entry.
const MAX_COLD_SENDS: usize = 4_096;
/// Longest pause between two sends of an entry to a cold upstream; upstreams are cold for seconds.
const MAX_COLD_GAP: Duration = Duration::from_secs(60);

/// Limits that bind all entries together, from the settings.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareOptions {
    /// Repeats that are allowed per request of a service.
    pub retry_ratio: f64,
    /// Repeats that are allowed in a window besides.
    pub retry_extra: f64,
    /// The window.
    pub retry_window: Duration,
    /// Factor on the tolerated rate of a cold upstream.
    pub cold_factor: f64,
    /// Requests per second that a cold upstream bears besides.
    pub cold_extra: f64,
}

impl Default for ShareOptions {
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
    repeats: u32,
}

/// Retries of this entry within its share of the budget, for each service.
#[derive(Debug)]
pub struct RetryShare {
    options: ShareOptions,
    started: Instant,
    entries: usize,
    services: HashMap<ServiceId, VecDeque<WindowBucket>>,
}

impl RetryShare {
    /// Creates the share of an entry that started at `now`.
    #[must_use]
    pub fn new(options: ShareOptions, now: Instant) -> Self {
        Self { options, started: now, entries: MIN_ENTRIES, services: HashMap::new() }
    }

    /// Sets the number of entries that are known; it never counts for less than the assumed minimum.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(MIN_ENTRIES);
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one repeat out of the share; false if it is used up.
    pub fn take(&mut self, service: &ServiceId, now: Instant) -> bool {
        self.bucket(service, now);
        let (requests, repeats) = self.services[service]
            .iter()
            .fold((0, 0), |sum, bucket| (sum.0 + bucket.requests, sum.1 + bucket.repeats));
        let extra = self.options.retry_extra / self.entries as f64;
        let allowed = RETRY_PART * (self.options.retry_ratio * f64::from(requests) + extra);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    fn bucket(&mut self, service: &ServiceId, now: Instant) -> &mut WindowBucket {
        let span = self.options.retry_window / WINDOW_BUCKETS;
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

/// Sends of this entry to cold upstreams, within its share of what each tolerates.
#[derive(Debug)]
pub struct ColdShare {
    options: ShareOptions,
    entries: usize,
    sends: HashMap<UpstreamId, VecDeque<Instant>>,
    /// Moment before which nothing is sent to an upstream, while the share is less than one request a second.
    not_before: HashMap<UpstreamId, Instant>,
}

impl ColdShare {
    /// Creates the share.
    #[must_use]
    pub fn new(options: ShareOptions) -> Self {
        Self { options, entries: MIN_ENTRIES, sends: HashMap::new(), not_before: HashMap::new() }
    }

    /// Sets the number of entries that are known; it never counts for less than the assumed minimum.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(MIN_ENTRIES);
    }

    /// True if another request may be sent to an upstream that tolerates `per_second` while it is cold.
    pub fn has_room(
        &mut self,
        upstream: &UpstreamId,
        per_second: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let share =
            (per_second * self.options.cold_factor + self.options.cold_extra) / self.entries as f64;
        if COLD_PART * share < 1.0 {
            return self.has_sparse_room(upstream, SPARSE_COLD_PART * share, now, rng);
        }
        let limit = COLD_PART * share;
        let sends = self.sends.get_mut(upstream).map_or(0, |sends| {
            while sends
                .front()
                .is_some_and(|sent| now.saturating_duration_since(*sent) > COLD_WINDOW)
            {
                sends.pop_front();
            }
            sends.len()
        });
        (sends as f64) + 1.0 <= limit
    }

    /// One request in each `1 / rate` seconds. The first one waits for a random part of that time, because all entries
    /// see at the same moment that the upstream is there.
    fn has_sparse_room(
        &mut self,
        upstream: &UpstreamId,
        rate: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_COLD_GAP).min(MAX_COLD_GAP);
        let last = self.sends.get(upstream).and_then(|sends| sends.back()).copied();
        let first = *self
            .not_before
            .entry(upstream.clone())
            .or_insert_with(|| now + gap.mul_f64(rng.random()));
        now >= first && last.is_none_or(|last| now.saturating_duration_since(last) >= gap)
    }

    /// Counts a request that was sent to a cold upstream.
    pub fn record(&mut self, upstream: &UpstreamId, now: Instant) {
        let sends = self.sends.entry(upstream.clone()).or_default();
        while sends.len() >= MAX_COLD_SENDS {
            sends.pop_front();
        }
        sends.push_back(now);
    }

    /// Forgets upstreams that `keep` does not know.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.sends.retain(|upstream, _| keep(upstream));
        self.not_before.retain(|upstream, _| keep(upstream));
    }
}
