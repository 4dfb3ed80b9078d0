//! How much of the load is shed, controlled by how well the more urgent requests are served.

use std::time::{Duration, Instant};

use crate::count::DecayingCount;

/// Pressure above which more is shed. A first event predicted exactly at the target has a pressure of 1, and a tenth of
/// the urgent requests refused beside others at 0.6 a pressure of 0.84. In trials of the simulation in `tests/load.rs`,
/// 1.1 served 2% more requests in all and urgent ones 8 percentage points less often.
const RISE_ABOVE: f64 = 0.85;
/// Pressure below which less is shed. The band between the two keeps the level still.
const FALL_BELOW: f64 = 0.7;
/// Pressure of a request that was refused although nothing of it was shed.
const REFUSED_PRESSURE: f64 = 3.0;
/// Pressure where nothing is known, that of an idle engine, and the number of requests that it weighs as much as.
const IDLE_PRESSURE: (f64, f64) = (0.4, 0.5);
/// Number of the entry's own requests that the forecast from the agents' reports weighs as much as. An entry has few own
/// requests; with a weight of 4, entries disagreed so far that some shed a rank that others admitted.
const REPORT_WEIGHT: f64 = 20.0;
/// Age beyond which a prediction from reports is not used: three reports from another region and some delay.
const MAX_REPORT_AGE: Duration = Duration::from_millis(800);
/// Time constant of the entry's own requests: short enough to follow a burst of 3 s.
const SAMPLE_TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Fastest change of the level in steps per second. It rises by three steps within a second, because the burst that it
/// answers fills the engines within one, and falls slowly, because the effect of a change is seen only after a stream
/// time of about 1.2 s.
const MAX_RISE_RATE: f64 = 4.0;
const MAX_FALL_RATE: f64 = 1.5;
/// Distance of the pressure from the band at which the level changes fastest.
const FULL_RATE_DISTANCE: f64 = 0.3;
/// Longest time for which one observation changes the level.
const MAX_STEP: Duration = Duration::from_millis(250);

/// How urgent requests would be served according to the agents' reports, the same at all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadForecast {
    /// Mean predicted time to the first event of a typical request.
    pub delay: Duration,
    /// Fraction of the requests with the most urgent rank's limit that would be refused.
    pub refused_fraction: f64,
}

#[derive(Clone, Copy, Debug)]
struct PositionSamples {
    pressure: DecayingCount,
    count: DecayingCount,
}

/// Level of shedding of a service. Positions 1 to `positions` can be shed, the highest first: the level is the number of
/// positions that are shed completely, and its fraction the share of the next one. Position 0 is never shed.
#[derive(Clone, Debug)]
pub(crate) struct LoadLevel {
    value: f64,
    samples: Vec<PositionSamples>,
    forecast: Option<(f64, Instant)>,
    updated: Instant,
}

impl LoadLevel {
    pub(crate) fn new(positions: usize, now: Instant) -> Self {
        let count = DecayingCount::new(SAMPLE_TIME_CONSTANT, now);
        let samples = vec![PositionSamples { pressure: count, count }; positions + 1];
        Self { value: 0.0, samples, forecast: None, updated: now }
    }

    /// Number of positions that can be shed.
    fn positions(&self) -> usize {
        self.samples.len() - 1
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Share of the requests at a position that is shed.
    pub(crate) fn shed_share(&self, position: usize) -> f64 {
        if position == 0 {
            return 0.0;
        }
        let spared = self.positions().saturating_sub(position);
        (self.value - spared as f64).clamp(0.0, 1.0)
    }

    /// Records a request at `position` that was placed with this prediction, relative to its target, or refused although
    /// nothing of it was shed (`None`).
    pub(crate) fn record_request(&mut self, position: usize, delay: Option<f64>, now: Instant) {
        if let Some(samples) = self.samples.get_mut(position) {
            samples.pressure.add(delay.unwrap_or(REFUSED_PRESSURE), now);
            samples.count.add(1.0, now);
        }
        self.update(now);
    }

    /// Records a forecast for requests with this target.
    pub(crate) fn record_forecast(
        &mut self,
        forecast: LoadForecast,
        target: Duration,
        now: Instant,
    ) {
        let refused = forecast.refused_fraction.clamp(0.0, 1.0);
        let placed = forecast.delay.as_secs_f64() / target.as_secs_f64().max(0.001);
        let pressure = placed.min(REFUSED_PRESSURE) * (1.0 - refused) + REFUSED_PRESSURE * refused;
        self.forecast = Some((pressure, now));
        self.update(now);
    }

    /// Mean pressure of the requests at positions below `end`.
    fn pressure(&self, end: usize, now: Instant) -> f64 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for samples in &self.samples[..end.min(self.samples.len())] {
            sum += samples.pressure.value(now);
            weight += samples.count.value(now);
        }
        let known = self
            .forecast
            .filter(|(_, at)| now.saturating_duration_since(*at) <= MAX_REPORT_AGE)
            .map_or(IDLE_PRESSURE, |(pressure, _)| (pressure, REPORT_WEIGHT));
        (sum + known.0 * known.1) / (weight + known.1)
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).min(MAX_STEP).as_secs_f64();
        self.updated = self.updated.max(now);
        let positions = self.positions() as f64;
        // What is shed next is judged by the requests that are more urgent.
        let next = self.positions().saturating_sub(self.value.floor() as usize);
        let excess = self.pressure(next.max(1), now) - RISE_ABOVE;
        if excess > 0.0 {
            let rate = MAX_RISE_RATE * (excess / FULL_RATE_DISTANCE).min(1.0);
            self.value = (self.value + rate * elapsed).min(positions);
            return;
        }
        let shed = (self.positions() + 1).saturating_sub(self.value.ceil() as usize);
        let spare = FALL_BELOW - self.pressure(shed.max(1), now);
        if spare > 0.0 {
            let rate = MAX_FALL_RATE * (spare / FULL_RATE_DISTANCE).min(1.0);
            self.value = (self.value - rate * elapsed).max(0.0);
        }
    }
}
