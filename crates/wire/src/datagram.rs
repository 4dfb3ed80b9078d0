//! Authenticated datagrams, for messages whose loss is acceptable.

use bytes::{BufMut, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    channel::FleetKey,
    message::{Datagram, Notice},
};

/// Maximum size of a datagram in bytes, below the MTU of Ethernet so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const MAC_BYTES: usize = 8;
const KEY_CONTEXT: &str = "wigeonhaven datagrams v1";

/// Reason why a datagram was rejected.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// The datagram is shorter than a MAC, or its MAC is wrong.
    #[snafu(display("datagram is not authentic"))]
    NotAuthentic,
    /// The content cannot be decoded as a message.
    #[snafu(display("datagram cannot be decoded: {source}"))]
    Decode {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// The datagram contains no known message.
    #[snafu(display("datagram contains no known message"))]
    Unknown,
}

/// Encodes a notice and appends a MAC. Does not check the size against [`MAX_DATAGRAM_BYTES`].
#[must_use]
pub fn seal_datagram(notice: Notice, key: &FleetKey) -> BytesMut {
    let datagram = Datagram { notice: Some(notice) };
    let mut bytes = BytesMut::with_capacity(datagram.encoded_len() + MAC_BYTES);
    datagram.encode(&mut bytes).expect("the buffer grows as needed");
    let mac = blake3::keyed_hash(&key.derive(KEY_CONTEXT), &bytes);
    bytes.put_slice(&mac.as_bytes()[..MAC_BYTES]);
    bytes
}

/// Verifies the MAC and decodes the notice.
///
/// # Errors
/// Fails if the MAC is missing or wrong, or if the content is not a known message.
pub fn open_datagram(bytes: &[u8], key: &FleetKey) -> Result<Notice, DatagramError> {
    ensure!(bytes.len() >= MAC_BYTES, NotAuthenticSnafu);
    let (content, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
    let expected = blake3::keyed_hash(&key.derive(KEY_CONTEXT), content);
    ensure!(expected.as_bytes()[..MAC_BYTES] == *mac, NotAuthenticSnafu);
    let datagram = Datagram::decode(content).context(DecodeSnafu)?;
    datagram.notice.ok_or(DatagramError::Unknown)
}
