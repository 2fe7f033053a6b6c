//! The `record` subcommand, which reads and verifies the audit log.

use crate::{client::Client, exit::Failure};
use clap::ArgMatches;
use eyre::{Result, WrapErr};
use mulberryspur::audit_log::{Fault, Line, OBJECT_PREFIX, Verifier};
use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

/// Lines of one chain by sequence number. A line may be stored twice; different texts are a fault.
type ChainLines = BTreeMap<u64, Vec<String>>;

/// Runs a subcommand of `record`.
pub(crate) async fn run(client: &Client<'_>, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("verify", sub)) => verify(&load_chains(client, sub.get_one("dir")).await?),
        Some(("show", sub)) => {
            let event = sub.get_one::<String>("event").map(String::as_str);
            show(&load_chains(client, sub.get_one("dir")).await?, event)
        }
        Some(("save", sub)) => {
            let dir = sub.get_one::<PathBuf>("dir").cloned().unwrap_or_default();
            save(client, &dir).await
        }
        _ => Ok(()),
    }
}

/// Reads all chains, from `dir` or else from an instance; identical copies of a line are merged.
async fn load_chains(
    client: &Client<'_>,
    dir: Option<&PathBuf>,
) -> Result<BTreeMap<String, ChainLines>> {
    let mut chains: BTreeMap<String, ChainLines> = BTreeMap::new();
    let objects = match dir {
        Some(dir) => read_saved_objects(dir)?,
        None => fetch_objects(client).await?,
    };
    for (name, content) in objects {
        let chain = name.rsplit_once('/').map_or(name.as_str(), |(chain, _)| chain);
        let lines = chains.entry(chain.to_owned()).or_default();
        for text in content.lines().filter(|l| !l.is_empty()) {
            let seq = serde_json::from_str::<Line>(text).map_or(0, |l| l.seq);
            let texts = lines.entry(seq).or_default();
            if !texts.iter().any(|l| l == text) {
                texts.push(text.to_owned());
            }
        }
    }
    Ok(chains)
}

/// Fetches the names and contents of all stored objects.
async fn fetch_objects(client: &Client<'_>) -> Result<Vec<(String, String)>> {
    let mut objects = Vec::new();
    for name in client.object_names().await? {
        let content = client.object(&name).await?;
        let relative_name = name.trim_start_matches(OBJECT_PREFIX).to_owned();
        objects.push((relative_name, String::from_utf8_lossy(&content).into_owned()));
    }
    Ok(objects)
}

/// Reads the names and contents of objects that `record save` has written.
fn read_saved_objects(dir: &Path) -> Result<Vec<(String, String)>> {
    let mut objects = Vec::new();
    for chain in std::fs::read_dir(dir).wrap_err_with(|| dir.display().to_string())? {
        let chain = chain?;
        for file in std::fs::read_dir(chain.path())? {
            let file = file?;
            let name = format!(
                "{}/{}",
                chain.file_name().to_string_lossy(),
                file.file_name().to_string_lossy()
            );
            objects.push((name, std::fs::read_to_string(file.path())?));
        }
    }
    Ok(objects)
}

async fn save(client: &Client<'_>, dir: &Path) -> Result<()> {
    for (name, content) in fetch_objects(client).await? {
        let path = dir.join(&name);
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent)?;
        }
        std::fs::write(&path, content).wrap_err_with(|| path.display().to_string())?;
    }
    Ok(())
}

fn verify(chains: &BTreeMap<String, ChainLines>) -> Result<()> {
    let mut line_count = 0;
    let mut fault_count = 0;
    for (name, chain) in chains {
        let faults = check_chain(chain);
        line_count += chain.len();
        fault_count += faults.len();
        for fault in &faults {
            println!("{name}: line {}: {}", fault.seq, fault.description);
        }
    }
    println!("{line_count} lines in {} chains, {fault_count} faults", chains.len());
    if fault_count > 0 {
        return Err(Failure::FaultsFound.into());
    }
    Ok(())
}

fn check_chain(chain: &ChainLines) -> Vec<Fault> {
    let mut verifier = Verifier::new();
    let mut faults = Vec::new();
    for (seq, texts) in chain {
        if texts.len() > 1 {
            faults.push(Fault { seq: *seq, description: "has two different versions".to_owned() });
        }
        if let Err(e) = verifier.check_line(&texts[0]) {
            faults.push(Fault { seq: *seq, description: e.to_string() });
        }
    }
    faults.extend(verifier.into_faults());
    faults
}

fn show(chains: &BTreeMap<String, ChainLines>, event: Option<&str>) -> Result<()> {
    let texts = chains.values().flat_map(|c| c.values().flatten());
    let mut lines: Vec<Line> = texts.filter_map(|t| serde_json::from_str(t).ok()).collect();
    lines.retain(|l| event.is_none_or(|e| &*l.event == e));
    lines.sort_by_key(|l| l.at);
    for line in lines {
        println!("{}", serde_json::to_string(&line)?);
    }
    Ok(())
}
