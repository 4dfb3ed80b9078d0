//! Continuous batching in a simulated engine.

use std::{collections::VecDeque, time::Duration};

use fleet::{EngineCosts, EngineRecord};

/// Id of a request, chosen by the code that submits it.
pub type EngineRequestId = u64;

/// Maximum number of waiting requests per slot; beyond it, requests are rejected.
const MAX_WAITING_PER_SLOT: usize = 2;
/// Highest priority value that is distinguished; larger values are queued like this one.
const MAX_PRIORITY: u8 = 9;

/// A request submitted to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineRequest {
    /// Id that the engine reports in its outputs.
    pub id: EngineRequestId,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Length of the response in tokens.
    pub response_tokens: u32,
    /// Priority; 0 is the most urgent and is admitted first.
    pub priority: u8,
}

/// The engine rejects the request: its queue is full, or the request does not fit in its KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineFull;

/// An event that a pass produced for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineOutput {
    /// First event of the response stream, sent when the prompt has been prefilled.
    FirstEvent(EngineRequestId),
    /// An event between the first and the last one.
    NextEvent(EngineRequestId),
    /// Last event; the request is complete and its slot is free.
    LastEvent(EngineRequestId),
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: EngineRequest,
    prefill_left: u32,
    generated: u32,
}

impl RunningRequest {
    fn is_decoding(&self) -> bool {
        self.prefill_left == 0
    }

    fn context(&self) -> u64 {
        u64::from(self.request.prompt_tokens - self.prefill_left) + u64::from(self.generated)
    }
}

/// A simulated engine. Points in time are durations since the start of the simulation.
#[derive(Clone, Debug)]
pub struct EngineSim {
    slots: usize,
    memory: u64,
    costs: EngineCosts,
    slowdown: f64,
    running: Vec<RunningRequest>,
    waiting: VecDeque<EngineRequest>,
    pass_end: Option<Duration>,
}

impl EngineSim {
    /// Creates an idle engine with the slots, memory and costs of `record`.
    #[must_use]
    pub fn new(record: &EngineRecord) -> Self {
        Self {
            slots: record.slots.max(1) as usize,
            memory: record.memory_tokens,
            costs: record.costs,
            slowdown: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            pass_end: None,
        }
    }

    /// Multiplies the duration of every pass by `slowdown`; values below 0.01 count as 0.01.
    #[must_use]
    pub fn with_slowdown(mut self, slowdown: f64) -> Self {
        self.slowdown = slowdown.max(0.01);
        self
    }

    /// Queues a request at `now`, and starts a pass if the engine is idle.
    ///
    /// # Errors
    /// Fails if the queue is full, or if prompt and response together exceed the engine's memory.
    pub fn submit(&mut self, request: EngineRequest, now: Duration) -> Result<(), EngineFull> {
        let exceeds_memory = self.memory > 0
            && u64::from(request.prompt_tokens + request.response_tokens) > self.memory;
        if exceeds_memory || self.waiting.len() >= self.slots * MAX_WAITING_PER_SLOT {
            return Err(EngineFull);
        }
        let priority = request.priority.min(MAX_PRIORITY);
        let index = self.waiting.iter().position(|other| other.priority > priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), request);
        if self.pass_end.is_none() {
            self.start_pass(now);
        }
        Ok(())
    }

    /// Returns the numbers of running and of waiting requests; a request counts as running from its first event on.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let decoding = self.running.iter().filter(|request| request.is_decoding()).count();
        let waiting = self.running.len() - decoding + self.waiting.len();
        (u32::try_from(decoding).unwrap_or(u32::MAX), u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    /// End of the current pass; `None` if the engine is idle.
    #[must_use]
    pub fn pass_end(&self) -> Option<Duration> {
        self.pass_end
    }

    /// Completes the current pass, starts the next one and returns the events of the completed pass.
    pub fn finish_pass(&mut self) -> Vec<EngineOutput> {
        let Some(now) = self.pass_end.take() else { return Vec::new() };
        let stride = self.costs.stride.max(1);
        let mut outputs = Vec::new();
        let mut budget = self.costs.prefill_chunk.max(1);
        for slot in &mut self.running {
            let id = slot.request.id;
            if slot.is_decoding() {
                slot.generated += stride;
                let is_last = slot.generated >= slot.request.response_tokens;
                outputs.push(if is_last {
                    EngineOutput::LastEvent(id)
                } else {
                    EngineOutput::NextEvent(id)
                });
                continue;
            }
            let prefilled = slot.prefill_left.min(budget);
            budget -= prefilled;
            slot.prefill_left -= prefilled;
            if slot.is_decoding() {
                slot.generated = 1;
                outputs.push(EngineOutput::FirstEvent(id));
            }
        }
        self.running
            .retain(|slot| !slot.is_decoding() || slot.generated < slot.request.response_tokens);
        self.start_pass(now);
        outputs
    }

    /// Admits waiting requests as far as slots and memory allow, and computes the end of the new pass.
    fn start_pass(&mut self, now: Duration) {
        while self.running.len() < self.slots
            && let Some(next) = self.waiting.front()
        {
            let held: u64 = self.running.iter().map(RunningRequest::context).sum();
            let prefill_left: u64 =
                self.running.iter().map(|request| u64::from(request.prefill_left)).sum();
            if self.memory > 0 && held + prefill_left + u64::from(next.prompt_tokens) > self.memory
            {
                break;
            }
            let request = *next;
            self.waiting.pop_front();
            self.running.push(RunningRequest {
                request,
                prefill_left: request.prompt_tokens.max(1),
                generated: 0,
            });
        }
        if self.running.is_empty() {
            return;
        }
        let costs = &self.costs;
        let decoding: Vec<&RunningRequest> =
            self.running.iter().filter(|request| request.is_decoding()).collect();
        let prefill_left: u32 = self.running.iter().map(|request| request.prefill_left).sum();
        let prefilled = f64::from(prefill_left.min(costs.prefill_chunk.max(1)));
        let context: u64 = decoding.iter().map(|request| request.context()).sum();
        let step = costs.step.as_secs_f64()
            + decoding.len() as f64 * costs.step_per_request.as_secs_f64()
            + context as f64 / 1_000.0 * costs.step_per_context.as_secs_f64();
        let steps = if decoding.is_empty() { 1 } else { costs.stride.max(1) };
        let duration = prefilled / costs.prefill_per_second.max(1.0) + step * f64::from(steps);
        self.pass_end = Some(now + Duration::from_secs_f64(duration * self.slowdown));
    }
}
