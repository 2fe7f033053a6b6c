//! The subcommands.

use crate::{burn, clap_app, client::Client, config::Config, exit::Failure, output, record};
use clap::ArgMatches;
use eyre::{Report, Result, WrapErr};
use mulberryspur::{
    VersionedResource,
    admin::ResourceList,
    jsonc,
    registry::{ApplyItem, Change, DeleteItem},
    resource::{Pin, Resource, UpstreamState},
};
use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// Pause between status calls while waiting for a revision.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// Runs the subcommand given on the command line.
pub(crate) fn run(cfg: &Config, matches: &ArgMatches) -> Result<()> {
    let Some((name, sub)) = matches.subcommand() else {
        return Ok(());
    };
    if name == "completions" {
        print_completions(sub);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_command(cfg, name, sub))
}

fn print_completions(sub: &ArgMatches) {
    if let Some(shell) = sub.get_one::<clap_complete::Shell>("shell") {
        let mut command = clap_app::build();
        clap_complete::generate(*shell, &mut command, "mulberryctl", &mut std::io::stdout());
    }
}

async fn run_command(cfg: &Config, name: &str, sub: &ArgMatches) -> Result<()> {
    let client = Client::new(cfg);
    match name {
        "apply" => apply(cfg, &client, sub).await,
        "diff" => diff(&client, sub).await,
        "get" => get(cfg, &client, sub).await,
        "list" => list(cfg, &client, sub).await,
        "watch" => watch(cfg, &client, sub).await,
        "delete" => delete(&client, sub).await,
        "drain" => set_state(&client, sub, UpstreamState::Draining).await,
        "stopped" => set_state(&client, sub, UpstreamState::Stopped).await,
        "undrain" => set_state(&client, sub, UpstreamState::Active).await,
        "pin" => pin(&client, sub).await,
        "unpin" => unpin(&client, sub).await,
        "status" => status(cfg, &client).await,
        "burn" => show_burn(cfg, &client).await,
        _ => record::run(&client, sub).await,
    }
}

fn string_arg<'a>(sub: &'a ArgMatches, name: &str) -> &'a str {
    sub.get_one::<String>(name).map_or("", String::as_str)
}

/// Reads the resources in all files and directories that the command line names.
fn read_resources(sub: &ArgMatches) -> Result<Vec<Resource>> {
    let paths = sub.get_many::<PathBuf>("file").into_iter().flatten();
    let mut files = Vec::new();
    for path in paths {
        collect_files(path, &mut files)?;
    }
    let mut resources = Vec::new();
    for file in files {
        resources.extend(read_resource_file(&file)?);
    }
    Ok(resources)
}

/// Adds a file, or the JSON files of a directory in order of name.
fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let entries = std::fs::read_dir(path).wrap_err_with(|| path.display().to_string())?;
    let mut paths: Vec<PathBuf> = entries.map(|e| Ok(e?.path())).collect::<Result<_>>()?;
    paths.sort();
    let is_json = |p: &PathBuf| p.extension().is_some_and(|e| e == "json" || e == "jsonc");
    files.extend(paths.into_iter().filter(is_json));
    Ok(())
}

fn read_resource_file(file: &Path) -> Result<Vec<Resource>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).wrap_err_with(|| name.clone())?;
    let rejected = |e: mulberryspur::Error| Report::new(Failure::Rejected).wrap_err(e.to_string());
    let content: serde_json::Value = jsonc::parse(&name, &text).map_err(rejected)?;
    // Parsed again from the text, not from `content`, so that errors name line and field.
    if content.is_array() {
        jsonc::parse(&name, &text).map_err(rejected)
    } else {
        Ok(vec![jsonc::parse(&name, &text).map_err(rejected)?])
    }
}

async fn apply(cfg: &Config, client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let expect = sub.get_one::<u64>("expect").copied();
    let item = |resource| ApplyItem { expect, resource };
    let apply: Vec<ApplyItem> = read_resources(sub)?.into_iter().map(item).collect();
    let count = apply.len();
    let reply = client.change(&Change { apply, delete: Vec::new() }).await?;
    if cfg.json_output {
        output::print_json(&reply)?;
    } else {
        println!("{count} resources applied in revision {}", reply.revision);
    }
    wait_if_requested(client, sub, reply.revision).await
}

/// With `--wait`, waits until every live instance has the revision in force.
async fn wait_if_requested(client: &Client<'_>, sub: &ArgMatches, revision: u64) -> Result<()> {
    let Some(seconds) = sub.get_one::<u64>("wait") else {
        return Ok(());
    };
    let start = Instant::now();
    let limit = Duration::from_secs(*seconds);
    loop {
        let status = client.status().await?;
        let behind = status.members.iter().filter(|m| m.revision < revision && !m.leaving).count();
        if status.revision >= revision && behind == 0 {
            println!(
                "in force on {} instances after {} ms",
                status.members.len() + 1,
                start.elapsed().as_millis()
            );
            return Ok(());
        }
        if start.elapsed() >= limit {
            let text = format!("{behind} instances are behind revision {revision}");
            return Err(Report::new(Failure::TimedOut).wrap_err(text));
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

async fn diff(client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let wanted = read_resources(sub)?;
    let list = client.resources().await?;
    let mut different = false;
    for resource in &wanted {
        let id = resource.id();
        match find_resource(&list, &id) {
            None => println!("+ {id}"),
            Some(found) if found.resource == *resource => continue,
            Some(found) => {
                println!("~ {id}");
                println!("  - {}", serde_json::to_string(&found.resource)?);
                println!("  + {}", serde_json::to_string(resource)?);
            }
        }
        different = true;
    }
    if different { Err(Failure::DifferencesFound.into()) } else { Ok(()) }
}

fn find_resource<'a>(list: &'a ResourceList, id: &str) -> Option<&'a VersionedResource> {
    list.resources.iter().find(|r| r.resource.id() == id)
}

fn require_resource<'a>(list: &'a ResourceList, id: &str) -> Result<&'a VersionedResource> {
    find_resource(list, id).ok_or_else(|| Report::new(Failure::NotFound).wrap_err(id.to_owned()))
}

async fn get(cfg: &Config, client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let list = client.resources().await?;
    let found = require_resource(&list, string_arg(sub, "id"))?;
    if cfg.json_output {
        return output::print_json(found);
    }
    println!("// version {}", found.version);
    output::print_json(&found.resource)
}

async fn list(cfg: &Config, client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let mut list = client.resources().await?;
    if let Some(kind) = sub.get_one::<String>("kind") {
        list.resources.retain(|r| r.resource.kind() == kind);
    }
    if cfg.json_output {
        return output::print_json(&list);
    }
    output::print_resources(&list.resources.iter().collect::<Vec<_>>());
    Ok(())
}

async fn watch(cfg: &Config, client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let mut revisions_left = sub.get_one::<u64>("count").copied().unwrap_or(u64::MAX);
    let mut revision = client.resources().await?.revision;
    while revisions_left > 0 {
        let list = client.watch(revision).await?;
        if list.revision <= revision {
            continue;
        }
        let changed: Vec<_> = list.resources.iter().filter(|r| r.version > revision).collect();
        if cfg.json_output {
            println!("{}", serde_json::to_string(&list)?);
        } else {
            println!("revision {}:", list.revision);
            output::print_resources(&changed);
        }
        revision = list.revision;
        revisions_left -= 1;
    }
    Ok(())
}

async fn delete(client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let id = string_arg(sub, "id").to_owned();
    require_resource(&client.resources().await?, &id)?;
    let expect = sub.get_one::<u64>("expect").copied();
    let change = Change { apply: Vec::new(), delete: vec![DeleteItem { expect, id }] };
    let reply = client.change(&change).await?;
    println!("removed in revision {}", reply.revision);
    wait_if_requested(client, sub, reply.revision).await
}

/// Changes one resource on condition that nobody else changes it in the meantime.
async fn edit_resource(
    client: &Client<'_>,
    sub: &ArgMatches,
    id: &str,
    f: impl FnOnce(&mut Resource) -> Result<()>,
) -> Result<()> {
    let list = client.resources().await?;
    let found = require_resource(&list, id)?;
    let mut resource = found.resource.clone();
    f(&mut resource)?;
    let item = ApplyItem { expect: Some(found.version), resource };
    let reply = client.change(&Change { apply: vec![item], delete: Vec::new() }).await?;
    println!("{id} changed in revision {}", reply.revision);
    wait_if_requested(client, sub, reply.revision).await
}

async fn set_state(client: &Client<'_>, sub: &ArgMatches, state: UpstreamState) -> Result<()> {
    let id = format!("Upstream/{}", string_arg(sub, "upstream"));
    edit_resource(client, sub, &id, |r| {
        if let Resource::Upstream(u) = r {
            u.state = state;
        }
        Ok(())
    })
    .await
}

async fn pin(client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let id = format!("Ownership/{}", string_arg(sub, "service"));
    let key = string_arg(sub, "key");
    let upstream = sub.get_one::<String>("to").map(|u| u.as_str().into());
    edit_resource(client, sub, &id, |r| {
        let Resource::Ownership(o) = r else {
            return Ok(());
        };
        match o.pins.iter_mut().find(|p| &*p.key == key) {
            Some(pin) => pin.upstream = upstream,
            None => o.pins.push(Pin { key: key.into(), upstream }),
        }
        Ok(())
    })
    .await
}

async fn unpin(client: &Client<'_>, sub: &ArgMatches) -> Result<()> {
    let id = format!("Ownership/{}", string_arg(sub, "service"));
    let key = string_arg(sub, "key");
    edit_resource(client, sub, &id, |r| {
        let Resource::Ownership(o) = r else {
            return Ok(());
        };
        let pin = o.pins.iter_mut().find(|p| &*p.key == key);
        let missing = || Report::new(Failure::NotFound).wrap_err(format!("pin {key}"));
        *pin.ok_or_else(missing)? = Pin { key: "".into(), upstream: None };
        Ok(())
    })
    .await
}

async fn status(cfg: &Config, client: &Client<'_>) -> Result<()> {
    let status = client.status().await?;
    if cfg.json_output {
        return output::print_json(&status);
    }
    output::print_status(&status);
    Ok(())
}

async fn show_burn(cfg: &Config, client: &Client<'_>) -> Result<()> {
    let (services, responded) = client.burn().await?;
    if cfg.json_output {
        return output::print_json(&services);
    }
    println!("From {responded} of {} admin addresses.\n", cfg.admin_addrs.len());
    println!("{}", burn::format_report(&services));
    Ok(())
}
