//! Carries out the fetches that the plan decides: peers over frames, stores and origin over their adapters.

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
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchPlan, FetchTicket, FetchWant,
    LinkPacer, LiveLoad, VerifiedChunk,
};
use wire::{ChunkReply, ChunkRequest, Have, HaveRequest, ManifestReply, ManifestRequest, Payload};

/// Longest exchange; the plan abandons a stalled one long before.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest wait for an answer to a question about chunks.
const HAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of polls of the plan while nothing is to be fetched.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// Way to other hosts: one request, one answer.
pub trait PeerLink: Send + Sync {
    /// Sends a message to a host and waits for the answer. Dropping the future closes the connection.
    fn call<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>>;
}

/// Transfers of one host.
pub struct TransferShell {
    plan: Mutex<FetchPlan>,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn PeerLink>,
    sources: Vec<Arc<dyn WeightSource>>,
    fetches: Mutex<HashMap<FetchTicket, CancellationToken>>,
    uploads: Mutex<LinkPacer>,
    killed: CancellationToken,
    tick: Duration,
}

impl TransferShell {
    /// Creates the shell. `tick` is the interval at which the plan looks at its timeouts while it fetches, and
    /// `killed` ends every task.
    #[must_use]
    pub fn new(
        plan: FetchPlan,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn PeerLink>,
        sources: Vec<Arc<dyn WeightSource>>,
        uploads: LinkPacer,
        tick: Duration,
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
            tick,
        })
    }

    /// Polls the plan until the shell is killed.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.drive();
            let tick = if self.lock_plan().is_busy() { self.tick } else { IDLE_TICK };
            tokio::time::sleep(tick).await;
        }
    }

    /// Replaces the versions wanted.
    pub fn set_wants(self: &Arc<Self>, wants: Vec<FetchWant>) {
        let actions = self.lock_plan().set_wants(self.clock.now(), wants);
        self.execute(actions);
        self.drive();
    }

    /// Tells the transfers what live requests do on this host; they yield to them.
    pub fn set_load(&self, load: LiveLoad) {
        self.lock_plan().set_load(load);
        self.uploads.lock().unwrap_or_else(PoisonError::into_inner).set_load(load);
    }

    /// Restarts waiting times after a pause of the process.
    pub fn resume(&self) {
        self.lock_plan().resume(self.clock.now());
    }

    /// Access to the plan; hold it only for a moment.
    pub fn lock_plan(&self) -> MutexGuard<'_, FetchPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> std::time::Instant {
        self.clock.now()
    }

    /// Time to wait before `bytes` may be uploaded.
    pub(super) fn admit_upload(&self, bytes: u64) -> Duration {
        let mut uploads = self.uploads.lock().unwrap_or_else(PoisonError::into_inner);
        uploads.admit(self.clock.now(), bytes)
    }

    /// Lets the plan decide what to do next, after an event.
    pub(super) fn drive(self: &Arc<Self>) {
        let actions = self.lock_plan().poll(self.clock.now());
        self.execute(actions);
    }

    fn execute(self: &Arc<Self>, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Cancel { ticket } => {
                    if let Some(token) = self.lock_fetches().remove(&ticket) {
                        token.cancel();
                    }
                }
                FetchAction::Have { manifest, peer } => {
                    let shell = self.clone();
                    self.spawn(
                        self.killed.clone(),
                        async move { shell.ask(manifest, &peer).await },
                    );
                }
                FetchAction::Chunk { manifest, index, source, ticket } => {
                    let token = self.start_fetch(ticket);
                    let shell = self.clone();
                    self.spawn(token, async move {
                        shell.fetch_chunk(manifest, index, source, ticket).await;
                    });
                }
                FetchAction::Manifest { manifest, source, ticket } => {
                    let token = self.start_fetch(ticket);
                    let shell = self.clone();
                    self.spawn(token, async move {
                        shell.fetch_manifest(manifest, source, ticket).await;
                    });
                }
            }
        }
    }

    fn start_fetch(&self, ticket: FetchTicket) -> CancellationToken {
        let token = self.killed.child_token();
        self.lock_fetches().insert(ticket, token.clone());
        token
    }

    fn spawn(&self, token: CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(async move { token.run_until_cancelled(task).await });
    }

    fn lock_fetches(&self) -> MutexGuard<'_, HashMap<FetchTicket, CancellationToken>> {
        self.fetches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(self: &Arc<Self>, manifest: ContentDigest, peer: &HostId) {
        let bitmap = self.lock_plan().bitmap(manifest);
        let request = HaveRequest { manifest: to_bytes(manifest), bitmap };
        let answer = self.peers.call(peer, Payload::HaveRequest(request), HAVE_TIMEOUT).await;
        let now = self.clock.now();
        match answer {
            Ok(Payload::Have(Have { bitmap, queued, .. })) => {
                self.lock_plan().record_have(now, manifest, peer, &bitmap, queued);
            }
            // A peer that does not know the manifest yet holds none of its chunks.
            Ok(Payload::NotHeld(_)) => {
                self.lock_plan().record_have(now, manifest, peer, &[], 0);
            }
            _ => self.lock_plan().record_have_failed(now, manifest, peer),
        }
        self.drive();
    }

    async fn fetch_chunk(
        self: &Arc<Self>,
        digest: ContentDigest,
        index: u32,
        source: ChunkSource,
        ticket: FetchTicket,
    ) {
        let manifest = self.lock_plan().store().manifest(digest).cloned();
        let Some(manifest) = manifest else { return };
        let fetched = match &source {
            ChunkSource::Peer(peer) => self.chunk_from_peer(digest, index, peer).await,
            ChunkSource::Origin(origin) => match self.sources.get(*origin) {
                Some(store) => store.chunk(digest, index).await.map_err(|error| fault_of(&error)),
                None => Err(FetchFault::Unreachable),
            },
        };
        let verified = fetched.and_then(|data| VerifiedChunk::verify(&manifest, index, data));
        if let Err(fault) = &verified {
            debug!(
                "event=chunk_failed manifest={digest} index={index} source={source:?} fault={fault:?}"
            );
        }
        self.lock_fetches().remove(&ticket);
        let now = self.clock.now();
        let actions = self.lock_plan().record_chunk(now, digest, index, ticket, verified);
        self.execute(actions);
        self.drive();
    }

    async fn chunk_from_peer(
        &self,
        digest: ContentDigest,
        index: u32,
        peer: &HostId,
    ) -> Result<Bytes, FetchFault> {
        let bitmap = self.lock_plan().bitmap(digest);
        let request = ChunkRequest { manifest: to_bytes(digest), index, bitmap };
        let answer =
            self.peers.call(peer, Payload::ChunkRequest(request), EXCHANGE_TIMEOUT).await?;
        match answer {
            Payload::ChunkReply(ChunkReply { index: sent, data, bitmap, queued, .. }) => {
                if !bitmap.is_empty() {
                    let now = self.clock.now();
                    self.lock_plan().record_have(now, digest, peer, &bitmap, queued);
                }
                if sent == index { Ok(data) } else { Err(FetchFault::Corrupt) }
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
        ticket: FetchTicket,
    ) {
        let fetched = match &source {
            ChunkSource::Peer(peer) => self.manifest_from_peer(digest, peer).await,
            ChunkSource::Origin(origin) => match self.sources.get(*origin) {
                Some(store) => store.manifest(digest).await.map_err(|error| fault_of(&error)),
                None => Err(FetchFault::Unreachable),
            },
        };
        let manifest = fetched.and_then(|bytes| {
            let parsed = ChunkManifest::parse(&bytes, digest);
            parsed.map(Arc::new).map_err(|_| FetchFault::Corrupt)
        });
        self.lock_fetches().remove(&ticket);
        self.lock_plan().record_manifest(self.clock.now(), digest, ticket, manifest);
        self.drive();
    }

    async fn manifest_from_peer(
        &self,
        digest: ContentDigest,
        peer: &HostId,
    ) -> Result<Bytes, FetchFault> {
        let request = ManifestRequest { manifest: to_bytes(digest) };
        let call = self.peers.call(peer, Payload::ManifestRequest(request), HAVE_TIMEOUT);
        match call.await? {
            Payload::ManifestReply(ManifestReply { value }) => Ok(value),
            Payload::NotHeld(_) => Err(FetchFault::NotHeld),
            _ => Err(FetchFault::Corrupt),
        }
    }
}

pub(super) fn to_bytes(digest: ContentDigest) -> Bytes {
    Bytes::copy_from_slice(digest.as_bytes())
}

fn fault_of(error: &PlatformError) -> FetchFault {
    match error {
        PlatformError::RateLimited { retry_after } => FetchFault::RetryAfter(*retry_after),
        PlatformError::Status { status: 404 } => FetchFault::NotHeld,
        PlatformError::Timeout { .. } => FetchFault::Stalled,
        PlatformError::TooLarge { .. } => FetchFault::Truncated,
        PlatformError::Malformed { .. } => FetchFault::Corrupt,
        _ => FetchFault::Unreachable,
    }
}
