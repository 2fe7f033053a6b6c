//! `mulberryctl`: the command-line tool for operators of mulberryd.

mod app;
mod burn;
mod clap_app;
mod client;
mod config;
mod exit;
mod output;
mod record;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match app::run(&config::Config::new(&matches), &matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mulberryctl: {e:#}");
            exit::exit_code(&e)
        }
    }
}
