//! Command-line options of the stand-ins.

use std::net::SocketAddr;
use std::str::FromStr;

use anyhow::Context;
use getopts::{Matches, Options};

/// The options that every stand-in has.
#[must_use]
pub fn spec() -> Options {
    let mut spec = Options::new();
    spec.optflag("h", "help", "print this help");
    spec.optopt("l", "listen", "address to listen on", "IP:PORT");
    spec
}

/// Reads the command line; nothing when only the help was asked for.
///
/// # Errors
/// When an option is unknown or the address is missing or malformed.
pub fn parse(spec: &Options) -> anyhow::Result<Option<(SocketAddr, Matches)>> {
    let given = spec.parse(std::env::args_os().skip(1))?;
    if given.opt_present("help") {
        print!("{}", spec.usage("A stand-in for tests."));
        return Ok(None);
    }
    let address = given
        .opt_str("listen")
        .context("--listen IP:PORT is missing")?;
    Ok(Some((address.parse().context("--listen")?, given)))
}

/// The value of a numeric option.
///
/// # Errors
/// When the value is not a number.
pub fn number<T: FromStr>(given: &Matches, name: &str, default: T) -> anyhow::Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    given
        .opt_get_default(name, default)
        .with_context(|| format!("--{name}"))
}
