//! Brings the declared weights into the staging area and makes the engine load them.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::rendezvous_weight;
use log::{info, warn};
use pieces::{
    FetchTicket, PieceIndex, PieceList, PieceSet, PieceSwarm, SwarmFetch, SwarmOptions, SwitchPlan,
    SwitchView, TransferSlot, WeightsName,
};
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use wire::{BriefRequest, Notice, Payload};

use super::{
    beats::holding,
    engine::{order_load, verify_staged},
    fetch::{FetchEnd, fetch_list, fetch_piece},
    shared::{AgentBrief, AgentShared},
};
use crate::peers::NoticeSocket;

/// Interval at which the transfer looks at everything, besides being woken.
const TICK: Duration = Duration::from_millis(100);
/// Interval between two notices of what this agent holds while it still lacks pieces.
const NOTICE_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which an agent that lacks pieces asks what others hold; notices may be lost.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);
const BRIEF_TIMEOUT: Duration = Duration::from_millis(800);
const STAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Fetches of one piece with wrong bytes after which the list of digests itself is doubted.
const MAX_MISMATCHES: u32 = 3;
/// Time after an order in which the engine is expected to have loaded; then it is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Duration of a transfer to all hosts, in times that the bytes take on an idle link: pieces travel over several hosts,
/// and transfers leave a part of each link to requests.
const TRANSFER_FACTOR: f64 = 1.6;
/// Time between the announcement of a change and the order, so that requests which are under way arrive before it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(40);

struct FetchResult {
    fetch: SwarmFetch,
    name: WeightsName,
    end: FetchEnd,
}

/// State of the transfer task.
struct TransferTask {
    shared: Arc<AgentShared>,
    socket: NoticeSocket,
    results: mpsc::UnboundedSender<FetchResult>,
    noticed: Option<Instant>,
    asked: Option<Instant>,
    /// Weights of which pieces have arrived since the last notice.
    news: HashSet<WeightsName>,
    mismatches: HashMap<PieceIndex, u32>,
    ordered: Option<(WeightsName, Instant)>,
    /// Version whose pieces were last seen to lie staged completely.
    staged: u64,
    has_seen_engine: bool,
}

/// Runs until the task is dropped.
pub(super) async fn run(shared: Arc<AgentShared>, socket: NoticeSocket) {
    let (results, mut arrived) = mpsc::unbounded_channel();
    let mut task = TransferTask {
        shared,
        socket,
        results,
        noticed: None,
        asked: None,
        news: HashSet::new(),
        mismatches: HashMap::new(),
        ordered: None,
        staged: 0,
        has_seen_engine: false,
    };
    loop {
        tokio::select! {
            Some(result) = arrived.recv() => task.take_result(result),
            () = task.shared.wake.notified() => {}
            () = sleep(TICK) => {}
        }
        while let Ok(result) = arrived.try_recv() {
            task.take_result(result);
        }
        task.step().await;
    }
}

impl TransferTask {
    async fn step(&mut self) {
        self.refresh_brief().await;
        let Some(brief) = self.shared.brief() else { return };
        let has_report = self.shared.report().is_some();
        if !has_report && self.shared.settings.is_first_start && !self.has_seen_engine {
            return;
        }
        self.has_seen_engine |= has_report;
        let loaded = self.shared.loaded_version();
        self.settle_order(&brief, loaded);
        let is_known = self.shared.transfers().get(&brief.name).is_some();
        if !is_known && !self.begin(&brief, loaded).await {
            return;
        }
        self.shared.transfers().settle(loaded);
        if self.shared.report().is_some() {
            self.read_staging(loaded).await;
            self.stage();
        }
        let now = self.shared.clock.now();
        self.start_fetches(&brief, now);
        self.send_notices(&brief, now);
        self.load_when_due(&brief, loaded).await;
    }

    fn start_fetches(&self, brief: &AgentBrief, now: Instant) {
        let origin = brief.origin.as_ref().map(|(_, data_centre)| data_centre.clone());
        let mut fetches = Vec::new();
        {
            let mut transfers = self.shared.transfers();
            let mut goes_first = true;
            for slot in transfers.slots_mut() {
                slot.swarm.update_peers(&brief.agents, origin.clone());
                let name = slot.swarm.name().clone();
                let next = slot.swarm.next_fetches(goes_first, now, &mut rand::rng());
                fetches.extend(next.into_iter().map(|fetch| (name.clone(), fetch)));
                goes_first &= slot.swarm.is_complete();
            }
        }
        for (name, fetch) in fetches {
            self.spawn_fetch(name, fetch, brief);
        }
    }

    /// Puts pieces into the staging area, as many at a time as the engine's host copies quickly.
    fn stage(&self) {
        let Some((name, pieces)) = self
            .shared
            .transfers()
            .staging()
            .map(|slot| (slot.swarm.name().clone(), slot.next_to_stage()))
        else {
            return;
        };
        for (index, bytes) in pieces {
            let (shared, name) = (self.shared.clone(), name.clone());
            tokio::spawn(async move {
                let staged =
                    timeout(STAGE_TIMEOUT, shared.ports.engine.stage(&name.model, index, bytes));
                let error = match staged.await {
                    Ok(Ok(())) => None,
                    Ok(Err(error)) => Some(error.to_string()),
                    Err(_) => Some("timeout".to_owned()),
                };
                if let Some(error) = &error {
                    warn!("event=stage_failed piece={index} error=\"{error}\"");
                }
                if let Some(slot) = shared.transfers().get_mut(&name) {
                    slot.record_staged(index, error.is_none());
                }
                if error.is_none() {
                    shared.wake.notify_one();
                }
            });
        }
    }

    /// Reads what lies staged after a start of this process or of the engine.
    async fn read_staging(&self, loaded: u64) {
        if !self.shared.staging_unknown.swap(false, Ordering::Relaxed) {
            return;
        }
        let Some((name, list)) = self
            .shared
            .transfers()
            .staging()
            .map(|slot| (slot.swarm.name().clone(), slot.swarm.list().clone()))
        else {
            self.shared.staging_unknown.store(true, Ordering::Relaxed);
            return;
        };
        let staged = self.whole_staged(&name, &list, loaded).await;
        info!(
            "event=staging_read model={} version={} staged={}",
            name.model,
            name.version,
            staged.count()
        );
        if let Some(slot) = self.shared.transfers().get_mut(&name) {
            slot.reset_staged(&staged);
        }
    }

    /// Asks an entry again if it has other news than this agent knows.
    async fn refresh_brief(&self) {
        let now = self.shared.clock.now();
        let known = self.shared.brief();
        let is_stale = self.shared.is_stale();
        let common = &self.shared.settings.common;
        let mut entries: Vec<(bool, u64, SocketAddr)> = self
            .shared
            .roster()
            .alive(now)
            .filter(|entry| {
                is_stale || known.as_ref().is_none_or(|brief| brief.digest != entry.brief)
            })
            .filter(|entry| known.as_ref().is_none_or(|brief| entry.head >= brief.revision))
            .map(|entry| (common.is_own_region(&entry.data_centre), entry.head, entry.peer))
            .collect();
        if entries.is_empty() && known.is_none() {
            let seeds = self.shared.seeds();
            entries.extend(seeds.iter().map(|seed| (false, 0, common.peer_at(seed.ip()))));
        }
        entries.sort_unstable_by(|left, right| right.cmp(left));
        let Some((_, _, entry)) = entries.first().copied() else { return };
        let entry = if known.is_some() {
            entry
        } else {
            entries.choose(&mut rand::rng()).map_or(entry, |entry| entry.2)
        };
        let request = Payload::BriefRequest(BriefRequest {
            service: self.shared.settings.service.to_string(),
        });
        match self.shared.client.call(entry, request, BRIEF_TIMEOUT).await {
            Ok(Payload::BriefReply(reply)) => {
                let (version, revision, agents) =
                    (reply.version, reply.revision, reply.agents.len());
                let has_changed = known.as_ref().is_none_or(|brief| brief.name.version != version);
                if self.shared.set_brief(reply) && has_changed {
                    info!(
                        "event=weights_wanted version={version} revision={revision} agents={agents} entry={entry}"
                    );
                }
            }
            Ok(_) => warn!("event=brief_failed entry={entry} error=\"unexpected message\""),
            Err(error) => warn!("event=brief_failed entry={entry} error=\"{error}\""),
        }
    }

    /// Begins the transfer of other weights; false if their list of pieces cannot be had yet.
    async fn begin(&mut self, brief: &AgentBrief, loaded: u64) -> bool {
        let Some(list) = fetch_list(&self.shared, brief, self.place(brief, &brief.name)).await
        else {
            return false;
        };
        let now = self.shared.clock.now();
        // What lies staged belongs to the version that is loaded, or to the one that the engine was to load when it
        // restarted.
        let is_first = self.shared.transfers().newest().is_none();
        let staged = if is_first && self.shared.report().is_some() {
            self.shared.staging_unknown.store(false, Ordering::Relaxed);
            self.whole_staged(&brief.name, &list, loaded).await
        } else {
            PieceSet::new()
        };
        info!(
            "event=transfer_started model={} version={} staged={} pieces={}",
            brief.name.model,
            brief.name.version,
            staged.count(),
            list.len()
        );
        let own = self.shared.own_peer();
        let swarm =
            PieceSwarm::new(Arc::new(list), own, staged.clone(), SwarmOptions::default(), now);
        let slot = TransferSlot::new(swarm, staged, brief.declared_at, now);
        self.shared.transfers().begin(slot, loaded);
        self.mismatches.clear();
        self.asked = None;
        true
    }

    /// Pieces that lie staged and are whole. Beside the loaded weights they are only listed: each is verified before it
    /// is passed on.
    async fn whole_staged(&self, name: &WeightsName, list: &PieceList, loaded: u64) -> PieceSet {
        let engine = &self.shared.ports.engine;
        let mut whole = PieceSet::new();
        let staged = match engine.staged_list(&name.model).await {
            Ok(staged) => staged,
            Err(error) => {
                warn!("event=staged_unreadable error=\"{error}\"");
                return whole;
            }
        };
        if loaded != 0 && loaded != name.version {
            return whole;
        }
        for index in staged.into_iter().filter(|index| *index < list.len()) {
            let is_whole = loaded == name.version
                || engine
                    .staged(&name.model, index)
                    .await
                    .is_ok_and(|bytes| list.verify(index, &bytes));
            if is_whole {
                whole.insert(index);
            }
        }
        whole
    }

    fn spawn_fetch(&self, name: WeightsName, fetch: SwarmFetch, brief: &AgentBrief) {
        let shared = self.shared.clone();
        let results = self.results.clone();
        let origin = brief.origin.as_ref().map(|(address, _)| *address);
        tokio::spawn(async move {
            let end = fetch_piece(&shared, &name, fetch, origin).await;
            // The receiver lives as long as the process.
            let _ = results.send(FetchResult { fetch, name, end });
        });
    }

    fn take_result(&mut self, result: FetchResult) {
        let now = self.shared.clock.now();
        let FetchResult { fetch, name, end } = result;
        let ticket: FetchTicket = fetch.ticket;
        let mut transfers = self.shared.transfers();
        let Some(slot) = transfers.get_mut(&name) else { return };
        match end {
            FetchEnd::Fetched(bytes) => {
                slot.record_fetched(ticket, bytes);
                self.news.insert(name);
            }
            FetchEnd::Busy => slot.swarm.record_failed(ticket, true, now),
            FetchEnd::Failed => slot.swarm.record_failed(ticket, false, now),
            FetchEnd::Mismatch => {
                slot.swarm.record_failed(ticket, false, now);
                let count = self.mismatches.entry(fetch.index).or_default();
                *count += 1;
                if *count >= MAX_MISMATCHES {
                    warn!("event=list_doubted piece={} mismatches={count}", fetch.index);
                    self.mismatches.clear();
                    transfers.remove(&name);
                }
            }
        }
    }

    fn send_notices(&mut self, brief: &AgentBrief, now: Instant) {
        let has_passed = |at: Option<Instant>, span| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= span)
        };
        let may_ask = has_passed(self.asked, QUESTION_INTERVAL);
        let may_tell = has_passed(self.noticed, NOTICE_INTERVAL);
        let peers: Vec<SocketAddr> = brief.agents.iter().map(|agent| agent.address).collect();
        let mut has_sent = false;
        for slot in self.shared.transfers().slots_mut() {
            let is_complete = slot.swarm.is_complete();
            let asks = may_ask && !is_complete;
            let tells = self.news.contains(slot.swarm.name()) && (may_tell || is_complete);
            if asks || tells {
                has_sent = true;
                self.news.remove(slot.swarm.name());
                let notice = holding(&slot.swarm, asks);
                self.socket.send(Notice::Holding(notice), peers.iter().copied());
            }
        }
        if has_sent {
            self.noticed = Some(now);
        }
        if may_ask {
            self.asked = Some(now);
        }
    }

    /// Place of this agent in the order in which the engines change to a version.
    fn place(&self, brief: &AgentBrief, name: &WeightsName) -> u32 {
        let subject = format!("change/{}/{}", name.model, name.version);
        let weight =
            |address: SocketAddr| rendezvous_weight(subject.as_bytes(), &address.to_string());
        let own = weight(self.shared.settings.common.peer);
        let before = brief.agents.iter().filter(|agent| weight(agent.address) > own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    async fn load_when_due(&mut self, brief: &AgentBrief, loaded: u64) {
        if self.ordered.is_some() || self.shared.report().is_none() || self.shared.is_stale() {
            return;
        }
        let now = self.shared.clock.now();
        let common = &self.shared.settings.common;
        let piece_time = Duration::from_secs_f64(
            f64::from(brief.piece_bytes) / common.link_bytes_per_s.max(1) as f64,
        );
        let plan = SwitchPlan::new(
            common.version_bound,
            piece_time.mul_f64(f64::from(brief.piece_count) * TRANSFER_FACTOR),
        );
        let Some((name, declared_at, is_staged, elapsed)) =
            self.shared.transfers().staging().map(|slot| {
                let name = slot.swarm.name().clone();
                (name, slot.declared_at, slot.is_staged(), slot.elapsed(now))
            })
        else {
            return;
        };
        if loaded >= name.version {
            self.shared.set_change_at(None);
            return;
        }
        let agents = u32::try_from(brief.agents.len() + 1).unwrap_or(u32::MAX);
        let place = self.place(brief, &name);
        let view = SwitchView { loaded, declared: name.version, place, agents };
        let start = plan.start(&view, declared_at, now);
        self.shared.set_change_at((loaded != 0).then_some(start));
        if !is_staged {
            return;
        }
        if self.staged != name.version {
            self.staged = name.version;
            info!(
                "event=weights_staged model={} version={} ms={}",
                name.model,
                name.version,
                elapsed.as_millis()
            );
        }
        if now < start {
            return;
        }
        let due = declared_at.map_or(now, |at| plan.last_start(at));
        if self.shared.transfers().skip_oldest(due, piece_time, now) {
            info!("event=version_skipped model={} version={}", name.model, name.version);
            return;
        }
        self.load(&name, loaded).await;
    }

    async fn load(&mut self, name: &WeightsName, loaded: u64) {
        // What lies staged may have turned bad since it was verified, so it is read once more.
        let spoilt = verify_staged(&self.shared, name).await;
        if !spoilt.is_empty() {
            info!("event=pieces_spoilt model={} pieces={}", name.model, spoilt.len());
            if let Some(slot) = self.shared.transfers().get_mut(name) {
                spoilt.into_iter().for_each(|index| slot.record_spoilt(index));
            }
            self.shared.wake.notify_one();
            return;
        }
        self.shared.switching.store(true, Ordering::Relaxed);
        self.shared.wake_beats.notify_one();
        if loaded != 0 {
            sleep(ANNOUNCE_TIME).await;
        }
        self.shared.set_change_at(None);
        if order_load(&self.shared, name).await {
            self.ordered = Some((name.clone(), self.shared.clock.now()));
            self.shared.transfers().release_staging(name);
        } else {
            self.shared.switching.store(false, Ordering::Relaxed);
            let pause = Duration::from_millis(rand::rng().random_range(20..60));
            sleep(pause).await;
        }
    }

    /// Ends the wait for an order once the engine serves the weights, or after too long a time.
    fn settle_order(&mut self, brief: &AgentBrief, loaded: u64) {
        let Some((name, at)) = &self.ordered else { return };
        let now = self.shared.clock.now();
        let elapsed = now.saturating_duration_since(*at);
        let is_loaded = loaded >= name.version;
        let is_idle = self.shared.report().is_none_or(|report| !report.busy);
        let is_lost = is_idle && elapsed > Duration::from_secs(1) && !is_loaded;
        if is_loaded || is_lost || elapsed > LOAD_TIMEOUT {
            info!(
                "event=load_settled model={} version={} loaded={is_loaded} ms={} wanted={}",
                name.model,
                name.version,
                elapsed.as_millis(),
                brief.name.version
            );
            self.ordered = None;
            self.shared.switching.store(false, Ordering::Relaxed);
            self.shared.wake_beats.notify_one();
        }
    }
}
