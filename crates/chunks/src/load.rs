//! Decides whether an engine serves weights that it loaded from valid chunks.
//!
//! An engine takes the staged chunks when it accepts a load order, which may be any time after the order was sent. A chunk
//! that has become corrupt stays corrupt until it is written again, and only the agent writes chunks. Chunks that are
//! valid when they are read after the acceptance were therefore valid when the engine took them, however long the order, the
//! engine or the agent took, unless a process of the agent has written them in between.

use std::{
    collections::{HashMap, HashSet},
    ops::Range,
    time::Instant,
};

use base::ModelId;
use serde::{Deserialize, Serialize};

use crate::{
    manifest::{ChunkIndex, ChunkSet, WeightsId},
    order::OrderReport,
};

/// Weights that an engine has taken from the staging area on an accepted order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Loaded weights.
    pub weights: WeightsId,
    /// Start time of the engine in Unix milliseconds.
    pub started_at_ms: u64,
    /// Number of load orders that the engine had accepted since its start, including the one for this load.
    pub load_orders: u64,
}

impl EngineLoad {
    /// Load that a report shows; `None` if the engine serves no weights.
    #[must_use]
    pub fn of_report(model: &ModelId, report: &OrderReport) -> Option<Self> {
        (report.loaded > 0).then(|| Self {
            weights: WeightsId { model: model.clone(), version: report.loaded },
            started_at_ms: report.started_at_ms,
            load_orders: report.load_orders,
        })
    }

    fn is_same_version(&self, other: &Self) -> bool {
        self.weights == other.weights && self.started_at_ms == other.started_at_ms
    }
}

/// What is known about the chunks of a load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LoadVerdict {
    /// Nothing, so the weights must not be used.
    Unverified,
    /// All of them were valid when the engine took them.
    Verified,
    /// These chunks may have been missing or corrupt when the engine took them.
    Corrupt(ChunkSet),
}

#[derive(Debug)]
struct KnownLoad {
    load: EngineLoad,
    verdict: LoadVerdict,
    /// A report has shown the load. Further orders that the engine accepts do not concern it, because an engine does not
    /// load a version again that it serves.
    is_served: bool,
}

/// Verdicts on the load that an engine serves and on the one that it was ordered last.
#[derive(Debug, Default)]
pub struct LoadVerification {
    known: Vec<KnownLoad>,
    /// Start time of the engine and number of load orders in the last report, and the time at which it was requested.
    observed: Option<(u64, u64, Instant)>,
    /// Time after which the engine has accepted the last of these orders; `None` if no earlier report of the same
    /// process of the engine was seen.
    accepted_after: Option<Instant>,
    /// Chunks written to the staging area since that report was requested, with the end of the last write; `None` while
    /// one is under way.
    writes: HashMap<(WeightsId, ChunkIndex), Option<Instant>>,
    /// Chunks that were written before or after the engine accepted the last of these orders: which of both is unknown.
    possibly_replaced: HashSet<(WeightsId, ChunkIndex)>,
}

impl LoadVerification {
    /// Creates a state without any verified load.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report that was requested at `requested_at`.
    pub fn observe(&mut self, report: &OrderReport, model: &ModelId, requested_at: Instant) {
        let (started_at_ms, load_orders) = (report.started_at_ms, report.load_orders);
        match self.observed {
            Some((known_start, known_orders, at)) if known_start == started_at_ms => {
                if load_orders < known_orders || load_orders == known_orders && requested_at < at {
                    return;
                }
                if load_orders > known_orders {
                    self.accepted_after = Some(at);
                    self.possibly_replaced = self.writes.keys().cloned().collect();
                } else {
                    // Chunks written before this report are not taken by the order that is accepted next.
                    let is_recent = |at: &Option<Instant>| at.is_none_or(|at| at >= requested_at);
                    self.writes.retain(|_, written_at| is_recent(written_at));
                }
            }
            _ => {
                self.accepted_after = None;
                self.writes.clear();
                self.possibly_replaced.clear();
            }
        }
        self.observed = Some((started_at_ms, load_orders, requested_at));
        let Some(served) = EngineLoad::of_report(model, report) else {
            // What the engine serves next is another load, also if it is of the same version.
            self.known.iter_mut().for_each(|known| known.is_served = false);
            return;
        };
        self.known.retain(|known| {
            let is_older = known.load.weights.version < served.weights.version;
            known.load.started_at_ms == started_at_ms && !is_older
        });
        // Weights that an engine serves although it has accepted no order were there when the platform started it.
        if load_orders == 0 && self.verdict(&served) == LoadVerdict::Unverified {
            self.record(served.clone(), LoadVerdict::Verified);
        }
        for known in self.known.iter_mut().filter(|known| known.load == served) {
            known.is_served = true;
        }
    }

    fn record(&mut self, load: EngineLoad, verdict: LoadVerdict) {
        self.known.retain(|known| !known.load.is_same_version(&load));
        self.known.push(KnownLoad { load, verdict, is_served: false });
    }

    /// Records that a chunk of `weights` is being written to the staging area.
    pub fn record_write(&mut self, weights: &WeightsId, index: ChunkIndex) {
        self.writes.insert((weights.clone(), index), None);
    }

    /// Records the end of a write.
    pub fn record_written(&mut self, weights: &WeightsId, index: ChunkIndex, now: Instant) {
        if let Some(written_at) = self.writes.get_mut(&(weights.clone(), index)) {
            *written_at = Some(now);
        }
    }

    /// Records the staged chunks that were missing or corrupt when they were read after the engine had accepted the order
    /// of `load`. Chunks that were written at about the time of the acceptance count as corrupt, because the engine may
    /// have taken what was there before.
    pub fn record_read(&mut self, load: EngineLoad, mut corrupt: ChunkSet) -> LoadVerdict {
        for index in self.possibly_replaced(&load) {
            corrupt.insert(index);
        }
        let verdict = match corrupt.count() {
            0 => LoadVerdict::Verified,
            _ => LoadVerdict::Corrupt(corrupt),
        };
        self.record(load, verdict.clone());
        verdict
    }

    /// Chunks of a load that this process wrote before or after the engine took them: which of both is unknown.
    #[must_use]
    pub fn possibly_replaced(&self, load: &EngineLoad) -> Vec<ChunkIndex> {
        let is_observed = self.is_observed(load);
        let replaced = self.possibly_replaced.iter().filter(|_| is_observed);
        let written = self.writes.keys().filter(|_| !is_observed);
        let chunks = replaced.chain(written).filter(|(weights, _)| *weights == load.weights);
        chunks.map(|(_, index)| *index).collect()
    }

    /// Records that an earlier process of the agent has verified `load`, which the engine serves; true if that is news. What
    /// this process has read takes precedence.
    pub fn record_verified(&mut self, load: EngineLoad) -> bool {
        let is_news = self.verdict(&load) == LoadVerdict::Unverified && self.is_inherited(&load);
        if is_news {
            self.known.push(KnownLoad { load, verdict: LoadVerdict::Verified, is_served: true });
        }
        is_news
    }

    /// Verdict on a load.
    #[must_use]
    pub fn verdict(&self, load: &EngineLoad) -> LoadVerdict {
        let known = self.known.iter().find(|known| known.load.is_same_version(load));
        match known {
            Some(known) if known.load == *load => known.verdict.clone(),
            Some(KnownLoad { verdict: LoadVerdict::Verified, is_served: true, .. }) => {
                LoadVerdict::Verified
            }
            _ => LoadVerdict::Unverified,
        }
    }

    /// True if the engine had accepted the order of `load` before this process read its first report, so that an earlier
    /// process of the agent may have verified the load.
    #[must_use]
    pub fn is_inherited(&self, load: &EngineLoad) -> bool {
        self.accepted_after.is_none() && self.is_observed(load)
    }

    /// True if the last report counts the order of `load` as the last one.
    fn is_observed(&self, load: &EngineLoad) -> bool {
        self.observed.is_some_and(|(started_at_ms, load_orders, _)| {
            started_at_ms == load.started_at_ms && load_orders == load.load_orders
        })
    }
}

/// Layers that an engine keeps when it gives up those that were loaded from the `corrupt` ones of `chunks` chunks: the
/// longest range of other layers without the first layer, because an engine that lacks the first layer counts as
/// incomplete everywhere. Empty if there is no such layer.
#[must_use]
pub fn kept_layers(corrupt: &ChunkSet, chunks: u32, layers: u32) -> Range<u32> {
    let is_valid = |layer: u32| {
        let (chunks, layers, layer) = (u64::from(chunks), u64::from(layers), u64::from(layer));
        let needed = layer * chunks / layers..((layer + 1) * chunks).div_ceil(layers);
        !needed.into_iter().any(|index| u32::try_from(index).is_ok_and(|i| corrupt.contains(i)))
    };
    let mut best = 0..0;
    let mut start = 1;
    for layer in 1..layers {
        if !is_valid(layer) {
            start = layer + 1;
        } else if layer + 1 - start > best.end - best.start {
            best = start..layer + 1;
        }
    }
    best
}
