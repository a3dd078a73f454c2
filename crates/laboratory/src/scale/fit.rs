//! How a figure grows with a count: a power fitted to some measurements.

/// `figure = factor * count ^ power`, as far as it is so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The figure at a count of 1.
    pub factor: f64,
    /// 1 where it grows like the count, 2 where like its square.
    pub power: f64,
    /// The most that a measurement lies beside it, as a part of what it gives.
    pub residual: f64,
}

impl Fit {
    /// The fit of least squares over the logarithms; none where there are fewer than three counts, or a figure is not above 0.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 || points.iter().any(|(count, figure)| *count <= 0.0 || *figure <= 0.0) {
            return None;
        }
        let logs: Vec<_> = points.iter().map(|(count, figure)| (count.ln(), figure.ln())).collect();
        let n = logs.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| logs.iter().map(part).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = logs.iter().map(|p| (p.0 - x).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let power = logs.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let mut fit = Fit { factor: (y - power * x).exp(), power, residual: 0.0 };
        let beside = |(count, figure): &(f64, f64)| (figure / fit.at(*count) - 1.0).abs();
        fit.residual = points.iter().map(beside).fold(0.0, f64::max);
        Some(fit)
    }

    /// What it gives for a count.
    pub fn at(&self, count: f64) -> f64 {
        self.factor * count.powf(self.power)
    }

    /// The growth in a word.
    pub fn word(&self) -> &'static str {
        match self.power {
            p if p < 0.2 => "constant",
            p if p < 0.8 => "less than linear",
            p if p < 1.25 => "linear",
            p if p < 1.75 => "more than linear",
            p if p < 2.5 => "quadratic",
            _ => "more than quadratic",
        }
    }
}
