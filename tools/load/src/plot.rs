//! Line plots as SVG.

use svg::{
    Document,
    node::element::{Line, Polyline, Rectangle, Text},
};

/// The size of a plot, in pixels.
const SIZE: (f64, f64) = (800.0, 420.0);
/// The room around the axes: left, top, right, bottom.
const MARGIN: (f64, f64, f64, f64) = (70.0, 40.0, 180.0, 50.0);
/// How many lines of the grid there are in each direction.
const GRID: u32 = 5;
/// The colours of series, over again when there are more.
const COLOURS: [&str; 8] = [
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f",
];

/// One line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// What the legend calls it.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<(f64, f64)>,
}

/// A plot of lines over common axes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// What it shows.
    pub title: String,
    /// The name of the horizontal axis, with its unit.
    pub across: String,
    /// The name of the vertical axis, with its unit.
    pub up: String,
    /// Whether the vertical axis is logarithmic.
    pub is_log: bool,
    /// The lines.
    pub series: Vec<Series>,
}

/// The bounds of the axes.
struct Bounds {
    across: (f64, f64),
    up: (f64, f64),
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
    ///     across: "second".into(),
    ///     up: "ms".into(),
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
            .set("viewBox", (0.0, 0.0, SIZE.0, SIZE.1))
            .set("font-family", "sans-serif")
            .set("font-size", 12)
            .add(rectangle((0.0, 0.0), SIZE))
            .add(label(&self.title, (MARGIN.0, 22.0), "start"))
            .add(label(&self.across, (SIZE.0 / 2.0, SIZE.1 - 12.0), "middle"))
            .add(label(&self.up, (8.0, MARGIN.1 - 8.0), "start"));
        for step in 0..=GRID {
            let share = f64::from(step) / f64::from(GRID);
            document = self.grid(document, &bounds, share);
        }
        for (index, series) in self.series.iter().enumerate() {
            document = self.line(document, &bounds, index, series);
        }
        document.to_string()
    }

    /// Draws one line of the grid in each direction, with its value.
    fn grid(&self, document: Document, bounds: &Bounds, share: f64) -> Document {
        let x = left() + share * width();
        let y = bottom() - share * height();
        let across = bounds.across.0 + share * (bounds.across.1 - bounds.across.0);
        let up = bounds.up.0 + share * (bounds.up.1 - bounds.up.0);
        let up = if self.is_log { 10_f64.powf(up) } else { up };
        document
            .add(rule((x, MARGIN.1), (x, bottom())))
            .add(rule((left(), y), (left() + width(), y)))
            .add(label(&short(across), (x, bottom() + 16.0), "middle"))
            .add(label(&short(up), (left() - 6.0, y + 4.0), "end"))
    }

    fn line(&self, document: Document, bounds: &Bounds, index: usize, series: &Series) -> Document {
        let points = series.points.iter().map(|(across, up)| {
            let x = left() + share(*across, bounds.across) * width();
            let y = bottom() - share(self.scaled(*up), bounds.up) * height();
            format!("{x:.1},{y:.1}")
        });
        let points = points.collect::<Vec<_>>().join(" ");
        let colour = COLOURS[index % COLOURS.len()];
        let row = u32::try_from(index).unwrap_or(u32::MAX);
        let y = MARGIN.1 + 18.0 * f64::from(row);
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

    fn scaled(&self, up: f64) -> f64 {
        if self.is_log {
            up.max(f64::MIN_POSITIVE).log10()
        } else {
            up
        }
    }

    fn bounds(&self) -> Bounds {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let up: Vec<f64> = points()
            .filter(|(_, up)| !self.is_log || *up > 0.0)
            .map(|(_, up)| self.scaled(*up))
            .collect();
        let (mut low, high) = range(up.into_iter());
        if !self.is_log {
            low = low.min(0.0);
        }
        Bounds {
            across: range(points().map(|(across, _)| *across)),
            up: (low, high),
        }
    }
}

/// Returns the least and the greatest value, always apart.
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

fn share(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}

fn left() -> f64 {
    MARGIN.0
}

fn width() -> f64 {
    SIZE.0 - MARGIN.0 - MARGIN.2
}

fn height() -> f64 {
    SIZE.1 - MARGIN.1 - MARGIN.3
}

fn bottom() -> f64 {
    SIZE.1 - MARGIN.3
}

fn short(value: f64) -> String {
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

fn rule(from: (f64, f64), to: (f64, f64)) -> Line {
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
