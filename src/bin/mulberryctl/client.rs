//! Requests to the instances' admin addresses.

use crate::{config::Config, exit::Failure};
use eyre::{Report, Result, WrapErr, eyre};
use hyper::{Method, Request, StatusCode, header::AUTHORIZATION};
use mulberryspur::{
    admin::{ChangeReply, ErrorReply, ResourceList, Status},
    burn::ServiceBurn,
    http,
    pool::{self, Pool},
    registry::Change,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than the 30 seconds after which an instance responds to a watch without a new revision.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of the instances' admin addresses.
#[derive(Debug)]
pub(crate) struct Client<'a> {
    cfg: &'a Config,
    pool: Pool,
}

impl<'a> Client<'a> {
    pub(crate) fn new(cfg: &'a Config) -> Self {
        Self { cfg, pool: Pool::new(4) }
    }

    pub(crate) async fn resources(&self) -> Result<ResourceList> {
        self.call_any(Method::GET, "/v1/resources", &[], CALL_TIMEOUT).await
    }

    pub(crate) async fn watch(&self, since: u64) -> Result<ResourceList> {
        self.call_any(Method::GET, &format!("/v1/watch?since={since}"), &[], WATCH_TIMEOUT).await
    }

    pub(crate) async fn status(&self) -> Result<Status> {
        self.call_any(Method::GET, "/v1/status", &[], CALL_TIMEOUT).await
    }

    pub(crate) async fn change(&self, change: &Change) -> Result<ChangeReply> {
        let body = serde_json::to_vec(change)?;
        self.call_any(Method::POST, "/v1/change", &body, CALL_TIMEOUT).await
    }

    pub(crate) async fn object_names(&self) -> Result<Vec<String>> {
        self.call_any(Method::GET, "/v1/objects", &[], CALL_TIMEOUT).await
    }

    pub(crate) async fn object(&self, name: &str) -> Result<Vec<u8>> {
        let path = format!("/v1/objects?name={name}");
        self.call_any_bytes(Method::GET, &path, &[], CALL_TIMEOUT).await
    }

    /// Calls every address; returns the sums over the instances that responded, and their number.
    pub(crate) async fn burn(&self) -> Result<(Vec<ServiceBurn>, usize)> {
        let mut merged: Vec<ServiceBurn> = Vec::new();
        let mut responded = 0;
        for addr in &self.cfg.admin_addrs {
            let bytes = match self.call_one(*addr, Method::GET, "/v1/burn", &[], CALL_TIMEOUT).await
            {
                Ok(bytes) => bytes,
                Err(e) => {
                    eprintln!("mulberryctl: {addr}: {e:#}");
                    continue;
                }
            };
            responded += 1;
            for burn in serde_json::from_slice::<Vec<ServiceBurn>>(&bytes)? {
                match merged.iter_mut().find(|b| b.service == burn.service) {
                    Some(total) => total.merge(&burn),
                    None => merged.push(burn),
                }
            }
        }
        if responded == 0 {
            return Err(eyre!("no admin address responded"));
        }
        merged.sort_by(|a, b| a.service.cmp(&b.service));
        Ok((merged, responded))
    }

    async fn call_any<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<T> {
        let bytes = self.call_any_bytes(method, path, body, timeout).await?;
        serde_json::from_slice(&bytes).wrap_err("malformed response")
    }

    /// Calls the addresses in turn until one responds, or a call may have taken effect.
    async fn call_any_bytes(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        let mut last_error = eyre!("no admin address is given");
        for addr in &self.cfg.admin_addrs {
            match self.call_one(*addr, method.clone(), path, body, timeout).await {
                Ok(bytes) => return Ok(bytes),
                Err(e) if can_try_next(&e) => last_error = e.wrap_err(format!("{addr}")),
                Err(e) => return Err(e),
            }
        }
        Err(last_error)
    }

    async fn call_one(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.cfg.secret.expose()))
            .body(http::full_body(body.to_vec()))?;
        let (status, _, bytes) = pool::call(&self.pool, "call admin", addr, req, timeout).await?;
        if status.is_success() {
            return Ok(bytes.to_vec());
        }
        let text = serde_json::from_slice::<ErrorReply>(&bytes)
            .map_or_else(|_| String::from_utf8_lossy(&bytes).into_owned(), |r| r.error);
        let failure = match status {
            StatusCode::CONFLICT => Some(Failure::Conflict),
            StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => Some(Failure::Rejected),
            StatusCode::NOT_FOUND => Some(Failure::NotFound),
            _ => None,
        };
        Err(failure
            .map_or_else(|| eyre!("{status}: {text}"), |f| Report::new(f).wrap_err(text.clone())))
    }
}

/// Returns whether a call certainly had no effect, so that another address may be called.
fn can_try_next(e: &Report) -> bool {
    let had_no_effect = |c: &mulberryspur::Error| !c.may_have_taken_effect();
    e.chain().find_map(|c| c.downcast_ref::<mulberryspur::Error>()).is_some_and(had_no_effect)
}
