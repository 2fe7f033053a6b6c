//! `mulberryd`: the daemon that routes requests; each running process of it is one instance.

mod app;
mod clap_app;
mod config;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match config::RunMode::new(&matches).and_then(|mode| app::run(&mode)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mulberryd: {e:#}");
            ExitCode::FAILURE
        }
    }
}
