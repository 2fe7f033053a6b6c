//! The daemon that runs on every entry instance.

mod app;
mod clap_app;
mod config;

fn main() -> eyre::Result<()> {
    let matches = clap_app::build().get_matches();
    app::run(&config::Config::new(&matches)?)
}
