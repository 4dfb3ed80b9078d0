//! When refused callers return.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

/// Range of the time after which a refused caller returns. Shorter ones would make callers poll; after longer ones, a
/// stream of 1.2 s no longer ends within the usual deadline of 6 s with a margin.
pub const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));
/// Divisor of the time left, after which a refused caller returns at the latest, whatever it is told.
const TIME_LEFT_DIVISOR: u32 = 3;
/// Length of the intervals to which returns are assigned: half an interval between reports of agents.
const SLOT_TIME: Duration = Duration::from_millis(50);
/// Fraction of the capacity that is planned for returning callers even if new requests need all of it, because callers
/// of the same rank that return go first.
const MIN_RETURN_FRACTION: f64 = 0.15;
/// Fraction of the range in which returns are spread if no slot has capacity: its later half, because a burst may have
/// passed by then.
const OVERFLOW_BEGIN: f64 = 0.5;

/// Time between a caller's first attempt and one with `time_left` until the caller's deadline, if the caller grants the
/// route's timeout; zero without a deadline.
#[must_use]
pub fn time_since_first_attempt(timeout: Duration, time_left: Option<Duration>) -> Duration {
    time_left.map_or(Duration::ZERO, |left| timeout.saturating_sub(left))
}

/// Capacity of a service for the requests of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityForecast {
    /// Requests per second that can begin now.
    pub per_second: f64,
    /// Changes of that rate: time from now and difference. Engines that finish loading add to it, those that begin take
    /// from it.
    pub changes: Vec<(Duration, f64)>,
    /// New requests per second.
    pub new_per_second: f64,
    /// Requests that are queued and go first.
    pub queued: usize,
}

impl CapacityForecast {
    /// Rate for returning callers at `after` from now.
    fn spare_per_second(&self, after: Duration) -> f64 {
        let changed: f64 =
            self.changes.iter().filter(|(at, _)| *at <= after).map(|(_, change)| change).sum();
        let capacity = (self.per_second + changed).max(0.0);
        (capacity - self.new_per_second).max(capacity * MIN_RETURN_FRACTION)
    }
}

/// Assigns the callers that are refused at one service to times at which there is capacity for them.
#[derive(Debug)]
pub struct ReturnSchedule {
    /// Begin of the first slot.
    begin: Option<Instant>,
    /// Number of callers that were told to return within each slot.
    told: VecDeque<u32>,
    /// Shortest times that callers were told in the current period and in the one before.
    shortest: [Option<Duration>; 2],
    /// Begin of the current period.
    period_begin: Option<Instant>,
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self::new()
    }
}

impl ReturnSchedule {
    /// Creates a schedule without returns.
    #[must_use]
    pub fn new() -> Self {
        Self { begin: None, told: VecDeque::new(), shortest: [None; 2], period_begin: None }
    }

    /// Time after which a refused caller that has `time_left` until its deadline returns: the first at which the
    /// capacity covers the queued requests, the callers already told to return and this one. Random within its slot.
    pub fn retry_after(
        &mut self,
        forecast: &CapacityForecast,
        time_left: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Duration {
        let begin = self.advance(now);
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let latest = longest.min(time_left / TIME_LEFT_DIVISOR).max(shortest);
        let offset = now.saturating_duration_since(begin);
        let slot_at =
            |after: Duration| ((offset + after).as_nanos() / SLOT_TIME.as_nanos()) as usize;
        let (first, last) = (slot_at(shortest), slot_at(latest));
        self.told.resize(self.told.len().max(last + 1), 0);
        let mut spare = -(forecast.queued as f64);
        let mut chosen = None;
        for (slot, told) in self.told.iter().enumerate().take(last + 1) {
            let slot_begin = (SLOT_TIME * slot as u32).saturating_sub(offset);
            let slot_end = (SLOT_TIME * (slot as u32 + 1)).saturating_sub(offset);
            let capacity = forecast.spare_per_second(slot_begin);
            spare += capacity * (slot_end - slot_begin).as_secs_f64() - f64::from(*told);
            if slot >= first && spare >= 1.0 {
                chosen = Some(slot);
                break;
            }
        }
        let slot = chosen.unwrap_or_else(|| {
            let overflow_begin = slot_at(latest.mul_f64(OVERFLOW_BEGIN).max(shortest));
            let fewest =
                (overflow_begin..=last).min_by_key(|slot| (self.told[*slot], rng.random::<u32>()));
            fewest.unwrap_or(last)
        });
        self.told[slot] += 1;
        let within = SLOT_TIME.mul_f64(rng.random());
        let after = (SLOT_TIME * slot as u32 + within).saturating_sub(offset);
        let after = after.clamp(shortest, latest);
        self.advance_period(now);
        self.shortest[0] = Some(self.shortest[0].map_or(after, |shortest| shortest.min(after)));
        after
    }

    /// Shortest time that a caller who returns now can have been told. Callers that return sooner repeat on their own;
    /// other entries forecast much the same, so this also holds for callers that they refused.
    pub fn shortest_told(&mut self, now: Instant) -> Duration {
        self.advance_period(now);
        self.shortest.into_iter().flatten().min().unwrap_or(RETRY_AFTER_RANGE.0)
    }

    /// Number of callers that were told to return and are not due yet.
    #[must_use]
    pub fn expected_returns(&self) -> u32 {
        self.told.iter().sum()
    }

    /// Begins a new period if the current one is longer than the longest time that callers are told.
    fn advance_period(&mut self, now: Instant) {
        let period = RETRY_AFTER_RANGE.1;
        let begin = *self.period_begin.get_or_insert(now);
        let elapsed = now.saturating_duration_since(begin);
        if elapsed >= period {
            let previous = if elapsed < period * 2 { self.shortest[0] } else { None };
            self.shortest = [None, previous];
            self.period_begin = Some(now);
        }
    }

    /// Forgets the slots that have passed. Returns the begin of the first slot.
    fn advance(&mut self, now: Instant) -> Instant {
        let begin = *self.begin.get_or_insert(now);
        let passed = now.saturating_duration_since(begin).as_nanos() / SLOT_TIME.as_nanos();
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.told.drain(..self.told.len().min(passed as usize));
        let begin = begin + SLOT_TIME * passed;
        self.begin = Some(begin);
        begin
    }
}
