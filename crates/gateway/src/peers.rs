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

use crate::{
    frames::{BindSnafu, NodeError},
    metrics::MetricSet,
};

/// Sends and receives authenticated notices, and counts them.
#[derive(Clone)]
pub(crate) struct NoticeSocket {
    socket: Arc<UdpSocket>,
    key: FleetKey,
    metrics: MetricSet,
}

/// Kind of a notice, as a label of metrics.
fn kind_of(notice: &Notice) -> &'static str {
    match notice {
        Notice::Entry(heartbeat) if heartbeat.contacts.is_empty() => "entry",
        Notice::Entry(_) => "entry_contacts",
        Notice::Agent(_) => "agent",
        Notice::Chunk(_) => "chunks",
        Notice::Crash(_) => "crash",
        Notice::Limits(_) => "limits",
        Notice::PromptParts(_) => "prompt_parts",
        Notice::Speeds(_) => "speeds",
    }
}

impl NoticeSocket {
    pub(crate) async fn bind(
        address: SocketAddr,
        key: FleetKey,
        metrics: MetricSet,
    ) -> Result<Self, NodeError> {
        let socket = UdpSocket::bind(address).await.context(BindSnafu { address })?;
        Ok(Self { socket: Arc::new(socket), key, metrics })
    }

    /// Sends a notice to several peers. A datagram that cannot be sent counts as lost.
    pub(crate) fn send(&self, notice: Notice, peers: impl IntoIterator<Item = SocketAddr>) {
        let kind = kind_of(&notice);
        let bytes = seal_datagram(notice, &self.key);
        let (mut sent, mut dropped) = (0, 0);
        for peer in peers {
            match self.socket.try_send_to(&bytes, peer) {
                Ok(_) => sent += 1,
                Err(error) => {
                    debug!("event=datagram_not_sent peer={peer} error=\"{error}\"");
                    dropped += 1;
                }
            }
        }
        self.metrics.add(&format!("datagrams_sent_total{{kind=\"{kind}\"}}"), sent);
        let sent_bytes = sent * bytes.len() as u64;
        self.metrics.add(&format!("datagram_bytes_sent_total{{kind=\"{kind}\"}}"), sent_bytes);
        if dropped > 0 {
            self.metrics.add("datagrams_not_sent_total", dropped);
        }
    }

    /// Waits for the next authentic notice and returns it with its sender; all other datagrams are dropped.
    pub(crate) async fn receive(&self) -> (Notice, SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 64];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, peer)) => match open_datagram(&buffer[..length], &self.key) {
                    Ok(notice) => {
                        self.metrics.count("datagrams_received_total");
                        return (notice, peer);
                    }
                    Err(error) => {
                        debug!("event=datagram_refused peer={peer} error=\"{error}\"");
                        self.metrics.count("datagrams_refused_total");
                    }
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
            age_ms: age_millis(age),
        })
        .collect()
}

/// Age in whole milliseconds, as used in heartbeats.
pub(crate) fn age_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
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
        store_age: heartbeat.store_age_ms.map(|age| Duration::from_millis(age.into())),
        state_age: heartbeat.state_age_ms.map(|age| Duration::from_millis(age.into())),
    })
}
