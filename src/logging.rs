//! Log output of the binaries.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use std::io::IsTerminal;

/// Libraries whose messages are left out, as they would crowd out those of the
/// fleet.
const IGNORED_LIBRARIES: &[&str] = &["hyper", "mio", "want", "opentelemetry"];

/// Starts logging to standard error at the given level, with colors only on a terminal.
///
/// Each message begins with the component that it comes from.
///
/// # Errors
///
/// Fails if logging was started before.
pub fn start_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    config.set_target_level(LevelFilter::Off);
    config.set_thread_level(LevelFilter::Off);
    for library in IGNORED_LIBRARIES {
        config.add_filter_ignore_str(library);
    }
    let config = config.build();
    let colors = if std::io::stderr().is_terminal() {
        ColorChoice::Auto
    } else {
        ColorChoice::Never
    };
    TermLogger::init(level, config, TerminalMode::Stderr, colors)
}
