//! Simulates entries and engines on a clock of its own.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use engine::{EngineOutput, EngineSim, EngineWork, WorkId};
use fleet::EngineRecord;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::{policy::PlacementPolicy, trace::TraceRequest};
use crate::report::ForecastError;

/// Number of an engine.
pub type EngineIndex = u16;

/// Interval of the reports of agents, as in the product.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a message takes between two hosts.
const HOP: Duration = Duration::from_millis(2);
/// Delay after which a refused caller returns, once.
const RETURN_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_000));
/// Part of its worth that a late answer has.
const LATE_PART: f64 = 0.25;
/// Longest time that a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Fleet of a simulation.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Entries among which callers are spread.
    pub entries: usize,
    /// Engines that serve from the beginning.
    pub engines: u16,
    /// Engines that serve from `added_at` on.
    pub added: u16,
    /// When these begin to serve.
    pub added_at: Duration,
    /// Properties of the engines.
    pub record: EngineRecord,
    /// Seed of the choices.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadFigures {
    /// Requests of the trace.
    pub requests: usize,
    /// First event within the target.
    pub on_time: usize,
    /// First event later, though the request was admitted when it first came.
    pub late: usize,
    /// Served after a refusal, and therefore late.
    pub returned: usize,
    /// Refused in the end.
    pub refused: usize,
    /// Worth that was earned, as a part of the worth of all requests.
    pub worth: f64,
    /// Median and 99th percentile of the time to the first event, in milliseconds.
    pub first_event_p50_ms: f64,
    /// See above.
    pub first_event_p99_ms: f64,
    /// Mean of the predicted time to the first event less the real one, in milliseconds; 0 without predictions.
    pub prediction_bias_ms: f64,
    /// Mean distance between the two.
    pub prediction_error_ms: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrival { request: usize, first_try: bool },
    Delivery { request: usize, engine: EngineIndex },
    Pass { engine: EngineIndex, end: Duration },
    Report { engine: EngineIndex },
}

struct SentRequest {
    entry: usize,
    first_sent: Duration,
    predicted: Option<Duration>,
    sent: Duration,
}

/// Runs a trace against a policy. `make_policy` creates the policy of each entry.
pub fn simulate_load(
    trace: &[TraceRequest],
    options: &FleetOptions,
    mut make_policy: impl FnMut(usize, ChaCha8Rng) -> Box<dyn PlacementPolicy>,
) -> LoadFigures {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let entries = options.entries.max(1);
    let policies = (0..entries)
        .map(|entry| make_policy(entry, ChaCha8Rng::seed_from_u64(random.random())))
        .collect();
    let mut sim = LoadSim {
        epoch: Instant::now(),
        trace,
        options,
        random,
        policies,
        engines: (0..options.engines + options.added)
            .map(|_| EngineSim::new(&options.record))
            .collect(),
        events: BinaryHeap::new(),
        sent: HashMap::new(),
        firsts: Vec::new(),
        errors: Vec::new(),
        figures: LoadFigures { requests: trace.len(), ..LoadFigures::default() },
        earned: 0.0,
    };
    sim.run();
    sim.finish()
}

struct LoadSim<'a> {
    /// Start of the simulated time on the clock that decisions use.
    epoch: Instant,
    trace: &'a [TraceRequest],
    options: &'a FleetOptions,
    random: ChaCha8Rng,
    policies: Vec<Box<dyn PlacementPolicy>>,
    engines: Vec<EngineSim>,
    events: BinaryHeap<Reverse<(Duration, SimEvent)>>,
    sent: HashMap<WorkId, SentRequest>,
    firsts: Vec<Duration>,
    errors: Vec<f64>,
    figures: LoadFigures,
    earned: f64,
}

impl LoadSim<'_> {
    fn push(&mut self, at: Duration, event: SimEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn run(&mut self) {
        for (request, arrival) in self.trace.iter().enumerate() {
            self.push(arrival.at(), SimEvent::Arrival { request, first_try: true });
        }
        let end = self.trace.last().map_or(Duration::ZERO, TraceRequest::at) + CALL_TIMEOUT;
        for engine in 0..self.options.engines + self.options.added {
            let is_added = engine >= self.options.engines;
            let start = if is_added { self.options.added_at } else { Duration::ZERO };
            // Agents do not report at the same moments.
            let phase = REPORT_INTERVAL.mul_f64(self.random.random());
            self.push(start + phase, SimEvent::Report { engine });
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > end {
                break;
            }
            self.step(now, event);
        }
    }

    fn step(&mut self, now: Duration, event: SimEvent) {
        match event {
            SimEvent::Report { engine } => {
                let load = self.engines[usize::from(engine)].load();
                let at = self.epoch + now + HOP;
                for policy in &mut self.policies {
                    policy.record_report(engine, load, at);
                }
                self.push(now + REPORT_INTERVAL, SimEvent::Report { engine });
            }
            SimEvent::Arrival { request, first_try } => self.arrive(now, request, first_try),
            SimEvent::Delivery { request, engine } => self.deliver(now, request, engine),
            SimEvent::Pass { engine, end } => self.pass(now, engine, end),
        }
    }

    fn arrive(&mut self, now: Duration, request: usize, first_try: bool) {
        let entry = self.random.random_range(0..self.policies.len());
        let arrival = &self.trace[request];
        let choice = self.policies[entry].choose(arrival, first_try, self.epoch + now);
        let Some((engine, predicted)) = choice else {
            self.refuse(now, request, first_try);
            return;
        };
        let id = request as WorkId;
        let first_sent = arrival.at();
        self.sent.insert(id, SentRequest { entry, first_sent, predicted, sent: now });
        self.push(now + HOP, SimEvent::Delivery { request, engine });
    }

    fn refuse(&mut self, now: Duration, request: usize, first_try: bool) {
        if first_try {
            let delay = self.random.random_range(RETURN_RANGE.0..RETURN_RANGE.1);
            self.push(now + delay, SimEvent::Arrival { request, first_try: false });
        } else {
            self.figures.refused += 1;
        }
    }

    fn deliver(&mut self, now: Duration, request: usize, engine: EngineIndex) {
        let arrival = &self.trace[request];
        let work = EngineWork {
            id: request as WorkId,
            prompt: arrival.prompt,
            answer: arrival.answer,
            rank: 1,
        };
        let sim = &mut self.engines[usize::from(engine)];
        let was_idle = sim.pass_end().is_none();
        if sim.submit(work, now).is_err() {
            if let Some(sent) = self.sent.remove(&work.id) {
                let at = self.epoch + now + HOP;
                self.policies[sent.entry].record_end(engine, false, at);
                let first_try = sent.sent == sent.first_sent;
                self.refuse(now, request, first_try);
            }
            return;
        }
        if was_idle && let Some(end) = sim.pass_end() {
            self.push(end, SimEvent::Pass { engine, end });
        }
    }

    fn pass(&mut self, now: Duration, engine: EngineIndex, end: Duration) {
        let sim = &mut self.engines[usize::from(engine)];
        if sim.pass_end() != Some(end) {
            return;
        }
        let outputs = sim.finish_pass();
        if let Some(end) = sim.pass_end() {
            self.push(end, SimEvent::Pass { engine, end });
        }
        for output in outputs {
            match output {
                EngineOutput::First(id) => self.record_first(now + HOP, id),
                EngineOutput::Next(_) => {}
                EngineOutput::Last(id) => {
                    if let Some(sent) = self.sent.remove(&id) {
                        let at = self.epoch + now + HOP;
                        self.policies[sent.entry].record_end(engine, true, at);
                    }
                }
            }
        }
    }

    fn record_first(&mut self, now: Duration, id: WorkId) {
        let Some(sent) = self.sent.get(&id) else { return };
        let request = &self.trace[id as usize];
        let waited = now.saturating_sub(sent.first_sent);
        self.firsts.push(waited);
        if let Some(predicted) = sent.predicted {
            let real = now.saturating_sub(sent.sent);
            self.errors.push((predicted.as_secs_f64() - real.as_secs_f64()) * 1_000.0);
        }
        if waited <= request.target() {
            self.figures.on_time += 1;
            self.earned += request.worth;
        } else if waited <= CALL_TIMEOUT {
            if sent.sent == sent.first_sent {
                self.figures.late += 1;
            } else {
                self.figures.returned += 1;
            }
            self.earned += request.worth * LATE_PART;
        }
    }

    fn finish(mut self) -> LoadFigures {
        self.firsts.sort_unstable();
        let quantile = |part: f64| {
            let index =
                ((self.firsts.len() as f64 * part) as usize).min(self.firsts.len().max(1) - 1);
            self.firsts.get(index).map_or(0.0, |first| first.as_secs_f64() * 1_000.0)
        };
        let forecast = ForecastError::with_distances(&self.errors);
        let owed: f64 = self.trace.iter().map(|request| request.worth).sum();
        LoadFigures {
            worth: if owed > 0.0 { self.earned / owed } else { 0.0 },
            first_event_p50_ms: quantile(0.5),
            first_event_p99_ms: quantile(0.99),
            prediction_bias_ms: forecast.bias_ms,
            prediction_error_ms: forecast.error_ms,
            ..self.figures
        }
    }
}
