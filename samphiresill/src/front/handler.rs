//! Handling of callers' requests: authentication, routing and dispatch to models and services.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use samphiresill_attempt::claim;
use samphiresill_attempt::failure::RetryClass;
use samphiresill_contract::change::Snapshot;
use samphiresill_contract::object::{Priority, Service};
use samphiresill_core::name::{CustomerName, KeyHash, RequestId, ServiceName};
use samphiresill_core::outcome::{Outcome, Refusal};
use samphiresill_core::units::Tokens;
use samphiresill_sched::queue::SlotRequest;
use tokio::sync::oneshot;

use super::answer::{self, Body};
use super::claims::{self, Admission, Claims};
use super::openai::{self, Endpoint, ModelCall};
use crate::forward::model::Generation;
use crate::forward::service::{self, ServiceCall, ServiceResponse};
use crate::forward::sink::{ResponseHead, ResponseSink};
use crate::shared::{InFlightGuard, Shared};

/// Maximum time that a response is delayed until its result is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// `Rejection` is a refusal with details for the caller.
struct Rejection {
    refusal: Refusal,
    detail: String,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: String::new(),
        }
    }
}

/// `RequestContext` is the state of a request that has been authenticated.
struct RequestContext {
    shared: Arc<Shared>,
    request: RequestId,
    customer: CustomerName,
    snapshot: Arc<Snapshot>,
    guard: Arc<InFlightGuard>,
}

/// Handles a request and returns its response.
pub async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let request = shared.next_request_id();
    match route_request(shared, &request, req).await {
        Ok(response) => response,
        Err(rejection) => {
            log::info!(request:%, refusal:% = rejection.refusal; "refused");
            answer::refuse(&request, rejection.refusal, &rejection.detail)
        }
    }
}

async fn route_request(
    shared: Arc<Shared>,
    request: &RequestId,
    req: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    if !shared.is_ready() {
        return Err(Refusal::RouterUnavailable.into());
    }
    let guard = Arc::new(shared.begin_request().ok_or(Refusal::RouterUnavailable)?);
    let snapshot = shared.config.current();
    let customer = authenticate(&snapshot, req.headers())?;
    let context = RequestContext {
        shared,
        request: request.clone(),
        customer,
        snapshot,
        guard,
    };
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            context.run_completion(Endpoint::Chat, req).await
        }
        (&Method::POST, "/v1/completions") => context.run_completion(Endpoint::Text, req).await,
        (&Method::GET, "/v1/models") => Ok(context.models()),
        _ => match find_service(&context.snapshot, &path) {
            Some((name, service)) => context.call_service(name, service, req).await,
            None => Err(Refusal::NotFound.into()),
        },
    }
}

fn authenticate(snapshot: &Snapshot, headers: &HeaderMap) -> Result<CustomerName, Refusal> {
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

fn find_service(snapshot: &Snapshot, path: &str) -> Option<(ServiceName, Service)> {
    let matches_prefix = |prefix: &str| {
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let services = snapshot.document.services.iter();
    let found = services
        .filter(|(_, s)| matches_prefix(&s.path))
        .max_by_key(|(_, s)| s.path.len());
    found.map(|(name, service)| (name.clone(), service.clone()))
}

impl RequestContext {
    fn models(&self) -> Response<Body> {
        let models = self.snapshot.document.models.keys().cloned().collect();
        let body = openai::model_list(&models);
        answer::complete(&self.request, 200, "application/json", body.into())
    }

    async fn run_completion(
        self,
        endpoint: Endpoint,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let body = read_body(&self.shared, req.into_body()).await?;
        let call = ModelCall::parse(endpoint, &body).map_err(|detail| Rejection {
            refusal: Refusal::InvalidRequest,
            detail,
        })?;
        let model = self.snapshot.document.models.get(&call.model);
        let model = model.ok_or_else(|| Rejection {
            refusal: Refusal::ModelNotFound,
            detail: format!("The model '{}' does not exist.", call.model),
        })?;
        let is_interactive = call.max_tokens <= u64::from(model.quick_tokens);
        let priority = if is_interactive {
            Priority::Interactive
        } else {
            Priority::Batch
        };
        let slot_request = self.new_slot_request(call.model.clone(), priority, call.cost_limit());
        let format = call.format(&self.request, unix_seconds(&self.shared));
        let write_timeout = Duration::from_millis(self.shared.settings.limits.write_ms);
        let (sink, head) = ResponseSink::new(format, write_timeout);
        let generation = Generation::new(Arc::clone(&self.shared), call, slot_request, sink);
        let (request, customer) = (self.request.clone(), self.customer);
        let (shared, guard) = (self.shared, self.guard);
        let body_guard = Arc::clone(&guard);
        tokio::spawn(async move {
            let start = shared.clock.monotonic();
            let outcome = generation.run().await;
            finish_request(&shared, guard, &request, &customer, outcome, start);
        });
        match head.await {
            Ok(ResponseHead::Stream(chunks)) => {
                Ok(answer::stream(&self.request, chunks, body_guard))
            }
            Ok(ResponseHead::Complete(body)) => Ok(answer::complete(
                &self.request,
                200,
                "application/json",
                body.into(),
            )),
            Ok(ResponseHead::Refused(refusal)) => Err(refusal.into()),
            Err(_) => Err(Refusal::TargetFailed.into()),
        }
    }

    async fn call_service(
        self,
        name: ServiceName,
        service: Service,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let is_idempotent = service.idempotent_methods.contains(req.method().as_str());
        let header = |name: &str| header_value(req.headers(), name);
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
            return Err(Rejection {
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
            retry_class: if is_idempotent {
                RetryClass::Idempotent
            } else {
                RetryClass::Once
            },
            response_timeout: Duration::from_millis(u64::from(service.answer_ms)),
        };
        call.body = read_body(&self.shared, req.into_body()).await?;
        let priority = if is_idempotent {
            Priority::Interactive
        } else {
            Priority::Batch
        };
        let slot_request =
            self.new_slot_request(name, priority, Tokens(u64::from(service.answer_ms)));
        let (mut tx, rx) = oneshot::channel();
        let (request, customer) = (self.request.clone(), self.customer);
        let (shared, guard) = (self.shared, self.guard);
        // The task continues if the caller disconnects, so that the result of a request that has
        // been sent to a target is recorded.
        tokio::spawn(async move {
            let start = shared.clock.monotonic();
            let result = run_service(&shared, call, slot_request, key, &mut tx).await;
            let outcome = match &result {
                Ok(_) => Outcome::Completed,
                Err(refusal) => refusal.outcome(),
            };
            // The caller may have disconnected.
            let _ = tx.send(result);
            finish_request(&shared, guard, &request, &customer, outcome, start);
        });
        let result = rx.await.unwrap_or(Err(Refusal::TargetFailed));
        let response = result?;
        Ok(answer::complete(
            &self.request,
            response.status,
            &response.content_type,
            response.body,
        ))
    }

    fn new_slot_request(
        &self,
        service: ServiceName,
        priority: Priority,
        limit: Tokens,
    ) -> SlotRequest {
        SlotRequest {
            request: self.request.clone(),
            customer: self.customer.clone(),
            service,
            priority,
            limit,
            deadline: self.shared.clock.monotonic() + self.shared.settings.queue_timeout(),
            is_retry: false,
        }
    }
}

type ServiceResult = Result<ServiceResponse, Refusal>;

/// Runs a service call, holding a claim if the request has an idempotency key.
async fn run_service(
    shared: &Arc<Shared>,
    call: ServiceCall,
    slot_request: SlotRequest,
    key: Option<String>,
    caller: &mut oneshot::Sender<ServiceResult>,
) -> ServiceResult {
    let caller_gone = pin!(caller.closed());
    let Some(key) = key else {
        return service::run(shared, &call, slot_request, caller_gone).await;
    };
    let claims = Claims::new(Arc::clone(&shared.table), Arc::clone(&shared.clock));
    let row_key = claim::row_key(&slot_request.customer, &key);
    let fingerprint = claim::fingerprint(&call.method, &call.path, &call.body);
    let attempt = slot_request.request.to_string();
    let admission = {
        let (claims, row_key) = (claims.clone(), row_key.clone());
        run_blocking(shared, move || {
            claims.claim_key(&row_key, fingerprint, attempt)
        })
        .await
    };
    let claim = match admission.unwrap_or(Err(Refusal::ClaimUnavailable))? {
        Admission::Run(claim) => claim,
        Admission::Replay(recorded) => {
            let body = recorded.body.into();
            let (status, content_type) = (recorded.status, recorded.content_type);
            return Ok(ServiceResponse {
                status,
                content_type,
                body,
            });
        }
    };
    let result = service::run(shared, &call, slot_request, caller_gone).await;
    let state = match &result {
        Ok(r) => Some(claims::recorded_state(r.status, &r.content_type, &r.body)),
        Err(refusal) if refusal.outcome() == Outcome::NotRun => None,
        Err(_) => Some(claim::State::Unknown),
    };
    let recording = run_blocking(shared, move || match state {
        Some(state) => claims.record(&row_key, &claim, state),
        None => claims.release(&row_key, &claim),
    });
    // The result is normally recorded before the caller gets its response. If the platform is slow,
    // recording continues in the background.
    let _ = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
    result
}

async fn run_blocking<T: Send + 'static>(
    shared: &Shared,
    call: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    shared.runtime.spawn_blocking(call).await.ok()
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let collected = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(limits.body_ms), collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::InvalidRequest),
        Err(_) => Err(Refusal::BodyTimeout),
    }
}

fn header_value(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
}

fn unix_seconds(shared: &Shared) -> u64 {
    shared
        .clock
        .wall()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

fn finish_request(
    shared: &Shared,
    guard: Arc<InFlightGuard>,
    request: &RequestId,
    customer: &CustomerName,
    outcome: Outcome,
    start: Duration,
) {
    let elapsed = shared.clock.monotonic().saturating_sub(start);
    shared.metrics.record_request(customer, outcome, elapsed);
    log::info!(request:%, customer:%, outcome:%, took_ms = elapsed.as_millis() as u64; "ended");
    drop(guard);
}
