//! How a typical request would be served at the moment, from the agents' reports that all entries get.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{
    balancer::{CONCURRENT_ENTRY_FRACTION, LoadBalancer},
    forecast::EngineLoad,
};

/// Number of values of the dither at which an engine is examined.
const DITHER_STEPS: u32 = 32;

/// Prospects of a request with a prompt of mean size at the engines of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CapacityForecast {
    /// Mean predicted time to the first event.
    pub delay: Duration,
    /// Probability that the request is refused because no engine is within its limit.
    pub refused_fraction: f64,
}

impl LoadBalancer {
    /// Prospects of a request with the limit `limit` on its predicted time to the first event; `None` if no engine of the
    /// service that this entry uses has a current report.
    #[must_use]
    pub fn capacity_forecast(
        &self,
        service: &str,
        limit: Duration,
        now: Instant,
    ) -> Option<CapacityForecast> {
        let service = self.services.get(service)?;
        let forecast = service.forecast.as_ref()?;
        let users = self.users(service) * CONCURRENT_ENTRY_FRACTION;
        // A request is refused if the dither of none of the engines admits it.
        let (mut engines, mut delay, mut refused_fraction) = (0_u32, 0.0, 1.0);
        for state in service.subset.upstreams.iter().filter_map(|id| self.upstreams.get(id)) {
            let Some(report) = state.report(now) else { continue };
            if state.record.draining || report.switching || state.version(now).is_none() {
                continue;
            }
            let load = state.engine_load(state.occupancy(now, users), now);
            let is_admitted = |step: u32| {
                let dither = (f64::from(step) + 0.5) / f64::from(DITHER_STEPS);
                let occupancy = load.occupancy + users * dither;
                forecast.typical_delay(EngineLoad { occupancy, ..load }) <= limit
            };
            let steps = (0..DITHER_STEPS).filter(|step| is_admitted(*step)).count();
            refused_fraction *= 1.0 - steps as f64 / f64::from(DITHER_STEPS);
            delay += forecast.typical_delay(load).as_secs_f64();
            engines += 1;
        }
        if engines == 0 {
            return None;
        }
        Some(CapacityForecast {
            delay: Duration::from_secs_f64(delay / f64::from(engines)),
            refused_fraction,
        })
    }
}
