//! Guards against a simulated engine that serves more requests than its slots, memory and costs allow.

use std::time::Duration;

use engine::{EngineFull, EngineOutput, EngineRequest, EngineSim};
use fleet::{EngineCosts, EngineRecord};

fn engine_record() -> EngineRecord {
    EngineRecord {
        slots: 4,
        memory_tokens: 10_000,
        costs: EngineCosts {
            step: Duration::from_millis(8),
            step_per_request: Duration::ZERO,
            step_per_context: Duration::ZERO,
            prefill_per_second: 20_000.0,
            stride: 5,
            prefill_chunk: 1_000,
        },
        models: Vec::new(),
        layers: 1,
        chunks: 1,
        chunk_bytes: 1,
        mean_tokens: (1_000, 50),
    }
}

fn request(id: u64, prompt_tokens: u32, response_tokens: u32) -> EngineRequest {
    EngineRequest { id, prompt_tokens, response_tokens, priority: 1 }
}

/// Runs the engine until it is idle; returns each output with its time in milliseconds.
fn run_to_idle(engine: &mut EngineSim) -> Vec<(u128, EngineOutput)> {
    let mut outputs = Vec::new();
    while let Some(end) = engine.pass_end() {
        outputs.extend(engine.finish_pass().into_iter().map(|output| (end.as_millis(), output)));
    }
    outputs
}

#[test]
fn single_request_is_prefilled_and_then_generated_in_strides() {
    let mut engine = EngineSim::new(&engine_record());
    engine.submit(request(1, 1_500, 11), Duration::ZERO).expect("the engine is idle");
    // Two passes of prefill, taking 50 + 8 and 25 + 8 ms, and two of five steps each.
    let expected = [
        (91, EngineOutput::FirstEvent(1)),
        (131, EngineOutput::NextEvent(1)),
        (171, EngineOutput::LastEvent(1)),
    ];
    assert_eq!(run_to_idle(&mut engine), expected);
    assert_eq!(engine.load(), (0, 0));
}

#[test]
fn slowdown_multiplies_the_duration_of_passes() {
    let mut engine = EngineSim::new(&engine_record()).with_slowdown(4.0);
    engine.submit(request(1, 1_000, 1), Duration::ZERO).expect("the engine is idle");
    assert_eq!(run_to_idle(&mut engine)[0], (232, EngineOutput::FirstEvent(1)));
}

#[test]
fn requests_beyond_the_slots_wait_and_beyond_the_queue_are_rejected() {
    let mut engine = EngineSim::new(&engine_record());
    for id in 0..9 {
        engine.submit(request(id, 500, 5), Duration::ZERO).expect("the queue has room");
    }
    // One request is in the first pass, and two per slot may wait.
    assert_eq!(engine.load(), (0, 9));
    assert_eq!(engine.submit(request(13, 500, 5), Duration::ZERO), Err(EngineFull));
    let firsts = run_to_idle(&mut engine)
        .iter()
        .filter(|(_, output)| matches!(output, EngineOutput::FirstEvent(_)))
        .count();
    assert_eq!(firsts, 9);
}

#[test]
fn memory_limits_the_batch_and_urgent_requests_go_first() {
    let mut engine = EngineSim::new(&engine_record());
    engine.submit(request(1, 6_000, 5), Duration::ZERO).expect("the engine is idle");
    engine.submit(request(2, 6_000, 5), Duration::ZERO).expect("the queue has room");
    engine
        .submit(EngineRequest { priority: 0, ..request(3, 3_000, 5) }, Duration::ZERO)
        .expect("the queue has room");
    assert_eq!(engine.submit(request(4, 11_000, 5), Duration::ZERO), Err(EngineFull));
    let firsts: Vec<u64> = run_to_idle(&mut engine)
        .iter()
        .filter_map(|(_, output)| match output {
            EngineOutput::FirstEvent(id) => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(firsts, [1, 3, 2]);
}
