//! Reads the engine's load and reports it to the entries.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use pieces::{PieceSet, WeightsName};
use tokio::time::{MissedTickBehavior, interval};
use wire::{AgentBeat, HoldingNotice, Notice};

use super::shared::AgentShared;
use crate::peers::{NoticeSocket, entry_contacts, read_entry_beat};

/// Interval at which the load is read; a request takes about a second, so the load changes little meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two beats to entries in other regions, whose bytes are priced.
const REMOTE_TICKS: u64 = 2;
/// The same if there are more than [`MANY_REMOTE`] of these: such fleets have enough engines in each region, so that
/// requests seldom go to another one.
const MANY_REMOTE_TICKS: u64 = 5;
const MANY_REMOTE: usize = 12;
/// Ticks after which a beat is sent although nothing has changed.
const IDLE_TICKS: u64 = 4;
/// Ticks between two beats that carry contacts.
const CONTACT_TICKS: u64 = 20;
/// Slowest pace that is told apart; an engine that is slower gets no requests anyway.
const MAX_PACE: f64 = 1_000.0;
const MAX_CONTACTS: usize = 16;

/// Sends beats until the task is dropped.
pub(super) async fn send(shared: Arc<AgentShared>, socket: NoticeSocket) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0_u64;
    let mut last: Option<(AgentBeat, u64)> = None;
    let mut last_remote = 0;
    let mut is_lost = false;
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.wake_beats.notified() => true,
        };
        sequence += 1;
        super::engine::read_report(&shared, &mut is_lost).await;
        let now = shared.clock.now();
        let beat = make_beat(&shared, sequence, now);
        let has_changed = last.as_ref().is_none_or(|(sent, at)| {
            sequence - at >= IDLE_TICKS
                || (sent.running, sent.queued, sent.version, sent.switching, sent.pace_percent)
                    != (beat.running, beat.queued, beat.version, beat.switching, beat.pace_percent)
        });
        if !has_changed && !is_urgent {
            continue;
        }
        let quiet_ticks = if is_urgent { u64::MAX } else { sequence - last_remote };
        let (targets, with_remote) = targets(&shared, quiet_ticks, now);
        if with_remote {
            last_remote = sequence;
        }
        last = Some((beat.clone(), sequence));
        socket.send(Notice::Agent(beat), targets);
    }
}

/// Entries to which a beat goes, and whether those of other regions are among them; `quiet_ticks` is the number of ticks
/// since these got the last one.
fn targets(shared: &AgentShared, quiet_ticks: u64, now: Instant) -> (Vec<SocketAddr>, bool) {
    let common = &shared.settings.common;
    let roster = shared.roster();
    let (mut targets, remote): (Vec<_>, Vec<_>) =
        roster.alive(now).partition(|entry| common.is_own_region(&entry.data_centre));
    let ticks = if remote.len() > MANY_REMOTE { MANY_REMOTE_TICKS } else { REMOTE_TICKS };
    let with_remote = quiet_ticks >= ticks;
    if with_remote {
        targets.extend(remote);
    }
    (targets.into_iter().map(|entry| entry.peer).collect(), with_remote)
}

fn make_beat(shared: &AgentShared, sequence: u64, now: Instant) -> AgentBeat {
    let report = shared.report().unwrap_or_default();
    let contacts = if sequence % CONTACT_TICKS == 1 {
        let mut roster = shared.roster();
        roster.expire(now);
        entry_contacts(roster.heard(now).take(MAX_CONTACTS))
    } else {
        Vec::new()
    };
    AgentBeat {
        sequence,
        upstream: shared.settings.engine.to_string(),
        running: report.running,
        queued: report.queued,
        version: shared.loaded_version(),
        switching: shared.is_switching() || report.busy,
        incarnation: shared.incarnation,
        contacts,
        pace_percent: (report.pace.min(MAX_PACE) * 100.0) as u32,
        change_in_ms: shared.change_at().map(|at| {
            let left = at.saturating_duration_since(now).as_millis();
            u32::try_from(left).unwrap_or(u32::MAX)
        }),
    }
}

/// Receives notices until the task is dropped.
pub(super) async fn receive(shared: Arc<AgentShared>, socket: NoticeSocket) {
    loop {
        match socket.receive().await {
            (Notice::Entry(beat), _) => {
                let Some(member) = read_entry_beat(&beat) else { continue };
                shared.roster().record_beat(member, shared.clock.now());
                let known = shared.brief().map(|brief| brief.digest);
                if known != Some(beat.brief) {
                    shared.wake.notify_one();
                }
            }
            (Notice::Holding(notice), peer) => record_holding(&shared, &socket, &notice, peer),
            (Notice::Agent(_) | Notice::Crash(_), _) => {}
        }
    }
}

fn record_holding(
    shared: &AgentShared,
    socket: &NoticeSocket,
    notice: &HoldingNotice,
    peer: SocketAddr,
) {
    let name = WeightsName { model: notice.model.as_str().into(), version: notice.version };
    let mut transfers = shared.transfers();
    let Some(slot) = transfers.get_mut(&name) else { return };
    let swarm = &mut slot.swarm;
    let pieces = PieceSet::with_bytes(notice.pieces.to_vec());
    swarm.record_holding(peer, pieces, shared.clock.now());
    if notice.wanted && swarm.held().count() > 0 {
        socket.send(Notice::Holding(holding(swarm, false)), [peer]);
    }
    if !swarm.is_complete() {
        shared.wake.notify_one();
    }
}

/// Notice of what this agent holds.
pub(super) fn holding(swarm: &pieces::PieceSwarm, wanted: bool) -> HoldingNotice {
    HoldingNotice {
        model: swarm.name().model.to_string(),
        version: swarm.name().version,
        pieces: swarm.held().as_bytes().to_vec().into(),
        wanted,
    }
}
