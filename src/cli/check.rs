//! The `check` and `document check` commands.

use std::{
    fs,
    path::{Path, PathBuf},
};

use crate::{
    chart,
    cli::{Error, Exit, Output},
    document::{Document, text},
    settings,
};

/// Checks the settings, the documents and the state charts that are built into the binary.
pub(super) fn run(settings: Option<&Path>, documents: &[PathBuf]) -> Result<Output, Error> {
    chart::check_all().map_err(Error::Settings)?;
    if let Some(path) = settings {
        settings::load(path).map_err(Error::Settings)?;
    }
    let mut text = String::new();
    let mut refused = false;
    for path in documents {
        let line = match document(path) {
            Ok(document) => summary(path, &document),
            Err(Error::Refused(fault)) => {
                refused = true;
                fault.to_string()
            }
            Err(error) => return Err(error),
        };
        text.push_str(&line);
        text.push('\n');
    }
    let exit = if refused { Exit::Failed } else { Exit::Done };
    if text.is_empty() {
        text.push_str("sound");
    }
    Ok(Output::plain(exit, text))
}

fn summary(path: &Path, document: &Document) -> String {
    let Document {
        service,
        classes,
        targets,
        ..
    } = document;
    let (classes, targets) = (classes.len(), targets.len());
    let path = path.display();
    format!("{path}: sound: service={service} classes={classes} targets={targets}")
}

fn document(path: &Path) -> Result<Document, Error> {
    let written = read(path)?;
    text::parse(&path.display().to_string(), &written).map_err(Error::Refused)
}

/// Reads the file of a document.
pub(super) fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File(path.to_owned(), cause))
}
