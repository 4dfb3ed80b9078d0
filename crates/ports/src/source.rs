//! Configuration service, host list and weight sources.

use std::{net::SocketAddr, time::Duration};

use base::{ContentDigest, Revision};
use bytes::Bytes;
use config::{FleetConfig, HostList};
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};

use crate::{error::PlatformError, http::HttpClient};

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum size of a manifest: room for 65,536 chunks of 67 bytes each.
const MAX_MANIFEST_BYTES: usize = 5 << 20;
const MAX_CHUNK_BYTES: usize = 8 << 20;

/// Interface to the platform's configuration service, which is read-only.
pub trait ConfigService: Send + Sync {
    /// Waits up to `wait` for a document with a revision above `after`; returns `None` if there is none.
    ///
    /// # Errors
    /// Fails if the service does not respond in time or refuses the request.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<Bytes>, PlatformError>>;
}

/// Interface to the platform's list of live and leaving hosts, which may be outdated.
pub trait HostDirectory: Send + Sync {
    /// Reads the list as an unparsed document.
    ///
    /// # Errors
    /// Fails if the platform does not respond in time or refuses the request.
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>>;
}

/// Interface to a weight store or the origin.
pub trait WeightSource: Send + Sync {
    /// Reads the manifest with this digest. The returned bytes are not verified.
    ///
    /// # Errors
    /// Fails if the source does not respond in time, refuses the request, or does not hold the requested object.
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>>;

    /// Reads chunk `index` of the manifest with this digest. The returned bytes are not verified.
    ///
    /// # Errors
    /// Fails if the source does not respond in time, refuses the request, or does not hold the requested object.
    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>>;
}

/// [`ConfigService`] over HTTP.
pub struct HttpConfigService {
    client: HttpClient,
}

impl HttpConfigService {
    /// Creates a client for the component at `address`; does not connect yet.
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

/// [`HostDirectory`] over HTTP.
pub struct HttpHostDirectory {
    client: HttpClient,
}

impl HttpHostDirectory {
    /// Creates a client for the component at `address`; does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }
}

impl HostDirectory for HttpHostDirectory {
    fn list(&self) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let request = self.client.fetch(
                Method::GET,
                "/v1/hosts",
                Bytes::new(),
                HostList::MAX_BYTES,
                READ_TIMEOUT,
            );
            Ok(request.await?.1)
        })
    }
}

/// [`WeightSource`] over HTTP.
pub struct HttpWeightSource {
    client: HttpClient,
}

impl HttpWeightSource {
    /// Creates a client for the component at `address`; does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }
}

impl WeightSource for HttpWeightSource {
    fn manifest(&self, digest: ContentDigest) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/manifests/{digest}");
            let request = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_MANIFEST_BYTES,
                TRANSFER_TIMEOUT,
            );
            Ok(request.await?.1)
        })
    }

    fn chunk(
        &self,
        digest: ContentDigest,
        index: u32,
    ) -> BoxFuture<'_, Result<Bytes, PlatformError>> {
        Box::pin(async move {
            let path = format!("/v1/chunks/{digest}/{index}");
            let request = self.client.fetch(
                Method::GET,
                &path,
                Bytes::new(),
                MAX_CHUNK_BYTES,
                TRANSFER_TIMEOUT,
            );
            Ok(request.await?.1)
        })
    }
}
