//! Logs as JSON lines on standard error.

use flexi_logger::{Logger, LoggerHandle};

/// Starts logging at a level; the handle must be kept as long as the process logs.
///
/// # Errors
/// When logging was started before or the level is not known.
pub fn start(level: &str) -> anyhow::Result<LoggerHandle> {
    let logger = Logger::try_with_str(format!("{level}, tarpc=warn, hyper=warn"))?;
    Ok(logger
        .log_to_stderr()
        .format(flexi_logger::json_format)
        .start()?)
}

/// Starts logging at a level to standard output; the handle must be kept as long as the process
/// logs.
///
/// # Errors
/// When logging was started before or the level is not known.
pub fn start_to_stdout(level: &str) -> anyhow::Result<LoggerHandle> {
    let logger = Logger::try_with_str(format!("{level}, hyper=warn"))?;
    Ok(logger
        .log_to_stdout()
        .format(flexi_logger::json_format)
        .start()?)
}
