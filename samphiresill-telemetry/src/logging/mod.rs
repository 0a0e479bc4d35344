//! Structured logging as JSON lines to a standard stream.

pub mod queue;

use std::io;

use flexi_logger::{Logger, LoggerHandle};

use self::queue::Queue;

/// `Output` selects the standard stream that logs are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// `Logging` is the handle of the process-wide logger; it must be kept for as long as the process
/// logs.
#[derive(Clone)]
pub struct Logging {
    handle: LoggerHandle,
}

impl Logging {
    /// Changes the log level at run time.
    ///
    /// # Errors
    /// When the level is unknown.
    pub fn set_level(&self, level: &str) -> anyhow::Result<()> {
        Ok(self.handle.parse_new_spec(&log_spec(level))?)
    }
}

/// Installs the process-wide logger with a level and an output stream.
///
/// # Errors
/// When a logger is already installed, the level is unknown or the log thread cannot be started.
pub fn start(level: &str, output: Output) -> anyhow::Result<Logging> {
    let out: Box<dyn io::Write + Send> = match output {
        Output::Stdout => Box::new(io::stdout()),
        Output::Stderr => Box::new(io::stderr()),
    };
    let logger = Logger::try_with_str(log_spec(level))?;
    let handle = logger.log_to_writer(Box::new(Queue::start(out)?)).start()?;
    Ok(Logging { handle })
}

/// Builds the log specification: `level` for this project, warnings only for verbose libraries.
fn log_spec(level: &str) -> String {
    format!("{level}, tarpc=warn, hyper=warn, opentelemetry=warn, opentelemetry_sdk=warn")
}
