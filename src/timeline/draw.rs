//! Draws a merged time line as SVG: a lane for each process, with events from left to right in
//! causal order.

use indexmap::IndexMap;
use svg::{
    Document,
    node::element::{Circle, Line, Rectangle, Text, Title},
};

use crate::timeline::{
    account::MergedTimeline,
    event::{Duty, Event},
    render,
};

/// The maximum number of events drawn; if there are more, only the latest are.
pub const EVENTS_MAX: usize = 2_000;

/// The width left of the lanes, where the names of the processes stand, in user units of the SVG.
const LEFT_MARGIN: usize = 180;
/// The height above the lanes, in user units.
const TOP_MARGIN: usize = 40;
/// The horizontal distance between events, in user units.
const EVENT_WIDTH: usize = 14;
/// The vertical distance between lanes, in user units.
const LANE_HEIGHT: usize = 36;
/// A time label is drawn at every event whose index is a multiple of this.
const LABEL_INTERVAL: usize = 20;

/// Draws a merged time line as SVG; each mark has its event as title (tooltip).
///
/// # Example
///
/// ```
/// use bramleypier::timeline::{MergedTimeline, draw};
///
/// let picture = draw::svg(&MergedTimeline::merge(Vec::new(), vec!["vm-3#1".to_owned()]));
/// assert!(picture.contains("vm-3#1 (not reached)"));
/// ```
pub fn svg(timeline: &MergedTimeline) -> String {
    let skip = timeline.events.len().saturating_sub(EVENTS_MAX);
    let events = &timeline.events[skip..];
    let lanes = lanes(timeline);
    let width = LEFT_MARGIN + EVENT_WIDTH * (events.len() + 2);
    let height = TOP_MARGIN + LANE_HEIGHT * (lanes.len() + 1);
    let mut picture = Document::new()
        .set("viewBox", (0, 0, width, height))
        .set("width", width)
        .set("height", height)
        .set("font-family", "sans-serif")
        .set("font-size", 12)
        .add(background(width, height));
    for (lane, (name, missing)) in lanes.iter().enumerate() {
        picture = picture
            .add(label(lane, name, *missing))
            .add(axis(lane, width));
    }
    if skip > 0 {
        let note = format!("{skip} earlier events are not drawn");
        picture = picture.add(Text::new(note).set("x", LEFT_MARGIN).set("y", height - 6));
    }
    for (index, event) in events.iter().enumerate() {
        if index % LABEL_INTERVAL == 0 {
            let time = Text::new(render::utc(event.stamp));
            picture = picture.add(time.set("x", event_x(index)).set("y", TOP_MARGIN / 2));
        }
        let lane = lanes.get_index_of(event.vm.as_str()).unwrap_or(0);
        picture = picture.add(mark(index, lane, event));
    }
    picture.to_string()
}

/// Returns the processes in the order of their lanes; the value is true for a VM that was not reached.
fn lanes(timeline: &MergedTimeline) -> IndexMap<&str, bool> {
    let events = timeline
        .events
        .iter()
        .map(|event| (event.vm.as_str(), false));
    let answered = timeline.answered.iter().map(|vm| (vm.as_str(), false));
    let unreached = timeline.unreached.iter().map(|vm| (vm.as_str(), true));
    answered.chain(events).chain(unreached).collect()
}

/// Returns the x coordinate of an event.
fn event_x(index: usize) -> usize {
    LEFT_MARGIN + EVENT_WIDTH * (index + 1)
}

/// Returns the y coordinate of a lane.
fn lane_y(lane: usize) -> usize {
    TOP_MARGIN + LANE_HEIGHT * lane + LANE_HEIGHT / 2
}

fn background(width: usize, height: usize) -> Rectangle {
    Rectangle::new()
        .set("width", width)
        .set("height", height)
        .set("fill", "white")
}

fn label(lane: usize, name: &str, missing: bool) -> Text {
    let note = if missing { " (not reached)" } else { "" };
    Text::new(format!("{name}{note}"))
        .set("x", 6)
        .set("y", lane_y(lane) + 4)
}

fn axis(lane: usize, width: usize) -> Line {
    Line::new()
        .set("x1", LEFT_MARGIN)
        .set("x2", width)
        .set("y1", lane_y(lane))
        .set("y2", lane_y(lane))
        .set("stroke", "lightgrey")
}

fn mark(index: usize, lane: usize, event: &Event) -> Circle {
    let title = Title::new(format!("{} {event}", render::stamp(event.stamp)));
    Circle::new()
        .set("cx", event_x(index))
        .set("cy", lane_y(lane))
        .set("r", EVENT_WIDTH / 3)
        .set("fill", colour(event.duty))
        .add(title)
}

fn colour(duty: Duty) -> &'static str {
    match duty {
        Duty::Process => "black",
        Duty::Member => "grey",
        Duty::Entry => "steelblue",
        Duty::Orders => "darkorange",
        Duty::Grantor => "seagreen",
        Duty::Watcher => "purple",
    }
}
