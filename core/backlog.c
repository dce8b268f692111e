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
    }
}

void
backlog_add_entry(struct backlog *backlog, const uint64_t key[3],
                  const struct backlog_work *work, uint64_t query_ms)
{
    struct backlog_entry entry = {.query_ms = 0};

    if (backlog->entries->len > 0) {
        entry = g_array_index(backlog->entries, struct backlog_entry,
                              backlog->entries->len - 1);
    }
    memcpy(entry.key, key, sizeof(entry.key));
    backlog_add_work(&entry.total, work);
    entry.query_ms += query_ms;
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
    int64_t queue; /* amount that goes before the demand and waits */
    int64_t own;   /* amount of the demand that waits */
    uint64_t run_slots;
    uint64_t own_run_slots;
    int64_t back[BACKLOG_SLOTS]; /* released by what starts in the model */
};

static void
start_in_slot(struct flow *flow, uint32_t slot, int64_t *waiting,
              uint64_t run_slots)
{
    int64_t started = MIN(MAX(flow->free, 0), *waiting);

    *waiting -= started;
    flow->free -= started;
    if (slot + run_slots < BACKLOG_SLOTS) {
        flow->back[slot + run_slots] += started;
    }
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

static void
wait_for_resource(const struct backlog *backlog,
                  const struct backlog_demand *demand,
                  const struct backlog_work *ahead, int r,
                  struct backlog_answer *answer)
{
    const uint64_t wanted = demand->own.amount[r];
    struct backlog_work others = *ahead;
    struct flow flow = {
        .free = (int64_t)demand->free[r] -
                (int64_t)(demand->kept_free[r] + backlog->lasting[r]),
        .queue = (int64_t)ahead->amount[r],
        .own = (int64_t)wanted,
        .own_run_slots = mean_run_slots(backlog, &demand->own, r)};
    uint64_t inflow = 0; /* in parts of 1 / BACKLOG_INFLOW_MS */
    bool started = false;

    backlog_add_work(&others, &demand->inflow);
    flow.run_slots = mean_run_slots(backlog, &others, r);
    for (uint32_t slot = 0; slot < BACKLOG_SLOTS; slot++) {
        flow.free += (int64_t)backlog->released[r][slot] + flow.back[slot];
        inflow += demand->inflow.amount[r] * backlog->slot_ms;
        flow.queue +=
            (int64_t)(backlog->follows[r][slot] + inflow / BACKLOG_INFLOW_MS);
        inflow %= BACKLOG_INFLOW_MS;
        start_in_slot(&flow, slot, &flow.queue, flow.run_slots);
        start_in_slot(&flow, slot, &flow.own, flow.own_run_slots);
        if (!started && flow.own < (int64_t)wanted) {
            started = true;
            answer->first_ms =
                MAX(answer->first_ms, (uint64_t)slot * backlog->slot_ms);
        }
        if (flow.own == 0) {
            answer->last_ms =
                MAX(answer->last_ms, (uint64_t)slot * backlog->slot_ms);
            return;
        }
    }
    answer->last_ms = MAX(answer->last_ms, extrapolate_ms(backlog, &flow, r));
    if (!started) {
        answer->first_ms = answer->last_ms;
    }
}

struct backlog_answer
backlog_wait(const struct backlog *backlog,
             const struct backlog_demand *demand)
{
    const struct backlog_entry *entry =
        find_entry_before(backlog, demand->key);
    struct backlog_work ahead = demand->ahead;
    struct backlog_answer answer = {0, 0, 0};

    if (entry != NULL) {
        backlog_add_work(&ahead, &entry->total);
        if (backlog->queries_blocked) {
            answer.query_ms = entry->query_ms / MAX(backlog->query_clients, 1);
        }
    }
    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        if (demand->own.amount[r] > 0) {
            wait_for_resource(backlog, demand, &ahead, r, &answer);
        }
    }
    return answer;
}
