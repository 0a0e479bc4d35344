//! The platform stand-in as a process: table service, object store and list of VMs.

use samphiresill_standins::{http, options, platform};

fn main() -> anyhow::Result<()> {
    let mut spec = options::spec();
    spec.optopt("", "writes", "writes a second (400)", "N");
    spec.optopt("", "reads", "reads a second (2000)", "N");
    let Some((address, given)) = options::parse(&spec)? else {
        return Ok(());
    };
    let platform = platform::Platform::new(platform::Limits {
        writes: options::number(&given, "writes", 400)?,
        reads: options::number(&given, "reads", 2_000)?,
    });
    http::serve(address, move |req| platform.handle(req))
}
