//! The `status` command.

use std::{fmt::Write as _, path::Path};

use serde::Serialize;

use crate::{
    admin::{self, Status},
    cli::{Error, Exit, Output, fleet::Fleet},
    id::VmId,
};

/// The printed status of all VMs.
#[derive(Debug, Serialize)]
struct FleetStatus {
    vms: Vec<Status>,
    unreached: Vec<VmId>,
}

/// Queries the status of every VM.
pub(super) async fn run(settings: &Path, json: bool) -> Result<Output, Error> {
    let fleet = Fleet::open(settings)?;
    let answers = fleet.ask(admin::STATUS_PATH, None).await;
    let complete = answers.unreached.is_empty() && !answers.answers.is_empty();
    let exit = if complete {
        Exit::Done
    } else {
        Exit::Unreached
    };
    let all = FleetStatus {
        vms: answers.answers,
        unreached: answers.unreached,
    };
    Output::json_or_text(exit, json, &all, text)
}

/// Writes a line for each VM; writing to a string cannot fail.
fn text(all: &FleetStatus) -> String {
    let mut text = String::new();
    for status in &all.vms {
        let Status {
            vm,
            domain,
            state,
            peers,
            active,
            ..
        } = status;
        let platform = if status.platform { "answers" } else { "silent" };
        let duties = status.duties.len();
        let documents = status.documents.len();
        let _ = writeln!(
            text,
            "{vm} domain={domain} state={state} platform={platform} peers={peers} \
             active={active} duties={duties} documents={documents}"
        );
    }
    for vm in &all.unreached {
        let _ = writeln!(text, "not reached: {vm}");
    }
    if all.vms.is_empty() {
        text.push_str("no VM answered\n");
    }
    text
}
