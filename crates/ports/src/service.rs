//! Plain services beside the model engines.

use std::net::SocketAddr;

use base::Incarnation;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    error::PlatformError,
    http::{HttpClient, UpstreamAnswer},
};

/// What a plain service says of itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Changes when the service restarts.
    pub incarnation: Incarnation,
    /// Requests in progress, with a lag.
    #[serde(default)]
    pub in_use: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: CompactString,
    /// Body.
    pub body: Bytes,
    /// False if the call must not be sent twice.
    pub idempotent: bool,
}

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Asks for the status.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn status(&self) -> BoxFuture<'_, Result<ServiceStatus, PlatformError>>;

    /// Sends one call, once.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or the connection breaks before the answer starts;
    /// [`PlatformError::is_not_sent`] tells whether the call can have run.
    fn call(&self, request: CallRequest) -> BoxFuture<'_, Result<UpstreamAnswer, PlatformError>>;
}

/// Plain service over HTTP.
pub struct HttpService {
    client: HttpClient,
    fresh_client: HttpClient,
}

impl HttpService {
    /// Creates the adapter.
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

    fn call(&self, request: CallRequest) -> BoxFuture<'_, Result<UpstreamAnswer, PlatformError>> {
        Box::pin(async move {
            let client = if request.idempotent { &self.client } else { &self.fresh_client };
            let headers = [("content-type", "application/json")];
            client.send(request.method, &request.path, &headers, request.body).await
        })
    }
}
