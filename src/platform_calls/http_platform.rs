//! Platform client over HTTP.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    CreateOutcome, HostRecord, HttpClient, PlatformClient, PlatformError,
    platform_calls::http_client::http_client,
};

/// Client of the platform's object API and host list. Each call has the same timeout, and none is retried here.
#[derive(Debug)]
pub(crate) struct HttpPlatform {
    client: HttpClient,
    base_url: Arc<str>,
    call_timeout: Duration,
}

#[derive(Deserialize)]
struct ListedObject {
    key: Arc<str>,
}

/// One page of a list of objects. An empty page is the last one.
#[derive(Deserialize)]
struct ObjectPage {
    items: Vec<ListedObject>,
}

struct PlatformResponse {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    pub(crate) fn new(base_url: &str, call_timeout: Duration) -> Self {
        Self {
            client: http_client(call_timeout),
            base_url: base_url.trim_end_matches('/').into(),
            call_timeout,
        }
    }

    /// Makes a call and reads the whole response. A call with a value is conditional: the platform refuses it if the
    /// object exists.
    async fn call(
        &self,
        method: Method,
        path: &str,
        value: Option<Bytes>,
    ) -> Result<PlatformResponse, PlatformError> {
        let mut request = Request::builder().method(method).uri(format!("{}{path}", self.base_url));

        if value.is_some() {
            request = request.header(header::IF_NONE_MATCH, "*");
        }

        let request = request
            .body(Full::new(value.unwrap_or_default()))
            .map_err(|error| PlatformError::Unreachable { reason: error.to_string() })?;

        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                let reason = format!("{error}: {:?}", std::error::Error::source(&error));
                PlatformError::Unreachable { reason }
            })?;

            let status = response.status();

            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|error| PlatformError::Unreachable { reason: error.to_string() })?
                .to_bytes();

            Ok(PlatformResponse { status, body })
        };

        timeout(self.call_timeout, exchange).await.unwrap_or(Err(PlatformError::Overdue))
    }

    /// Gets and parses a JSON document.
    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let response = self.call(Method::GET, path, None).await?;

        if response.status != StatusCode::OK {
            return Err(PlatformError::Refused { status: response.status.as_u16() });
        }

        serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::Malformed { reason: error.to_string() })
    }
}

#[async_trait]
impl PlatformClient for HttpPlatform {
    async fn create(&self, key: &str, value: Bytes) -> Result<CreateOutcome, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let response = self.call(Method::PUT, &path, Some(value)).await?;

        match response.status {
            StatusCode::CREATED => Ok(CreateOutcome::Created),
            StatusCode::PRECONDITION_FAILED => Ok(CreateOutcome::Exists),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let response = self.call(Method::DELETE, &format!("/v1/objects/{key}"), None).await?;

        match response.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let response = self.call(Method::GET, &format!("/v1/objects/{key}"), None).await?;

        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>, PlatformError> {
        self.get_json("/v1/hosts").await
    }

    fn is_available(&self) -> bool {
        true
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        let mut keys: Vec<Arc<str>> = Vec::new();
        let mut after: Arc<str> = after.into();

        loop {
            let path = format!("/v1/objects?prefix={prefix}&after={after}");
            let page: ObjectPage = self.get_json(&path).await?;

            let Some(last) = page.items.last() else {
                return Ok(keys);
            };

            after = Arc::clone(&last.key);
            keys.extend(page.items.into_iter().map(|object| object.key));
        }
    }
}
