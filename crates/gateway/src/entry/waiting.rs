//! How a request waits at the entry until an upstream of a ranked service can take it.

use std::time::{Duration, Instant};

use balance::{PlacementRefusal, RefusalCause};
use hyper::StatusCode;
use log::info;
use shed::RequestRank;
use tokio::time::timeout_at;
use wait::{LeaveCause, RETRY_AFTER_RANGE, WaitingWork, time_since_first_attempt};

use super::{
    admit::admit,
    outcome::ChoiceRefusal,
    request::{AttemptPurpose, ChosenUpstream, RequestContext},
    rooms::{WaitSignal, WaitTicket},
};

/// Time after the end of its wait at which a request leaves by itself, should the task that gives turns have failed.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);
/// Factor on the time to a first event at an idle engine that a request must still have to its target when it leaves the
/// queue. With a factor of 1, only idle engines could serve it in time, and while requests queue there are none.
const PLACEMENT_MARGIN: f64 = 2.0;
/// Memory of a queued request in addition to its body: head, configuration references and the caller's connection.
const REQUEST_OVERHEAD: usize = 8 << 10;
/// Usual duration of a stream, which a late request needs before its deadline.
const USUAL_STREAM_TIME: Duration = Duration::from_millis(1_200);
/// The same for other requests: plain services respond within tens of milliseconds.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

impl RequestContext {
    /// Chooses an upstream. At a ranked service, a request that no upstream can take, or that others are queued
    /// before, waits for its turn.
    pub(super) async fn choose_or_wait(
        &self,
        now: Instant,
        purpose: AttemptPurpose,
    ) -> Result<ChosenUpstream, ChoiceRefusal> {
        let shared = &self.shared;
        let may_wait = purpose == AttemptPurpose::Initial
            && !shared.is_leaving()
            && shared.contention().is_ranked(&self.service);
        if !may_wait {
            return self.choose_upstream(now, purpose).map_err(ChoiceRefusal::Placement);
        }
        let work = self.waiting_work(now);
        if !shared.waiting.blocks(&self.service, work.lane()) {
            match self.choose_upstream(now, purpose) {
                Ok(chosen) => {
                    shared.waiting.record_passed(&self.service, &work, now);
                    return Ok(chosen);
                }
                // Without a usable upstream, waiting does not help.
                Err(refusal) if refusal.cause == RefusalCause::NoUpstream => {
                    return Err(self.refuse(refusal.cause, &work, now));
                }
                Err(_) => {}
            }
        }
        if !self.may_queue(&work) {
            return Err(self.refuse(RefusalCause::Overloaded, &work, now));
        }
        let rank = work.rank;
        let result = match shared.waiting.offer(&self.service, work.clone(), now) {
            Ok(mut ticket) => self.wait_for_turn(&mut ticket, &work).await,
            Err(cause) => Err(WaitEnd::Left(cause)),
        };
        let ended = shared.clock.now();
        let waited = ended.saturating_duration_since(now);
        self.progress().waited += waited;
        let name = match &result {
            Ok(_) => "placed",
            Err(WaitEnd::Left(cause)) => cause.as_str(),
            Err(WaitEnd::Rejected(_, cause)) => cause,
        };
        let team = self.team.as_ref().map_or("none", |team| team.team.as_str());
        shared.metrics.count(&format!(
            "waiting_requests_total{{result=\"{name}\",rank=\"{rank}\",team=\"{team}\"}}"
        ));
        shared.metrics.observe("waiting_seconds", waited);
        info!(
            "event=wait_ended request={} result={name} rank={rank} team={team} waited_ms={}",
            self.meta.id,
            waited.as_millis()
        );
        result.map_err(|end| match end {
            WaitEnd::Left(LeaveCause::NoUpstream) => {
                self.refuse(RefusalCause::NoUpstream, &work, ended)
            }
            WaitEnd::Left(_) => self.refuse(RefusalCause::Overloaded, &work, ended),
            WaitEnd::Rejected(status, cause) => ChoiceRefusal::Rejected(status, cause),
        })
    }

    /// Refuses a request with a time at which its caller returns. A caller that has returned before does not do so again,
    /// and no capacity is planned for it; a stopping entry plans for none, because callers return to another one.
    fn refuse(&self, cause: RefusalCause, work: &WaitingWork, now: Instant) -> ChoiceRefusal {
        let shared = &self.shared;
        let retry_after = if shared.is_leaving() {
            RETRY_AFTER_RANGE.0
        } else if work.is_late || work.is_returned {
            RETRY_AFTER_RANGE.1
        } else {
            let capacity = shared.balancer().capacity(&self.service, now);
            let time_left = self.deadline.saturating_duration_since(now);
            shared.waiting.retry_after(&self.service, capacity, time_left, now)
        };
        ChoiceRefusal::Placement(PlacementRefusal { cause, retry_after })
    }

    /// True if waiting may help the request: a late one is not likely to be placed while requests on time are shed.
    fn may_queue(&self, work: &WaitingWork) -> bool {
        !(work.is_late && self.shared.shedding().is_shedding(&self.service))
    }

    /// Waits until the request has been placed in one of its turns, or has left the room.
    async fn wait_for_turn(
        &self,
        ticket: &mut WaitTicket,
        work: &WaitingWork,
    ) -> Result<ChosenUpstream, WaitEnd> {
        let leave_at = work.wait_until + LEAVE_MARGIN;
        loop {
            let signal = timeout_at(leave_at.into(), ticket.signals.recv()).await;
            let reply = match signal {
                Ok(Some(WaitSignal::Turn(reply))) => reply,
                Ok(Some(WaitSignal::Leave(cause))) => return Err(WaitEnd::Left(cause)),
                Ok(None) | Err(_) => return Err(WaitEnd::Left(LeaveCause::Expired)),
            };
            let now = self.shared.clock.now();
            self.check_again(now)?;
            let choice = self.choose_upstream(now, AttemptPurpose::Initial);
            // An on-time request without a usable upstream would keep others waiting. A late one stays: its caller does
            // not return, and engines that load are back within its deadline.
            if let Err(refusal) = &choice
                && refusal.cause == RefusalCause::NoUpstream
                && !work.is_late
            {
                return Err(WaitEnd::Left(LeaveCause::NoUpstream));
            }
            // The attempt is recorded before this task yields, so the next turn takes it into account.
            let is_queued = reply.send(choice.is_ok()).is_ok();
            match choice {
                Ok(chosen) => {
                    ticket.record_placed(now);
                    return Ok(chosen);
                }
                Err(_) if is_queued => {}
                Err(_) => return Err(WaitEnd::Left(LeaveCause::Expired)),
            }
        }
    }

    /// Repeats the checks of a new request, because the configuration may have changed while the request was queued.
    /// The region restrictions are checked with each choice of an upstream.
    fn check_again(&self, now: Instant) -> Result<(), WaitEnd> {
        let pauses = self.shared.pauses();
        let view = self.shared.view.load();
        let (route, _) = admit(&self.shared, &view, &self.meta, self.uri.path(), self.started)
            .map_err(|(status, cause)| WaitEnd::Rejected(status, cause))?;
        if !route.backends.iter().any(|backend| backend.service == self.service) {
            return Err(WaitEnd::Rejected(StatusCode::SERVICE_UNAVAILABLE, "route_changed"));
        }
        self.progress().pauses = pauses;
        self.crash_refusal(now).map_or(Ok(()), |refusal| {
            Err(WaitEnd::Rejected(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str()))
        })
    }

    /// True if requests are queued that get the next free capacity before this one.
    pub(super) fn is_behind_queue(&self, now: Instant) -> bool {
        self.shared.contention().is_ranked(&self.service)
            && self.shared.waiting.blocks(&self.service, self.waiting_work(now).lane())
    }

    fn waiting_work(&self, now: Instant) -> WaitingWork {
        let route = &self.route;
        let since_first = time_since_first_attempt(route.timeout, self.meta.time_left);
        let is_late = !self.is_on_time();
        let wait_until = if is_late {
            let is_stream = route.repeat.is_stream();
            let usual = if is_stream { USUAL_STREAM_TIME } else { USUAL_RESPONSE_TIME };
            self.deadline.checked_sub(usual)
        } else {
            let balancer = self.shared.balancer();
            let idle_delay = balancer.idle_delay(&self.service, self.meta.prompt_tokens);
            (self.started + route.target_latency)
                .checked_sub(since_first + idle_delay.mul_f64(PLACEMENT_MARGIN))
        };
        WaitingWork {
            id: 0,
            rank: self.rank(),
            team: self.team.as_ref().map(|team| team.team.clone()).unwrap_or_default(),
            bytes: self.body.len() + REQUEST_OVERHEAD,
            is_late,
            is_returned: self.shared.waiting.is_returned(&self.service, since_first, now),
            wait_until: wait_until.unwrap_or(now),
        }
    }

    /// Urgency of the request among those for its service.
    pub(super) fn rank(&self) -> RequestRank {
        let team = self.team.as_ref().and_then(|team| team.priority);
        self.shared.contention().rank_of(&self.service, team, self.route.priority)
    }
}

/// Why a request stopped waiting without an upstream.
enum WaitEnd {
    /// It has left the room, or did not enter it.
    Left(LeaveCause),
    /// A new request would be refused with this status and cause.
    Rejected(StatusCode, &'static str),
}
