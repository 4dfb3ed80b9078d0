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
    list::{PieceIndex, PieceSet, WeightsName},
    swarm::{FetchTicket, PieceSwarm},
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
pub struct TransferSlot {
    /// Decides which chunks to fetch from which sources.
    pub swarm: PieceSwarm,
    /// Time at which the version was declared; `None` if no process observed it.
    pub declared_at: Option<Instant>,
    started: Instant,
    buffered: HashMap<PieceIndex, Bytes>,
    staged: PieceSet,
    staging: HashSet<PieceIndex>,
}

impl TransferSlot {
    /// Creates the transfer of a version; `staged` are the chunks that are already in the staging area.
    #[must_use]
    pub fn new(
        swarm: PieceSwarm,
        staged: PieceSet,
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
    pub fn record_fetched(&mut self, ticket: FetchTicket, bytes: Bytes) {
        if let Some(index) = self.swarm.record_fetched(ticket) {
            self.buffered.insert(index, bytes);
        }
    }

    /// Bytes of a chunk; `None` if it is not buffered in memory.
    #[must_use]
    pub fn buffered(&self, index: PieceIndex) -> Option<Bytes> {
        self.buffered.get(&index).cloned()
    }

    /// Chunks to write to the staging area now. The caller reports each result to [`TransferSlot::record_staged`].
    pub fn next_to_stage(&mut self) -> Vec<(PieceIndex, Bytes)> {
        let capacity = MAX_STAGING.saturating_sub(self.staging.len());
        let next: Vec<(PieceIndex, Bytes)> = self
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
    pub fn record_staged(&mut self, index: PieceIndex, is_staged: bool) {
        self.staging.remove(&index);
        if is_staged && self.buffered.remove(&index).is_some() {
            self.staged.insert(index);
        }
    }

    /// Records that a chunk in the staging area is missing or corrupt.
    pub fn record_spoilt(&mut self, index: PieceIndex) {
        self.staged.remove(index);
        if !self.buffered.contains_key(&index) {
            self.swarm.record_spoilt(index);
        }
    }

    /// Updates the content of the staging area after a restart of the engine. Chunks that are neither in `staged` nor
    /// buffered are fetched again.
    pub fn reset_staged(&mut self, staged: &PieceSet) {
        for index in 0..self.swarm.list().len() {
            if !staged.contains(index) {
                self.record_spoilt(index);
            }
        }
    }

    /// True if every chunk is in the staging area.
    #[must_use]
    pub fn is_staged(&self) -> bool {
        self.staged.count() >= self.swarm.list().len()
    }

    fn should_continue(&self) -> bool {
        self.swarm.held().count() * KEEP_DIVISOR >= self.swarm.list().len()
    }
}

/// All transfers of an agent, the oldest version first.
#[derive(Debug, Default)]
pub struct TransferSet {
    transfers: Vec<TransferSlot>,
}

impl TransferSet {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the transfer of a version that is newer than all others. An older transfer of the same model continues
    /// only if at least a quarter of its chunks have arrived. `loaded` is the version that the engine serves.
    pub fn begin(&mut self, transfer: TransferSlot, loaded: WeightsVersion) {
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
    pub fn settle(&mut self, loaded: WeightsVersion) {
        let Some(newest) = self.transfers.last() else { return };
        let version = newest.version();
        let is_replaced = newest.swarm.is_complete();
        self.transfers
            .retain(|item| item.version() == version || (item.version() > loaded && !is_replaced));
    }

    /// Frees the staging area for a newer version once the engine has accepted the order to load the older version.
    pub fn release_staging(&mut self, name: &WeightsName) {
        if self.transfers.len() > 1 {
            self.remove(name);
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
        let missing = newer.swarm.list().len().saturating_sub(newer.swarm.held().count());
        if now + chunk_time.mul_f64(f64::from(missing) * REMAINING_TIME_FACTOR) > deadline {
            return false;
        }
        self.transfers.remove(0);
        true
    }

    /// Transfer of the oldest version, whose chunks are written to the staging area.
    pub fn staging(&mut self) -> Option<&mut TransferSlot> {
        self.transfers.first_mut()
    }

    /// Transfer of the newest version.
    #[must_use]
    pub fn newest(&self) -> Option<&TransferSlot> {
        self.transfers.last()
    }

    /// Iterates over all transfers, the oldest version first.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut TransferSlot> {
        self.transfers.iter_mut()
    }

    /// Looks up the transfer of a version.
    #[must_use]
    pub fn get(&self, name: &WeightsName) -> Option<&TransferSlot> {
        self.transfers.iter().find(|transfer| transfer.swarm.name() == name)
    }

    /// Looks up the transfer of a version for modification.
    pub fn get_mut(&mut self, name: &WeightsName) -> Option<&mut TransferSlot> {
        self.transfers.iter_mut().find(|transfer| transfer.swarm.name() == name)
    }

    /// Removes the transfer of a version.
    pub fn remove(&mut self, name: &WeightsName) {
        self.transfers.retain(|transfer| transfer.swarm.name() != name);
    }
}
