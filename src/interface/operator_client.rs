//! Client of the API for operators, used by the command line.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use serde_json::Value;

use crate::platform_calls::http_client::http_client;

/// How long the client waits for a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of one host's API, with the operators' key.
#[derive(Clone, Debug)]
pub(crate) struct OperatorClient {
    pub(crate) url: String,
    pub(crate) key: String,
}

impl OperatorClient {
    pub(crate) async fn get(&self, path: &str) -> Result<Value> {
        self.send(Method::GET, path, None, String::new()).await
    }

    pub(crate) async fn patch(&self, path: &str, number: u64, body: String) -> Result<Value> {
        self.send(Method::PATCH, path, Some(number), body).await
    }

    pub(crate) async fn post(&self, path: &str) -> Result<Value> {
        self.send(Method::POST, path, None, String::new()).await
    }

    /// Sends a request and returns the JSON body of the response. If the status isn't a success, the error contains the
    /// title and the detail of the problem.
    async fn send(
        &self,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: String,
    ) -> Result<Value> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));

        if let Some(number) = if_match {
            request = request.header(header::IF_MATCH, number.to_string());
        }

        let request = request.body(Full::from(body)).wrap_err("the URL of the host is invalid")?;

        let response = http_client(CONNECT_TIMEOUT)
            .request(request)
            .await
            .wrap_err_with(|| format!("host {} can't be reached", self.url))?;

        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        let value: Value = serde_json::from_slice(&body).wrap_err("the response is not JSON")?;

        if !status.is_success() {
            let title = value["title"].as_str().unwrap_or("refused");
            bail!("{title}: {}", value["detail"].as_str().unwrap_or_default());
        }

        Ok(value)
    }
}
