//! What a fleet asks of its stand-ins, and the operator's commands.

use std::process::{Command, Output};

use compio::runtime;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    client::Reply,
    fault,
    fleet::{Error, Fleet, failed},
    holder::Status,
    platform::{self, Listing},
};

impl Fleet {
    /// Runs an operator's command, `bramleypier` with these arguments, and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn run_command(&self, arguments: &[&str]) -> Result<Output, Error> {
        let mut command = Command::new(&self.program);
        command.args(arguments);
        let output = runtime::spawn_blocking(move || command.output()).await;
        let output = output.unwrap_or_else(|_| Err(std::io::Error::other("reader failed")));
        output.map_err(|cause| failed("operate", "bramleypier", cause))
    }

    /// Writes an entry of the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform doesn't answer.
    pub async fn register(
        &self,
        name: &str,
        address: &str,
        domain: &str,
        kind: &str,
        state: &str,
    ) -> Result<(), Error> {
        let listing = Listing {
            name: name.to_owned(),
            address: address.to_owned(),
            domain: domain.to_owned(),
            kind: kind.to_owned(),
            state: state.to_owned(),
        };
        let body = json(&listing);
        let path = format!("/vms/{name}");
        let platform = self.platform_address();
        let call = self
            .client
            .call(&platform, http::Method::PUT, &path, &[], body);
        expect_ok(&platform, &call.await?)
    }

    /// Takes a VM or target off the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform doesn't answer.
    pub async fn deregister(&self, name: &str) -> Result<(), Error> {
        let path = format!("/vms/{name}");
        let platform = self.platform_address();
        let call = self
            .client
            .call(&platform, http::Method::DELETE, &path, &[], "");
        expect_ok(&platform, &call.await?)
    }

    /// Sets the platform's faults.
    ///
    /// # Errors
    ///
    /// Fails when the platform doesn't answer.
    pub async fn platform_faults(&self, faults: &platform::Faults) -> Result<(), Error> {
        let platform = self.platform_address();
        let call = self.client.post(&platform, "/fault", &[], json(faults));
        expect_ok(&platform, &call.await?)
    }

    /// Sets a target's faults.
    ///
    /// # Errors
    ///
    /// Fails when there is no such target, or it doesn't answer.
    pub async fn target_faults(&self, name: &str, faults: &fault::Faults) -> Result<(), Error> {
        let own = &self.target(name)?.listen_address;
        let call = self.client.post(own, "/fault", &[], json(faults));
        expect_ok(own, &call.await?)
    }

    /// Reads a target's state, past any forwarder.
    ///
    /// # Errors
    ///
    /// Fails when there is no such target, or it doesn't answer.
    pub async fn target_status(&self, name: &str) -> Result<Status, Error> {
        let own = &self.target(name)?.listen_address;
        Ok(self.client.get_json(own, "/bramleypier/state").await?)
    }

    /// Returns the platform's counts of calls, by kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform doesn't answer.
    pub async fn call_counts(&self) -> Result<IndexMap<String, u64>, Error> {
        Ok(self
            .client
            .get_json(&self.platform_address(), "/counts")
            .await?)
    }
}

fn json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default()
}

fn expect_ok(peer: &str, reply: &Reply) -> Result<(), Error> {
    if reply.status == 200 {
        return Ok(());
    }
    Err(Error::Answer(peer.to_owned(), reply.status))
}
