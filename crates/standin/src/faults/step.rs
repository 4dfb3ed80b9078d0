//! Steps in the operation of a fleet at which a fault is injected.

use std::time::Duration;

use config::PresetName;

use super::cell::{CellFleet, SERVED_MODEL};
use crate::fleet::layout::{add_model, set_out};

/// Index of the data centre that is taken out of service.
pub(super) const OUT_DATA_CENTRE: usize = 0;
/// Index of the agent that is stopped gracefully.
pub(super) const DRAINED_AGENT: usize = 1;
const MIB: usize = 1 << 20;
const FETCHED_BYTES: usize = 4 * MIB;
/// Time from the publication of a model until its chunks are being transferred.
const FETCH_START_DELAY: Duration = Duration::from_millis(150);
/// Maximum time to wait for the first host that has verified the complete model.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from the publication of a version until the first load order.
const LOAD_ORDER_DELAY: Duration = Duration::from_millis(250);
/// Time for which the data centre is out of service before it returns.
const OUT_DURATION: Duration = Duration::from_millis(1_500);
const DRAIN_START_DELAY: Duration = Duration::from_millis(50);

/// State of the fleet, or transition, during which a fault is injected.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultStep {
    /// All processes start.
    Start,
    /// A configuration is adopted.
    AdoptConfig,
    /// The active preset changes.
    SwitchPreset,
    /// A model is fetched.
    Fetch,
    /// The first host has verified a model.
    Verify,
    /// Engines are ordered to load a new version.
    LoadOrder,
    /// All engines have just turned cold, as after a restart.
    RampUp,
    /// A mixed load is served.
    Serving,
    /// Streams are in progress.
    InStream,
    /// Bookings are in progress.
    InBooking,
    /// An agent stops gracefully.
    Drain,
    /// A data centre is taken out of service.
    DataCentreOut,
    /// A data centre returns to service.
    DataCentreBack,
}

impl FaultStep {
    /// All steps, in the order of the table's columns.
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

    /// Name of the step on the command line and in the table.
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

    /// Fractions of office requests and of bookings in the load.
    pub(super) fn load_shares(self) -> (f64, f64) {
        match self {
            Self::InStream => (0.0, 0.1),
            Self::InBooking => (0.1, 0.7),
            _ => (0.2, 0.3),
        }
    }

    /// Indexes of the agents targeted by the first and the second injection; never the one that the step itself stops.
    pub(super) fn target_agents(self) -> [usize; 2] {
        match self {
            Self::InBooking => [4, 5],
            Self::DataCentreOut | Self::DataCentreBack => [2, 1],
            _ => [0, 2],
        }
    }

    /// Brings the fleet to this step.
    pub(super) async fn enter(self, cell: &mut CellFleet) {
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
                tokio::time::sleep(FETCH_START_DELAY).await;
            }
            Self::Verify => {
                let digest = self.publish_model(cell);
                let _ = cell.fleet.platform.wait_replicas(&digest, 1, VERIFY_TIMEOUT).await;
            }
            Self::LoadOrder => {
                cell.publish_version();
                tokio::time::sleep(LOAD_ORDER_DELAY).await;
            }
            Self::RampUp => cell.fleet.platform.engines().for_each(|engine| engine.set_cold()),
            Self::Drain => {
                cell.start_drain(DRAINED_AGENT);
                tokio::time::sleep(DRAIN_START_DELAY).await;
            }
            Self::DataCentreOut => cell.take_data_centre_out(),
            Self::DataCentreBack => {
                cell.take_data_centre_out();
                tokio::time::sleep(OUT_DURATION).await;
                cell.restore_data_centre();
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
    /// Publishes a new version of the model that serves the load.
    pub(super) fn publish_version(&mut self) {
        let image = self.image(MIB);
        let name = format!("v{}", self.image_count + 1);
        self.fleet.platform.publish(|config| {
            crate::fleet::layout::replace_version(config, SERVED_MODEL, &name, &image);
        });
    }

    fn take_data_centre_out(&mut self) {
        let data_centre = self.out_data_centre();
        let at = self.fleet.platform.publish(|config| set_out(config, &data_centre, true));
        self.out_at = Some(at);
    }

    /// Returns the data centre to service if it was taken out and has not been returned yet.
    pub(super) fn restore_data_centre(&mut self) {
        if self.out_at.is_none() || self.back_at.is_some() {
            return;
        }
        let data_centre = self.out_data_centre();
        let at = self.fleet.platform.publish(|config| set_out(config, &data_centre, false));
        self.back_at = Some(at);
    }

    pub(super) fn out_data_centre(&self) -> base::DataCentreId {
        self.fleet.platform.layout.options.data_centres[OUT_DATA_CENTRE].clone()
    }
}
