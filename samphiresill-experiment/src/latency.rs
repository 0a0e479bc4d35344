//! Measures the latency that a router adds to the first token and between tokens, compared with
//! direct requests to an engine in the same run.

use std::time::Duration;

use anyhow::Context;
use samphiresill_core::clock::Clock;
use samphiresill_standins::options;
use serde_json::json;

use crate::caller;

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
    let Some(given) = options::parse_args(
        &spec,
        args,
        "Usage: samphiresill-experiment latency [OPTIONS]",
    )?
    else {
        return Ok(());
    };
    let text = |name: &str, default: &str| given.opt_str(name).unwrap_or_else(|| default.into());
    let (direct, via) = (
        text("direct", "127.0.0.1:8201"),
        text("via", "127.0.0.1:8401"),
    );
    let (key, model) = (text("key", "counter-example-key"), text("model", "letters"));
    let requests: usize = given
        .opt_get_default("requests", 200)
        .context("--requests")?;
    let tokens: usize = given.opt_get_default("tokens", 20).context("--tokens")?;
    let mut ways = [Way::new("direct"), Way::new("via")];
    for number in 0..requests {
        // The paths alternate, so that both are measured under the same load of the machine.
        for (way, address) in ways.iter_mut().zip([&direct, &via]) {
            let prompt = format!("latency {number} len={tokens}");
            let id = format!("latency-{}-{number}", std::process::id());
            let answer = caller::stream(clock, address, &key, &model, &id, &prompt)?;
            way.firsts.push(answer.first);
            way.gaps.extend(answer.gaps);
        }
    }
    for way in &mut ways {
        way.firsts.sort();
        way.gaps.sort();
    }
    print(&ways, given.opt_present("json"));
    Ok(())
}

struct Way {
    name: &'static str,
    firsts: Vec<Duration>,
    gaps: Vec<Duration>,
}

impl Way {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            firsts: Vec::new(),
            gaps: Vec::new(),
        }
    }
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).map_or(0.0, |d| d.as_secs_f64() * 1_000.0)
}

fn print(ways: &[Way; 2], is_json: bool) {
    let figures = |way: &Way| {
        [
            quantile_ms(&way.firsts, 0.5),
            quantile_ms(&way.firsts, 0.95),
            quantile_ms(&way.gaps, 0.5),
            quantile_ms(&way.gaps, 0.95),
        ]
    };
    let [direct, via] = [figures(&ways[0]), figures(&ways[1])];
    let added: Vec<f64> = via.iter().zip(direct).map(|(v, d)| v - d).collect();
    let names = [
        "first_p50_ms",
        "first_p95_ms",
        "between_p50_ms",
        "between_p95_ms",
    ];
    for (index, name) in names.iter().enumerate() {
        if is_json {
            let line = json!({
                "figure": name, ways[0].name: direct[index], ways[1].name: via[index],
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
