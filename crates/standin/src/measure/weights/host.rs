//! One host of a measured transfer: the agent's own transfer shell and chunk server on a loopback socket.

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
use node::weights::{ChunkServer, PeerLink, TransferShell};
use ports::{PlatformError, WeightSource};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use weights::{ChunkSet, FetchFault, FetchPlan, LinkPacer, PeerRecord};
use wire::{ChannelLimits, FleetKey, FrameChannel, NotHeld, Payload};

use super::net::{PacedLink, PacedStream, WritePath};

const FLEET_SECRET: &str = "measured transfers on loopback";
/// Interval at which a transfer looks at its timeouts.
const TICK: Duration = Duration::from_millis(5);

/// Idle channels kept for each peer; 400 hosts in one process otherwise use up its file descriptors.
const MAX_IDLE_CHANNELS: usize = 2;

/// Switches of the faults of one host.
#[derive(Debug, Default)]
pub(super) struct HostFaults {
    pub corrupts: AtomicBool,
    pub truncates: AtomicBool,
    pub lies: AtomicBool,
    pub paused: AtomicBool,
}

/// What every host of the fleet can look up.
pub(super) struct FleetNet {
    pub records: Vec<PeerRecord>,
    pub by_host: HashMap<HostId, usize>,
    pub faults: Vec<HostFaults>,
    pub up: Vec<Arc<PacedLink>>,
    pub down: Vec<Arc<PacedLink>>,
    /// Links out of and into each region.
    pub regions: HashMap<String, (Arc<PacedLink>, Arc<PacedLink>)>,
    pub addresses: RwLock<Vec<SocketAddr>>,
    /// Region that does not reach the others at present.
    pub cut_off: Mutex<Option<String>>,
    /// Chunks of each manifest, for hosts that claim to hold all of them.
    pub chunks: Mutex<HashMap<ContentDigest, u32>>,
}

impl FleetNet {
    pub fn index(&self, host: &str) -> Option<usize> {
        self.by_host.get(host).copied()
    }

    fn between(&self, from: usize, to: usize) -> Vec<Arc<PacedLink>> {
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        if from == to {
            return Vec::new();
        }
        vec![self.regions[from.as_str()].0.clone(), self.regions[to.as_str()].1.clone()]
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let cut_off = self.cut_off.lock().unwrap_or_else(PoisonError::into_inner);
        let (from, to) = (&self.records[from].region, &self.records[to].region);
        cut_off.as_ref().is_some_and(|region| (from == region) != (to == region))
    }

    async fn wait_while_stopped(&self, from: usize, to: usize) {
        let paused = |host: usize| self.faults[host].paused.load(Ordering::Relaxed);
        while paused(from) || paused(to) || self.is_cut(from, to) {
            tokio::time::sleep(TICK).await;
        }
    }
}

/// A running host.
pub(super) struct TransferHost {
    pub shell: Arc<TransferShell>,
    killed: CancellationToken,
}

impl TransferHost {
    /// Starts host `index`.
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
        let link = NetLink {
            net: net.clone(),
            own: index,
            key: FleetKey::new(FLEET_SECRET),
            idle: Mutex::default(),
        };
        let sources = sources
            .into_iter()
            .map(|source| {
                let net = net.clone();
                Arc::new(LinkedSource { net, own: index, source }) as Arc<dyn WeightSource>
            })
            .collect();
        let shell = TransferShell::new(
            plan,
            Arc::new(SystemClock),
            Arc::new(link),
            sources,
            LinkPacer::new(link_bytes_per_s),
            TICK,
            killed.clone(),
        );
        let server = ChunkServer::new(shell.clone());
        spawn(&killed, accept_loop(net.clone(), index, listener, server, killed.clone()));
        spawn(&killed, shell.clone().run());
        Ok(Self { shell, killed })
    }

    /// Ends every task of the host at once.
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
    let path = Arc::new(WritePath { up: net.up[own].clone(), between: OnceLock::new() });
    let stream = PacedStream::new(stream, path.clone());
    let key = FleetKey::new(FLEET_SECRET);
    let host = &net.records[own].host;
    let Ok(mut channel) = wire::accept(stream, &key, host, ChannelLimits::default()).await else {
        return;
    };
    let peer = channel.peer_host.clone();
    let Some(from) = net.index(&peer) else { return };
    let _ = path.between.set(net.between(own, from));
    while let Ok(payload) = channel.receiver.receive().await {
        net.wait_while_stopped(own, from).await;
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

/// Way of one host to the others.
struct NetLink {
    net: Arc<FleetNet>,
    own: usize,
    key: FleetKey,
    idle: Mutex<HashMap<SocketAddr, Vec<PeerStream>>>,
}

impl NetLink {
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

    async fn exchange(&self, peer: usize, payload: Payload) -> Result<Payload, FetchFault> {
        self.net.wait_while_stopped(self.own, peer).await;
        let address = self.net.addresses.read().unwrap_or_else(PoisonError::into_inner)[peer];
        let mut channel = self.open(address).await?;
        let answer = channel.call(payload).await.map_err(|_| FetchFault::Unreachable)?;
        self.net.wait_while_stopped(self.own, peer).await;
        self.release(address, channel);
        if let Payload::ChunkReply(reply) = &answer {
            let end = self.net.down[self.own].book_arrived(reply.data.len());
            tokio::time::sleep_until(end.into()).await;
        }
        Ok(self.damage(peer, answer))
    }

    /// Changes an answer as the faults of its sender say.
    fn damage(&self, peer: usize, mut answer: Payload) -> Payload {
        let faults = &self.net.faults[peer];
        match &mut answer {
            Payload::ChunkReply(reply) if faults.corrupts.load(Ordering::Relaxed) => {
                let mut data = BytesMut::from(&reply.data[..]);
                if let Some(byte) = data.last_mut() {
                    *byte ^= 1;
                }
                reply.data = data.freeze();
            }
            Payload::ChunkReply(reply) if faults.truncates.load(Ordering::Relaxed) => {
                reply.data.truncate(reply.data.len() / 2);
            }
            Payload::Have(have) if faults.lies.load(Ordering::Relaxed) => {
                let chunks = self.net.chunks.lock().unwrap_or_else(PoisonError::into_inner);
                let manifest = ContentDigest::from_slice(&have.manifest).ok();
                let count = manifest.and_then(|manifest| chunks.get(&manifest).copied());
                let mut all = ChunkSet::new(count.unwrap_or(0));
                for index in 0..all.length() {
                    all.insert(index);
                }
                have.bitmap = all.to_bitmap();
            }
            _ => {}
        }
        answer
    }
}

impl PeerLink for NetLink {
    fn call<'a>(
        &'a self,
        peer: &'a HostId,
        payload: Payload,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Payload, FetchFault>> {
        Box::pin(async move {
            let index = self.net.index(peer).ok_or(FetchFault::Unreachable)?;
            tokio::time::timeout(limit, self.exchange(index, payload))
                .await
                .map_err(|_| FetchFault::Stalled)?
        })
    }
}

/// A store or the origin behind the host's own link.
struct LinkedSource {
    net: Arc<FleetNet>,
    own: usize,
    source: Arc<dyn WeightSource>,
}

impl LinkedSource {
    async fn pass(&self, bytes: Result<Bytes, PlatformError>) -> Result<Bytes, PlatformError> {
        let bytes = bytes?;
        let end: Instant = self.net.down[self.own].book_arrived(bytes.len());
        tokio::time::sleep_until(end.into()).await;
        self.net.wait_while_stopped(self.own, self.own).await;
        Ok(bytes)
    }
}

impl WeightSource for LinkedSource {
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            self.net.wait_while_stopped(self.own, self.own).await;
            self.pass(self.source.manifest(digest).await).await
        })
    }

    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            self.net.wait_while_stopped(self.own, self.own).await;
            self.pass(self.source.chunk(digest, index).await).await
        })
    }
}
