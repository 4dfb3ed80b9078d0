//! Stand-in for weight stores and the origin: serves chunks over a rate-limited link, counts bytes and injects faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Method, Request, Response, StatusCode, body::Frame, body::Incoming, header};

use crate::{
    error::StandinError,
    http::{ConnectionSwitch, HttpResponse, HttpServer, lock, plain_response},
    platform::{catalog::WeightCatalog, pace::PacedLink},
};

/// Number of bytes that are sent over the rate-limited link at a time.
const BLOCK_BYTES: usize = 64 << 10;

/// Fault that a weight store injects into a chunk response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// One bit of the chunk is flipped.
    Corrupt,
    /// The connection closes in the middle of the chunk.
    Truncate,
    /// The response stops in the middle of the chunk and the connection stays open.
    Stall,
    /// The request is refused with status 503.
    Refuse,
}

/// Bandwidth and queue limit of a weight store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Bandwidth of the link, shared by all readers.
    pub bytes_per_second: f64,
    /// Maximum queueing delay of the link; requests beyond it are refused with status 429.
    pub max_backlog: Duration,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self { bytes_per_second: 64.0 * 1024.0 * 1024.0, max_backlog: Duration::from_secs(2) }
    }
}

/// A weight store or the origin, with injectable faults.
#[derive(Debug)]
pub struct WeightStore {
    server: HttpServer,
    state: Arc<StoreState>,
}

#[derive(Debug)]
struct StoreState {
    catalog: Arc<WeightCatalog>,
    link: PacedLink,
    max_backlog: Duration,
    fault: Mutex<Option<(StoreFault, u32)>>,
    sent_bytes: AtomicU64,
    refused: AtomicU64,
}

impl WeightStore {
    /// Starts a store of the weights in `catalog`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        catalog: Arc<WeightCatalog>,
        options: StoreOptions,
    ) -> Result<Self, StandinError> {
        let state = Arc::new(StoreState {
            catalog,
            link: PacedLink::new(options.bytes_per_second),
            max_backlog: options.max_backlog,
            fault: Mutex::new(None),
            sent_bytes: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, ConnectionSwitch::new(), move |request| {
            let state = Arc::clone(&shared);
            Box::pin(async move { handle(state, request) })
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies a fault to the next `times` chunk requests.
    pub fn set_fault(&self, fault: StoreFault, times: u32) {
        *lock(&self.state.fault) = (times > 0).then_some((fault, times));
    }

    /// Closes all connections and refuses new ones while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.server.switch().set_refusing(down);
        if down {
            self.server.switch().cut();
        }
    }

    /// Number of chunk bytes sent so far.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::Relaxed)
    }

    /// Number of requests refused with status 429 so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::Relaxed)
    }
}

impl StoreState {
    fn take_fault(&self) -> Option<StoreFault> {
        let mut fault = lock(&self.fault);
        let (kind, times) = (*fault)?;
        *fault = (times > 1).then(|| (kind, times - 1));
        Some(kind)
    }
}

fn handle(state: Arc<StoreState>, request: Request<Incoming>) -> HttpResponse {
    let path: Vec<_> = request.uri().path().trim_start_matches('/').split('/').collect();
    match (request.method(), path.as_slice()) {
        (&Method::GET, ["v1", "manifests", digest]) => state
            .catalog
            .get(digest)
            .map_or_else(not_found, |image| plain_response(StatusCode::OK, image.manifest.clone())),
        (&Method::GET, ["v1", "chunks", digest, index]) => {
            let image = state.catalog.get(digest);
            let chunk = image.zip(index.parse().ok()).and_then(|(image, index)| image.chunk(index));
            chunk.map_or_else(not_found, |chunk| send_chunk(state, chunk))
        }
        _ => not_found(),
    }
}

fn not_found() -> HttpResponse {
    plain_response(StatusCode::NOT_FOUND, "")
}

fn send_chunk(state: Arc<StoreState>, chunk: Bytes) -> HttpResponse {
    let backlog = state.link.backlog();
    if backlog > state.max_backlog {
        state.refused.fetch_add(1, Ordering::Relaxed);
        return retry_later(StatusCode::TOO_MANY_REQUESTS, backlog);
    }
    let fault = state.take_fault();
    if fault == Some(StoreFault::Refuse) {
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, Duration::from_secs(1));
    }
    let length = chunk.len();
    let chunk = if fault == Some(StoreFault::Corrupt) { corrupt_copy(&chunk) } else { chunk };
    let sender = ChunkSender { state, chunk, offset: 0, fault };
    let blocks = stream::unfold(sender, |mut sender| async move {
        sender.next_block().await.map(|block| (block.map(Frame::data), sender))
    });
    let mut response = Response::new(StreamBody::new(blocks).boxed_unsync());
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}

fn retry_later(status: StatusCode, delay: Duration) -> HttpResponse {
    let mut response = plain_response(status, "");
    let seconds = delay.as_secs().max(1);
    response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    response
}

fn corrupt_copy(chunk: &Bytes) -> Bytes {
    let mut bytes = chunk.to_vec();
    let middle = bytes.len() / 2;
    if let Some(byte) = bytes.get_mut(middle) {
        *byte ^= 0x40;
    }
    bytes.into()
}

/// One chunk in transmission over the rate-limited link.
struct ChunkSender {
    state: Arc<StoreState>,
    chunk: Bytes,
    offset: usize,
    fault: Option<StoreFault>,
}

impl ChunkSender {
    async fn next_block(&mut self) -> Option<io::Result<Bytes>> {
        if self.offset >= self.chunk.len() {
            return None;
        }
        let in_second_half = self.offset * 2 >= self.chunk.len() || self.chunk.len() <= BLOCK_BYTES;
        match self.fault {
            Some(StoreFault::Stall) if in_second_half => std::future::pending().await,
            Some(StoreFault::Truncate) if in_second_half => {
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            _ => {}
        }
        let end = (self.offset + BLOCK_BYTES).min(self.chunk.len());
        let block = self.chunk.slice(self.offset..end);
        self.state.link.transmit(block.len()).await;
        self.state.sent_bytes.fetch_add(block.len() as u64, Ordering::Relaxed);
        self.offset = end;
        Some(Ok(block))
    }
}
