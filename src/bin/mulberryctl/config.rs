//! Options of all subcommands, read once from command line and environment.

use clap::ArgMatches;
use mulberryspur::settings::Secret;
use std::net::SocketAddr;

/// Options of all subcommands.
#[derive(Debug)]
pub(crate) struct Config {
    /// Admin addresses of instances; `burn` calls all of them, the other subcommands use the first
    /// that responds.
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
