//! Configuration service, host list and sources of weights.

use std::{net::SocketAddr, time::Duration};

use base::{ContentDigest, Revision};
use bytes::Bytes;
use config::{FleetConfig, HostList};
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};

use crate::{error::PlatformError, http::HttpClient};

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(120);
/// Largest manifest: 65,536 chunks of 67 bytes each.
const MAX_MANIFEST_BYTES: usize = 5 << 20;
const MAX_CHUNK_BYTES: usize = 8 << 20;

/// The platform's configuration service; it can only be read and watched.
pub trait ConfigService: Send + Sync {
    /// Waits up to `wait` for a document whose revision is above `after`; `None` if there is none.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Bytes>, PlatformError>>;
}

/// The platform's lagging list of live and leaving hosts.
pub trait HostDirectory: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>>;
}

/// A weight store or the origin.
pub trait WeightSource: Send + Sync {
    /// Reads the manifest of this digest; the bytes are not verified.
    ///
    /// # Errors
    /// Fails if the source does not answer, refuses or does not hold it.
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>>;

    /// Reads a chunk of this manifest; the bytes are not verified.
    ///
    /// # Errors
    /// Fails if the source does not answer, refuses or does not hold it.
    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>>;
}

/// Configuration service over HTTP.
pub struct HttpConfigService {
    client: HttpClient,
}

impl HttpConfigService {
    /// Creates the adapter.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }
}

impl ConfigService for HttpConfigService {
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/config?after={after}&wait_ms={}", wait.as_millis());
            let limit = FleetConfig::MAX_BYTES;
            let (status, document) = self
                .client
                .fetch(Method::GET, &path, Bytes::new(), limit, wait + READ_TIMEOUT)
                .await?;
            Ok((status != StatusCode::NOT_MODIFIED.as_u16()).then_some(document))
        })
    }
}

/// Host list over HTTP.
pub struct HttpHostDirectory {
    client: HttpClient,
}

impl HttpHostDirectory {
    /// Creates the adapter.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }
}

impl HostDirectory for HttpHostDirectory {
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let call = self.client.fetch(
                Method::GET,
                "/v1/hosts",
                Bytes::new(),
                HostList::MAX_BYTES,
                READ_TIMEOUT,
            );
            Ok(call.await?.1)
        })
    }
}

/// Weight store or origin over HTTP.
pub struct HttpWeightSource {
    client: HttpClient,
}

impl HttpWeightSource {
    /// Creates the adapter.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }
}

impl WeightSource for HttpWeightSource {
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/manifests/{digest}");
            let call = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_MANIFEST_BYTES,
                TRANSFER_TIMEOUT,
            );
            Ok(call.await?.1)
        })
    }

    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/chunks/{digest}/{index}");
            let call = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_CHUNK_BYTES,
                TRANSFER_TIMEOUT,
            );
            Ok(call.await?.1)
        })
    }
}
