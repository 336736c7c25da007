//! The report as a Markdown page. Its terms are those of `docs/rehearsal-operators.md`.

use super::Report;
use crate::invariants::Violation;
use crate::statistics::OutcomeCounts;

/// The number of violations listed on the page. A run can violate one rule ten thousand times; the first ones suffice.
const VIOLATIONS_SHOWN: usize = 50;

const OUTCOMES_HEAD: &str = "| | asked | answered | in soft limit | short | dismissed | given up | lost | late | service |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
const FAULTS_HEAD: &str = "\n## Troubles\n\n| from s | to s | what | stores |\n| --- | --- | --- | --- |\n";

impl Report {
    /// Returns the report as a Markdown page with tables.
    pub fn page(&self) -> String {
        let mut page = self.summary();
        page += &self.outcomes();
        page += FAULTS_HEAD;
        for fault in &self.faults {
            let (from_s, to_s, stores) = (fault.from_s, fault.to_s, fault.stores.join(", "));
            page += &format!("| {from_s:.1} | {to_s:.1} | {} | {stores} |\n", fault.what);
        }
        page += &self.rules();
        page += "\n![service](service.svg)\n";
        page
    }

    fn summary(&self) -> String {
        let [half, p90, p99, p999] = self.latency_ms;
        let tries = self.all.tries as f64 / self.all.queries.max(1) as f64;
        format!(
            "# Rehearsal: {}\n\n**{:?}**: {} (seed {}).\n\n\
             Latency {half:.0} ms at the half, {p90:.0} at 0.9, {p99:.0} at 0.99, {p999:.0} at 0.999, from the intended \
             moment; the load itself was {:.1} ms late at 0.99. {} launches, {tries:.2} tries a want, {} events audited.\n\n",
            self.scenario, self.verdict, self.why, self.seed, self.load_delay_ms, self.attempts, self.events
        )
    }

    fn outcomes(&self) -> String {
        let mut table = OUTCOMES_HEAD.to_owned();
        table += &row("all", &self.all);
        table.extend(self.classes.iter().map(|(name, counts)| row(name, counts)));
        table.extend(self.tenants.iter().map(|(name, counts)| row(&format!("tenant {name}"), counts)));
        table
    }

    fn rules(&self) -> String {
        let mut list = "\n## Rules\n\n".to_owned();
        if self.violations.is_empty() {
            list += "None was broken.\n";
        }
        list.extend(self.violations.iter().take(VIOLATIONS_SHOWN).map(line));
        if self.violations.len() > VIOLATIONS_SHOWN {
            let more = self.violations.len() - VIOLATIONS_SHOWN;
            list += &format!("- and {more} more, in report.json.\n");
        }
        list
    }
}

fn row(name: &str, c: &OutcomeCounts) -> String {
    format!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {:.3} |\n",
        c.queries,
        c.answered,
        c.within_target,
        c.partial,
        c.rejected,
        c.expired,
        c.lost,
        c.late,
        c.service()
    )
}

fn line(violation: &Violation) -> String {
    let part = violation.shard.map_or(String::new(), |shard| format!(", part {shard}"));
    format!(
        "- **Rule {}, {}**, at {} ms: retrieval {}{part}, store {}. {}.\n",
        violation.rule,
        violation.name,
        violation.at_ms,
        violation.query.as_deref().unwrap_or("-"),
        violation.store.as_deref().unwrap_or("-"),
        violation.proof.join("; ")
    )
}
