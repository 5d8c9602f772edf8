//! Tests the plan of a run: arrivals, keys, the order of requests, and the parsing of options.

use std::time::Duration;

use bramleypier_load::{
    arrivals::{Arrivals, Pattern},
    config::{Class, Config, Policy, Work},
    keys::Keys,
    plan::{self, Plan},
};
use rand::{SeedableRng, rngs::StdRng};

/// Accepted relative deviation of a mean over many samples from its expected value.
const RELATIVE_TOLERANCE: f64 = 0.05;
const SAMPLES: usize = 20_000;

fn is_near(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= expected * RELATIVE_TOLERANCE
}

fn share(count: usize, all: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap()) / f64::from(u32::try_from(all).unwrap())
}

#[test]
fn arrivals_are_ordered_and_match_their_rate() {
    for (pattern, rate) in [
        (Pattern::Constant, 100.0),
        (Pattern::Poisson, 100.0),
        (Pattern::Poisson, 20_000.0),
    ] {
        let times: Vec<Duration> = Arrivals::new(pattern, rate, 7).take(SAMPLES).collect();
        assert!(times.is_sorted(), "{pattern:?}");
        let mean = times[SAMPLES - 1].as_secs_f64() / 20_000.0;
        assert!(is_near(mean, 1.0 / rate), "{pattern:?} {rate}: {mean}");
        let again: Vec<Duration> = Arrivals::new(pattern, rate, 7).take(SAMPLES).collect();
        assert_eq!(times, again, "equal seeds must give equal arrivals");
    }
    assert!(Arrivals::new(Pattern::Poisson, 0.0, 7).next().is_none());
}

#[test]
fn constant_gaps_are_equal_and_poisson_gaps_are_not() {
    let deviation = |pattern| {
        let times: Vec<Duration> = Arrivals::new(pattern, 1000.0, 3).take(SAMPLES).collect();
        let gaps = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
        let square = |gap: Duration| (gap.as_secs_f64() * 1000.0 - 1.0).powi(2);
        (gaps.map(square).sum::<f64>() / 20_000.0).sqrt()
    };
    assert!(deviation(Pattern::Constant) < 0.01);
    // The standard deviation of the exponential distribution equals its mean.
    assert!(is_near(deviation(Pattern::Poisson), 1.0));
}

#[test]
fn keys_follow_the_configured_distribution() {
    // Number of keys, exponent, and expected fractions of the first and the second key.
    let cases = [
        (4, 0.0, 0.25, 0.25),
        (4, 1.0, 0.48, 0.24),
        (2, 2.0, 0.8, 0.2),
        (1, 1.0, 1.0, 0.0),
    ];
    for (count, exponent, first, second) in cases {
        let keys = Keys::new(count, exponent);
        let mut rng = StdRng::seed_from_u64(5);
        let samples: Vec<usize> = (0..SAMPLES).map(|_| keys.sample(&mut rng)).collect();
        assert!(samples.iter().all(|key| *key < count));
        let found = |key| {
            share(
                samples.iter().filter(|sample| **sample == key).count(),
                SAMPLES,
            )
        };
        assert!(is_near(found(0), first), "{exponent}: {}", found(0));
        assert!(is_near(found(1), second), "{exponent}: {}", found(1));
    }
}

#[test]
fn a_plan_contains_all_classes_at_their_rates() {
    let config = Config {
        rates: [2000.0, 500.0, 100.0],
        duration: Duration::from_secs(10),
        workers: 3,
        work: Work::Exponential(Duration::from_millis(10)),
        ..Config::default()
    };
    let requests = plan::all_requests(&config);
    assert!(requests.is_sorted_by_key(|request| request.due));
    assert!(requests.iter().all(|request| request.due < config.duration));
    for class in Class::ALL {
        let count = requests
            .iter()
            .filter(|request| request.class == class)
            .count();
        let rate = share(count, 10);
        let expected = config.rates[class.index()];
        assert!(
            (rate - expected).abs() < expected * 0.1,
            "{class:?}: {rate}"
        );
    }
    let work: Duration = requests.iter().filter_map(|request| request.work).sum();
    let mean = work.as_secs_f64() * 1000.0 / share(requests.len(), 1);
    assert!(is_near(mean, 10.0), "{mean}");
}

#[test]
fn plans_differ_between_workers_and_repeat_for_a_seed() {
    let config = Config {
        workers: 2,
        ..Config::default()
    };
    let one: Vec<_> = Plan::new(&config, 0).collect();
    let other: Vec<_> = Plan::new(&config, 1).collect();
    assert_ne!(one, other);
    assert_eq!(one, Plan::new(&config, 0).collect::<Vec<_>>());
    let seeded = Config { seed: 2, ..config };
    assert_ne!(one, Plan::new(&seeded, 0).collect::<Vec<_>>());
}

#[test]
fn option_values_are_parsed_and_validated() {
    assert_eq!("poisson".parse(), Ok(Pattern::Poisson));
    assert_eq!("two".parse(), Ok(Policy::TwoChoices));
    let duration = Duration::from_millis(10);
    assert_eq!("fixed:10".parse(), Ok(Work::Fixed(duration)));
    assert_eq!("exponential:10".parse(), Ok(Work::Exponential(duration)));
    assert_eq!("unsaid".parse(), Ok(Work::Unspecified));
    assert!("often".parse::<Pattern>().is_err());
    assert!("best".parse::<Policy>().is_err());
    for text in ["fixed:", "fixed:ten", "normal:10"] {
        assert!(text.parse::<Work>().is_err(), "{text}");
    }
}
