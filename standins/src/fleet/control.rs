//! Calls of a fleet to its stand-ins, and the operator's commands.

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
    /// Runs the operator's command `bramleypier` with these arguments and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub async fn run_command(&self, arguments: &[&str]) -> Result<Output, Error> {
        let mut command = Command::new(&self.program);
        command.args(arguments);
        let output = runtime::spawn_blocking(move || command.output()).await;
        let output = output.unwrap_or_else(|_| Err(std::io::Error::other("command thread failed")));
        output.map_err(|cause| failed("operate", "bramleypier", cause))
    }

    /// Adds or replaces an entry of the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't respond.
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
        let body = to_json(&listing);
        let path = format!("/vms/{name}");
        let platform = self.platform_address();
        let call = self
            .client
            .call(&platform, http::Method::PUT, &path, &[], body);
        expect_ok(&platform, &call.await?)
    }

    /// Removes a VM or target from the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't respond.
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
    /// Fails if the platform doesn't respond.
    pub async fn platform_faults(&self, faults: &platform::Faults) -> Result<(), Error> {
        let platform = self.platform_address();
        let call = self.client.post(&platform, "/fault", &[], to_json(faults));
        expect_ok(&platform, &call.await?)
    }

    /// Sets a target's faults.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or it doesn't respond.
    pub async fn target_faults(&self, name: &str, faults: &fault::Faults) -> Result<(), Error> {
        let address = &self.target(name)?.listen_address;
        let call = self.client.post(address, "/fault", &[], to_json(faults));
        expect_ok(address, &call.await?)
    }

    /// Reads a target's state directly, without its forwarder.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or it doesn't respond.
    pub async fn target_status(&self, name: &str) -> Result<Status, Error> {
        let address = &self.target(name)?.listen_address;
        Ok(self.client.get_json(address, "/bramleypier/state").await?)
    }

    /// Returns how many calls the platform has received, by kind.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't respond.
    pub async fn call_counts(&self) -> Result<IndexMap<String, u64>, Error> {
        Ok(self
            .client
            .get_json(&self.platform_address(), "/counts")
            .await?)
    }
}

fn to_json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default()
}

fn expect_ok(peer: &str, reply: &Reply) -> Result<(), Error> {
    if reply.status == 200 {
        return Ok(());
    }
    Err(Error::UnexpectedStatus(peer.to_owned(), reply.status))
}
