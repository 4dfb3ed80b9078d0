//! Model engines.

use std::{net::SocketAddr, time::Duration};

use base::{ContentDigest, Incarnation, ModelId, Revision};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    http::{HttpClient, MAX_STATUS_BYTES, UpstreamAnswer, collect, parse},
};

const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_EVENTS_BYTES: usize = 1 << 20;
/// Header that tells the engine the priority of a request.
const PRIORITY_HEADER: &str = "x-priority";

/// Orders load orders: a later revision wins, then a later incarnation.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingNumber {
    /// Revision of the configuration that asked for the load.
    pub revision: Revision,
    /// Incarnation of the agent that sent the order.
    pub incarnation: Incarnation,
}

/// A model that an engine names as loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Id of the model or adapter.
    pub model: ModelId,
    /// Digest of its manifest.
    pub manifest: ContentDigest,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Changes when the engine restarts.
    pub incarnation: Incarnation,
    /// Changes when the engine loses its caches.
    #[serde(default)]
    pub cache_epoch: u64,
    /// Requests in progress, with a lag.
    #[serde(default)]
    pub in_use: u32,
    /// Models that it serves.
    #[serde(default)]
    pub loaded: Vec<LoadedModel>,
    /// Fencing number of the last order that it took.
    #[serde(default)]
    pub last_order: Option<FencingNumber>,
}

/// An order to load or unload a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOrder {
    /// Id of the model or adapter.
    pub model: ModelId,
    /// Digest of its manifest.
    pub manifest: ContentDigest,
    /// Fencing number.
    pub fencing: FencingNumber,
}

/// A request to generate tokens.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// JSON of the request, with model and offset set.
    pub body: Bytes,
    /// Priority; higher goes first.
    pub priority: u32,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is now cached.
    Added,
    /// The prefix is no longer cached.
    Evicted,
}

/// An event of an engine's prefix cache; events come late and with gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a gap.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: CompactString,
    /// What happened.
    pub kind: CacheEventKind,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// A model engine.
pub trait ModelEngine: Send + Sync {
    /// Asks for the status.
    ///
    /// # Errors
    /// Fails if the engine does not answer.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, PlatformError>>;

    /// Hands over the whole verified weights.
    ///
    /// # Errors
    /// Fails if the engine does not take them.
    fn put_weights(
        &self,
        manifest: ContentDigest,
        parts: Vec<Bytes>,
    ) -> BoxFuture<'_, Result<(), PlatformError>>;

    /// Orders a load; `false` if the engine refused an old fencing number.
    ///
    /// # Errors
    /// Fails if the outcome is not known; it has to be read back with [`ModelEngine::status`].
    fn load(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>>;

    /// Orders to unload; `false` if the engine refused an old fencing number.
    ///
    /// # Errors
    /// Fails if the outcome is not known.
    fn unload(&self, order: LoadOrder) -> BoxFuture<'_, Result<bool, PlatformError>>;

    /// Generates tokens; dropping the answer cancels the stream.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or the connection breaks before the answer starts.
    fn generate(
        &self,
        request: GenerateRequest,
    ) -> BoxFuture<'_, Result<UpstreamAnswer, PlatformError>>;

    /// Cache events after a number.
    ///
    /// # Errors
    /// Fails if the engine does not answer.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, PlatformError>>;
}

/// Model engine over HTTP.
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates the adapter.
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
            let answer = self.client.send_parts(Method::PUT, &path, &[], parts).await?;
            collect(answer, MAX_STATUS_BYTES).await.map(drop)
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
    ) -> BoxFuture<'_, Result<UpstreamAnswer, PlatformError>> {
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
            let call = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_EVENTS_BYTES,
                EVENTS_TIMEOUT,
            );
            Ok(parse::<CacheEvents>(&call.await?.1)?.events)
        })
    }
}
