//! The one binary.

use std::{path::Path, process::ExitCode};

use bramleypier::{settings, vm};

fn main() -> ExitCode {
    let path = std::env::args().nth(3).unwrap_or_default();
    let settings = match settings::load(Path::new(&path)) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    let _ = simplelog::WriteLogger::init(
        settings.log_level,
        simplelog::Config::default(),
        std::io::stderr(),
    );
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    match runtime.block_on(vm::run(settings)) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
