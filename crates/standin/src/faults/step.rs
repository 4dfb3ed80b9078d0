//! Steps of a fleet's life at which a fault is injected.

use std::time::Duration;

use config::PresetName;

use super::cell::{CellFleet, SERVED_MODEL};
use crate::fleet::layout::{add_model, set_out};

/// Data centre that is taken out.
pub(super) const MOVED_DATA_CENTRE: usize = 0;
/// Agent that is stopped gracefully.
pub(super) const DRAINED_AGENT: usize = 1;
const MIB: usize = 1 << 20;
const FETCHED_BYTES: usize = 4 * MIB;
/// Time from a publication until chunks are on their way.
const FETCH_LEAD: Duration = Duration::from_millis(150);
/// Longest wait for the first host that has verified the whole model.
const VERIFY_LEAD: Duration = Duration::from_millis(1_500);
/// Time from a publication until the first load order.
const ORDER_LEAD: Duration = Duration::from_millis(250);
/// Time that the data centre has been out before it returns.
const OUT_LEAD: Duration = Duration::from_millis(1_500);
const DRAIN_LEAD: Duration = Duration::from_millis(50);

/// A step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultStep {
    /// All processes start.
    Start,
    /// A configuration is adopted.
    AdoptConfig,
    /// The preset is switched.
    SwitchPreset,
    /// A model is fetched.
    Fetch,
    /// The first host has verified a model.
    Verify,
    /// A new version is ordered to load.
    LoadOrder,
    /// Upstreams have just started.
    RampUp,
    /// A mixed load is served.
    Serving,
    /// Streams are in progress.
    InStream,
    /// Bookings are in progress.
    InBooking,
    /// An agent stops gracefully.
    Drain,
    /// A data centre is taken out.
    DataCentreOut,
    /// A data centre returns.
    DataCentreBack,
}

impl FaultStep {
    /// All steps.
    pub const ALL: [Self; 13] = [
        Self::Start,
        Self::AdoptConfig,
        Self::SwitchPreset,
        Self::Fetch,
        Self::Verify,
        Self::LoadOrder,
        Self::RampUp,
        Self::Serving,
        Self::InStream,
        Self::InBooking,
        Self::Drain,
        Self::DataCentreOut,
        Self::DataCentreBack,
    ];

    /// Name on the command line and in the table.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::AdoptConfig => "adopt-config",
            Self::SwitchPreset => "switch-preset",
            Self::Fetch => "fetch",
            Self::Verify => "verify",
            Self::LoadOrder => "load-order",
            Self::RampUp => "ramp-up",
            Self::Serving => "serving",
            Self::InStream => "in-stream",
            Self::InBooking => "in-booking",
            Self::Drain => "drain",
            Self::DataCentreOut => "dc-out",
            Self::DataCentreBack => "dc-back",
        }
    }

    /// Share of office calls and of bookings in the load.
    pub(super) fn shares(self) -> (f64, f64) {
        match self {
            Self::InStream => (0.0, 0.1),
            Self::InBooking => (0.1, 0.7),
            _ => (0.2, 0.3),
        }
    }

    /// Agents that the first and the second fault hit; never the ones that the step itself stops.
    pub(super) fn victims(self) -> [usize; 2] {
        match self {
            Self::InBooking => [4, 5],
            Self::DataCentreOut | Self::DataCentreBack => [2, 1],
            _ => [0, 2],
        }
    }

    /// Brings the fleet to the step.
    pub(super) async fn begin(self, cell: &mut CellFleet) {
        match self {
            Self::Start | Self::Serving | Self::InStream | Self::InBooking => {}
            Self::AdoptConfig => {
                cell.fleet.platform.publish(|config| config.teams[0].share += 1);
            }
            Self::SwitchPreset => {
                cell.fleet.platform.publish(|config| config.preset = PresetName::Peak);
            }
            Self::Fetch => {
                self.publish_model(cell);
                tokio::time::sleep(FETCH_LEAD).await;
            }
            Self::Verify => {
                let digest = self.publish_model(cell);
                let _ = cell.fleet.platform.wait_replicas(&digest, 1, VERIFY_LEAD).await;
            }
            Self::LoadOrder => {
                cell.publish_version();
                tokio::time::sleep(ORDER_LEAD).await;
            }
            Self::RampUp => cell.fleet.platform.engines().for_each(|engine| engine.turn_cold()),
            Self::Drain => {
                cell.start_drain(DRAINED_AGENT);
                tokio::time::sleep(DRAIN_LEAD).await;
            }
            Self::DataCentreOut => cell.take_out(),
            Self::DataCentreBack => {
                cell.take_out();
                tokio::time::sleep(OUT_LEAD).await;
                cell.bring_back();
            }
        }
    }

    fn publish_model(self, cell: &mut CellFleet) -> String {
        let image = cell.image(FETCHED_BYTES);
        cell.fleet.platform.publish(|config| add_model(config, "fetched", &image, [4; 3]));
        image.digest.to_string()
    }
}

impl CellFleet {
    /// Publishes another version of the served model.
    pub(super) fn publish_version(&mut self) {
        let image = self.image(MIB);
        let name = format!("v{}", self.images + 1);
        self.fleet.platform.publish(|config| {
            crate::fleet::layout::replace_version(config, SERVED_MODEL, &name, &image);
        });
    }

    fn take_out(&mut self) {
        let data_centre = self.moved_data_centre();
        let at = self.fleet.platform.publish(|config| set_out(config, &data_centre, true));
        self.out_at = Some(at);
    }

    /// Brings the data centre back if it is out.
    pub(super) fn bring_back(&mut self) {
        if self.out_at.is_none() || self.back_at.is_some() {
            return;
        }
        let data_centre = self.moved_data_centre();
        let at = self.fleet.platform.publish(|config| set_out(config, &data_centre, false));
        self.back_at = Some(at);
    }

    pub(super) fn moved_data_centre(&self) -> base::DataCentreId {
        self.fleet.platform.layout.options.data_centres[MOVED_DATA_CENTRE].clone()
    }
}
