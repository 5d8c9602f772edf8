//! The command line.
//!
//! [`parse`] reads the arguments with the parser [`command`]. [`execute`] runs every command but `run` and `serve`,
//! which the binary starts itself.

mod check;
mod document;
mod error;
mod fleet;
mod output;
mod parser;
mod status;
mod timeline;

use std::ffi::OsString;

use bpaf::{Args, ParseFailure};
use compio::runtime::Runtime;

pub use error::Error;
pub use output::{Exit, Output};
pub use parser::{Command, Document, Timeline, command};
pub use timeline::since;

/// The program's name in help texts.
const PROGRAM_NAME: &str = "bramleypier";

/// Parses the arguments of the process, without the program's name.
///
/// # Errors
///
/// Returns the text to print and the exit status, for a request for help as well as for a usage error.
///
/// # Example
///
/// ```
/// use bramleypier::cli::{self, Exit};
///
/// let output = cli::parse(["run".into()]).unwrap_err();
/// assert_eq!(output.exit, Exit::Usage);
/// ```
pub fn parse<I>(arguments: I) -> Result<Command, Output>
where
    I: IntoIterator<Item = OsString>,
{
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    let parsed = command().run_inner(Args::from(arguments.as_slice()).set_name(PROGRAM_NAME));
    parsed.map_err(|failure| {
        let exit = match failure {
            ParseFailure::Stderr(_) => Exit::Usage,
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
        };
        let text = match failure {
            ParseFailure::Stdout(page, full) => page.monochrome(full),
            ParseFailure::Stderr(page) => page.monochrome(true),
            ParseFailure::Completion(text) => text,
        };
        Output::plain(exit, text)
    })
}

/// Runs a command to its end. `run` and `serve` are rejected, as they run until the process is stopped.
///
/// # Example
///
/// ```
/// use bramleypier::cli::{self, Exit};
///
/// let command = cli::parse(["check".into(), "missing.ini".into()]).unwrap();
/// assert_eq!(cli::execute(command).exit, Exit::Failed);
/// ```
pub fn execute(command: Command) -> Output {
    let result = match Runtime::new() {
        Ok(runtime) => runtime.block_on(run_command(command)),
        Err(cause) => Err(Error::Runtime(cause)),
    };
    result.unwrap_or_else(|error| Output::plain(error.exit(), error.to_string()))
}

async fn run_command(command: Command) -> Result<Output, Error> {
    match command {
        Command::Run { .. } | Command::Serve { .. } => Err(Error::Run),
        Command::Check {
            settings,
            documents,
        } => check::run(settings.as_deref(), &documents),
        Command::Document(document) => document::run(document).await,
        Command::Status { settings, json } => status::run(&settings, json).await,
        Command::Timeline(timeline) => timeline::run(timeline).await,
    }
}
