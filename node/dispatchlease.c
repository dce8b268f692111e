/* dispatchlease.c -- the length of targets' leases: what is granted, awaited
 * and stored; see core/lease.h
 */
#include "base/log.h"
#include "core/lease.h"
#include "node/dispatchpriv.h"

#define CLOCK_DRIFT_PERCENT 2u /* a target's clock may run slower by this */
#define LEASE_MARGIN_MS 100u   /* added to the computed end of a lease */
#define STORE_RETRY_MS 100u    /* after a proposal that failed */

static uint32_t
configured_lease_ms(const struct dispatch *dispatch)
{
    return dispatch->deps.settings->fleet->lease_ms;
}

uint64_t
dispatch_lease_span_ms(uint64_t lease_ms)
{
    return lease_ms * 100 / (100 - CLOCK_DRIFT_PERCENT) + LEASE_MARGIN_MS;
}

uint32_t
dispatch_granted_lease_ms(const struct dispatch *dispatch)
{
    return lease_to_grant_ms(configured_lease_ms(dispatch),
                             dispatch->deps.fleet->lease_ms);
}

uint64_t
dispatch_earlier_leases_ms(const struct dispatch *dispatch)
{
    return dispatch_lease_span_ms(lease_to_await_ms(
        configured_lease_ms(dispatch), dispatch->deps.fleet->lease_ms));
}

static void
on_lease_stored(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct pending_request *pending = ctx;
    struct dispatch *dispatch = pending->dispatch;

    (void)answer;
    if (dispatch != NULL) {
        dispatch->lease_in_flight = false;
        if (err != FP_OK) {
            log_info(LOG_SCHED, "could not store the length of leases: %s",
                     fp_err_row(err)->name);
            dispatch->next_lease_ms = clock_mono_ms() + STORE_RETRY_MS;
        }
    }
    dispatch_drop_pending(pending);
}

bool
dispatch_tick_lease(struct dispatch *dispatch, uint64_t now_ms)
{
    const uint32_t stored_ms = dispatch->deps.fleet->lease_ms;
    struct fleet_lease lease = {
        .lease_ms = lease_to_store_ms(
            configured_lease_ms(dispatch), stored_ms,
            now_ms >= dispatch->term_start_ms +
                          dispatch_earlier_leases_ms(dispatch))};

    if (lease.lease_ms != 0 && !dispatch->lease_in_flight &&
        now_ms >= dispatch->next_lease_ms) {
        log_notice(LOG_SCHED, "leases of targets last up to %u ms, before: %u",
                   lease.lease_ms, stored_ms);
        dispatch->lease_in_flight = true;
        replica_propose(dispatch->deps.replica, &FLEET_LEASE_SCHEMA, &lease,
                        on_lease_stored, dispatch_add_pending(dispatch, NULL));
    }
    return stored_ms != 0;
}
