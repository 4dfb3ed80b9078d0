//! Messages of the processes that run on the users' platform: beats in datagrams, knowledge and pieces in frames.

use bytes::Bytes;
use prost::{Message, Oneof};

use super::CrashNotice;

/// One datagram.
#[derive(Clone, Message, PartialEq)]
pub struct Datagram {
    /// The message.
    #[prost(oneof = "Notice", tags = "1, 2, 3, 4")]
    pub notice: Option<Notice>,
}

/// Every message that a datagram can carry. Datagrams may be lost, repeated and reordered.
#[derive(Clone, Oneof, PartialEq)]
pub enum Notice {
    /// An entry is alive.
    #[prost(message, tag = "1")]
    Entry(EntryBeat),
    /// An agent is alive; carries the load of its upstream.
    #[prost(message, tag = "2")]
    Agent(AgentBeat),
    /// Which pieces an agent holds.
    #[prost(message, tag = "3")]
    Holding(HoldingNotice),
    /// A request crashes upstreams.
    #[prost(message, tag = "4")]
    Crash(CrashNotice),
}

/// An entry as another process describes it.
#[derive(Clone, Message, PartialEq)]
pub struct EntryContact {
    /// Address for messages between processes.
    #[prost(string, tag = "1")]
    pub peer: String,
    /// Time since the sender heard of it, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Sent by an entry to the other entries and to the agents.
#[derive(Clone, Message, PartialEq)]
pub struct EntryBeat {
    /// Name of the process, for logs.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Drawn at the start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Rises with every beat of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Address for callers.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Address for messages between processes.
    #[prost(string, tag = "6")]
    pub peer: String,
    /// True if it can serve callers.
    #[prost(bool, tag = "7")]
    pub ready: bool,
    /// True if it is about to stop.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Highest revision of an item that it knows.
    #[prost(uint64, tag = "9")]
    pub head: u64,
    /// Digest of what it would tell agents; changes when they should ask again.
    #[prost(uint64, tag = "10")]
    pub brief: u64,
    /// Other entries that it has heard of lately.
    #[prost(message, repeated, tag = "11")]
    pub contacts: Vec<EntryContact>,
}

/// Sent by an agent to the entries.
#[derive(Clone, Message, PartialEq)]
pub struct AgentBeat {
    /// Rises with every beat of a process.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Address of its upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Requests that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Version of the weights that it serves; 0 if none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// True while the engine accepts nothing because it changes weights.
    #[prost(bool, tag = "6")]
    pub switching: bool,
    /// Incarnation of the agent process.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Entries that it has heard of lately; only in some beats.
    #[prost(message, repeated, tag = "8")]
    pub contacts: Vec<EntryContact>,
    /// Time until the engine drops what it runs to change its weights, in milliseconds; absent if no change is due.
    #[prost(uint32, optional, tag = "9")]
    pub change_in_ms: Option<u32>,
    /// Time of a step in percent of the usual one; 0 if unknown.
    #[prost(uint32, tag = "10")]
    pub pace_percent: u32,
}

/// Sent by an agent to other agents.
#[derive(Clone, Message, PartialEq)]
pub struct HoldingNotice {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// One bit for each piece.
    #[prost(bytes = "bytes", tag = "3")]
    pub pieces: Bytes,
    /// True if the sender wants to know what the receiver holds.
    #[prost(bool, tag = "4")]
    pub wanted: bool,
}

/// Asks for the items after a revision.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct ItemsRequest {
    /// Revision up to which the sender knows everything; 0 if it knows nothing.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// An item of the platform's store.
#[derive(Clone, Message, PartialEq)]
pub struct FleetItem {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value; absent if the item was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Revision of the last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since the change was seen, in milliseconds; absent if nobody saw it.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
}

/// Items that the receiver lacks.
#[derive(Clone, Message, PartialEq)]
pub struct ItemsReply {
    /// The items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<FleetItem>,
    /// Revision up to which the items are complete; 0 if the sender knows nothing.
    #[prost(uint64, tag = "2")]
    pub as_of: u64,
    /// True if these are all items: what is not among them is gone.
    #[prost(bool, tag = "3")]
    pub snapshot: bool,
}

/// Asks for what an agent beside an upstream of a service needs to know.
#[derive(Clone, Message, PartialEq)]
pub struct BriefRequest {
    /// Service of the upstream.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// Another agent of the service.
#[derive(Clone, Message, PartialEq)]
pub struct AgentContact {
    /// Host of the upstream and the agent.
    #[prost(string, tag = "1")]
    pub ip: String,
    /// Data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
}

/// What an agent needs to know.
#[derive(Clone, Message, PartialEq)]
pub struct BriefReply {
    /// Digest of this brief.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// Revision from which it was made; an agent never goes back.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Model that the service serves; empty if it serves none.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Version that the upstream is to hold.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Time since the version was declared, in milliseconds; absent if nobody saw it.
    #[prost(uint64, optional, tag = "5")]
    pub declared_ms: Option<u64>,
    /// Number of pieces.
    #[prost(uint32, tag = "6")]
    pub pieces: u32,
    /// Size of a piece in bytes.
    #[prost(uint32, tag = "7")]
    pub piece_bytes: u32,
    /// Address of the origin; empty if there is none.
    #[prost(string, tag = "8")]
    pub origin: String,
    /// Data centre of the origin.
    #[prost(string, tag = "9")]
    pub origin_data_centre: String,
    /// All agents of the service.
    #[prost(message, repeated, tag = "10")]
    pub agents: Vec<AgentContact>,
}

/// Asks for a piece.
#[derive(Clone, Message, PartialEq)]
pub struct PieceRequest {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Number of the piece.
    #[prost(uint32, tag = "3")]
    pub index: u32,
}

/// A piece, or why there is none.
#[derive(Clone, Message, PartialEq)]
pub struct PieceReply {
    /// The bytes; absent if the sender does not hold the piece or is busy.
    #[prost(bytes = "bytes", optional, tag = "1")]
    pub bytes: Option<Bytes>,
    /// True if the sender holds it but has too many transfers in progress.
    #[prost(bool, tag = "2")]
    pub busy: bool,
}

/// Asks for the digests of a version's pieces.
#[derive(Clone, Message, PartialEq)]
pub struct PieceListRequest {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Digests of a version's pieces; empty if the sender does not know them.
#[derive(Clone, Message, PartialEq)]
pub struct PieceListReply {
    /// SHA-256 of each piece.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub digests: Vec<Bytes>,
}
