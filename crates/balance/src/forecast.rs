//! Performance model of an engine: predicts the cost of a request and the time to its first event.

use std::time::Duration;

use fleet::EngineRecord;

/// Network latency before the first event, independent of load: two hops of a few milliseconds each.
const NETWORK_DELAY: Duration = Duration::from_millis(15);
/// Mean number of passes until the first event: half a pass until the engine admits new requests, and the pass that
/// produces the event.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;
/// Maximum predicted time. Far longer than any request may take, and short enough to be added to a clock reading.
const MAX_FORECAST: Duration = Duration::from_secs(24 * 3_600);

/// Load of an engine, as estimated by an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Number of requests that run or wait.
    pub occupancy: f64,
    /// Number of these requests whose prefill has not happened yet.
    pub pending_prefills: f64,
    /// Factor on the configured time of a step; above 1 if the engine is slow.
    pub slowdown: f64,
}

impl Default for EngineLoad {
    fn default() -> Self {
        Self { occupancy: 0.0, pending_prefills: 0.0, slowdown: 1.0 }
    }
}

/// Predicts latencies of a service's engines from the costs in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct EngineForecast {
    slots: f64,
    step: f64,
    stride: f64,
    /// Prefill rate in prompt tokens per second while the engine also generates tokens for running requests.
    prefill_rate: f64,
    mean_prompt: f64,
    /// Seconds of engine time that a request of mean size takes.
    mean_cost: f64,
}

impl EngineForecast {
    /// Creates the forecast for engines with the given slots, costs and mean request size.
    #[must_use]
    pub fn new(engine: &EngineRecord) -> Self {
        let costs = &engine.costs;
        let slots = f64::from(engine.slots.max(1));
        let (prompt, response) = engine.mean_tokens;
        let context_k = (f64::from(prompt) + f64::from(response) / 2.0) / 1_000.0;
        let step = costs.step.as_secs_f64()
            + slots
                * (costs.step_per_request.as_secs_f64()
                    + costs.step_per_context.as_secs_f64() * context_k);
        let stride = f64::from(costs.stride.max(1));
        let idle_prefill_rate = costs.prefill_per_second.max(1.0);
        // Each pass processes one chunk of prompt tokens and then `stride` generation steps.
        let chunk = f64::from(costs.prefill_chunk.max(1));
        let prefill_rate = chunk / (chunk / idle_prefill_rate + stride * step);
        let mean_cost = f64::from(response) * step / slots + f64::from(prompt) / idle_prefill_rate;
        Self { slots, step, stride, prefill_rate, mean_prompt: f64::from(prompt), mean_cost }
    }

    /// Engine time that a request of mean size takes. Its inverse is the request rate that one engine sustains.
    #[must_use]
    pub fn mean_cost(&self) -> Duration {
        bounded(self.mean_cost)
    }

    /// Predicted time from sending a request with a prompt of mean size to its first event.
    #[must_use]
    pub fn typical_delay(&self, load: EngineLoad) -> Duration {
        self.delay(load, self.mean_prompt as u32)
    }

    /// Predicted time from sending a request to its first event. An engine with free slots may still have many prefills
    /// to do first, for example right after it has switched weights.
    #[must_use]
    pub fn delay(&self, load: EngineLoad, prompt_tokens: u32) -> Duration {
        let waiting = (load.occupancy + 1.0 - self.slots).max(0.0) * self.mean_cost;
        let passes = PASSES_TO_FIRST_EVENT * self.step * self.stride;
        let tokens = load.pending_prefills * self.mean_prompt + f64::from(prompt_tokens);
        let engine_time = waiting + passes + tokens / self.prefill_rate;
        NETWORK_DELAY + bounded(engine_time * load.slowdown.max(1.0))
    }
}

/// Duration of at most [`MAX_FORECAST`], also of numbers that overflow with extreme costs.
fn bounded(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_FORECAST).min(MAX_FORECAST)
}
