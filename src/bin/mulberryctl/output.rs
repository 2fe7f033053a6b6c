//! Output as JSON for programs and as tables for people.

use eyre::Result;
use mulberryspur::{VersionedResource, admin::Status, resource::Resource};
use serde::Serialize;

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Formats a header and rows as columns that are as wide as their longest cell.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let column_width = |n: usize| {
        let cells = rows.iter().filter_map(|r| r.get(n)).map(String::len);
        cells.chain([header[n].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(column_width).collect();
    let format_line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![format_line(header.to_vec())];
    lines.extend(rows.iter().map(|r| format_line(r.iter().map(String::as_str).collect())));
    lines.join("\n")
}

/// Prints a table of resources.
pub(crate) fn print_resources(list: &[&VersionedResource]) {
    let to_row = |r: &&VersionedResource| {
        vec![
            r.resource.kind().to_owned(),
            r.resource.name().to_string(),
            r.version.to_string(),
            summary(&r.resource),
        ]
    };
    let rows: Vec<_> = list.iter().map(to_row).collect();
    println!("{}", format_table(&["KIND", "NAME", "VERSION", "SUMMARY"], &rows));
}

fn summary(r: &Resource) -> String {
    match r {
        Resource::Service(s) => {
            format!("concurrency {}, timeout {} ms", s.concurrency, s.timeout_ms)
        }
        Resource::Route(r) => format!("{} to {}", r.path, r.service),
        Resource::Upstream(u) => {
            let state = format!("{:?}", u.state).to_lowercase();
            format!("{} of {} in {}, {state}", u.address, u.service, u.data_center)
        }
        Resource::Ownership(o) => {
            format!("{} slots, {} pins, homes {}", o.slots, o.pins.len(), o.homes.join(" "))
        }
    }
}

/// Prints the state of an instance, and tables of the instances, cells and upstreams it knows.
pub(crate) fn print_status(s: &Status) {
    let platform = if s.platform_up { "reachable" } else { "not reachable" };
    println!(
        "{} in {}: revision {}, platform {platform}, {} record lines waiting\n",
        s.instance, s.data_center, s.revision, s.record_waiting
    );
    let members: Vec<_> = s
        .members
        .iter()
        .map(|m| {
            vec![
                m.name.clone(),
                m.data_center.clone(),
                m.revision.to_string(),
                m.controls.to_string(),
                format!("{} ms ago", m.heard_ms_ago),
                if m.leaving { "leaving".to_owned() } else { String::new() },
            ]
        })
        .collect();
    let header = ["INSTANCE", "DATA CENTRE", "REVISION", "CONTROLS", "HEARD", "STATE"];
    println!("{}\n", format_table(&header, &members));
    let cells: Vec<_> = s
        .cells
        .iter()
        .map(|c| {
            let owners = c.owners.iter().map(|(o, n)| format!("{o}:{n}"));
            vec![
                c.cell.clone(),
                c.term.to_string(),
                c.controller.clone(),
                c.standbys.join(" "),
                owners.collect::<Vec<_>>().join(" "),
            ]
        })
        .collect();
    println!(
        "{}\n",
        format_table(&["CELL", "TERM", "CONTROLLER", "STANDBYS", "SLOTS BY OWNER"], &cells)
    );
    let upstreams: Vec<_> = s
        .upstreams
        .iter()
        .map(|u| {
            let state = if u.ejected { "ejected" } else { "" };
            vec![u.name.clone(), u.in_flight.to_string(), u.waiting.to_string(), state.to_owned()]
        })
        .collect();
    println!("{}", format_table(&["UPSTREAM", "IN FLIGHT", "WAITING", "STATE"], &upstreams));
}
