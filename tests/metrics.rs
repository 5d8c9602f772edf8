//! Metrics: the growth of a counter is sent once, and names are unique.

use std::{net::UdpSocket, time::Duration};

use bramleypier::metrics::{self, Metrics};
use indexmap::IndexSet;

fn receive(socket: &UdpSocket) -> Vec<String> {
    let mut buffer = [0; 2048];
    let size = socket.recv(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..size]);
    text.lines().map(str::to_owned).collect()
}

#[test]
fn flush_sends_counter_growth_once_and_gauges_each_time() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let metrics = Metrics::open(Some(socket.local_addr().unwrap())).unwrap();
    metrics.count(&metrics::REQUESTS_RAN, Some("a"), 2);
    metrics.count(&metrics::REQUESTS_RAN, Some("a"), 1);
    metrics.set(&metrics::PEERS_LIVE, None, 3);
    metrics.flush();
    let first = [
        "bramleypier.requests.ran:3|c|#service:a",
        "bramleypier.peers.live:3|g",
    ];
    assert_eq!(receive(&socket), first);
    metrics.count(&metrics::PEERS_LOST, None, 1);
    metrics.flush();
    let second = ["bramleypier.peers.live:3|g", "bramleypier.peers.lost:1|c"];
    assert_eq!(receive(&socket), second);
    assert_eq!(metrics.totals()["requests.ran{service=a}"], 3);
}

#[test]
fn a_counter_set_to_a_total_is_sent_as_growth() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let metrics = Metrics::open(Some(socket.local_addr().unwrap())).unwrap();
    for (total, growth) in [(5, 5), (7, 2)] {
        metrics.set(&metrics::CONNECTIONS_OPENED, None, total);
        metrics.flush();
        let line = format!("bramleypier.connections.opened:{growth}|c");
        assert_eq!(receive(&socket), [line]);
    }
    assert_eq!(metrics.totals()["connections.opened"], 7);
}

#[test]
fn a_missing_receiver_does_not_block_the_sender() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);
    let metrics = Metrics::open(Some(address)).unwrap();
    for _ in 0..100 {
        metrics.count(&metrics::PEERS_LOST, None, 1);
        metrics.flush();
    }
    assert_eq!(metrics.totals()["peers.lost"], 100);
}

#[test]
fn metric_names_are_unique() {
    let names: IndexSet<&str> = metrics::TABLE.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), metrics::TABLE.len());
}
