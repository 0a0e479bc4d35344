//! Logs as JSON lines.

pub mod queue;

use std::io;

use flexi_logger::{Logger, LoggerHandle};

use self::queue::Queue;

/// `Output` is the standard stream that logs are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// `Logging` is the log of the process; it must be kept as long as the process logs.
#[derive(Clone)]
pub struct Logging {
    handle: LoggerHandle,
}

impl Logging {
    /// Changes the level.
    ///
    /// # Errors
    /// When the level is not known.
    pub fn set_level(&self, level: &str) -> anyhow::Result<()> {
        Ok(self.handle.parse_new_spec(&spec(level))?)
    }
}

/// Starts logging at a level.
///
/// # Errors
/// When logging was started before or the level is not known.
pub fn start(level: &str, output: Output) -> anyhow::Result<Logging> {
    let out: Box<dyn io::Write + Send> = match output {
        Output::Stdout => Box::new(io::stdout()),
        Output::Stderr => Box::new(io::stderr()),
    };
    let logger = Logger::try_with_str(spec(level))?;
    let handle = logger.log_to_writer(Box::new(Queue::start(out)?)).start()?;
    Ok(Logging { handle })
}

/// The level of this project's lines, with that of libraries.
fn spec(level: &str) -> String {
    format!("{level}, tarpc=warn, hyper=warn, opentelemetry=warn, opentelemetry_sdk=warn")
}
