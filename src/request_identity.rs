//! What tells a request of `mulberryspur-platform` from others, and whether it is suspected of ending
//! upstreams.

use crate::{
    body::RequestBody,
    clock::{Millis, boot_millis},
    fingerprint::{Fingerprint, KnownBody, path_hash},
    node::Node,
};
use hyper::http::request::Parts;
use std::net::IpAddr;

/// What tells a request from others, besides its body.
pub(crate) struct RequestIdentity<'a> {
    pub caller: IpAddr,
    pub head: &'a Parts,
    pub declared_length: Option<u64>,
}

impl RequestIdentity<'_> {
    /// Returns the fingerprints of the request's content, and of its content and caller.
    pub fn fingerprints(&self, body: &RequestBody) -> [Fingerprint; 2] {
        let bytes = body.bytes();
        let streamed = KnownBody::Streamed(self.declared_length);
        let known_body = bytes.as_ref().map_or(streamed, |b| KnownBody::Whole(b));
        let content = Fingerprint::new(self.head, known_body);
        [content, content.with_caller(self.caller)]
    }

    /// Returns the fingerprints if an upstream may have ended under the request; those of others are
    /// not computed.
    fn suspected_fingerprints(&self, node: &Node, body: &RequestBody) -> Option<[Fingerprint; 2]> {
        let is_possible = node.suspects.borrow().has_path(path_hash(&self.head.uri));
        is_possible.then(|| self.fingerprints(body))
    }

    /// Returns how often upstreams have ended under the request.
    pub fn end_count(&self, node: &Node, body: &RequestBody) -> usize {
        let suspects = node.suspects.borrow();
        let fingerprints = self.suspected_fingerprints(node, body);
        let counts = fingerprints.iter().flatten().map(|f| suspects.end_count(f));
        counts.max().unwrap_or(0)
    }

    /// Returns the fingerprint of the request's content if an upstream has ended under it.
    pub fn suspected(&self, node: &Node, body: &RequestBody) -> Option<Fingerprint> {
        let [content, _] = self.suspected_fingerprints(node, body)?;
        (self.end_count(node, body) > 0).then_some(content)
    }

    /// Returns the time in milliseconds for which the request is rejected, if it has ended too many
    /// upstreams.
    pub fn rejected_for(&self, node: &Node, body: &RequestBody) -> Option<Millis> {
        let fingerprints = self.suspected_fingerprints(node, body)?;
        let (now, suspects) = (boot_millis(), node.suspects.borrow());
        fingerprints.iter().filter_map(|f| suspects.rejected_for(now, f)).max()
    }

    /// Records that an upstream has answered the request, which therefore does not end upstreams.
    pub fn clear_suspicion(&self, node: &Node, body: &RequestBody) {
        for fingerprint in self.suspected_fingerprints(node, body).into_iter().flatten() {
            if node.suspects.borrow_mut().clear(boot_millis(), fingerprint) {
                let caller = fingerprint.caller().map(|c| c.to_string());
                log::info!(
                    fingerprint = fingerprint.to_string(), caller;
                    "request is no longer suspected"
                );
            }
        }
    }
}
