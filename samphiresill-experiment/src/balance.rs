//! Compares ways to select engines in the model of many deciders with old views.

use std::time::Duration;

use anyhow::Context;
use getopts::Options;
use samphiresill_sched::fleet::model::{self, Choice, Fault, Params};

/// All ways to select an engine, in the order of the table.
const CHOICES: [Choice; 8] = [
    Choice::Perfect,
    Choice::Random,
    Choice::Lowest,
    Choice::Balanced,
    Choice::Sampled,
    Choice::Owned,
    Choice::Subsets,
    Choice::Offers,
];

/// Prints a table of the figures for one size.
///
/// # Errors
/// When an option is not valid.
pub fn command(args: &[String]) -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("d", "deciders", "number of deciders (default 6)", "N");
    options.optopt("e", "engines", "number of engines (default 60)", "N");
    options.optopt("u", "utilisation", "load of the engines (default 0.7)", "F");
    options.optopt("m", "span-ms", "time measured, in ms (default 4000)", "N");
    options.optopt("s", "seed", "seed of the random numbers (default 1)", "N");
    options.optopt("l", "loss", "fraction of lost frames (default 0)", "F");
    options.optmulti("a", "age-ms", "age of views, in ms; may be repeated", "N");
    options.optmulti("c", "choice", "ways to select (default all)", "NAME");
    options.optflag("", "uneven", "half of the requests come to one decider");
    options.optflag("", "hot", "half of the prompts have the same prefix");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        let usage = "Usage: samphiresill-experiment balance [OPTIONS]";
        print!("{}", options.usage(usage));
        return Ok(());
    }
    let ages = matches.opt_strs("age-ms");
    let ages: Vec<u64> = if ages.is_empty() {
        vec![0, 25, 100, 500, 2_000]
    } else {
        let parsed: Result<_, _> = ages.iter().map(|age| age.parse()).collect();
        parsed.context("--age-ms")?
    };
    let names = matches.opt_strs("choice");
    let fault = if matches.opt_present("uneven") {
        Fault::Uneven
    } else if matches.opt_present("hot") {
        Fault::HotPrefix
    } else {
        Fault::None
    };
    let params = Params {
        choice: Choice::Balanced,
        deciders: matches.opt_get_default("deciders", 6)?,
        engines: matches.opt_get_default("engines", 60)?,
        age: Duration::ZERO,
        utilisation: matches.opt_get_default("utilisation", 0.7)?,
        span: Duration::from_millis(matches.opt_get_default("span-ms", 4_000)?),
        loss: matches.opt_get_default("loss", 0.0)?,
        fault,
        seed: matches.opt_get_default("seed", 1)?,
    };
    println!(
        "| choice | age ms | largest wait ms | mean wait ms | imbalance of wait | of work | p99 of first event ms | prefilled tokens | refused |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for choice in CHOICES {
        let name = format!("{choice:?}").to_lowercase();
        if !names.is_empty() && !names.contains(&name) {
            continue;
        }
        for age in &ages {
            let age = Duration::from_millis(*age);
            let r = model::run(Params {
                choice,
                age,
                ..params
            });
            println!(
                "| {name} | {} | {:.0} | {:.0} | {:.2} | {:.2} | {:.0} | {:.0} | {} |",
                age.as_millis(),
                r.largest_wait_ms,
                r.mean_wait_ms,
                r.wait_imbalance,
                r.work_imbalance,
                r.first_event_p99_ms,
                r.prefilled_per_request,
                r.refused,
            );
            if matches!(choice, Choice::Perfect | Choice::Random) {
                break;
            }
        }
    }
    Ok(())
}
