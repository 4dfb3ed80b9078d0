//! Guards against forecasts that overflow with extreme costs in the configuration.

use std::time::Duration;

use balance::{EngineForecast, EngineLoad};
use fleet::{EngineCosts, EngineRecord};
use proptest::{prelude::*, sample::select};

const DAY: Duration = Duration::from_secs(24 * 3_600);

fn number() -> impl Strategy<Value = u32> {
    select(vec![0, 1, 1_000, u32::MAX])
}

fn span() -> impl Strategy<Value = Duration> {
    select(vec![Duration::ZERO, Duration::from_nanos(1), Duration::from_millis(7), DAY])
}

proptest! {
    #[test]
    fn forecast_of_extreme_costs_overflows(
        (slots, stride, prefill_chunk, prompt, response) in (number(), number(), number(), number(), number()),
        (step, step_per_request, step_per_context) in (span(), span(), span()),
        prefill_per_second in select(vec![-1e308, 0.0, 1e-308, 31_900.0, 1e308]),
        occupancy in select(vec![0.0, 8.0, f64::from(u32::MAX) * 2.0]),
        prompt_tokens in number(),
    ) {
        let costs = EngineCosts {
            step, step_per_request, step_per_context, prefill_per_second, stride, prefill_chunk,
        };
        let engine = EngineRecord {
            slots,
            memory_tokens: u64::MAX,
            costs,
            models: Vec::new(),
            layers: 1,
            chunks: 1,
            chunk_bytes: 1,
            mean_tokens: (prompt, response),
        };
        let forecast = EngineForecast::new(&engine);
        let load = EngineLoad { occupancy, pending_prefills: occupancy, slowdown: 1_000.0 };
        prop_assert!(forecast.mean_cost() <= DAY);
        prop_assert!(forecast.delay(load, prompt_tokens) <= DAY * 2);
        prop_assert!(forecast.typical_delay(load) <= DAY * 2);
    }
}
