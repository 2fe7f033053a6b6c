//! The report on the burn rates of error budgets.

use crate::output;
use mulberryspur::burn::{Alert, ServiceBurn, alert_for_rates};

/// Width of a full bar in characters.
const BAR_WIDTH: usize = 20;
/// Burn rate at which a bar is full.
const FULL_BAR_RATE: f64 = 15.0;

fn rate_bar(rate: f64) -> String {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let filled =
        (rate / FULL_BAR_RATE * BAR_WIDTH as f64).clamp(0.0, BAR_WIDTH as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(BAR_WIDTH - filled))
}

fn alert_label(alert: Alert) -> &'static str {
    match alert {
        Alert::None => "ok",
        Alert::Ticket => "TICKET",
        Alert::Page => "PAGE",
    }
}

/// Formats a table of burn rates by window for each objective of each service.
pub(crate) fn format_report(services: &[ServiceBurn]) -> String {
    let mut sections = Vec::new();
    for s in services {
        let o = &s.objective;
        let objectives = [
            (format!("availability {:.3} %", o.availability * 100.0), s.availability_burn_rates()),
            (
                format!("{:.1} % within {} ms", o.latency_share * 100.0, o.latency_ms),
                s.latency_burn_rates(),
            ),
        ];
        for (objective, rates) in objectives {
            let budget_used = rates.last().copied().unwrap_or(0.0);
            let left = (100.0 * (1.0 - budget_used)).max(0.0);
            let state = alert_label(alert_for_rates(&rates));
            let title =
                format!("{}: {objective}: {state}, {left:.0} % of 3 days' budget left", s.service);
            let rows: Vec<Vec<String>> = s
                .windows
                .iter()
                .zip(&rates)
                .map(|((window, counts), rate)| {
                    vec![
                        window.clone(),
                        counts.total.to_string(),
                        format!("{rate:.2}"),
                        rate_bar(*rate),
                    ]
                })
                .collect();
            let table = output::format_table(&["WINDOW", "REQUESTS", "BURN", ""], &rows);
            sections.push(format!("{title}\n{table}"));
        }
    }
    sections.join("\n\n")
}
