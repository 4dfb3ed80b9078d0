//! Messages between the system's own processes, and the authenticated channel that carries them.
//!
//! The channel protects against foreign, altered, replayed and oversize frames. It does not encrypt: anyone on the path
//! can read what is sent, and anyone who holds the fleet key can speak as any process.

mod channel;
mod datagram;
mod message;

pub use crate::{
    channel::{
        ChannelError, ChannelLimits, FleetKey, FrameChannel, FrameReceiver, FrameSender,
        PROTOCOL_VERSION, accept, connect,
    },
    datagram::{DatagramError, MAX_DATAGRAM_BYTES, open_datagram, seal_datagram},
    message::*,
};
