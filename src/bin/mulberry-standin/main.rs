//! `mulberry-standin`: stand-ins for mulberryd's platform and upstreams, for development and tests.

mod app;
mod clap_app;

fn main() -> eyre::Result<()> {
    app::run(&clap_app::build().get_matches())
}
