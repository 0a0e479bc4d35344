//! A TCP listener with a limit on concurrent connections and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// `Occupancy` counts the open connections of a listener.
#[derive(Clone, Debug)]
pub struct Occupancy {
    free: Arc<Semaphore>,
    max: usize,
}

impl Occupancy {
    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.max - self.free.available_permits()
    }

    /// Whether more than this fraction of the maximum number of connections is open.
    #[must_use]
    pub fn exceeds(&self, fraction: f64) -> bool {
        self.open() as f64 > self.max as f64 * fraction
    }
}

/// `Accepted` is an accepted connection.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// Becomes true when the connection should close after its next response.
    pub closing: watch::Receiver<bool>,
    /// Open connections of the listener.
    pub occupancy: Occupancy,
}

/// `Listener` accepts connections until it is closed.
#[derive(Debug)]
pub struct Listener {
    closing: watch::Sender<bool>,
    occupancy: Occupancy,
}

impl Listener {
    /// Listens on an address and runs `serve` for each connection, for at most `max` connections at
    /// a time. `purpose` names the address in errors.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start<F>(
        address: SocketAddr,
        purpose: &'static str,
        max: usize,
        serve: impl Fn(Accepted) -> F + Send + 'static,
    ) -> anyhow::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} for {purpose}"))?;
        let occupancy = Occupancy {
            free: Arc::new(Semaphore::new(max)),
            max,
        };
        let (closing, closed) = watch::channel(false);
        tokio::spawn(accept(listener, purpose, occupancy.clone(), closed, serve));
        Ok(Self { closing, occupancy })
    }

    /// Stops accepting connections, except those that already wait, and signals the open ones to close.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.occupancy.open()
    }
}

async fn accept<F>(
    listener: TcpListener,
    purpose: &'static str,
    occupancy: Occupancy,
    mut closing: watch::Receiver<bool>,
    serve: impl Fn(Accepted) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&occupancy.free).acquire_owned() => permit,
            Ok(()) = closing.changed() => break,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // When the `Listener` is dropped without `close`, the loop continues to accept.
            Ok(()) = closing.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, permit, &closing, &occupancy, &serve),
            Err(e) => {
                log::warn!(purpose, error:% = e; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = serve_waiting(listener, &closing, &occupancy, &serve) {
        log::debug!(purpose, error:% = e; "no more connections wait");
    }
}

/// Serves the connections that the kernel has accepted before the listener closes; closing the
/// socket would reset them, with requests that the callers have sent.
fn serve_waiting<F>(
    listener: TcpListener,
    closing: &watch::Receiver<bool>,
    occupancy: &Occupancy,
    serve: &impl Fn(Accepted) -> F,
) -> io::Result<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    // The runtime may not have noticed the connections yet; the socket itself knows them.
    let listener = listener.into_std()?;
    while let Ok(permit) = Arc::clone(&occupancy.free).try_acquire_owned() {
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        spawn_connection(stream, permit, closing, occupancy, serve);
    }
    Ok(())
}

fn spawn_connection<F>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    closing: &watch::Receiver<bool>,
    occupancy: &Occupancy,
    serve: &impl Fn(Accepted) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let connection = serve(Accepted {
        stream,
        closing: closing.clone(),
        occupancy: occupancy.clone(),
    });
    tokio::spawn(async move {
        connection.await;
        drop(permit);
    });
}
