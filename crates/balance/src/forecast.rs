//! A model of an engine: what a request costs and when its first event is due.

use std::time::Duration;

use fleet::EngineRecord;

/// Network time that every request spends before its first event, whatever the load: two hops of a few milliseconds.
const FIXED_DELAY: Duration = Duration::from_millis(15);
/// Passes until the first event: on average half of one until the engine takes new work, and the one that makes it.
const FIRST_PASSES: f64 = 1.5;

/// Load of an engine, as far as an entry can tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Requests that run or wait.
    pub occupancy: f64,
    /// Requests among them whose prompts have not been read yet.
    pub unread: f64,
    /// Factor on the usual time of a step; above 1 if the engine is slow.
    pub pace: f64,
}

impl Default for EngineLoad {
    fn default() -> Self {
        Self { occupancy: 0.0, unread: 0.0, pace: 1.0 }
    }
}

/// Predicts service times of one service's engines from the costs that the configuration states.
#[derive(Clone, Copy, Debug)]
pub struct EngineForecast {
    slots: f64,
    step: f64,
    stride: f64,
    /// Prompt tokens per second that an engine reads between the steps of running requests.
    read_rate: f64,
    usual_prompt: f64,
    /// Seconds of engine time that a usual request takes from the others.
    usual_cost: f64,
}

impl EngineForecast {
    /// Creates the forecast for engines with these properties.
    #[must_use]
    pub fn new(engine: &EngineRecord) -> Self {
        let costs = &engine.costs;
        let slots = f64::from(engine.slots.max(1));
        let (prompt, answer) = engine.usual_tokens;
        let context_k = (f64::from(prompt) + f64::from(answer) / 2.0) / 1_000.0;
        let step = costs.step.as_secs_f64()
            + slots
                * (costs.step_per_request.as_secs_f64()
                    + costs.step_per_context.as_secs_f64() * context_k);
        let stride = f64::from(costs.stride.max(1));
        let idle_rate = costs.read_per_second.max(1.0);
        // Each pass reads one chunk and makes one stride of steps.
        let chunk = f64::from(costs.chunk.max(1));
        let read_rate = chunk / (chunk / idle_rate + stride * step);
        let usual_cost = f64::from(answer) * step / slots + f64::from(prompt) / idle_rate;
        Self { slots, step, stride, read_rate, usual_prompt: f64::from(prompt), usual_cost }
    }

    /// Engine time that a usual request takes; its inverse is the rate that one engine sustains.
    #[must_use]
    pub fn usual_cost(&self) -> Duration {
        Duration::from_secs_f64(self.usual_cost)
    }

    /// Time from sending to the first event. An engine with free slots may still have many prompts to read first, for
    /// example right after it has changed its weights.
    #[must_use]
    pub fn first_event(&self, load: EngineLoad, prompt_tokens: u32) -> Duration {
        let waiting = (load.occupancy + 1.0 - self.slots).max(0.0) * self.usual_cost;
        let passes = FIRST_PASSES * self.step * self.stride;
        let tokens = load.unread * self.usual_prompt + f64::from(prompt_tokens);
        let busy = waiting + passes + tokens / self.read_rate;
        FIXED_DELAY + Duration::from_secs_f64(busy * load.pace.max(1.0))
    }
}
