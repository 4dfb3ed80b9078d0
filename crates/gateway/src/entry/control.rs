//! The control thread of an entry: exchanges beats and knowledge with other entries, follows the agents.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balance::AgentReport;
use fleet::RawItem;
use futures_util::future::BoxFuture;
use log::{info, warn};
use rand::seq::IteratorRandom;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, sleep},
};
use wire::{
    AgentBeat, CrashNotice, EntryBeat, EntryContact, FleetItem, ItemsReply, ItemsRequest, Notice,
    Payload,
};

use super::{
    brief::{brief_digest, make_brief, millis},
    shared::EntryShared,
    status::entry_status,
    store::{follow_store, take_over},
};
use crate::{
    frames::{FrameClient, FrameHandler, NodeError, bind, serve_frames},
    metrics::serve_metrics,
    peers::{NoticeSocket, entry_contacts, read_entry_beat},
};

/// Interval of the beats to other entries; six of them fit into the time after which an entry counts as gone.
const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Beats to entries of this region for one beat to entries of other regions, whose bytes are priced: three of those
/// still fit into the time after which an entry counts as gone.
const BEATS_PER_REMOTE_BEAT: u64 = 2;
/// Beats for one beat that names other entries: these make up most of its size, and only processes that have just
/// started or lost sight of others need them.
const BEATS_PER_CONTACTS: u64 = 20;
/// First beats of a process, which all name other entries: it may have started together with all others.
const FIRST_BEATS: u64 = 16;
/// Beats to entries for one beat to the agents, which only need to know whom to report to. Agents that do not report
/// may have just started and get every beat.
const BEATS_PER_AGENT_BEAT: u64 = 4;
/// Time for which another entry may be ahead before it is asked for what it knows: the store usually brings it sooner.
const BEHIND_PATIENCE: Duration = Duration::from_millis(300);
const ITEMS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Contacts in one beat at most, so that it fits into a datagram.
const MAX_CONTACTS: usize = 24;

/// Runs the control state until the sender of `stopped` is gone.
pub(crate) async fn run(
    shared: Arc<EntryShared>,
    mut stopped: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let common = &shared.settings.common;
    let socket = NoticeSocket::bind(common.peer, shared.key.clone()).await?;
    let name = common.name.to_string();
    let client = Arc::new(FrameClient::new(shared.key.clone(), name.clone(), shared.clock.clone()));
    let handler = Arc::new(EntryFrames { shared: shared.clone() });
    for address in [Some(common.peer), shared.settings.control].into_iter().flatten() {
        let listener = bind(address).await?;
        let (key, name) = (shared.key.clone(), name.clone());
        tokio::spawn(serve_frames(listener, key, name, handler.clone()));
    }
    if let Some(address) = common.metrics {
        let described = shared.clone();
        let status = Arc::new(move || {
            serde_json::to_string(&entry_status(&described)).unwrap_or_else(|error| {
                warn!("event=status_failed error=\"{error}\"");
                String::new()
            })
        });
        tokio::spawn(serve_metrics(address, shared.metrics.clone(), status));
    }
    tokio::spawn(follow_store(shared.clone()));
    tokio::spawn(send_beats(shared.clone(), socket.clone()));
    tokio::spawn(catch_up(shared.clone(), client));
    tokio::select! {
        () = receive_notices(&shared, &socket) => {}
        _ = stopped.changed() => {}
    }
    Ok(())
}

/// Logs crashes that were confirmed, and lets the other entries know soon.
pub(super) fn log_crashes(shared: &EntryShared, confirmed: usize) {
    if confirmed > 0 {
        info!("event=crashes_confirmed requests={confirmed}");
        shared.wake_control.notify_one();
    }
}

/// Gives the traffic thread a new snapshot.
pub(super) fn publish(shared: &EntryShared) {
    let now = shared.clock.now();
    let view = Arc::new(shared.knowledge().view());
    shared.board().set_view(&view, now);
    shared.pool.retain(|upstream| view.upstream(upstream).is_some());
    log_crashes(shared, shared.crashes().record_view(now, &view));
    let digest = brief_digest(&view, now);
    shared.view.store(view);
    if shared.set_brief(digest) {
        shared.wake_control.notify_one();
    }
}

/// Tells the other entries and the agents that this entry is alive.
async fn send_beats(shared: Arc<EntryShared>, socket: NoticeSocket) {
    let mut ticks = interval(BEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        let is_urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.wake_control.notified() => true,
        };
        shared.is_stale_after_pause();
        let now = shared.clock.now();
        if shared.knowledge().expire_lapsed(now) {
            publish(&shared);
        }
        let all = is_urgent || count.is_multiple_of(BEATS_PER_AGENT_BEAT);
        let with_contacts = count < FIRST_BEATS || count.is_multiple_of(BEATS_PER_CONTACTS);
        let with_remote = is_urgent || count.is_multiple_of(BEATS_PER_REMOTE_BEAT);
        let (beat, mut targets) = make_beat(&shared, with_contacts, with_remote);
        for evidence in shared.crashes().take_due() {
            let notice = Notice::Crash(CrashNotice::new(&evidence, 0));
            socket.send(notice, shared.roster().addresses());
        }
        targets.extend(agent_addresses(&shared, all));
        count += 1;
        targets.retain(|target| *target != shared.settings.common.peer);
        targets.sort_unstable();
        targets.dedup();
        socket.send(Notice::Entry(beat), targets);
    }
}

fn make_beat(
    shared: &EntryShared,
    with_contacts: bool,
    with_remote: bool,
) -> (EntryBeat, Vec<SocketAddr>) {
    let now = shared.clock.now();
    let own = shared.own_member();
    let mut roster = shared.roster();
    roster.expire(now);
    let named = if with_contacts { MAX_CONTACTS } else { 0 };
    let contacts = entry_contacts(roster.heard(now).sample(&mut rand::rng(), named));
    let common = &shared.settings.common;
    let seeds = shared.seeds().into_iter().map(|seed| common.peer_at(seed.ip()));
    let is_near = |peer: &SocketAddr| {
        let data_centre = roster.data_centre_of(*peer);
        data_centre.is_some_and(|data_centre| common.is_own_region(data_centre))
    };
    let targets =
        roster.addresses().chain(seeds).filter(|peer| with_remote || is_near(peer)).collect();
    let entries = roster.alive(now).count() + 1;
    let sharers = roster.most_known(now) + 1;
    drop(roster);
    shared.board().set_entries(entries);
    shared.board().set_sharers(sharers);
    shared.retries().set_entries(sharers);
    let beat = EntryBeat {
        name: own.name.to_string(),
        incarnation: own.incarnation,
        sequence: own.sequence,
        data_centre: own.data_centre.to_string(),
        caller_address: own.caller_address.to_string(),
        peer: own.peer.to_string(),
        ready: own.ready,
        leaving: own.leaving,
        head: own.head,
        brief: own.brief,
        contacts,
    };
    (beat, targets)
}

/// Agents stand beside the upstreams that serve models, at the port that all processes share. Unless `all` is set, only
/// those that do not report are named.
fn agent_addresses(shared: &EntryShared, all: bool) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let now = shared.clock.now();
    let board = shared.board();
    let common = &shared.settings.common;
    view.upstreams()
        .filter(|(record, _)| {
            view.service(&record.service).is_some_and(|service| service.engine.is_some())
                && (all || !board.has_report(record.address, now))
        })
        .map(|(record, _)| common.peer_at(record.address.ip()))
        .collect()
}

async fn receive_notices(shared: &EntryShared, socket: &NoticeSocket) {
    loop {
        let (notice, _) = socket.receive().await;
        match notice {
            Notice::Entry(beat) => record_entry(shared, &beat),
            Notice::Agent(beat) => record_agent(shared, &beat),
            Notice::Crash(notice) => record_crash(shared, &notice),
            Notice::Holding(_) => {}
        }
    }
}

fn record_crash(shared: &EntryShared, notice: &CrashNotice) {
    let evidence = match notice.evidence() {
        Ok(evidence) => evidence,
        Err(error) => {
            warn!("event=crash_notice_unreadable error=\"{error}\"");
            return;
        }
    };
    if shared.crashes().record_evidence(shared.clock.now(), &evidence) {
        info!(
            "event=crash_learned fingerprint={} upstream={} crashes={} cleared={}",
            evidence.fingerprint, evidence.upstream, evidence.crashes, evidence.cleared
        );
    }
}

fn record_entry(shared: &EntryShared, beat: &EntryBeat) {
    let Some(member) = read_entry_beat(beat) else { return };
    let now = shared.clock.now();
    let mut roster = shared.roster();
    roster.record_beat(member, now);
    record_contacts(&mut roster, &beat.contacts, shared);
}

fn record_contacts(
    roster: &mut member::EntryRoster,
    contacts: &[EntryContact],
    shared: &EntryShared,
) {
    let now = shared.clock.now();
    for contact in contacts {
        if let Ok(peer) = contact.peer.parse()
            && peer != shared.settings.common.peer
        {
            roster.record_contact(peer, Duration::from_millis(contact.age_ms.into()), now);
        }
    }
}

fn record_agent(shared: &EntryShared, beat: &AgentBeat) {
    let Ok(upstream) = beat.upstream.parse() else {
        warn!("event=beat_unreadable upstream={}", beat.upstream);
        return;
    };
    let report = AgentReport {
        running: beat.running,
        queued: beat.queued,
        version: beat.version,
        switching: beat.switching,
        pace_percent: beat.pace_percent,
        change_in: beat.change_in_ms.map(|span| Duration::from_millis(span.into())),
    };
    let now = shared.clock.now();
    shared.board().record_report(upstream, report, now, &mut rand::rng());
    record_contacts(&mut shared.roster(), &beat.contacts, shared);
}

/// Asks another entry for what it knows if it has been ahead for a while, or if the store gives nothing at the start.
async fn catch_up(shared: Arc<EntryShared>, client: Arc<FrameClient>) {
    let common = &shared.settings.common;
    let mut behind_since = None;
    loop {
        sleep(BEHIND_PATIENCE / 2).await;
        let now = shared.clock.now();
        let head = shared.knowledge().head();
        let pauses = shared.pauses();
        let is_stale = shared.is_stale_after_pause();
        let ahead = {
            let roster = shared.roster();
            roster
                .alive(now)
                .filter(|member| is_stale || member.head > head)
                .max_by_key(|member| (common.is_own_region(&member.data_centre), member.head))
                .cloned()
        };
        let Some(ahead) = ahead else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) < BEHIND_PATIENCE {
            continue;
        }
        behind_since = None;
        let after = shared.knowledge().as_of().unwrap_or_default();
        let request = Payload::ItemsRequest(ItemsRequest { after });
        match client.call(ahead.peer, request, ITEMS_TIMEOUT).await {
            Ok(Payload::ItemsReply(reply)) if reply.as_of > 0 => {
                info!(
                    "event=caught_up peer={} after={after} as_of={} items={}",
                    ahead.name,
                    reply.as_of,
                    reply.items.len()
                );
                let items = reply.items.into_iter().map(read_item).collect();
                if take_over(&shared, items, reply.as_of, reply.snapshot || after == 0) {
                    publish(&shared);
                }
                shared.record_refreshed(pauses);
            }
            Ok(_) => warn!("event=catch_up_failed peer={} error=\"no items\"", ahead.name),
            Err(error) => warn!("event=catch_up_failed peer={} error=\"{error}\"", ahead.name),
        }
    }
}

fn read_item(item: FleetItem) -> RawItem {
    RawItem {
        key: item.key.into(),
        value: item.value,
        revision: item.revision,
        age: item.age_ms.map(Duration::from_millis),
    }
}

/// Answers the frames of other processes.
struct EntryFrames {
    shared: Arc<EntryShared>,
}

impl FrameHandler for EntryFrames {
    fn answer(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>> {
        let now = self.shared.clock.now();
        let answer = match payload {
            Payload::ItemsRequest(request) => {
                let knowledge = self.shared.knowledge();
                let (items, snapshot) = knowledge.items_after(request.after, now);
                let items = items
                    .into_iter()
                    .map(|item| FleetItem {
                        key: item.key.to_string(),
                        value: item.value,
                        revision: item.revision,
                        age_ms: item.age.map(millis),
                    })
                    .collect();
                let as_of = knowledge.as_of().unwrap_or_default();
                Some(Payload::ItemsReply(ItemsReply { items, as_of, snapshot }))
            }
            Payload::BriefRequest(request) => {
                let brief = make_brief(&self.shared.view.load(), &request.service, now);
                Some(Payload::BriefReply(brief.unwrap_or_default()))
            }
            _ => None,
        };
        Box::pin(async move { answer })
    }
}
