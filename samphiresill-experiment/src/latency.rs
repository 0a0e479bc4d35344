//! Measures the latency that a router adds to the first token and between tokens, compared with
//! direct requests to an engine in the same run.

use std::time::Duration;

use anyhow::Context;
use samphiresill_core::clock::Clock;
use samphiresill_standins::options;
use serde_json::json;

use crate::client;

/// Runs the `latency` command.
pub fn command(args: &[String], clock: &dyn Clock) -> anyhow::Result<()> {
    let mut spec = options::with_help();
    spec.optopt(
        "",
        "direct",
        "address of an engine (127.0.0.1:8201)",
        "IP:PORT",
    );
    spec.optopt("", "via", "address of a router (127.0.0.1:8401)", "IP:PORT");
    spec.optopt("", "key", "API key (counter-example-key)", "KEY");
    spec.optopt("", "model", "model name (letters)", "NAME");
    spec.optopt("", "requests", "number of requests on each path (200)", "N");
    spec.optopt("", "tokens", "length of each response in tokens (20)", "N");
    spec.optflag("", "json", "print one JSON object per line");
    let Some(matches) = options::parse_args(
        &spec,
        args,
        "Usage: samphiresill-experiment latency [OPTIONS]",
    )?
    else {
        return Ok(());
    };
    let text_option =
        |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.into());
    let (direct, via) = (
        text_option("direct", "127.0.0.1:8201"),
        text_option("via", "127.0.0.1:8401"),
    );
    let (api_key, model) = (
        text_option("key", "counter-example-key"),
        text_option("model", "letters"),
    );
    let requests: usize = matches
        .opt_get_default("requests", 200)
        .context("--requests")?;
    let tokens: usize = matches.opt_get_default("tokens", 20).context("--tokens")?;
    let mut paths = [PathSamples::new("direct"), PathSamples::new("via")];
    for number in 0..requests {
        // The paths alternate, so that both are measured under the same load of the machine.
        for (path, address) in paths.iter_mut().zip([&direct, &via]) {
            let prompt = format!("latency {number} len={tokens}");
            let id = format!("latency-{}-{number}", std::process::id());
            let completion =
                client::stream_completion(clock, address, &api_key, &model, &id, &prompt)?;
            path.times_to_first_chunk
                .push(completion.time_to_first_chunk);
            path.inter_chunk_times.extend(completion.inter_chunk_times);
        }
    }
    for path in &mut paths {
        path.times_to_first_chunk.sort();
        path.inter_chunk_times.sort();
    }
    print_figures(&paths, matches.opt_present("json"));
    Ok(())
}

struct PathSamples {
    name: &'static str,
    times_to_first_chunk: Vec<Duration>,
    inter_chunk_times: Vec<Duration>,
}

impl PathSamples {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            times_to_first_chunk: Vec::new(),
            inter_chunk_times: Vec::new(),
        }
    }
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).map_or(0.0, |d| d.as_secs_f64() * 1_000.0)
}

fn print_figures(paths: &[PathSamples; 2], is_json: bool) {
    let quantiles = |path: &PathSamples| {
        [
            quantile_ms(&path.times_to_first_chunk, 0.5),
            quantile_ms(&path.times_to_first_chunk, 0.95),
            quantile_ms(&path.inter_chunk_times, 0.5),
            quantile_ms(&path.inter_chunk_times, 0.95),
        ]
    };
    let [direct, via] = [quantiles(&paths[0]), quantiles(&paths[1])];
    let added: Vec<f64> = via.iter().zip(direct).map(|(v, d)| v - d).collect();
    let figure_names = [
        "first_p50_ms",
        "first_p95_ms",
        "between_p50_ms",
        "between_p95_ms",
    ];
    for (index, name) in figure_names.iter().enumerate() {
        if is_json {
            let line = json!({
                "figure": name, paths[0].name: direct[index], paths[1].name: via[index],
                "added": added[index],
            });
            println!("{line}");
        } else {
            println!(
                "{name:16} direct {:8.3}  via router {:8.3}  added {:7.3}",
                direct[index], via[index], added[index]
            );
        }
    }
}
