//! Borders to the platform: what the processes need from it, in the words of this system.

use std::{error::Error, net::SocketAddr, time::Duration};

use base::{ModelId, Revision};
use bytes::Bytes;
use compact_str::CompactString;
use fleet::{RawItem, WeightsVersion};
use futures_util::future::BoxFuture;
use hyper::{
    HeaderMap,
    http::{request, response},
};
use pieces::{PieceDigest, PieceIndex, WeightsName};
use ports::PlatformError;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallFacts {
    /// Id of this attempt of the caller.
    pub id: CompactString,
    /// Host name that was asked for, without a port.
    pub host: CompactString,
    /// Time that the caller will wait.
    pub time_left: Option<Duration>,
    /// Key that names the team.
    pub key: Option<CompactString>,
    /// Model for which it is meant.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub answer_tokens: u32,
}

/// What the system adds to a request that it sends to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// Time left.
    pub time_left: Option<Duration>,
    /// Upstream that may run it; any other must refuse it.
    pub upstream: &'a str,
    /// Team that holds the caller's key.
    pub team: Option<&'a str>,
    /// Rank at the upstream; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Version of the weights that must be loaded.
    pub version: Option<WeightsVersion>,
    /// Id of the last event that was delivered, if a stream is continued.
    pub resume_after: Option<&'a str>,
}

/// What an upstream's answer says besides its content.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AnswerFacts {
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// Another upstream has the address now.
    pub other_upstream: bool,
    /// It carries the upstream's signature.
    pub signed: bool,
    /// Id of the request that it answers.
    pub id: Option<CompactString>,
    /// Requests that run and wait at the upstream.
    pub load: Option<(u32, u32)>,
    /// Time for which the upstream is cold.
    pub cold_for: Option<Duration>,
    /// Time for which the connection may stay idle.
    pub keep_idle: Option<Duration>,
    /// The upstream closes the connection after the answer.
    pub closes: bool,
}

/// Why a request is not understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallFault {
    /// The host name is missing or not text.
    #[snafu(display("the request names no host"))]
    NoHost,
    /// A header that the system reads has no valid value.
    #[snafu(display("header {name} has no valid value"))]
    BadHeader {
        /// Name of the header.
        name: &'static str,
    },
}

/// Where the settings of a process come from, to be read again while it runs.
pub trait SettingsSource<T>: Send + Sync {
    /// True if the source has changed since it was last read.
    fn has_changed(&self) -> bool;

    /// Reads the settings.
    ///
    /// # Errors
    /// Fails if the source cannot be read or states values that are not allowed.
    fn read(&self) -> Result<T, Box<dyn Error + Send + Sync>>;
}

/// Translates between the heads of messages and what they say.
pub trait CallCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Fails if the head cannot be understood.
    fn read_call(&self, head: &request::Parts) -> Result<CallFacts, CallFault>;

    /// Headers for the upstream, from those of the caller.
    fn upstream_headers(&self, caller: &HeaderMap, send: &SendFacts<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Headers for the caller, from those of the upstream.
    fn caller_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Marks an answer of this system with the id of the request.
    fn mark_answer(&self, headers: &mut HeaderMap, id: &str);

    /// Query fields of a caller that asks for addresses: host name, region and data centre.
    fn read_address_query(&self, query: &str) -> AddressQuery;

    /// Body of the answer to such a caller.
    fn address_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Paths of the address query and of the readiness check.
    fn paths(&self) -> ServicePaths;
}

/// Paths that the platform calls on an entry.
#[derive(Clone, Copy, Debug)]
pub struct ServicePaths {
    /// Asks for addresses.
    pub addresses: &'static str,
    /// Asks whether the entry can serve.
    pub ready: &'static str,
}

/// Who asks for addresses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressQuery {
    /// Host name for which addresses are wanted.
    pub host: CompactString,
    /// Region of the caller.
    pub region: CompactString,
    /// Data centre of the caller.
    pub data_centre: CompactString,
}

/// A complete listing of the store.
#[derive(Clone, Debug)]
pub struct StateListing {
    /// All items.
    pub items: Vec<RawItem>,
    /// Revision at which the listing began.
    pub as_of: Revision,
}

/// Why the store gave no answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The changes after the revision are no longer available; list again.
    #[snafu(display("the store has dropped the changes after the revision"))]
    Forgotten,
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: PlatformError,
    },
    /// The answer has another shape than expected.
    #[snafu(display("the store's answer cannot be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// The platform's store, of which this system only reads.
pub trait StateStore: Send + Sync {
    /// Lists all items.
    fn list(&self) -> BoxFuture<'_, Result<StateListing, StoreError>>;

    /// Waits at most `wait` for changes after a revision. The listing holds the changes and the revision from which to
    /// continue.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StateListing, StoreError>>;
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Start of the engine in Unix milliseconds.
    pub born: u64,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// True while an order is carried out.
    pub busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Factor on the usual time of a step; above 1 if the engine is slow.
    pub pace: f64,
    /// Models of which all layers are loaded, with their versions.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResult {
    /// It has begun.
    Begun,
    /// It is in effect already.
    InEffect,
    /// It does not fit the engine's state, which must be read again.
    Conflict,
}

/// The engine beside an agent.
pub trait EngineControl: Send + Sync {
    /// Reads the state.
    fn report(&self) -> BoxFuture<'_, Result<EngineReport, PlatformError>>;

    /// Puts a piece into the staging area.
    fn stage<'a>(
        &'a self,
        model: &'a ModelId,
        index: PieceIndex,
        bytes: Bytes,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Reads a staged piece.
    fn staged<'a>(
        &'a self,
        model: &'a ModelId,
        index: PieceIndex,
    ) -> BoxFuture<'a, Result<Bytes, PlatformError>>;

    /// Numbers of the staged pieces.
    fn staged_list<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> BoxFuture<'a, Result<Vec<PieceIndex>, PlatformError>>;

    /// Orders to load what is staged, if the engine has accepted `orders` orders so far.
    fn load<'a>(
        &'a self,
        name: &'a WeightsName,
        orders: u64,
    ) -> BoxFuture<'a, Result<OrderResult, PlatformError>>;
}

/// The origin of weights.
pub trait PieceOrigin: Send + Sync {
    /// Reads the digests of all pieces.
    fn digests<'a>(
        &'a self,
        origin: SocketAddr,
        name: &'a WeightsName,
    ) -> BoxFuture<'a, Result<Vec<PieceDigest>, PlatformError>>;

    /// Reads a piece.
    fn piece<'a>(
        &'a self,
        origin: SocketAddr,
        name: &'a WeightsName,
        index: PieceIndex,
    ) -> BoxFuture<'a, Result<Bytes, PlatformError>>;
}
