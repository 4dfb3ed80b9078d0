//! Reads the engine's load and reports it to the entries in heartbeats.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use chunks::{ChunkSet, LoadVerdict, WeightsId};
use tokio::time::{MissedTickBehavior, interval};
use wire::{AgentHeartbeat, ChunkNotice, Notice};

use super::shared::AgentShared;
use crate::peers::{NoticeSocket, entry_contacts, parse_entry_heartbeat};

/// Interval between reads of the load. A request takes about a second, so the load changes little between two reads.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum number of ticks between two heartbeats to entries in other regions, because cross-region traffic is billed.
const REMOTE_TICKS: u64 = 2;
/// Used instead of [`REMOTE_TICKS`] if there are more than [`MANY_REMOTE`] such entries: fleets of that size have
/// enough engines in each region, so few requests go to another region.
const MANY_REMOTE_TICKS: u64 = 5;
const MANY_REMOTE: usize = 12;
/// Number of ticks after which a heartbeat is sent although nothing has changed.
const IDLE_TICKS: u64 = 4;
/// Time before a load in which a heartbeat is sent with every tick, because datagrams may be lost and entries must place
/// no request that would still be waiting then.
const LOAD_NOTICE_MS: u32 = 500;
/// Number of ticks between two heartbeats that carry contacts.
const CONTACT_TICKS: u64 = 20;
/// Maximum slowdown that is reported; an engine that is this slow gets no requests anyway.
const MAX_SLOWDOWN: f64 = 1_000.0;
const MAX_CONTACTS: usize = 16;

/// Sends heartbeats until the task is dropped.
pub(super) async fn send(shared: Arc<AgentShared>, socket: NoticeSocket) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0_u64;
    let mut last: Option<(AgentHeartbeat, u64)> = None;
    let mut last_remote = 0;
    let mut is_engine_lost = false;
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.wake_heartbeats.notified() => true,
        };
        sequence += 1;
        super::engine::read_report(&shared, &mut is_engine_lost).await;
        let now = shared.clock.now();
        let heartbeat = make_heartbeat(&shared, sequence, now);
        let has_changed = last.as_ref().is_none_or(|(sent, at)| {
            sequence - at >= IDLE_TICKS
                || heartbeat.change_in_ms.is_some_and(|change_in| change_in < LOAD_NOTICE_MS)
                || (
                    sent.running,
                    sent.queued,
                    sent.version,
                    sent.unverified_version,
                    sent.switching,
                    sent.slowdown_percent,
                ) != (
                    heartbeat.running,
                    heartbeat.queued,
                    heartbeat.version,
                    heartbeat.unverified_version,
                    heartbeat.switching,
                    heartbeat.slowdown_percent,
                )
        });
        if !has_changed && !is_urgent {
            continue;
        }
        let ticks_since_remote = if is_urgent { u64::MAX } else { sequence - last_remote };
        let (targets, with_remote) = targets(&shared, ticks_since_remote, now);
        if with_remote {
            last_remote = sequence;
        }
        last = Some((heartbeat.clone(), sequence));
        socket.send(Notice::Agent(heartbeat), targets);
    }
}

/// Returns the entries to which a heartbeat is sent, and whether entries in other regions are among them.
/// `ticks_since_remote` is the number of ticks since the last heartbeat to other regions.
fn targets(shared: &AgentShared, ticks_since_remote: u64, now: Instant) -> (Vec<SocketAddr>, bool) {
    let common = &shared.settings.common;
    let membership = shared.membership();
    let (mut targets, remote): (Vec<_>, Vec<_>) =
        membership.alive(now).partition(|entry| common.is_local_region(&entry.data_centre));
    let ticks = if remote.len() > MANY_REMOTE { MANY_REMOTE_TICKS } else { REMOTE_TICKS };
    let with_remote = ticks_since_remote >= ticks;
    if with_remote {
        targets.extend(remote);
    }
    (targets.into_iter().map(|entry| entry.peer).collect(), with_remote)
}

fn make_heartbeat(shared: &AgentShared, sequence: u64, now: Instant) -> AgentHeartbeat {
    let report = shared.report();
    let engine_started_ms = report.as_ref().map(|report| report.started_at_ms);
    let report = report.unwrap_or_default();
    let (version, unverified_version) = stated_versions(shared);
    let contacts = if sequence % CONTACT_TICKS == 1 {
        let mut membership = shared.membership();
        membership.expire(now);
        entry_contacts(membership.members_with_age(now).take(MAX_CONTACTS))
    } else {
        Vec::new()
    };
    AgentHeartbeat {
        sequence,
        upstream: shared.settings.engine.to_string(),
        running: report.running,
        queued: report.queued,
        version,
        switching: shared.is_switching() || report.busy,
        incarnation: shared.incarnation,
        contacts,
        slowdown_percent: (report.slowdown.min(MAX_SLOWDOWN) * 100.0) as u32,
        change_in_ms: shared.next_load_at().map(|at| millis_until(at, now)),
        weights_in_ms: shared.weights_at().map(|at| millis_until(at, now)),
        engine_started_ms,
        unverified_version,
        load_orders: report.load_orders,
    }
}

/// Version that the engine serves from a verified load, and the one that an earlier process of this agent may have
/// verified; 0 if there is none.
fn stated_versions(shared: &AgentShared) -> (u64, u64) {
    match shared.served_load() {
        Some((load, LoadVerdict::Verified)) => (load.weights.version, 0),
        Some((load, LoadVerdict::Unverified)) if shared.loads().is_inherited(&load) => {
            (0, load.weights.version)
        }
        _ => (0, 0),
    }
}

fn millis_until(at: Instant, now: Instant) -> u32 {
    u32::try_from(at.saturating_duration_since(now).as_millis()).unwrap_or(u32::MAX)
}

/// Receives notices until the task is dropped.
pub(super) async fn receive(shared: Arc<AgentShared>, socket: NoticeSocket) {
    loop {
        match socket.receive().await {
            (Notice::Entry(heartbeat), _) => {
                let Some(member) = parse_entry_heartbeat(&heartbeat) else { continue };
                shared.membership().record_heartbeat(member, shared.clock.now());
                let known = shared.assignment().map(|assignment| assignment.digest);
                if known != Some(heartbeat.brief) {
                    shared.wake_transfer.notify_one();
                }
            }
            (Notice::Chunk(notice), peer) => record_peer_chunks(&shared, &socket, &notice, peer),
            (
                Notice::Agent(_)
                | Notice::Crash(_)
                | Notice::Limits(_)
                | Notice::PromptParts(_)
                | Notice::Speeds(_),
                _,
            ) => {}
        }
    }
}

fn record_peer_chunks(
    shared: &AgentShared,
    socket: &NoticeSocket,
    notice: &ChunkNotice,
    peer: SocketAddr,
) {
    let weights = WeightsId { model: notice.model.as_str().into(), version: notice.version };
    let mut transfers = shared.transfers();
    let Some(transfer) = transfers.get_mut(&weights) else { return };
    let swarm = &mut transfer.swarm;
    let held = ChunkSet::with_bytes(notice.pieces.to_vec());
    swarm.record_peer_chunks(peer, held, shared.clock.now());
    if notice.wanted && swarm.held().count() > 0 {
        socket.send(Notice::Chunk(chunk_notice(swarm, false)), [peer]);
    }
    if !swarm.is_complete() {
        shared.wake_transfer.notify_one();
    }
}

/// Builds the notice that lists the chunks held by this agent. With `wanted`, the receivers are asked to send theirs.
pub(super) fn chunk_notice(swarm: &chunks::ChunkSwarm, wanted: bool) -> ChunkNotice {
    ChunkNotice {
        model: swarm.name().model.to_string(),
        version: swarm.name().version,
        pieces: swarm.held().as_bytes().to_vec().into(),
        wanted,
    }
}
