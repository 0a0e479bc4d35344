//! The model engine stand-in as a process.

use std::time::Duration;

use samphiresill_standins::{engine, http, options};

fn main() -> anyhow::Result<()> {
    let mut spec = options::spec();
    spec.optopt(
        "",
        "step-us",
        "time of a step with an empty batch (10000)",
        "N",
    );
    spec.optopt(
        "",
        "sequence-us",
        "time each sequence adds to a step (200)",
        "N",
    );
    spec.optopt(
        "",
        "prefill-us",
        "time to read 100 bytes of prompt (500)",
        "N",
    );
    spec.optopt("", "max-batch", "sequences that run at once (16)", "N");
    spec.optopt("", "cache-entries", "prefixes in the cache (64)", "N");
    spec.optopt("", "load-lag-ms", "lag of the load report (2000)", "N");
    spec.optflag(
        "",
        "checks-fencing",
        "refuse orders with an old fencing number",
    );
    let Some((address, given)) = options::parse(&spec)? else {
        return Ok(());
    };
    let opts = engine::Options {
        step_us: options::number(&given, "step-us", 10_000)?,
        sequence_us: options::number(&given, "sequence-us", 200)?,
        prefill_us: options::number(&given, "prefill-us", 500)?,
        max_batch: options::number(&given, "max-batch", 16)?,
        cache_entries: options::number(&given, "cache-entries", 64)?,
        checks_fencing: given.opt_present("checks-fencing"),
        load_lag: Duration::from_millis(options::number(&given, "load-lag-ms", 2_000)?),
    };
    let engine = engine::Engine::start(opts);
    http::serve(address, move |req| engine.handle(req))
}
