//! Log output: one line of key=value pairs for each event.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Sends log lines of `level` and above to standard error.
///
/// A second call has no effect, so that tests may call it.
pub fn init(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
