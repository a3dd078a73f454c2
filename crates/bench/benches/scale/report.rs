//! Reports measurements as tables, JSON and plots.

use crate::node::Measurements;
use corkhollow_laboratory::scale::PowerFit;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::Path;

/// The measurements of one program at one size.
#[derive(Serialize)]
pub struct Row {
    pub program: String,
    /// Name of the size.
    pub size: String,
    /// The count to which the growth of measurements refers.
    pub count: f64,
    pub runs: Vec<Measurements>,
}

impl Row {
    /// Minimum, median and maximum of a measurement over the runs.
    fn min_median_max(&self, measurement: &str) -> Option<[f64; 3]> {
        let mut values: Vec<f64> = self.runs.iter().filter_map(|run| run.get(measurement).copied()).collect();
        values.sort_by(f64::total_cmp);
        Some([*values.first()?, values[values.len() / 2], *values.last()?])
    }
}

fn format_number(measurement: f64) -> String {
    match measurement.abs() {
        _ if !measurement.is_finite() => "given up".to_owned(),
        f if f >= 100.0 => format!("{measurement:.0}"),
        f if f >= 10.0 => format!("{measurement:.1}"),
        f if f >= 1.0 => format!("{measurement:.2}"),
        _ => format!("{measurement:.3}"),
    }
}

fn format_cell(values: Option<[f64; 3]>) -> String {
    match values {
        None => String::new(),
        Some([min, median, max]) if min == max => format_number(median),
        Some([min, median, max]) => {
            format!("{} ({} to {})", format_number(median), format_number(min), format_number(max))
        }
    }
}

/// Formats a table for each program: median, minimum and maximum over the runs, and how each measurement grows.
pub fn format_table(rows: &[Row]) -> String {
    let mut out = String::new();
    let programs: BTreeSet<_> = rows.iter().map(|row| row.program.as_str()).collect();
    for program in programs {
        let program_rows: Vec<_> = rows.iter().filter(|row| row.program == program).collect();
        let names: BTreeSet<_> =
            program_rows.iter().flat_map(|row| &row.runs).flat_map(|run| run.keys()).collect();
        let sizes: Vec<_> = program_rows.iter().map(|row| row.size.as_str()).collect();
        out += &format!(
            "\n| {program} | {} | grows |\n| --- |{}\n",
            sizes.join(" | "),
            " --- |".repeat(program_rows.len() + 1)
        );
        for name in names {
            let cells: Vec<_> =
                program_rows.iter().map(|row| format_cell(row.min_median_max(name))).collect();
            let points: Vec<_> = program_rows
                .iter()
                .filter_map(|row| Some((row.count, row.min_median_max(name)?[1])))
                .collect();
            let fit = PowerFit::of(&points).filter(|_| points.iter().all(|p| p.1.is_finite()));
            let growth = fit.map_or(String::new(), |fit| {
                format!("{}: power {:.2}, within {:.0}%", fit.growth(), fit.power, 100.0 * fit.residual)
            });
            out += &format!("| {name} | {} | {growth} |\n", cells.join(" | "));
        }
    }
    out
}

/// Plots a measurement over the count as an SVG, on logarithmic scales, with a line for each program.
pub fn plot(path: &Path, measurement: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let programs: Vec<_> =
        rows.iter().map(|row| row.program.as_str()).collect::<BTreeSet<_>>().into_iter().collect();
    let line = |program: &str| -> Vec<(f64, f64)> {
        let program_rows = rows.iter().filter(|row| row.program == program);
        program_rows
            .filter_map(|row| Some((row.count, row.min_median_max(measurement)?[1])))
            .filter(|p| p.1 > 0.0 && p.1.is_finite())
            .collect()
    };
    let values: Vec<_> = programs.iter().flat_map(|program| line(program)).collect();
    let range = |part: fn(&(f64, f64)) -> f64| {
        let values = values.iter().map(part);
        values.fold((f64::MAX, f64::MIN_POSITIVE), |(min, max), v| (min.min(v), max.max(v)))
    };
    if values.is_empty() {
        return Ok(());
    }
    let ((x0, x1), (y0, y1)) = (range(|p| p.0), range(|p| p.1));
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(measurement, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d((x0 * 0.9..x1 * 1.1).log_scale(), (y0 * 0.7..y1 * 1.4).log_scale())?;
    chart.configure_mesh().x_desc("part of the size").draw()?;
    for (program, colour) in programs.iter().zip([BLUE, RED, GREEN]) {
        chart
            .draw_series(LineSeries::new(line(program), colour.stroke_width(2)))?
            .label(*program)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        chart.draw_series(line(program).into_iter().map(|point| Circle::new(point, 3, colour)))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
