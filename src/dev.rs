//! Development environment of `mulberryd --dev`: stand-ins, one daemon and sample resources in one
//! process.

use crate::{
    daemon::Daemon,
    error::{Cause, Error, Result},
    http,
    pool::{self, Pool},
    registry::{ApplyItem, Change},
    resource::{
        Fencing, KeySource, Objective, Ownership, RequestClass, Resource, Route, Service, Upstream,
        UpstreamState,
    },
    settings::Settings,
    standin::{
        platform::PlatformStandin,
        upstream::{UpstreamConfig, UpstreamStandin},
    },
};
use hyper::{Request, header::AUTHORIZATION};
use std::{net::SocketAddr, time::Duration};
use tokio_util::sync::CancellationToken;

const SECRET: &str = "development-only";
const DATA_CENTER: &str = "kano-1";
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A sample service.
struct Sample {
    name: &'static str,
    upstreams: usize,
    /// Number of slots, if the service's upstreams own keys.
    slots: Option<u32>,
    path: &'static str,
    class: RequestClass,
}

const SAMPLES: [Sample; 4] = [
    Sample {
        name: "foldbook",
        upstreams: 4,
        slots: Some(64),
        path: "/patterns",
        class: RequestClass::Short,
    },
    Sample {
        name: "paperdesk",
        upstreams: 2,
        slots: None,
        path: "/orders",
        class: RequestClass::Short,
    },
    Sample {
        name: "printvault",
        upstreams: 2,
        slots: None,
        path: "/packs",
        class: RequestClass::Long,
    },
    Sample {
        name: "batchbook",
        upstreams: 2,
        slots: None,
        path: "/batches",
        class: RequestClass::Short,
    },
];

/// A running development environment.
#[derive(Debug)]
pub struct DevEnvironment {
    daemon: Daemon,
    /// Stops the stand-ins.
    stop_standins: CancellationToken,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl DevEnvironment {
    /// Starts everything on loopback, with callers on `port` and operators on the next one; free
    /// ports are chosen if `port` is 0.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the sample resources are not accepted.
    pub async fn start(port: u16) -> Result<Self> {
        let stop_standins = CancellationToken::new();
        let listener = http::bind("listen as stand-in platform", loopback(0)).await?;
        let platform = listener.local_addr().unwrap_or(loopback(0));
        tokio::spawn(PlatformStandin::new().serve(listener, stop_standins.clone()));
        let mut resources = Vec::new();
        for sample in &SAMPLES {
            start_sample(sample, &stop_standins, &mut resources).await?;
        }
        let admin = if port == 0 { 0 } else { port + 1 };
        let settings = format!(
            r#"{{ "instance": "dev", "data_center": "{DATA_CENTER}", "listen": "{}",
                "admin": "{}", "peer": "127.0.0.1:0", "platform": "{platform}",
                "secret": "{SECRET}" }}"#,
            loopback(port),
            loopback(admin),
        );
        let daemon = Daemon::start(Settings::parse("development settings", &settings)?).await?;
        apply(daemon.admin_addr(), resources).await?;
        Ok(Self { daemon, stop_standins })
    }

    /// Returns the daemon.
    #[must_use]
    pub fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    /// Returns a text with commands to try.
    #[must_use]
    pub fn example_commands(&self) -> String {
        let (listen, admin) = (self.daemon.listen_addr(), self.daemon.admin_addr());
        format!(
            "Serving callers on {listen}, operators on {admin}. Try:\n\
             \n  curl -i http://{listen}/patterns/crane\
             \n  curl -i -X POST -H 'idempotency-key: 1' -d '20 sheets' http://{listen}/orders\
             \n  curl -o /dev/null 'http://{listen}/packs/a?bytes=10000000'\
             \n  cargo run --release --bin mulberryctl -- --admin {admin} --secret {SECRET} status\
             \n\nCtrl-C stops everything.\n"
        )
    }

    /// Stops the daemon, then the stand-ins.
    pub async fn stop(self) {
        self.daemon.stop().await;
        self.stop_standins.cancel();
    }
}

/// Starts the upstreams of a sample, and adds its resources to `resources`.
async fn start_sample(
    sample: &Sample,
    stop: &CancellationToken,
    resources: &mut Vec<Resource>,
) -> Result<()> {
    resources.push(Resource::Service(Service {
        name: sample.name.into(),
        concurrency: 6,
        connections: 130,
        timeout_ms: 10_000,
        objective: Objective::default(),
    }));
    let keyed = sample.slots.is_some();
    resources.push(Resource::Route(Route {
        name: sample.name.into(),
        service: sample.name.into(),
        host: None,
        path: sample.path.into(),
        methods: Vec::new(),
        headers: Vec::new(),
        key: keyed.then_some(KeySource::PathSegment(1)),
        class: sample.class,
        idempotent: None,
    }));
    if let Some(slots) = sample.slots {
        resources.push(Resource::Ownership(Ownership {
            service: sample.name.into(),
            slots,
            pins: Vec::new(),
            homes: vec![DATA_CENTER.into()],
            moves_per_second: 64,
        }));
    }
    for n in 1..=sample.upstreams {
        let name = format!("{}-{n}", sample.name);
        let address = start_upstream(&name, keyed, stop).await?;
        resources.push(Resource::Upstream(Upstream {
            name: name.into(),
            service: sample.name.into(),
            address,
            data_center: DATA_CENTER.into(),
            fencing: Fencing::Checked,
            state: UpstreamState::Active,
        }));
    }
    Ok(())
}

/// Starts an upstream stand-in and returns its address.
async fn start_upstream(name: &str, fenced: bool, stop: &CancellationToken) -> Result<SocketAddr> {
    let listener = http::bind("listen as stand-in upstream", loopback(0)).await?;
    let addr = listener.local_addr().unwrap_or(loopback(0));
    let cfg = UpstreamConfig { name: name.into(), concurrency: 6, fenced, journal: None };
    let standin = UpstreamStandin::new(cfg)
        .map_err(|e| Error::invalid("start stand-in upstream", e.to_string()))?;
    tokio::spawn(standin.serve(listener, stop.clone()));
    Ok(addr)
}

/// Applies resources through the admin address, as an operator would.
async fn apply(admin: SocketAddr, resources: Vec<Resource>) -> Result<()> {
    let step = "apply resources";
    let item = |resource| ApplyItem { expect: None, resource };
    let change = Change { apply: resources.into_iter().map(item).collect(), delete: Vec::new() };
    let body = serde_json::to_vec(&change).map_err(|e| Error::invalid(step, e.to_string()))?;
    let req = Request::post("/v1/change")
        .header("host", admin.to_string())
        .header(AUTHORIZATION, format!("Bearer {SECRET}"))
        .body(http::full_body(body))
        .map_err(|e| Error::invalid(step, e.to_string()))?;
    let (status, _, bytes) = pool::call(&Pool::new(1), step, admin, req, APPLY_TIMEOUT).await?;
    if status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Err(Error::new(step, admin.to_string(), Cause::Status { status: status.as_u16(), text }))
}
