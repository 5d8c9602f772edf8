//! The one binary.

use std::{
    env,
    io::{self, Write as _},
    path::Path,
    process::ExitCode,
};

use bramleypier::{
    chart,
    cli::{self, Command, Exit, Output},
    logging, settings,
    vm::{self, Ending},
};
use compio::runtime::Runtime;

fn main() -> ExitCode {
    let output = match cli::parse(env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => run(&settings),
        Ok(command) => cli::execute(command),
        Err(output) => output,
    };
    // A reader that has gone away ends the command no other way.
    let _ = print(&output);
    ExitCode::from(output.exit.code())
}

/// Runs a VM until it is told to stop.
fn run(path: &Path) -> Output {
    let wrong = |cause: &dyn std::fmt::Display| Output::plain(Exit::Usage, cause.to_string());
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(fault) => return wrong(&fault),
    };
    if let Err(fault) = chart::check_all() {
        return wrong(&fault);
    }
    if let Err(error) = logging::start(&settings) {
        return wrong(&error);
    }
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return Output::plain(Exit::Failed, cause.to_string()),
    };
    match runtime.block_on(vm::run(settings)) {
        Ok(Ending::Graceful) => Output::plain(Exit::Done, ""),
        Ok(Ending::Cut(count)) => Output::plain(Exit::Failed, format!("cut off {count} requests")),
        Err(error) => wrong(&error),
    }
}

fn print(output: &Output) -> io::Result<()> {
    if output.complains() {
        return io::stderr().write_all(output.text.as_bytes());
    }
    io::stdout().write_all(output.text.as_bytes())
}
