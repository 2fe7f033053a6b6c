//! The command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::{net::SocketAddr, path::PathBuf};

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on; the one bound is printed")
}

/// Returns the command line's definition.
pub(crate) fn build() -> Command {
    Command::new("mulberry-standin")
        .version(crate_version!())
        .about("Stand-ins for the systems that the router talks to")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Table, object store and instance list in memory")
                .arg(listen()),
        )
        .subcommand(
            Command::new("upstream")
                .about("An upstream that accepts fenced grants")
                .arg(listen())
                .arg(Arg::new("name").long("name").required(true).help("Name of the upstream"))
                .arg(
                    Arg::new("concurrency")
                        .long("concurrency")
                        .value_parser(value_parser!(u16).range(1..))
                        .default_value("6")
                        .help("Requests run at once"),
                )
                .arg(
                    Arg::new("fenced")
                        .long("fenced")
                        .action(ArgAction::SetTrue)
                        .help("Refuse requests without a valid grant"),
                )
                .arg(
                    Arg::new("journal")
                        .long("journal")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("File to append what is held and run to"),
                ),
        )
}
