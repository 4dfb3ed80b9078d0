//! A model of an engine: what a request costs and when its first event is due.

use std::time::Duration;

use fleet::EngineRecord;

/// Network and pass time that every request spends before its first event, whatever the load: two hops of a few
/// milliseconds, and on average half a pass until the engine admits new work.
const FIXED_DELAY: Duration = Duration::from_millis(15);

/// Predicts service times of one service's engines from the costs that the configuration states.
#[derive(Clone, Copy, Debug)]
pub struct EngineForecast {
    slots: f64,
    step: f64,
    stride: f64,
    read_per_second: f64,
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
        let read_per_second = costs.read_per_second.max(1.0);
        let usual_cost = f64::from(answer) * step / slots + f64::from(prompt) / read_per_second;
        Self { slots, step, stride: f64::from(costs.stride.max(1)), read_per_second, usual_cost }
    }

    /// Engine time that a usual request takes; its inverse is the rate that one engine sustains.
    #[must_use]
    pub fn usual_cost(&self) -> Duration {
        Duration::from_secs_f64(self.usual_cost)
    }

    /// Time from sending to the first event when `ahead` requests run or wait at the engine.
    #[must_use]
    pub fn first_event(&self, ahead: f64, prompt_tokens: u32) -> Duration {
        let waiting = (ahead + 1.0 - self.slots).max(0.0) * self.usual_cost;
        let pass = self.step * self.stride;
        let reading = f64::from(prompt_tokens) / self.read_per_second;
        FIXED_DELAY + Duration::from_secs_f64(waiting + 1.5 * pass + reading)
    }

    /// Requests that may run or wait at an engine so that the next one still gets its first event within `target`.
    #[must_use]
    pub fn room_within(&self, target: Duration, prompt_tokens: u32) -> f64 {
        let spare = target.saturating_sub(self.first_event(0.0, prompt_tokens)).as_secs_f64();
        self.slots - 1.0 + spare / self.usual_cost
    }
}
