//! Program that runs the platform stand-in: table service, object store and list of VMs.

use samphiresill_standins::{http, options, platform};

fn main() -> anyhow::Result<()> {
    let mut spec = options::spec();
    spec.optopt(
        "",
        "writes",
        "maximum writes per second (default: 400)",
        "N",
    );
    spec.optopt("", "reads", "maximum reads per second (default: 2000)", "N");
    let Some((address, matches)) = options::parse(&spec)? else {
        return Ok(());
    };
    let platform = platform::Platform::new(platform::RateLimits {
        writes: options::number(&matches, "writes", 400)?,
        reads: options::number(&matches, "reads", 2_000)?,
    });
    http::serve(address, move |req| platform.handle(req))
}
