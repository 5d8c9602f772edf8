//! The `timeline` command.

use std::{fs, time::Duration};

use crate::{
    admin,
    cli::{Error, Exit, Output, fleet::Fleet, parser::Timeline},
    key,
    timeline::{Filter, MergedTimeline, ProcessEvents, Stamp, draw, render, stamp},
};

/// Queries the events of every VM and merges them.
pub(super) async fn run(command: Timeline) -> Result<Output, Error> {
    let filter = filter(&command)?;
    let fleet = Fleet::open(&command.settings)?;
    let query = admin::to_json(&filter).map_err(Error::Json)?;
    let answers = fleet
        .ask::<ProcessEvents>(admin::TIMELINE_PATH, Some(query))
        .await;
    let account = MergedTimeline::merge(answers.answers, answers.unreached);
    if let Some(path) = command.svg {
        let written = fs::write(&path, draw::svg(&account));
        written.map_err(|cause| Error::File(path, cause))?;
    }
    let complete = account.unreached.is_empty() && !account.answered.is_empty();
    let exit = if complete {
        Exit::Done
    } else {
        Exit::Unreached
    };
    Output::json_or_text(exit, command.json, &account, render::text)
}

fn filter(command: &Timeline) -> Result<Filter, Error> {
    let since = command.since.as_deref().map(since).transpose()?;
    Ok(Filter {
        since: since.unwrap_or_default(),
        service: command.service.clone(),
        point: command.key.as_deref().map(key::point),
        request: command.request.clone(),
        target: command.target.clone(),
    })
}

/// Parses a time, or a duration before now.
///
/// # Errors
///
/// Returns an [`Error`] if the text is neither a time nor a duration.
///
/// # Example
///
/// ```
/// use bramleypier::cli;
///
/// assert!(cli::since("10m").is_ok());
/// assert!(cli::since("yesterday").is_err());
/// ```
pub fn since(text: &str) -> Result<Stamp, Error> {
    if let Some(time) = render::parse(text) {
        return Ok(time);
    }
    let before = duration(text).ok_or_else(|| Error::Time(text.to_owned()))?;
    Ok(stamp::first(stamp::wall().saturating_sub(before)))
}

fn duration(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let count: u32 = digits.parse().ok()?;
    let unit = match unit {
        "s" => Duration::from_secs(1),
        "m" => Duration::from_mins(1),
        "h" => Duration::from_hours(1),
        _ => return None,
    };
    unit.checked_mul(count)
}
