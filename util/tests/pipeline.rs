//! Pipelined requests: what starts early, what waits, and what ends them.

mod pipeline_fixture;

use std::{
    io::Write as _,
    net::{Shutdown, TcpStream},
    thread,
    time::Duration,
};

use bramleypier_util::pipeline::{Event, Pipelining, StopCause, space};
use pipeline_fixture::{
    Log, PIPELINING, bodies, connect, get, read_responses, read_to_close, run, run_stoppable,
};
use proptest::prelude::*;

/// Returns look-ups that each take `time` ms.
fn lookups(count: usize, time: u64) -> String {
    (0..count)
        .map(|it| get(&format!("/look/{it}?{time}")))
        .collect()
}

/// Guards against early responses that overtake those ahead, and against read-ahead without a limit.
#[test]
fn look_ups_run_together_up_to_the_limit_and_are_answered_in_order() {
    let (text, log) = run(PIPELINING, |address, _| {
        let slow_first: String = (0..20)
            .map(|it| get(&format!("/look/{it}?{}", 100 - it * 5)))
            .collect();
        read_responses(&mut connect(address, &slow_first), 20)
    });
    let expected: Vec<String> = (0..20).map(|it| format!("/look/{it} 0")).collect();
    assert_eq!(bodies(&text), expected);
    assert_eq!(log.most(), 8);
    assert!(log.events().contains(&Event::Started(7)));
    assert!(log.events().contains(&Event::Stopped(StopCause::Requests)));
    let waited = log.events();
    let waited = waited
        .iter()
        .filter(|it| matches!(it, Event::Waited { .. }));
    assert!(waited.count() > 0);
}

/// Guards against a limit of one that still reads ahead.
#[test]
fn a_limit_of_one_handles_one_request_at_a_time() {
    let (text, log) = run(Pipelining::OFF, |address, _| {
        read_responses(&mut connect(address, &lookups(4, 5)), 4)
    });
    assert_eq!((bodies(&text).len(), log.most()), (4, 1));
    assert!(log.events().is_empty());
}

/// Guards against an order beside other requests: a response ahead that closes the connection would make it run twice.
#[test]
fn an_order_runs_alone() {
    let (text, log) = run(PIPELINING, |address, _| {
        let order = "POST /order?30 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
        let bodyless = get("/order/2?30");
        let text = lookups(3, 30) + order + &bodyless + &get("/look/8?30") + &get("/look/9?30");
        read_responses(&mut connect(address, &text), 7)
    });
    assert_eq!(bodies(&text)[3], "/order 3");
    for order in ["/order", "/order/2"] {
        let started = log.position(&format!("start {order}"));
        assert_eq!(log.lines()[started + 1], format!("done {order}"));
    }
    assert!(log.position("start /order") > log.position("done /look/2"));
    assert!(log.position("start /order/2") > log.position("done /order"));
    assert!(log.position("start /look/8") > log.position("done /order/2"));
    assert!(log.events().contains(&Event::Stopped(StopCause::Alone)));
}

/// Guards against requests that reach a target behind a response that closes the connection.
#[test]
fn a_response_that_closes_the_connection_cancels_what_is_behind_it() {
    let (text, log) = run(PIPELINING, |address, log| {
        let text = get("/look/close?50") + &lookups(3, 4000) + &get("/order");
        let text = read_to_close(&mut connect(address, &text));
        log.wait("cancel", 3);
        text
    });
    assert_eq!(bodies(&text), ["/look/close 0"]);
    assert!(!log.all("start").contains(&"/order".to_owned()));
}

/// Guards against reading behind a request after which its caller wants the connection closed.
#[test]
fn nothing_is_read_behind_a_request_that_closes_the_connection() {
    let (text, log) = run(PIPELINING, |address, _| {
        let close = "GET /look/c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let text = lookups(2, 30) + close + &get("/look/9") + &get("/order");
        read_to_close(&mut connect(address, &text))
    });
    assert_eq!(bodies(&text).last().unwrap(), "/look/c 0");
    assert_eq!(log.all("start").len(), 3);
}

/// Guards against requests of callers that have left being sent to targets.
#[test]
fn a_caller_that_leaves_cancels_all_its_open_requests() {
    for half in [false, true] {
        let ((), log) = run(PIPELINING, move |address, log| {
            let text = lookups(4, 4000) + &get("/order");
            let stream = connect(address, &text);
            log.wait("start", 4);
            stream
                .shutdown(if half {
                    Shutdown::Write
                } else {
                    Shutdown::Both
                })
                .unwrap();
            log.wait("cancel", 4);
        });
        assert_eq!(log.all("start").len(), 4);
        assert!(log.all("done").is_empty());
    }
}

/// Guards against a connection that no longer reads, or whose requests have no known end, and so misses its caller's leaving.
#[test]
fn a_caller_that_leaves_is_noticed_while_nothing_is_read() {
    let chunked =
        "POST /slow?4000 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let full = get("/slow?4000") + &get("/order").repeat(1500);
    for text in [full, chunked.to_owned() + &get("/order")] {
        let ((), log) = run(PIPELINING, move |address, log| {
            let stream = connect(address, &text);
            log.wait("start", 1);
            thread::sleep(Duration::from_millis(50));
            drop(stream);
            log.wait("cancel", 1);
        });
        assert_eq!(log.all("start"), ["/slow"]);
    }
}

/// Guards against a request that fails early and leaves those ahead, or its connection, without an end.
#[test]
fn a_handler_that_panics_early_ends_the_connection_in_its_turn() {
    let (text, _) = run(PIPELINING, |address, _| {
        let text = get("/look/1?50") + &get("/look/panic") + &get("/look/2");
        read_to_close(&mut connect(address, &text))
    });
    assert_eq!(bodies(&text), ["/look/1 0"]);
}

/// Guards against unbounded memory of responses that wait, and against requests that are lost at the bound.
#[test]
fn responses_that_wait_are_bounded_per_connection_and_in_all() {
    let half = Pipelining {
        requests: 8,
        response_bytes: space::CONNECTION_BYTES / 2,
    };
    let (text, log) = run(half, |address, _| {
        read_responses(&mut connect(address, &lookups(12, 20)), 12)
    });
    assert_eq!((bodies(&text).len(), log.most()), (12, 3));
    let third = Pipelining {
        requests: 8,
        response_bytes: space::CONNECTION_BYTES,
    };
    let (answered, log) = run(third, |address, log| {
        let mut streams: Vec<TcpStream> =
            (0..8).map(|_| connect(address, &lookups(3, 50))).collect();
        let texts = streams.iter_mut().map(|it| read_responses(it, 3));
        let answered: usize = texts.map(|it| bodies(&it).len()).sum();
        // Connections that have waited for space and are idle now leave it to others.
        let early = |log: &Log| {
            let events = log.events();
            events
                .iter()
                .filter(|it| matches!(it, Event::Started(_)))
                .count()
        };
        let before = early(&log);
        read_responses(&mut connect(address, &lookups(2, 20)), 2);
        assert_eq!(early(&log), before + 1);
        answered
    });
    let places = space::TOTAL_BYTES / space::CONNECTION_BYTES;
    assert_eq!(answered, 24);
    assert!(log.most() <= 8 + places, "{}", log.most());
    assert!(
        log.events()
            .contains(&Event::Stopped(StopCause::TotalBytes))
    );
}

/// Guards against a connection with many requests that keeps others from being served.
#[test]
fn one_connection_with_forty_requests_does_not_starve_forty_with_one() {
    let (started, _) = run(PIPELINING, |address, log| {
        let mut many = connect(address, &lookups(40, 200));
        log.wait("start", 8);
        let mut singles: Vec<TcpStream> = (0..40)
            .map(|_| connect(address, &get("/look/single?10")))
            .collect();
        for single in &mut singles {
            assert_eq!(bodies(&read_responses(single, 1)).len(), 1);
        }
        let lines = log.lines();
        let last = lines
            .iter()
            .rposition(|it| it == "start /look/single")
            .unwrap();
        let ahead = lines[..last].iter().filter(|it| it.starts_with("start "));
        let ahead = ahead.filter(|it| !it.ends_with("single")).count();
        assert_eq!(bodies(&read_responses(&mut many, 40)).len(), 40);
        ahead
    });
    assert!(started <= 24, "{started} of the forty were first");
}

/// Guards against a drain that closes a connection on requests that it has read, or announces the close before the last.
#[test]
fn a_drain_answers_what_was_read_and_announces_the_close_on_the_last() {
    for stop_server in [false, true] {
        let (text, _) = run_stoppable(PIPELINING, move |address, log, stop| {
            let order = "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
            let mut stream = connect(address, &(lookups(3, 100) + order + &get("/look/8")));
            log.wait("start", 3);
            log.drain();
            if stop_server {
                stop.send(()).unwrap();
            }
            read_to_close(&mut stream)
        });
        assert_eq!(bodies(&text).len(), 5, "{text}");
        let (ahead, last) = text.rsplit_once("HTTP/1.1 ").unwrap();
        assert!(!ahead.contains("connection: close"), "{text}");
        assert!(last.contains("connection: close"), "{text}");
    }
}

/// Guards against bad input that takes down the requests ahead of it, or lets those behind it run.
#[test]
fn bad_input_is_answered_in_turn_and_nothing_behind_it_is_read() {
    let oversize = format!("GET /look/long HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(9000));
    let many = format!("GET /look/many HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(101));
    let cases = [
        ("GET /look/\x01 HTTP/1.1\r\n\r\n".to_owned(), "400"),
        (
            "GET /look/b HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_owned(),
            "400",
        ),
        (
            "GET /look/b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_owned(),
            "400",
        ),
        (oversize, "431"),
        (many, "431"),
    ];
    for (bad, status) in cases {
        let (text, log) = run(PIPELINING, move |address, _| {
            let text = lookups(3, 20) + &bad + &get("/look/behind") + &get("/order");
            read_to_close(&mut connect(address, &text))
        });
        assert_eq!(bodies(&text).len(), 3, "{text}");
        assert!(text.contains(&format!("HTTP/1.1 {status} ")), "{text}");
        assert_eq!(log.all("start").len(), 3, "{:?}", log.lines());
    }
}

/// Guards against a body or an upgrade that is taken for the next request.
#[test]
fn a_body_where_none_is_expected_is_no_request() {
    let (text, log) = run(PIPELINING, |address, _| {
        let inner = get("/order/inner");
        let size = inner.len();
        let body =
            format!("GET /look/b HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n{inner}");
        let chunks =
            "GET /look/c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n";
        let upgrade = "GET /look/u HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
        let text = lookups(2, 10) + &body + &lookups(2, 10) + chunks + &get("/look/8") + upgrade;
        read_responses(&mut connect(address, &text), 8)
    });
    let bodies = bodies(&text);
    assert_eq!(
        (&*bodies[2], &*bodies[5], &*bodies[7]),
        ("/look/b 38", "/look/c 2", "/look/u 0")
    );
    assert!(!log.all("start").contains(&"/order/inner".to_owned()));
}

/// Guards against half a request at the end that blocks the responses ahead, or that keeps the connection open.
#[test]
fn half_a_request_at_the_end_times_out_after_those_ahead_are_answered() {
    let (text, _) = run(PIPELINING, |address, _| {
        let text = lookups(3, 20) + "GET /look/half HTTP/1.1\r\nHo";
        read_to_close(&mut connect(address, &text))
    });
    assert_eq!(bodies(&text).len(), 3, "{text}");
}

fn any_request() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => (0..4u8).prop_map(|it| get(&format!("/look/{it}?{it}"))),
        1 => Just(get("/order?1")),
        1 => Just("\r\nHEAD /look/h HTTP/1.1\nHost: a\n\n".to_owned()),
        1 => Just("GET /look/z HTTP/1.1\r\nContent-Length: 0\r\nX: \u{e9}\r\n\r\n".to_owned()),
        1 => "[a-z\r\n]{0,40}".prop_map(|body| {
            format!("POST /order HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        }),
        1 => Just("POST /look/c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\r\n\n\r\n0\r\n\r\n".to_owned()),
    ]
}

/// Sends pieces of `text` that end at `cuts`, and returns all that the server sends.
fn exchange(pipelining: Pipelining, text: &str, cuts: &[usize]) -> String {
    let (text, cuts) = (text.to_owned(), cuts.to_vec());
    run(pipelining, move |address, _| {
        let mut stream = connect(address, "");
        stream.set_nodelay(true).unwrap();
        let mut from = 0;
        for to in cuts.into_iter().chain([text.len()]) {
            stream.write_all(&text.as_bytes()[from..to]).unwrap();
            thread::sleep(Duration::from_micros(300));
            from = to;
        }
        read_to_close(&mut stream)
    })
    .0
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("BRAMLEYPIER_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(48)
    ))]

    /// Guards against responses that depend on how requests are cut into packets, or differ from one request at a time.
    #[test]
    fn responses_are_the_same_as_for_one_request_at_a_time(
        requests in proptest::collection::vec(any_request(), 1..14),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
        last in prop_oneof![
            Just("GET /look/e HTTP/1.1\r\nConnection: close\r\n\r\n"),
            Just("GET /look/e HTTP/1.0\r\n\r\n"),
            Just("GET /look /e HTTP/1.1\r\n\r\n"),
            Just("GET /close HTTP/1.1\r\n\r\n"),
        ],
    ) {
        let ahead = requests.concat();
        // The server may close on the start of a bad request, so the last one is not cut.
        let mut cuts: Vec<usize> = cuts.iter().map(|it| it.index(ahead.len())).collect();
        cuts.sort_unstable();
        let text = ahead + last;
        let single = exchange(Pipelining::OFF, &text, &[]);
        prop_assert_eq!(exchange(PIPELINING, &text, &cuts), single);
    }
}
