//! Runs a target's stand-in as its own process.

use std::{io, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use bramleypier_standins::{
    serve,
    target::{self, Config},
};

/// A target's stand-in, for tests only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The target's name
    #[bpaf(argument("NAME"))]
    name: String,
    /// The address to listen on
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
    /// Whether it rejects work that no grant covers
    #[bpaf(argument("BOOL"), fallback(true))]
    checks: bool,
    /// How many requests run concurrently
    #[bpaf(argument("COUNT"), fallback(2))]
    slots: usize,
    /// How many requests can be queued; further ones are rejected
    #[bpaf(argument("COUNT"), fallback(256))]
    queue: usize,
    /// How long accepting a connection takes
    #[bpaf(argument("MS"), fallback(1))]
    connect_ms: u64,
    /// The mean processing time
    #[bpaf(argument("MS"), fallback(10))]
    work_ms: u64,
    /// Makes all processing times equal instead of exponentially distributed
    fixed: bool,
    /// How long the target is cold after its start
    #[bpaf(argument("MS"), fallback(0))]
    cold_ms: u64,
    /// The factor by which work takes longer while the target is cold
    #[bpaf(argument("FACTOR"), fallback(3.0))]
    cold_factor: f64,
    /// The file for the log of runs
    #[bpaf(argument("FILE"), optional)]
    log: Option<PathBuf>,
}

#[compio::main]
async fn main() -> io::Result<()> {
    let options = options().run();
    let listener = serve::bind(&options.listen).await?;
    let config = Config {
        name: options.name,
        checks_grants: options.checks,
        slots: options.slots,
        queue: options.queue,
        connect_cost: Duration::from_millis(options.connect_ms),
        work_time: Duration::from_millis(options.work_ms),
        exponential: !options.fixed,
        cold_time: Duration::from_millis(options.cold_ms),
        cold_factor: options.cold_factor,
        log: options.log,
    };
    target::run(listener, config).await
}
