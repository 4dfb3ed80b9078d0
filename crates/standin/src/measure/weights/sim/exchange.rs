//! Messages between the hosts of the simulated fleet, with the transmission times of its links.

use std::time::Duration;

use base::ContentDigest;
use bytes::Bytes;
use weights::{ChunkSource, FetchFault, FetchId, VerifiedChunk};

use super::{FleetSim, MESSAGE_DELAY, message::Message};
use crate::measure::weights::{FaultKind, run::SHARED_LINK_FACTOR};

impl FleetSim {
    /// Schedules the receipt of a chunk whose last byte has reached the host's incoming link. The link received the
    /// bytes while they were being sent, so that they are delayed only if it was busy.
    pub(super) fn receive_over_link(&mut self, host: usize, response: Message) {
        let Message::ChunkResponse { data: Ok(data), .. } = &response else { return };
        let transmission_time = self.transmission_time(data.len());
        let receiver = &mut self.hosts[host];
        receiver.downlink_free_at = self.now.max(receiver.downlink_free_at + transmission_time);
        let arrived = receiver.downlink_free_at;
        self.push(arrived, host, response);
    }

    /// Responds for a host that is down: connections to it are refused.
    pub(super) fn refuse_message(&mut self, host: usize, message: Message) {
        match message {
            Message::HeldChunks { from, manifest, .. } => {
                let response =
                    Message::HeldChunksResponse { from: host, manifest, bitmap: None, queued: 0 };
                self.push(self.now + MESSAGE_DELAY, from, response);
            }
            Message::Chunk { from, manifest, index, id, .. } => {
                let data = Err(FetchFault::Unreachable);
                self.respond(Some(host), from, manifest, index, id, data, Bytes::new(), 0);
            }
            Message::Manifest { from, manifest, id } => {
                let result = Err(FetchFault::Unreachable);
                let response = Message::ManifestResponse { manifest, id, result };
                self.push(self.now + MESSAGE_DELAY, from, response);
            }
            _ => {}
        }
    }

    pub(super) fn request(
        &mut self,
        host: usize,
        manifest: ContentDigest,
        index: u32,
        source: ChunkSource,
        id: FetchId,
    ) {
        match source {
            ChunkSource::Peer(peer) => {
                let Some(&to) = self.index_by_host.get(&peer) else { return };
                if !self.is_partitioned(host, to) {
                    let bitmap = self.hosts[host].plan.bitmap(manifest);
                    let request = Message::Chunk { from: host, manifest, index, id, bitmap };
                    self.push(self.now + MESSAGE_DELAY, to, request);
                }
            }
            ChunkSource::Origin(origin) => {
                if let Some(fault) = self.origin_fault(origin) {
                    let data = Err(fault);
                    return self.respond(None, host, manifest, index, id, data, Bytes::new(), 0);
                }
                let mut data = self.content(manifest, index);
                let transmission_time = self.transmission_time(data.len()) / SHARED_LINK_FACTOR;
                self.origin_free_at = self.origin_free_at.max(self.now) + transmission_time;
                self.figures.origin_bytes += data.len() as u64;
                if self.origin_faults > 0 {
                    self.origin_faults -= 1;
                    data = self.damage(&data);
                }
                let sent = self.origin_free_at;
                self.deliver(sent, None, host, manifest, index, id, data);
            }
        }
    }

    pub(super) fn respond_to_have(
        &mut self,
        host: usize,
        from: usize,
        manifest: ContentDigest,
        bitmap: &[u8],
    ) {
        let now = self.epoch + self.now;
        let requester = self.records[from].host.clone();
        let lies = self.has_fault(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        if !bitmap.is_empty() {
            plan.record_held_chunks(now, manifest, &requester, bitmap, 0);
        }
        let mut bitmap = plan.bitmap(manifest);
        if lies {
            bitmap = vec![0xff; bitmap.len()].into();
        }
        let queued = plan.queued_uploads();
        if !self.is_partitioned(host, from) {
            let response =
                Message::HeldChunksResponse { from: host, manifest, bitmap: Some(bitmap), queued };
            self.push(self.now + MESSAGE_DELAY, from, response);
        }
    }

    pub(super) fn serve(
        &mut self,
        host: usize,
        from: usize,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        bitmap: &[u8],
    ) {
        let now = self.epoch + self.now;
        let requester = self.records[from].host.clone();
        let lies = self.has_fault(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        plan.record_held_chunks(now, manifest, &requester, bitmap, 0);
        let decision = if lies {
            Err(FetchFault::NotHeld)
        } else {
            plan.serve_chunk(now, manifest, index, &requester, bitmap)
        };
        match decision {
            Ok(mut data) => {
                let transmission_time = self.transmission_time(data.len());
                let server = &mut self.hosts[host];
                server.uplink_free_at = server.uplink_free_at.max(self.now) + transmission_time;
                server.uploaded += data.len() as u64;
                let mut sent = server.uplink_free_at;
                self.push(sent, host, Message::UploadDone);
                let (out, into) = (&self.records[host].region, &self.records[from].region);
                if out != into {
                    let transmission_time = transmission_time / SHARED_LINK_FACTOR;
                    let free = self.region_out.entry(out.to_string()).or_default();
                    *free = (*free).max(self.now) + transmission_time;
                    sent = sent.max(*free);
                    let free = self.region_in.entry(into.to_string()).or_default();
                    *free = (free.0.max(self.now) + transmission_time, free.1 + data.len() as u64);
                    sent = sent.max(free.0);
                }
                if self.has_fault(host, FaultKind::Corrupt)
                    || self.has_fault(host, FaultKind::Truncate)
                {
                    data = self.damage(&data);
                }
                self.deliver(sent, Some(host), from, manifest, index, id, data);
            }
            Err(fault) => {
                let plan = &self.hosts[host].plan;
                let (bitmap, queued) = (plan.bitmap(manifest), plan.queued_uploads());
                self.respond(Some(host), from, manifest, index, id, Err(fault), bitmap, queued);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn deliver(
        &mut self,
        sent: Duration,
        from: Option<usize>,
        to: usize,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        data: Bytes,
    ) {
        let (bitmap, queued) = match from {
            Some(from) => {
                let plan = &self.hosts[from].plan;
                (plan.bitmap(manifest), plan.queued_uploads())
            }
            None => (Bytes::new(), 0),
        };
        let data = Ok(data);
        let response = Message::ChunkResponse { from, manifest, index, id, data, bitmap, queued };
        self.push(sent + MESSAGE_DELAY, to, Message::Arrival(Box::new(response)));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn respond(
        &mut self,
        from: Option<usize>,
        to: usize,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        data: Result<Bytes, FetchFault>,
        bitmap: Bytes,
        queued: u32,
    ) {
        self.figures.control_messages += 2;
        let message = Message::ChunkResponse { from, manifest, index, id, data, bitmap, queued };
        self.push(self.now + MESSAGE_DELAY, to, message);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn receive(
        &mut self,
        host: usize,
        from: Option<usize>,
        digest: ContentDigest,
        index: u32,
        id: FetchId,
        data: Result<Bytes, FetchFault>,
        bitmap: &[u8],
        queued: u32,
    ) {
        let now = self.epoch + self.now;
        let bytes = data.as_ref().map_or(0, |data| data.len() as u64);
        if self.hosts[host].cancelled.remove(&id) {
            self.figures.wasted_bytes += bytes;
            return;
        }
        if let Some(from) =
            from.filter(|from| !bitmap.is_empty() && !self.is_partitioned(host, *from))
        {
            let peer = self.records[from].host.clone();
            self.hosts[host].plan.record_held_chunks(now, digest, &peer, bitmap, queued);
        }
        let Some(manifest) = self.hosts[host].plan.store().manifest(digest).cloned() else {
            return;
        };
        let chunk = data.and_then(|data| VerifiedChunk::verify(&manifest, index, data));
        let actions = self.hosts[host].plan.record_chunk(now, digest, index, id, chunk);
        self.execute(host, actions);
        self.record_completed(host);
    }
}
