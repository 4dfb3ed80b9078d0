//! Control thread of an entry: exchanges heartbeats and fleet state with other entries, and receives the agents'
//! reports.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use balance::AgentReport;
use base::TransferLimits;
use bytes::Bytes;
use fleet::{ItemSource, RawItem};
use futures_util::future::BoxFuture;
use log::{info, warn};
use member::EntryMember;
use rand::seq::IteratorRandom;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, sleep},
};
use wire::{
    AgentHeartbeat, CompressionError, CrashNotice, EntryContact, EntryHeartbeat, FleetItem,
    ItemsRequest, ItemsResponse, Notice, Payload, VerifiedLoad,
};

use super::{
    assignment::{assignment_digest, make_assignment, millis},
    crashes::{log_crashes, record_prompt_parts, report_crashes},
    dating::date_declarations,
    limits::{record_limits, report_limits},
    lost_config::{config_response, fetch_lost_config, record_announcement},
    shared::EntryShared,
    speeds::{record_speeds, report_speeds},
    status::entry_status,
    store::{apply_items, follow_store},
};
use crate::{
    frames::{FrameClient, FrameHandler, NodeError, bind, serve_frames},
    metrics::serve_metrics,
    peers::{NoticeSocket, age_millis, entry_contacts, parse_entry_heartbeat},
    supervise::keep_running,
};

/// Interval between heartbeats to other entries; an entry is considered lost after six missed heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Lateness of a timer from which it is logged: a process that has used up its share of a core waits for the rest of a
/// scheduling period of 0.1 s.
const LATE_TICK: Duration = Duration::from_millis(150);
/// Every n-th heartbeat is also sent to entries in other regions. It is not sent each time because cross-region traffic
/// is billed; an entry in another region is considered lost after three missed heartbeats.
const REMOTE_HEARTBEAT_PERIOD: u64 = 2;
/// Every n-th heartbeat contains contacts. They make up most of its size, and only processes that have just started or
/// have lost track of other entries need them.
const CONTACTS_PERIOD: u64 = 20;
/// Number of heartbeats after the start that all contain contacts, because all processes may have started together.
const STARTUP_HEARTBEATS: u64 = 16;
/// Every n-th heartbeat is also sent to all agents, which only need to know where to send their reports. Agents that do
/// not report may have just started, and get every heartbeat.
const AGENT_HEARTBEAT_PERIOD: u64 = 4;
/// Delay before an entry that follows the store requests the fleet state of one that is ahead: usually the store
/// delivers the changes earlier.
const CATCH_UP_DELAY: Duration = Duration::from_millis(300);
/// Delay before the fleet state is requested from another region: usually an entry of this region has it by then, and a
/// large configuration would cross the border once for each entry.
const REMOTE_CATCH_UP_DELAY: Duration = Duration::from_millis(700);
/// Maximum delay before an entry that does not follow the store requests changes. The delays are random, so that not
/// all entries of a region request a large configuration from the two that have it first.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(200);
/// Time limits of a transfer of changes from another entry. The first bytes arrive at once unless the entry is paused or
/// its link is full; dozens of entries may share a link between regions.
pub(super) const ITEMS_LIMITS: TransferLimits = TransferLimits {
    head: Duration::from_millis(1_500),
    idle: Duration::from_millis(750),
    min_rate: 32 << 10,
};
/// Maximum number of contacts in a heartbeat, so that it fits into a datagram.
const MAX_CONTACTS: usize = 24;
/// Maximum number of entries in other regions that get contacts with the same heartbeat. Each passes them on to its own
/// region.
const MAX_REMOTE_CONTACT_TARGETS: usize = 8;

/// Runs the control tasks until the sender of `stopped` is dropped.
pub(crate) async fn run(
    shared: Arc<EntryShared>,
    mut stopped: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let common = &shared.settings.common;
    let socket =
        NoticeSocket::bind(common.peer, shared.key.clone(), shared.metrics.clone()).await?;
    let name = common.name.to_string();
    let client = Arc::new(FrameClient::new(shared.key.clone(), name.clone(), shared.clock.clone()));
    let handler = Arc::new(EntryFrameHandler { shared: shared.clone() });
    for address in [Some(common.peer), shared.settings.control].into_iter().flatten() {
        let listener = bind(address).await?;
        let (key, name) = (shared.key.clone(), name.clone());
        tokio::spawn(serve_frames(listener, key, name, handler.clone()));
    }
    if let Some(address) = common.metrics {
        let status_source = shared.clone();
        let status = Arc::new(move || {
            serde_json::to_string(&entry_status(&status_source)).unwrap_or_else(|error| {
                warn!("event=status_failed error=\"{error}\"");
                String::new()
            })
        });
        tokio::spawn(serve_metrics(address, shared.metrics.clone(), status));
    }
    let state = shared.clone();
    keep_running("follow_store", move || follow_store(state.clone()));
    let (state, sender) = (shared.clone(), socket.clone());
    keep_running("heartbeats", move || send_heartbeats(state.clone(), sender.clone()));
    let (state, sender) = (shared.clone(), socket.clone());
    keep_running("limits", move || report_limits(state.clone(), sender.clone()));
    let (state, sender) = (shared.clone(), socket.clone());
    keep_running("speeds", move || report_speeds(state.clone(), sender.clone()));
    let (state, sender) = (shared.clone(), socket.clone());
    keep_running("crashes", move || report_crashes(state.clone(), sender.clone()));
    let (state, peers) = (shared.clone(), client.clone());
    keep_running("catch_up", move || catch_up(state.clone(), peers.clone()));
    let (state, peers) = (shared.clone(), client.clone());
    keep_running("lost_config", move || fetch_lost_config(state.clone(), peers.clone()));
    let state = shared.clone();
    keep_running("dates", move || date_declarations(state.clone(), client.clone()));
    keep_running("notices", move || receive_notices(shared.clone(), socket.clone()));
    // Fails only if the sender is dropped, which also means that the process stops.
    let _ = stopped.changed().await;
    Ok(())
}

/// Publishes a new snapshot of the fleet state to the traffic thread.
pub(super) fn publish(shared: &EntryShared) {
    let now = shared.clock.now();
    let view = Arc::new(shared.fleet_state().view());
    shared.balancer().set_view(&view, now);
    if let Some(config) = view.config() {
        shared.contention().set_config(config);
        shared.apply_contention();
    }
    shared.pool.retain(|upstream| view.upstream(upstream).is_some());
    shared.head_trust().retain(|upstream| view.upstream(upstream).is_some());
    let confirmed = shared.crashes().record_view(now, &view);
    log_crashes(shared, confirmed);
    let digest = assignment_digest(&view, now);
    let has_engine =
        |service: &str| view.service(service).is_some_and(|service| service.engine.is_some());
    let engines = view.upstreams().filter(|(record, _)| has_engine(&record.service)).count();
    shared.membership().set_engines(engines);
    shared.view.store(view);
    if shared.set_assignment_digest(digest) {
        shared.wake_control.notify_one();
    }
}

/// Sends heartbeats to the other entries and to the agents.
async fn send_heartbeats(shared: Arc<EntryShared>, socket: NoticeSocket) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        let is_urgent = tokio::select! {
            tick = ticks.tick() => {
                log_late_tick(tick.elapsed());
                false
            }
            () = shared.wake_control.notified() => true,
            () = shared.wake_neighbours.notified() => {
                let (heartbeat, targets) = make_heartbeat(&shared, false);
                send_to(&shared, &socket, heartbeat, targets);
                continue;
            }
        };
        shared.is_stale_after_pause();
        let has_slept = !shared.record_suspension().is_zero();
        let now = shared.clock.now();
        if shared.fleet_state().remove_expired(now) || has_slept {
            publish(&shared);
        }
        let all = is_urgent || count.is_multiple_of(AGENT_HEARTBEAT_PERIOD);
        let with_contacts = count < STARTUP_HEARTBEATS || count.is_multiple_of(CONTACTS_PERIOD);
        let with_remote = is_urgent || count.is_multiple_of(REMOTE_HEARTBEAT_PERIOD);
        let (heartbeat, mut targets) = make_heartbeat(&shared, with_remote);
        for evidence in shared.crashes().take_due_evidence() {
            let notice = Notice::Crash(CrashNotice::new(&evidence, 0));
            socket.send(notice, shared.membership().addresses());
        }
        if with_contacts {
            let informed = contact_targets(&shared, &targets);
            targets.retain(|target| !informed.contains(target));
            let contacts = sample_contacts(&shared);
            send_to(&shared, &socket, EntryHeartbeat { contacts, ..heartbeat.clone() }, informed);
        }
        targets.extend(agent_addresses(&shared, all));
        count += 1;
        send_to(&shared, &socket, heartbeat, targets);
    }
}

/// Logs that the control thread was held up.
fn log_late_tick(lateness: Duration) {
    if lateness >= LATE_TICK {
        info!("event=timer_late ms={}", lateness.as_millis());
    }
}

/// Sends a heartbeat once to each target other than this process.
fn send_to(
    shared: &EntryShared,
    socket: &NoticeSocket,
    heartbeat: EntryHeartbeat,
    mut targets: Vec<SocketAddr>,
) {
    targets.retain(|target| *target != shared.settings.common.peer);
    targets.sort_unstable();
    targets.dedup();
    socket.send(Notice::Entry(heartbeat), targets);
}

/// Chooses which of `targets` get contacts: all of this region, and some of the others. Entries that this process does
/// not know yet count as being in this region, because only contacts make them known.
fn contact_targets(shared: &EntryShared, targets: &[SocketAddr]) -> Vec<SocketAddr> {
    let common = &shared.settings.common;
    let membership = shared.membership();
    let is_remote = |peer: &&SocketAddr| {
        let data_centre = membership.data_centre_of(**peer);
        data_centre.is_some_and(|data_centre| !common.is_local_region(data_centre))
    };
    let (remote, mut informed): (Vec<_>, Vec<_>) = targets.iter().partition(is_remote);
    informed.extend(remote.into_iter().sample(&mut rand::rng(), MAX_REMOTE_CONTACT_TARGETS));
    informed
}

fn sample_contacts(shared: &EntryShared) -> Vec<EntryContact> {
    let membership = shared.membership();
    let known = membership.members_with_age(shared.clock.now());
    entry_contacts(known.sample(&mut rand::rng(), MAX_CONTACTS))
}

/// Makes a heartbeat without contacts, and the addresses of the entries that it is sent to.
fn make_heartbeat(shared: &EntryShared, with_remote: bool) -> (EntryHeartbeat, Vec<SocketAddr>) {
    let now = shared.clock.now();
    let own = shared.own_member();
    let mut membership = shared.membership();
    membership.expire(now);
    let common = &shared.settings.common;
    let seeds = shared.seeds().into_iter().map(|seed| common.peer_address_on(seed.ip()));
    let is_local = |peer: &SocketAddr| {
        let data_centre = membership.data_centre_of(*peer);
        data_centre.is_some_and(|data_centre| common.is_local_region(data_centre))
    };
    let targets =
        membership.addresses().chain(seeds).filter(|peer| with_remote || is_local(peer)).collect();
    let live_entries = membership.alive(now).count() + 1;
    let is_local_entry = |entry: &&EntryMember| common.is_local_region(&entry.data_centre);
    let local_entries = membership.alive(now).filter(is_local_entry).count() + 1;
    let possible_entries = membership.peak_known(now) + 1;
    let callers = membership.alive(now).map(|entry| entry.caller_address);
    let entry_addresses = callers.chain([own.caller_address]).collect();
    drop(membership);
    shared.balancer().set_entry_addresses(entry_addresses);
    shared.balancer().set_live_entries(live_entries);
    shared.balancer().set_local_entries(local_entries);
    shared.balancer().set_possible_entries(possible_entries);
    shared.retry_budget().set_entries(possible_entries);
    shared.crashes().parts().set_entries(live_entries);
    let config_stamp = shared.fleet_state().config_stamp();
    let heartbeat = EntryHeartbeat {
        name: own.name.to_string(),
        incarnation: own.incarnation,
        sequence: own.sequence,
        data_centre: own.data_centre.to_string(),
        caller_address: own.caller_address.to_string(),
        peer: own.peer.to_string(),
        ready: own.ready,
        leaving: own.leaving,
        head: own.revision,
        brief: own.assignment_digest,
        contacts: Vec::new(),
        store_age_ms: own.store_age.map(age_millis),
        state_age_ms: own.state_age.map(age_millis),
        config_version: config_stamp.map(|stamp| stamp.version),
        config_revision: config_stamp.map_or(0, |stamp| stamp.revision),
    };
    (heartbeat, targets)
}

/// Addresses of the agents of the engines that this entry uses, which report to it in turn. Each runs on the host of an upstream that serves models, and uses the port that all
/// processes share. Unless `all` is set, only agents without a current report are included.
fn agent_addresses(shared: &EntryShared, all: bool) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let now = shared.clock.now();
    let balancer = shared.balancer();
    let common = &shared.settings.common;
    view.upstreams()
        .filter(|(record, _)| {
            view.service(&record.service).is_some_and(|service| service.engine.is_some())
                && balancer.is_in_subset(record)
                && (all || !balancer.has_report(record.address, now))
        })
        .map(|(record, _)| common.peer_address_on(record.address.ip()))
        .collect()
}

async fn receive_notices(shared: Arc<EntryShared>, socket: NoticeSocket) {
    loop {
        let (notice, peer) = socket.receive().await;
        match notice {
            Notice::Entry(heartbeat) => record_entry(&shared, &heartbeat),
            Notice::Agent(heartbeat) => record_agent(&shared, &heartbeat),
            Notice::Crash(notice) => record_crash(&shared, &notice),
            Notice::Limits(notice) => record_limits(&shared, &notice, peer),
            Notice::PromptParts(notice) => record_prompt_parts(&shared, &socket, &notice, peer),
            Notice::Speeds(notice) => record_speeds(&shared, &notice, peer),
            Notice::Chunk(_) => {}
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
    if shared.crashes().apply_evidence(shared.clock.now(), &evidence) {
        info!(
            "event=crash_learned fingerprint={} upstream={} crashes={} cleared={}",
            evidence.fingerprint, evidence.upstream, evidence.crashes, evidence.cleared
        );
    }
}

fn record_entry(shared: &EntryShared, heartbeat: &EntryHeartbeat) {
    let Some(member) = parse_entry_heartbeat(heartbeat) else { return };
    let (now, peer) = (shared.clock.now(), member.peer);
    let is_ahead = member.revision > shared.view.load().revision;
    let mut membership = shared.membership();
    membership.record_heartbeat(member, now);
    record_contacts(&mut membership, &heartbeat.contacts, shared);
    drop(membership);
    record_announcement(shared, heartbeat, peer);
    if is_ahead {
        shared.wake_catch_up.notify_one();
    }
}

fn record_contacts(
    membership: &mut member::EntryMembership,
    contacts: &[EntryContact],
    shared: &EntryShared,
) {
    let now = shared.clock.now();
    for contact in contacts {
        if let Ok(peer) = contact.peer.parse()
            && peer != shared.settings.common.peer
        {
            membership.record_contact(peer, Duration::from_millis(contact.age_ms.into()), now);
        }
    }
}

fn record_agent(shared: &EntryShared, heartbeat: &AgentHeartbeat) {
    let Ok(upstream) = heartbeat.upstream.parse() else {
        warn!("event=beat_unreadable upstream={}", heartbeat.upstream);
        return;
    };
    let report = AgentReport {
        running: heartbeat.running,
        queued: heartbeat.queued,
        version: heartbeat.version,
        unverified_version: heartbeat.unverified_version,
        engine_started_ms: heartbeat.engine_started_ms,
        load_orders: heartbeat.load_orders,
        switching: heartbeat.switching,
        slowdown_percent: heartbeat.slowdown_percent,
        change_in: heartbeat.change_in_ms.map(|span| Duration::from_millis(span.into())),
        weights_in: heartbeat.weights_in_ms.map(|span| Duration::from_millis(span.into())),
    };
    let now = shared.clock.now();
    shared.balancer().record_report(upstream, report, now, &mut rand::rng());
    shared.waiting.wake();
    record_contacts(&mut shared.membership(), &heartbeat.contacts, shared);
}

/// Requests the fleet state of another entry if that entry has been ahead for a while, or if the store is unavailable
/// at the start.
async fn catch_up(shared: Arc<EntryShared>, client: Arc<FrameClient>) {
    let common = &shared.settings.common;
    let mut behind_since = None;
    loop {
        tokio::select! {
            () = sleep(CATCH_UP_DELAY / 2) => {}
            () = shared.wake_catch_up.notified() => {}
        }
        let follows_store = shared.follows_store.load(Ordering::Relaxed);
        if !follows_store {
            let delay = MAX_RELAY_DELAY.mul_f64(rand::random());
            sleep(delay).await;
        }
        let now = shared.clock.now();
        let own_revision = shared.fleet_state().head();
        let pauses = shared.pauses();
        let is_stale = shared.is_stale_after_pause();
        let ahead = {
            let membership = shared.membership();
            membership
                .alive(now)
                .filter(|member| is_stale || member.revision > own_revision)
                .max_by_key(|member| {
                    let is_local = common.is_local_region(&member.data_centre);
                    (is_local, member.revision, rand::random::<u32>())
                })
                .cloned()
        };
        let Some(ahead) = ahead else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        let delay = match () {
            () if !is_stale && !common.is_local_region(&ahead.data_centre) => REMOTE_CATCH_UP_DELAY,
            () if follows_store => CATCH_UP_DELAY,
            () => Duration::ZERO,
        };
        if now.saturating_duration_since(since) < delay {
            continue;
        }
        behind_since = None;
        let after = shared.fleet_state().as_of().unwrap_or_default();
        let request = Payload::ItemsRequest(ItemsRequest { after, reads_compressed: true });
        let timer = shared.start_request();
        match client.transfer(ahead.peer, request, ITEMS_LIMITS).await {
            Ok(Payload::ItemsResponse(reply)) if reply.as_of > 0 => {
                let values = reply.items.iter().map(|item| (&item.value, &item.compressed));
                let bytes: usize = values
                    .filter_map(|(value, compressed)| value.as_ref().or(compressed.as_ref()))
                    .map(Bytes::len)
                    .sum();
                info!(
                    "event=caught_up peer={} after={after} as_of={} items={} bytes={bytes} ms={}",
                    ahead.name,
                    reply.as_of,
                    reply.items.len(),
                    shared.clock.now().saturating_duration_since(now).as_millis()
                );
                let items: Vec<_> = match reply.items.into_iter().map(raw_item).collect() {
                    Ok(items) => items,
                    Err(error) => {
                        let error: CompressionError = error;
                        warn!("event=catch_up_failed peer={} error=\"{error}\"", ahead.name);
                        continue;
                    }
                };
                let is_complete = reply.snapshot || after == 0;
                let source = if is_complete { ItemSource::Listing } else { ItemSource::Relayed };
                shared.record_suspension();
                let period = timer.finish(&*shared.clock);
                if apply_items(&shared, items, reply.as_of, source, period) {
                    publish(&shared);
                }
                if after == 0 {
                    // The listing that the store is still sending is no longer needed.
                    shared.wake_store.notify_one();
                }
                shared.record_refreshed(pauses);
            }
            Ok(_) => warn!(
                "event=catch_up_failed peer={} error=\"response contains no fleet state\"",
                ahead.name
            ),
            Err(error) => warn!("event=catch_up_failed peer={} error=\"{error}\"", ahead.name),
        }
    }
}

pub(super) fn fleet_item(item: RawItem) -> FleetItem {
    FleetItem {
        key: item.key.to_string(),
        value: item.value,
        revision: item.revision,
        age_ms: item.age.map(millis),
        compressed: None,
    }
}

pub(super) fn raw_item(item: FleetItem) -> Result<RawItem, CompressionError> {
    let (key, revision) = (item.key.as_str().into(), item.revision);
    let age = item.age_ms.map(Duration::from_millis);
    Ok(RawItem { key, value: item.into_value()?, revision, age })
}

/// Last load of the upstream at `address` that an agent has verified, as far as this entry knows.
fn verified_load(shared: &EntryShared, address: &str) -> Option<VerifiedLoad> {
    let load = shared.balancer().verified_load(address.parse().ok()?)?;
    Some(VerifiedLoad {
        engine_started_ms: load.engine_started_ms,
        version: load.version,
        load_orders: load.load_orders,
    })
}

/// Handles the frames of other processes.
struct EntryFrameHandler {
    shared: Arc<EntryShared>,
}

impl FrameHandler for EntryFrameHandler {
    fn handle(&self, payload: Payload) -> BoxFuture<'_, Option<Payload>> {
        let now = self.shared.clock.now();
        let response = match payload {
            Payload::ItemsRequest(request) => {
                let (items, snapshot, as_of) = {
                    let fleet_state = self.shared.fleet_state();
                    let (items, snapshot) = fleet_state.items_after(request.after, now);
                    (items, snapshot, fleet_state.as_of().unwrap_or_default())
                };
                let items = items.into_iter().map(fleet_item);
                let items = match request.reads_compressed {
                    true => items.map(FleetItem::with_compressed_value).collect(),
                    false => items.collect(),
                };
                Some(Payload::ItemsResponse(ItemsResponse { items, as_of, snapshot }))
            }
            Payload::ConfigRequest(request) => Some(config_response(&self.shared, request)),
            Payload::BriefRequest(request) => {
                let assignment = make_assignment(&self.shared.view.load(), &request.service, now);
                let mut assignment = assignment.unwrap_or_default();
                assignment.verified = verified_load(&self.shared, &request.upstream);
                Some(Payload::BriefReply(assignment))
            }
            _ => None,
        };
        Box::pin(async move { response })
    }
}
