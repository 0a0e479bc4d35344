//! Request outcomes and refusals, as reported to callers.

use std::time::Duration;

use derive_more::Display;

/// `Outcome` indicates whether a request was executed, as far as the router can determine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The response is complete and comes from a target.
    #[display("answered")]
    Completed,
    /// No target has executed the request, and none will.
    #[display("not-run")]
    NotRun,
    /// A target may have executed the request, completely or in part.
    #[display("unknown")]
    Unknown,
}

/// `Refusal` is the reason why a request ends without a response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The API key is missing or unknown.
    #[display("invalid_api_key")]
    InvalidKey,
    /// The request is malformed.
    #[display("invalid_request")]
    InvalidRequest,
    /// No route matches the path.
    #[display("not_found")]
    NotFound,
    /// The configuration has no such model.
    #[display("model_not_found")]
    ModelNotFound,
    /// The body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body was not received within the time limit.
    #[display("body_timeout")]
    BodyTimeout,
    /// The customer has reached its limit of waiting requests.
    #[display("queue_full")]
    QueueFull,
    /// The deadline expired while the request was queued.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// The router is shutting down or has no configuration yet.
    #[display("router_unavailable")]
    RouterUnavailable,
    /// The caller disconnected before its request was started.
    #[display("caller_gone")]
    CallerGone,
    /// No target currently serves this model or service.
    #[display("no_target")]
    NoTarget,
    /// The target rejected the request or failed before it could have executed it.
    #[display("target_unavailable")]
    TargetUnavailable,
    /// The target failed after it may have received the request.
    #[display("target_failed")]
    TargetFailed,
    /// The table service did not confirm the claim on the idempotency key.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The idempotency key was already used for a different request.
    #[display("idempotency_key_reused")]
    KeyReused,
    /// A request with the same idempotency key is still in progress.
    #[display("idempotency_in_progress")]
    InProgress,
    /// The result of an earlier request with the same idempotency key is unknown.
    #[display("idempotency_unknown")]
    KeyUnknown,
}

impl Refusal {
    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidKey => 401,
            Self::InvalidRequest | Self::CallerGone => 400,
            Self::NotFound | Self::ModelNotFound => 404,
            Self::BodyTooLarge => 413,
            Self::BodyTimeout => 408,
            Self::QueueFull => 429,
            Self::DeadlineExceeded => 504,
            Self::RouterUnavailable
            | Self::NoTarget
            | Self::TargetUnavailable
            | Self::ClaimUnavailable => 503,
            Self::TargetFailed => 502,
            Self::KeyReused => 422,
            Self::InProgress | Self::KeyUnknown => 409,
        }
    }

    /// Returns the outcome that holds for every request that ends with this refusal.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::TargetFailed | Self::InProgress | Self::KeyUnknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the delay for the `Retry-After` header, for refusals that a later retry may resolve.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::QueueFull | Self::NoTarget | Self::ClaimUnavailable => {
                Some(Duration::from_secs(2))
            }
            Self::RouterUnavailable | Self::TargetUnavailable | Self::InProgress => {
                Some(Duration::from_secs(1))
            }
            _ => None,
        }
    }
}
