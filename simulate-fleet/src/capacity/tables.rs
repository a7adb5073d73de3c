//! Capacity tables: values by fleet size with their linear fit.
use super::{Measurement, Tally};
use crate::prelude::*;

/// Fits a line by least squares: returns the intercept, the slope, and the share of the
/// variance that the line does not explain.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|point| point.0).sum::<f64>() / count,
        points.iter().map(|point| point.1).sum::<f64>() / count,
    );
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let spread: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let residual_share: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    (
        intercept,
        slope,
        if spread > 0.0 {
            residual_share / spread
        } else {
            0.0
        },
    )
}

impl Measurement {
    /// Rows of the table of counts, which depend only on the fleet size. Frames and bytes are
    /// counted at the sender, per second for continuous traffic and per event otherwise.
    pub fn counts(&self) -> Vec<(&'static str, f64)> {
        let mut lines = self.quiet_counts();
        lines.extend(self.event_counts());
        lines.extend(self.state_counts());
        lines
    }

    /// Counts of continuous traffic.
    fn quiet_counts(&self) -> Vec<(&'static str, f64)> {
        let (edges, control) = (self.edges as f64, self.control as f64);
        let seconds = self.quiet.span.as_secs_f64();
        let quiet = |role, name| self.quiet.rate(role, name);
        let (renew_requests, renew_replies) = (
            quiet(Role::Edge, "RenewRequest"),
            quiet(Role::Control, "RenewReply"),
        );
        let heartbeats = quiet(Role::Control, "Heartbeat");
        let rounds = ["AppendRequest", "AppendReply", "Rounds", "Rounded"]
            .map(|name| quiet(Role::Control, name))
            .iter()
            .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        vec![
            (
                "renewals and answers, frames a second, an edge",
                (renew_requests.0 + renew_replies.0) / edges,
            ),
            (
                "renewals and answers, bytes a second, an edge",
                (renew_requests.1 + renew_replies.1) / edges,
            ),
            (
                "beats, frames a second, a control node",
                heartbeats.0 / control,
            ),
            (
                "beats, bytes a second, a control node",
                heartbeats.1 / control,
            ),
            (
                "rounds, frames a second, a control node",
                rounds.0 / control,
            ),
            ("rounds, bytes a second, a control node", rounds.1 / control),
            (
                "records a second, a control node",
                self.quiet.records.0 as f64 / seconds / control,
            ),
            (
                "probes a second, all gates",
                self.quiet.health_checks as f64 / seconds,
            ),
        ]
    }

    /// Counts of the additional traffic that an event causes.
    fn event_counts(&self) -> Vec<(&'static str, f64)> {
        let purge = self.beyond_quiet(&self.purge.0);
        let configuration = self.beyond_quiet(&self.configuration.0);
        let loss = self.beyond_quiet(&self.loss);
        vec![
            ("a purge: frames more, all nodes", purge.0),
            ("a purge: bytes more, all nodes", purge.1),
            ("a configuration: frames more, all nodes", configuration.0),
            ("a configuration: bytes more, all nodes", configuration.1),
            ("an edge lost: frames more, all nodes", loss.0),
            ("an edge lost: bytes more, all nodes", loss.1),
        ]
    }

    /// Frames and bytes in addition to those of a quiet period of the same length.
    fn beyond_quiet(&self, tally: &Tally) -> (f64, f64) {
        let (event, idle) = (tally.total_sent(), self.quiet.total_sent());
        let share = tally.span.as_secs_f64() / self.quiet.span.as_secs_f64();
        (
            event.0 as f64 - idle.0 as f64 * share,
            event.1 as f64 - idle.1 as f64 * share,
        )
    }

    /// Numbers of rows and bytes of the published partitions.
    fn state_counts(&self) -> Vec<(&'static str, f64)> {
        let rows = |partition: u8| self.state[usize::from(partition)].0 as f64;
        let bytes = |partition: u8| self.state[usize::from(partition)].1 as f64;
        vec![
            ("news rows: configuration", rows(CONFIGURATION_PARTITION)),
            ("news bytes: configuration", bytes(CONFIGURATION_PARTITION)),
            ("news bytes: origins", bytes(ORIGINS_PARTITION)),
            ("news rows: duties", rows(ASSIGNMENTS_PARTITION)),
            ("news bytes: duties", bytes(ASSIGNMENTS_PARTITION)),
            ("news bytes: places", bytes(MEMBERSHIP_PARTITION)),
        ]
    }

    /// Rows of the table of times and memory, which depend on the machine, except virtual times.
    pub fn times(&self) -> Vec<(&'static str, f64)> {
        let longest = |tally: &Tally, role| {
            tally
                .steps
                .iter()
                .filter(|((step_role, _), _)| *step_role == role)
                .map(|(_, (_, _, most))| most.as_secs_f64() * 1e3)
                .fold(0.0, f64::max)
        };
        let (control, edge) = self.memory.unwrap_or_default();
        vec![
            (
                "quiet: share of a core, a control node, %",
                100.0 * self.quiet.core_share(Role::Control, self.control),
            ),
            (
                "quiet: share of a core, an edge, %",
                100.0 * self.quiet.core_share(Role::Edge, self.edges),
            ),
            (
                "quiet: longest step of a control node, ms",
                longest(&self.quiet, Role::Control),
            ),
            (
                "an edge lost: share of a core over 5 s, a control node, %",
                100.0 * self.loss.core_share(Role::Control, self.control),
            ),
            (
                "an edge lost: share of a core over 5 s, an edge, %",
                100.0 * self.loss.core_share(Role::Edge, self.edges),
            ),
            (
                "an edge lost: longest step of a control node, ms",
                longest(&self.loss, Role::Control),
            ),
            (
                "a purge in force everywhere, virtual ms",
                self.purge.1.as_secs_f64() * 1e3,
            ),
            (
                "a configuration in force everywhere, virtual ms",
                self.configuration.1.as_secs_f64() * 1e3,
            ),
            ("memory of a control node's part, kB", control as f64 / 1e3),
            ("memory of an edge's part, kB", edge as f64 / 1e3),
        ]
    }

    /// Formats a table of rows by fleet size, with a linear fit over all sizes.
    pub fn table(
        list: &[Measurement],
        lines: &dyn Fn(&Measurement) -> Vec<(&'static str, f64)>,
    ) -> String {
        let mut text = String::from("| line |");
        list.iter()
            .for_each(|measurement| text += &format!(" {} |", measurement.edges));
        text += " constant | slope an edge | left over |\n|---|";
        text += &"---|".repeat(list.len() + 3);
        text += "\n";
        let all: Vec<_> = list.iter().map(lines).collect();
        for (at, (name, _)) in all[0].iter().enumerate() {
            text += &format!("| {name} |");
            all.iter()
                .for_each(|lines| text += &format!(" {} |", number(lines[at].1)));
            let points: Vec<(f64, f64)> = list
                .iter()
                .zip(&all)
                .map(|(measurement, lines)| (measurement.edges as f64, lines[at].1))
                .collect();
            let (intercept, slope, residual_share) = fit(&points);
            text += &format!(
                " {} | {} | {:.0} % |\n",
                number(intercept),
                number(slope),
                100.0 * residual_share
            );
        }
        text
    }
}

/// Formats a number with four significant digits and without trailing zeros.
fn number(value: f64) -> String {
    let digits = if value == 0.0 {
        0
    } else {
        (3 - value.abs().log10().floor() as i32).clamp(0, 4) as usize
    };
    let text = format!("{value:.digits$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').into()
    } else {
        text
    }
}
