//! Requests to the admin addresses.

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

const LIMIT: Duration = Duration::from_secs(10);
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Client of the admin addresses.
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
        self.any(Method::GET, "/v1/resources", &[], LIMIT).await
    }

    pub(crate) async fn watch(&self, since: u64) -> Result<ResourceList> {
        self.any(Method::GET, &format!("/v1/watch?since={since}"), &[], WATCH_LIMIT).await
    }

    pub(crate) async fn status(&self) -> Result<Status> {
        self.any(Method::GET, "/v1/status", &[], LIMIT).await
    }

    pub(crate) async fn change(&self, change: &Change) -> Result<ChangeReply> {
        let body = serde_json::to_vec(change)?;
        self.any(Method::POST, "/v1/change", &body, LIMIT).await
    }

    pub(crate) async fn object_names(&self) -> Result<Vec<String>> {
        self.any(Method::GET, "/v1/objects", &[], LIMIT).await
    }

    pub(crate) async fn object(&self, name: &str) -> Result<Vec<u8>> {
        let path = format!("/v1/objects?name={name}");
        self.any_bytes(Method::GET, &path, &[], LIMIT).await
    }

    /// Asks every address; the result is the sum of what answered, and the number that did.
    pub(crate) async fn burn(&self) -> Result<(Vec<ServiceBurn>, usize)> {
        let mut merged: Vec<ServiceBurn> = Vec::new();
        let mut answered = 0;
        for addr in &self.cfg.admin_addrs {
            let bytes = match self.one(*addr, Method::GET, "/v1/burn", &[], LIMIT).await {
                Ok(bytes) => bytes,
                Err(e) => {
                    eprintln!("mulberryctl: {addr}: {e:#}");
                    continue;
                }
            };
            answered += 1;
            for burn in serde_json::from_slice::<Vec<ServiceBurn>>(&bytes)? {
                match merged.iter_mut().find(|b| b.service == burn.service) {
                    Some(known) => known.merge(&burn),
                    None => merged.push(burn),
                }
            }
        }
        if answered == 0 {
            return Err(eyre!("no admin address answered"));
        }
        merged.sort_by(|a, b| a.service.cmp(&b.service));
        Ok((merged, answered))
    }

    async fn any<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<T> {
        let bytes = self.any_bytes(method, path, body, limit).await?;
        serde_json::from_slice(&bytes).wrap_err("malformed answer")
    }

    /// Asks the addresses in turn until one can be reached.
    async fn any_bytes(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>> {
        let mut last = eyre!("no admin address is given");
        for addr in &self.cfg.admin_addrs {
            match self.one(*addr, method.clone(), path, body, limit).await {
                Ok(bytes) => return Ok(bytes),
                Err(e) if may_try_next(&e) => last = e.wrap_err(format!("{addr}")),
                Err(e) => return Err(e),
            }
        }
        Err(last)
    }

    async fn one(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.cfg.secret.expose()))
            .body(http::full_body(body.to_vec()))?;
        let (status, _, bytes) = pool::call(&self.pool, "call admin", addr, req, limit).await?;
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

/// Returns whether nothing was sent, so that another address may be asked.
fn may_try_next(e: &Report) -> bool {
    let unreachable = |c: &mulberryspur::Error| !c.may_have_taken_effect();
    e.chain().find_map(|c| c.downcast_ref::<mulberryspur::Error>()).is_some_and(unreachable)
}
