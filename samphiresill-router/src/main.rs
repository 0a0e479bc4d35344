//! The router daemon: reads the settings, starts the router and runs until a signal stops it.
//!
//! `samphiresill-router gateway` runs the gateway variant for the hosting platform instead.

mod hosted;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use anyhow::Context;
use getopts::Options;
use samphiresill::router::Router;
use samphiresill::settings::Settings;
use samphiresill_core::clock::SystemClock;
use samphiresill_telemetry::logging::{self, Output};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for invalid options or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code when a second signal forces an immediate exit.
const EXIT_FORCED: i32 = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "gateway") {
        return hosted::main(&args[1..]);
    }
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optflag("", "check-config", "check the settings and exit");
    options.optopt(
        "c",
        "config",
        "settings file, in JSON with comments",
        "FILE",
    );
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: samphiresill-router --config FILE [--check-config]")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("samphiresill-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("config") else {
        return usage_error("missing option --config FILE");
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(e) => return usage_error(&format!("{path}: {e:#}")),
    };
    if matches.opt_present("check-config") {
        println!("{path}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("samphiresill-router: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("samphiresill-router: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(path: &str) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).context("cannot read the settings")?;
    Ok(Settings::parse(&text)?)
}

/// Runs the router until a signal starts a graceful shutdown; a second signal exits immediately.
fn run(settings: Settings) -> anyhow::Result<()> {
    let _logging = logging::start(&settings.log_level, Output::Stderr)?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let router = Router::start(settings, Arc::new(SystemClock::new()))?;
    log::info!("started");
    signals.forever().next();
    log::info!("stopping: new requests are refused, requests in progress are completed");
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            log::warn!("second signal: exiting without waiting for requests in progress");
            std::process::exit(EXIT_FORCED);
        }
    });
    router.drain();
    router.stop();
    log::info!("stopped");
    Ok(())
}
