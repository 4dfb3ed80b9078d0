//! Transfers of an agent: usually of one version, and of two while a newer version supersedes an older one.
//!
//! Only one version fits into an engine's staging area, so the chunks of the newer version are buffered in memory. They
//! are also buffered while the engine is still starting and cannot accept them.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::WeightsVersion;

use crate::{
    manifest::{ChunkIndex, ChunkSet, WeightsId},
    swarm::{ChunkSwarm, FetchId},
};

/// The transfer of an older version continues after a newer one is declared if at least `1 / KEEP_DIVISOR` of its
/// chunks have arrived. The first quarter of a transfer is the slow one, because the origin is the only source.
const KEEP_DIVISOR: u32 = 4;
/// Maximum number of chunks that are being staged at the same time.
const MAX_STAGING: usize = 3;
/// Expected duration of the rest of a transfer, as a multiple of its duration on an idle link.
const REMAINING_TIME_FACTOR: f64 = 1.5;

/// Transfer of one version, with its buffered and staged chunks.
#[derive(Debug)]
pub struct WeightsTransfer {
    /// Decides which chunks to fetch from which sources.
    pub swarm: ChunkSwarm,
    /// Time at which the version was declared; `None` if no process observed it.
    pub declared_at: Option<Instant>,
    started: Instant,
    buffered: HashMap<ChunkIndex, Bytes>,
    staged: ChunkSet,
    staging: HashSet<ChunkIndex>,
}

impl WeightsTransfer {
    /// Creates the transfer of a version; `staged` are the chunks that are already in the staging area.
    #[must_use]
    pub fn new(
        swarm: ChunkSwarm,
        staged: ChunkSet,
        declared_at: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            swarm,
            declared_at,
            started: now,
            buffered: HashMap::new(),
            staged,
            staging: HashSet::new(),
        }
    }

    /// Time since the start of the transfer.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Version of the weights.
    #[must_use]
    pub fn version(&self) -> WeightsVersion {
        self.swarm.name().version
    }

    /// Buffers a fetched and verified chunk.
    pub fn record_fetched(&mut self, id: FetchId, bytes: Bytes) {
        if let Some(index) = self.swarm.record_fetched(id) {
            self.buffered.insert(index, bytes);
        }
    }

    /// Bytes of a chunk; `None` if it is not buffered in memory.
    #[must_use]
    pub fn buffered(&self, index: ChunkIndex) -> Option<Bytes> {
        self.buffered.get(&index).cloned()
    }

    /// Chunks to write to the staging area now. The caller reports each result to [`WeightsTransfer::record_staged`].
    pub fn next_to_stage(&mut self) -> Vec<(ChunkIndex, Bytes)> {
        let capacity = MAX_STAGING.saturating_sub(self.staging.len());
        let next: Vec<(ChunkIndex, Bytes)> = self
            .buffered
            .iter()
            .filter(|(index, _)| !self.staging.contains(*index))
            .take(capacity)
            .map(|(index, bytes)| (*index, bytes.clone()))
            .collect();
        self.staging.extend(next.iter().map(|(index, _)| *index));
        next
    }

    /// Records whether a chunk could be staged. If not, it stays in memory and is staged again later.
    pub fn record_staged(&mut self, index: ChunkIndex, is_staged: bool) {
        self.staging.remove(&index);
        if is_staged && self.buffered.remove(&index).is_some() {
            self.staged.insert(index);
        }
    }

    /// Records that a chunk in the staging area is missing or corrupt.
    pub fn record_corrupt(&mut self, index: ChunkIndex) {
        self.staged.remove(index);
        if !self.buffered.contains_key(&index) {
            self.swarm.record_corrupt(index);
        }
    }

    /// Updates the content of the staging area after a restart of the engine. Chunks that are neither in `staged` nor
    /// buffered are fetched again.
    pub fn reset_staged(&mut self, staged: &ChunkSet) {
        for index in 0..self.swarm.manifest().len() {
            if !staged.contains(index) {
                self.record_corrupt(index);
            }
        }
    }

    /// True if every chunk is in the staging area.
    #[must_use]
    pub fn is_staged(&self) -> bool {
        self.staged.count() >= self.swarm.manifest().len()
    }

    fn should_continue(&self) -> bool {
        self.swarm.held().count() * KEEP_DIVISOR >= self.swarm.manifest().len()
    }
}

/// All transfers of an agent, the oldest version first.
#[derive(Debug, Default)]
pub struct TransferSet {
    transfers: Vec<WeightsTransfer>,
}

impl TransferSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the transfer of a version that is newer than all others. An older transfer of the same model continues
    /// only if at least a quarter of its chunks have arrived. `loaded` is the version that the engine serves.
    pub fn begin(&mut self, transfer: WeightsTransfer, loaded: WeightsVersion) {
        self.transfers.retain(|older| {
            older.version() > loaded
                && older.swarm.name().model == transfer.swarm.name().model
                && older.should_continue()
        });
        if self.transfers.len() > 1 {
            self.transfers.drain(..self.transfers.len() - 1);
        }
        self.transfers.push(transfer);
    }

    /// Drops versions that are not newer than `loaded`, except the newest one, and all older versions once the newest
    /// one is complete.
    pub fn prune(&mut self, loaded: WeightsVersion) {
        let Some(newest) = self.transfers.last() else { return };
        let version = newest.version();
        let is_replaced = newest.swarm.is_complete();
        self.transfers
            .retain(|item| item.version() == version || (item.version() > loaded && !is_replaced));
    }

    /// Frees the staging area for a newer version once the engine has accepted the order to load the older version.
    pub fn release_staging(&mut self, weights: &WeightsId) {
        if self.transfers.len() > 1 {
            self.remove(weights);
        }
    }

    /// Drops the oldest version if a newer one will arrive before `deadline`, because each switch of weights interrupts
    /// the running requests. `deadline` is the latest time to order the load of the older version, `chunk_time` the
    /// transfer time of a chunk on an idle link. Returns whether a version was dropped.
    pub fn skip_oldest(&mut self, deadline: Instant, chunk_time: Duration, now: Instant) -> bool {
        let [_, newer] = self.transfers.as_slice() else { return false };
        if !newer.swarm.fleet_has_all() {
            return false;
        }
        let missing = newer.swarm.manifest().len().saturating_sub(newer.swarm.held().count());
        if now + chunk_time.mul_f64(f64::from(missing) * REMAINING_TIME_FACTOR) > deadline {
            return false;
        }
        self.transfers.remove(0);
        true
    }

    /// Transfer of the oldest version, whose chunks are written to the staging area.
    pub fn staging(&mut self) -> Option<&mut WeightsTransfer> {
        self.transfers.first_mut()
    }

    /// Transfer of the newest version.
    #[must_use]
    pub fn newest(&self) -> Option<&WeightsTransfer> {
        self.transfers.last()
    }

    /// Iterates over all transfers, the oldest version first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut WeightsTransfer> {
        self.transfers.iter_mut()
    }

    /// Looks up the transfer of a version.
    #[must_use]
    pub fn get(&self, weights: &WeightsId) -> Option<&WeightsTransfer> {
        self.transfers.iter().find(|transfer| transfer.swarm.name() == weights)
    }

    /// Looks up the transfer of a version for modification.
    pub fn get_mut(&mut self, weights: &WeightsId) -> Option<&mut WeightsTransfer> {
        self.transfers.iter_mut().find(|transfer| transfer.swarm.name() == weights)
    }

    /// Removes the transfer of a version.
    pub fn remove(&mut self, weights: &WeightsId) {
        self.transfers.retain(|transfer| transfer.swarm.name() != weights);
    }
}
