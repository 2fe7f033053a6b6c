//! Stand-ins for the platform and for upstreams, for development and tests.

mod app;
mod clap_app;

fn main() -> eyre::Result<()> {
    app::run(&clap_app::build().get_matches())
}
