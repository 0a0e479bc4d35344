//! Experiments with the fleet's decisions; `--help` lists them.

mod caller;
mod capacity;
mod fairness;
mod latency;
mod load;

use std::process::ExitCode;

use samphiresill_core::clock::SystemClock;

/// Exit code for a command line that is not accepted.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: samphiresill-experiment COMMAND [OPTIONS]

Commands:
  fairness   compare the ways to share capacity, on the real decision code
  capacity   the slopes that docs/CAPACITY.md is worked out from
  latency    time that routers add to the first token and between tokens
  load       many requests at once, every answer checked byte for byte

`samphiresill-experiment COMMAND --help` lists the options of a command.
";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (command, rest) = match args.split_first() {
        Some((command, rest)) => (command.as_str(), rest),
        None => ("--help", &args[..]),
    };
    let clock = SystemClock::new();
    let result = match command {
        "fairness" => fairness::command(rest),
        "capacity" => capacity::command(rest, &clock),
        "latency" => latency::command(rest, &clock),
        "load" => load::command(rest, &clock),
        "--help" | "-h" => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        _ => Err(anyhow::anyhow!("unknown command {command:?}; see --help")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("samphiresill-experiment: {e:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
