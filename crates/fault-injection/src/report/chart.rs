//! The chart of a report: the service of each second as a line, with the faults as bands behind it.

use std::path::Path;

use plotters::prelude::*;

use super::Report;

impl Report {
    pub(super) fn chart(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(path, (760, 320)).into_drawing_area();
        root.fill(&WHITE)?;
        let end = self.seconds.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: service by second", self.scenario), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0f64..end, 0f64..1.05f64)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for t in &self.faults {
            let to = t.to_s.max(t.from_s + 0.05);
            let band = Rectangle::new([(t.from_s, 0.0), (to, 1.05)], RED.mix(0.08).filled());
            chart.draw_series(std::iter::once(band))?;
        }
        let with_queries = self.seconds.iter().enumerate().filter(|(_, c)| c.queries > 0);
        let line: Vec<(f64, f64)> = with_queries.map(|(n, c)| (n as f64 + 0.5, c.service())).collect();
        chart.draw_series(LineSeries::new(line, &BLUE))?;
        root.present()?;
        Ok(())
    }
}
