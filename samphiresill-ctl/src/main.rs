//! Command-line client for operators.

mod apply;
mod client;
mod logs;
mod output;

use std::io::Read;
use std::process::ExitCode;

use anyhow::{Context, bail};
use getopts::{Matches, Options};
use samphiresill_contract::object::{Kind, Object, ObjectId};
use samphiresill_core::name::KeyHash;

use client::{Client, CommandError};

const HELP: &str = "\
Usage: samphiresillctl [OPTIONS] COMMAND

Commands:
  status                     state of the fleet, as seen by one router
  get [KIND [NAME]]          objects of the configuration
  put KIND NAME VALUE        create or change an object; VALUE in JSON
  delete KIND NAME           delete an object
  drain TARGET               send no new requests to a target; --undo resumes
  evacuate DOMAIN            send no new requests to the targets of a failure domain
  restore DOMAIN             return an evacuated failure domain to service
  apply FILE                 apply the configuration in FILE, JSON with comments; prints the
                             changes first; --prune deletes objects that FILE lacks, except evacuations
  timeline FILE...           log records of any processes, ordered by an aligned clock; select with
                             --request ID, --target NAME, or --from S --to S; --page HTML-FILE
                             writes an HTML page
  explain ID FILE...         explain the outcome of a request from log files
  evenness FILE...           how evenly targets were loaded, from log files of schedulers
  hash-key                   read a key from standard input and print its hash

KIND is customer, model, service, target or evacuation.

Exit codes: 0 success, 1 the fleet or the platform is unavailable, 2 the command line or a value is
not valid, 3 conflict with another change, 4 committed but not in force on all routers in time.
";

/// Default time to wait until a change is in force.
const DEFAULT_WAIT_MS: u32 = 10_000;

fn build_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt(
        "a",
        "address",
        "operators' address of a router (default 127.0.0.1:8404)",
        "IP:PORT",
    );
    options.optopt(
        "k",
        "key-file",
        "file with the operator's key (default: $SAMPHIRESILL_KEY)",
        "FILE",
    );
    options.optflag("j", "json", "print JSON");
    options.optflag("n", "dry-run", "validate the change without applying it");
    options.optflag(
        "",
        "prune",
        "with apply: delete objects that the file lacks",
    );
    options.optflag("", "undo", "with drain: send requests to the target again");
    options.optopt(
        "w",
        "wait-ms",
        "time to wait until a change is in force, in ms (default 10000)",
        "N",
    );
    options.optopt(
        "",
        "change-id",
        "id of the change, to repeat a call whose response was lost",
        "ID",
    );
    options.optopt("", "request", "with timeline: id of a request", "ID");
    options.optopt("", "target", "with timeline: name of a target", "NAME");
    options.optopt(
        "",
        "from",
        "with timeline: seconds since the first record",
        "S",
    );
    options.optopt(
        "",
        "to",
        "with timeline: seconds since the first record",
        "S",
    );
    options.optopt(
        "",
        "page",
        "with timeline: write an HTML page to this file",
        "HTML-FILE",
    );
    options.optopt(
        "",
        "expected",
        "with put and delete: revision that the object must have",
        "N",
    );
    options
}

fn main() -> ExitCode {
    let options = build_options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return report(&CommandError::usage(e.to_string())),
    };
    if matches.opt_present("help") || matches.free.is_empty() && !matches.opt_present("version") {
        print!("{}", options.usage(HELP));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("samphiresillctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn report(error: &CommandError) -> ExitCode {
    eprintln!("samphiresillctl: {error}");
    ExitCode::from(error.exit_code())
}

fn run(matches: &Matches) -> Result<(), CommandError> {
    let args: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let is_json = matches.opt_present("json");
    match args[..] {
        ["timeline", ref files @ ..] => logs::timeline(matches, files),
        ["explain", request, ref files @ ..] => logs::explain(request, files),
        ["evenness", ref files @ ..] => logs::evenness(files),
        ["hash-key"] => hash_key().map_err(CommandError::from),
        ["status"] => {
            output::print_status(&connect(matches)?.status()?, is_json);
            Ok(())
        }
        ["get"] => output::print_objects(&connect(matches)?.get()?, None, None, is_json),
        ["get", kind] => output::print_objects(
            &connect(matches)?.get()?,
            Some(parse_kind(kind)?),
            None,
            is_json,
        ),
        ["get", kind, name] => output::print_objects(
            &connect(matches)?.get()?,
            Some(parse_kind(kind)?),
            Some(name),
            is_json,
        ),
        ["put", kind, name, value] => {
            let id = parse_id(kind, name)?;
            let value = parse_value(id.kind, value)?;
            apply::apply_changes(
                &mut connect(matches)?,
                matches,
                vec![(id, Some(value), expected_revision(matches)?)],
            )
        }
        ["delete", kind, name] => {
            let id = parse_id(kind, name)?;
            apply::apply_changes(
                &mut connect(matches)?,
                matches,
                vec![(id, None, expected_revision(matches)?)],
            )
        }
        ["drain", target] => apply::drain(&mut connect(matches)?, matches, target),
        ["evacuate", domain] => apply::evacuate(&mut connect(matches)?, matches, domain),
        ["restore", domain] => apply::restore(&mut connect(matches)?, matches, domain),
        ["apply", file] => apply::apply_file(&mut connect(matches)?, matches, file),
        _ => Err(CommandError::usage(format!(
            "unknown command {:?}; see --help",
            args.join(" ")
        ))),
    }
}

fn connect(matches: &Matches) -> Result<Client, CommandError> {
    let address = matches
        .opt_str("address")
        .unwrap_or_else(|| "127.0.0.1:8404".into());
    let key = match matches.opt_str("key-file") {
        Some(file) => std::fs::read_to_string(&file)
            .with_context(|| format!("cannot read the key from {file}"))?,
        None => std::env::var("SAMPHIRESILL_KEY")
            .map_err(|_| CommandError::usage("no key: use --key-file or set SAMPHIRESILL_KEY"))?,
    };
    Client::connect(&address, key.trim())
}

fn hash_key() -> anyhow::Result<()> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .context("cannot read the key")?;
    if key.trim().is_empty() {
        bail!("the key is empty");
    }
    println!("{}", KeyHash::of_key(key.trim()));
    Ok(())
}

fn parse_kind(text: &str) -> Result<Kind, CommandError> {
    let kinds = [
        Kind::Customer,
        Kind::Model,
        Kind::Service,
        Kind::Target,
        Kind::Evacuation,
    ];
    let found = kinds.into_iter().find(|k| k.to_string() == text);
    found.ok_or_else(|| {
        CommandError::usage(format!(
            "unknown kind {text:?}; expected customer, model, service, target or evacuation"
        ))
    })
}

fn parse_id(kind: &str, name: &str) -> Result<ObjectId, CommandError> {
    Ok(ObjectId {
        kind: parse_kind(kind)?,
        name: name.to_owned(),
    })
}

fn parse_value(kind: Kind, text: &str) -> Result<Object, CommandError> {
    let parsed = match kind {
        Kind::Customer => serde_json::from_str(text).map(Object::Customer),
        Kind::Model => serde_json::from_str(text).map(Object::Model),
        Kind::Service => serde_json::from_str(text).map(Object::Service),
        Kind::Target => serde_json::from_str(text).map(Object::Target),
        Kind::Evacuation => serde_json::from_str(text).map(Object::Evacuation),
    };
    parsed.map_err(|e| CommandError::usage(format!("not a valid {kind}: {e}")))
}

fn expected_revision(matches: &Matches) -> Result<Option<u64>, CommandError> {
    matches
        .opt_get("expected")
        .map_err(|e| CommandError::usage(format!("--expected: {e}")))
}

fn wait_ms(matches: &Matches) -> Result<u32, CommandError> {
    let wait = matches.opt_get_default("wait-ms", DEFAULT_WAIT_MS);
    wait.map_err(|e| CommandError::usage(format!("--wait-ms: {e}")))
}
