//! Blocking of connections by the process that opened them.

use std::time::Duration;

use bramleypier_standins::{
    client::Client, forwarder::Forwarder, platform, socket_owners::SocketOwners,
};

const WAIT: Duration = Duration::from_millis(300);

#[compio::test]
async fn only_the_named_process_is_blocked() {
    let owners = SocketOwners::default();
    owners.insert("self", std::process::id());
    let forwarder = Forwarder::start(owners).unwrap();
    forwarder.set_server(&platform::spawn().await.unwrap().to_string());
    let address = forwarder.address.to_string();
    let passes = async |client: &Client| {
        let call = client.get(&address, "/v1/vms");
        compio::time::timeout(WAIT, call)
            .await
            .is_ok_and(|reply| reply.is_ok())
    };
    // One connection is opened before the rule applies, the other while it does.
    let open = Client::default();
    assert!(passes(&open).await);
    for (name, expected) in [("other", true), ("self", false)] {
        forwarder.update_rules(|rules| rules.clients = [name.to_owned()].into());
        assert_eq!(
            passes(&open).await,
            expected,
            "open connection, {name} is blocked"
        );
        assert_eq!(
            passes(&Client::default()).await,
            expected,
            "new connection, {name} is blocked"
        );
    }
    forwarder.update_rules(|rules| rules.clients.clear());
    assert!(passes(&Client::default()).await, "unblocked");
}
