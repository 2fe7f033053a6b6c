//! Matching of requests to routes and extraction of their keys, in `mulberryd`.

use crate::resource::{KeySource, Resource, Route};
use hyper::{HeaderMap, Method, Uri, header::HOST, http::request::Parts};
use std::sync::Arc;

/// The routes of one configuration revision, most specific first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Builds the table from all routes among `resources`.
    ///
    /// Longer paths go first, then routes with more conditions, then by name.
    #[must_use]
    pub fn new(resources: &[Resource]) -> Self {
        let mut routes: Vec<Arc<Route>> = resources
            .iter()
            .filter_map(|r| match r {
                Resource::Route(route) => Some(Arc::new(route.clone())),
                _ => None,
            })
            .collect();
        routes.sort_by(|a, b| precedence(b).cmp(&precedence(a)).then_with(|| a.name.cmp(&b.name)));
        Self { routes }
    }

    /// Returns the first route that matches the request.
    #[must_use]
    pub fn find(&self, req: &Parts) -> Option<&Arc<Route>> {
        let host = host_of(&req.headers, &req.uri);
        self.routes.iter().find(|r| matches(r, host, req))
    }
}

/// Returns the precedence of a route: length of its path, number of its other conditions.
fn precedence(r: &Route) -> (usize, usize) {
    let conditions =
        usize::from(r.host.is_some()) + usize::from(!r.methods.is_empty()) + r.headers.len();
    (r.path.len(), conditions)
}

fn host_of<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let host = headers.get(HOST).and_then(|v| v.to_str().ok()).or_else(|| uri.host());
    host.unwrap_or_default().split(':').next().unwrap_or_default()
}

fn matches(r: &Route, host: &str, req: &Parts) -> bool {
    let host_matches = r.host.as_ref().is_none_or(|h| h.eq_ignore_ascii_case(host));
    let method_matches =
        r.methods.is_empty() || r.methods.iter().any(|m| **m == *req.method.as_str());
    let headers_match = r
        .headers
        .iter()
        .all(|h| req.headers.get(&*h.name).is_some_and(|v| v.as_bytes() == h.value.as_bytes()));
    host_matches && method_matches && headers_match && path_matches(&r.path, req.uri.path())
}

fn path_matches(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

/// Returns the key of a request; `None` if it has none or an empty one.
#[must_use]
pub fn key_of(source: &KeySource, req: &Parts) -> Option<String> {
    let key = match source {
        KeySource::Header(name) => req.headers.get(&**name)?.to_str().ok()?.to_owned(),
        KeySource::PathSegment(n) => {
            percent_decode(req.uri.path().trim_start_matches('/').split('/').nth(*n)?)?
        }
        KeySource::Query(name) => req
            .uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(k, _)| k == &&**name)
            .and_then(|(_, v)| percent_decode(v))?,
    };
    (!key.is_empty()).then_some(key)
}

/// Decodes percent escapes; `None` if an escape is malformed or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let hex = [bytes.next()?, bytes.next()?];
        let hex = std::str::from_utf8(&hex).ok()?;
        out.push(u8::from_str_radix(hex, 16).ok()?);
    }
    String::from_utf8(out).ok()
}

/// Returns whether a request may be retried: as the route says, else by its method.
#[must_use]
pub fn is_idempotent(r: &Route, method: &Method) -> bool {
    r.idempotent.unwrap_or_else(|| method.is_idempotent())
}
