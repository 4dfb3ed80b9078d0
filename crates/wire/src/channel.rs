//! Authenticated, length-delimited frames over a byte stream.

use std::{fmt, io, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use snafu::{IntoError, ResultExt, Snafu, ensure};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadHalf, WriteHalf},
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::message::{Ack, Envelope, Hello, Payload};

/// Version of the protocol; a handshake fails unless both sides use the same version.
pub const PROTOCOL_VERSION: u32 = 1;

const NONCE_BYTES: usize = 32;
const MAC_BYTES: usize = 16;
/// Maximum size of frames before the peer is authenticated. A `Hello` is far smaller; this bounds the memory that an
/// unauthenticated peer can occupy.
const MAX_HELLO_BYTES: usize = 1 << 10;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const KEY_CONTEXT: &str = "wigeonhaven fleet key v1";
const CLIENT_CONTEXT: &str = "wigeonhaven frames of the connecting side v1";
const SERVER_CONTEXT: &str = "wigeonhaven frames of the accepting side v1";

/// Reason why a channel failed. After any error, the connection must be closed.
#[derive(Debug, Snafu)]
pub enum ChannelError {
    /// The connection broke, or a frame exceeds the size limit.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// Error of the operating system or of the frame codec.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("peer closed the connection"))]
    Closed,
    /// The frame cannot be decoded as a message of this protocol.
    #[snafu(display("frame cannot be decoded: {source}"))]
    Decode {
        /// Error of the protobuf decoder.
        source: prost::DecodeError,
    },
    /// The frame contains no known message, one that is not allowed in this state, or a `Hello` with an invalid nonce.
    #[snafu(display("unexpected message"))]
    Unexpected,
    /// The MAC is missing or wrong, because the frame was forged, altered, replayed or reordered.
    #[snafu(display("frame is not authentic"))]
    NotAuthentic,
    /// The peer uses another version of the protocol.
    #[snafu(display("peer uses protocol version {version}, expected {PROTOCOL_VERSION}"))]
    Version {
        /// Protocol version of the peer.
        version: u32,
    },
    /// The peer did not complete the handshake in time.
    #[snafu(display("handshake timed out"))]
    HandshakeTimeout,
}

/// Secret key shared by all processes of the fleet.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from the fleet secret in the settings.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Derives a key for another purpose, for example for signing request keys. `context` must be unique to the
    /// purpose.
    #[must_use]
    pub fn derive(&self, context: &'static str) -> [u8; 32] {
        blake3::derive_key(context, &self.0)
    }

    fn session(&self, context: &'static str, client_nonce: &[u8], server_nonce: &[u8]) -> FrameKey {
        let mut hasher = blake3::Hasher::new_derive_key(context);
        hasher.update(&self.0).update(client_nonce).update(server_nonce);
        FrameKey { key: *hasher.finalize().as_bytes(), sequence: 0 }
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(hidden)")
    }
}

/// Session key for one direction, and the sequence number of the next frame.
struct FrameKey {
    key: [u8; 32],
    sequence: u64,
}

impl FrameKey {
    fn next_mac(&mut self, payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.sequence.to_le_bytes()).update(payload);
        self.sequence += 1;
        hasher.finalize()
    }
}

/// Size limits of a channel.
#[derive(Clone, Copy, Debug)]
pub struct ChannelLimits {
    /// Maximum size of a received frame in bytes, without its MAC; 8 MiB by default.
    pub max_frame_bytes: usize,
}

impl Default for ChannelLimits {
    fn default() -> Self {
        Self { max_frame_bytes: 8 << 20 }
    }
}

/// Sending half of a channel.
pub struct FrameSender<S> {
    frames: FramedWrite<WriteHalf<S>, LengthDelimitedCodec>,
    key: FrameKey,
}

/// Receiving half of a channel.
pub struct FrameReceiver<S> {
    frames: FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
    key: FrameKey,
}

/// Authenticated channel, created by [`connect`] or [`accept`].
pub struct FrameChannel<S> {
    /// Half that sends messages.
    pub sender: FrameSender<S>,
    /// Half that receives messages.
    pub receiver: FrameReceiver<S>,
    /// Host id that the peer sent in the handshake, for logs.
    pub peer_host: String,
}

impl<S: AsyncWrite> FrameSender<S> {
    /// Sends a message.
    ///
    /// # Errors
    /// Fails if the connection is broken or the frame is too large.
    pub async fn send(&mut self, payload: Payload) -> Result<(), ChannelError> {
        let envelope = Envelope { payload: Some(payload) };
        let mut frame = BytesMut::with_capacity(envelope.encoded_len() + MAC_BYTES);
        envelope.encode(&mut frame).expect("the buffer grows as needed");
        let mac = self.key.next_mac(&frame);
        frame.put_slice(&mac.as_bytes()[..MAC_BYTES]);
        self.frames.send(frame.freeze()).await.context(ConnectionSnafu)
    }
}

impl<S> FrameReceiver<S> {
    fn set_limits(&mut self, limits: ChannelLimits) {
        self.frames.decoder_mut().set_max_frame_length(limits.max_frame_bytes + MAC_BYTES);
    }
}

impl<S: AsyncRead> FrameReceiver<S> {
    /// Receives the next message. This method is cancel safe.
    ///
    /// # Errors
    /// Fails if the connection is broken or closed, or if the frame is too large, not authentic or not a known message.
    pub async fn receive(&mut self) -> Result<Payload, ChannelError> {
        let mut frame =
            self.frames.next().await.ok_or(ChannelError::Closed)?.context(ConnectionSnafu)?;
        ensure!(frame.len() >= MAC_BYTES, NotAuthenticSnafu);
        let mac = frame.split_off(frame.len() - MAC_BYTES);
        let expected = self.key.next_mac(&frame);
        // Compare complete hashes, because the comparison of `blake3::Hash` takes constant time.
        let mut received = *expected.as_bytes();
        received[..MAC_BYTES].copy_from_slice(&mac);
        ensure!(expected == blake3::Hash::from_bytes(received), NotAuthenticSnafu);
        let envelope = Envelope::decode(frame.freeze()).context(DecodeSnafu)?;
        envelope.payload.ok_or(ChannelError::Unexpected)
    }
}

impl<S: AsyncRead + AsyncWrite> FrameChannel<S> {
    /// Sends a message and waits for the next one from the peer.
    ///
    /// # Errors
    /// Fails under the same conditions as [`FrameSender::send`] and [`FrameReceiver::receive`].
    pub async fn call(&mut self, payload: Payload) -> Result<Payload, ChannelError> {
        self.sender.send(payload).await?;
        self.receiver.receive().await
    }
}

/// Performs the client side of the handshake on a connected stream.
///
/// # Errors
/// Fails if the peer does not respond in time or uses another protocol version. A wrong fleet key of the peer is only
/// detected by the first [`FrameReceiver::receive`].
pub async fn connect<S: AsyncRead + AsyncWrite>(
    stream: S,
    key: &FleetKey,
    host: &str,
    limits: ChannelLimits,
) -> Result<FrameChannel<S>, ChannelError> {
    let (mut reader, mut writer) = split(stream);
    let own = new_hello(host);
    let handshake = async {
        send_hello(&mut writer, &own).await?;
        let peer = receive_hello(&mut reader).await?;
        let session = key.session(CLIENT_CONTEXT, &own.nonce, &peer.nonce);
        let mut sender = FrameSender { frames: writer, key: session };
        sender.send(Payload::Ack(Ack {})).await?;
        Ok((peer, sender))
    };
    let (peer, sender) = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| ChannelError::HandshakeTimeout)??;
    let session = key.session(SERVER_CONTEXT, &own.nonce, &peer.nonce);
    let mut receiver = FrameReceiver { frames: reader, key: session };
    receiver.set_limits(limits);
    Ok(FrameChannel { sender, receiver, peer_host: peer.host })
}

/// Performs the server side of the handshake on an accepted stream.
///
/// # Errors
/// Fails if the peer does not complete the handshake in time, uses another protocol version, or has another fleet key.
pub async fn accept<S: AsyncRead + AsyncWrite>(
    stream: S,
    key: &FleetKey,
    host: &str,
    limits: ChannelLimits,
) -> Result<FrameChannel<S>, ChannelError> {
    let (mut reader, mut writer) = split(stream);
    let own = new_hello(host);
    let handshake = async {
        let peer = receive_hello(&mut reader).await?;
        send_hello(&mut writer, &own).await?;
        let session = key.session(CLIENT_CONTEXT, &peer.nonce, &own.nonce);
        let mut receiver = FrameReceiver { frames: reader, key: session };
        // The MAC of this frame proves that the peer has the fleet key. Until then, frames are limited to
        // `MAX_HELLO_BYTES`, so that an unauthenticated peer cannot make this process buffer a large frame.
        match receiver.receive().await? {
            Payload::Ack(_) => Ok((peer, receiver)),
            _ => Err(ChannelError::Unexpected),
        }
    };
    let (peer, mut receiver) = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| ChannelError::HandshakeTimeout)??;
    receiver.set_limits(limits);
    let session = key.session(SERVER_CONTEXT, &peer.nonce, &own.nonce);
    let sender = FrameSender { frames: writer, key: session };
    Ok(FrameChannel { sender, receiver, peer_host: peer.host })
}

type HelloReader<S> = FramedRead<ReadHalf<S>, LengthDelimitedCodec>;
type HelloWriter<S> = FramedWrite<WriteHalf<S>, LengthDelimitedCodec>;

fn split<S: AsyncRead + AsyncWrite>(stream: S) -> (HelloReader<S>, HelloWriter<S>) {
    let (reader, writer) = tokio::io::split(stream);
    let hello_codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec();
    // The size of frames is limited by the receiver; the sender's limit only has to exceed the size of any message.
    let send_codec =
        LengthDelimitedCodec::builder().max_frame_length(u32::MAX as usize).new_codec();
    (FramedRead::new(reader, hello_codec), FramedWrite::new(writer, send_codec))
}

fn new_hello(host: &str) -> Hello {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Hello {
        version: PROTOCOL_VERSION,
        nonce: Bytes::copy_from_slice(&nonce),
        host: host.to_owned(),
    }
}

async fn send_hello<S: AsyncWrite>(
    writer: &mut HelloWriter<S>,
    hello: &Hello,
) -> Result<(), ChannelError> {
    let envelope = Envelope { payload: Some(Payload::Hello(hello.clone())) };
    writer.send(Bytes::from(envelope.encode_to_vec())).await.context(ConnectionSnafu)
}

async fn receive_hello<S: AsyncRead>(reader: &mut HelloReader<S>) -> Result<Hello, ChannelError> {
    let frame = reader.next().await.ok_or(ChannelError::Closed)?.context(ConnectionSnafu)?;
    let envelope =
        Envelope::decode(frame.freeze()).map_err(|source| DecodeSnafu.into_error(source))?;
    let Some(Payload::Hello(hello)) = envelope.payload else {
        return Err(ChannelError::Unexpected);
    };
    ensure!(hello.version == PROTOCOL_VERSION, VersionSnafu { version: hello.version });
    ensure!(hello.nonce.len() == NONCE_BYTES, UnexpectedSnafu);
    Ok(hello)
}
