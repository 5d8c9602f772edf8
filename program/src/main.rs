//! The `bramleypier` binary: serves requests with `run` or `serve`, and runs the commands of operators.
//!
//! `run` takes a settings file of the program's own interface, `serve` one of the users' platform.

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
use bramleypier_engine::process::Signals;
use bramleypier_platform::settings::is_for_platform;
use bramleypier_util::signals::{self, Signal};
use compio::runtime::Runtime;

fn main() -> ExitCode {
    let output = match cli::parse(env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => run(&settings),
        Ok(Command::Serve { settings }) => serve(settings),
        Ok(command) => run_command(command),
        Err(output) => output,
    };
    // A closed output doesn't change the exit status.
    let _ = print(&output);
    ExitCode::from(output.exit.code())
}

/// Runs an operator's command on the interface that its settings file belongs to.
fn run_command(command: Command) -> Output {
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

/// Runs a VM until it receives a stop signal.
fn run(path: &Path) -> Output {
    let stops = match signals::take_over(&[Signal::Terminate, Signal::Interrupt]) {
        Ok(stops) => stops,
        Err(cause) => return Output::plain(Exit::Failed, format!("step=signals cause={cause}")),
    };
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
    match runtime.block_on(vm::run(settings, stops)) {
        Ok(Ending::Graceful) => Output::plain(Exit::Done, String::new()),
        Ok(Ending::Cut(count)) => Output::plain(
            Exit::Failed,
            format!("closed {count} connections with an unfinished request"),
        ),
        Err(error) => Output::plain(Exit::Usage, format!("{}: {error}", path.display())),
    }
}

/// Runs a VM on the users' platform until it receives a stop signal.
fn serve(path: PathBuf) -> Output {
    let signals = match Signals::take_over() {
        Ok(signals) => signals,
        Err(cause) => return Output::plain(Exit::Failed, format!("step=signals cause={cause}")),
    };
    let settings = match bramleypier_platform::settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => return Output::plain(Exit::Usage, fault.to_string()),
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return Output::plain(Exit::Failed, format!("step=start cause={cause}")),
    };
    match runtime.block_on(bramleypier_platform::run(path, settings, signals)) {
        Ok(()) => Output::plain(Exit::Done, String::new()),
        Err(error) => Output::plain(Exit::Usage, error.to_string()),
    }
}

fn print(output: &Output) -> io::Result<()> {
    if output.is_error() {
        return io::stderr().write_all(output.text.as_bytes());
    }
    io::stdout().write_all(output.text.as_bytes())
}
