//! An account as a picture: a lane for each process, events from left to right in causal order.

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

/// The most events that are drawn; of more, the latest.
pub const EVENTS_MAX: usize = 2_000;

/// The space left of the lanes, for the processes' names.
const LEFT: usize = 180;
/// The space above the lanes.
const TOP: usize = 40;
/// The distance between events.
const STEP: usize = 14;
/// The distance between lanes.
const LANE: usize = 36;
/// How many events stand between two labels of time.
const LABEL_EVERY: usize = 20;

/// Draws an account as SVG; each mark's title is its event's line.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::{MergedTimeline, draw};
///
/// let picture = draw::svg(&MergedTimeline::merge(Vec::new(), vec!["vm-3#1".to_owned()]));
/// assert!(picture.contains("vm-3#1 (not reached)"));
/// ```
pub fn svg(account: &MergedTimeline) -> String {
    let skip = account.events.len().saturating_sub(EVENTS_MAX);
    let events = &account.events[skip..];
    let lanes = lanes(account);
    let width = LEFT + STEP * (events.len() + 2);
    let height = TOP + LANE * (lanes.len() + 1);
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
        picture = picture.add(Text::new(note).set("x", LEFT).set("y", height - 6));
    }
    for (index, event) in events.iter().enumerate() {
        if index % LABEL_EVERY == 0 {
            let time = Text::new(render::utc(event.stamp));
            picture = picture.add(time.set("x", across(index)).set("y", TOP / 2));
        }
        let lane = lanes.get_index_of(event.vm.as_str()).unwrap_or(0);
        picture = picture.add(mark(index, lane, event));
    }
    picture.to_string()
}

/// Returns the processes in the order of their lanes, and whether each could not be reached.
fn lanes(account: &MergedTimeline) -> IndexMap<&str, bool> {
    let events = account
        .events
        .iter()
        .map(|event| (event.vm.as_str(), false));
    let answered = account.answered.iter().map(|vm| (vm.as_str(), false));
    let unreached = account.unreached.iter().map(|vm| (vm.as_str(), true));
    answered.chain(events).chain(unreached).collect()
}

fn across(index: usize) -> usize {
    LEFT + STEP * (index + 1)
}

fn down(lane: usize) -> usize {
    TOP + LANE * lane + LANE / 2
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
        .set("y", down(lane) + 4)
}

fn axis(lane: usize, width: usize) -> Line {
    Line::new()
        .set("x1", LEFT)
        .set("x2", width)
        .set("y1", down(lane))
        .set("y2", down(lane))
        .set("stroke", "lightgrey")
}

fn mark(index: usize, lane: usize, event: &Event) -> Circle {
    let title = Title::new(format!("{} {event}", render::stamp(event.stamp)));
    Circle::new()
        .set("cx", across(index))
        .set("cy", down(lane))
        .set("r", STEP / 3)
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
