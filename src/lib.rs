//! Routers for servers that own keys exclusively, and the coordination protocols behind them.
//!
//! The crate serves two products:
//!
//! - `mulberryd` runs on a platform with a transactional table, an object store and an instance
//!   list ([`platform_client`]). [`daemon`] starts it; [`registry`], `proxy`, `attempt`, `instance`,
//!   `cell_driver`, [`controller`], [`standby`], [`grant`] and [`placement`] belong to it.
//! - `mulberryspur-platform` runs on the users' platform, which it reaches through an [`adapter`].
//!   [`node`] starts it; [`listeners`], `request_handler`, `forward`, [`dispatch`], [`lease`],
//!   [`coordinator`], [`rebalance`], [`shared_state`] and `gossip` belong to it.
//!
//! Decisions are plain structs without I/O or clocks, such as [`controller::Controller`] and
//! [`coordinator::Coordinator`], which can be used alone. Tasks feed them events and carry out the
//! actions that they return.

pub mod adapter;
pub mod admin;
pub mod admission;
mod attempt;
pub mod audit_log;
mod body;
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
pub mod daemon;
pub mod dev;
pub mod dispatch;
pub mod error;
mod exporter;
mod forward;
mod gossip;
pub mod grant;
mod holders;
pub mod http;
pub mod idempotency;
mod instance;
pub mod jsonc;
pub mod keymap;
pub mod lease;
pub mod listeners;
pub mod load_balancing;
pub mod logging;
pub mod membership;
pub mod node;
pub mod outcome;
mod peer;
mod peer_connections;
mod peer_server;
pub mod pipeline;
pub mod placement;
pub mod platform_client;
pub mod pool;
mod proxy;
pub mod rebalance;
pub mod registry;
mod request_handler;
pub mod resource;
pub mod retry_budget;
pub mod route;
pub mod routing_config;
pub mod settings;
pub mod shared_state;
pub mod slot;
pub mod standby;
pub mod standin;
mod tasks;
pub mod traffic;
mod transport;
mod upstreams;
pub mod wire;

pub use error::{Error, Result};
pub use peer::VersionedResource;
