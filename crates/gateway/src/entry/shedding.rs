//! Connects the requests of an entry to load shedding.

use std::time::{Duration, Instant};

use balance::{FinalStatus, RefusalCause};
use hyper::StatusCode;
use shed::{LoadForecast, ShedOutcome, ShedRequest};

use super::{outcome::RequestResult, request::RequestContext, shared::EntryShared};

impl EntryShared {
    /// Tells load shedding which services are contended, after a change.
    pub(super) fn apply_contention(&self) {
        let contention = self.contention().clone();
        self.shedding().set_contention(&contention, self.clock.now());
    }

    /// Tells load shedding how urgent requests would be served according to the agents' reports, if that is due.
    fn update_forecast(&self, service: &str, now: Instant) {
        let Some(limit) = self.shedding().due_forecast(service, now) else { return };
        let forecast = self.balancer().capacity_forecast(service, limit, now);
        let forecast = forecast.map(|forecast| LoadForecast {
            delay: forecast.delay,
            refused_fraction: forecast.refused_fraction,
        });
        self.shedding().record_forecast(service, forecast, now);
    }
}

impl RequestContext {
    fn shed_request(&self, now: Instant) -> ShedRequest {
        let priority = self.team.as_ref().and_then(|team| team.priority);
        ShedRequest {
            service: self.service.clone(),
            rank: priority.unwrap_or(self.route.priority),
            team: self.team.as_ref().map(|team| team.team.clone()),
            time_to_target: self.time_to_target(now),
            target: self.route.target_latency,
        }
    }

    /// Longest predicted time to the first event with which the request may be placed; `None` if only the rule of the
    /// load balancer applies.
    pub(super) fn delay_limit(&self, now: Instant, is_resumed: bool) -> Option<Duration> {
        if is_resumed {
            return None;
        }
        self.shared.update_forecast(&self.service, now);
        self.shared.shedding().delay_limit(&self.shed_request(now), now)
    }

    /// Tells load shedding how the request ended. Must be called once for each request.
    pub(super) fn record_shed(&self, end: &RequestResult) {
        let now = self.shared.clock.now();
        let has_run = {
            let progress = self.progress();
            match end {
                RequestResult::Stream(..) => true,
                RequestResult::Complete(head, _) => {
                    head.status != StatusCode::SERVICE_UNAVAILABLE
                        || progress.attempts.final_status() == FinalStatus::Unknown
                }
                RequestResult::Refused(_) => false,
                RequestResult::Failed(status) | RequestResult::Expired(status) => {
                    *status == FinalStatus::Unknown
                }
            }
        };
        let outcome = match (self.predicted().filter(|_| has_run), end) {
            (Some(predicted), _) => ShedOutcome::Placed(predicted),
            (None, RequestResult::Refused(refusal))
                if refusal.cause == RefusalCause::Overloaded =>
            {
                ShedOutcome::Refused
            }
            (None, _) => ShedOutcome::Unavailable,
        };
        self.shared.shedding().record(&self.shed_request(now), outcome, now);
    }
}
