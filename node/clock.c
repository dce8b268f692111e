/* clock.c -- the monotonic and the wall clock, and periodic timers */
#include "node/clock.h"

#include <glib.h>
#include <time.h>

struct subscription {
    uv_timer_t timer;
    timer_fn fn;
    void *ctx;
};

struct timers {
    uv_loop_t *loop;
    GPtrArray *subscriptions; /* struct subscription */
};

uint64_t
clock_mono_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
clock_mono_ms(void)
{
    return clock_mono_us() / 1000;
}

uint64_t
clock_wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void
on_timer(uv_timer_t *timer)
{
    struct subscription *subscription = timer->data;

    subscription->fn(subscription->ctx, clock_mono_ms());
}

static void
free_subscription(uv_handle_t *handle)
{
    g_free(handle->data);
}

struct timers *
timers_new(uv_loop_t *loop)
{
    struct timers *timers = g_new0(struct timers, 1);

    timers->loop = loop;
    timers->subscriptions = g_ptr_array_new();
    return timers;
}

void
timers_subscribe(struct timers *timers, uint64_t period_ms, timer_fn fn,
                 void *ctx)
{
    struct subscription *subscription = g_new0(struct subscription, 1);

    subscription->fn = fn;
    subscription->ctx = ctx;
    subscription->timer.data = subscription;
    uv_timer_init(timers->loop, &subscription->timer);
    uv_timer_start(&subscription->timer, on_timer, period_ms, period_ms);
    g_ptr_array_add(timers->subscriptions, subscription);
}

void
timers_free(struct timers *timers)
{
    if (timers == NULL) {
        return;
    }
    for (guint i = 0; i < timers->subscriptions->len; i++) {
        struct subscription *subscription = timers->subscriptions->pdata[i];

        uv_close((uv_handle_t *)&subscription->timer, free_subscription);
    }
    g_ptr_array_free(timers->subscriptions, TRUE);
    g_free(timers);
}
