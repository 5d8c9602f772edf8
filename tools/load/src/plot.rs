//! Draws line plots as SVG.

use svg::{
    Document,
    node::element::{Line, Polyline, Rectangle, Text},
};

/// Width and height of a plot.
const SIZE_PX: (f64, f64) = (800.0, 420.0);
/// Margins around the axes: left, top, right, bottom.
const MARGIN_PX: (f64, f64, f64, f64) = (70.0, 40.0, 180.0, 50.0);
/// Number of grid intervals in each direction.
const GRID_INTERVALS: u32 = 5;
/// Colours of the series, repeated when there are more series.
const COLOURS: [&str; 8] = [
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f",
];

/// One line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// Line plot with common axes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title above the plot.
    pub title: String,
    /// Label of the horizontal axis, with its unit.
    pub x_label: String,
    /// Label of the vertical axis, with its unit.
    pub y_label: String,
    /// Whether the vertical axis is logarithmic.
    pub is_log: bool,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

/// Least and greatest value of each axis; for a logarithmic axis, of the logarithms.
struct Bounds {
    x: (f64, f64),
    y: (f64, f64),
}

impl Plot {
    /// Returns the plot as SVG text.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::plot::{Plot, Series};
    ///
    /// let plot = Plot {
    ///     title: "Latency".into(),
    ///     x_label: "second".into(),
    ///     y_label: "ms".into(),
    ///     is_log: false,
    ///     series: vec![Series {
    ///         name: "p50".into(),
    ///         points: vec![(0.0, 1.0), (1.0, 2.0)],
    ///     }],
    /// };
    /// assert!(plot.svg().contains("polyline"));
    /// ```
    pub fn svg(&self) -> String {
        let bounds = self.bounds();
        let mut document = Document::new()
            .set("viewBox", (0.0, 0.0, SIZE_PX.0, SIZE_PX.1))
            .set("font-family", "sans-serif")
            .set("font-size", 12)
            .add(rectangle((0.0, 0.0), SIZE_PX))
            .add(label(&self.title, (MARGIN_PX.0, 22.0), "start"))
            .add(label(
                &self.x_label,
                (SIZE_PX.0 / 2.0, SIZE_PX.1 - 12.0),
                "middle",
            ))
            .add(label(&self.y_label, (8.0, MARGIN_PX.1 - 8.0), "start"));
        for step in 0..=GRID_INTERVALS {
            let fraction = f64::from(step) / f64::from(GRID_INTERVALS);
            document = self.draw_grid(document, &bounds, fraction);
        }
        for (index, series) in self.series.iter().enumerate() {
            document = self.draw_series(document, &bounds, index, series);
        }
        document.to_string()
    }

    /// Draws one grid line in each direction, with its value, at this fraction of the axes.
    fn draw_grid(&self, document: Document, bounds: &Bounds, fraction: f64) -> Document {
        let x = left() + fraction * width();
        let y = bottom() - fraction * height();
        let x_value = bounds.x.0 + fraction * (bounds.x.1 - bounds.x.0);
        let y_value = bounds.y.0 + fraction * (bounds.y.1 - bounds.y.0);
        let y_value = if self.is_log {
            10_f64.powf(y_value)
        } else {
            y_value
        };
        document
            .add(grid_line((x, MARGIN_PX.1), (x, bottom())))
            .add(grid_line((left(), y), (left() + width(), y)))
            .add(label(
                &format_value(x_value),
                (x, bottom() + 16.0),
                "middle",
            ))
            .add(label(
                &format_value(y_value),
                (left() - 6.0, y + 4.0),
                "end",
            ))
    }

    fn draw_series(
        &self,
        document: Document,
        bounds: &Bounds,
        index: usize,
        series: &Series,
    ) -> Document {
        let points = series.points.iter().map(|(x_value, y_value)| {
            let x = left() + fraction(*x_value, bounds.x) * width();
            let y = bottom() - fraction(self.scaled(*y_value), bounds.y) * height();
            format!("{x:.1},{y:.1}")
        });
        let points = points.collect::<Vec<_>>().join(" ");
        let colour = COLOURS[index % COLOURS.len()];
        let row = u32::try_from(index).unwrap_or(u32::MAX);
        let y = MARGIN_PX.1 + 18.0 * f64::from(row);
        let x = left() + width() + 10.0;
        document
            .add(
                Polyline::new()
                    .set("points", points)
                    .set("fill", "none")
                    .set("stroke", colour)
                    .set("stroke-width", 2),
            )
            .add(
                Line::new()
                    .set("x1", x)
                    .set("x2", x + 16.0)
                    .set("y1", y)
                    .set("y2", y)
                    .set("stroke", colour)
                    .set("stroke-width", 3),
            )
            .add(label(&series.name, (x + 22.0, y + 4.0), "start"))
    }

    fn scaled(&self, y_value: f64) -> f64 {
        if self.is_log {
            y_value.max(f64::MIN_POSITIVE).log10()
        } else {
            y_value
        }
    }

    fn bounds(&self) -> Bounds {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let y_values: Vec<f64> = points()
            .filter(|(_, y_value)| !self.is_log || *y_value > 0.0)
            .map(|(_, y_value)| self.scaled(*y_value))
            .collect();
        let (mut low, high) = range(y_values.into_iter());
        if !self.is_log {
            low = low.min(0.0);
        }
        Bounds {
            x: range(points().map(|(x_value, _)| *x_value)),
            y: (low, high),
        }
    }
}

/// Returns the least and the greatest value; they always differ, so that an axis has a length.
fn range<I>(values: I) -> (f64, f64)
where
    I: Iterator<Item = f64>,
{
    let bounds = values.fold(None, |bounds: Option<(f64, f64)>, value| {
        let (low, high) = bounds.unwrap_or((value, value));
        Some((low.min(value), high.max(value)))
    });
    match bounds {
        Some((low, high)) if high > low => (low, high),
        Some((low, _)) => (low, low + 1.0),
        None => (0.0, 1.0),
    }
}

fn fraction(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}

fn left() -> f64 {
    MARGIN_PX.0
}

fn width() -> f64 {
    SIZE_PX.0 - MARGIN_PX.0 - MARGIN_PX.2
}

fn height() -> f64 {
    SIZE_PX.1 - MARGIN_PX.1 - MARGIN_PX.3
}

fn bottom() -> f64 {
    SIZE_PX.1 - MARGIN_PX.3
}

fn format_value(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

fn rectangle(from: (f64, f64), size: (f64, f64)) -> Rectangle {
    Rectangle::new()
        .set("x", from.0)
        .set("y", from.1)
        .set("width", size.0)
        .set("height", size.1)
        .set("fill", "white")
}

fn grid_line(from: (f64, f64), to: (f64, f64)) -> Line {
    Line::new()
        .set("x1", from.0)
        .set("y1", from.1)
        .set("x2", to.0)
        .set("y2", to.1)
        .set("stroke", "#dddddd")
}

fn label(text: &str, at: (f64, f64), anchor: &'static str) -> Text {
    Text::new(text)
        .set("x", at.0)
        .set("y", at.1)
        .set("text-anchor", anchor)
}
