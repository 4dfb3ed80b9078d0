//! Plain services, which are upstreams without a model engine.

use std::net::SocketAddr;

use base::Incarnation;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    http::{HttpClient, UpstreamResponse},
};

/// Status reported by a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Incarnation of the service process; changes on a restart.
    pub incarnation: Incarnation,
    /// Number of requests in progress; may be slightly outdated.
    #[serde(default)]
    pub in_use: u32,
}

/// Request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method of the request.
    pub method: Method,
    /// Path, including the query string.
    pub path: CompactString,
    /// Request body, sent as JSON.
    pub body: Bytes,
    /// False if executing the request twice would differ from executing it once; it is then sent on a new connection.
    pub idempotent: bool,
}

/// Interface to a plain service.
pub trait PlainService: Send + Sync {
    /// Requests the status of the service.
    ///
    /// # Errors
    /// Fails if the service does not respond in time or with a valid status.
    fn status(&self) -> BoxFuture<'_, Result<ServiceStatus, PlatformError>>;

    /// Sends a request exactly once, without retries.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or the connection breaks before the response starts. Unless
    /// [`PlatformError::is_not_sent`] is true, the request may have been executed.
    fn send(
        &self,
        request: ServiceRequest,
    ) -> BoxFuture<'_, Result<UpstreamResponse, PlatformError>>;
}

/// [`PlainService`] over HTTP.
pub struct HttpService {
    client: HttpClient,
    fresh_client: HttpClient,
}

impl HttpService {
    /// Creates a client for the service at `address`; does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
            fresh_client: HttpClient::with_fresh_connections(address),
        }
    }
}

impl PlainService for HttpService {
    fn status(&self) -> BoxFuture<'_, Result<ServiceStatus, PlatformError>> {
        Box::pin(self.client.read_status())
    }

    fn send(
        &self,
        request: ServiceRequest,
    ) -> BoxFuture<'_, Result<UpstreamResponse, PlatformError>> {
        Box::pin(async move {
            let client = if request.idempotent { &self.client } else { &self.fresh_client };
            let headers = [("content-type", "application/json")];
            client.send(request.method, &request.path, &headers, request.body).await
        })
    }
}
