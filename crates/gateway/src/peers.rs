//! UDP socket over which processes exchange notices.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::{debug, warn};
use member::EntryMember;
use snafu::ResultExt;
use tokio::net::UdpSocket;
use wire::{
    EntryContact, EntryHeartbeat, FleetKey, MAX_DATAGRAM_BYTES, Notice, open_datagram,
    seal_datagram,
};

use crate::frames::{BindSnafu, NodeError};

/// Sends and receives authenticated notices.
#[derive(Clone)]
pub(crate) struct NoticeSocket {
    socket: Arc<UdpSocket>,
    key: FleetKey,
}

impl NoticeSocket {
    pub(crate) async fn bind(address: SocketAddr, key: FleetKey) -> Result<Self, NodeError> {
        let socket = UdpSocket::bind(address).await.context(BindSnafu { address })?;
        Ok(Self { socket: Arc::new(socket), key })
    }

    /// Sends a notice to several peers. A datagram that cannot be sent counts as lost.
    pub(crate) fn send(&self, notice: Notice, peers: impl IntoIterator<Item = SocketAddr>) {
        let bytes = seal_datagram(notice, &self.key);
        for peer in peers {
            if let Err(error) = self.socket.try_send_to(&bytes, peer) {
                debug!("event=datagram_not_sent peer={peer} error=\"{error}\"");
            }
        }
    }

    /// Waits for the next authentic notice and returns it with its sender; all other datagrams are dropped.
    pub(crate) async fn receive(&self) -> (Notice, SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 64];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, peer)) => match open_datagram(&buffer[..length], &self.key) {
                    Ok(notice) => return (notice, peer),
                    Err(error) => debug!("event=datagram_refused peer={peer} error=\"{error}\""),
                },
                // Also reports ICMP errors caused by earlier datagrams.
                Err(error) => debug!("event=datagram_error error=\"{error}\""),
            }
        }
    }
}

/// Converts entries and the time since each was last seen into the contact list of a heartbeat.
pub(crate) fn entry_contacts<'a>(
    members: impl IntoIterator<Item = (&'a EntryMember, Duration)>,
) -> Vec<EntryContact> {
    members
        .into_iter()
        .map(|(member, age)| EntryContact {
            peer: member.peer.to_string(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
        .collect()
}

/// Parses a heartbeat; `None` if it contains an invalid address.
pub(crate) fn parse_entry_heartbeat(heartbeat: &EntryHeartbeat) -> Option<EntryMember> {
    let (Ok(peer), Ok(caller_address)) = (heartbeat.peer.parse(), heartbeat.caller_address.parse())
    else {
        warn!(
            "event=beat_unreadable peer={} caller_address={}",
            heartbeat.peer, heartbeat.caller_address
        );
        return None;
    };
    Some(EntryMember {
        name: heartbeat.name.as_str().into(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        data_centre: heartbeat.data_centre.as_str().into(),
        caller_address,
        peer,
        ready: heartbeat.ready,
        leaving: heartbeat.leaving,
        revision: heartbeat.head,
        assignment_digest: heartbeat.brief,
    })
}
