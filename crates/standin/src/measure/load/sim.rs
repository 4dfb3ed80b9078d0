//! Discrete-event simulation of entries and engines in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use engine::{EngineOutput, EngineRequest, EngineRequestId, EngineSim};
use fleet::EngineRecord;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::{policy::PlacementPolicy, trace::TraceRequest};
use crate::report::ForecastError;

/// Index of an engine; the engines added during the run come last.
pub type EngineIndex = u16;

/// Interval between the load reports of an agent, as in production.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// One-way network delay between two hosts.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Range of the delay after which a caller retries a refused request. It retries only once.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(2_000));
/// Fraction of the value of a request that counts if its response is late.
const LATE_WORTH_FACTOR: f64 = 0.25;
/// Time for which a caller waits for the first event.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Options of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entries; each request goes to a random one.
    pub entries: usize,
    /// Number of engines that serve from the start.
    pub engines: u16,
    /// Number of engines that serve from `added_at` on.
    pub added: u16,
    /// Time at which the added engines begin to serve.
    pub added_at: Duration,
    /// Capacity and costs of each engine.
    pub record: EngineRecord,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadFigures {
    /// Number of requests in the trace.
    pub requests: usize,
    /// Requests whose first event came within the target.
    pub on_time: usize,
    /// Requests that were admitted at the first attempt but whose first event came after the target.
    pub late: usize,
    /// Requests that were refused at first and served late at the second attempt.
    pub returned: usize,
    /// Requests that were refused at both attempts.
    pub refused: usize,
    /// Total value of the served requests as a fraction of the total value of all requests.
    pub worth: f64,
    /// Median time to the first event, in milliseconds.
    pub first_event_p50_ms: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub first_event_p99_ms: f64,
    /// Mean of the predicted minus the actual time to the first event, in milliseconds; 0 without predictions.
    pub prediction_bias_ms: f64,
    /// Mean absolute difference between the predicted and the actual time to the first event, in milliseconds.
    pub prediction_error_ms: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    /// A request arrives at an entry.
    Arrival { request: usize, first_try: bool },
    /// A request reaches the engine that the entry chose.
    Delivery { request: usize, engine: EngineIndex },
    /// An engine completes a pass over its batch.
    Pass { engine: EngineIndex, end: Duration },
    /// The agent of an engine reports its load.
    Report { engine: EngineIndex },
}

struct SentRequest {
    entry: usize,
    first_sent: Duration,
    predicted: Option<Duration>,
    sent: Duration,
}

/// Simulates a trace. `make_policy` creates the placement policy of each entry.
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
        first_event_times: Vec::new(),
        prediction_errors: Vec::new(),
        figures: LoadFigures { requests: trace.len(), ..LoadFigures::default() },
        earned_worth: 0.0,
    };
    sim.run();
    sim.finish()
}

struct LoadSim<'a> {
    /// Instant that stands for the simulated time zero; the policies expect times as `Instant`.
    epoch: Instant,
    trace: &'a [TraceRequest],
    options: &'a FleetOptions,
    random: ChaCha8Rng,
    policies: Vec<Box<dyn PlacementPolicy>>,
    engines: Vec<EngineSim>,
    events: BinaryHeap<Reverse<(Duration, SimEvent)>>,
    sent: HashMap<EngineRequestId, SentRequest>,
    first_event_times: Vec<Duration>,
    prediction_errors: Vec<f64>,
    figures: LoadFigures,
    earned_worth: f64,
}

impl LoadSim<'_> {
    fn push(&mut self, at: Duration, event: SimEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn run(&mut self) {
        for (request, arrival) in self.trace.iter().enumerate() {
            self.push(arrival.at(), SimEvent::Arrival { request, first_try: true });
        }
        let end = self.trace.last().map_or(Duration::ZERO, TraceRequest::at) + REQUEST_TIMEOUT;
        for engine in 0..self.options.engines + self.options.added {
            let is_added = engine >= self.options.engines;
            let start = if is_added { self.options.added_at } else { Duration::ZERO };
            // A random phase keeps the agents from reporting in lockstep.
            let phase = REPORT_INTERVAL.mul_f64(self.random.random());
            self.push(start + phase, SimEvent::Report { engine });
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > end {
                break;
            }
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: Duration, event: SimEvent) {
        match event {
            SimEvent::Report { engine } => {
                let load = self.engines[usize::from(engine)].load();
                let at = self.epoch + now + NETWORK_DELAY;
                for policy in &mut self.policies {
                    policy.record_report(engine, load, at);
                }
                self.push(now + REPORT_INTERVAL, SimEvent::Report { engine });
            }
            SimEvent::Arrival { request, first_try } => self.on_arrival(now, request, first_try),
            SimEvent::Delivery { request, engine } => self.on_delivery(now, request, engine),
            SimEvent::Pass { engine, end } => self.on_pass(now, engine, end),
        }
    }

    fn on_arrival(&mut self, now: Duration, request: usize, first_try: bool) {
        let entry = self.random.random_range(0..self.policies.len());
        let arrival = &self.trace[request];
        let choice = self.policies[entry].choose(arrival, first_try, self.epoch + now);
        let Some((engine, predicted)) = choice else {
            self.on_refusal(now, request, first_try);
            return;
        };
        let id = request as EngineRequestId;
        let first_sent = arrival.at();
        self.sent.insert(id, SentRequest { entry, first_sent, predicted, sent: now });
        self.push(now + NETWORK_DELAY, SimEvent::Delivery { request, engine });
    }

    fn on_refusal(&mut self, now: Duration, request: usize, first_try: bool) {
        if first_try {
            let delay = self.random.random_range(RETRY_DELAY_RANGE.0..RETRY_DELAY_RANGE.1);
            self.push(now + delay, SimEvent::Arrival { request, first_try: false });
        } else {
            self.figures.refused += 1;
        }
    }

    fn on_delivery(&mut self, now: Duration, request: usize, engine: EngineIndex) {
        let arrival = &self.trace[request];
        let engine_request = EngineRequest {
            id: request as EngineRequestId,
            prompt_tokens: arrival.prompt,
            response_tokens: arrival.answer,
            priority: 1,
        };
        let sim = &mut self.engines[usize::from(engine)];
        let was_idle = sim.pass_end().is_none();
        if sim.submit(engine_request, now).is_err() {
            if let Some(sent) = self.sent.remove(&engine_request.id) {
                let at = self.epoch + now + NETWORK_DELAY;
                self.policies[sent.entry].record_end(engine, false, at);
                let first_try = sent.sent == sent.first_sent;
                self.on_refusal(now, request, first_try);
            }
            return;
        }
        if was_idle && let Some(end) = sim.pass_end() {
            self.push(end, SimEvent::Pass { engine, end });
        }
    }

    fn on_pass(&mut self, now: Duration, engine: EngineIndex, end: Duration) {
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
                EngineOutput::FirstEvent(id) => self.record_first(now + NETWORK_DELAY, id),
                EngineOutput::NextEvent(_) => {}
                EngineOutput::LastEvent(id) => {
                    if let Some(sent) = self.sent.remove(&id) {
                        let at = self.epoch + now + NETWORK_DELAY;
                        self.policies[sent.entry].record_end(engine, true, at);
                    }
                }
            }
        }
    }

    fn record_first(&mut self, now: Duration, id: EngineRequestId) {
        let Some(sent) = self.sent.get(&id) else { return };
        let request = &self.trace[id as usize];
        let time_to_first = now.saturating_sub(sent.first_sent);
        self.first_event_times.push(time_to_first);
        if let Some(predicted) = sent.predicted {
            let actual = now.saturating_sub(sent.sent);
            self.prediction_errors.push((predicted.as_secs_f64() - actual.as_secs_f64()) * 1_000.0);
        }
        if time_to_first <= request.target() {
            self.figures.on_time += 1;
            self.earned_worth += request.worth;
        } else if time_to_first <= REQUEST_TIMEOUT {
            if sent.sent == sent.first_sent {
                self.figures.late += 1;
            } else {
                self.figures.returned += 1;
            }
            self.earned_worth += request.worth * LATE_WORTH_FACTOR;
        }
    }

    fn finish(mut self) -> LoadFigures {
        self.first_event_times.sort_unstable();
        let quantile = |fraction: f64| {
            let index = ((self.first_event_times.len() as f64 * fraction) as usize)
                .min(self.first_event_times.len().max(1) - 1);
            self.first_event_times.get(index).map_or(0.0, |first| first.as_secs_f64() * 1_000.0)
        };
        let forecast = ForecastError::from_differences(&self.prediction_errors);
        let total_worth: f64 = self.trace.iter().map(|request| request.worth).sum();
        LoadFigures {
            worth: if total_worth > 0.0 { self.earned_worth / total_worth } else { 0.0 },
            first_event_p50_ms: quantile(0.5),
            first_event_p99_ms: quantile(0.99),
            prediction_bias_ms: forecast.bias_ms,
            prediction_error_ms: forecast.error_ms,
            ..self.figures
        }
    }
}
