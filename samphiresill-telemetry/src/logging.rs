//! Logs as JSON lines.

use flexi_logger::{Logger, LoggerHandle};

/// `Output` is the standard stream that logs are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts logging at a level; the handle must be kept as long as the process logs.
///
/// # Errors
/// When logging was started before or the level is not known.
pub fn start(level: &str, output: Output) -> anyhow::Result<LoggerHandle> {
    let logger = Logger::try_with_str(format!("{level}, tarpc=warn, hyper=warn"))?;
    let logger = match output {
        Output::Stdout => logger.log_to_stdout(),
        Output::Stderr => logger.log_to_stderr(),
    };
    Ok(logger.format(flexi_logger::json_format).start()?)
}
