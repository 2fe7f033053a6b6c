//! Definition of mulberryd's command line.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::path::PathBuf;

/// Returns the definition of the command line.
pub(crate) fn build() -> Command {
    Command::new("mulberryd")
        .version(crate_version!())
        .about("Routes requests to servers that own keys exclusively")
        .args_conflicts_with_subcommands(true)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("MULBERRYD_SETTINGS")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("dev")
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("dev")
                .long("dev")
                .action(ArgAction::SetTrue)
                .conflicts_with("settings")
                .help("Run with stand-ins and sample resources in one process"),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .value_parser(value_parser!(u16).range(0..65_535))
                .default_value("8080")
                .help("Port for callers with --dev; operators get the next one"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .env("MULBERRYD_LOG")
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .help("Log level, instead of the one in the settings"),
        )
        .subcommand(Command::new("check").about("Check a settings file without starting").arg(
            Arg::new("file").value_name("FILE").required(true).value_parser(value_parser!(PathBuf)),
        ))
}
