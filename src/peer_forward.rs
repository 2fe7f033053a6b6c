//! Sends requests to other instances of `mulberryspur-platform` that have a path to the upstreams.

use crate::{
    body::RequestBody,
    clock::boot_millis,
    forward::{self, Deadlines},
    http::{self, Body},
    node::Node,
    peer_choice::Candidate,
    pool::{self, Options, Pool, SendFailure},
    routing_config::UpstreamInfo,
    shared_state::PeerInfo,
};
use hyper::{
    Request, Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use std::{net::IpAddr, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

/// Address of the caller; marks a request of another instance, which is not forwarded again.
pub(crate) const CALLER_HEADER: HeaderName = HeaderName::from_static("x-mulberryspur-caller");
/// Service that the instance which forwards a request has chosen for it.
pub(crate) const SERVICE_HEADER: HeaderName = HeaderName::from_static("x-mulberryspur-service");
/// Why an instance has not served a request of another one; absent in responses of upstreams.
pub(crate) const REASON_HEADER: HeaderName = HeaderName::from_static("x-mulberryspur-reason");
/// Upstream to which an instance is asked to open a connection, instead of a request.
pub(crate) const CHECK_HEADER: HeaderName = HeaderName::from_static("x-mulberryspur-check");

/// Reason of an instance that is cut off from the service too.
pub(crate) const CUT_OFF: &str = "cut off";
/// Reason of an instance that cannot reach the owner of the key either.
pub(crate) const OWNER_UNREACHABLE: &str = "owner unreachable";
/// Reasons for which another instance may still serve the request.
const OTHERS_MAY_SERVE: [&str; 4] = [CUT_OFF, OWNER_UNREACHABLE, "no configuration", "no route"];

/// Maximum number of connections to one instance; more requests wait.
const CONNECTIONS_PER_PEER: usize = 256;
/// Time for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which an idle connection to an instance is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection is closed whose bytes the instance does not acknowledge.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for another instance to tell whether it reaches an upstream.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of instances that are asked that.
const CHECKING_PEERS: usize = 2;
/// Number of instances that are asked in a given order.
const MAX_ORDERED: usize = 3;
/// Longest answer of theirs, in bytes.
const MAX_CHECK_BYTES: usize = 1024;

/// Result of a request to another instance.
pub(crate) enum ForwardResult {
    /// An upstream's response, to be passed on.
    Response(Response<Body>),
    /// The response that it has made itself, to be passed on.
    OwnResponse(Response<Body>),
    /// It has not run, and another instance may serve it.
    NotServed(&'static str),
    /// It may have run; no usable response came, for this reason.
    Unknown(String),
}

/// Returns the pool for connections to other instances.
pub(crate) fn peer_pool() -> Pool {
    let options = Options {
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        tcp_user_timeout: Some(TCP_USER_TIMEOUT),
        zero_linger: true,
        max_response_bytes: MAX_CHECK_BYTES,
    };
    Pool::with_options(CONNECTIONS_PER_PEER, options)
}

/// Chooses the instance for a request for a service, which those in `tried` have not served.
pub(crate) fn choose(
    node: &Node,
    service: &Arc<str>,
    tried: &[Arc<str>],
) -> Option<(Arc<str>, SocketAddr)> {
    let shared_state = node.shared_state.borrow();
    let candidates =
        shared_state.instances().filter(|(name, p)| may_ask(node, name, p)).map(|(name, p)| {
            let same_data_center = p.data_center == node.cfg.data_center;
            Candidate { name, same_data_center }
        });
    let name = node.peer_paths.borrow().choose(boot_millis(), service, candidates, tried)?;
    let address = shared_state.instance(&name)?.address;
    Some((name, address))
}

/// Returns the first instance that has not been tried for a request for a service, in a given order, up
/// to this one.
pub(crate) fn next_in_order(
    node: &Node,
    service: &Arc<str>,
    order: &[Arc<str>],
    tried: &[Arc<str>],
) -> Option<(Arc<str>, SocketAddr)> {
    let before = order.iter().take_while(|name| **name != node.cfg.name);
    let (now, paths) = (boot_millis(), node.peer_paths.borrow());
    // Instances that are gone stay in the order.
    let askable = before.filter(|name| tried.contains(name) || paths.may_ask(now, service, name));
    let name = askable.take(MAX_ORDERED).find(|name| !tried.contains(name))?;
    Some((name.clone(), node.shared_state.borrow().instance(name)?.address))
}

fn may_ask(node: &Node, name: &Arc<str>, peer: &PeerInfo) -> bool {
    *name != node.cfg.name && peer.accepts_requests
}

/// A request as it is forwarded.
pub(crate) struct ForwardedRequest<'a> {
    pub head: &'a Parts,
    pub service: &'a Arc<str>,
    pub caller: IpAddr,
    pub deadlines: Deadlines,
}

impl ForwardedRequest<'_> {
    fn build(&self, node: &Node, body: Body) -> Request<Body> {
        let time_left = self.deadlines.upstream_time(boot_millis());
        let mut req = forward::build_request(node, self.head, time_left, body);
        let headers = req.headers_mut();
        let caller = HeaderValue::from_str(&self.caller.to_string());
        let service = HeaderValue::from_str(self.service);
        for (name, value) in [(CALLER_HEADER, caller), (SERVICE_HEADER, service)] {
            match value {
                Ok(value) => drop(headers.insert(name, value)),
                Err(e) => log::warn!("header {name}: {e}"),
            }
        }
        req
    }
}

/// Sends a request to another instance once.
pub(crate) async fn send(
    node: &Rc<Node>,
    peer: &str,
    address: SocketAddr,
    req: &ForwardedRequest<'_>,
    body: &mut RequestBody,
) -> ForwardResult {
    let mut conn = match node.peer_pool.acquire(address).await {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!(peer; "{e}");
            return ForwardResult::NotServed("no connection");
        }
    };
    let res = match conn.send(peer, req.build(node, body.take())).await {
        Ok(res) => res,
        Err(SendFailure { unsent: Some(unsent), .. }) => {
            body.restore(unsent.into_body());
            return ForwardResult::NotServed("connection closed");
        }
        Err(f) => return ForwardResult::Unknown(f.error.to_string()),
    };
    let (mut parts, incoming) = res.into_parts();
    if !forward::is_final_status(parts.status) {
        return ForwardResult::Unknown(format!("invalid status {}", parts.status.as_u16()));
    }
    let id = &node.adapter.header_names.request_id;
    if parts.headers.get(id) != req.head.headers.get(id) {
        return ForwardResult::Unknown("response to another request".into());
    }
    let reason = parts.headers.remove(REASON_HEADER);
    // With 502, the request may have run before the other instance lost its path.
    let has_not_run = parts.status != StatusCode::BAD_GATEWAY;
    if let Some(reason) =
        OTHERS_MAY_SERVE.iter().find(|r| reason.as_ref().is_some_and(|v| v == **r))
        && has_not_run
        && body.can_resend()
    {
        return ForwardResult::NotServed(reason);
    }
    let stream_until = Some(req.deadlines.response);
    let received = forward::receive(node, peer, parts, incoming, conn, stream_until).await;
    match received.map(|(res, _)| res) {
        Ok(res) if reason.is_some() => ForwardResult::OwnResponse(res),
        Ok(res) => ForwardResult::Response(res),
        Err(e) => ForwardResult::Unknown(e.to_string()),
    }
}

/// Asks other instances whether they reach an upstream, those of other data centres first; `None` if
/// none could be asked.
pub(crate) async fn reached_by_others(node: &Rc<Node>, upstream: &UpstreamInfo) -> Option<bool> {
    let mut peers: Vec<(bool, u32, SocketAddr)> = {
        let shared_state = node.shared_state.borrow();
        let peers = shared_state.instances().filter(|(name, p)| may_ask(node, name, p));
        let same_data_center = |p: &PeerInfo| p.data_center == node.cfg.data_center;
        peers.map(|(_, p)| (same_data_center(p), rand::random(), p.address)).collect()
    };
    peers.sort_unstable();
    let checks = peers.iter().take(CHECKING_PEERS).map(|(.., a)| check(node, *a, upstream));
    let answers = futures::future::join_all(checks).await;
    let answers = answers.into_iter().flatten();
    answers.reduce(|a, b| a || b)
}

/// Asks an instance whether it reaches an upstream.
async fn check(node: &Node, address: SocketAddr, upstream: &UpstreamInfo) -> Option<bool> {
    let req = Request::get("/").header(header::HOST, address.to_string());
    let req = req.header(CHECK_HEADER, upstream.address.to_string());
    let req = req.body(http::full_body("")).ok()?;
    let step = "check an upstream";
    match pool::call(&node.peer_pool, step, address, req, CHECK_TIMEOUT).await {
        Ok((StatusCode::OK, _, body)) => Some(&body[..] == b"reached"),
        Ok((status, ..)) => {
            log::debug!(peer = address.to_string(); "{step}: status {status}");
            None
        }
        Err(e) => {
            log::debug!(peer = address.to_string(); "{e}");
            None
        }
    }
}
