//! Stand-ins for the systems that mulberryd works with, the platform and an upstream.
//!
//! They are for development and tests. Requests below `/standin/` make them fail in the ways that
//! the real systems do.

pub mod platform;
pub mod upstream;
