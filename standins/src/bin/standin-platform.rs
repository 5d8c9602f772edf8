//! Runs the platform's stand-in as its own process.

use std::io;

use bpaf::Bpaf;
use bramleypier_standins::{platform, serve};

/// The platform's stand-in, for tests only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The address to listen on
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    listen: String,
}

#[compio::main]
async fn main() -> io::Result<()> {
    let options = options().run();
    let listener = serve::bind(&options.listen).await?;
    platform::run(listener).await;
    Ok(())
}
