//! A host of a measured transfer: the agent's transfer driver and chunk server on a loopback socket.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{ContentDigest, HostId, SystemClock};
use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use node::weights::{ChunkServer, PeerLink, TransferDriver};
use ports::{PlatformError, WeightSource};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use weights::{ChunkSet, FetchFault, FetchPlan, LinkPacer, PeerRecord};
use wire::{ChannelLimits, FleetKey, FrameChannel, NotHeld, Payload};

use super::net::{PacedLink, PacedStream, WritePath};

const FLEET_KEY: &str = "measured transfers on loopback";
/// Interval at which a transfer checks its timeouts.
const TICK: Duration = Duration::from_millis(5);

/// Maximum number of idle channels kept per peer. Without a limit, 400 hosts in one process would run out of file
/// descriptors.
const MAX_IDLE_CHANNELS: usize = 2;

/// Switches for the faults of one host.
#[derive(Debug, Default)]
pub(super) struct HostFaults {
    /// Chunks from this host arrive with a corrupt byte.
    pub corrupts: AtomicBool,
    /// Chunks from this host arrive truncated.
    pub truncates: AtomicBool,
    /// The host claims to hold all chunks and refuses all chunk requests.
    pub lies: AtomicBool,
    /// No messages pass to or from this host.
    pub paused: AtomicBool,
}

/// Links, addresses and faults of all hosts of the fleet, shared by the hosts.
pub(super) struct FleetNet {
    pub records: Vec<PeerRecord>,
    pub by_host: HashMap<HostId, usize>,
    pub faults: Vec<HostFaults>,
    /// Outgoing link of each host.
    pub up: Vec<Arc<PacedLink>>,
    /// Incoming link of each host.
    pub down: Vec<Arc<PacedLink>>,
    /// Outgoing and incoming link of each region.
    pub regions: HashMap<String, (Arc<PacedLink>, Arc<PacedLink>)>,
    pub addresses: RwLock<Vec<SocketAddr>>,
    /// Region that is currently partitioned from the others.
    pub partitioned_region: Mutex<Option<String>>,
    /// Number of chunks of each manifest, used by hosts that falsely claim to hold all chunks.
    pub chunks: Mutex<HashMap<ContentDigest, u32>>,
}

impl FleetNet {
    pub fn index(&self, host: &str) -> Option<usize> {
        self.by_host.get(host).copied()
    }

    fn links_between(&self, from: usize, to: usize) -> Vec<Arc<PacedLink>> {
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        if from == to {
            return Vec::new();
        }
        vec![self.regions[from.as_str()].0.clone(), self.regions[to.as_str()].1.clone()]
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let partitioned_region =
            self.partitioned_region.lock().unwrap_or_else(PoisonError::into_inner);
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        partitioned_region.as_ref().is_some_and(|region| (from == region) != (to == region))
    }

    async fn wait_while_paused(&self, from: usize, to: usize) {
        let paused = |host: usize| self.faults[host].paused.load(Ordering::Relaxed);
        while paused(from) || paused(to) || self.is_partitioned(from, to) {
            tokio::time::sleep(TICK).await;
        }
    }
}

/// A running host with its tasks.
pub(super) struct TransferHost {
    pub driver: Arc<TransferDriver>,
    killed: CancellationToken,
}

impl TransferHost {
    /// Binds a port for host `index` and spawns its tasks.
    pub async fn start(
        net: &Arc<FleetNet>,
        index: usize,
        plan: FetchPlan,
        sources: Vec<Arc<dyn WeightSource>>,
        link_bytes_per_s: u64,
    ) -> std::io::Result<Self> {
        let killed = CancellationToken::new();
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        net.addresses.write().unwrap_or_else(PoisonError::into_inner)[index] = address;
        let link = PacedPeerLink {
            net: net.clone(),
            own: index,
            key: FleetKey::new(FLEET_KEY),
            idle: Mutex::default(),
        };
        let sources = sources
            .into_iter()
            .map(|source| {
                let net = net.clone();
                Arc::new(PacedSource { net, own: index, source }) as Arc<dyn WeightSource>
            })
            .collect();
        let driver = TransferDriver::new(
            plan,
            Arc::new(SystemClock),
            Arc::new(link),
            sources,
            LinkPacer::new(link_bytes_per_s),
            TICK,
            killed.clone(),
        );
        let server = ChunkServer::new(driver.clone());
        spawn(&killed, accept_loop(net.clone(), index, listener, server, killed.clone()));
        spawn(&killed, driver.clone().run());
        Ok(Self { driver, killed })
    }

    /// Cancels all tasks of the host immediately.
    pub fn kill(&self) {
        self.killed.cancel();
    }
}

fn spawn(killed: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let killed = killed.clone();
    tokio::spawn(async move { killed.run_until_cancelled(task).await });
}

async fn accept_loop(
    net: Arc<FleetNet>,
    own: usize,
    listener: TcpListener,
    server: Arc<ChunkServer>,
    killed: CancellationToken,
) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn(&killed, serve(net.clone(), own, stream, server.clone()));
    }
}

async fn serve(net: Arc<FleetNet>, own: usize, stream: TcpStream, server: Arc<ChunkServer>) {
    let _ = stream.set_nodelay(true);
    let path = Arc::new(WritePath { up: net.up[own].clone(), links_between: OnceLock::new() });
    let stream = PacedStream::new(stream, path.clone());
    let key = FleetKey::new(FLEET_KEY);
    let host = &net.records[own].host;
    let Ok(mut channel) = wire::accept(stream, &key, host, ChannelLimits::default()).await else {
        return;
    };
    let peer = channel.peer_host.clone();
    let Some(from) = net.index(&peer) else { return };
    let _ = path.links_between.set(net.links_between(own, from));
    while let Ok(payload) = channel.receiver.receive().await {
        net.wait_while_paused(own, from).await;
        let lies = net.faults[own].lies.load(Ordering::Relaxed);
        let sent = match &payload {
            Payload::ChunkRequest(_) if lies => {
                channel.sender.send(Payload::NotHeld(NotHeld { retry_after_ms: 0 })).await
            }
            _ => server.serve(payload, &peer, &mut channel.sender).await,
        };
        if sent.is_err() {
            return;
        }
    }
}

type PeerStream = FrameChannel<TcpStream>;

/// Client side of one host's connections to the others, which applies delays and faults.
struct PacedPeerLink {
    net: Arc<FleetNet>,
    own: usize,
    key: FleetKey,
    idle: Mutex<HashMap<SocketAddr, Vec<PeerStream>>>,
}

impl PacedPeerLink {
    async fn open(&self, address: SocketAddr) -> Result<PeerStream, FetchFault> {
        let idle = self
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(&address)
            .and_then(Vec::pop);
        if let Some(channel) = idle {
            return Ok(channel);
        }
        let stream = TcpStream::connect(address).await.map_err(|_| FetchFault::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let host = &self.net.records[self.own].host;
        wire::connect(stream, &self.key, host, ChannelLimits::default())
            .await
            .map_err(|_| FetchFault::Unreachable)
    }

    fn release(&self, address: SocketAddr, channel: PeerStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let channels = idle.entry(address).or_default();
        if channels.len() < MAX_IDLE_CHANNELS {
            channels.push(channel);
        }
    }

    async fn exchange_over_link(
        &self,
        peer: usize,
        payload: Payload,
    ) -> Result<Payload, FetchFault> {
        self.net.wait_while_paused(self.own, peer).await;
        let address = self.net.addresses.read().unwrap_or_else(PoisonError::into_inner)[peer];
        let mut channel = self.open(address).await?;
        let response = channel.call(payload).await.map_err(|_| FetchFault::Unreachable)?;
        self.net.wait_while_paused(self.own, peer).await;
        self.release(address, channel);
        if let Payload::ChunkResponse(chunk) = &response {
            let end = self.net.down[self.own].book_arrived(chunk.data.len());
            tokio::time::sleep_until(end.into()).await;
        }
        Ok(self.apply_faults(peer, response))
    }

    /// Alters a response according to the faults of the peer that sent it.
    fn apply_faults(&self, peer: usize, mut response: Payload) -> Payload {
        let faults = &self.net.faults[peer];
        match &mut response {
            Payload::ChunkResponse(chunk) if faults.corrupts.load(Ordering::Relaxed) => {
                let mut data = BytesMut::from(&chunk.data[..]);
                if let Some(byte) = data.last_mut() {
                    *byte ^= 1;
                }
                chunk.data = data.freeze();
            }
            Payload::ChunkResponse(chunk) if faults.truncates.load(Ordering::Relaxed) => {
                chunk.data.truncate(chunk.data.len() / 2);
            }
            Payload::HeldChunks(held) if faults.lies.load(Ordering::Relaxed) => {
                let chunks = self.net.chunks.lock().unwrap_or_else(PoisonError::into_inner);
                let manifest = ContentDigest::from_slice(&held.manifest).ok();
                let count = manifest.and_then(|manifest| chunks.get(&manifest).copied());
                let mut all = ChunkSet::new(count.unwrap_or(0));
                for index in 0..all.length() {
                    all.insert(index);
                }
                held.bitmap = all.to_bitmap();
            }
            _ => {}
        }
        response
    }
}

impl PeerLink for PacedPeerLink {
    fn exchange<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>> {
        Box::pin(async move {
            let index = self.net.index(peer).ok_or(FetchFault::Unreachable)?;
            tokio::time::timeout(limit, self.exchange_over_link(index, payload))
                .await
                .map_err(|_| FetchFault::Stalled)?
        })
    }
}

/// A weight store or the origin, whose responses pass through the host's incoming link.
struct PacedSource {
    net: Arc<FleetNet>,
    own: usize,
    source: Arc<dyn WeightSource>,
}

impl PacedSource {
    async fn receive_over_link(
        &self,
        bytes: Result<Bytes, PlatformError>,
    ) -> Result<Bytes, PlatformError> {
        let bytes = bytes?;
        let end: Instant = self.net.down[self.own].book_arrived(bytes.len());
        tokio::time::sleep_until(end.into()).await;
        self.net.wait_while_paused(self.own, self.own).await;
        Ok(bytes)
    }
}

impl WeightSource for PacedSource {
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            self.net.wait_while_paused(self.own, self.own).await;
            self.receive_over_link(self.source.manifest(digest).await).await
        })
    }

    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            self.net.wait_while_paused(self.own, self.own).await;
            self.receive_over_link(self.source.chunk(digest, index).await).await
        })
    }
}
