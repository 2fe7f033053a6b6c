//! Reading and checking the record.

use crate::{client::Client, exit::Failure};
use clap::ArgMatches;
use eyre::{Result, WrapErr};
use mulberryspur::audit_log::{Fault, Line, OBJECT_PREFIX, Verifier};
use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

/// Lines of one chain by number; a number may have been stored twice.
type Chain = BTreeMap<u64, Vec<String>>;

/// Runs a subcommand of `record`.
pub(crate) async fn run(client: &Client<'_>, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("verify", sub)) => verify(&load(client, sub.get_one("dir")).await?),
        Some(("show", sub)) => {
            let event = sub.get_one::<String>("event").map(String::as_str);
            show(&load(client, sub.get_one("dir")).await?, event)
        }
        Some(("save", sub)) => {
            let dir = sub.get_one::<PathBuf>("dir").cloned().unwrap_or_default();
            save(client, &dir).await
        }
        _ => Ok(()),
    }
}

async fn load(client: &Client<'_>, dir: Option<&PathBuf>) -> Result<BTreeMap<String, Chain>> {
    let mut chains: BTreeMap<String, Chain> = BTreeMap::new();
    let objects = match dir {
        Some(dir) => read_dir(dir)?,
        None => fetch(client).await?,
    };
    for (name, content) in objects {
        let chain = name.rsplit_once('/').map_or(name.as_str(), |(chain, _)| chain);
        let lines = chains.entry(chain.to_owned()).or_default();
        for text in content.lines().filter(|l| !l.is_empty()) {
            let seq = serde_json::from_str::<Line>(text).map_or(0, |l| l.seq);
            let same = lines.entry(seq).or_default();
            if !same.iter().any(|l| l == text) {
                same.push(text.to_owned());
            }
        }
    }
    Ok(chains)
}

async fn fetch(client: &Client<'_>) -> Result<Vec<(String, String)>> {
    let mut objects = Vec::new();
    for name in client.object_names().await? {
        let content = client.object(&name).await?;
        let short = name.trim_start_matches(OBJECT_PREFIX).to_owned();
        objects.push((short, String::from_utf8_lossy(&content).into_owned()));
    }
    Ok(objects)
}

fn read_dir(dir: &Path) -> Result<Vec<(String, String)>> {
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
    for (name, content) in fetch(client).await? {
        let path = dir.join(&name);
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent)?;
        }
        std::fs::write(&path, content).wrap_err_with(|| path.display().to_string())?;
    }
    Ok(())
}

fn verify(chains: &BTreeMap<String, Chain>) -> Result<()> {
    let mut lines = 0;
    let mut wrong = 0;
    for (name, chain) in chains {
        let faults = check(chain);
        lines += chain.len();
        wrong += faults.len();
        for fault in &faults {
            println!("{name}: line {}: {}", fault.seq, fault.description);
        }
    }
    println!("{lines} lines in {} chains, {wrong} faults", chains.len());
    if wrong > 0 {
        return Err(Failure::FaultsFound.into());
    }
    Ok(())
}

fn check(chain: &Chain) -> Vec<Fault> {
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

fn show(chains: &BTreeMap<String, Chain>, event: Option<&str>) -> Result<()> {
    let texts = chains.values().flat_map(|c| c.values().flatten());
    let mut lines: Vec<Line> = texts.filter_map(|t| serde_json::from_str(t).ok()).collect();
    lines.retain(|l| event.is_none_or(|e| &*l.event == e));
    lines.sort_by_key(|l| l.at);
    for line in lines {
        println!("{}", serde_json::to_string(&line)?);
    }
    Ok(())
}
