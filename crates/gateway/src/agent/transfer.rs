//! Transfers the declared weights to the staging area and orders the engine to load them.

mod loading;
mod verifying;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use chunks::{
    ChunkManifest, ChunkSet, ChunkSwarm, EngineLoad, LoadOrder, OriginGate, SwarmOptions,
    WeightsId, WeightsTransfer,
};
use log::{info, warn};
use rand::seq::IndexedRandom;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use wire::{BriefRequest, Notice, Payload};

use super::{
    downloads::{DownloadResult, DownloadTasks},
    engine::is_unanswered,
    heartbeats::chunk_notice,
    shared::{AgentAssignment, AgentShared},
};
use crate::peers::NoticeSocket;

/// Maximum time between two steps of the transfer task, which is also woken by events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two steps that are not caused by an event, so that many short backoffs do not occupy the
/// processor.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two notices about the chunks that this agent holds, while some are still missing.
const NOTICE_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between two queries to the other agents while chunks are missing, because notices may be lost.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(800);
const STAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the transfer task.
struct TransferTask {
    shared: Arc<AgentShared>,
    socket: NoticeSocket,
    downloads: DownloadTasks,
    last_notice: Option<Instant>,
    last_query: Option<Instant>,
    /// Weights of which chunks have arrived since the last notice.
    unannounced: HashSet<WeightsId>,
    /// Load order that the engine has accepted or may accept.
    pending_load: Option<LoadOrder>,
    /// Time before which no load is ordered, after the engine has refused an order.
    load_paused_until: Option<Instant>,
    /// Weights that are completely staged, and the time since which they are.
    staged: Option<(WeightsId, Instant)>,
    /// Times of the declarations of versions that are newer than the loaded one.
    declarations: Vec<(WeightsId, Instant)>,
    has_seen_engine: bool,
    /// Assignment whose agents all transfers know.
    applied: Option<Arc<AgentAssignment>>,
    /// Position of this agent in the order in which the engines load a version, and the assignment it is based on.
    load_position: Option<(Arc<AgentAssignment>, WeightsId, u32)>,
    /// Manifest of the weights that the engine serves or was ordered to load.
    load_manifest: Option<Arc<ChunkManifest>>,
    /// Load that waits for its verification, and the time since which it does.
    unverified: Option<(EngineLoad, Instant)>,
    /// Time before which the engine is not ordered again to give up layers.
    repair_paused_until: Option<Instant>,
}

/// Runs the transfer task until it is dropped.
pub(super) async fn run(shared: Arc<AgentShared>, socket: NoticeSocket) {
    let (sender, mut results) = mpsc::unbounded_channel();
    let downloads = DownloadTasks::new(shared.clone(), sender);
    let mut task = TransferTask {
        shared,
        socket,
        downloads,
        last_notice: None,
        last_query: None,
        unannounced: HashSet::new(),
        pending_load: None,
        load_paused_until: None,
        staged: None,
        declarations: Vec::new(),
        has_seen_engine: false,
        applied: None,
        load_position: None,
        load_manifest: None,
        unverified: None,
        repair_paused_until: None,
    };
    loop {
        tokio::select! {
            Some(result) = results.recv() => task.handle_result(result).await,
            () = task.shared.wake_transfer.notified() => {}
            () = sleep(task.time_to_next_step()) => {}
        }
        while let Ok(result) = results.try_recv() {
            task.handle_result(result).await;
        }
        task.step().await;
    }
}

impl TransferTask {
    async fn step(&mut self) {
        self.refresh_assignment().await;
        let Some(assignment) = self.shared.assignment() else { return };
        let has_report = self.shared.report().is_some();
        if !has_report && self.shared.settings.is_first_start && !self.has_seen_engine {
            return;
        }
        self.has_seen_engine |= has_report;
        let loaded = self.shared.loaded_version();
        self.settle_load(&assignment);
        self.verify_load(&assignment).await;
        self.repair_load(&assignment).await;
        let now = self.shared.clock.now();
        // Older transfers continue while the manifest is being searched.
        if self.shared.transfers().get(&assignment.weights).is_none() {
            self.downloads.search_manifest(&assignment, &assignment.weights, now);
        }
        let chunk_time = self.shared.chunk_time(&assignment);
        {
            let mut transfers = self.shared.transfers();
            transfers.prune(loaded);
            if let Some(dropped) = transfers.drop_superseded(chunk_time, now) {
                let (model, version) = (dropped.model, dropped.version);
                info!("event=transfer_superseded model={model} version={version}");
            }
        }
        let unverified = self.unverified.as_ref().map(|(load, _)| &load.weights);
        self.downloads.cancel_unwanted(&assignment.weights, unverified);
        if self.shared.report().is_some() {
            self.read_staging(loaded).await;
            self.stage();
        }
        let now = self.shared.clock.now();
        self.start_fetches(&assignment, now);
        self.send_notices(now);
        self.load_when_due(&assignment, loaded).await;
        self.shared.set_weights_at(self.weights_at(&assignment, loaded));
    }

    fn start_fetches(&mut self, assignment: &Arc<AgentAssignment>, now: Instant) {
        let is_applied =
            self.applied.as_ref().is_some_and(|applied| Arc::ptr_eq(applied, assignment));
        let mut fetches = Vec::new();
        {
            let mut transfers = self.shared.transfers();
            let mut has_priority = true;
            for transfer in transfers.iter_mut() {
                if !is_applied {
                    let origin = assignment.origin.as_ref();
                    let data_centre = origin.map(|(_, data_centre)| data_centre.clone());
                    transfer.swarm.update_peers(&assignment.agents, data_centre, now);
                }
                let weights = transfer.swarm.name().clone();
                let next = transfer.swarm.next_fetches(has_priority, now, &mut rand::rng());
                fetches.extend(next.into_iter().map(|fetch| (weights.clone(), fetch)));
                has_priority &= transfer.swarm.is_complete();
            }
        }
        self.applied = Some(assignment.clone());
        for (weights, fetch) in fetches {
            self.downloads.fetch(&weights, fetch, assignment);
        }
    }

    /// Writes chunks to the staging area, with no more concurrent writes than the engine's host can copy quickly.
    fn stage(&self) {
        let weights = self.shared.transfers().staging().map(|item| item.swarm.name().clone());
        let Some(weights) = weights.filter(|weights| self.may_stage(weights)) else { return };
        let chunks = self.shared.transfers().get_mut(&weights).map(WeightsTransfer::next_to_stage);
        for (index, bytes) in chunks.into_iter().flatten() {
            self.shared.loads().record_write(&weights, index);
            let (shared, weights) = (self.shared.clone(), weights.clone());
            tokio::spawn(async move {
                let staged =
                    timeout(STAGE_TIMEOUT, shared.ports.engine.stage(&weights.model, index, bytes));
                let error = match staged.await {
                    Ok(Ok(())) => None,
                    Ok(Err(error)) => Some(error.to_string()),
                    Err(_) => Some("timeout".to_owned()),
                };
                shared.loads().record_written(&weights, index, shared.clock.now());
                if let Some(error) = &error {
                    warn!("event=stage_failed piece={index} error=\"{error}\"");
                }
                if let Some(transfer) = shared.transfers().get_mut(&weights) {
                    transfer.record_staged(index, error.is_none());
                }
                if error.is_none() {
                    shared.wake_transfer.notify_one();
                }
            });
        }
    }

    /// Reads the contents of the staging area after a start of this process or of the engine.
    async fn read_staging(&self, loaded: u64) {
        if !self.shared.staging_unknown.swap(false, Ordering::Relaxed) {
            return;
        }
        let Some((weights, manifest)) = self
            .shared
            .transfers()
            .staging()
            .map(|transfer| (transfer.swarm.name().clone(), transfer.swarm.manifest().clone()))
        else {
            self.shared.staging_unknown.store(true, Ordering::Relaxed);
            return;
        };
        let Some(staged) = self.valid_staged(&weights, &manifest, loaded).await else {
            self.shared.staging_unknown.store(true, Ordering::Relaxed);
            return;
        };
        info!(
            "event=staging_read model={} version={} staged={}",
            weights.model,
            weights.version,
            staged.count()
        );
        if let Some(transfer) = self.shared.transfers().get_mut(&weights) {
            transfer.reset_staged(&staged, self.shared.clock.now());
        }
    }

    /// Requests a new assignment if an entry announces one that differs from the known assignment.
    async fn refresh_assignment(&self) {
        let now = self.shared.clock.now();
        let known = self.shared.assignment();
        let is_stale = self.shared.is_stale();
        let common = &self.shared.settings.common;
        let mut entries: Vec<(bool, u64, SocketAddr)> = self
            .shared
            .membership()
            .alive(now)
            .filter(|entry| {
                is_stale
                    || known.as_ref().is_none_or(|known| known.digest != entry.assignment_digest)
            })
            .filter(|entry| known.as_ref().is_none_or(|known| entry.revision >= known.revision))
            .map(|entry| (common.is_local_region(&entry.data_centre), entry.revision, entry.peer))
            .collect();
        if entries.is_empty() && known.is_none() {
            let seeds = self.shared.seeds();
            entries.extend(seeds.iter().map(|seed| (false, 0, common.peer_address_on(seed.ip()))));
        }
        entries.sort_unstable_by(|left, right| right.cmp(left));
        let Some((_, _, entry)) = entries.first().copied() else { return };
        let entry = if known.is_some() {
            entry
        } else {
            entries.choose(&mut rand::rng()).map_or(entry, |entry| entry.2)
        };
        let request = Payload::BriefRequest(BriefRequest {
            service: self.shared.settings.service.to_string(),
            upstream: self.shared.settings.engine.to_string(),
        });
        let requested = self.shared.clock.now();
        match self.shared.client.call(entry, request, ASSIGNMENT_TIMEOUT).await {
            Ok(Payload::BriefReply(reply)) => {
                let (version, revision, agents) =
                    (reply.version, reply.revision, reply.agents.len());
                let has_changed =
                    known.as_ref().is_none_or(|known| known.weights.version != version);
                if self.shared.set_assignment(reply, requested) && has_changed {
                    info!(
                        "event=weights_wanted version={version} revision={revision} agents={agents} entry={entry}"
                    );
                }
            }
            Ok(_) => warn!("event=brief_failed entry={entry} error=\"no assignment\""),
            Err(error) => warn!("event=brief_failed entry={entry} error=\"{error}\""),
        }
    }

    /// Starts the transfer of other weights.
    async fn begin(&mut self, manifest: ChunkManifest, gate: OriginGate) {
        let Some(assignment) = self.shared.assignment() else { return };
        let loaded = self.shared.loaded_version();
        if manifest.name != assignment.weights
            || self.shared.transfers().get(&manifest.name).is_some()
        {
            return;
        }
        let now = self.shared.clock.now();
        // The staged chunks belong to the loaded version, or to the version that the engine was going to load when it
        // restarted.
        let is_first = self.shared.transfers().newest().is_none();
        let staged = if is_first && self.shared.report().is_some() {
            self.shared.staging_unknown.store(false, Ordering::Relaxed);
            self.valid_staged(&assignment.weights, &manifest, loaded).await.unwrap_or_default()
        } else {
            ChunkSet::new()
        };
        info!(
            "event=transfer_started model={} version={} staged={} pieces={}",
            assignment.weights.model,
            assignment.weights.version,
            staged.count(),
            manifest.len()
        );
        let own = self.shared.own_peer();
        let mut swarm =
            ChunkSwarm::new(Arc::new(manifest), own, staged.clone(), SwarmOptions::default(), now);
        swarm.set_gate(gate);
        let transfer = WeightsTransfer::new(swarm, staged, assignment.declared_at, now);
        self.shared.transfers().begin(transfer, loaded);
        self.applied = None;
        self.last_query = None;
    }

    /// Returns the staged chunks that are valid; `None` if the engine does not respond. If this version is loaded, the chunks are only listed, because each
    /// one is verified before it is sent to another agent.
    async fn valid_staged(
        &self,
        weights: &WeightsId,
        manifest: &ChunkManifest,
        loaded: u64,
    ) -> Option<ChunkSet> {
        let engine = &self.shared.ports.engine;
        let mut valid = ChunkSet::new();
        let staged = match engine.list_staged(&weights.model).await {
            Ok(staged) => staged,
            Err(error) => {
                warn!("event=staged_unreadable error=\"{error}\"");
                return (!is_unanswered(&error)).then_some(valid);
            }
        };
        if loaded != 0 && loaded != weights.version {
            return Some(valid);
        }
        for index in staged.into_iter().filter(|index| *index < manifest.len()) {
            let is_valid = loaded == weights.version
                || match engine.read_staged(&weights.model, index).await {
                    Ok(bytes) => manifest.verify(index, &bytes),
                    Err(error) if is_unanswered(&error) => {
                        warn!("event=staged_unreadable piece={index} error=\"{error}\"");
                        return None;
                    }
                    Err(_) => false,
                };
            if is_valid {
                valid.insert(index);
            }
        }
        Some(valid)
    }

    async fn handle_result(&mut self, result: DownloadResult) {
        match result {
            DownloadResult::Chunk { weights, fetch, outcome } => {
                if self.downloads.record_chunk(&weights, fetch, outcome) {
                    self.unannounced.insert(weights);
                }
            }
            DownloadResult::Manifest { weights, source, manifest } => {
                let now = self.shared.clock.now();
                let found = self.downloads.record_manifest(&weights, source, manifest, now);
                if let Some((manifest, gate)) = found {
                    if self.unverified.as_ref().is_some_and(|(load, _)| load.weights == weights) {
                        self.load_manifest = Some(Arc::new(manifest.clone()));
                    }
                    self.begin(manifest, gate).await;
                }
            }
        }
    }

    /// Time until the next step if no event occurs before.
    fn time_to_next_step(&self) -> Duration {
        let now = self.shared.clock.now();
        let next_at = self.downloads.next_at(now);
        let wait = next_at.map_or(TICK_INTERVAL, |at| at.saturating_duration_since(now));
        wait.clamp(MIN_STEP_INTERVAL, TICK_INTERVAL)
    }

    fn send_notices(&mut self, now: Instant) {
        let has_passed = |at: Option<Instant>, span| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= span)
        };
        let may_query = has_passed(self.last_query, QUERY_INTERVAL);
        let may_announce = has_passed(self.last_notice, NOTICE_INTERVAL);
        let mut has_sent = false;
        for transfer in self.shared.transfers().iter_mut() {
            let is_complete = transfer.swarm.is_complete();
            let is_query = may_query && !is_complete;
            let is_announcement =
                self.unannounced.contains(transfer.swarm.name()) && (may_announce || is_complete);
            if is_query || is_announcement {
                has_sent = true;
                self.unannounced.remove(transfer.swarm.name());
                let targets = transfer.swarm.notice_targets(is_query, &mut rand::rng());
                let notice = chunk_notice(&transfer.swarm, is_query);
                self.socket.send(Notice::Chunk(notice), targets);
            }
        }
        if has_sent {
            self.last_notice = Some(now);
        }
        if may_query {
            self.last_query = Some(now);
        }
    }
}
