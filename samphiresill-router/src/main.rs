//! The router daemon: reads its settings, starts the router and waits for a signal.
//!
//! `samphiresill-router gateway` runs the gateway on the platform that hosts it.

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

/// Exit code for settings or options that are not accepted.
const EXIT_USAGE: u8 = 2;
/// Exit code of a hard stop by a second signal.
const EXIT_HARD_STOP: i32 = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "gateway") {
        return hosted::main(&args[1..]);
    }
    let mut spec = Options::new();
    spec.optflag("h", "help", "print this help");
    spec.optflag("V", "version", "print the version");
    spec.optflag("", "check-config", "check the settings and start nothing");
    spec.optopt(
        "c",
        "config",
        "file with the settings, JSON with comments",
        "FILE",
    );
    let given = match spec.parse(&args) {
        Ok(given) => given,
        Err(e) => return usage(&e.to_string()),
    };
    if given.opt_present("help") {
        print!(
            "{}",
            spec.usage("Usage: samphiresill-router --config FILE [--check-config]")
        );
        return ExitCode::SUCCESS;
    }
    if given.opt_present("version") {
        println!("samphiresill-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = given.opt_str("config") else {
        return usage("--config FILE is missing");
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(e) => return usage(&format!("{path}: {e:#}")),
    };
    if given.opt_present("check-config") {
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

fn usage(message: &str) -> ExitCode {
    eprintln!("samphiresill-router: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(path: &str) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).context("cannot read the settings")?;
    Ok(Settings::parse(&text)?)
}

/// Runs the router until a signal asks it to stop; a second signal stops it at once.
fn run(settings: Settings) -> anyhow::Result<()> {
    let _logging = logging::start(&settings.log_level, Output::Stderr)?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let router = Router::start(settings, Arc::new(SystemClock::new()))?;
    log::info!("started");
    signals.forever().next();
    log::info!("stopping: no new requests; what is at work goes on");
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            log::warn!("hard stop");
            std::process::exit(EXIT_HARD_STOP);
        }
    });
    router.drain();
    router.stop();
    log::info!("stopped");
    Ok(())
}
