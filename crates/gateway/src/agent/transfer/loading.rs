//! Decides when the engine loads staged weights, and orders it.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use base::rendezvous_weight;
use chunks::{
    DRAIN_TIME, LOAD_TIME, LoadPosition, LoadSchedule, LoadVerdict, OrderProgress, WeightsId,
    WeightsTransfer,
};
use log::info;
use rand::RngExt;
use tokio::time::sleep;

use super::{
    super::{
        engine::{OrderAttempt, order_load, verify_staged},
        shared::{AgentAssignment, order_report},
    },
    TransferTask,
};

/// Factor between the transfer time of the weights on an idle link and the time until all hosts have them: chunks pass
/// through several hosts, and transfers leave part of each link to requests.
const TRANSFER_FACTOR: f64 = 1.6;
/// Delay between the announcement of a load and the load order, so that requests already in transit arrive first.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(40);
/// Pause before the next load order after the engine has refused one, so that it is used in between.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Minimum time between the announcement of the time of a load and the load order while requests may begin on the loaded
/// version, so that requests that are queued at the engine can begin.
const NOTICE_TIME: Duration = Duration::from_millis(300);

impl TransferTask {
    /// Expected time at which the engine serves the wanted weights; `None` if it serves them already or the time is
    /// unknown.
    pub(super) fn weights_at(&self, assignment: &AgentAssignment, loaded: u64) -> Option<Instant> {
        if loaded >= assignment.weights.version || self.shared.report().is_none() {
            return None;
        }
        let now = self.shared.clock.now();
        let switch_time = if loaded == 0 { LOAD_TIME } else { DRAIN_TIME + LOAD_TIME };
        if let Some(order) = &self.pending_load
            && *order.weights() == assignment.weights
        {
            // Loading begins when the last running request has ended.
            let is_draining = self.shared.report().is_some_and(|report| report.running > 0);
            let earliest = if is_draining { now + LOAD_TIME } else { now };
            return Some((order.ordered_at() + switch_time).max(earliest));
        }
        let transfers = self.shared.transfers();
        transfers.get(&assignment.weights)?;
        let remaining = transfers.newest_remaining(self.shared.chunk_time(assignment), now)?;
        let load_at = self.shared.next_load_at().unwrap_or(now);
        Some((now + remaining).max(load_at) + switch_time)
    }

    /// Position of this agent in the order in which the engines load a version.
    pub(super) fn load_position(
        &mut self,
        assignment: &Arc<AgentAssignment>,
        weights: &WeightsId,
    ) -> u32 {
        if let Some((known, known_weights, position)) = &self.load_position
            && Arc::ptr_eq(known, assignment)
            && known_weights == weights
        {
            return *position;
        }
        let subject = format!("change/{}/{}", weights.model, weights.version);
        let weight =
            |address: SocketAddr| rendezvous_weight(subject.as_bytes(), &address.to_string());
        let own = weight(self.shared.settings.common.peer);
        let preceding =
            assignment.agents.iter().filter(|agent| weight(agent.address) > own).count();
        let position = u32::try_from(preceding).unwrap_or(u32::MAX);
        self.load_position = Some((assignment.clone(), weights.clone(), position));
        position
    }

    /// Time of the declaration that made the loaded version outdated; `None` if neither this process nor the entry that
    /// sent the assignment has learned of one.
    fn first_declared(&mut self, assignment: &AgentAssignment, loaded: u64) -> Option<Instant> {
        let weights = &assignment.weights;
        let wanted = assignment.declared_at.map(|at| (weights.version, at));
        for (version, at) in assignment.earlier.iter().copied().chain(wanted) {
            let declared = WeightsId { model: weights.model.clone(), version };
            self.declarations.retain(|(known, _)| *known != declared);
            self.declarations.push((declared, at));
        }
        self.declarations
            .retain(|(known, _)| known.model == weights.model && known.version > loaded);
        self.declarations.iter().map(|(_, at)| *at).min()
    }

    pub(super) async fn load_when_due(&mut self, assignment: &Arc<AgentAssignment>, loaded: u64) {
        let first_declared = self.first_declared(assignment, loaded);
        if self.pending_load.is_some() {
            self.repeat_order(loaded).await;
            return;
        }
        if self.shared.report().is_none() || self.shared.is_stale() {
            return;
        }
        let now = self.shared.clock.now();
        let common = &self.shared.settings.common;
        let chunk_time = self.shared.chunk_time(assignment);
        let schedule = LoadSchedule::new(
            common.rollout_timeout,
            chunk_time.mul_f64(f64::from(assignment.chunk_count) * TRANSFER_FACTOR),
        )
        .with_first_declared(first_declared);
        let Some((weights, declared_at, is_staged, elapsed, remaining)) =
            self.shared.transfers().staging().map(|transfer| {
                let weights = transfer.swarm.name().clone();
                let origin_time = transfer.swarm.origin_chunk_time().unwrap_or(chunk_time);
                let remaining = transfer.remaining(chunk_time, origin_time, now);
                let is_staged = transfer.is_staged();
                (weights, transfer.declared_at, is_staged, transfer.elapsed(now), remaining)
            })
        else {
            return;
        };
        if loaded >= weights.version {
            self.shared.set_next_load_at(None);
            return;
        }
        if is_staged && self.staged.as_ref().is_none_or(|(known, _)| *known != weights) {
            info!(
                "event=weights_staged model={} version={} ms={}",
                weights.model,
                weights.version,
                elapsed.as_millis()
            );
            self.staged = Some((weights.clone(), now));
            // The time of the load is exact from now on.
            self.shared.wake_heartbeats.notify_one();
        }
        let staged_at = match &self.staged {
            Some((known, at)) if is_staged && *known == weights => Some(*at),
            _ => remaining.map(|remaining| now + remaining),
        };
        // Nothing is lost if weights that entries do not use are replaced at once.
        let loaded = if self.serves_unusable_weights() { 0 } else { loaded };
        let is_serving = loaded != 0;
        let Some(staged_at) = staged_at else {
            self.shared.set_next_load_at(None);
            return;
        };
        let agents = u32::try_from(assignment.agents.len() + 1).unwrap_or(u32::MAX);
        let position = self.load_position(assignment, &weights);
        let load_position = LoadPosition { loaded, declared: weights.version, position, agents };
        let mut start = schedule.start(&load_position, declared_at, staged_at);
        if is_serving && declared_at.is_some_and(|at| staged_at < schedule.latest_start(at)) {
            start = start.max(staged_at + NOTICE_TIME);
        }
        if let Some(paused_until) = self.load_paused_until {
            let retry_start = schedule.retry_start(&load_position, declared_at, paused_until);
            start = start.max(retry_start);
        }
        self.shared.set_next_load_at(is_serving.then_some(start));
        // An engine that carries out an order, which may be one of this agent's previous process, accepts no other one.
        let is_busy = self.shared.report().is_some_and(|report| report.busy);
        if !is_staged || now < start || is_busy {
            return;
        }
        let due = declared_at.map_or(now, |at| schedule.latest_start(at));
        let wanted = &assignment.weights;
        let count = assignment.chunk_count;
        if is_serving && self.shared.transfers().awaits_newer(wanted, count, due, chunk_time, now) {
            self.shared.set_next_load_at(None);
            return;
        }
        if self.shared.transfers().skip_oldest(is_serving, due, chunk_time, now) {
            info!("event=version_skipped model={} version={}", weights.model, weights.version);
            return;
        }
        self.load(&weights, loaded).await;
    }

    async fn load(&mut self, weights: &WeightsId, loaded: u64) {
        // Staged chunks may have become corrupt since they were verified, so they are verified again.
        let verified = verify_staged(&self.shared, weights).await;
        let Some((verification, corrupt)) = verified else { return };
        if corrupt.count() > 0 {
            info!("event=pieces_spoilt model={} pieces={}", weights.model, corrupt.count());
            if let Some(transfer) = self.shared.transfers().get_mut(weights) {
                let now = self.shared.clock.now();
                corrupt.iter().for_each(|index| transfer.record_corrupt(index, now));
            }
            self.shared.wake_transfer.notify_one();
            return;
        }
        self.shared.switching.store(true, Ordering::Relaxed);
        self.shared.wake_heartbeats.notify_one();
        if loaded != 0 {
            // Repeated because datagrams may be lost.
            sleep(ANNOUNCE_DELAY / 2).await;
            self.shared.wake_heartbeats.notify_one();
            sleep(ANNOUNCE_DELAY / 2).await;
        }
        self.shared.set_next_load_at(None);
        let previous = self.pending_load.take();
        let manifest =
            self.shared.transfers().get(weights).map(|item| item.swarm.manifest().clone());
        self.load_manifest = manifest;
        let attempt = order_load(&self.shared, weights, &verification, previous).await;
        self.shared.wake_heartbeats.notify_one();
        match attempt {
            OrderAttempt::Pending(order) => {
                let is_accepted = order.is_accepted();
                self.pending_load = Some(order);
                self.shared.transfers().hold_staging(weights);
                if is_accepted {
                    self.shared.wake_transfer.notify_one();
                    return;
                }
            }
            OrderAttempt::Refused => {
                self.shared.transfers().end_hold();
                self.end_switch();
                self.load_paused_until = Some(self.shared.clock.now() + REFUSAL_PAUSE);
            }
            OrderAttempt::Unverified(previous) => {
                // An engine that may still accept the earlier order stays unused.
                if previous.is_none() {
                    self.end_switch();
                }
                self.pending_load = previous;
                self.shared.wake_transfer.notify_one();
                return;
            }
        }
        let pause = Duration::from_millis(rand::rng().random_range(20..60));
        sleep(pause).await;
    }

    /// Records that the engine accepts requests, because no order to load other weights is under way.
    fn end_switch(&self) {
        if self.shared.switching.swap(false, Ordering::Relaxed) {
            self.shared.wake_heartbeats.notify_one();
        }
    }

    /// Evaluates the engine's last report on the pending load order: whether the engine has accepted it, has loaded the
    /// weights or no longer carries the order out.
    pub(super) fn settle_load(&mut self, assignment: &AgentAssignment) {
        let now = self.shared.clock.now();
        let report = self.shared.report();
        let Some(order) = &mut self.pending_load else { return };
        let weights = order.weights().clone();
        let report = report.map(|report| order_report(&report, &weights.model));
        let elapsed = now.saturating_duration_since(order.ordered_at());
        let progress = order.progress(report.as_ref(), now);
        match progress {
            OrderProgress::Waiting | OrderProgress::Unaccepted => {}
            OrderProgress::Accepted => {
                info!(
                    "event=load_accepted model={} version={} ms={}",
                    weights.model,
                    weights.version,
                    elapsed.as_millis()
                );
            }
            OrderProgress::Loaded | OrderProgress::Failed => {
                info!(
                    "event=load_settled model={} version={} loaded={} ms={} wanted={}",
                    weights.model,
                    weights.version,
                    progress == OrderProgress::Loaded,
                    elapsed.as_millis(),
                    assignment.weights.version
                );
                self.pending_load = None;
                let awaits_verification = matches!(
                    self.shared.served_load(),
                    Some((load, LoadVerdict::Unverified)) if load.weights == weights
                );
                if !awaits_verification {
                    self.shared.transfers().end_hold();
                }
                self.end_switch();
            }
        }
    }

    /// Repeats the pending load order if the engine has not accepted it.
    async fn repeat_order(&mut self, loaded: u64) {
        let Some(order) = &self.pending_load else { return };
        let weights = order.weights().clone();
        let report = self.shared.report().map(|report| order_report(&report, &weights.model));
        if report.is_none_or(|report| !order.is_unaccepted(&report)) {
            return;
        }
        let is_staged = self.shared.transfers().get(&weights).map(WeightsTransfer::is_staged);
        if is_staged == Some(true) {
            self.load(&weights, loaded).await;
            return;
        }
        if is_staged.is_none() {
            // Without the manifest, the staged chunks cannot be verified.
            self.pending_load = None;
            self.shared.transfers().end_hold();
        }
        // Until the missing chunks are staged again, the engine serves the older version.
        self.end_switch();
    }
}
