//! Coordination parts for servers that own keys exclusively, and the router built from them.
//!
//! The decisions are plain structs without I/O or clocks: [`controller`], [`standby`], [`grant`],
//! [`placement`], [`slot`] and others can be used alone. The daemon's tasks carry inputs in and
//! actions out.

pub mod admin;
mod agent;
mod attempt;
pub mod audit_log;
pub mod balance;
mod body;
pub mod budget;
pub mod burn;
mod caller;
mod caller_stream;
pub mod catalog;
pub mod cell;
mod cell_io;
pub mod clock;
pub mod collections;
pub mod controller;
pub mod daemon;
pub mod dev;
pub mod dispatch;
mod entry;
pub mod error;
mod exporter;
mod forward;
pub mod front;
pub mod gate;
mod gossip;
pub mod grant;
pub mod heat;
mod holders;
pub mod http;
mod instance;
pub mod intents;
pub mod jsonc;
pub mod keymap;
pub mod lease;
mod link;
pub mod logging;
mod maps;
pub mod membership;
pub mod node;
pub mod outcome;
mod peer;
mod peer_server;
pub mod pipeline;
pub mod placement;
pub mod platform_client;
pub mod pool;
pub mod ports;
mod proxy;
pub mod rebalance;
pub mod registry;
pub mod resource;
pub mod route;
pub mod settings;
pub mod slot;
pub mod standby;
pub mod standin;
pub mod steward;
pub mod stewardship;
mod tasks;
mod transport;
mod upstreams;
pub mod views;
pub mod wire;

pub use error::{Error, Result};
pub use peer::VersionedResource;
