//! The rules of the key-value store.

use std::time::Duration;

use bramleypier_standins::store::{Refusal, Store};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn compare_and_swap() {
    let mut store = Store::default();
    let mut put = |value: &[u8], expected| store.put(at(0), "k", value.to_vec(), expected, None);
    assert_eq!(put(b"a", 7), Err(Refusal::Version(0)));
    assert_eq!(put(b"a", 0), Ok(1));
    assert_eq!(put(b"b", 0), Err(Refusal::Version(1)));
    assert_eq!(put(b"b", 1), Ok(2));
    assert_eq!(put(b"c", 1), Err(Refusal::Version(2)));
    assert_eq!(store.get(at(0), "k").unwrap().value, b"b");
    assert_eq!(store.delete(at(0), "k", 1), Err(Refusal::Version(2)));
    assert_eq!(store.delete(at(0), "k", 2), Ok(()));
    assert!(store.get(at(0), "k").is_none());
    // The version keeps increasing after a deletion.
    assert_eq!(store.put(at(0), "k", vec![], 0, None), Ok(4));
}

#[test]
fn leases() {
    let mut store = Store::default();
    let lease = store.lease(at(0), at(100));
    assert_eq!(store.put(at(0), "k", vec![], 0, Some(&lease)), Ok(1));
    assert!(store.renew(at(99), &lease));
    assert!(store.get(at(198), "k").is_some());
    assert!(store.get(at(199), "k").is_none());
    assert!(
        !store.renew(at(199), &lease),
        "an expired lease can't be renewed"
    );
    let late = store.put(at(199), "k", vec![], 0, Some(&lease));
    assert_eq!(late, Err(Refusal::Lease));
    assert!(
        store.get(at(199), "k").is_none(),
        "a rejected write changes nothing"
    );
}

#[test]
fn lease_ends_only_its_own_keys() {
    let mut store = Store::default();
    let first = store.lease(at(0), at(100));
    let second = store.lease(at(0), at(100));
    store.put(at(0), "a", vec![], 0, Some(&first)).unwrap();
    store.put(at(0), "b", vec![], 0, Some(&second)).unwrap();
    store.put(at(0), "c", vec![], 0, Some(&first)).unwrap();
    // A key that is written again without the lease is no longer attached to it.
    store.put(at(0), "c", vec![], 3, None).unwrap();
    store.revoke(at(1), &first);
    let keys = store.list(at(1), "").keys;
    let keys: Vec<&str> = keys.iter().map(|listed| listed.key.as_str()).collect();
    assert_eq!(keys, ["b", "c"]);
}

#[test]
fn changes_since() {
    let mut store = Store::default();
    let lease = store.lease(at(0), at(100));
    store.put(at(0), "p/a", vec![], 0, None).unwrap();
    store.put(at(0), "p/b", vec![], 0, Some(&lease)).unwrap();
    store.put(at(0), "q/c", vec![], 0, None).unwrap();
    store.put(at(0), "p/a", vec![], 1, None).unwrap();
    let table = [
        (0, 0, "p/", vec![("p/a", 4), ("p/b", 2)]),
        (0, 3, "p/", vec![("p/a", 4)]),
        (0, 4, "p/", vec![]),
        (0, 0, "q/", vec![("q/c", 3)]),
        (100, 4, "p/", vec![("p/b", 0)]),
    ];
    for (now, since, prefix, expected) in table {
        let page = store.changed(at(now), prefix, since);
        let listed = page.keys.iter();
        let mut keys: Vec<_> = listed.map(|key| (key.key.as_str(), key.version)).collect();
        keys.sort_unstable();
        assert_eq!(keys, expected, "{prefix} since {since} at {now}");
    }
}
