//! The operators' command line.

mod apply;
mod client;
mod logs;
mod show;

use std::io::Read;
use std::process::ExitCode;

use anyhow::{Context, bail};
use getopts::{Matches, Options};
use samphiresill_contract::object::{Kind, Object, ObjectId};
use samphiresill_core::name::KeyHash;

use client::{Client, Failure};

const HELP: &str = "\
Usage: samphiresillctl [OPTIONS] COMMAND

Commands:
  status                     the fleet as one router sees it
  get [KIND [NAME]]          objects of the configuration
  put KIND NAME VALUE        create or change an object; VALUE in JSON
  delete KIND NAME           delete an object
  drain TARGET               give a target nothing new; --undo takes that back
  apply FILE                 make the configuration as in FILE, JSON with comments;
                             shows the difference first; --prune deletes what FILE lacks
  timeline FILE...           lines of log files of any processes in order of a common clock, of
                             --request ID, --target NAME, or --from S --to S; --page HTML-FILE
                             writes a page
  explain ID FILE...         what became of a request and why, from log files
  hash-key                   read a key from standard input, print its hash

KIND is customer, model, service or target.

Exit codes: 0 done, 1 the fleet or the platform does not serve, 2 the command line or a value is
not accepted, 3 another change came first, 4 done but not in force everywhere in time.
";

/// Time to wait for a change to be in force, unless the command line says otherwise.
const DEFAULT_WAIT_MS: u32 = 10_000;

fn options() -> Options {
    let mut spec = Options::new();
    spec.optflag("h", "help", "print this help");
    spec.optflag("V", "version", "print the version");
    spec.optopt(
        "a",
        "address",
        "operators' address of a router (127.0.0.1:8404)",
        "IP:PORT",
    );
    spec.optopt(
        "k",
        "key-file",
        "file with the operator's key; else $SAMPHIRESILL_KEY",
        "FILE",
    );
    spec.optflag("j", "json", "print JSON");
    spec.optflag("n", "dry-run", "check the change and do nothing");
    spec.optflag("", "prune", "with apply: delete what the file lacks");
    spec.optflag("", "undo", "with drain: give the target work again");
    spec.optopt(
        "w",
        "wait-ms",
        "time to wait until a change is in force (10000)",
        "N",
    );
    spec.optopt(
        "",
        "change-id",
        "name of the change, to repeat a call whose reply was lost",
        "ID",
    );
    spec.optopt("", "request", "with timeline: id of a request", "ID");
    spec.optopt("", "target", "with timeline: name of a target", "NAME");
    spec.optopt(
        "",
        "from",
        "with timeline: seconds from the first line",
        "S",
    );
    spec.optopt("", "to", "with timeline: seconds from the first line", "S");
    spec.optopt("", "page", "with timeline: write a page there", "HTML-FILE");
    spec.optopt(
        "",
        "expected",
        "with put and delete: revision of the object as seen",
        "N",
    );
    spec
}

fn main() -> ExitCode {
    let spec = options();
    let given = match spec.parse(std::env::args().skip(1)) {
        Ok(given) => given,
        Err(e) => return report(&Failure::usage(e.to_string())),
    };
    if given.opt_present("help") || given.free.is_empty() && !given.opt_present("version") {
        print!("{}", spec.usage(HELP));
        return ExitCode::SUCCESS;
    }
    if given.opt_present("version") {
        println!("samphiresillctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(&given) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => report(&failure),
    }
}

fn report(failure: &Failure) -> ExitCode {
    eprintln!("samphiresillctl: {failure}");
    ExitCode::from(failure.exit_code())
}

fn run(given: &Matches) -> Result<(), Failure> {
    let words: Vec<&str> = given.free.iter().map(String::as_str).collect();
    let is_json = given.opt_present("json");
    match words[..] {
        ["timeline", ref files @ ..] => logs::timeline(given, files),
        ["explain", request, ref files @ ..] => logs::explain(request, files),
        ["hash-key"] => hash_key().map_err(Failure::from),
        ["status"] => {
            show::status(&connect(given)?.status()?, is_json);
            Ok(())
        }
        ["get"] => show::objects(&connect(given)?.get()?, None, None, is_json),
        ["get", kind] => {
            show::objects(&connect(given)?.get()?, Some(kind_of(kind)?), None, is_json)
        }
        ["get", kind, name] => show::objects(
            &connect(given)?.get()?,
            Some(kind_of(kind)?),
            Some(name),
            is_json,
        ),
        ["put", kind, name, value] => {
            let id = id_of(kind, name)?;
            let value = value_of(id.kind, value)?;
            apply::change(
                &mut connect(given)?,
                given,
                vec![(id, Some(value), expected(given)?)],
            )
        }
        ["delete", kind, name] => {
            let id = id_of(kind, name)?;
            apply::change(
                &mut connect(given)?,
                given,
                vec![(id, None, expected(given)?)],
            )
        }
        ["drain", target] => apply::drain(&mut connect(given)?, given, target),
        ["apply", file] => apply::file(&mut connect(given)?, given, file),
        _ => Err(Failure::usage(format!(
            "unknown command {:?}; see --help",
            words.join(" ")
        ))),
    }
}

fn connect(given: &Matches) -> Result<Client, Failure> {
    let address = given
        .opt_str("address")
        .unwrap_or_else(|| "127.0.0.1:8404".into());
    let key = match given.opt_str("key-file") {
        Some(file) => std::fs::read_to_string(&file)
            .with_context(|| format!("cannot read the key from {file}"))?,
        None => std::env::var("SAMPHIRESILL_KEY")
            .map_err(|_| Failure::usage("no key: give --key-file or set SAMPHIRESILL_KEY"))?,
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

fn kind_of(word: &str) -> Result<Kind, Failure> {
    let kinds = [Kind::Customer, Kind::Model, Kind::Service, Kind::Target];
    let found = kinds.into_iter().find(|k| k.to_string() == word);
    found.ok_or_else(|| {
        Failure::usage(format!(
            "{word:?} is not a kind: customer, model, service or target"
        ))
    })
}

fn id_of(kind: &str, name: &str) -> Result<ObjectId, Failure> {
    Ok(ObjectId {
        kind: kind_of(kind)?,
        name: name.to_owned(),
    })
}

fn value_of(kind: Kind, text: &str) -> Result<Object, Failure> {
    let parsed = match kind {
        Kind::Customer => serde_json::from_str(text).map(Object::Customer),
        Kind::Model => serde_json::from_str(text).map(Object::Model),
        Kind::Service => serde_json::from_str(text).map(Object::Service),
        Kind::Target => serde_json::from_str(text).map(Object::Target),
    };
    parsed.map_err(|e| Failure::usage(format!("the value is not a {kind}: {e}")))
}

fn expected(given: &Matches) -> Result<Option<u64>, Failure> {
    given
        .opt_get("expected")
        .map_err(|e| Failure::usage(format!("--expected: {e}")))
}

fn wait_ms(given: &Matches) -> Result<u32, Failure> {
    let wait = given.opt_get_default("wait-ms", DEFAULT_WAIT_MS);
    wait.map_err(|e| Failure::usage(format!("--wait-ms: {e}")))
}
