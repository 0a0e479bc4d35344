//! The gateway on the platform that hosts it.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::Context;
use getopts::Options;
use samphiresill_adapter::dialect::PlatformDialect;
use samphiresill_adapter::store::Store;
use samphiresill_adapter::watch::Watch;
use samphiresill_core::clock::{Clock, SystemClock};
use samphiresill_gateway::gateway::Gateway;
use samphiresill_gateway::knowledge::RoutingState;
use samphiresill_gateway::peers::Peers;
use samphiresill_gateway::settings::Settings;
use samphiresill_telemetry::logging::{self, Logging, Output};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings or options that are not accepted.
const EXIT_USAGE: u8 = 2;
/// Pause between looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(1);

/// Runs `samphiresill-router gateway` with its options.
pub fn main(args: &[String]) -> ExitCode {
    let mut spec = Options::new();
    spec.optflag("h", "help", "print this help");
    spec.optflag("", "check-config", "check the settings and start nothing");
    spec.optopt(
        "c",
        "config",
        "file with the settings, JSON with comments",
        "FILE",
    );
    let given = match spec.parse(args) {
        Ok(given) => given,
        Err(e) => return refuse(&e.to_string()),
    };
    if given.opt_present("help") {
        let brief = "Usage: samphiresill-router gateway --config FILE [--check-config]";
        print!("{}", spec.usage(brief));
        return ExitCode::SUCCESS;
    }
    let Some(path) = given.opt_str("config") else {
        return refuse("--config FILE is missing");
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(e) => return refuse(&format!("{e:#}")),
    };
    if given.opt_present("check-config") {
        println!("{path}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = format!("{e:#}"); "stopped by an error");
            eprintln!("samphiresill-router: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("samphiresill-router gateway: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: Settings, path: String) -> anyhow::Result<()> {
    let logging = logging::start(&settings.log_level, Output::Stdout)?;
    // One thread: the VMs that host the gateway have one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let ended = runtime.block_on(serve(settings, path, logging.clone()));
    runtime.shutdown_background();
    ended
}

async fn serve(settings: Settings, path: String, logging: Logging) -> anyhow::Result<()> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let dialect = Arc::new(PlatformDialect);
    let knowledge = Arc::new(RoutingState::new(dialect.clone()));
    let store = Store::new(settings.store, Arc::clone(&clock));
    let watch = Watch::new(store, Arc::clone(&knowledge), Arc::clone(&clock));
    tokio::spawn(watch.run());
    let origin = origin(&settings, clock.as_ref());
    let peers = Arc::new(Peers::bind(settings.listen.peers).await?);
    let gateway = Gateway::new(settings, clock, dialect, knowledge, peers, origin)?;
    tokio::spawn(follow_settings(Arc::clone(&gateway), path, logging));
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

/// A number that is new with each start of a process in the fleet.
fn origin(settings: &Settings, clock: &dyn Clock) -> u64 {
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let name = format!("{} {}", settings.vm, started.as_nanos());
    let hash = samphiresill_core::name::KeyHash::of_key(&name);
    let digits: &str = hash.as_ref();
    u64::from_str_radix(&digits[..16], 16).expect("invariant: a hash is written in hexadecimal")
}

/// Reloads changed settings, with a signal or without.
async fn follow_settings(gateway: Arc<Gateway>, path: String, logging: Logging) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!(error:% = e; "changed settings are not noticed");
            return;
        }
    };
    let mut seen = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("signal to reload"),
            () = tokio::time::sleep(SETTINGS_POLL) => {}
        }
        let bytes = match std::fs::read(&path) {
            Ok(bytes) if seen.as_ref() != Some(&bytes) => bytes,
            Ok(_) => continue,
            Err(e) => {
                log::warn!(error:% = e; "settings not readable, keeping the former ones");
                continue;
            }
        };
        let reloaded = Settings::parse(&String::from_utf8_lossy(&bytes)).and_then(|settings| {
            logging.set_level(&settings.log_level)?;
            gateway.reload(settings);
            Ok(())
        });
        if let Err(e) = reloaded {
            log::error!(error:% = format!("{e:#}"); "settings not valid, keeping the former ones");
        }
        seen = Some(bytes);
    }
}
