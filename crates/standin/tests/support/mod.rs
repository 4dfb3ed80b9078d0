//! Platforms of small fleets for the tests.

use standin::fleet::{
    FleetOptions, FleetPlatform,
    layout::{FleetLayout, LayoutOptions, LoopbackBlock},
};

/// Starts the platform of a fleet of two entries and three model hosts.
pub async fn start_model_platform(options: &FleetOptions) -> FleetPlatform {
    let layout = LayoutOptions {
        entries: 2,
        models: 3,
        bookings: 0,
        offices: 0,
        ..LayoutOptions::default()
    };
    FleetPlatform::start(FleetLayout::new(layout, LoopbackBlock::random()), options).await.unwrap()
}
