//! Capacity of a service for the requests of one entry.

use std::time::{Duration, Instant};

use super::LoadBalancer;
use crate::forecast::EngineLoad;

/// Time for which an engine is out of service while it loads new weights.
const LOAD_TIME: Duration = Duration::from_millis(1_200);

/// Requests that the engines of a service can begin for one entry, now and after the switches of weights that agents
/// have reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Requests per second at present.
    pub per_second: f64,
    /// Changes of that rate: time from now and difference.
    pub changes: Vec<(Duration, f64)>,
}

impl LoadBalancer {
    /// Predicted time until the first event of a request at an idle engine; zero for services without engines.
    #[must_use]
    pub fn idle_delay(&self, service: &str, prompt_tokens: u32) -> Duration {
        let forecast = self.services.get(service).and_then(|service| service.forecast.as_ref());
        forecast
            .map_or(Duration::ZERO, |forecast| forecast.delay(EngineLoad::default(), prompt_tokens))
    }

    /// This entry's share of the capacity of a service, from the configured costs and the agents' reports. All entries
    /// are assumed to get as many requests. `None` for services without engines, whose costs are not known.
    #[must_use]
    pub fn capacity(&self, service: &str, now: Instant) -> Option<ServiceCapacity> {
        let service = self.services.get(service)?;
        let mean_cost = service.forecast.as_ref()?.mean_cost().as_secs_f64();
        if mean_cost <= 0.0 {
            return None;
        }
        let mut capacity = ServiceCapacity::default();
        let in_service =
            service.upstreams.iter().filter_map(|id| self.upstreams.get(id)).filter(|state| {
                let record = &state.record;
                !record.draining
                    && !self.evacuated.contains(&record.data_centre)
                    && !self.availability.is_leaving(&record.upstream, record.started_ms)
            });
        for state in in_service {
            let slowdown = state.slowdown(now).max(1.0);
            let per_second = 1.0 / (mean_cost * slowdown * self.entries as f64);
            if state.report(now).is_some_and(|report| report.switching) {
                capacity.changes.push((LOAD_TIME, per_second));
                continue;
            }
            if state.version(now).is_none() {
                continue;
            }
            capacity.per_second += per_second;
            if let Some(remaining) = state.time_to_switch(now) {
                capacity.changes.push((remaining, -per_second));
                capacity.changes.push((remaining + LOAD_TIME, per_second));
            }
        }
        Some(capacity)
    }
}
