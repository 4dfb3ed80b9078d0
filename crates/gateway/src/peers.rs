//! The datagram socket of a process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::{debug, warn};
use member::EntryMember;
use snafu::ResultExt;
use tokio::net::UdpSocket;
use wire::{
    EntryBeat, EntryContact, FleetKey, MAX_DATAGRAM_BYTES, Notice, open_datagram, seal_datagram,
};

use crate::frames::{BindSnafu, NodeError};

/// Sends and receives notices.
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

    /// Sends a notice to several peers. What cannot be sent is lost like any datagram.
    pub(crate) fn send(&self, notice: Notice, peers: impl IntoIterator<Item = SocketAddr>) {
        let bytes = seal_datagram(notice, &self.key);
        for peer in peers {
            if let Err(error) = self.socket.try_send_to(&bytes, peer) {
                debug!("event=datagram_not_sent peer={peer} error=\"{error}\"");
            }
        }
    }

    /// Waits for the next authentic notice.
    pub(crate) async fn receive(&self) -> (Notice, SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 64];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, peer)) => match open_datagram(&buffer[..length], &self.key) {
                    Ok(notice) => return (notice, peer),
                    Err(error) => debug!("event=datagram_refused peer={peer} error=\"{error}\""),
                },
                // An ICMP answer to an earlier datagram is reported here.
                Err(error) => debug!("event=datagram_error error=\"{error}\""),
            }
        }
    }
}

/// Entries with the time since each was heard of, as a beat names them.
pub(crate) fn entry_contacts<'a>(
    heard: impl IntoIterator<Item = (&'a EntryMember, Duration)>,
) -> Vec<EntryContact> {
    heard
        .into_iter()
        .map(|(member, age)| EntryContact {
            peer: member.peer.to_string(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
        .collect()
}

/// Reads a beat; `None` if its addresses are none.
pub(crate) fn read_entry_beat(beat: &EntryBeat) -> Option<EntryMember> {
    let (Ok(peer), Ok(caller_address)) = (beat.peer.parse(), beat.caller_address.parse()) else {
        warn!("event=beat_unreadable peer={} caller_address={}", beat.peer, beat.caller_address);
        return None;
    };
    Some(EntryMember {
        name: beat.name.as_str().into(),
        incarnation: beat.incarnation,
        sequence: beat.sequence,
        data_centre: beat.data_centre.as_str().into(),
        caller_address,
        peer,
        ready: beat.ready,
        leaving: beat.leaving,
        head: beat.head,
        brief: beat.brief,
    })
}
