//! Messages of the processes that run on the users' platform: heartbeats and notices in datagrams, and items,
//! assignments and chunks in frames.

use bytes::Bytes;
use prost::{Message, Oneof};
use snafu::{ResultExt, Snafu, ensure};

use super::{CrashNotice, LimitNotice, PromptPartNotice, SpeedNotice};

/// Content of a datagram: exactly one notice.
#[derive(Clone, Message, PartialEq)]
pub struct Datagram {
    /// The notice; `None` if its type is unknown to this version.
    #[prost(oneof = "Notice", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub notice: Option<Notice>,
}

/// All messages that can be sent in a datagram. Datagrams may be lost, duplicated and reordered.
#[derive(Clone, Oneof, PartialEq)]
pub enum Notice {
    /// Heartbeat of an entry.
    #[prost(message, tag = "1")]
    Entry(EntryHeartbeat),
    /// Heartbeat of an agent, with the load of its upstream.
    #[prost(message, tag = "2")]
    Agent(AgentHeartbeat),
    /// Set of chunks that an agent holds.
    #[prost(message, tag = "3")]
    Chunk(ChunkNotice),
    /// Evidence that a request crashes upstreams.
    #[prost(message, tag = "4")]
    Crash(CrashNotice),
    /// What an entry knows and uses of the limits of upstreams.
    #[prost(message, tag = "5")]
    Limits(LimitNotice),
    /// Evidence about prompt parts that may crash upstreams.
    #[prost(message, tag = "6")]
    PromptParts(PromptPartNotice),
    /// What an entry has measured of the speeds of upstreams.
    #[prost(message, tag = "7")]
    Speeds(SpeedNotice),
}

/// An entry, as known to the sender of a heartbeat.
#[derive(Clone, Message, PartialEq)]
pub struct EntryContact {
    /// Address of the entry for messages from other processes.
    #[prost(string, tag = "1")]
    pub peer: String,
    /// Time since the entry was last seen by the sender, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Heartbeat of an entry, sent to the other entries and to the agents.
#[derive(Clone, Message, PartialEq)]
pub struct EntryHeartbeat {
    /// Name of the process, for logs.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the process, chosen randomly at its start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat, which increases within an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Data centre of the entry.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Address at which the entry accepts requests of callers.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Address of the entry for messages from other processes.
    #[prost(string, tag = "6")]
    pub peer: String,
    /// True if the entry can serve callers.
    #[prost(bool, tag = "7")]
    pub ready: bool,
    /// True if the entry is about to stop.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Highest revision of an item that the entry knows.
    #[prost(uint64, tag = "9")]
    pub head: u64,
    /// Digest of the assignments that the entry gives to agents; if it changes, agents should request their assignment
    /// again.
    #[prost(uint64, tag = "10")]
    pub brief: u64,
    /// Other entries that the sender has recently seen.
    #[prost(message, repeated, tag = "11")]
    pub contacts: Vec<EntryContact>,
    /// Milliseconds since the store last responded to the entry; none if its last request failed.
    #[prost(uint32, optional, tag = "12")]
    pub store_age_ms: Option<u32>,
    /// Milliseconds since the state of the entry is known to have been current; none if it never was.
    #[prost(uint32, optional, tag = "13")]
    pub state_age_ms: Option<u32>,
    /// Version of the configuration in force; absent if the entry knows none, or in messages of older processes.
    #[prost(uint64, optional, tag = "14")]
    pub config_version: Option<u64>,
    /// Revision under which that configuration was received.
    #[prost(uint64, tag = "15")]
    pub config_revision: u64,
}

/// Heartbeat of an agent, sent to the entries.
#[derive(Clone, Message, PartialEq)]
pub struct AgentHeartbeat {
    /// Sequence number of the heartbeat, which increases within an incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Address of the upstream of the agent.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Number of running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Version of the weights that the upstream serves and whose load was verified; 0 if none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// True while the engine accepts no requests because it is switching to other weights.
    #[prost(bool, tag = "6")]
    pub switching: bool,
    /// Incarnation of the agent process.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Entries that the sender has recently seen; only included in some heartbeats.
    #[prost(message, repeated, tag = "8")]
    pub contacts: Vec<EntryContact>,
    /// Time until the engine stops accepting requests to switch to other weights, in milliseconds; absent if no switch is
    /// due or its time is unknown.
    #[prost(uint32, optional, tag = "9")]
    pub change_in_ms: Option<u32>,
    /// Duration of a generation step in percent of its usual duration; 0 if unknown.
    #[prost(uint32, tag = "10")]
    pub slowdown_percent: u32,
    /// Expected time until the upstream serves the declared version of the weights, in milliseconds; absent if it
    /// serves it already, if the time is unknown, or if the sender does not know this field.
    #[prost(uint32, optional, tag = "11")]
    pub weights_in_ms: Option<u32>,
    /// Start time of the engine in Unix milliseconds; absent if the engine does not respond, and from older processes.
    #[prost(uint64, optional, tag = "12")]
    pub engine_started_ms: Option<u64>,
    /// Version of the weights that the engine has loaded but whose load the sender has not verified yet; 0 if none. It may
    /// have been verified by an earlier process of the agent.
    #[prost(uint64, tag = "13")]
    pub unverified_version: u64,
    /// Number of load orders that the engine has accepted since its start.
    #[prost(uint64, tag = "14")]
    pub load_orders: u64,
}

/// Set of chunks that an agent holds, sent to other agents.
#[derive(Clone, Message, PartialEq)]
pub struct ChunkNotice {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Bitmap with one bit per chunk.
    #[prost(bytes = "bytes", tag = "3")]
    pub pieces: Bytes,
    /// True if the receiver should respond with the chunks that it holds.
    #[prost(bool, tag = "4")]
    pub wanted: bool,
}

/// Requests the items that changed after a revision.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ItemsRequest {
    /// Revision up to which the sender knows all items; 0 if it knows none.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// True if the sender reads values that are compressed; older versions do not.
    #[prost(bool, tag = "2")]
    pub reads_compressed: bool,
}

/// An item of the platform's store.
#[derive(Clone, Message, PartialEq)]
pub struct FleetItem {
    /// Key of the item in the store.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the item; absent if the item was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the last change of the item.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since the change was observed, in milliseconds; absent if no known process observed it.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// Value in the LZ4 block format, after its size as a little-endian 32-bit number; replaces `value`.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub compressed: Option<Bytes>,
}

impl FleetItem {
    /// Compresses a value of at least [`MIN_COMPRESSED_BYTES`]. Configurations are repetitive, and every entry of a
    /// region receives them from another one.
    #[must_use]
    pub fn with_compressed_value(mut self) -> Self {
        if let Some(value) = self.value.take_if(|value| value.len() >= MIN_COMPRESSED_BYTES) {
            self.compressed = Some(lz4_flex::compress_prepend_size(&value).into());
        }
        self
    }

    /// Value of the item, decompressed if necessary; `None` if the item was removed.
    ///
    /// # Errors
    /// Fails if the value cannot be decompressed, or exceeds [`MAX_VALUE_BYTES`].
    pub fn into_value(self) -> Result<Option<Bytes>, CompressionError> {
        let Some(compressed) = self.compressed else { return Ok(self.value) };
        let (size, _) = lz4_flex::block::uncompressed_size(&compressed).context(CorruptSnafu)?;
        ensure!(size <= MAX_VALUE_BYTES, TooLargeSnafu { size });
        let value = lz4_flex::decompress_size_prepended(&compressed).context(CorruptSnafu)?;
        Ok(Some(value.into()))
    }
}

/// Minimum size of a value that is compressed, in bytes. Smaller values fit into a packet or two.
pub const MIN_COMPRESSED_BYTES: usize = 2 << 10;
/// Maximum size of a value in bytes; the platform's store accepts values of up to a mebibyte.
pub const MAX_VALUE_BYTES: usize = 8 << 20;

/// Reason why a compressed value cannot be read.
#[derive(Debug, Snafu)]
pub enum CompressionError {
    /// The value is not in the expected format.
    #[snafu(display("value cannot be decompressed: {source}"))]
    Corrupt {
        /// Error of the decompressor.
        source: lz4_flex::block::DecompressError,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[snafu(display("value of {size} bytes exceeds {MAX_VALUE_BYTES} bytes"))]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
}

/// Response to [`ItemsRequest`]: the items that the receiver lacks.
#[derive(Clone, Message, PartialEq)]
pub struct ItemsResponse {
    /// Changed or removed items, or all items of a snapshot.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<FleetItem>,
    /// Revision up to which the items are complete; 0 if the sender knows none.
    #[prost(uint64, tag = "2")]
    pub as_of: u64,
    /// True if the message contains all items, so that any other item has been removed.
    #[prost(bool, tag = "3")]
    pub snapshot: bool,
}

/// Requests the configuration that the receiver has in force.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ConfigRequest {
    /// Version of the configuration that the sender has in force; absent if it has none.
    #[prost(uint64, optional, tag = "1")]
    pub version: Option<u64>,
}

/// Response to [`ConfigRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct ConfigResponse {
    /// Configuration in force, under the revision at which the sender received it; absent if its version is not above
    /// that of the request.
    #[prost(message, optional, tag = "1")]
    pub item: Option<FleetItem>,
}

/// Requests the assignment of an agent: the weights to load, the other agents of its service and the origin.
#[derive(Clone, Message, PartialEq)]
pub struct BriefRequest {
    /// Service to which the agent's upstream belongs.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address of the agent's upstream; empty if the sender is no agent or an older process.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// Load of weights that an agent has verified.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct VerifiedLoad {
    /// Start time of the engine in Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub engine_started_ms: u64,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Number of load orders that the engine had accepted when this was stated.
    #[prost(uint64, tag = "3")]
    pub load_orders: u64,
}

/// An agent of the service.
#[derive(Clone, Message, PartialEq)]
pub struct AgentContact {
    /// IP address of the host on which the agent and its upstream run.
    #[prost(string, tag = "1")]
    pub ip: String,
    /// Data centre of the agent.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// Declaration of a version of the weights.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct DatedVersion {
    /// Version that was declared.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time since the declaration, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Response to [`BriefRequest`]: the assignment of the agents of a service.
#[derive(Clone, Message, PartialEq)]
pub struct BriefReply {
    /// Digest of the assignment, to detect changes.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// Revision on which the assignment is based; agents ignore an assignment older than their current one.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Id of the model that the service serves; empty if it serves none.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Version of the weights that the upstream should serve.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Time since the version was declared, in milliseconds; absent if no known process observed it.
    #[prost(uint64, optional, tag = "5")]
    pub declared_ms: Option<u64>,
    /// Number of chunks of the weights.
    #[prost(uint32, tag = "6")]
    pub pieces: u32,
    /// Size of a chunk in bytes.
    #[prost(uint32, tag = "7")]
    pub piece_bytes: u32,
    /// Address of the origin; empty if there is none.
    #[prost(string, tag = "8")]
    pub origin: String,
    /// Data centre of the origin; empty if there is no origin.
    #[prost(string, tag = "9")]
    pub origin_data_centre: String,
    /// All agents of the service, including the receiver.
    #[prost(message, repeated, tag = "10")]
    pub agents: Vec<AgentContact>,
    /// Last declarations before that of `version`, as far as their dates are known; absent from older processes.
    #[prost(message, repeated, tag = "11")]
    pub earlier: Vec<DatedVersion>,
    /// Last load of the upstream of the request that an agent verified, as far as this entry knows.
    #[prost(message, optional, tag = "12")]
    pub verified: Option<VerifiedLoad>,
    /// Number of layers of the model; 0 if unknown.
    #[prost(uint32, tag = "13")]
    pub layers: u32,
}

/// Requests a chunk by model, version and index.
#[derive(Clone, Message, PartialEq)]
pub struct IndexedChunkRequest {
    /// Id of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Index of the chunk.
    #[prost(uint32, tag = "3")]
    pub index: u32,
}

/// Response to [`IndexedChunkRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct IndexedChunkResponse {
    /// Content of the chunk; absent if the sender does not hold it or is busy.
    #[prost(bytes = "bytes", optional, tag = "1")]
    pub bytes: Option<Bytes>,
    /// True if the sender holds the chunk but has too many uploads in progress.
    #[prost(bool, tag = "2")]
    pub busy: bool,
}

/// Requests the digests of the chunks of a version.
#[derive(Clone, Message, PartialEq)]
pub struct ChunkListRequest {
    /// Id of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Response to [`ChunkListRequest`].
#[derive(Clone, Message, PartialEq)]
pub struct ChunkListResponse {
    /// SHA-256 digest of each chunk, in order; empty if the sender does not know them.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub digests: Vec<Bytes>,
}
