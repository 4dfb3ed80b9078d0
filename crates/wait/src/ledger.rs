//! Recent demand and placements of each rank or team, from which it is decided who is owed a turn.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Time in which a count decays to 1/e. Starvation is judged over 8 s; half of that reacts within the period.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Served share of a rank or team, relative to that of all requests, below which it is owed a turn. A quarter is
/// required over any 8 s; the margin covers the delay until the next turn. With 0.4, a rank or team of a single entry
/// missed a quarter by one request in 1 of 12,000 random mixes of the starvation test; with 0.5 in none. More takes value
/// from the most urgent rank.
const FLOOR: f64 = 0.5;
/// Missing requests from which a turn is owed. The first request of a small team must not go before urgent ones; of a
/// whole request, too little remains after the decay for teams with one request a second.
const MIN_DEBT: f64 = 0.5;
/// Decayed demand below which a rank or team is forgotten.
const MIN_DEMAND: f64 = 0.05;
/// Maximum number of keys: far above the number of ranks or teams of a configuration.
const MAX_KEYS: usize = 512;

#[derive(Clone, Copy, Debug, Default)]
struct ShareCounts {
    offered: f64,
    placed: f64,
}

/// Decayed counts of the requests that were offered and placed, by rank or by team.
#[derive(Debug)]
pub(crate) struct ShareLedger<K> {
    counts: HashMap<K, ShareCounts>,
    total: ShareCounts,
    updated: Option<Instant>,
}

impl<K> Default for ShareLedger<K> {
    fn default() -> Self {
        Self { counts: HashMap::new(), total: ShareCounts::default(), updated: None }
    }
}

impl<K: Clone + Eq + Hash> ShareLedger<K> {
    pub(crate) fn record_offered(&mut self, key: &K, now: Instant) {
        self.decay(now);
        if self.counts.len() >= MAX_KEYS && !self.counts.contains_key(key) {
            return;
        }
        self.counts.entry(key.clone()).or_default().offered += 1.0;
        self.total.offered += 1.0;
    }

    pub(crate) fn record_placed(&mut self, key: &K, now: Instant) {
        self.decay(now);
        if let Some(counts) = self.counts.get_mut(key) {
            counts.placed += 1.0;
            self.total.placed += 1.0;
        }
    }

    /// Number of requests that are missing to the floor; `None` if the rank or team is owed no turn.
    pub(crate) fn debt(&self, key: &K) -> Option<f64> {
        let counts = self.counts.get(key)?;
        let served = self.total.placed / self.total.offered.max(1.0);
        let debt = FLOOR * served * counts.offered - counts.placed;
        (debt >= MIN_DEBT).then_some(debt)
    }

    /// Requests offered per second, over about [`DECAY_TIME`].
    pub(crate) fn offered_per_second(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.total.offered / DECAY_TIME.as_secs_f64()
    }

    /// Requests placed per second, over about [`DECAY_TIME`].
    pub(crate) fn placed_per_second(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.total.placed / DECAY_TIME.as_secs_f64()
    }

    fn decay(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else { return };
        let elapsed = now.saturating_duration_since(updated);
        if elapsed.is_zero() {
            return;
        }
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for counts in self.counts.values_mut().chain([&mut self.total]) {
            counts.offered *= factor;
            counts.placed *= factor;
        }
        self.counts.retain(|_, counts| counts.offered > MIN_DEMAND);
    }
}
