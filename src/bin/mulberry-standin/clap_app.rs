//! Definition of mulberry-standin's command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::{net::SocketAddr, path::PathBuf};

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on; the bound address is printed")
}

/// Returns the definition of the command line.
pub(crate) fn build() -> Command {
    Command::new("mulberry-standin")
        .version(crate_version!())
        .about("Stand-ins for the systems that the router talks to")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Table, object store and instance list in memory")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("upstream")
                .about("An upstream that accepts fenced grants")
                .arg(listen_arg())
                .arg(Arg::new("name").long("name").required(true).help("Name of the upstream"))
                .arg(
                    Arg::new("concurrency")
                        .long("concurrency")
                        .value_parser(value_parser!(u16).range(1..))
                        .default_value("6")
                        .help("Maximum number of requests run at once"),
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
                        .help("File to append a journal of held slots and run requests to"),
                ),
        )
}
