//! Messages between the processes of the system, and the authenticated channel that transports them.
//!
//! The channel rejects frames that are forged, altered, replayed or oversized. It does not encrypt: anyone on the
//! network path can read the messages, and anyone with the fleet key can impersonate any process.

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
