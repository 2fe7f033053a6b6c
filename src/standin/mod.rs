//! Small stand-ins for the systems outside: the platform and an upstream.
//!
//! They exist for development and tests. Each can be told to fail in the ways that the real ones
//! do, through requests below `/standin/`.

pub mod platform;
pub mod upstream;
