//! Traits and types through which the processes access the platform.

use std::{error::Error, net::SocketAddr, ops::Range, time::Duration};

use balance::LimitStatement;
use base::{ModelId, PromptPartId, Revision};
use bytes::Bytes;
use chunks::{ChunkDigest, ChunkIndex, WeightsId};
use compact_str::CompactString;
use fleet::{RawItem, WeightsVersion};
use futures_util::future::BoxFuture;
use hyper::{
    HeaderMap,
    http::{request, response},
};
use pace::UpstreamOccupancy;
use ports::{PlatformError, TransferObserver};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Metadata of a caller's request, read from its head.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RequestMeta {
    /// Id that the caller gave to this request; empty if it gave none.
    pub id: CompactString,
    /// Requested host name, without a port.
    pub host: CompactString,
    /// Time that the caller is going to wait; `None` if it states no deadline.
    pub time_left: Option<Duration>,
    /// API key, which identifies the team; `None` if the request carries none.
    pub key: Option<CompactString>,
    /// Requested model; `None` if the request names none.
    pub model: Option<ModelId>,
    /// Last event that the caller has received, if it resumes a stream itself.
    #[serde(default)]
    pub resume_after: Option<CompactString>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    #[serde(rename = "answer_tokens")]
    pub max_response_tokens: u32,
    /// Parts of the prompt that other requests may share, without the last part, which belongs to the request or to its
    /// session. Parts that cannot be read are missing.
    #[serde(default)]
    pub shared_parts: Vec<PromptPartId>,
}

/// Metadata that the system adds to a request when it sends it to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMeta<'a> {
    /// Time left until the deadline; `None` if the caller states no deadline.
    pub time_left: Option<Duration>,
    /// Upstream that may run the request; any other upstream must refuse it.
    pub upstream: &'a str,
    /// Team to which the caller's key belongs; `None` if the key is unknown or not needed.
    pub team: Option<&'a str>,
    /// Priority at the upstream, where 0 is the most urgent; `None` for requests without a model.
    pub priority: Option<u8>,
    /// Version of the weights that the upstream must have loaded to run the request; `None` if any version will do.
    pub version: Option<WeightsVersion>,
    /// Id of the last event that was delivered, if the request resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// Metadata of an upstream's response, read from its head.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ResponseMeta {
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// The address now belongs to another upstream.
    #[serde(rename = "other_upstream")]
    pub wrong_upstream: bool,
    /// The response carries the signature of an upstream.
    pub signed: bool,
    /// Id of the request to which this is the response.
    pub id: Option<CompactString>,
    /// Load that the upstream states; `None` if it states none.
    pub load: Option<UpstreamOccupancy>,
    /// Remaining cold period of the upstream; `None` if it is warm.
    pub cold_for: Option<Duration>,
    /// Limit of the upstream for the requests of all entries together.
    pub rate_limit: LimitStatement,
    /// The upstream is leaving, and takes no further requests after a while.
    #[serde(default)]
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this entry; `None` unless it refused the request for that
    /// time.
    #[serde(default)]
    pub retry_after: Option<Duration>,
    /// Idle timeout of the connection at the upstream; `None` if the upstream states none.
    #[serde(rename = "keep_idle")]
    pub keep_alive: Option<Duration>,
    /// The upstream closes the connection after this response.
    pub closes: bool,
}

/// Reasons why the head of a request is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RequestError {
    /// The host name is missing or is not valid text.
    #[snafu(display("the request has no valid host name"))]
    NoHost,
    /// A header that the system reads has an invalid value.
    #[snafu(display("invalid value of header {name}"))]
    BadHeader {
        /// Name of the invalid header.
        name: &'static str,
    },
}

/// Source of the settings of a process, which can be read again while the process runs.
pub trait SettingsSource<T>: Send + Sync {
    /// True if the source has changed since it was last read.
    fn has_changed(&self) -> bool;

    /// Reads the settings.
    ///
    /// # Errors
    /// Fails if the source cannot be read or contains invalid values.
    fn read(&self) -> Result<T, Box<dyn Error + Send + Sync>>;
}

/// Translates between the heads of HTTP messages and the metadata in them.
pub trait MessageCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Fails if the host name is missing or a header is invalid.
    fn read_request(&self, head: &request::Parts) -> Result<RequestMeta, RequestError>;

    /// Builds the headers for the upstream from those of the caller.
    fn upstream_headers(&self, caller: &HeaderMap, attempt: &AttemptMeta<'_>) -> HeaderMap;

    /// Reads the head of an upstream's response.
    fn read_response(&self, head: &response::Parts) -> ResponseMeta;

    /// Builds the headers for the caller from those of the upstream.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Adds the request id to a response that this system itself generates.
    fn mark_response(&self, headers: &mut HeaderMap, id: &str);

    /// Parses the query string of an address query. Missing fields are left empty.
    fn read_address_query(&self, query: &str) -> AddressQuery;

    /// Builds the body of the response to an address query.
    fn address_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Paths of the address query and of the readiness check.
    fn paths(&self) -> ServicePaths;
}

/// Paths of the requests that the platform and callers send to an entry itself.
#[derive(Clone, Copy, Debug)]
pub struct ServicePaths {
    /// Path of the address query.
    pub addresses: &'static str,
    /// Path of the readiness check.
    pub ready: &'static str,
}

/// Query of a caller for the addresses of entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressQuery {
    /// Host name for which addresses are requested.
    pub host: CompactString,
    /// Region of the caller; empty if unknown.
    pub region: CompactString,
    /// Data centre of the caller; empty if unknown.
    pub data_centre: CompactString,
}

/// Items that the store returned, from a complete listing or from a watch.
#[derive(Clone, Debug)]
pub struct StateListing {
    /// Returned items.
    pub items: Vec<RawItem>,
    /// Revision from which to watch next. For a listing, the revision at which it began, so some items may be newer.
    pub as_of: Revision,
    /// Time from the arrival of the head of the response, of the last page for a listing, to the arrival of its end.
    pub transfer_time: Duration,
}

/// Reasons why a request to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The store no longer has the changes after the requested revision; the items must be listed again.
    #[snafu(display("the store no longer has the changes after the requested revision"))]
    Compacted,
    /// The changes after the requested revision exceed the maximum size of a response; the items must be listed again.
    #[snafu(display(
        "the changes after the requested revision exceed the maximum size of a response"
    ))]
    TooManyChanges,
    /// The request to the platform failed.
    #[snafu(display("{source}"))]
    Request {
        /// Error of the platform client.
        source: PlatformError,
    },
    /// The response does not have the expected form.
    #[snafu(display("malformed response from the store: {reason}"))]
    Malformed {
        /// Description of the error in the response.
        reason: String,
    },
}

/// Read access to the platform's store. Responses may be large, so `observer` is told of their progress.
pub trait StateStore: Send + Sync {
    /// Lists all items.
    fn list<'a>(
        &'a self,
        observer: &'a dyn TransferObserver,
    ) -> BoxFuture<'a, Result<StateListing, StoreError>>;

    /// Waits at most `wait` for changes after a revision. The listing contains the changed items and the revision from
    /// which to continue.
    fn watch<'a>(
        &'a self,
        after: Revision,
        wait: Duration,
        observer: &'a dyn TransferObserver,
    ) -> BoxFuture<'a, Result<StateListing, StoreError>>;
}

/// State of an engine as it reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Start time of the engine in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Number of load orders that the engine has accepted since its start.
    #[serde(rename = "orders")]
    pub load_orders: u64,
    /// True while a load order is being carried out, which includes the time in which the running requests end.
    pub busy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Factor on the usual time of a generation step; above 1 if the engine is slow.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Completely loaded models, with the version of their weights.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadOrderResult {
    /// The engine has started to load.
    #[serde(rename = "Begun")]
    Started,
    /// The requested weights are already loaded.
    #[serde(rename = "InEffect")]
    AlreadyLoaded,
    /// The order does not match the engine's state, which must be read again.
    Conflict,
}

/// Control interface of the engine on an agent's host.
pub trait EngineControl: Send + Sync {
    /// Reads the state of the engine.
    fn report(&self) -> BoxFuture<'_, Result<EngineReport, PlatformError>>;

    /// Writes a chunk to the staging area.
    fn stage<'a>(
        &'a self,
        model: &'a ModelId,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Reads a staged chunk.
    fn read_staged<'a>(
        &'a self,
        model: &'a ModelId,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, PlatformError>>;

    /// Lists the indices of the staged chunks.
    fn list_staged<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> BoxFuture<'a, Result<Vec<ChunkIndex>, PlatformError>>;

    /// Orders the engine to load the staged weights. From then on the engine accepts no requests; it loads once its running
    /// requests have ended. The order is only accepted if the engine has accepted exactly `load_orders` orders since its
    /// start.
    fn load<'a>(
        &'a self,
        weights: &'a WeightsId,
        load_orders: u64,
    ) -> BoxFuture<'a, Result<LoadOrderResult, PlatformError>>;

    /// Orders the engine to give up all layers of its weights except `layers`, which may be empty. The next load takes the
    /// others from the staging area again. Like [`load`](Self::load), the order is only accepted after `load_orders` orders.
    fn keep_layers<'a>(
        &'a self,
        weights: &'a WeightsId,
        layers: Range<u32>,
        load_orders: u64,
    ) -> BoxFuture<'a, Result<LoadOrderResult, PlatformError>>;
}

/// Server from which weights are fetched if no agent has them.
pub trait ChunkOrigin: Send + Sync {
    /// Reads the digests of all chunks.
    fn digests<'a>(
        &'a self,
        origin: SocketAddr,
        weights: &'a WeightsId,
    ) -> BoxFuture<'a, Result<Vec<ChunkDigest>, PlatformError>>;

    /// Reads a chunk.
    fn chunk<'a>(
        &'a self,
        origin: SocketAddr,
        weights: &'a WeightsId,
        index: ChunkIndex,
    ) -> BoxFuture<'a, Result<Bytes, PlatformError>>;
}
