//! Executes the fetches that [`FetchPlan`] decides on: from peers over frame channels, from origins over HTTP adapters.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base::{Clock, ContentDigest, HostId};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use log::debug;
use ports::{PlatformError, WeightSource};
use tokio_util::sync::CancellationToken;
use weights::{
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchId, FetchPlan, LinkPacer, LiveLoad,
    VerifiedChunk, WantedVersion,
};
use wire::{
    ChunkRequest, ChunkResponse, HeldChunks, HeldChunksRequest, ManifestRequest, ManifestResponse,
    Payload,
};

/// Upper bound for fetching a chunk from a peer; the plan cancels a stalled fetch long before.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for a peer's response to a request for held chunks or for a manifest.
const METADATA_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the plan is polled while there is nothing to fetch.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Connection to other hosts with one response per request. Measurements replace it with a simulated network.
pub trait PeerLink: Send + Sync {
    /// Sends a message to a host and waits for the response, for `limit` at most. Dropping the future closes the
    /// connection.
    fn exchange<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>>;
}

/// Runs the transfers of one host: polls the [`FetchPlan`] and executes its actions.
pub struct TransferDriver {
    plan: Mutex<FetchPlan>,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn PeerLink>,
    sources: Vec<Arc<dyn WeightSource>>,
    fetches: Mutex<HashMap<FetchId, CancellationToken>>,
    uploads: Mutex<LinkPacer>,
    killed: CancellationToken,
    poll_interval: Duration,
}

impl TransferDriver {
    /// Creates a driver for `plan`. `uploads` paces the chunks sent to peers, `poll_interval` is the interval at which
    /// the plan checks its timeouts while it fetches, and cancelling `killed` ends all tasks.
    #[must_use]
    pub fn new(
        plan: FetchPlan,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn PeerLink>,
        sources: Vec<Arc<dyn WeightSource>>,
        uploads: LinkPacer,
        poll_interval: Duration,
        killed: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            plan: Mutex::new(plan),
            clock,
            peers,
            sources,
            fetches: Mutex::default(),
            uploads: Mutex::new(uploads),
            killed,
            poll_interval,
        })
    }

    /// Polls the plan in an endless loop; spawn it as a task that ends when the node is killed.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.poll_plan();
            let poll_interval =
                if self.lock_plan().is_busy() { self.poll_interval } else { IDLE_POLL_INTERVAL };
            tokio::time::sleep(poll_interval).await;
        }
    }

    /// Replaces the list of wanted versions and starts or cancels fetches accordingly.
    pub fn set_wanted(self: &Arc<Self>, wanted: Vec<WantedVersion>) {
        let actions = self.lock_plan().set_wanted(self.clock.now(), wanted);
        self.execute(actions);
        self.poll_plan();
    }

    /// Sets the load of live requests on this host; transfers and uploads slow down in favour of them.
    pub fn set_load(&self, load: LiveLoad) {
        self.lock_plan().set_load(load);
        self.uploads.lock().unwrap_or_else(PoisonError::into_inner).set_load(load);
    }

    /// Restarts the timeouts after a pause of the process, so that the pause does not count as a stall.
    pub fn resume(&self) {
        self.lock_plan().resume(self.clock.now());
    }

    /// Locks the plan. Hold the guard only briefly and never across an await, since transfers and uploads wait for it.
    pub fn lock_plan(&self) -> MutexGuard<'_, FetchPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> std::time::Instant {
        self.clock.now()
    }

    /// Reserves link capacity for an upload of `bytes`; returns the delay before it may start.
    pub(super) fn admit_upload(&self, bytes: u64) -> Duration {
        let mut uploads = self.uploads.lock().unwrap_or_else(PoisonError::into_inner);
        uploads.admit(self.clock.now(), bytes)
    }

    /// Polls the plan and executes its actions; called after every event.
    pub(super) fn poll_plan(self: &Arc<Self>) {
        let actions = self.lock_plan().poll(self.clock.now());
        self.execute(actions);
    }

    fn execute(self: &Arc<Self>, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Cancel { id } => {
                    if let Some(token) = self.lock_fetches().remove(&id) {
                        token.cancel();
                    }
                }
                FetchAction::HeldChunks { manifest, peer } => {
                    let driver = self.clone();
                    self.spawn(self.killed.clone(), async move {
                        driver.query_held_chunks(manifest, &peer).await
                    });
                }
                FetchAction::Chunk { manifest, index, source, id } => {
                    let token = self.start_fetch(id);
                    let driver = self.clone();
                    self.spawn(token, async move {
                        driver.fetch_chunk(manifest, index, source, id).await;
                    });
                }
                FetchAction::Manifest { manifest, source, id } => {
                    let token = self.start_fetch(id);
                    let driver = self.clone();
                    self.spawn(token, async move {
                        driver.fetch_manifest(manifest, source, id).await;
                    });
                }
            }
        }
    }

    fn start_fetch(&self, id: FetchId) -> CancellationToken {
        let token = self.killed.child_token();
        self.lock_fetches().insert(id, token.clone());
        token
    }

    fn spawn(&self, token: CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(async move { token.run_until_cancelled(task).await });
    }

    fn lock_fetches(&self) -> MutexGuard<'_, HashMap<FetchId, CancellationToken>> {
        self.fetches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn query_held_chunks(self: &Arc<Self>, manifest: ContentDigest, peer: &HostId) {
        let bitmap = self.lock_plan().bitmap(manifest);
        let request = HeldChunksRequest { manifest: to_bytes(manifest), bitmap };
        let response =
            self.peers.exchange(peer, Payload::HeldChunksRequest(request), METADATA_TIMEOUT).await;
        let now = self.clock.now();
        match response {
            Ok(Payload::HeldChunks(HeldChunks { bitmap, queued, .. })) => {
                self.lock_plan().record_held_chunks(now, manifest, peer, &bitmap, queued);
            }
            // A peer without the manifest holds none of its chunks.
            Ok(Payload::NotHeld(_)) => {
                self.lock_plan().record_held_chunks(now, manifest, peer, &[], 0);
            }
            _ => self.lock_plan().record_held_chunks_failed(now, manifest, peer),
        }
        self.poll_plan();
    }

    async fn fetch_chunk(
        self: &Arc<Self>,
        digest: ContentDigest,
        index: u32,
        source: ChunkSource,
        id: FetchId,
    ) {
        let manifest = self.lock_plan().store().manifest(digest).cloned();
        let Some(manifest) = manifest else { return };
        let fetched = match &source {
            ChunkSource::Peer(peer) => self.chunk_from_peer(digest, index, peer).await,
            ChunkSource::Origin(origin) => match self.sources.get(*origin) {
                Some(store) => store.chunk(digest, index).await.map_err(|error| to_fault(&error)),
                None => Err(FetchFault::Unreachable),
            },
        };
        let verified = fetched.and_then(|data| VerifiedChunk::verify(&manifest, index, data));
        if let Err(fault) = &verified {
            debug!(
                "event=chunk_failed manifest={digest} index={index} source={source:?} fault={fault:?}"
            );
        }
        self.lock_fetches().remove(&id);
        let now = self.clock.now();
        let actions = self.lock_plan().record_chunk(now, digest, index, id, verified);
        self.execute(actions);
        self.poll_plan();
    }

    async fn chunk_from_peer(
        &self,
        digest: ContentDigest,
        index: u32,
        peer: &HostId,
    ) -> Result<Bytes, FetchFault> {
        let bitmap = self.lock_plan().bitmap(digest);
        let request = ChunkRequest { manifest: to_bytes(digest), index, bitmap };
        let response =
            self.peers.exchange(peer, Payload::ChunkRequest(request), CHUNK_TIMEOUT).await?;
        match response {
            Payload::ChunkResponse(ChunkResponse {
                index: received, data, bitmap, queued, ..
            }) => {
                if !bitmap.is_empty() {
                    let now = self.clock.now();
                    self.lock_plan().record_held_chunks(now, digest, peer, &bitmap, queued);
                }
                if received == index { Ok(data) } else { Err(FetchFault::Corrupt) }
            }
            Payload::NotHeld(not_held) if not_held.retry_after_ms > 0 => {
                Err(FetchFault::RetryAfter(Duration::from_millis(not_held.retry_after_ms)))
            }
            Payload::NotHeld(_) => Err(FetchFault::NotHeld),
            _ => Err(FetchFault::Corrupt),
        }
    }

    async fn fetch_manifest(
        self: &Arc<Self>,
        digest: ContentDigest,
        source: ChunkSource,
        id: FetchId,
    ) {
        let fetched = match &source {
            ChunkSource::Peer(peer) => self.manifest_from_peer(digest, peer).await,
            ChunkSource::Origin(origin) => match self.sources.get(*origin) {
                Some(store) => store.manifest(digest).await.map_err(|error| to_fault(&error)),
                None => Err(FetchFault::Unreachable),
            },
        };
        let manifest = fetched.and_then(|bytes| {
            let parsed = ChunkManifest::parse(&bytes, digest);
            parsed.map(Arc::new).map_err(|_| FetchFault::Corrupt)
        });
        self.lock_fetches().remove(&id);
        self.lock_plan().record_manifest(self.clock.now(), digest, id, manifest);
        self.poll_plan();
    }

    async fn manifest_from_peer(
        &self,
        digest: ContentDigest,
        peer: &HostId,
    ) -> Result<Bytes, FetchFault> {
        let request = ManifestRequest { manifest: to_bytes(digest) };
        let response =
            self.peers.exchange(peer, Payload::ManifestRequest(request), METADATA_TIMEOUT);
        match response.await? {
            Payload::ManifestResponse(ManifestResponse { value }) => Ok(value),
            Payload::NotHeld(_) => Err(FetchFault::NotHeld),
            _ => Err(FetchFault::Corrupt),
        }
    }
}

pub(super) fn to_bytes(digest: ContentDigest) -> Bytes {
    Bytes::copy_from_slice(digest.as_bytes())
}

fn to_fault(error: &PlatformError) -> FetchFault {
    match error {
        PlatformError::RateLimited { retry_after } => FetchFault::RetryAfter(*retry_after),
        PlatformError::Status { status: 404 } => FetchFault::NotHeld,
        PlatformError::Timeout { .. } => FetchFault::Stalled,
        PlatformError::TooLarge { .. } => FetchFault::Truncated,
        PlatformError::Malformed { .. } => FetchFault::Corrupt,
        _ => FetchFault::Unreachable,
    }
}
