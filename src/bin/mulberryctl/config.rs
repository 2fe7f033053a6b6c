//! Whom to talk to and how to print, read once from command line and environment.

use clap::ArgMatches;
use mulberryspur::settings::Secret;
use std::net::SocketAddr;

/// Whom to talk to and how to print.
#[derive(Debug)]
pub(crate) struct Config {
    /// Admin addresses; the first that answers is used, all of them for reports.
    pub admin_addrs: Vec<SocketAddr>,
    pub secret: Secret,
    pub json_output: bool,
}

impl Config {
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        let admin_addrs = matches.get_many::<SocketAddr>("admin").map(|a| a.copied().collect());
        let secret = matches.get_one::<String>("secret").map_or("", String::as_str);
        let json_output = matches.get_one::<String>("output").is_some_and(|o| o == "json");
        Self {
            admin_addrs: admin_addrs.unwrap_or_default(),
            secret: Secret::new(secret),
            json_output,
        }
    }
}
