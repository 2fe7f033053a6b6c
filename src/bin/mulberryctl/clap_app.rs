//! Definition of mulberryctl's command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::{net::SocketAddr, path::PathBuf};

fn files_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Files or directories of resources, JSON with comments")
}

fn resource_id_arg() -> Arg {
    Arg::new("id").value_name("KIND/NAME").required(true).help("For example Upstream/foldbook-1")
}

fn wait_arg() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .num_args(0..=1)
        .default_missing_value("30")
        .value_parser(value_parser!(u64))
        .help("Wait until the change is in force on every live instance")
}

fn upstream_arg() -> Arg {
    Arg::new("upstream").value_name("UPSTREAM").required(true)
}

/// Returns the definition of the command line.
pub(crate) fn build() -> Command {
    Command::new("mulberryctl")
        .version(crate_version!())
        .about("Operates mulberryspur")
        .subcommand_required(true)
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict, 4 not accepted, \
             5 not found, 6 timed out, 7 faults in the record, 8 differences",
        )
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDR")
                .env("MULBERRYCTL_ADMIN")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:8081")
                .global(true)
                .help("Admin addresses of instances"),
        )
        .arg(
            Arg::new("secret")
                .long("secret")
                .env("MULBERRYCTL_SECRET")
                .hide_env_values(true)
                .default_value("")
                .hide_default_value(true)
                .global(true)
                .help("The secret shared with the instances"),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .global(true)
                .help("Output format"),
        )
        .subcommands(resource_commands())
        .subcommands(edit_commands())
        .subcommands(report_commands())
}

fn resource_commands() -> Vec<Command> {
    vec![
        Command::new("apply")
            .about("Create or replace resources: all of them, or none")
            .arg(files_arg())
            .arg(wait_arg())
            .arg(
                Arg::new("expect")
                    .long("expect")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .help("Version that every resource must have, 0 for new ones"),
            ),
        Command::new("diff").about("Compare files with the resources in force").arg(files_arg()),
        Command::new("get").about("Show one resource").arg(resource_id_arg()),
        Command::new("list").about("List resources").arg(
            Arg::new("kind").value_name("KIND").value_parser([
                "Service",
                "Route",
                "Upstream",
                "Ownership",
            ]),
        ),
        Command::new("watch").about("Print each new revision").arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u64))
                .help("Stop after this many revisions"),
        ),
        Command::new("delete")
            .about("Remove a resource")
            .arg(resource_id_arg())
            .arg(wait_arg())
            .arg(
                Arg::new("expect")
                    .long("expect")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .help("Version that it must have"),
            ),
    ]
}

fn edit_commands() -> Vec<Command> {
    let service = || Arg::new("service").value_name("SERVICE").required(true);
    let key = || Arg::new("key").value_name("KEY").required(true);
    vec![
        Command::new("drain")
            .about("Send an upstream no new requests and move its keys away")
            .arg(upstream_arg())
            .arg(wait_arg()),
        Command::new("stopped")
            .about("Confirm that an upstream's process has ended, so its keys need not wait for it")
            .arg(upstream_arg())
            .arg(wait_arg()),
        Command::new("undrain")
            .about("Let an upstream serve requests again")
            .arg(upstream_arg())
            .arg(wait_arg()),
        Command::new("pin")
            .about("Give a key a slot of its own, and optionally an owner")
            .arg(service())
            .arg(key())
            .arg(Arg::new("to").long("to").value_name("UPSTREAM"))
            .arg(wait_arg()),
        Command::new("unpin")
            .about("Put a key back among the hashed slots")
            .arg(service())
            .arg(key())
            .arg(wait_arg()),
    ]
}

fn report_commands() -> Vec<Command> {
    vec![
        Command::new("status").about("Show instances, cells and controllers"),
        Command::new("burn")
            .about("Report the burn rates of error budgets, summed over all admin addresses"),
        Command::new("record")
            .about("Read and check the record, the audit log of all instances")
            .subcommand_required(true)
            .subcommand(
                Command::new("verify").about("Find removed, changed or reordered lines").arg(
                    Arg::new("dir")
                        .long("dir")
                        .value_parser(value_parser!(PathBuf))
                        .help("Read a copy of the record from this directory instead"),
                ),
            )
            .subcommand(
                Command::new("show")
                    .about("Print the record in order of time, as JSON lines")
                    .arg(Arg::new("event").long("event").help("Only this kind of event"))
                    .arg(
                        Arg::new("dir")
                            .long("dir")
                            .value_parser(value_parser!(PathBuf))
                            .help("Read a copy of the record from this directory instead"),
                    ),
            )
            .subcommand(
                Command::new("save").about("Copy the record to a directory").arg(
                    Arg::new("dir")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .action(ArgAction::Set),
                ),
            ),
        Command::new("completions").about("Print shell completions").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ),
    ]
}
