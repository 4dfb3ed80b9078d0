//! Model of one entry, its share of the engines and its callers.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wait::{CapacityForecast, ReturnSchedule, RoomBounds, WaitingRoom, WaitingWork, WorkId};

const TICK: Duration = Duration::from_millis(5);
const SLOTS: usize = 14;
const STREAM: Duration = Duration::from_millis(1_200);
const IDLE_DELAY: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(6);
const TARGETS: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(400), Duration::from_millis(1_000)];
/// Longest predicted delay with which each rank is placed, as load shedding decides it under shortage: bounded by the
/// targets of the more urgent ranks, and shorter with each rank.
const DELAY_LIMITS: [Duration; 3] =
    [Duration::from_millis(180), Duration::from_millis(160), Duration::from_millis(140)];
/// Fraction of the value that a late response earns; the range is 0.1 to 0.4.
const LATE_VALUE: f64 = 0.25;
const TEAMS: u32 = 24;
const FLOOR_WINDOW: Duration = Duration::from_secs(8);
/// Repeats of an impatient caller, and its pause before each.
const IMPATIENT_REPEATS: u32 = 3;
const IMPATIENT_PAUSE: Duration = Duration::from_millis(50);
const MAX_FAILED_TURNS: usize = 16;

/// Period of constant load.
#[derive(Clone, Copy)]
pub struct LoadPhase {
    pub length: Duration,
    /// New requests per second.
    pub per_second: f64,
    /// Speed of the engines relative to the usual one.
    pub speed: f64,
}

pub struct LoadSetup<'a> {
    pub phases: &'a [LoadPhase],
    pub start: Instant,
    /// True if requests wait, false if they are refused at once.
    pub waits: bool,
    /// Fraction of the callers that repeat at once, up to three times, instead of when they are told.
    pub impatient: f64,
    pub seed: u64,
}

#[derive(Default)]
pub struct LoadReport {
    requests: [u32; 3],
    on_time: [u32; 3],
    late: [u32; 3],
    pub starved_ranks: [u32; 3],
    pub starved_teams: u32,
    /// Requests and value of patient and of impatient callers.
    by_patience: [(u32, f64); 2],
}

impl LoadReport {
    pub fn served_share(&self) -> f64 {
        let served: u32 = self.on_time.iter().chain(&self.late).sum();
        f64::from(served) / f64::from(self.requests.iter().sum::<u32>())
    }

    pub fn value_share(&self) -> f64 {
        let value: f64 = (0..3).map(|rank| self.value(rank)).sum();
        value / f64::from(self.requests.iter().sum::<u32>())
    }

    pub fn rank_value_share(&self, rank: usize) -> f64 {
        self.value(rank) / f64::from(self.requests[rank])
    }

    /// Share of the value that patient and impatient callers earned.
    pub fn patience_value_shares(&self) -> [f64; 2] {
        self.by_patience.map(|(requests, value)| value / f64::from(requests))
    }

    fn value(&self, rank: usize) -> f64 {
        f64::from(self.on_time[rank]) + LATE_VALUE * f64::from(self.late[rank])
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [urgent, normal, tolerant] = [0, 1, 2].map(|rank| self.rank_value_share(rank));
        write!(
            formatter,
            "requests={} served={:.3} value={:.3} by_rank={urgent:.3}/{normal:.3}/{tolerant:.3} \
             starved_ranks={:?} starved_teams={}",
            self.requests.iter().sum::<u32>(),
            self.served_share(),
            self.value_share(),
            self.starved_ranks,
            self.starved_teams
        )
    }
}

pub struct Caller {
    rank: u8,
    team: String,
    first: Instant,
    attempts: u32,
    is_impatient: bool,
    /// Time of the first event, if the request was placed.
    first_event: Option<Instant>,
}

impl Caller {
    fn target(&self) -> Duration {
        TARGETS[usize::from(self.rank)]
    }

    fn is_on_time(&self, arrival: Instant) -> bool {
        arrival - self.first <= self.target()
    }
}

struct Model {
    rng: ChaCha8Rng,
    callers: HashMap<WorkId, Caller>,
    /// Work left of each running request, in seconds at the usual speed.
    running: Vec<f64>,
    engine_queue: VecDeque<WorkId>,
    returns: BTreeMap<(Instant, WorkId), ()>,
    room: WaitingRoom,
    schedule: ReturnSchedule,
    waits: bool,
}

impl Model {
    /// The rule by which the balancer places requests: predicted delay within the time left to the target; late
    /// requests need a free slot and another one in reserve.
    fn try_place(&mut self, id: WorkId, arrival: Instant, now: Instant) -> bool {
        let occupancy = self.running.len() + self.engine_queue.len();
        let caller = &self.callers[&id];
        let fits = if caller.is_on_time(arrival) {
            let waiting = (occupancy + 1).saturating_sub(SLOTS) as f64;
            let delay = IDLE_DELAY + STREAM.mul_f64(waiting / SLOTS as f64);
            let left = (caller.first + caller.target()).saturating_duration_since(now);
            delay <= left.min(DELAY_LIMITS[usize::from(caller.rank)])
        } else {
            occupancy + 1 < SLOTS
        };
        if fits {
            self.engine_queue.push_back(id);
        }
        fits
    }

    fn work(&mut self, id: WorkId, arrival: Instant) -> WaitingWork {
        let caller = &self.callers[&id];
        let is_late = !caller.is_on_time(arrival);
        let wait_until = if is_late {
            caller.first + DEADLINE - STREAM - IDLE_DELAY
        } else {
            caller.first + caller.target() - IDLE_DELAY
        };
        let is_returned = arrival - caller.first >= self.schedule.shortest_told(arrival);
        let team = caller.team.as_str().into();
        WaitingWork { id, rank: caller.rank, team, bytes: 1_000, is_late, is_returned, wait_until }
    }

    fn arrive(&mut self, id: WorkId, now: Instant) {
        self.callers.get_mut(&id).expect("callers are kept").attempts += 1;
        if !self.waits {
            if !self.try_place(id, now, now) {
                self.refuse(id, now);
            }
            return;
        }
        let work = self.work(id, now);
        if !self.room.blocks(work.lane()) && self.try_place(id, now, now) {
            self.room.record_passed(&work, now);
            return;
        }
        let offer = self.room.offer(work, now);
        let own = offer.refusal.map(|_| id);
        for id in offer.evicted.into_iter().chain(own) {
            self.refuse(id, now);
        }
    }

    fn refuse(&mut self, id: WorkId, now: Instant) {
        let caller = &self.callers[&id];
        if caller.is_impatient && caller.attempts <= IMPATIENT_REPEATS {
            self.returns.insert((now + IMPATIENT_PAUSE, id), ());
            return;
        }
        if caller.attempts > 1 {
            return;
        }
        let left = (caller.first + DEADLINE).saturating_duration_since(now);
        let told = if self.waits {
            let forecast = CapacityForecast {
                per_second: SLOTS as f64 / STREAM.as_secs_f64(),
                changes: Vec::new(),
                new_per_second: self.room.offered_per_second(now),
                queued: self.room.len(),
            };
            self.schedule.retry_after(&forecast, left, now, &mut self.rng)
        } else {
            Duration::from_millis(self.rng.random_range(900..2_000))
        };
        self.returns.insert((now + told.min(left / 3), id), ());
    }

    fn give_turns(&mut self, arrivals: &HashMap<WorkId, Instant>, now: Instant) {
        for id in self.room.expire(now) {
            self.refuse(id, now);
        }
        let mut failed = Vec::new();
        while failed.len() < MAX_FAILED_TURNS {
            let Some(id) = self.room.next(now) else { break };
            if self.try_place(id, arrivals[&id], now) {
                self.room.settle(id, true, now);
            } else {
                failed.push(id);
            }
        }
        for id in failed {
            self.room.settle(id, false, now);
        }
    }

    fn run_engine(&mut self, speed: f64, now: Instant) {
        let work = TICK.as_secs_f64() * speed;
        self.running.iter_mut().for_each(|left| *left -= work);
        self.running.retain(|left| *left > 0.0);
        while self.running.len() < SLOTS
            && let Some(id) = self.engine_queue.pop_front()
        {
            self.running.push(STREAM.as_secs_f64());
            let caller = self.callers.get_mut(&id).expect("callers are kept");
            caller.first_event = Some(now + IDLE_DELAY.div_f64(speed));
        }
    }
}

/// Runs a load at one entry until all callers have ended.
pub fn run_load(setup: &LoadSetup<'_>) -> Vec<Caller> {
    let mut model = Model {
        rng: ChaCha8Rng::seed_from_u64(setup.seed),
        callers: HashMap::new(),
        running: Vec::new(),
        engine_queue: VecDeque::new(),
        returns: BTreeMap::new(),
        room: WaitingRoom::new(RoomBounds::default()),
        schedule: ReturnSchedule::new(),
        waits: setup.waits,
    };
    // The same requests arrive in both modes.
    let mut demand = ChaCha8Rng::seed_from_u64(setup.seed + 1_000);
    let mut arrivals = HashMap::new();
    let mut now = setup.start;
    let idle = LoadPhase { length: DEADLINE * 2, per_second: 0.0, speed: 1.0 };
    for phase in setup.phases.iter().chain([&idle]) {
        let end = now + phase.length;
        while now < end {
            now += TICK;
            model.run_engine(phase.speed, now);
            if setup.waits {
                model.give_turns(&arrivals, now);
            }
            while let Some((&(at, id), ())) = model.returns.first_key_value()
                && at <= now
            {
                model.returns.remove(&(at, id));
                arrivals.insert(id, now);
                model.arrive(id, now);
            }
            if demand.random_bool(phase.per_second * TICK.as_secs_f64()) {
                let id = model.callers.len() as WorkId + 1;
                // Skewed: the first teams send most requests.
                let team = (f64::from(TEAMS) * demand.random::<f64>().powi(2)) as u32;
                let rank = [0, 0, 1, 1, 2][demand.random_range(0..5)];
                let team = team.to_string();
                // Not drawn without impatient callers, so that the demand is the same.
                let is_impatient = setup.impatient > 0.0 && demand.random_bool(setup.impatient);
                let caller =
                    Caller { rank, team, first: now, attempts: 0, is_impatient, first_event: None };
                model.callers.insert(id, caller);
                arrivals.insert(id, now);
                model.arrive(id, now);
            }
        }
    }
    model.callers.into_values().collect()
}

/// Results of the callers of all entries.
pub fn report(callers: &mut [Caller]) -> LoadReport {
    let mut report = LoadReport::default();
    callers.sort_by_key(|caller| caller.first);
    for caller in callers.iter() {
        let rank = usize::from(caller.rank);
        report.requests[rank] += 1;
        let patience = &mut report.by_patience[usize::from(caller.is_impatient)];
        patience.0 += 1;
        let Some(latency) = caller.first_event.map(|at| at - caller.first) else { continue };
        if latency <= caller.target() {
            report.on_time[rank] += 1;
            patience.1 += 1.0;
        } else if latency + STREAM <= DEADLINE {
            report.late[rank] += 1;
            patience.1 += LATE_VALUE;
        }
    }
    count_starved(callers, &mut report);
    report
}

/// Counts the windows of 8 s in which a rank or team was served less than a quarter as often as all requests together,
/// rounded down to whole requests.
fn count_starved(callers: &[Caller], report: &mut LoadReport) {
    let (Some(first), Some(last)) = (callers.first(), callers.last()) else { return };
    let mut begin = first.first;
    while begin <= last.first {
        let window: Vec<&Caller> = callers
            .iter()
            .filter(|caller| caller.first >= begin && caller.first < begin + FLOOR_WINDOW)
            .collect();
        let count = |matches: &dyn Fn(&Caller) -> bool| {
            let all = window.iter().filter(|caller| matches(caller));
            let served = all.clone().filter(|caller| caller.first_event.is_some()).count();
            (all.count(), served)
        };
        let (all, served) = count(&|_| true);
        let due = |requests: usize| requests * served / (4 * all);
        for rank in 0..3 {
            let (requests, served) = count(&|caller| caller.rank == rank);
            report.starved_ranks[usize::from(rank)] += u32::from(served < due(requests));
        }
        for team in 0..TEAMS {
            let team = team.to_string();
            let (requests, served) = count(&|caller| caller.team == team);
            report.starved_teams += u32::from(served < due(requests));
        }
        begin += FLOOR_WINDOW / 8;
    }
}
