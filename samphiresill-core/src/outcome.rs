//! What a caller is told about its request.

use std::time::Duration;

use derive_more::Display;

/// `Outcome` says whether the request ran, as far as the fleet can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The answer is whole and is the target's own.
    #[display("answered")]
    Answered,
    /// No target has run the request, and none will.
    #[display("not-run")]
    NotRun,
    /// A target may have run the request, wholly or in part.
    #[display("unknown")]
    Unknown,
}

/// `Refusal` is why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The key is missing or unknown.
    #[display("invalid_api_key")]
    InvalidKey,
    /// The body is not what the interface accepts.
    #[display("invalid_request")]
    InvalidRequest,
    /// No such path.
    #[display("not_found")]
    NotFound,
    /// The model is not in the configuration.
    #[display("model_not_found")]
    ModelNotFound,
    /// The body exceeds the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// The customer has as many requests waiting as it may have.
    #[display("queue_full")]
    QueueFull,
    /// The deadline passed while the request waited.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// The router is stopping or has no configuration yet.
    #[display("router_unavailable")]
    RouterUnavailable,
    /// The caller went away before its request was started.
    #[display("caller_gone")]
    CallerGone,
    /// No target serves this work at present.
    #[display("no_target")]
    NoTarget,
    /// The target refused or failed before it could have run the request.
    #[display("target_unavailable")]
    TargetUnavailable,
    /// The target failed after the request may have reached it.
    #[display("target_failed")]
    TargetFailed,
    /// The platform's table service could not confirm the claim on an idempotency key.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The idempotency key was used before with another request.
    #[display("idempotency_key_reused")]
    KeyReused,
    /// A request with the same idempotency key is still running.
    #[display("idempotency_in_progress")]
    InProgress,
    /// A request with the same idempotency key ended without a known result.
    #[display("idempotency_unknown")]
    KeyUnknown,
}

impl Refusal {
    /// The HTTP status that carries this refusal.
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

    /// The outcome that is true for every request that ends with this refusal.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::TargetFailed | Self::InProgress | Self::KeyUnknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// How long a caller should wait before it tries again, where waiting helps.
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
