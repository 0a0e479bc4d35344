//! The gateway variant of the daemon, for the hosting platform.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use getopts::Options;
use samphiresill_adapter::dialect::PlatformDialect;
use samphiresill_adapter::quarantine::QuarantineTable;
use samphiresill_adapter::store::Store;
use samphiresill_adapter::stream_table::StreamTable;
use samphiresill_adapter::watch::Watch;
use samphiresill_core::clock::{Clock, SystemClock};
use samphiresill_gateway::gateway::Gateway;
use samphiresill_gateway::knowledge::RoutingState;
use samphiresill_gateway::peers::Peers;
use samphiresill_gateway::settings::Settings;
use samphiresill_telemetry::logging::{self, Logging, Output};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid options or settings.
const EXIT_USAGE: u8 = 2;
/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs `samphiresill-router gateway` with the given options.
pub fn main(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "check-config", "check the settings and exit");
    options.optopt(
        "c",
        "config",
        "settings file, in JSON with comments",
        "FILE",
    );
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        let usage = "Usage: samphiresill-router gateway --config FILE [--check-config]";
        print!("{}", options.usage(usage));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("config") else {
        return usage_error("missing option --config FILE");
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(e) => return usage_error(&format!("{e:#}")),
    };
    if matches.opt_present("check-config") {
        println!("{path}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "gateway terminated by an error");
            eprintln!("samphiresill-router: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("samphiresill-router gateway: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: Settings, path: String) -> anyhow::Result<()> {
    let logging = logging::start(&settings.log_level, Output::Stdout)?;
    // The VMs that run the gateway have one core, so a single thread suffices.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let result = runtime.block_on(serve(settings, path, logging.clone()));
    runtime.shutdown_background();
    result
}

async fn serve(settings: Settings, path: String, logging: Logging) -> anyhow::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let dialect = Arc::new(PlatformDialect);
    let routing_state = Arc::new(RoutingState::new(dialect.clone()));
    let store = Arc::new(Store::new(settings.store, Arc::clone(&clock)));
    let watch = Arc::new(Watch::new(
        Arc::clone(&store),
        Arc::clone(&routing_state),
        Arc::clone(&clock),
    ));
    // Random, so that it differs between the processes of the fleet and between restarts of one process,
    // also when the wall clock is set back between them.
    let instance_id = rand::random();
    let peers = Arc::new(Peers::bind(settings.listen.peers).await?);
    let gateway = Gateway::new(settings, clock, dialect, routing_state, peers, instance_id)?;
    let quarantine = QuarantineTable::new(Arc::clone(&store), Arc::clone(&gateway));
    let quarantine = Arc::new(quarantine);
    let streams = Arc::new(StreamTable::new(store, Arc::clone(&gateway)));
    let supervisor = &gateway.supervisor;
    supervisor.run("store", move || Arc::clone(&watch).run());
    supervisor.run("quarantine", move || Arc::clone(&quarantine).run());
    supervisor.run("streams", move || Arc::clone(&streams).run());
    let reloaded = Arc::clone(&gateway);
    supervisor.run("settings", move || {
        watch_settings(Arc::clone(&reloaded), path.clone(), logging.clone())
    });
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    gateway.run(stop).await
}

/// Reloads the settings file when its content changes, on SIGHUP or at the next poll. Settings that
/// cannot be read or are not valid leave the current ones in force.
async fn watch_settings(gateway: Arc<Gateway>, path: String, logging: Logging) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!(error:% = e; "cannot listen for SIGHUP; settings will not be reloaded");
            return;
        }
    };
    let mut last_content = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP received, checking settings"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        let bytes = match std::fs::read(&path) {
            Ok(bytes) if last_content.as_ref() != Some(&bytes) => bytes,
            Ok(_) => continue,
            Err(e) => {
                log::warn!(error:% = e; "cannot read settings, keeping the current ones");
                continue;
            }
        };
        let result = Settings::parse(&String::from_utf8_lossy(&bytes)).and_then(|settings| {
            logging.set_level(&settings.log_level)?;
            gateway.reload(settings);
            Ok(())
        });
        if let Err(e) = result {
            log::error!(error:% = format!("{e:#}"); "settings not valid, keeping the current ones");
        }
        last_content = Some(bytes);
    }
}
