//! Model engines: status, load orders, generation and cache events.

use std::{net::SocketAddr, time::Duration};

use base::{ContentDigest, Incarnation, ModelId, Revision};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    error::PlatformError,
    http::{HttpClient, MAX_STATUS_BYTES, UpstreamResponse, collect, parse},
};

const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Lowest rate in bytes per second at which weights are uploaded to an engine on the same host, and the time for the rest
/// of the exchange.
const MIN_UPLOAD_RATE: u64 = 1 << 20;
const UPLOAD_MARGIN: Duration = Duration::from_secs(60);
const MAX_EVENTS_BYTES: usize = 1 << 20;
/// Header with the priority of a request.
const PRIORITY_HEADER: &str = "x-priority";

/// Sequence number of load orders, compared by revision, then by incarnation. An engine that checks fencing refuses
/// orders that are older than the last one it accepted.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingNumber {
    /// Revision of the configuration on which the order is based.
    pub revision: Revision,
    /// Incarnation of the agent that sends the order, or a higher number; see `weights::FencingNumber`.
    pub incarnation: Incarnation,
}

/// A model that an engine reports as loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Id of the model or adapter.
    pub model: ModelId,
    /// Digest of the manifest of its weights.
    pub manifest: ContentDigest,
}

/// Status reported by an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Incarnation of the engine process; changes on a restart.
    pub incarnation: Incarnation,
    /// Identifies the lifetime of the engine's caches; changes when they are lost.
    #[serde(default)]
    pub cache_epoch: u64,
    /// Number of requests in progress; may be slightly outdated.
    #[serde(default)]
    pub in_use: u32,
    /// Models that the engine serves.
    #[serde(default)]
    pub loaded: Vec<LoadedModel>,
    /// Fencing number of the last order that the engine accepted; `None` if it has accepted none.
    #[serde(default)]
    pub last_order: Option<FencingNumber>,
}

/// An order to load or unload a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOrder {
    /// Id of the model or adapter.
    pub model: ModelId,
    /// Digest of the manifest of its weights.
    pub manifest: ContentDigest,
    /// Fencing number of the order.
    pub fencing: FencingNumber,
}

/// A request to generate tokens.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// JSON body of the request, including the model and the offset.
    pub body: Bytes,
    /// Priority of the request; requests with a higher number go first.
    pub priority: u32,
}

/// Change of a cached prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is now cached.
    Added,
    /// The prefix is no longer cached.
    Evicted,
}

/// An event of an engine's prefix cache. Events may arrive late, and some may be missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events are missing.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: CompactString,
    /// Whether the prefix was added or evicted.
    pub kind: CacheEventKind,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// Interface to a model engine.
pub trait ModelEngine: Send + Sync {
    /// Requests the status of the engine.
    ///
    /// # Errors
    /// Fails if the engine does not respond in time or with a valid status.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, PlatformError>>;

    /// Uploads the weights of a version. `parts` are all of its chunks, in order and already verified. The
    /// timeout grows with their size.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached, refuses the weights or does not respond in time.
    fn put_weights(
        &self,
        manifest: ContentDigest,
        parts: Vec<Bytes>,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Orders the engine to load a model; returns `false` if it refused the order because of its fencing number.
    ///
    /// # Errors
    /// Fails if the outcome is unknown; it must then be determined with [`ModelEngine::status`].
    fn load(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>>;

    /// Orders the engine to unload a model; returns `false` if it refused the order because of its fencing number.
    ///
    /// # Errors
    /// Fails if the outcome is unknown.
    fn unload(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>>;

    /// Sends a request to generate tokens. Dropping the response cancels the stream.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or the connection breaks before the response starts.
    fn generate(
        &self,
        request: GenerateRequest,
    ) -> BoxFuture<'_, Result<UpstreamResponse, PlatformError>>;

    /// Reads the cache events whose sequence number is above `after`.
    ///
    /// # Errors
    /// Fails if the engine does not respond in time or with valid events.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, PlatformError>>;
}

/// [`ModelEngine`] over HTTP.
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client for the engine at `address`; does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }

    async fn order(&self, path: &str, order: LoadOrder) -> Result<bool, PlatformError> {
        let body =
            serde_json::to_vec(&order).map_err(|source| PlatformError::Malformed { source })?;
        match self
            .client
            .fetch(Method::POST, path, body.into(), MAX_STATUS_BYTES, ORDER_TIMEOUT)
            .await
        {
            Ok(_) => Ok(true),
            Err(PlatformError::Status { status }) if status == StatusCode::CONFLICT.as_u16() => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}

impl ModelEngine for HttpEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, PlatformError>> {
        Box::pin(self.client.read_status())
    }

    fn put_weights(
        &self,
        manifest: ContentDigest,
        parts: Vec<Bytes>,
    ) -> BoxFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/weights/{manifest}");
            let size: u64 = parts.iter().map(|part| part.len() as u64).sum();
            let limit = UPLOAD_MARGIN + Duration::from_secs(size / MIN_UPLOAD_RATE);
            let request = async {
                let response = self.client.send_parts(Method::PUT, &path, &[], parts).await?;
                collect(response, MAX_STATUS_BYTES).await.map(drop)
            };
            timeout(limit, request).await.map_err(|_| PlatformError::Timeout { limit })?
        })
    }

    fn load(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>> {
        Box::pin(self.order("/v1/load", order))
    }

    fn unload(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>> {
        Box::pin(self.order("/v1/unload", order))
    }

    fn generate(
        &self,
        request: GenerateRequest,
    ) -> BoxFuture<'_, Result<UpstreamResponse, PlatformError>> {
        Box::pin(async move {
            let priority = request.priority.to_string();
            let headers =
                [("content-type", "application/json"), (PRIORITY_HEADER, priority.as_str())];
            self.client.send(Method::POST, "/v1/generate", &headers, request.body).await
        })
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/cache-events?after={after}");
            let request = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_EVENTS_BYTES,
                EVENTS_TIMEOUT,
            );
            Ok(parse::<CacheEvents>(&request.await?.1)?.events)
        })
    }
}
