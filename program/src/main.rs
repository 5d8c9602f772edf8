//! The one binary.

mod commands;

use std::{
    env,
    io::{self, Write as _},
    path::{Path, PathBuf},
    process::ExitCode,
};

use bramleypier::{
    chart,
    cli::{self, Command, Exit, Output},
    logging, settings,
    vm::{self, Ending},
};
use bramleypier_platform::settings::is_for_platform;
use compio::runtime::Runtime;

fn main() -> ExitCode {
    let output = match cli::parse(env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => run(&settings),
        Ok(Command::Serve { settings }) => serve(settings),
        Ok(command) => operate_on(command),
        Err(output) => output,
    };
    // A reader that has gone away ends the command no other way.
    let _ = print(&output);
    ExitCode::from(output.exit.code())
}

/// Runs a command of operators, on the interface that its settings file is meant for.
fn operate_on(command: Command) -> Output {
    match command {
        Command::Check {
            settings: Some(settings),
            documents,
        } if documents.is_empty() && is_for_platform(&settings) => commands::check(&settings),
        Command::Status { settings, json } if is_for_platform(&settings) => {
            commands::status(&settings, json)
        }
        Command::Timeline(timeline) if is_for_platform(&timeline.settings) => {
            commands::timeline(&timeline.settings, &timeline)
        }
        command => cli::execute(command),
    }
}

/// Runs a process until it is told to stop.
fn run(path: &Path) -> Output {
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(fault) => return Output::plain(Exit::Usage, fault.to_string()),
    };
    let started = chart::check_all().map_err(|fault| fault.to_string());
    let started = started.and_then(|()| logging::start(&settings).map_err(|it| it.to_string()));
    let runtime = started.and_then(|()| Runtime::new().map_err(|cause| cause.to_string()));
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(cause) => return Output::plain(Exit::Usage, format!("{}: {cause}", path.display())),
    };
    match runtime.block_on(vm::run(settings)) {
        Ok(Ending::Graceful) => Output::plain(Exit::Done, String::new()),
        Ok(Ending::Cut(count)) => Output::plain(
            Exit::Failed,
            format!("cut off {count} connections with a request"),
        ),
        Err(error) => Output::plain(Exit::Usage, format!("{}: {error}", path.display())),
    }
}

/// Runs a process on the users' platform until it is told to stop.
fn serve(path: PathBuf) -> Output {
    let settings = match bramleypier_platform::settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => return Output::plain(Exit::Usage, fault.to_string()),
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return Output::plain(Exit::Failed, format!("step=start cause={cause}")),
    };
    match runtime.block_on(bramleypier_platform::run(path, settings)) {
        Ok(()) => Output::plain(Exit::Done, String::new()),
        Err(error) => Output::plain(Exit::Usage, error.to_string()),
    }
}

fn print(output: &Output) -> io::Result<()> {
    if output.complains() {
        return io::stderr().write_all(output.text.as_bytes());
    }
    io::stdout().write_all(output.text.as_bytes())
}
