//! Command-line experiments that measure fairness, capacity, latency and correctness under load.

mod balance;
mod capacity;
mod client;
mod fairness;
mod latency;
mod load;

use std::process::ExitCode;

use samphiresill_core::clock::SystemClock;

/// Exit code for an invalid command line or a failed experiment.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Usage: samphiresill-experiment COMMAND [OPTIONS]

Commands:
  balance    compare ways to select engines with old views, in the model of many deciders
  fairness   compare capacity-sharing policies in simulated time, using the production scheduler
  capacity   measure the unit costs that docs/CAPACITY.md is calculated from
  latency    measure the latency that routers add to the first token and between tokens
  load       send concurrent requests and verify every response byte for byte

`samphiresill-experiment COMMAND --help` lists the options of a command.
";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (command, command_args) = match args.split_first() {
        Some((command, command_args)) => (command.as_str(), command_args),
        None => ("--help", &args[..]),
    };
    let clock = SystemClock::new();
    let result = match command {
        "balance" => balance::command(command_args),
        "fairness" => fairness::command(command_args),
        "capacity" => capacity::command(command_args, &clock),
        "latency" => latency::command(command_args, &clock),
        "load" => load::command(command_args, &clock),
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
