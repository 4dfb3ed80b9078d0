//! The batch of one engine.

use std::{collections::VecDeque, time::Duration};

use fleet::{EngineCosts, EngineRecord};

/// Id of a request at an engine.
pub type WorkId = u64;

/// Requests that wait per slot before an engine refuses more.
const QUEUE_FACTOR: usize = 2;
/// Rank of the least urgent request.
const MAX_RANK: u8 = 9;

/// A request for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineWork {
    /// Its id.
    pub id: WorkId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
    /// Rank; 0 is admitted first.
    pub rank: u8,
}

/// The engine has no place for another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineFull;

/// What a pass brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineOutput {
    /// The first event of a stream.
    First(WorkId),
    /// A further event.
    Next(WorkId),
    /// The last event.
    Last(WorkId),
}

#[derive(Clone, Copy, Debug)]
struct RunningWork {
    work: EngineWork,
    unread: u32,
    written: u32,
}

impl RunningWork {
    fn is_writing(&self) -> bool {
        self.unread == 0
    }

    fn context(&self) -> u64 {
        u64::from(self.work.prompt - self.unread) + u64::from(self.written)
    }
}

/// One engine. Times are given as the time since the start of the simulation.
#[derive(Clone, Debug)]
pub struct EngineSim {
    slots: usize,
    memory: u64,
    costs: EngineCosts,
    pace: f64,
    running: Vec<RunningWork>,
    waiting: VecDeque<EngineWork>,
    pass_end: Option<Duration>,
}

impl EngineSim {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(record: &EngineRecord) -> Self {
        Self {
            slots: record.slots.max(1) as usize,
            memory: record.memory_tokens,
            costs: record.costs,
            pace: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            pass_end: None,
        }
    }

    /// Makes every step take `pace` times as long.
    #[must_use]
    pub fn with_pace(mut self, pace: f64) -> Self {
        self.pace = pace.max(0.01);
        self
    }

    /// Accepts a request at `now`.
    ///
    /// # Errors
    /// Fails if too many requests wait already, or if the request exceeds the engine's memory.
    pub fn submit(&mut self, work: EngineWork, now: Duration) -> Result<(), EngineFull> {
        let is_too_large = self.memory > 0 && u64::from(work.prompt + work.answer) > self.memory;
        if is_too_large || self.waiting.len() >= self.slots * QUEUE_FACTOR {
            return Err(EngineFull);
        }
        let rank = work.rank.min(MAX_RANK);
        let place = self.waiting.iter().position(|other| other.rank > rank);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), work);
        if self.pass_end.is_none() {
            self.begin_pass(now);
        }
        Ok(())
    }

    /// Requests that run and that wait; a request runs from its first event on.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let writing = self.running.iter().filter(|work| work.is_writing()).count();
        let waiting = self.running.len() - writing + self.waiting.len();
        (u32::try_from(writing).unwrap_or(u32::MAX), u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    /// End of the pass that runs.
    #[must_use]
    pub fn pass_end(&self) -> Option<Duration> {
        self.pass_end
    }

    /// Ends the pass that runs and begins the next one.
    pub fn finish_pass(&mut self) -> Vec<EngineOutput> {
        let Some(now) = self.pass_end.take() else { return Vec::new() };
        let stride = self.costs.stride.max(1);
        let mut outputs = Vec::new();
        let mut budget = self.costs.chunk.max(1);
        for work in &mut self.running {
            let id = work.work.id;
            if work.is_writing() {
                work.written += stride;
                let is_last = work.written >= work.work.answer;
                outputs.push(if is_last { EngineOutput::Last(id) } else { EngineOutput::Next(id) });
                continue;
            }
            let read = work.unread.min(budget);
            budget -= read;
            work.unread -= read;
            if work.is_writing() {
                work.written = 1;
                outputs.push(EngineOutput::First(id));
            }
        }
        self.running.retain(|work| !work.is_writing() || work.written < work.work.answer);
        self.begin_pass(now);
        outputs
    }

    /// Takes in what waits, as far as slots and memory reach, and computes the length of the pass.
    fn begin_pass(&mut self, now: Duration) {
        while self.running.len() < self.slots
            && let Some(next) = self.waiting.front()
        {
            let held: u64 = self.running.iter().map(RunningWork::context).sum();
            let unread: u64 = self.running.iter().map(|work| u64::from(work.unread)).sum();
            if self.memory > 0 && held + unread + u64::from(next.prompt) > self.memory {
                break;
            }
            let work = *next;
            self.waiting.pop_front();
            self.running.push(RunningWork { work, unread: work.prompt.max(1), written: 0 });
        }
        if self.running.is_empty() {
            return;
        }
        let costs = &self.costs;
        let writers: Vec<&RunningWork> =
            self.running.iter().filter(|work| work.is_writing()).collect();
        let unread: u32 = self.running.iter().map(|work| work.unread).sum();
        let read = f64::from(unread.min(costs.chunk.max(1)));
        let context: u64 = writers.iter().map(|work| work.context()).sum();
        let step = costs.step.as_secs_f64()
            + writers.len() as f64 * costs.step_per_request.as_secs_f64()
            + context as f64 / 1_000.0 * costs.step_per_context.as_secs_f64();
        let steps = if writers.is_empty() { 1 } else { costs.stride.max(1) };
        let span = read / costs.read_per_second.max(1.0) + step * f64::from(steps);
        self.pass_end = Some(now + Duration::from_secs_f64(span * self.pace));
    }
}
