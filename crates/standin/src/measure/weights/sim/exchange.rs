//! Exchanges between the hosts of the simulated fleet, over its links.

use std::time::Duration;

use base::ContentDigest;
use bytes::Bytes;
use weights::{ChunkSource, FetchFault, FetchTicket, VerifiedChunk};

use super::{DELAY, FleetSim, message::Message};
use crate::measure::weights::{FaultKind, run::WIDE_LINK_FACTOR};

impl FleetSim {
    /// The link into the host carried the bytes while they were sent, unless it was busy.
    pub(super) fn arrive(&mut self, host: usize, reply: Message) {
        let Message::ChunkReply { data: Ok(data), .. } = &reply else { return };
        let span = self.span(data.len());
        let receiver = &mut self.hosts[host];
        receiver.down_free = self.now.max(receiver.down_free + span);
        let arrived = receiver.down_free;
        self.push(arrived, host, reply);
    }

    /// A dead host does not answer: its connections are refused.
    pub(super) fn refuse(&mut self, host: usize, message: Message) {
        match message {
            Message::Have { from, manifest, .. } => {
                let reply = Message::HaveReply { from: host, manifest, bitmap: None, queued: 0 };
                self.push(self.now + DELAY, from, reply);
            }
            Message::Chunk { from, manifest, index, ticket, .. } => {
                let data = Err(FetchFault::Unreachable);
                self.reply(Some(host), from, manifest, index, ticket, data, Bytes::new(), 0);
            }
            Message::Manifest { from, manifest, ticket } => {
                let result = Err(FetchFault::Unreachable);
                let reply = Message::ManifestReply { manifest, ticket, result };
                self.push(self.now + DELAY, from, reply);
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
        ticket: FetchTicket,
    ) {
        match source {
            ChunkSource::Peer(peer) => {
                let Some(&to) = self.by_host.get(&peer) else { return };
                if !self.is_cut(host, to) {
                    let bitmap = self.hosts[host].plan.bitmap(manifest);
                    let ask = Message::Chunk { from: host, manifest, index, ticket, bitmap };
                    self.push(self.now + DELAY, to, ask);
                }
            }
            ChunkSource::Origin(origin) => {
                if let Some(fault) = self.origin_fault(origin) {
                    let data = Err(fault);
                    return self.reply(None, host, manifest, index, ticket, data, Bytes::new(), 0);
                }
                let mut data = self.content(manifest, index);
                let span = self.span(data.len()) / WIDE_LINK_FACTOR;
                self.origin_free = self.origin_free.max(self.now) + span;
                self.figures.origin_bytes += data.len() as u64;
                if self.origin_faults > 0 {
                    self.origin_faults -= 1;
                    data = self.damaged(&data);
                }
                let sent = self.origin_free;
                self.deliver(sent, None, host, manifest, index, ticket, data);
            }
        }
    }

    pub(super) fn answer_have(
        &mut self,
        host: usize,
        from: usize,
        manifest: ContentDigest,
        bitmap: &[u8],
    ) {
        let now = self.epoch + self.now;
        let asker = self.records[from].host.clone();
        let lies = self.is_victim(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        if !bitmap.is_empty() {
            plan.record_have(now, manifest, &asker, bitmap, 0);
        }
        let mut bitmap = plan.bitmap(manifest);
        if lies {
            bitmap = vec![0xff; bitmap.len()].into();
        }
        let queued = plan.queued_uploads();
        if !self.is_cut(host, from) {
            let reply = Message::HaveReply { from: host, manifest, bitmap: Some(bitmap), queued };
            self.push(self.now + DELAY, from, reply);
        }
    }

    pub(super) fn serve(
        &mut self,
        host: usize,
        from: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        bitmap: &[u8],
    ) {
        let now = self.epoch + self.now;
        let asker = self.records[from].host.clone();
        let lies = self.is_victim(host, FaultKind::PeerLies);
        let plan = &mut self.hosts[host].plan;
        plan.record_have(now, manifest, &asker, bitmap, 0);
        let decision = if lies {
            Err(FetchFault::NotHeld)
        } else {
            plan.serve_chunk(now, manifest, index, &asker, bitmap)
        };
        match decision {
            Ok(mut data) => {
                let span = self.span(data.len());
                let server = &mut self.hosts[host];
                server.up_free = server.up_free.max(self.now) + span;
                server.uploaded += data.len() as u64;
                let mut sent = server.up_free;
                self.push(sent, host, Message::UploadDone);
                let (out, into) = (&self.records[host].region, &self.records[from].region);
                if out != into {
                    let span = span / WIDE_LINK_FACTOR;
                    let free = self.region_out.entry(out.to_string()).or_default();
                    *free = (*free).max(self.now) + span;
                    sent = sent.max(*free);
                    let free = self.region_in.entry(into.to_string()).or_default();
                    *free = (free.0.max(self.now) + span, free.1 + data.len() as u64);
                    sent = sent.max(free.0);
                }
                if self.is_victim(host, FaultKind::Corrupt)
                    || self.is_victim(host, FaultKind::Truncate)
                {
                    data = self.damaged(&data);
                }
                self.deliver(sent, Some(host), from, manifest, index, ticket, data);
            }
            Err(fault) => {
                let plan = &self.hosts[host].plan;
                let (bitmap, queued) = (plan.bitmap(manifest), plan.queued_uploads());
                self.reply(Some(host), from, manifest, index, ticket, Err(fault), bitmap, queued);
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
        ticket: FetchTicket,
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
        let reply = Message::ChunkReply { from, manifest, index, ticket, data, bitmap, queued };
        self.push(sent + DELAY, to, Message::Arrival(Box::new(reply)));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn reply(
        &mut self,
        from: Option<usize>,
        to: usize,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Result<Bytes, FetchFault>,
        bitmap: Bytes,
        queued: u32,
    ) {
        self.figures.control_messages += 2;
        let message = Message::ChunkReply { from, manifest, index, ticket, data, bitmap, queued };
        self.push(self.now + DELAY, to, message);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn receive(
        &mut self,
        host: usize,
        from: Option<usize>,
        digest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        data: Result<Bytes, FetchFault>,
        bitmap: &[u8],
        queued: u32,
    ) {
        let now = self.epoch + self.now;
        let bytes = data.as_ref().map_or(0, |data| data.len() as u64);
        if self.hosts[host].cancelled.remove(&ticket) {
            self.figures.wasted_bytes += bytes;
            return;
        }
        if let Some(from) = from.filter(|from| !bitmap.is_empty() && !self.is_cut(host, *from)) {
            let peer = self.records[from].host.clone();
            self.hosts[host].plan.record_have(now, digest, &peer, bitmap, queued);
        }
        let Some(manifest) = self.hosts[host].plan.store().manifest(digest).cloned() else {
            return;
        };
        let chunk = data.and_then(|data| VerifiedChunk::verify(&manifest, index, data));
        let actions = self.hosts[host].plan.record_chunk(now, digest, index, ticket, chunk);
        self.execute(host, actions);
        self.note_done(host);
    }
}
