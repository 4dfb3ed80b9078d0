//! Fetches a configuration that a restore of the store has lost from an entry that still has it in force.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use fleet::{ConfigStamp, ItemError, RawItem};
use log::{info, warn};
use rand::RngExt;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::sleep;
use wire::{CompressionError, ConfigRequest, ConfigResponse, EntryHeartbeat, FleetItem, Payload};

use super::{
    control::{ITEMS_LIMITS, fleet_item, publish, raw_item},
    shared::EntryShared,
};
use crate::frames::{FrameClient, NodeError};

/// Interval at which the entry checks whether it lacks a configuration. An announcement wakes it at once; the check also
/// notices a listing of a restored store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Range of the delay before another attempt after a failed one. The next heartbeat, up to 250 ms later, may name
/// another source.
const RETRY_DELAY: Range<Duration> = Duration::from_millis(200)..Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum LostConfigError {
    #[snafu(display("{source}"))]
    Transfer { source: NodeError },
    #[snafu(display("response contains no newer configuration"))]
    Missing,
    #[snafu(display("{source}"))]
    Compressed { source: CompressionError },
    #[snafu(display("{source}"))]
    Unreadable { source: ItemError },
}

/// Records which configuration another entry has in force, and publishes that this one is behind if it is.
pub(super) fn record_announcement(
    shared: &EntryShared,
    heartbeat: &EntryHeartbeat,
    peer: SocketAddr,
) {
    let Some(version) = heartbeat.config_version else { return };
    let own_version = shared.view.load().config().map(|config| config.version);
    if own_version.is_some_and(|own| own >= version) {
        return;
    }
    let stamp = ConfigStamp { version, revision: heartbeat.config_revision };
    if shared.fleet_state().record_announcement(stamp, peer) {
        warn!(
            "event=config_behind version={} announced={version} peer={peer}",
            own_version.unwrap_or(0)
        );
        shared.metrics.count("config_behind_total");
        publish(shared);
        shared.wake_lost_config.notify_one();
    }
}

/// Response to an entry that lacks the configuration in force.
pub(super) fn config_response(shared: &EntryShared, request: ConfigRequest) -> Payload {
    let item = shared.fleet_state().config_above(request.version);
    let item = item.map(fleet_item).map(FleetItem::with_compressed_value);
    Payload::ConfigResponse(ConfigResponse { item })
}

/// Fetches a lost configuration as long as this entry lacks one.
pub(super) async fn fetch_lost_config(shared: Arc<EntryShared>, client: Arc<FrameClient>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = shared.wake_lost_config.notified() => {}
        }
        let (source, known) = {
            let fleet_state = shared.fleet_state();
            (fleet_state.config_source(), fleet_state.config_stamp().map(|stamp| stamp.version))
        };
        let Some(source) = source else { continue };
        let request = Payload::ConfigRequest(ConfigRequest { version: known });
        let response = client.transfer(source, request, ITEMS_LIMITS).await;
        let adopted = response.context(TransferSnafu).and_then(|response| adopt(&shared, response));
        match adopted {
            Ok(is_adopted) => {
                let version = shared.fleet_state().config_stamp().map_or(0, |stamp| stamp.version);
                info!("event=config_fetched peer={source} version={version} adopted={is_adopted}");
                publish(&shared);
            }
            Err(error) => {
                warn!("event=config_fetch_failed peer={source} error=\"{error}\"");
                let delay = rand::rng().random_range(RETRY_DELAY);
                sleep(delay).await;
            }
        }
    }
}

/// Puts the configuration of a response into force; false if it is no longer needed.
fn adopt(shared: &EntryShared, response: Payload) -> Result<bool, LostConfigError> {
    let Payload::ConfigResponse(ConfigResponse { item }) = response else {
        return MissingSnafu.fail();
    };
    let item: RawItem = raw_item(item.context(MissingSnafu)?).context(CompressedSnafu)?;
    let decoder = &*shared.ports.decoder;
    shared.fleet_state().adopt_config(item, decoder).context(UnreadableSnafu)
}
