//! What becomes of one request of a caller.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use samphiresill_attempt::claim;
use samphiresill_attempt::failure::Nature;
use samphiresill_contract::change::Snapshot;
use samphiresill_contract::object::{Priority, Service};
use samphiresill_core::name::{CustomerName, KeyHash, RequestId, ServiceName};
use samphiresill_core::outcome::{Outcome, Refusal};
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::Work;
use tokio::sync::oneshot;

use super::answer::{self, Body};
use super::claims::{self, Admission, Claims};
use super::openai::{self, Endpoint, ModelCall};
use crate::forward::model::Generation;
use crate::forward::service::{self, ServiceAnswer, ServiceCall};
use crate::forward::sink::{Head, Sink};
use crate::shared::{AtWork, Shared};

/// Longest time that an answer waits for its record.
const RECORD_WAIT: Duration = Duration::from_millis(300);
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// `Denial` is a refusal with what the caller should know about it.
struct Denial {
    refusal: Refusal,
    detail: String,
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: String::new(),
        }
    }
}

/// `Exchange` is one request with what is known of it from its head.
struct Exchange {
    shared: Arc<Shared>,
    request: RequestId,
    customer: CustomerName,
    snapshot: Arc<Snapshot>,
    guard: Arc<AtWork>,
}

/// Answers one request.
pub async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let request = shared.next_request_id();
    match admit_and_run(shared, &request, req).await {
        Ok(response) => response,
        Err(denial) => {
            log::info!(request:%, refusal:% = denial.refusal; "refused");
            answer::refuse(&request, denial.refusal, &denial.detail)
        }
    }
}

async fn admit_and_run(
    shared: Arc<Shared>,
    request: &RequestId,
    req: Request<Incoming>,
) -> Result<Response<Body>, Denial> {
    if !shared.is_ready() {
        return Err(Refusal::RouterUnavailable.into());
    }
    let guard = Arc::new(shared.begin_work().ok_or(Refusal::RouterUnavailable)?);
    let snapshot = shared.config.current();
    let customer = customer_of(&snapshot, req.headers())?;
    let exchange = Exchange {
        shared,
        request: request.clone(),
        customer,
        snapshot,
        guard,
    };
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => exchange.complete(Endpoint::Chat, req).await,
        (&Method::POST, "/v1/completions") => exchange.complete(Endpoint::Text, req).await,
        (&Method::GET, "/v1/models") => Ok(exchange.models()),
        _ => match service_of(&exchange.snapshot, &path) {
            Some((name, service)) => exchange.call_service(name, service, req).await,
            None => Err(Refusal::NotFound.into()),
        },
    }
}

fn customer_of(snapshot: &Snapshot, headers: &HeaderMap) -> Result<CustomerName, Refusal> {
    let header = headers.get("authorization").and_then(|v| v.to_str().ok());
    let key = header
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or(Refusal::InvalidKey)?;
    let hash = KeyHash::of_key(key.trim());
    snapshot
        .document
        .customer_of_key(&hash)
        .cloned()
        .ok_or(Refusal::InvalidKey)
}

fn service_of(snapshot: &Snapshot, path: &str) -> Option<(ServiceName, Service)> {
    let is_below = |base: &str| {
        path.strip_prefix(base)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let services = snapshot.document.services.iter();
    let found = services
        .filter(|(_, s)| is_below(&s.path))
        .max_by_key(|(_, s)| s.path.len());
    found.map(|(name, service)| (name.clone(), service.clone()))
}

impl Exchange {
    fn models(&self) -> Response<Body> {
        let models = self.snapshot.document.models.keys().cloned().collect();
        let body = openai::model_list(&models);
        answer::whole(&self.request, 200, "application/json", body.into())
    }

    async fn complete(
        self,
        endpoint: Endpoint,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Denial> {
        let body = read_body(&self.shared, req.into_body()).await?;
        let call = ModelCall::parse(endpoint, &body).map_err(|detail| Denial {
            refusal: Refusal::InvalidRequest,
            detail,
        })?;
        let model = self.snapshot.document.models.get(&call.model);
        let model = model.ok_or_else(|| Denial {
            refusal: Refusal::ModelNotFound,
            detail: format!("The model '{}' does not exist.", call.model),
        })?;
        let is_quick = call.max_tokens <= u64::from(model.quick_tokens);
        let urgency = if is_quick {
            Priority::Interactive
        } else {
            Priority::Batch
        };
        let work = self.work(call.model.clone(), urgency, call.cost_limit());
        let format = call.format(&self.request, wall_seconds(&self.shared));
        let write_timeout = Duration::from_millis(self.shared.settings.limits.write_ms);
        let (sink, head) = Sink::new(format, write_timeout);
        let generation = Generation::new(Arc::clone(&self.shared), call, work, sink);
        let (request, customer) = (self.request.clone(), self.customer);
        let (shared, guard) = (self.shared, self.guard);
        let for_body = Arc::clone(&guard);
        tokio::spawn(async move {
            let start = shared.clock.monotonic();
            let outcome = generation.run().await;
            end(&shared, guard, &request, &customer, outcome, start);
        });
        match head.await {
            Ok(Head::Stream(pieces)) => Ok(answer::stream(&self.request, pieces, for_body)),
            Ok(Head::Whole(body)) => Ok(answer::whole(
                &self.request,
                200,
                "application/json",
                body.into(),
            )),
            Ok(Head::Refused(refusal)) => Err(refusal.into()),
            Err(_) => Err(Refusal::TargetFailed.into()),
        }
    }

    async fn call_service(
        self,
        name: ServiceName,
        service: Service,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Denial> {
        let is_idempotent = service.idempotent_methods.contains(req.method().as_str());
        let header = |name: &str| header_of(req.headers(), name);
        let key = if is_idempotent {
            None
        } else {
            header("idempotency-key")
        };
        if key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_IDEMPOTENCY_KEY_BYTES)
        {
            let detail = "'Idempotency-Key' must have 1 to 256 bytes.".to_owned();
            return Err(Denial {
                refusal: Refusal::InvalidRequest,
                detail,
            });
        }
        let mut call = ServiceCall {
            method: req.method().to_string(),
            path: req
                .uri()
                .path_and_query()
                .map_or("/", |p| p.as_str())
                .to_owned(),
            content_type: header("content-type"),
            body: Bytes::new(),
            nature: if is_idempotent {
                Nature::Idempotent
            } else {
                Nature::Once
            },
            answer_time: Duration::from_millis(u64::from(service.answer_ms)),
        };
        call.body = read_body(&self.shared, req.into_body()).await?;
        let urgency = if is_idempotent {
            Priority::Interactive
        } else {
            Priority::Batch
        };
        let work = self.work(name, urgency, Tokens(u64::from(service.answer_ms)));
        let (mut tx, rx) = oneshot::channel();
        let (request, customer) = (self.request.clone(), self.customer);
        let (shared, guard) = (self.shared, self.guard);
        // The call goes on when its caller leaves: what has been sent is recorded.
        tokio::spawn(async move {
            let start = shared.clock.monotonic();
            let result = run_service(&shared, call, work, key, &mut tx).await;
            let outcome = match &result {
                Ok(_) => Outcome::Answered,
                Err(refusal) => refusal.outcome(),
            };
            // A caller that is gone does not need its answer.
            let _ = tx.send(result);
            end(&shared, guard, &request, &customer, outcome, start);
        });
        let result = rx.await.unwrap_or(Err(Refusal::TargetFailed));
        let answer = result?;
        Ok(answer::whole(
            &self.request,
            answer.status,
            &answer.content_type,
            answer.body,
        ))
    }

    fn work(&self, work: ServiceName, urgency: Priority, limit: Tokens) -> Work {
        Work {
            request: self.request.clone(),
            customer: self.customer.clone(),
            work,
            urgency,
            limit,
            deadline: self.shared.clock.monotonic() + self.shared.settings.wait(),
            is_retry: false,
        }
    }
}

type ServiceResult = Result<ServiceAnswer, Refusal>;

/// Runs a call, under a claim when it came with an idempotency key.
async fn run_service(
    shared: &Arc<Shared>,
    call: ServiceCall,
    work: Work,
    key: Option<String>,
    caller: &mut oneshot::Sender<ServiceResult>,
) -> ServiceResult {
    let caller_gone = pin!(caller.closed());
    let Some(key) = key else {
        return service::run(shared, &call, work, caller_gone).await;
    };
    let claims = Claims::new(Arc::clone(&shared.table), Arc::clone(&shared.clock));
    let row_key = claim::row_key(&work.customer, &key);
    let fingerprint = claim::fingerprint(&call.method, &call.path, &call.body);
    let attempt = work.request.to_string();
    let admission = {
        let (claims, row_key) = (claims.clone(), row_key.clone());
        blocking(shared, move || claims.admit(&row_key, fingerprint, attempt)).await
    };
    let held = match admission.unwrap_or(Err(Refusal::ClaimUnavailable))? {
        Admission::Run(claim) => claim,
        Admission::Replay(recorded) => {
            let body = recorded.body.into();
            let (status, content_type) = (recorded.status, recorded.content_type);
            return Ok(ServiceAnswer {
                status,
                content_type,
                body,
            });
        }
    };
    let result = service::run(shared, &call, work, caller_gone).await;
    let state = match &result {
        Ok(a) => Some(claims::recordable(a.status, &a.content_type, &a.body)),
        Err(refusal) if refusal.outcome() == Outcome::NotRun => None,
        Err(_) => Some(claim::State::Unknown),
    };
    let recording = blocking(shared, move || match state {
        Some(state) => claims.record(&row_key, &held, state),
        None => claims.abandon(&row_key, &held),
    });
    // A caller that has its answer finds it recorded, unless the platform is slow: then recording
    // goes on without the caller.
    let _ = tokio::time::timeout(RECORD_WAIT, recording).await;
    result
}

async fn blocking<T: Send + 'static>(
    shared: &Shared,
    act: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    shared.runtime.spawn_blocking(act).await.ok()
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(limits.body_ms), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::InvalidRequest),
        Err(_) => Err(Refusal::BodyTimeout),
    }
}

fn header_of(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
}

fn wall_seconds(shared: &Shared) -> u64 {
    shared
        .clock
        .wall()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

fn end(
    shared: &Shared,
    guard: Arc<AtWork>,
    request: &RequestId,
    customer: &CustomerName,
    outcome: Outcome,
    start: Duration,
) {
    let took = shared.clock.monotonic().saturating_sub(start);
    shared.metrics.ended(customer, outcome, took);
    log::info!(request:%, customer:%, outcome:%, took_ms = took.as_millis() as u64; "ended");
    drop(guard);
}
