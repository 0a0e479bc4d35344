//! Drivers of the review's scripts. `kit CASE DIR` plays a case and writes DIR/record.txt. It exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
//! environment it does the same without the disruption.

mod client;
mod endless_refusal;
mod foreign_entries;
mod gateway;
mod http;
mod json;
mod record;
mod server;
mod store;
mod watchers;

use std::path::PathBuf;
use std::process::exit;

use foreign_entries::Writer;
use watchers::Away;

/// Ends the run when the case cannot be played.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    gateway::kill_all();
    exit(2);
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        cannot_run("usage: kit CASE DIR");
    };
    let dir = PathBuf::from(dir);
    // A failure of the driver is no result, and leaves no process behind.
    std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let is_broken = match &*case {
        "endless-refusal" => endless_refusal::play(&dir, has_trouble),
        "foreign-entries" => foreign_entries::play(&dir, has_trouble, Writer::LargeRows),
        "foreign-part" => foreign_entries::play(&dir, has_trouble, Writer::OtherPart),
        "watchers" => watchers::play(&dir, has_trouble, Away::Silent),
        "schedulers" => watchers::play(&dir, has_trouble, Away::Refused),
        _ => cannot_run(&format!("no case {case}")),
    };
    exit(i32::from(is_broken));
}
