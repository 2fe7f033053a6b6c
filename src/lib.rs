//! Routers for servers that own keys exclusively, and the coordination protocols behind them.
//!
//! An upstream is a server that requests are routed to. An instance is one router: of `mulberryd`
//! one process, of `mulberryspur-platform` one name, whose process may be restarted. The crate
//! serves two products. Where a module of one has a counterpart in the other, it is named in
//! parentheses.
//!
//! # `mulberryd`
//!
//! It runs on a platform that offers a transactional table, an object store and a list of the
//! upstreams and instances that run there, through the API in [`platform_client`].
//!
//! - [`daemon`] starts and stops an instance.
//! - `instance` is the state of one instance ([`node`]), [`settings`] are its settings.
//! - `tasks` are the background tasks of an instance.
//! - [`dev`] runs an instance, sample resources and stand-ins in one process.
//! - [`standin`] has the stand-ins for the platform and upstreams.
//! - [`resource`] defines the resources that operators declare.
//! - [`registry`] holds the resources in force ([`routing_config`]).
//! - [`admin`] is the HTTP interface for operators and probes.
//! - `proxy` serves one request (`request_handler`).
//! - [`route`] finds the route and the key of a request.
//! - `attempt` sends a request once (`forward`).
//! - [`load_balancing`] chooses the upstreams of requests without a key, and [`admission`] queues
//!   requests for their upstreams ([`dispatch`] does both).
//! - `upstreams` holds the load and the limits of each upstream.
//! - [`outcome`] names what callers are told about their requests.
//! - [`idempotency`] keeps the idempotency keys of callers.
//! - [`wire`] has the names of headers and paths ([`adapter::HeaderNames`]).
//! - [`audit_log`] and [`burn`] keep the audit log and the error budgets.
//! - [`slot`] maps keys to slots.
//! - [`cell`] defines a cell, the upstreams of one service in one data centre, and its row in the
//!   platform's table, with the owners of the slots ([`keymap`]). `cell_rows` has the latest rows.
//! - [`controller`] decides which owner is granted which slot ([`coordinator`]), [`standby`] takes
//!   over from a controller that is gone.
//! - `cell_driver` runs a controller or standby (`coordinator_task`), `cell_io` sends its messages.
//! - [`grant`] defines grants and a holder's record of them, `holders` what a controller knows of
//!   the holders.
//! - [`placement`] chooses the owner that each slot should have ([`rebalance`]).
//! - [`membership`] knows which instances are live.
//! - `peer` defines the RPC between instances, `peer_server` serves it, `peer_connections` calls it
//!   and `transport` carries it (`gossip`).
//!
//! # `mulberryspur-platform`
//!
//! It runs on any platform for which there is an [`adapter`]. The program in `platform/` provides
//! the adapter for one platform, that of the router's users: access to its store, its way to send
//! orders about keys to upstreams, and its header names.
//!
//! - [`node`] is one instance: its settings and its state (`instance`).
//! - `exporter` serves its metrics.
//! - [`routing_config`] is the configuration ([`registry`]).
//! - [`shared_state`] is an instance's copy of the state that all instances share, with the
//!   configuration.
//! - [`evacuation`] are the data centres whose upstreams get no requests.
//! - `gossip` passes changes of the shared state on between instances (`peer`).
//! - [`listeners`] accept connections of callers and readiness checks.
//! - `caller_connection` serves a connection over `caller_stream`, which reads ahead, and
//!   [`pipeline`], which splits bytes into requests.
//! - `request_handler` serves one request (`proxy`).
//! - [`dispatch`] queues requests and chooses their upstreams ([`admission`], [`load_balancing`]).
//! - [`admission_level`] decides which share of the requests is admitted while upstreams are saturated.
//! - `upstream_choice` chooses among upstreams that this instance has not heard of lately.
//! - `upstream_state` is what an instance knows of one upstream.
//! - `forward` sends a request once (`attempt`).
//! - [`reachability`] tells whether an instance is cut off from upstreams; [`peer_choice`] then chooses
//!   another one, `peer_forward` sends the request there, `path_probe` finds out when the path is back.
//! - [`keymap`] is the map of a service's keys to their owners ([`cell`]).
//! - [`lease`] makes one instance at a time the coordinator of a service.
//! - [`coordinator`] decides which owner is granted which keys ([`controller`]).
//! - [`coordinator_task`] runs a coordinator (`cell_driver`).
//! - [`rebalance`] plans the owners of keys ([`placement`]) by the [`traffic`].
//! - [`owner_delta`] is what changes in the map of owners, [`owner_sync`] what instances send of it.
//! - [`overload`] limits the requests for owners that are asked for more than they can serve.
//! - [`rate_limit`] keeps the limits that upstreams name, [`warmup`] those of upstreams that warm up.
//! - [`revision`] orders the store's changes, also after it was restored from a copy.
//!
//! # Both
//!
//! `body`, [`clock`], [`collections`], [`error`], [`http`], [`jsonc`], [`logging`], [`pool`] and
//! [`retry_budget`] serve both products, and so do [`settings::LogLevel`] and the metrics functions
//! of [`daemon`].
//!
//! What to do about ownership is decided in plain structs without I/O or clocks, such as
//! [`controller::Controller`] and [`coordinator::Coordinator`], which can be used alone.
//! `cell_driver` and [`coordinator_task`] feed them events and carry out the actions that they
//! return.

pub mod adapter;
pub mod admin;
pub mod admission;
pub mod admission_level;
mod attempt;
pub mod audit_log;
mod body;
mod buffer_limit;
pub mod burn;
mod caller_connection;
mod caller_stream;
pub mod cell;
mod cell_driver;
mod cell_io;
mod cell_rows;
pub mod clock;
pub mod collections;
pub mod controller;
pub mod coordinator;
pub mod coordinator_task;
pub mod credits;
pub mod daemon;
pub mod delivery;
pub mod dev;
pub mod dispatch;
mod ended_upstreams;
pub mod error;
pub mod evacuation;
mod exporter;
pub mod fingerprint;
mod forward;
mod gossip;
pub mod grant;
pub mod grant_budget;
mod holders;
pub mod http;
pub mod idempotency;
mod instance;
pub mod jsonc;
pub mod key_refusals;
pub mod keymap;
pub mod lease;
pub mod lease_handover;
pub mod listeners;
pub mod load_balancing;
pub mod logging;
pub mod membership;
pub mod node;
pub mod other_paths;
pub mod outcome;
pub mod overload;
pub mod owner_delta;
pub mod owner_sync;
mod path_probe;
mod peer;
pub mod peer_choice;
mod peer_connections;
mod peer_forward;
mod peer_listener;
mod peer_server;
pub mod pipeline;
pub mod placement;
pub mod platform_client;
pub mod pool;
mod proxy;
pub mod rate_limit;
pub mod reachability;
pub mod rebalance;
pub mod registry;
mod request_handler;
mod request_identity;
pub mod resignation;
pub mod resource;
pub mod retry_budget;
pub mod revision;
pub mod route;
pub mod routing_config;
pub mod settings;
pub mod shared_state;
pub mod silence;
pub mod slot;
mod socket;
pub mod standby;
pub mod standin;
pub mod succession;
pub mod suspects;
mod sweep;
mod tasks;
pub mod traffic;
mod transport;
mod trial;
mod upstream_choice;
mod upstream_state;
mod upstreams;
pub mod warmup;
pub mod wire;

pub use error::{Error, Result};
pub use peer::VersionedResource;
