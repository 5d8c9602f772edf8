//! Tests of request parsing, targets' outcomes, deadlines and verdicts.

use std::time::Duration;

use bramleypier::{
    document::{Class, Document, Ownership},
    request::{
        Answer, Attempt, Call, Deadline, Outcome, Step, Verdict, answer, attempt::ProofKind,
        call::Error,
    },
};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use indexmap::IndexMap;

fn read(path: &str, headers: &[(&str, &str)]) -> Result<Call, Error> {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (head, ()) = request.body(()).unwrap().into_parts();
    Call::read(&head)
}

fn class(methods: &[&str], path: &str, idempotent: bool) -> Class {
    Class {
        methods: methods.iter().map(ToString::to_string).collect(),
        path: path.into(),
        idempotent,
        share: 50,
        deadline: Duration::from_secs(1),
        queue: Duration::from_millis(100),
    }
}

fn document() -> Document {
    Document {
        service: "dispatch".into(),
        ownership: Ownership::Exclusive,
        groups: 1,
        ranges: 1,
        unavailable_weight: 1.0,
        churn_weight: 1.0,
        body_limit: 1_024,
        classes: IndexMap::from([
            ("order".into(), class(&["POST"], "/orders", false)),
            ("file".into(), class(&["GET"], "proofs", true)),
            ("look-up".into(), class(&["get", "post"], "", true)),
        ]),
        targets: IndexMap::new(),
    }
}

#[test]
fn invalid_paths_are_refused() {
    let long = format!("/dispatch/{}", "k".repeat(513));
    let cases = [
        ("/", "path"),
        ("/dispatch", "key"),
        ("/dispatch/", "key"),
        ("//k", "path"),
        ("/dispatch/%ff/orders", "key"),
        ("/dispatch/%00/orders", "key"),
        ("/dispatch/%2e%2e/orders", "key"),
        ("/dispatch/k/orders/../status", "path"),
        ("/dispatch/k/a%2forders", "path"),
        ("/dispatch/k/a%5Corders", "path"),
        ("/dispatch/k//orders", "path"),
        ("/dispatch/k/%E9", "path"),
        (long.as_str(), "key"),
    ];
    for (path, part) in cases {
        let error = read(path, &[]).unwrap_err();
        assert!(error.to_string().contains(part), "{path}: {error}");
        let verdict = error.verdict(&Attempt::new().proof());
        assert_eq!((verdict.status, verdict.step), (400, Step::Parse));
        assert_eq!(verdict.outcome(), Outcome::NotRun, "{path}");
    }
}

#[test]
fn invalid_headers_are_refused() {
    let long = "i".repeat(129);
    let cases = [
        vec![("idempotency-key", "")],
        vec![("idempotency-key", "\"\"")],
        vec![("idempotency-key", "two words")],
        vec![("idempotency-key", long.as_str())],
        vec![("idempotency-key", "a"), ("idempotency-key", "b")],
        vec![("bramleypier-deadline", "soon")],
        vec![("bramleypier-deadline", "-1")],
        vec![("bramleypier-deadline", "0")],
        vec![("bramleypier-deadline", "5"), ("bramleypier-deadline", "6")],
    ];
    for headers in cases {
        assert!(read("/dispatch/k", &headers).is_err(), "{headers:?}");
    }
}

#[test]
fn request_ids_are_normalised() {
    let plain = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let spellings = [
        plain,
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
        "\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\"",
        "017f22e279b07cc398c4dc0c0c07398f",
    ];
    for spelling in spellings {
        let call = read("/dispatch/k", &[("idempotency-key", spelling)]).unwrap();
        assert_eq!(call.id.as_deref(), Some(plain));
    }
    let call = read("/dispatch/k", &[("idempotency-key", "Order-7")]).unwrap();
    assert_eq!(call.id.as_deref(), Some("Order-7"));
}

#[test]
fn path_encoding_does_not_change_the_class() {
    let id = [("idempotency-key", "1")];
    let cases = [
        ("/dispatch/k/orders", "order"),
        ("/dispatch/k/%6Frders", "order"),
        ("/dispatch/k/orders/", "order"),
        ("/dispatch/k/orders/7?x=1", "order"),
        ("/dispatch/k/orders-old", "look-up"),
        ("/dispatch/k", "look-up"),
    ];
    for (path, name) in cases {
        let call = read(path, &id).unwrap();
        assert_eq!(call.class(&document()).unwrap().0, name, "{path}");
    }
}

#[test]
fn orders_need_an_id_and_calls_a_matching_class() {
    let call = read("/dispatch/k/orders", &[]).unwrap();
    assert!(matches!(call.class(&document()), Err(Error::Id(_))));
    let (head, ()) = Request::delete("/dispatch/k/orders")
        .body(())
        .unwrap()
        .into_parts();
    let error = Call::read(&head).unwrap().class(&document()).unwrap_err();
    assert_eq!(error.verdict(&Attempt::new().proof()).status, 404);
}

#[test]
fn only_an_unambiguous_refusal_proves_not_run() {
    let cases: [(u16, &[&str], &str); 8] = [
        (503, &["not-run"], "refused"),
        (421, &["not-run"], "refused"),
        (503, &[], "ran"),
        (200, &[], "ran"),
        (200, &["not-run"], "unknown"),
        (503, &["not-run", "ran"], "unknown"),
        (503, &["Not-Run"], "unknown"),
        (500, &["unknown"], "unknown"),
    ];
    for (status, values, expected) in cases {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append("bramleypier-outcome", HeaderValue::from_static(value));
        }
        let found = match answer::read(StatusCode::from_u16(status).unwrap(), &headers) {
            Answer::Ran => "ran",
            Answer::Refused(_) => "refused",
            Answer::Unknown => "unknown",
        };
        assert_eq!(found, expected, "{status} {values:?}");
    }
}

#[test]
fn a_refused_attempt_may_be_retried() {
    let mut headers = HeaderMap::new();
    headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
    headers.insert("retry-after", HeaderValue::from_static("2"));
    let Answer::Refused(refusal) = answer::read(StatusCode::SERVICE_UNAVAILABLE, &headers) else {
        panic!("a refusal");
    };
    assert_eq!(refusal.retry_after(), Some(Duration::from_secs(2)));
    let admitted = Attempt::new().admit().start("a").refused(&refusal);
    assert_eq!(admitted.proof().kind(), ProofKind::TargetRefused);
    assert_eq!(admitted.start("b").lost().outcome(), Outcome::Unknown);
}

#[test]
fn remaining_time_is_capped_and_decreases() {
    let ms = Duration::from_millis;
    let deadline = Deadline::new(ms(100), Some(ms(50)), ms(30));
    assert_eq!(deadline.header(ms(100)).as_deref(), Some("30"));
    assert_eq!(deadline.header(ms(129)).as_deref(), Some("1"));
    assert_eq!(deadline.header(ms(130)), None);
    assert_eq!(deadline.header(ms(900)), None);
}

#[test]
fn retry_times_are_rounded_up() {
    let verdict =
        Verdict::unknown(504, Step::Answer, "a", "").retry_after(Duration::from_micros(1));
    assert_eq!(
        (verdict.retry_ms(), verdict.retry_seconds()),
        (Some(1), Some(1))
    );
}
