//! Learns the speed of upstreams from their responses.

use std::time::Instant;

use balance::ForecastCheck;
use base::UpstreamId;
use fleet::UpstreamRecord;
use pace::ResponseSample;

use super::request::{ChosenUpstream, RequestContext};
use crate::port::ResponseMeta;

impl RequestContext {
    /// True if capacity is learned at the service of the request.
    fn learns_speed(&self) -> bool {
        self.shared.settings.learned_capacity
            && self.shared.contention().has_shared_hosts(&self.service)
    }

    /// Records a response as evidence of the speed of a plain upstream. `is_served` is true for a complete response with
    /// content.
    pub(super) fn record_speed(
        &self,
        upstream: &UpstreamRecord,
        meta: &ResponseMeta,
        sent_at: Instant,
        is_served: bool,
    ) {
        if !meta.signed || !self.learns_speed() {
            return;
        }
        let now = self.shared.clock.now();
        let sample = ResponseSample {
            elapsed: now.saturating_duration_since(sent_at),
            occupancy: meta.load,
            slots: upstream.slots,
            is_served,
        };
        self.shared.balancer().record_response(&upstream.upstream, sample, now);
    }

    /// Begins the check of the forecast for a stream; `None` if the speed of the upstream is not learned.
    pub(super) fn begin_forecast_check(
        &self,
        chosen: &ChosenUpstream,
        sent_at: Instant,
    ) -> Option<ForecastCheck> {
        let upstream = &chosen.record.upstream;
        self.learns_speed()
            .then(|| self.shared.balancer().begin_forecast_check(upstream, chosen.delay, sent_at))
            .flatten()
    }

    /// Records the first event of a stream.
    pub(super) fn record_first_event(&self, upstream: &UpstreamId, check: ForecastCheck) {
        let now = self.shared.clock.now();
        self.shared.balancer().record_first_event(upstream, check, now);
    }
}
