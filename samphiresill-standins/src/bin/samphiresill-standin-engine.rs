//! Program that runs the model engine stand-in.

use std::time::Duration;

use samphiresill_standins::{engine, http, options};

fn main() -> anyhow::Result<()> {
    let mut spec = options::spec();
    spec.optopt(
        "",
        "step-us",
        "fixed duration of a decoding step in microseconds (default: 10000)",
        "N",
    );
    spec.optopt(
        "",
        "sequence-us",
        "additional step duration per sequence in microseconds (default: 200)",
        "N",
    );
    spec.optopt(
        "",
        "prefill-us",
        "prefill time per 100 bytes of prompt in microseconds (default: 500)",
        "N",
    );
    spec.optopt(
        "",
        "max-batch",
        "maximum number of sequences in a batch (default: 16)",
        "N",
    );
    spec.optopt(
        "",
        "cache-entries",
        "capacity of the prefix cache (default: 64)",
        "N",
    );
    spec.optopt(
        "",
        "load-lag-ms",
        "age of the load report in milliseconds (default: 2000)",
        "N",
    );
    spec.optflag(
        "",
        "checks-fencing",
        "reject orders with an outdated fencing token",
    );
    let Some((address, matches)) = options::parse(&spec)? else {
        return Ok(());
    };
    let opts = engine::Options {
        step_us: options::number(&matches, "step-us", 10_000)?,
        sequence_us: options::number(&matches, "sequence-us", 200)?,
        prefill_us: options::number(&matches, "prefill-us", 500)?,
        max_batch: options::number(&matches, "max-batch", 16)?,
        cache_entries: options::number(&matches, "cache-entries", 64)?,
        checks_fencing: matches.opt_present("checks-fencing"),
        load_lag: Duration::from_millis(options::number(&matches, "load-lag-ms", 2_000)?),
    };
    let engine = engine::Engine::start(opts);
    http::serve(address, move |req| engine.handle(req))
}
