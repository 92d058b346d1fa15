//! Linear regression by ordinary least squares.

/// A fitted line and its goodness of fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// Coefficient of determination, between 0 and 1.
    pub r_squared: f64,
}

/// The least-squares line through `(size, value)` points; `None` for fewer than three points or a
/// single size.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let sum = |of: &dyn Fn(f64, f64) -> f64| {
        let deviations = points.iter().map(|(x, y)| of(x - mean_x, y - mean_y));
        deviations.sum::<f64>()
    };
    let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
    if points.len() < 3 || xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    Some(Fit {
        slope,
        intercept: mean_y - slope * mean_x,
        r_squared,
    })
}
