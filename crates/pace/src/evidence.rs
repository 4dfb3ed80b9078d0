//! Measurements of one upstream, weighted by their age.

use std::time::{Duration, Instant};

/// Time after which a measurement has lost 63% of its weight. After a step of the speed, 14% of the old measurements'
/// weight is left after 5 s, while intervals of 600 ms of slow work are still averaged.
pub(crate) const DECAY_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a learned slowdown under load has lost 63% of its weight. It is longer than [`DECAY_TIME`] because
/// an upstream has to be seen both under low and under high load to learn it.
const KNEE_DECAY_TIME: Duration = Duration::from_secs(20);
/// Upper bounds of the load bands, in requests per slot; the last band has none.
const BAND_BOUNDS: [f64; 3] = [0.4, 0.7, 1.0];
/// Minimum weight of a band for it to be compared with another one.
const MIN_BAND_WEIGHT: f64 = 1.5;
/// Ratio of work times, beyond what waiting for a slot explains, above which an upstream slows down under load. Work
/// times of the same load differ by up to this ratio if a third of the samples falls into slow intervals.
const KNEE_RATIO: f64 = 1.8;
/// Lowest load from which an upstream may be considered to slow down, in requests per slot.
pub(crate) const MIN_KNEE: f64 = 0.125;
/// Time constant with which the learned load follows the comparisons of bands. Hosts are slow for intervals of 600 ms, in
/// which requests accumulate, so that the load of an upstream and its work times rise together without a knee.
const KNEE_SMOOTHING_TIME: Duration = Duration::from_secs(5);
/// Longest time that a single comparison may account for.
const MAX_COMPARISON_TIME: Duration = Duration::from_millis(500);

/// Factor by which the weight of a measurement decreases within `age`.
pub(crate) fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}

/// Mean of values whose weights decrease with their age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedMean {
    weight: f64,
    sum: f64,
    at: Instant,
}

impl DecayedMean {
    pub(crate) fn new(now: Instant) -> Self {
        Self { weight: 0.0, sum: 0.0, at: now }
    }

    /// Creates the mean of earlier measurements with their weight at `at`.
    pub(crate) fn with_weight(mean: f64, weight: f64, at: Instant) -> Self {
        Self { weight, sum: mean * weight, at }
    }

    pub(crate) fn add(&mut self, value: f64, now: Instant) {
        let kept = decay(now.saturating_duration_since(self.at), DECAY_TIME);
        self.weight = self.weight * kept + 1.0;
        self.sum = self.sum * kept + value;
        self.at = now;
    }

    /// Weight at `now`; a measurement has the weight 1 when it is made.
    pub(crate) fn weight(&self, now: Instant) -> f64 {
        self.weight * decay(now.saturating_duration_since(self.at), DECAY_TIME)
    }

    /// Mean of all values; 0 if there is none.
    pub(crate) fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }
}

/// Work times within a range of loads.
#[derive(Clone, Copy, Debug)]
struct LoadBand {
    time: DecayedMean,
    load: DecayedMean,
}

/// Load from which an upstream slows down, learned by comparing work times under different loads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadCurve {
    bands: [LoadBand; BAND_BOUNDS.len() + 1],
    /// Learned load in requests per slot, and the time of the comparison; `None` if there was none.
    knee: Option<(f64, Instant)>,
}

impl LoadCurve {
    pub(crate) fn new(now: Instant) -> Self {
        let mean = DecayedMean::new(now);
        Self { bands: [LoadBand { time: mean, load: mean }; BAND_BOUNDS.len() + 1], knee: None }
    }

    /// Load per slot from which the upstream slows down; decays to 1, at which requests begin to wait.
    pub(crate) fn knee(&self, now: Instant) -> f64 {
        self.knee.map_or(1.0, |(knee, at)| {
            let age = now.saturating_duration_since(at);
            1.0 + (knee - 1.0) * decay(age, KNEE_DECAY_TIME)
        })
    }

    /// Factor on the work time at a load per slot.
    pub(crate) fn crowding(&self, load: f64, now: Instant) -> f64 {
        (load / self.knee(now)).max(1.0)
    }

    /// Records the time that a request took at a load per slot, relative to the mean work time of the upstream at that
    /// moment, so that a change of its speed is not taken for an effect of the load.
    pub(crate) fn add(&mut self, time: f64, load: f64, now: Instant) {
        let index = BAND_BOUNDS.iter().position(|bound| load <= *bound);
        let band = &mut self.bands[index.unwrap_or(BAND_BOUNDS.len())];
        band.time.add(time, now);
        band.load.add(load, now);
        self.compare_bands(now);
    }

    fn compare_bands(&mut self, now: Instant) {
        let mut known = self.bands.iter().filter(|band| band.time.weight(now) >= MIN_BAND_WEIGHT);
        let Some(reference) = known.next() else { return };
        let mut observed: Option<f64> = None;
        for band in known {
            let load = band.load.mean();
            let ratio = band.time.mean() / reference.time.mean().max(f64::EPSILON);
            // A band without a slowdown shows that there is none below its load, but not what happens above.
            let knee = if ratio > KNEE_RATIO * load.max(1.0) {
                load / ratio
            } else {
                load.max(self.knee(now))
            };
            observed = Some(observed.map_or(knee, |lowest| lowest.min(knee)));
        }
        let Some(observed) = observed else { return };
        let knee = self.knee(now);
        let since =
            self.knee.map_or(MAX_COMPARISON_TIME, |(_, at)| now.saturating_duration_since(at));
        let part = 1.0 - decay(since.min(MAX_COMPARISON_TIME), KNEE_SMOOTHING_TIME);
        let learned = knee + (observed.clamp(MIN_KNEE, 1.0) - knee) * part;
        self.knee = Some((learned, now));
    }
}
