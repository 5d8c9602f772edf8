//! The commands and their arguments.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

use crate::id::Version;

/// Routes requests to servers that own keys exclusively.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(
    options,
    version,
    header(
        "A command ends with 0 if it succeeded, 1 if it failed, 2 for wrong usage or settings, 3 for \
         a conflict with another operator, 4 if somebody could not be reached, 5 if the outcome is \
         unknown."
    ),
    footer("Example:\n  bramleypier check --settings vm-1.ini tracking.ini")
)]
pub enum Command {
    /// Runs one VM until it is told to stop by SIGTERM or SIGINT
    #[bpaf(
        command,
        footer("Example:\n  bramleypier run --settings /etc/bramleypier/vm-1.ini")
    )]
    Run {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
    },

    /// Runs one VM on the users' platform until it is told to stop by SIGTERM or SIGINT
    #[bpaf(
        command,
        footer("Example:\n  bramleypier serve --settings /etc/bramleypier/vm.ini")
    )]
    Serve {
        /// The settings file of a VM, as the platform's template made it
        #[bpaf(long, env("BRAMLEYPIER_CONFIG"), argument("FILE"))]
        settings: PathBuf,
    },

    /// Checks settings and documents, and starts nothing
    #[bpaf(
        command,
        footer("Example:\n  bramleypier check --settings vm-1.ini tracking.ini dispatch.ini")
    )]
    Check {
        /// The settings file of a VM
        #[bpaf(external(settings), optional)]
        settings: Option<PathBuf>,
        /// Service documents
        #[bpaf(positional("DOCUMENT"), many)]
        documents: Vec<PathBuf>,
    },

    /// Checks, puts and shows service documents
    #[bpaf(
        command("document"),
        footer("Example:\n  bramleypier document put tracking.ini --settings vm-1.ini")
    )]
    Document(#[bpaf(external(document))] Document),

    /// Shows how each VM stands
    #[bpaf(
        command,
        footer("Example:\n  bramleypier status --settings vm-1.ini --json")
    )]
    Status {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
        /// Prints JSON
        #[bpaf(external)]
        json: bool,
    },

    /// Shows what all VMs did, in causal order
    #[bpaf(
        command("timeline"),
        footer(
            "Example:\n  bramleypier timeline --settings vm-1.ini --since 10m --service tracking \
             --key letter-1"
        )
    )]
    Timeline(#[bpaf(external(timeline))] Timeline),
}

/// Available commands:
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum Document {
    /// Checks documents, and changes nothing
    #[bpaf(command, footer("Example:\n  bramleypier document check tracking.ini"))]
    Check {
        /// Service documents
        #[bpaf(positional("DOCUMENT"), some("a document is missing"))]
        files: Vec<PathBuf>,
    },

    /// Puts a document, unless another version than its base is in force
    #[bpaf(
        command,
        header(
            "The base is the version that `document get` wrote into the first line, if `--base` \
             doesn't name one. A file with neither is a new service."
        ),
        footer("Example:\n  bramleypier document put tracking.ini --settings vm-1.ini --base 17")
    )]
    Put {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
        /// The version that the document is based on; 0 for a new service
        #[bpaf(argument("VERSION"))]
        base: Option<Version>,
        /// Who puts it, for the log; the user's name unless given
        #[bpaf(argument("NAME"))]
        by: Option<String>,
        /// Prints JSON
        #[bpaf(external)]
        json: bool,
        /// The service document
        #[bpaf(positional("DOCUMENT"))]
        file: PathBuf,
    },

    /// Writes the document that was put last to standard output
    #[bpaf(
        command,
        footer("Example:\n  bramleypier document get tracking --settings vm-1.ini > tracking.ini")
    )]
    Get {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
        /// Prints JSON
        #[bpaf(external)]
        json: bool,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },

    /// Shows who put which version when
    #[bpaf(
        command,
        footer("Example:\n  bramleypier document log tracking --settings vm-1.ini")
    )]
    Log {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
        /// Prints JSON
        #[bpaf(external)]
        json: bool,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },

    /// Shows which VMs have the last versions in force, and who lags
    #[bpaf(
        command,
        footer("Example:\n  bramleypier document status --settings vm-1.ini")
    )]
    Status {
        /// The settings file of a VM
        #[bpaf(external)]
        settings: PathBuf,
        /// Prints JSON
        #[bpaf(external)]
        json: bool,
    },
}

/// What is shown:
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Timeline {
    /// The settings file of a VM
    #[bpaf(external)]
    pub settings: PathBuf,
    /// The earliest time: a span before now such as 90s, 10m or 2h, or a time such as
    /// 2026-12-02T21:00:00Z
    #[bpaf(argument("TIME"))]
    pub since: Option<String>,
    /// Only this service
    #[bpaf(argument("SERVICE"))]
    pub service: Option<String>,
    /// Only what concerns this key
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Only what concerns this request
    #[bpaf(argument("ID"))]
    pub request: Option<String>,
    /// Only what concerns this target
    #[bpaf(argument("TARGET"))]
    pub target: Option<String>,
    /// Draws the account into this SVG file too
    #[bpaf(argument("FILE"))]
    pub svg: Option<PathBuf>,
    /// Prints JSON
    #[bpaf(external)]
    pub json: bool,
}

fn settings() -> impl Parser<PathBuf> {
    bpaf::long("settings")
        .help("The settings file of a VM")
        .argument("FILE")
}

fn json() -> impl Parser<bool> {
    bpaf::long("json").help("Prints JSON").switch()
}
