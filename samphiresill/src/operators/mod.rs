//! gRPC server for operators. Each call is authenticated with an operator's key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use samphiresill_contract::change::{self, Change, Snapshot};
use samphiresill_contract::error::Error as ContractError;
use samphiresill_core::name::{KeyHash, VmName};
use samphiresill_proto::convert;
use samphiresill_proto::generated::operators_server::{Operators, OperatorsServer};
use samphiresill_proto::generated::{
    ApplyReply, ApplyRequest, GetReply, GetRequest, RouterStatus, StatusReply, StatusRequest,
};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::config::log as change_log;
use crate::peer::driver::MembershipView;
use crate::peer::frame::Item;
use crate::peer::links::Links;
use crate::shared::Shared;

/// Interval at which routers that may lag behind are queried for their revision.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that a call waits for a change to come into force.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Maximum length of a change ID, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

struct OperatorService {
    shared: Arc<Shared>,
    view: Arc<MembershipView>,
    links: Links,
}

#[derive(Clone)]
struct Authenticator(Arc<Shared>);

impl Interceptor for Authenticator {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        let header = req
            .metadata()
            .get("authorization")
            .and_then(|v| v.to_str().ok());
        let key = header
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(KeyHash::of_key);
        let known_hashes = &self.0.settings.operator_key_hashes;
        match key {
            Some(hash) if known_hashes.contains(&hash) => Ok(req),
            _ => Err(Status::unauthenticated(
                "the operator's key is missing or not known",
            )),
        }
    }
}

/// Starts the server, which runs until the runtime shuts down.
///
/// # Errors
/// If the address cannot be bound.
pub fn start(
    address: SocketAddr,
    shared: Arc<Shared>,
    view: Arc<MembershipView>,
    links: Links,
) -> anyhow::Result<()> {
    let _guard = shared.runtime.enter();
    let incoming = TcpIncoming::bind(address)
        .map_err(|e| anyhow::anyhow!("cannot listen on {address}: {e}"))?
        .with_nodelay(Some(true));
    let authenticator = Authenticator(Arc::clone(&shared));
    let service = OperatorsServer::new(OperatorService {
        shared,
        view,
        links,
    });
    let service = InterceptedService::new(service, authenticator);
    tokio::spawn(async move {
        if let Err(e) = Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming)
            .await
        {
            log::error!(error:% = e; "gRPC server for operators failed");
        }
    });
    Ok(())
}

#[tonic::async_trait]
impl Operators for OperatorService {
    async fn apply(&self, req: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let req = req.into_inner();
        let change = parse_change(&req)?;
        let base = self.shared.config.current();
        if req.dry_run {
            let next = self.append(base, change, true).await?;
            let reply = ApplyReply {
                revision: next.revision,
                ..ApplyReply::default()
            };
            return Ok(Response::new(reply));
        }
        let start = self.shared.clock.monotonic();
        let revision = self.append(base, change, false).await?.revision;
        let wait = Duration::from_millis(u64::from(req.wait_ms)).min(MAX_WAIT);
        let lagging = if wait.is_zero() {
            Vec::new()
        } else {
            self.wait_until_in_force(revision, wait).await
        };
        let elapsed = self.shared.clock.monotonic().saturating_sub(start);
        let is_in_force = !wait.is_zero() && lagging.is_empty();
        Ok(Response::new(ApplyReply {
            revision,
            lagging: lagging.iter().map(ToString::to_string).collect(),
            in_force_ms: if is_in_force {
                elapsed.as_millis() as u32
            } else {
                0
            },
        }))
    }

    async fn get(&self, _: Request<GetRequest>) -> Result<Response<GetReply>, Status> {
        let snapshot = self.shared.config.current();
        let objects = convert::objects_to_proto(&snapshot);
        Ok(Response::new(GetReply {
            revision: snapshot.revision,
            objects,
        }))
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        let usable = self.view.usable();
        let revisions = self.revisions();
        let router = |vm: &VmName| RouterStatus {
            vm: vm.to_string(),
            domain: usable.get(vm).map(ToString::to_string).unwrap_or_default(),
            revision: revisions.get(vm).copied().unwrap_or(0),
        };
        let gauges = self.shared.dispatcher.gauges();
        let current = self.shared.config.current();
        let evacuated = current.document.evacuations.iter();
        Ok(Response::new(StatusReply {
            vm: self.shared.settings.vm.to_string(),
            revision: current.revision,
            evacuated: evacuated.map(ToString::to_string).collect(),
            routers: usable.keys().map(router).collect(),
            waiting: gauges.waiting.load(Ordering::Relaxed) as u64,
            running: gauges.running.load(Ordering::Relaxed) as u64,
            pools: gauges.pools.load(Ordering::Relaxed) as u64,
        }))
    }
}

impl OperatorService {
    async fn append(
        &self,
        base: Arc<Snapshot>,
        change: Change,
        is_dry_run: bool,
    ) -> Result<Snapshot, Status> {
        let table = Arc::clone(&self.shared.table);
        let task = self.shared.runtime.spawn_blocking(move || {
            if is_dry_run {
                let base = change_log::catch_up(table.as_ref(), &base)?;
                return Ok(change::apply(&base, &change)?);
            }
            change_log::append(table.as_ref(), &base, &change)
        });
        let result = task.await.map_err(|e| Status::internal(e.to_string()))?;
        let next = result.map_err(|e| to_status(&e))?;
        if !is_dry_run && self.shared.config.advance(next.clone()) {
            self.shared.publish_topology(&self.view.usable());
        }
        Ok(next)
    }

    /// Waits until a revision is in force on all usable routers, or until the timeout. Returns the
    /// routers on which it is not in force.
    async fn wait_until_in_force(&self, revision: u64, timeout: Duration) -> Vec<VmName> {
        let deadline = self.shared.clock.monotonic() + timeout;
        loop {
            let lagging: Vec<VmName> = self
                .revisions()
                .into_iter()
                .filter(|(_, in_force)| *in_force < revision)
                .map(|(vm, _)| vm)
                .collect();
            if lagging.is_empty() || self.shared.clock.monotonic() >= deadline {
                return lagging;
            }
            for vm in &lagging {
                self.links.send(vm, Item::AskRevision);
            }
            tokio::time::sleep(REVISION_POLL_INTERVAL).await;
        }
    }

    /// Returns the last known revision in force of each usable router, including this one.
    fn revisions(&self) -> BTreeMap<VmName, u64> {
        let mut revisions = self.view.revisions();
        let own = self.shared.config.current().revision;
        revisions.insert(self.shared.settings.vm.clone(), own);
        revisions
    }
}

fn parse_change(req: &ApplyRequest) -> Result<Change, Status> {
    if req.change_id.is_empty() || req.change_id.len() > MAX_CHANGE_ID_BYTES {
        return Err(Status::invalid_argument(
            "change_id: accepted: 1 to 128 bytes",
        ));
    }
    if req.operations.is_empty() {
        return Err(Status::invalid_argument(
            "operations: none; accepted: one or more",
        ));
    }
    let operations = req
        .operations
        .iter()
        .cloned()
        .map(convert::operation_from_proto);
    let operations = operations.collect::<Result<_, _>>();
    let operations = operations.map_err(|e| Status::invalid_argument(e.to_string()))?;
    Ok(Change {
        change_id: req.change_id.clone(),
        operations,
    })
}

fn to_status(error: &change_log::Error) -> Status {
    let text = error.to_string();
    match error {
        change_log::Error::Rejected(ContractError::Conflict { .. }) => Status::aborted(text),
        change_log::Error::Rejected(_) => Status::invalid_argument(text),
        change_log::Error::Platform(_) => Status::unavailable(format!(
            "{text}; nothing is in force yet, and the call may be repeated with the same change_id"
        )),
        change_log::Error::Busy => Status::unavailable(text),
        change_log::Error::Damaged { .. } => Status::data_loss(text),
    }
}
