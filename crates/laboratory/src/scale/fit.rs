//! A power law fitted to measurements, which shows how a value grows with a count.

/// The power law `value = factor * count ^ power`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerFit {
    /// The value at a count of 1.
    pub factor: f64,
    /// 1 for linear growth, 2 for quadratic growth.
    pub power: f64,
    /// The greatest relative deviation of a measurement from the fitted value.
    pub residual: f64,
}

impl PowerFit {
    /// Fits the logarithms of `(count, value)` by least squares. None for fewer than three points, equal
    /// counts, or a number that is not positive.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 || points.iter().any(|(count, value)| *count <= 0.0 || *value <= 0.0) {
            return None;
        }
        let logs: Vec<_> = points.iter().map(|(count, value)| (count.ln(), value.ln())).collect();
        let n = logs.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| logs.iter().map(part).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let variance: f64 = logs.iter().map(|p| (p.0 - x).powi(2)).sum();
        if variance == 0.0 {
            return None;
        }
        let power = logs.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / variance;
        let mut fit = PowerFit { factor: (y - power * x).exp(), power, residual: 0.0 };
        let deviation = |(count, value): &(f64, f64)| (value / fit.value_at(*count) - 1.0).abs();
        fit.residual = points.iter().map(deviation).fold(0.0, f64::max);
        Some(fit)
    }

    /// The fitted value for a count.
    pub fn value_at(&self, count: f64) -> f64 {
        self.factor * count.powf(self.power)
    }

    /// Describes the growth in words.
    pub fn growth(&self) -> &'static str {
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
