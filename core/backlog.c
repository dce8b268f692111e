/* backlog.c -- model of the work that waits for the targets of a service */
#include "core/backlog.h"

#include <string.h>

#define SLOT_MS_MIN 10u

void
backlog_init(struct backlog *backlog)
{
    memset(backlog, 0, sizeof(*backlog));
    backlog->slot_ms = 1;
    backlog->entries = g_array_new(FALSE, FALSE, sizeof(struct backlog_entry));
}

void
backlog_clear(struct backlog *backlog)
{
    g_array_free(backlog->entries, TRUE);
    backlog->entries = NULL;
}

void
backlog_reset(struct backlog *backlog, uint64_t now_ms, uint64_t run_ms)
{
    GArray *entries = backlog->entries;

    g_array_set_size(entries, 0);
    memset(backlog, 0, sizeof(*backlog));
    backlog->entries = entries;
    backlog->made_ms = now_ms;
    backlog->slot_ms = (uint32_t)CLAMP(run_ms / BACKLOG_RUN_SLOTS, SLOT_MS_MIN,
                                       UINT32_MAX / BACKLOG_SLOTS);
}

static void
add_to_slot(uint64_t slots[BACKLOG_RESOURCE_COUNT][BACKLOG_SLOTS],
            const uint64_t amount[BACKLOG_RESOURCE_COUNT], uint64_t slot)
{
    if (slot >= BACKLOG_SLOTS) {
        return; /* beyond the horizon */
    }
    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        slots[r][slot] += amount[r];
    }
}

void
backlog_add_release(struct backlog *backlog,
                    const uint64_t amount[BACKLOG_RESOURCE_COUNT],
                    uint64_t after_ms)
{
    add_to_slot(backlog->released, amount,
                (after_ms + backlog->slot_ms - 1) / backlog->slot_ms);
}

void
backlog_add_follower(struct backlog *backlog,
                     const uint64_t amount[BACKLOG_RESOURCE_COUNT],
                     uint64_t after_ms)
{
    add_to_slot(backlog->follows, amount, after_ms / backlog->slot_ms);
}

void
backlog_add_work(struct backlog_work *to, const struct backlog_work *work)
{
    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        to->amount[r] += work->amount[r];
        to->work[r] += work->work[r];
        to->whole[r] += work->whole[r];
    }
}

void
backlog_add_entry(struct backlog *backlog, const uint64_t key[3],
                  const struct backlog_work *work, uint64_t query_ms,
                  bool is_fresh, bool is_tight)
{
    struct backlog_entry entry = {.query_ms = 0};

    if (backlog->entries->len > 0) {
        entry = g_array_index(backlog->entries, struct backlog_entry,
                              backlog->entries->len - 1);
    }
    memcpy(entry.key, key, sizeof(entry.key));
    backlog_add_work(&entry.total, work);
    if (is_tight) {
        backlog_add_work(&entry.tight, work);
    }
    entry.query_ms += query_ms;
    for (int r = 0; is_fresh && r < BACKLOG_RESOURCE_COUNT; r++) {
        entry.fresh[r] += work->amount[r];
    }
    g_array_append_val(backlog->entries, entry);
}

static bool
is_before(const uint64_t a[3], const uint64_t b[3])
{
    for (int i = 0; i < 3; i++) {
        if (a[i] != b[i]) {
            return a[i] < b[i];
        }
    }
    return true; /* what came first goes first */
}

/* The last entry that goes before key; NULL: none does. */
static const struct backlog_entry *
find_entry_before(const struct backlog *backlog, const uint64_t key[3])
{
    guint low = 0;
    guint high = backlog->entries->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;

        if (is_before(
                g_array_index(backlog->entries, struct backlog_entry, middle)
                    .key,
                key)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low == 0 ? NULL
                    : &g_array_index(backlog->entries, struct backlog_entry,
                                     low - 1);
}

/* One resource in the flow of time: the work that goes before the demand
 * starts as capacity is released, and releases it again after its run time. */
struct flow {
    int64_t free;
    int64_t kept_free; /* the demand takes only what is free beside this */
    int64_t queue;     /* amount that goes before the demand and waits */
    int64_t own;       /* amount of the demand that waits */
    uint64_t run_slots;
    uint64_t own_run_slots;
    int64_t back[BACKLOG_SLOTS]; /* released by what starts in the model */
};

/* What one call of backlog_wait() works with. */
struct wait_search {
    const struct backlog *backlog;
    const struct backlog_demand *demand;
    struct backlog_work ahead;  /* waits and goes before the demand */
    struct backlog_work others; /* that, and what arrives */
    /* Whole targets that are taken in each slot, besides by the demand. */
    uint64_t whole_starts[BACKLOG_SLOTS];
    struct backlog_answer answer;
};

static int64_t
start_in_slot(struct flow *flow, uint32_t slot, int64_t *waiting,
              uint64_t run_slots)
{
    const int64_t kept_free = waiting == &flow->own ? flow->kept_free : 0;
    int64_t started = MIN(MAX(flow->free - kept_free, 0), *waiting);

    *waiting -= started;
    flow->free -= started;
    if (slot + run_slots < BACKLOG_SLOTS) {
        flow->back[slot + run_slots] += started;
    }
    return started;
}

static uint64_t
mean_run_slots(const struct backlog *backlog, const struct backlog_work *work,
               int r)
{
    if (work->amount[r] == 0) {
        return BACKLOG_RUN_SLOTS;
    }
    return MAX(work->work[r] / work->amount[r] / backlog->slot_ms, 1);
}

/* What is left after the last slot starts at the rate at which the whole
 * capacity is released. */
static uint64_t
extrapolate_ms(const struct backlog *backlog, const struct flow *flow, int r)
{
    uint64_t run_ms =
        MAX(flow->run_slots, flow->own_run_slots) * (uint64_t)backlog->slot_ms;
    uint64_t rate = MAX(backlog->capacity[r], 1);

    return (uint64_t)BACKLOG_SLOTS * backlog->slot_ms +
           (uint64_t)(flow->queue + flow->own) * run_ms / rate;
}

/* Amount of a resource in the tasks that take whole targets in a slot. They
 * start as whole targets become free, however much of the resource is. */
static int64_t
taken_with_targets(const struct wait_search *search, int r, uint32_t slot)
{
    const uint64_t targets = search->others.amount[BACKLOG_WHOLE];

    return targets == 0 ? 0
                        : (int64_t)(search->whole_starts[slot] *
                                    search->others.whole[r] / targets);
}

static struct flow
init_flow(const struct wait_search *search, int r)
{
    const struct backlog *backlog = search->backlog;
    const struct backlog_demand *demand = search->demand;
    struct flow flow = {
        .free = (int64_t)demand->free[r] - (int64_t)backlog->lasting[r],
        .kept_free = (int64_t)demand->kept_free[r],
        .queue = (int64_t)(search->ahead.amount[r] - search->ahead.whole[r]),
        .own = (int64_t)demand->own.amount[r],
        .run_slots = mean_run_slots(backlog, &search->others, r),
        .own_run_slots = mean_run_slots(backlog, &demand->own, r)};

    if (r == BACKLOG_WHOLE) {
        flow.queue = (int64_t)search->ahead.amount[r];
        flow.free = (int64_t)(flow.own > 0 ? 0 : backlog->free_whole);
    }
    return flow;
}

/* Amount that arrives in a slot and goes before the demand. */
static int64_t
arrivals(const struct wait_search *search, int r, uint64_t *rest)
{
    const struct backlog_work *inflow = &search->demand->inflow;
    uint64_t amount = inflow->amount[r];
    int64_t arrived;

    if (r != BACKLOG_WHOLE) {
        amount -= inflow->whole[r];
    }
    *rest += amount * search->backlog->slot_ms;
    arrived = (int64_t)(*rest / BACKLOG_INFLOW_MS);
    *rest %= BACKLOG_INFLOW_MS;
    return arrived;
}

static void
set_last(struct wait_search *search, int r, uint64_t last_ms)
{
    if (last_ms >= search->answer.last_ms) {
        search->answer.last_ms = last_ms;
        search->answer.scarce = (enum backlog_resource)r;
        search->answer.own = search->demand->own.amount[r];
        search->answer.ahead = search->ahead.amount[r];
    }
}

static void
flow_resource(struct wait_search *search, int r)
{
    const struct backlog *backlog = search->backlog;
    const uint64_t *released = backlog->released[r];
    struct flow flow = init_flow(search, r);
    const int64_t wanted = flow.own;
    struct backlog_answer *answer = &search->answer;
    uint64_t rest = 0;
    bool started = wanted == 0;
    bool is_done = wanted == 0;

    if (r == BACKLOG_WHOLE && wanted > 0) {
        released = search->demand->room;
    }
    for (uint32_t slot = 0; slot < BACKLOG_SLOTS; slot++) {
        const uint64_t at_ms = (uint64_t)slot * backlog->slot_ms;

        flow.free += (int64_t)released[slot] + flow.back[slot];
        flow.queue +=
            (int64_t)backlog->follows[r][slot] + arrivals(search, r, &rest);
        if (r == BACKLOG_WHOLE) {
            search->whole_starts[slot] = (uint64_t)start_in_slot(
                &flow, slot, &flow.queue, flow.run_slots);
        }
        else {
            flow.queue += taken_with_targets(search, r, slot);
            start_in_slot(&flow, slot, &flow.queue, flow.run_slots);
        }
        start_in_slot(&flow, slot, &flow.own, flow.own_run_slots);
        if (!started && flow.own < wanted) {
            started = true;
            answer->first_ms = MAX(answer->first_ms, at_ms);
        }
        if (!is_done && flow.own == 0) {
            is_done = true;
            set_last(search, r, at_ms);
        }
        if (is_done && r != BACKLOG_WHOLE) {
            return;
        }
    }
    if (flow.own > 0) {
        set_last(search, r, extrapolate_ms(backlog, &flow, r));
    }
    if (!started) {
        answer->first_ms = answer->last_ms;
    }
}

/* Whether there is room for the demand now that nothing before it has a claim
 * to: what had its chance to start did not fit. */
static bool
has_room_now(const struct wait_search *search,
             const struct backlog_entry *entry)
{
    const struct backlog_demand *demand = search->demand;

    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        uint64_t claimed = demand->kept_free[r] + demand->ahead.amount[r] +
                           search->backlog->lasting[r] +
                           (entry != NULL ? entry->fresh[r] : 0);

        if (demand->own.amount[r] > 0 &&
            demand->own.amount[r] + claimed > demand->free[r]) {
            return false;
        }
    }
    return true;
}

struct backlog_answer
backlog_wait(const struct backlog *backlog,
             const struct backlog_demand *demand)
{
    const struct backlog_entry *entry =
        find_entry_before(backlog, demand->key);
    struct wait_search search = {
        .backlog = backlog, .demand = demand, .ahead = demand->ahead};

    if (entry != NULL) {
        backlog_add_work(&search.ahead,
                         demand->is_tight ? &entry->tight : &entry->total);
        if (backlog->queries_blocked) {
            search.answer.query_ms =
                entry->query_ms / MAX(backlog->query_clients, 1);
        }
    }
    search.others = search.ahead;
    backlog_add_work(&search.others, &demand->inflow);
    if (has_room_now(&search, entry)) {
        return search.answer;
    }
    flow_resource(&search, BACKLOG_WHOLE);
    for (int r = 0; r < BACKLOG_WHOLE; r++) {
        if (demand->own.amount[r] > 0) {
            flow_resource(&search, r);
        }
    }
    return search.answer;
}
