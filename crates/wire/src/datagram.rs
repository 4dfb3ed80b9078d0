//! Authenticated datagrams, for messages that may be lost.

use bytes::{BufMut, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::{
    channel::FleetKey,
    message::{Datagram, Notice},
};

/// Largest datagram, so that none is fragmented on an Ethernet link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const MAC_BYTES: usize = 8;
const KEY_CONTEXT: &str = "wigeonhaven datagrams v1";

/// Why a datagram was not accepted.
#[derive(Debug, Snafu)]
pub enum DatagramError {
    /// It is shorter than a MAC, or the MAC does not fit.
    #[snafu(display("datagram is not authentic"))]
    Foreign,
    /// The content is no message.
    #[snafu(display("datagram cannot be decoded: {source}"))]
    Garbled {
        /// What the decoder said.
        source: prost::DecodeError,
    },
    /// It carries no known message.
    #[snafu(display("datagram carries no known message"))]
    Unknown,
}

/// Encodes a notice and appends its MAC.
#[must_use]
pub fn seal_datagram(notice: Notice, key: &FleetKey) -> BytesMut {
    let datagram = Datagram { notice: Some(notice) };
    let mut bytes = BytesMut::with_capacity(datagram.encoded_len() + MAC_BYTES);
    datagram.encode(&mut bytes).expect("the buffer grows");
    let mac = blake3::keyed_hash(&key.derive(KEY_CONTEXT), &bytes);
    bytes.put_slice(&mac.as_bytes()[..MAC_BYTES]);
    bytes
}

/// Checks the MAC and decodes the notice.
///
/// # Errors
/// Fails if the datagram is foreign or garbled.
pub fn open_datagram(bytes: &[u8], key: &FleetKey) -> Result<Notice, DatagramError> {
    ensure!(bytes.len() >= MAC_BYTES, ForeignSnafu);
    let (content, mac) = bytes.split_at(bytes.len() - MAC_BYTES);
    let expected = blake3::keyed_hash(&key.derive(KEY_CONTEXT), content);
    ensure!(expected.as_bytes()[..MAC_BYTES] == *mac, ForeignSnafu);
    let datagram = Datagram::decode(content).context(GarbledSnafu)?;
    datagram.notice.ok_or(DatagramError::Unknown)
}
