//! Sends concurrent requests to several routers and verifies that each response matches its own
//! prompt byte for byte.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use anyhow::{Context, bail};
use samphiresill_core::clock::Clock;
use samphiresill_standins::{options, text};

use crate::client;

/// Runs the `load` command.
pub fn command(args: &[String], clock: &dyn Clock) -> anyhow::Result<()> {
    let mut spec = options::with_help();
    spec.optopt(
        "",
        "routers",
        "comma-separated router addresses",
        "IP:PORT,...",
    );
    spec.optopt("", "keys", "comma-separated API keys", "KEY,...");
    spec.optopt("", "model", "model name (letters)", "NAME");
    spec.optopt("", "requests", "total number of requests (600)", "N");
    spec.optopt(
        "",
        "concurrency",
        "number of concurrent requests (300)",
        "N",
    );
    let Some(matches) =
        options::parse_args(&spec, args, "Usage: samphiresill-experiment load [OPTIONS]")?
    else {
        return Ok(());
    };
    let list_option = |name: &str, default: &str| -> Vec<String> {
        let text = matches.opt_str(name).unwrap_or_else(|| default.into());
        text.split(',').map(str::to_owned).collect()
    };
    let routers = list_option("routers", "127.0.0.1:8401,127.0.0.1:8501,127.0.0.1:8601");
    let keys = list_option(
        "keys",
        "counter-example-key,warehouse-example-key,dealers-example-key",
    );
    let model = matches.opt_str("model").unwrap_or_else(|| "letters".into());
    let requests: usize = matches
        .opt_get_default("requests", 600)
        .context("--requests")?;
    let concurrency: usize = matches
        .opt_get_default("concurrency", 300)
        .context("--concurrency")?;
    let next_request = AtomicUsize::new(0);
    let failed = AtomicUsize::new(0);
    let start = clock.monotonic();
    thread::scope(|scope| {
        for _ in 0..concurrency {
            scope.spawn(|| {
                loop {
                    let number = next_request.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return;
                    }
                    let router = &routers[number % routers.len()];
                    let api_key = &keys[number % keys.len()];
                    if let Err(e) = verify_request(clock, router, api_key, &model, number) {
                        failed.fetch_add(1, Ordering::Relaxed);
                        eprintln!("request {number} failed: {e:#}");
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!(
        "{requests} requests, {failed} failed, {:.1} s",
        clock.monotonic().saturating_sub(start).as_secs_f64()
    );
    if failed > 0 {
        bail!("{failed} of {requests} requests failed or returned a wrong response");
    }
    Ok(())
}

fn verify_request(
    clock: &dyn Clock,
    router: &str,
    api_key: &str,
    model: &str,
    number: usize,
) -> anyhow::Result<()> {
    let prompt = format!("load {number} len={}", 5 + number % 40);
    let completion = client::stream_completion(clock, router, api_key, model, "", &prompt)?;
    let expected = text::completion(&prompt, usize::MAX);
    if completion.text != expected {
        bail!(
            "response text is {:?}, expected {expected:?}",
            completion.text
        );
    }
    Ok(())
}
