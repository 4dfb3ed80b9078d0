//! Guards against unauthenticated, faulty or slow peers that affect more than their own channel or occupy unbounded
//! memory.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    runtime::Builder,
};
use wire::{
    Ack, ChannelError, ChannelLimits, ChunkNotice, Document, Envelope, FleetKey, FrameChannel,
    Hello, Notice, PROTOCOL_VERSION, Payload, Pull, accept, connect, open_datagram, seal_datagram,
};

const PIPE_BYTES: usize = 1 << 20;
const LIMITS: ChannelLimits = ChannelLimits { max_frame_bytes: 64 << 10 };

fn run<T>(test: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_all().start_paused(true).build().unwrap().block_on(test)
}

fn key() -> FleetKey {
    FleetKey::new("a secret of the fleet")
}

fn pull(base: u8) -> Payload {
    Payload::Pull(Pull { kind: 0, base: Bytes::from(vec![base; 32]) })
}

async fn read_frame(stream: &mut DuplexStream) -> Vec<u8> {
    let length = stream.read_u32().await.unwrap();
    let mut frame = vec![0; usize::try_from(length).unwrap()];
    stream.read_exact(&mut frame).await.unwrap();
    frame
}

async fn write_frame(stream: &mut DuplexStream, frame: &[u8]) {
    stream.write_u32(u32::try_from(frame.len()).unwrap()).await.unwrap();
    stream.write_all(frame).await.unwrap();
}

fn hello(version: u32, nonce_bytes: usize) -> Vec<u8> {
    let nonce = Bytes::from(vec![7; nonce_bytes]);
    let hello = Hello { version, nonce, host: "h".to_owned() };
    Envelope { payload: Some(Payload::Hello(hello)) }.encode_to_vec()
}

/// A client and a server, connected through the test, which can capture, alter and replay frames.
struct Relay {
    client: FrameChannel<DuplexStream>,
    server: FrameChannel<DuplexStream>,
    from_client: DuplexStream,
    to_server: DuplexStream,
}

impl Relay {
    async fn open() -> Self {
        let (client, mut from_client) = duplex(PIPE_BYTES);
        let (mut to_server, server) = duplex(PIPE_BYTES);
        let relay = async {
            let client_hello = read_frame(&mut from_client).await;
            write_frame(&mut to_server, &client_hello).await;
            let server_hello = read_frame(&mut to_server).await;
            write_frame(&mut from_client, &server_hello).await;
            let proof = read_frame(&mut from_client).await;
            write_frame(&mut to_server, &proof).await;
        };
        let fleet_key = key();
        let (client, server, ()) = tokio::join!(
            connect(client, &fleet_key, "client", LIMITS),
            accept(server, &fleet_key, "server", LIMITS),
            relay
        );
        Self { client: client.unwrap(), server: server.unwrap(), from_client, to_server }
    }

    /// Sends a message from the client and returns the captured frame.
    async fn send_and_capture(&mut self, payload: Payload) -> Vec<u8> {
        self.client.sender.send(payload).await.unwrap();
        read_frame(&mut self.from_client).await
    }

    async fn deliver(&mut self, frame: &[u8]) -> Result<Payload, ChannelError> {
        write_frame(&mut self.to_server, frame).await;
        self.server.receiver.receive().await
    }
}

/// Returns the error of a server that receives `bytes` on a new connection, which then closes.
async fn handshake_error(bytes: &[u8]) -> ChannelError {
    let (mut attacker, own) = duplex(PIPE_BYTES);
    attacker.write_all(bytes).await.unwrap();
    attacker.shutdown().await.unwrap();
    accept(own, &key(), "server", LIMITS).await.err().expect("the handshake must fail")
}

#[test]
fn frames_are_delivered_in_order_and_authenticated() {
    run(async {
        let mut relay = Relay::open().await;
        for base in 0..3 {
            let frame = relay.send_and_capture(pull(base)).await;
            assert_eq!(relay.deliver(&frame).await.unwrap(), pull(base));
        }
        assert_eq!(relay.server.peer_host, "client");
    });
}

#[test]
fn replayed_frame_is_not_accepted() {
    run(async {
        let mut relay = Relay::open().await;
        let frame = relay.send_and_capture(pull(1)).await;
        relay.deliver(&frame).await.unwrap();
        assert!(matches!(relay.deliver(&frame).await, Err(ChannelError::NotAuthentic)));
    });
}

#[test]
fn frame_out_of_order_or_missing_is_not_accepted() {
    run(async {
        let mut relay = Relay::open().await;
        let _lost = relay.send_and_capture(pull(1)).await;
        let frame = relay.send_and_capture(pull(2)).await;
        assert!(matches!(relay.deliver(&frame).await, Err(ChannelError::NotAuthentic)));
    });
}

#[test]
fn frame_of_another_connection_is_not_accepted() {
    run(async {
        let mut first = Relay::open().await;
        let mut second = Relay::open().await;
        let frame = first.send_and_capture(pull(1)).await;
        assert!(matches!(second.deliver(&frame).await, Err(ChannelError::NotAuthentic)));
    });
}

#[test]
fn frame_reflected_to_its_sender_is_not_accepted() {
    run(async {
        let mut relay = Relay::open().await;
        let frame = relay.send_and_capture(pull(1)).await;
        write_frame(&mut relay.from_client, &frame).await;
        let received = relay.client.receiver.receive().await;
        assert!(matches!(received, Err(ChannelError::NotAuthentic)));
    });
}

#[test]
fn any_altered_bit_is_detected() {
    run(async {
        let length = Relay::open().await.send_and_capture(pull(1)).await.len();
        for bit in 0..length * 8 {
            let mut relay = Relay::open().await;
            let mut frame = relay.send_and_capture(pull(1)).await;
            frame[bit / 8] ^= 1 << (bit % 8);
            let received = relay.deliver(&frame).await;
            assert!(matches!(received, Err(ChannelError::NotAuthentic)), "bit {bit}");
        }
    });
}

#[test]
fn truncated_frame_is_not_accepted() {
    run(async {
        for kept in 0..20 {
            let mut relay = Relay::open().await;
            let frame = relay.send_and_capture(pull(1)).await;
            assert!(matches!(relay.deliver(&frame[..kept]).await, Err(ChannelError::NotAuthentic)));
        }
    });
}

#[test]
fn peer_with_a_wrong_key_fails_the_handshake() {
    run(async {
        let (client, server) = duplex(PIPE_BYTES);
        let (wrong_key, fleet_key) = (FleetKey::new("a wrong secret"), key());
        let (connected, accepted) = tokio::join!(
            connect(client, &wrong_key, "client", LIMITS),
            accept(server, &fleet_key, "server", LIMITS),
        );
        assert!(matches!(accepted, Err(ChannelError::NotAuthentic)));
        let mut channel = connected.unwrap();
        channel.call(pull(1)).await.expect_err("the connection must be closed");
    });
}

#[test]
fn server_with_a_wrong_key_is_not_trusted() {
    run(async {
        let (client, mut attacker) = duplex(PIPE_BYTES);
        let respond = async {
            read_frame(&mut attacker).await;
            write_frame(&mut attacker, &hello(PROTOCOL_VERSION, 32)).await;
            write_frame(&mut attacker, &[0; 40]).await;
        };
        let fleet_key = key();
        let (connected, ()) = tokio::join!(connect(client, &fleet_key, "client", LIMITS), respond);
        let received = connected.unwrap().receiver.receive().await;
        assert!(matches!(received, Err(ChannelError::NotAuthentic)));
    });
}

#[test]
fn large_frame_before_authentication_is_refused_because_of_its_length() {
    run(async {
        let (mut attacker, own) = duplex(PIPE_BYTES);
        let attack = async {
            write_frame(&mut attacker, &hello(PROTOCOL_VERSION, 32)).await;
            read_frame(&mut attacker).await;
            attacker.write_u32(32 << 10).await.unwrap();
        };
        let fleet_key = key();
        let (accepted, ()) = tokio::join!(accept(own, &fleet_key, "server", LIMITS), attack);
        assert!(matches!(accepted, Err(ChannelError::Connection { .. })));
    });
}

#[test]
fn oversized_frame_ends_the_connection_before_its_body_is_read() {
    run(async {
        let mut relay = Relay::open().await;
        let value = Bytes::from(vec![0; LIMITS.max_frame_bytes + 1]);
        let frame = relay.send_and_capture(Payload::Document(Document { kind: 0, value })).await;
        assert!(matches!(relay.deliver(&frame).await, Err(ChannelError::Connection { .. })));
        let mut relay = Relay::open().await;
        relay.to_server.write_u32(u32::MAX).await.unwrap();
        let received = relay.server.receiver.receive().await;
        assert!(matches!(received, Err(ChannelError::Connection { .. })));
    });
}

#[test]
fn largest_frame_is_accepted() {
    run(async {
        let mut relay = Relay::open().await;
        let value = Bytes::from(vec![1; LIMITS.max_frame_bytes - 64]);
        let document = Payload::Document(Document { kind: 0, value });
        let frame = relay.send_and_capture(document.clone()).await;
        assert_eq!(relay.deliver(&frame).await.unwrap(), document);
    });
}

#[test]
fn peer_of_another_version_is_refused() {
    run(async {
        let mut bytes = Vec::new();
        let hello = hello(PROTOCOL_VERSION + 1, 32);
        bytes.extend(u32::try_from(hello.len()).unwrap().to_be_bytes());
        bytes.extend(hello);
        let error = handshake_error(&bytes).await;
        assert!(
            matches!(error, ChannelError::Version { version } if version == PROTOCOL_VERSION + 1)
        );
    });
}

#[test]
fn handshake_with_another_message_or_a_short_nonce_fails() {
    run(async {
        let ack = Envelope { payload: Some(Payload::Ack(Ack {})) }.encode_to_vec();
        for message in [hello(PROTOCOL_VERSION, 4), ack, Vec::new()] {
            let mut bytes = u32::try_from(message.len()).unwrap().to_be_bytes().to_vec();
            bytes.extend(message);
            assert!(matches!(handshake_error(&bytes).await, ChannelError::Unexpected));
        }
    });
}

#[test]
fn oversized_handshake_is_refused_because_of_its_length() {
    run(async {
        let error = handshake_error(&(1_u32 << 20).to_be_bytes()).await;
        assert!(matches!(error, ChannelError::Connection { .. }));
    });
}

#[test]
fn slow_handshake_times_out_on_both_sides() {
    run(async {
        let limit = Duration::from_secs(10);
        let (mut silent, own) = duplex(PIPE_BYTES);
        let accepted = tokio::time::timeout(limit, accept(own, &key(), "server", LIMITS)).await;
        assert!(matches!(accepted, Ok(Err(ChannelError::HandshakeTimeout))));
        silent.write_all(b"late").await.expect_err("the connection must be closed");
        let (_silent, own) = duplex(PIPE_BYTES);
        let connected = tokio::time::timeout(limit, connect(own, &key(), "client", LIMITS)).await;
        assert!(matches!(connected, Ok(Err(ChannelError::HandshakeTimeout))));
    });
}

#[test]
fn handshake_that_trickles_in_byte_by_byte_times_out() {
    run(async {
        let (mut slow, own) = duplex(PIPE_BYTES);
        let trickle = async {
            for byte in [0, 0, 3, 0].into_iter().chain(std::iter::repeat(1)) {
                if slow.write_u8(byte).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        };
        let fleet_key = key();
        let (accepted, ()) = tokio::join!(accept(own, &fleet_key, "server", LIMITS), trickle);
        assert!(matches!(accepted, Err(ChannelError::HandshakeTimeout)));
    });
}

proptest! {
    #[test]
    fn garbage_instead_of_a_handshake_fails(garbage in proptest::collection::vec(any::<u8>(), 0..600)) {
        run(async { handshake_error(&garbage).await });
    }

    #[test]
    fn garbage_instead_of_a_frame_is_not_accepted(garbage in proptest::collection::vec(any::<u8>(), 0..600)) {
        let received = run(async {
            let mut relay = Relay::open().await;
            relay.deliver(&garbage).await
        });
        prop_assert!(matches!(received, Err(ChannelError::NotAuthentic)));
    }
}

proptest! {
    /// Guards against accepting datagrams from senders without the fleet key: altered, truncated and random datagrams,
    /// and those sealed with another key.
    #[test]
    fn altered_datagrams_are_refused(
        position in any::<prop::sample::Index>(),
        mask in 1_u8..,
        cut_at in any::<prop::sample::Index>(),
        random in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let notice = Notice::Chunk(ChunkNotice {
            model: "m".to_owned(),
            version: 3,
            pieces: Bytes::from(vec![7; 12]),
            wanted: true,
        });
        let sealed = seal_datagram(notice.clone(), &key());
        prop_assert_eq!(open_datagram(&sealed, &key()).expect("an unaltered datagram is accepted"), notice);
        let mut altered = sealed.to_vec();
        altered[position.index(sealed.len())] ^= mask;
        prop_assert!(open_datagram(&altered, &key()).is_err());
        prop_assert!(open_datagram(&sealed[..cut_at.index(sealed.len())], &key()).is_err());
        prop_assert!(open_datagram(&random, &key()).is_err());
        prop_assert!(open_datagram(&sealed, &FleetKey::new("another")).is_err());
    }
}
