//! HTTP server for health checks of the load balancer and for metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::anyhow;
use tiny_http::{Request, Response, Server};

use crate::shared::Shared;

/// Starts a thread that serves `/healthz`, `/readyz` and `/metrics`.
///
/// # Errors
/// If the address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, shared: Arc<Shared>) -> anyhow::Result<()> {
    let server = Server::http(address).map_err(|e| anyhow!("cannot listen on {address}: {e}"))?;
    std::thread::Builder::new()
        .name("operations".into())
        .spawn(move || {
            for req in server.incoming_requests() {
                respond(&shared, req);
            }
        })?;
    Ok(())
}

fn respond(shared: &Shared, req: Request) {
    let gauges = shared.dispatcher.gauges();
    let (status, text) = match req.url() {
        "/healthz" => (200, "ok\n".to_owned()),
        "/readyz" if shared.is_ready() => (200, "ready\n".to_owned()),
        "/readyz" => (503, "not ready\n".to_owned()),
        "/metrics" => {
            use std::sync::atomic::Ordering::Relaxed;
            let state = format!(
                "samphiresill_waiting {}\nsamphiresill_running {}\nsamphiresill_pools {}\n\
                 samphiresill_config_revision {}\nsamphiresill_at_work {}\n",
                gauges.waiting.load(Relaxed),
                gauges.running.load(Relaxed),
                gauges.pools.load(Relaxed),
                shared.config.current().revision,
                shared.in_flight(),
            );
            (200, shared.metrics.text() + &state)
        }
        _ => (404, "no such path\n".to_owned()),
    };
    // The client may have disconnected.
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}
