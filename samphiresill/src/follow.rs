//! The thread that follows the log of changes and puts each new revision in force.

use std::sync::Arc;
use std::time::Duration;

use samphiresill_platform::table::Table;

use crate::config::{Config, log as change_log};

/// Follows the log for ever; `changed` is called after each new revision in force.
///
/// # Errors
/// When the machine cannot start a thread.
pub fn start(
    config: Arc<Config>,
    table: Arc<dyn Table>,
    poll: Duration,
    changed: impl Fn() + Send + 'static,
) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name("follow".into())
        .spawn(move || {
            loop {
                match look(&config, table.as_ref()) {
                    Ok(true) => changed(),
                    Ok(false) => {}
                    Err(e) => ::log::warn!(error:% = e; "configuration not read"),
                }
                std::thread::sleep(poll);
            }
        })?;
    Ok(())
}

/// Looks at the head once; says whether a new revision came into force.
fn look(config: &Config, table: &dyn Table) -> Result<bool, change_log::Error> {
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
