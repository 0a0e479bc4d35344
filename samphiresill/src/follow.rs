//! Background thread that polls the configuration log and puts new revisions in force.

use std::sync::Arc;
use std::time::Duration;

use samphiresill_platform::table::Table;

use crate::config::{Config, log as change_log};

/// Polls the log until the process ends. `on_change` is called whenever a new revision comes into
/// force.
///
/// # Errors
/// If the thread cannot be started.
pub fn start(
    config: Arc<Config>,
    table: Arc<dyn Table>,
    poll: Duration,
    on_change: impl Fn() + Send + 'static,
) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name("follow".into())
        .spawn(move || {
            loop {
                match poll_once(&config, table.as_ref()) {
                    Ok(true) => on_change(),
                    Ok(false) => {}
                    Err(e) => ::log::warn!(error:% = e; "configuration not read"),
                }
                std::thread::sleep(poll);
            }
        })?;
    Ok(())
}

/// Reads the log once. Returns whether a new revision came into force.
fn poll_once(config: &Config, table: &dyn Table) -> Result<bool, change_log::Error> {
    let current = config.current();
    let (head, _) = change_log::head(table)?;
    if head <= current.revision {
        return Ok(false);
    }
    let next = change_log::catch_up(table, &current)?;
    let revision = next.revision;
    let advanced = config.advance(next);
    if advanced {
        ::log::info!(revision; "configuration in force");
    }
    Ok(advanced)
}
