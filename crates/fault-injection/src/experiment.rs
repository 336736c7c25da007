//! Experiments: many runs of a scenario in virtual time over a grid of scenario keys, seeds and policies. Each run
//! has a unique name, so that an interrupted experiment can be resumed. Results are compared in pairs of the same
//! seed.
//!
//! ```
//! use orchidvalve_fault_injection::experiment::Plan;
//!
//! let plan = "scenario = 'x.toml'\nseeds = 3\npolicies = ['ours', 'random']\n[[grid]]\nkey = 'stores.work_ms'\nvalues = [4.0, 8.0]\n";
//! assert_eq!(Plan::read(plan).unwrap().cells().len(), 12);
//! let error = Plan::read(&plan.replace("'random'", "'chance'")).unwrap_err();
//! assert!(error.to_string().contains("unknown variant `chance`"), "{error}");
//! ```

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::emulator::play;
use crate::error::{RunError, ScenarioError};
use crate::policy::Policy;
use crate::scenario::Scenario;

/// The plan of an experiment: many runs of one scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Path of the scenario's file, relative to the plan's file.
    pub scenario: String,
    /// The number of seeds; the seeds are 1 to this number.
    pub seeds: u64,
    /// The policies; the others are compared with the first one.
    #[serde(default = "Plan::policies")]
    pub policies: Vec<Policy>,
    /// Keys of the scenario with their values; all combinations are run.
    #[serde(default)]
    pub grid: Vec<Axis>,
}

/// A key of the scenario and its values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    /// Path of the key, such as `stores.work_ms`, `load.0.rate` for the first period of load, or `load.*.rate` for all
    /// periods.
    pub key: String,
    /// The values of the key.
    pub values: Vec<toml::Value>,
}

/// One run of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Policy of the front nodes.
    pub policy: Policy,
    /// The seed that arrivals and affected stores are drawn from.
    pub seed: u64,
    /// Keys and their values, in the plan's order.
    pub set: Vec<(String, toml::Value)>,
}

impl Cell {
    /// Returns the position in the grid, as text: all keys and values, without policy and seed.
    pub fn point(&self) -> String {
        let words: Vec<String> = self.set.iter().map(|(key, value)| format!("{key}={value}")).collect();
        words.join(" ")
    }

    /// Returns the name of the run, which is unique within its plan and identifies its stored outcome.
    pub fn name(&self) -> String {
        format!("{}|{}|{}", self.policy.name(), self.seed, self.point())
    }
}

/// The results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Policy of the front nodes.
    pub policy: Policy,
    /// The seed that arrivals and affected stores were drawn from.
    pub seed: u64,
    /// The position in the grid, as text.
    pub point: String,
    /// The fraction of queries that were answered before their deadline, 0 to 1.
    pub service: f64,
    /// The fraction of queries that had a complete response within their latency target, 0 to 1.
    pub soft: f64,
    /// Latency at the quantiles 0.5, 0.9, 0.99 and 0.999, in milliseconds.
    pub latency_ms: [f64; 4],
    /// The number of attempts per shard request.
    #[serde(rename = "launches_a_part")]
    pub attempts_per_request: f64,
    /// The number of violations of rules.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Numbers of the violated rules, ascending.
    pub rules: Vec<u8>,
}

impl Plan {
    fn policies() -> Vec<Policy> {
        vec![Policy::Aggregator]
    }

    /// Parses and checks a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML, or if a key is missing or unknown or its value is out of bounds.
    pub fn read(text: &str) -> Result<Plan, ScenarioError> {
        let plan: Plan = toml::from_str(text)?;
        if !(1..=10_000).contains(&plan.seeds) {
            return Err(ScenarioError::value("seeds", format!("should be 1 to 10000, not {}", plan.seeds)));
        }
        for (n, axis) in plan.grid.iter().enumerate() {
            if axis.values.is_empty() {
                return Err(ScenarioError::value(
                    format!("grid[{n}].values"),
                    "should have at least one entry",
                ));
            }
        }
        if plan.policies.is_empty() {
            return Err(ScenarioError::value("policies", "should have at least one entry"));
        }
        Ok(plan)
    }

    /// Returns all runs, ordered by seed, so that the early runs already cover every point of the grid.
    pub fn cells(&self) -> Vec<Cell> {
        let points = self.points();
        let mut cells = Vec::new();
        for seed in 1..=self.seeds {
            for set in &points {
                let of = |policy: &Policy| Cell { policy: *policy, seed, set: set.clone() };
                cells.extend(self.policies.iter().map(of));
            }
        }
        cells
    }

    /// Returns the points of the grid: every combination of the keys' values.
    fn points(&self) -> Vec<Vec<(String, toml::Value)>> {
        let mut points: Vec<Vec<(String, toml::Value)>> = vec![Vec::new()];
        for axis in &self.grid {
            let longer = |point: &Vec<(String, toml::Value)>| {
                let with = |value: &toml::Value| {
                    let mut point = point.clone();
                    point.push((axis.key.clone(), value.clone()));
                    point
                };
                axis.values.iter().map(with).collect::<Vec<_>>()
            };
            points = points.iter().flat_map(longer).collect();
        }
        points
    }
}

/// Returns the scenario with the keys of a run set; `text` is the content of the scenario's file.
pub fn with_keys_set(text: &str, cell: &Cell) -> Result<Scenario, ScenarioError> {
    let mut table = toml::Value::Table(toml::from_str::<toml::Table>(text)?);
    for (key, value) in &cell.set {
        let steps: Vec<&str> = key.split('.').collect();
        set(&mut table, &steps, value)
            .ok_or_else(|| ScenarioError::value("grid", format!("the scenario has no key '{key}'")))?;
    }
    Scenario::read(&toml::to_string(&table)?)
}

/// Sets the key whose path is `steps`. The table that contains the key must exist, the key itself need not: the
/// scenario's own check reports a misspelt key. Returns `None` if the path does not exist.
fn set(at: &mut toml::Value, steps: &[&str], value: &toml::Value) -> Option<()> {
    let Some((first, rest)) = steps.split_first() else {
        *at = value.clone();
        return Some(());
    };
    match at {
        toml::Value::Array(items) if *first == "*" => {
            items.iter_mut().try_for_each(|item| set(item, rest, value))
        }
        toml::Value::Array(items) => set(items.get_mut(first.parse::<usize>().ok()?)?, rest, value),
        toml::Value::Table(table) if rest.is_empty() => {
            table.insert((*first).to_owned(), value.clone());
            Some(())
        }
        toml::Value::Table(table) => set(table.get_mut(*first)?, rest, value),
        _ => None,
    }
}

/// Executes one run of a plan.
pub fn run(text: &str, cell: &Cell) -> Result<Outcome, RunError> {
    let scenario = with_keys_set(text, cell)?;
    let (report, _) = play(&scenario, cell.seed, cell.policy)?;
    let mut rules: Vec<u8> = report.violations.iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    Ok(Outcome {
        policy: cell.policy,
        seed: cell.seed,
        point: cell.point(),
        service: report.service,
        soft: report.all.within_target as f64 / report.all.queries.max(1) as f64,
        latency_ms: report.latency_ms,
        attempts_per_request: report.attempts as f64 / report.shard_requests.max(1) as f64,
        violations: report.violations.len() as u64,
        rules,
    })
}

/// A mean over seeds with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the 95% confidence interval; NaN if there are fewer than two values.
    pub within: f64,
    /// The number of values.
    pub n: usize,
}

/// Returns the two-sided 95% quantile of Student's t-distribution for the given degrees of freedom.
fn student(freedom: usize) -> f64 {
    const TABLE: [f64; 15] =
        [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13];
    match freedom {
        0 => f64::NAN,
        f if f <= TABLE.len() => TABLE[f - 1],
        f if f <= 30 => 2.06,
        _ => 1.98,
    }
}

/// Returns the mean of the values and its confidence interval.
pub fn mean(of: &[f64]) -> Mean {
    let n = of.len();
    let mean = of.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return Mean { mean, within: f64::NAN, n };
    }
    let spread = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    Mean { mean, within: student(n - 1) * (spread / n as f64).sqrt(), n }
}

/// The results of one policy at one point of the grid.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The position in the grid, as text.
    pub point: String,
    /// Policy of the front nodes.
    pub policy: Policy,
    /// The fraction of queries that were answered before their deadline, 0 to 1.
    pub service: Mean,
    /// The fraction of queries that had a complete response within their latency target, 0 to 1.
    pub soft: Mean,
    /// Mean difference of `soft` to the plan's first policy, seed by seed; `None` for the first policy itself.
    pub against: Option<Mean>,
    /// Latency at the quantile 0.99, in milliseconds.
    pub p99_ms: Mean,
    /// The number of attempts per shard request.
    #[serde(rename = "launches_a_part")]
    pub attempts_per_request: Mean,
    /// The number of violations of rules.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Numbers of the violated rules, ascending.
    pub rules: Vec<u8>,
}

/// Returns a row for each point and policy, in the order of the plan.
pub fn rows(plan: &Plan, outcomes: &[Outcome]) -> Vec<Row> {
    let mut points: Vec<String> = Vec::new();
    for cell in plan.cells() {
        if !points.contains(&cell.point()) {
            points.push(cell.point());
        }
    }
    let mut by: BTreeMap<(&str, Policy), BySeed> = BTreeMap::new();
    for o in outcomes {
        by.entry((&o.point, o.policy)).or_default().insert(o.seed, o);
    }
    let mut rows = Vec::new();
    for point in &points {
        let first = by.get(&(point.as_str(), plan.policies[0]));
        for &policy in &plan.policies {
            let Some(outcomes) = by.get(&(point.as_str(), policy)) else { continue };
            let first = first.filter(|_| policy != plan.policies[0]);
            rows.push(row(point, policy, outcomes, first));
        }
    }
    rows
}

/// The outcomes of one point and policy, by seed.
type BySeed<'a> = BTreeMap<u64, &'a Outcome>;

/// Returns the row of one point and policy; `first` holds the outcomes of the first policy to compare with.
fn row(point: &str, policy: Policy, outcomes: &BySeed, first: Option<&BySeed>) -> Row {
    let over = |pick: fn(&Outcome) -> f64| mean(&outcomes.values().map(|o| pick(o)).collect::<Vec<_>>());
    let mut rules: Vec<u8> = outcomes.values().flat_map(|o| o.rules.clone()).collect();
    rules.sort_unstable();
    rules.dedup();
    Row {
        point: point.to_owned(),
        policy,
        service: over(|o| o.service),
        soft: over(|o| o.soft),
        against: first.map(|first| mean_difference(outcomes, first)),
        p99_ms: over(|o| o.latency_ms[2]),
        attempts_per_request: over(|o| o.attempts_per_request),
        violations: outcomes.values().map(|o| o.violations).sum(),
        rules,
    }
}

/// Returns the mean difference to `first` in the fraction of complete responses within the latency target, over the
/// seeds that both have.
fn mean_difference(outcomes: &BySeed, first: &BySeed) -> Mean {
    let difference = |(seed, o): (&u64, &&Outcome)| Some(o.soft - first.get(seed)?.soft);
    mean(&outcomes.iter().filter_map(difference).collect::<Vec<_>>())
}

/// Returns the rows as a Markdown table.
pub fn page(plan: &Plan, rows: &[Row]) -> String {
    let mut page = format!("# Experiment on {}\n\n", plan.scenario);
    let first = plan.policies[0].name();
    let _ = writeln!(
        page,
        "| point | policy | service | within soft limit | against {first} | p99 ms | launches a part | rules broken |"
    );
    let _ = writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        let _ = writeln!(page, "{}", page_line(row));
    }
    page
}

fn page_line(row: &Row) -> String {
    let rules = if row.rules.is_empty() {
        "none".to_owned()
    } else {
        format!("{:?}, {} times", row.rules, row.violations)
    };
    let against = row.against.as_ref().map_or("-".to_owned(), |mean| format_mean(mean, 3));
    format!(
        "| {} | {} | {} | {} | {against} | {} | {} | {rules} |",
        row.point,
        row.policy.name(),
        format_mean(&row.service, 3),
        format_mean(&row.soft, 3),
        format_mean(&row.p99_ms, 0),
        format_mean(&row.attempts_per_request, 2)
    )
}

fn format_mean(mean: &Mean, digits: usize) -> String {
    if mean.within.is_nan() {
        format!("{:.digits$}", mean.mean)
    } else {
        format!("{:.digits$} ± {:.digits$}", mean.mean, mean.within)
    }
}

/// Draws the fraction of complete responses within the latency target over the points of the grid, with a line for each
/// policy and confidence intervals as bars.
pub fn chart(plan: &Plan, rows: &[Row], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut points: Vec<&str> = Vec::new();
    for r in rows {
        if !points.contains(&r.point.as_str()) {
            points.push(&r.point);
        }
    }
    let root = SVGBackend::new(path, (820, 380)).into_drawing_area();
    root.fill(&WHITE)?;
    let (low, end) = (lowest_share(rows), points.len().max(2) as f64 - 0.5);
    let mut chart = ChartBuilder::on(&root)
        .caption("share answered whole within its soft limit", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(-0.5f64..end, low..1.02f64)?;
    let name = |x: &f64| {
        let near = x.round();
        let index = if (x - near).abs() < 0.01 && near >= 0.0 { near as usize } else { usize::MAX };
        points.get(index).map_or(String::new(), |p| (*p).to_owned())
    };
    chart.configure_mesh().x_labels(points.len().max(2) * 2).x_label_formatter(&name).draw()?;
    for (n, policy) in plan.policies.iter().enumerate() {
        let of_policy: Vec<&Row> = rows.iter().filter(|r| r.policy == *policy).collect();
        draw_policy(&mut chart, n, *policy, &of_policy, &points)?;
    }
    chart.configure_series_labels().border_style(BLACK).position(SeriesLabelPosition::LowerLeft).draw()?;
    root.present()?;
    Ok(())
}

/// Returns the start of the chart's vertical axis: slightly below the lowest end of all confidence intervals.
fn lowest_share(rows: &[Row]) -> f64 {
    let low = rows.iter().map(|r| r.soft.mean - if r.soft.within.is_nan() { 0.0 } else { r.soft.within });
    (low.fold(1.0, f64::min) - 0.05).max(0.0)
}

/// Draws the line of the policy with number `n`, and a bar at each point for the confidence interval. Bars of different
/// policies are drawn side by side.
fn draw_policy<DB: DrawingBackend>(
    chart: &mut ChartContext<'_, DB, Cartesian2d<RangedCoordf64, RangedCoordf64>>,
    n: usize,
    policy: Policy,
    rows: &[&Row],
    points: &[&str],
) -> Result<(), DrawingAreaErrorKind<DB::ErrorType>> {
    let colour = Palette99::pick(n).to_rgba();
    let at = |point: &str| points.iter().position(|p| *p == point).unwrap_or(0) as f64;
    let line: Vec<(f64, f64)> = rows.iter().map(|r| (at(&r.point), r.soft.mean)).collect();
    chart
        .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
        .label(policy.name())
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    let bars = rows.iter().filter(|r| !r.soft.within.is_nan()).map(|r| {
        let (x, m) = (at(&r.point) + 0.02 * n as f64, r.soft);
        PathElement::new(vec![(x, m.mean - m.within), (x, (m.mean + m.within).min(1.02))], colour)
    });
    chart.draw_series(bars)?;
    Ok(())
}
