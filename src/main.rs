//! The one binary.

use std::{
    env,
    io::{self, Write as _},
    process::ExitCode,
};

use bramleypier::cli::{self, Command, Output};

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

fn run(settings: &std::path::Path) -> Output {
    Output::plain(
        cli::Exit::Failed,
        format!("cannot run {}", settings.display()),
    )
}

fn print(output: &Output) -> io::Result<()> {
    if output.complains() {
        return io::stderr().write_all(output.text.as_bytes());
    }
    io::stdout().write_all(output.text.as_bytes())
}
