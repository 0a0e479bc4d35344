//! Command-line options of the stand-ins, the experiments and the soak.

use std::net::SocketAddr;
use std::str::FromStr;

use anyhow::Context;
use getopts::{Matches, Options};

/// Returns the options that all stand-ins accept: `--help` and `--listen`.
#[must_use]
pub fn spec() -> Options {
    let mut spec = with_help();
    spec.optopt("l", "listen", "address to listen on", "IP:PORT");
    spec
}

/// Parses the command line of a stand-in into its listen address and all options.
///
/// Returns `None` after printing the usage for `--help`.
///
/// # Errors
/// Returns an error if an option is unknown or the address is missing or malformed.
pub fn parse(spec: &Options) -> anyhow::Result<Option<(SocketAddr, Matches)>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(matches) = parse_args(spec, &args, "Stand-in server for tests.")? else {
        return Ok(None);
    };
    let address = matches
        .opt_str("listen")
        .context("missing required option: --listen IP:PORT")?;
    Ok(Some((address.parse().context("--listen")?, matches)))
}

/// Parses options from `args`.
///
/// Returns `None` after printing the usage, which begins with `brief`, for `--help`.
///
/// # Errors
/// Returns an error if an option is unknown.
pub fn parse_args(spec: &Options, args: &[String], brief: &str) -> anyhow::Result<Option<Matches>> {
    let matches = spec.parse(args)?;
    if matches.opt_present("help") {
        print!("{}", spec.usage(brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Returns an option specification with only `--help`, to which a program adds its own options.
#[must_use]
pub fn with_help() -> Options {
    let mut spec = Options::new();
    spec.optflag("h", "help", "print this help");
    spec
}

/// Returns the value of a numeric option, or `default` if it is not given.
///
/// # Errors
/// Returns an error if the value cannot be parsed as `T`.
pub fn number<T: FromStr>(matches: &Matches, name: &str, default: T) -> anyhow::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    matches
        .opt_get_default(name, default)
        .with_context(|| format!("--{name}"))
}
