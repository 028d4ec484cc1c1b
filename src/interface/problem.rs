//! Error responses to callers and operators, in the format of RFC 9457.

use std::sync::Arc;

use axum::{
    http::{HeaderName, HeaderValue, header},
    response::{IntoResponse, Response},
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ProblemKind, RequestOutcome};

/// Header that states the outcome of a request.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("ragwortknot-outcome");

/// Prefix of the `type` of every problem. Types don't change between releases, so clients can match them.
const TYPE_PREFIX: &str = "urn:ragwortknot:problem:";

/// A refused or failed request, with its outcome and the time after which the caller may retry.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize, derive_more::Error)]
#[display("{kind}: {detail}")]
pub(crate) struct Problem {
    pub(crate) kind: ProblemKind,
    pub(crate) detail: Arc<str>,
    pub(crate) outcome: RequestOutcome,
    pub(crate) retry_after_s: Option<u64>,
}

impl Problem {
    /// A problem of this attempt. Earlier attempts with the same number may have run.
    pub(crate) fn failed(kind: ProblemKind, detail: impl Into<Arc<str>>) -> Self {
        Self { kind, detail: detail.into(), outcome: RequestOutcome::Failed, retry_after_s: None }
    }

    /// A problem of a request that has not run in this attempt. Only the owner can confirm it, and it keeps the outcome
    /// only if no other attempt may have run.
    pub(crate) fn not_run(kind: ProblemKind, detail: impl Into<Arc<str>>) -> Self {
        Self { outcome: RequestOutcome::NotRun, ..Self::failed(kind, detail) }
    }

    /// A problem of a request that may have run.
    pub(crate) fn unknown(kind: ProblemKind, detail: impl Into<Arc<str>>) -> Self {
        Self { outcome: RequestOutcome::Unknown, ..Self::failed(kind, detail) }
    }

    /// Returns the problem without the statement that the request has not run.
    pub(crate) fn without_not_run(self) -> Self {
        match self.outcome {
            RequestOutcome::NotRun => Self { outcome: RequestOutcome::Failed, ..self },
            _ => self,
        }
    }

    /// Sets the time after which the caller may retry, in seconds.
    pub(crate) fn retry_after(self, seconds: u64) -> Self {
        Self { retry_after_s: Some(seconds), ..self }
    }
}

/// Body of an error response.
#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: RequestOutcome,
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = self.kind.status();

        let body = ProblemBody {
            r#type: format!("{TYPE_PREFIX}{}", self.kind),
            title: self.kind.title(),
            status: status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
        };

        let text = serde_json::to_string(&body).unwrap_or_default();
        let mut response = (status, text).into_response();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);

        if let Ok(outcome) = HeaderValue::from_str(&self.outcome.to_string()) {
            headers.insert(OUTCOME_HEADER, outcome);
        }

        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }

        response
    }
}
