//! The task that exchanges state with the manager.

use std::{pin::pin, time::Duration};

use futures_util::future::{self, Either};

use super::{Envelope, SyncRequest, SyncResponse, sync::Context, sync_interval};
use crate::{
    fleet::{LogPosition, Vm},
    placement::dispatch,
};

/// The duration from which on an exchange is logged as slow.
const SLOW_EXCHANGE: Duration = Duration::from_millis(450);

/// Runs the sync exchanges with the manager until the process ends.
pub async fn run(context: Context) {
    let mut position = LogPosition::default();
    let mut relied_until = Duration::ZERO;
    let mut interval = Duration::ZERO;
    let mut lag = Duration::ZERO;
    let mut manager_start = None;
    let mut sources = 0;
    let mut contact = Contact::new(context.clock.now());
    context.manager_health.record_outcome(false);
    loop {
        let other_sources = context.shared_fleet.get().other_sources();
        if other_sources != sources {
            (position, sources) = (LogPosition::default(), other_sources);
        }
        let manager = context.shared_fleet.get().manager.clone();
        let start = manager.as_ref().map(|vm| vm.start.clone());
        if start != manager_start {
            // The lag of the previous manager says nothing about the new one.
            (manager_start, lag) = (start, Duration::ZERO);
        }
        let request = context.message(position.clone(), interval).await;
        let busy = !request.message.in_flight.is_empty();
        let response = match manager {
            Some(vm) if vm.start == context.vm.start => {
                // The manager follows the store itself.
                context.manager_health.record_outcome(false);
                Some(context.handle_sync(request))
            }
            Some(vm) => {
                let sent = context.clock.now();
                let exchange = exchange(&context, &vm, &request, &mut position);
                let response = run_while_relying(&context, relied_until, exchange).await;
                if let Some(Envelope { message, news }) = &response {
                    let vms = context.shared_fleet.get().vms.len();
                    // The lag that the response tells of lengthens the time until the next exchange.
                    let next = sync_interval::next_interval(busy, vms, message.lag);
                    let now = context.clock.now();
                    let took = now.saturating_sub(sent);
                    let limits = context.shared_fleet.confirmations().limits();
                    let age = news.confirmed_age;
                    let until = sent + sync_interval::reliance(next, took, age, limits);
                    if now <= until && context.accept_response(message, news.era, &vm, next) {
                        relied_until = until;
                        context.record_confirmation(sent, news, &vm);
                    }
                }
                response
            }
            None => None,
        };
        contact.update(&context);
        if let Some(response) = &response {
            // The manager handles its own sync requests without an exchange, so its lag doesn't lengthen the interval.
            lag = if context.is_manager.get() {
                Duration::ZERO
            } else {
                response.message.lag
            };
        }
        let vms = context.shared_fleet.get().vms.len();
        interval = sync_interval::next_interval(busy, vms, lag);
        if let Some(Envelope { message, news }) = response {
            let quotas = message.quotas.into_iter();
            context
                .dispatcher
                .send(dispatch::Event::Sync(dispatch::SyncUpdate {
                    others: message.in_flight_elsewhere.into_iter().collect(),
                    quotas: quotas.map(|quota| (quota.target, quota)).collect(),
                    rates: message.rates,
                    sync_interval: interval,
                    exchanging: context.exchanging_vms(),
                    vms_sharing: news.vms_sharing,
                }));
        }
        let sleep_start = context.clock.now();
        let sleep = context.clock.sleep(interval);
        run_while_relying(&context, relied_until, sleep).await;
        context.record_lag(interval, context.clock.now().saturating_sub(sleep_start));
    }
}

/// Waits for an exchange with the manager or for the next one, but no longer relies on the manager once the time `until`
/// has come.
///
/// Either may take long: a part of a response may have arrived whose rest never comes, and a manager that lags is asked rarely.
async fn run_while_relying<F>(context: &Context, until: Duration, work: F) -> F::Output
where
    F: Future,
{
    let left = until.saturating_sub(context.clock.now());
    let wait = pin!(context.clock.sleep(left));
    match future::select(pin!(work), wait).await {
        Either::Left((output, _)) => output,
        Either::Right(((), work)) => {
            context.stop_relying("no valid response in time");
            work.await
        }
    }
}

/// Whether anybody tells this VM what changes in the store.
#[derive(Debug)]
struct Contact {
    started: Duration,
    lost: bool,
}

impl Contact {
    fn new(now: Duration) -> Self {
        Self {
            started: now,
            lost: false,
        }
    }

    /// Finds out, and logs a change.
    fn update(&mut self, context: &Context) {
        let now = context.clock.now();
        let confirmations = context.shared_fleet.confirmations();
        let in_contact = context.manager_health.is_healthy() || confirmations.is_by_store(now);
        let is_starting = now <= self.started + confirmations.limits().max_age();
        let lost = !in_contact && !is_starting && !confirmations.is_recent(now);
        if lost == self.lost {
            return;
        }
        self.lost = lost;
        let event = if lost { "contact-lost" } else { "contact-back" };
        let details = confirmations.describe(now);
        let manager = context.shared_fleet.get().manager.clone();
        let manager = manager.map_or_else(String::new, |vm| vm.name);
        context
            .report
            .line(&format!("event={event} {details} manager={manager}"));
    }
}

/// Sends a sync request and applies the relay in the response, which is returned; `None` after a failure.
pub(super) async fn exchange(
    context: &Context,
    vm: &Vm,
    request: &Envelope<SyncRequest>,
    position: &mut LogPosition,
) -> Option<Envelope<SyncResponse>> {
    let sent = context.clock.now();
    let envelope = match super::sync(&context.client, vm.address, request).await {
        Ok(envelope) => envelope,
        Err(error) => {
            if context.manager_health.is_healthy() {
                context
                    .report
                    .line(&format!("event=sync-failed vm={} {error}", vm.name));
            }
            return None;
        }
    };
    let took = context.clock.now().saturating_sub(sent);
    context.report.time("sync", took, &[]);
    if took > SLOW_EXCHANGE {
        let (vm, took) = (&vm.name, took.as_millis());
        let line = format!("event=sync-slow vm={vm} took_ms={took}");
        context.report.line(&line);
    }
    let Envelope {
        message: mut response,
        news,
    } = envelope;
    context.report.merge(response.stamp);
    context.apply_news(&news);
    let relay = &mut response.relay;
    if relay.position() != position {
        if !context.complete_relay(vm, relay, &news) {
            return None;
        }
        let applied = context.apply_relay(vm, relay, news.era, response.healthy);
        if applied && context.shared_fleet.get().is_covered_by(relay) {
            *position = relay.position().clone();
        }
    }
    Some(Envelope {
        message: response,
        news,
    })
}
