//! Connects the requests of an entry to load shedding.

use std::time::{Duration, Instant};

use balance::{FinalStatus, RefusalCause};
use hyper::StatusCode;
use log::info;
use shed::{LoadForecast, ShedOutcome, ShedRecord, ShedRequest};

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
        ShedRequest {
            service: self.service.clone(),
            rank: self.rank(),
            team: self.team.as_ref().map(|team| team.team.clone()),
            time_to_target: self.time_to_target(now),
            target: self.route.target_latency,
        }
    }

    /// Longest predicted time to the first event with which the request may be placed; `None` if only the rule of the
    /// load balancer applies.
    pub(super) fn delay_limit(&self, now: Instant, is_resumed: bool) -> Option<Duration> {
        if is_resumed || !self.shared.contention().is_ranked(&self.service) {
            return None;
        }
        self.shared.update_forecast(&self.service, now);
        self.shared.shedding().delay_limit(&self.shed_request(now), now)
    }

    /// Tells load shedding how the request ended. Must be called once for each request.
    pub(super) fn record_shed(&self, end: &RequestResult) {
        if !self.shared.contention().is_ranked(&self.service) {
            return;
        }
        let now = self.shared.clock.now();
        let has_run = {
            let progress = self.progress();
            match end {
                RequestResult::Stream(..) => true,
                RequestResult::Complete(head, _) => {
                    head.status != StatusCode::SERVICE_UNAVAILABLE
                        || progress.attempts.final_status() == FinalStatus::Unknown
                }
                RequestResult::Refused(_) | RequestResult::Rejected(..) => false,
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
        let request = self.shed_request(now);
        let record = self.shared.shedding().record(&request, outcome, now);
        if let Some(record) = record {
            self.report_shed(&request, outcome, record);
        }
    }

    /// Counts the request by rank and team, and logs a refusal with its cause.
    fn report_shed(&self, request: &ShedRequest, outcome: ShedOutcome, record: ShedRecord) {
        let (rank, cause) = (request.rank, record.limit.cause.as_str());
        let team = request.team.as_deref().unwrap_or("none");
        let label = if record.is_team_listed { team } else { "other" };
        let label = label.replace(['"', '\\', '\n'], "_");
        let name = match outcome {
            ShedOutcome::Placed(_) => {
                format!("shed_placed_total{{rank=\"{rank}\",team=\"{label}\"}}")
            }
            ShedOutcome::Refused => {
                format!("shed_refused_total{{rank=\"{rank}\",team=\"{label}\",cause=\"{cause}\"}}")
            }
            ShedOutcome::Unavailable => {
                format!("shed_unavailable_total{{rank=\"{rank}\",team=\"{label}\"}}")
            }
        };
        self.shared.metrics.count(&name);
        if outcome == ShedOutcome::Refused {
            info!(
                "event=request_shed request={} service={} rank={rank} team={team} cause={cause} \
                 limit_ms={} on_time={} time_left_ms={} timeout_ms={}",
                self.meta.id,
                request.service,
                record.limit.delay.as_millis(),
                request.time_to_target.is_some(),
                self.meta.time_left.map_or(-1, |left| left.as_millis() as i64),
                self.route.timeout.as_millis()
            );
        }
    }
}
