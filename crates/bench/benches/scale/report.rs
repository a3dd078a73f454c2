//! Figures as a table, as JSON and as plots.

use crate::node::Figures;
use corkhollow_laboratory::scale::PowerFit;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::Path;

/// What one program did at one size, in each of its runs.
#[derive(Serialize)]
pub struct Row {
    pub program: String,
    /// The size by a name.
    pub size: String,
    /// The count against which figures are fitted.
    pub count: f64,
    pub runs: Vec<Figures>,
}

impl Row {
    /// Least, median and greatest of a figure over the runs.
    fn spread(&self, figure: &str) -> Option<[f64; 3]> {
        let mut all: Vec<f64> = self.runs.iter().filter_map(|run| run.get(figure).copied()).collect();
        all.sort_by(f64::total_cmp);
        Some([*all.first()?, all[all.len() / 2], *all.last()?])
    }
}

fn number(figure: f64) -> String {
    match figure.abs() {
        _ if !figure.is_finite() => "given up".to_owned(),
        f if f >= 100.0 => format!("{figure:.0}"),
        f if f >= 10.0 => format!("{figure:.1}"),
        f if f >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.3}"),
    }
}

fn cell(spread: Option<[f64; 3]>) -> String {
    match spread {
        None => String::new(),
        Some([least, median, most]) if least == most => number(median),
        Some([least, median, most]) => format!("{} ({} to {})", number(median), number(least), number(most)),
    }
}

/// One table for each program: medians over the runs with the least and the greatest, and how each figure grows.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::new();
    let programs: BTreeSet<_> = rows.iter().map(|row| row.program.as_str()).collect();
    for program in programs {
        let own: Vec<_> = rows.iter().filter(|row| row.program == program).collect();
        let names: BTreeSet<_> = own.iter().flat_map(|row| &row.runs).flat_map(|run| run.keys()).collect();
        let sizes: Vec<_> = own.iter().map(|row| row.size.as_str()).collect();
        out += &format!(
            "\n| {program} | {} | grows |\n| --- |{}\n",
            sizes.join(" | "),
            " --- |".repeat(own.len() + 1)
        );
        for name in names {
            let cells: Vec<_> = own.iter().map(|row| cell(row.spread(name))).collect();
            let points: Vec<_> =
                own.iter().filter_map(|row| Some((row.count, row.spread(name)?[1]))).collect();
            let fit = PowerFit::of(&points).filter(|_| points.iter().all(|p| p.1.is_finite()));
            let grows = fit.map_or(String::new(), |fit| {
                format!("{}: power {:.2}, within {:.0}%", fit.growth(), fit.power, 100.0 * fit.residual)
            });
            out += &format!("| {name} | {} | {grows} |\n", cells.join(" | "));
        }
    }
    out
}

/// One plot of a figure over the count, both on logarithmic scales, a line for each program.
pub fn plot(path: &Path, figure: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let programs: Vec<_> =
        rows.iter().map(|row| row.program.as_str()).collect::<BTreeSet<_>>().into_iter().collect();
    let line = |program: &str| -> Vec<(f64, f64)> {
        let own = rows.iter().filter(|row| row.program == program);
        own.filter_map(|row| Some((row.count, row.spread(figure)?[1])))
            .filter(|p| p.1 > 0.0 && p.1.is_finite())
            .collect()
    };
    let all: Vec<_> = programs.iter().flat_map(|program| line(program)).collect();
    let range = |part: fn(&(f64, f64)) -> f64| {
        let values = all.iter().map(part);
        values.fold((f64::MAX, f64::MIN_POSITIVE), |(least, most), v| (least.min(v), most.max(v)))
    };
    if all.is_empty() {
        return Ok(());
    }
    let ((x0, x1), (y0, y1)) = (range(|p| p.0), range(|p| p.1));
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(figure, ("sans-serif", 16))
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
