//! Program that runs the plain service stand-in.

use samphiresill_standins::{http, options, service};

fn main() -> anyhow::Result<()> {
    let Some((address, _)) = options::parse(&options::spec())? else {
        return Ok(());
    };
    let service = service::Service::default();
    http::serve(address, move |req| service.handle(req))
}
