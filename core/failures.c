/* failures.c -- the failed runs of a task, each counted once */
#include "core/failures.h"

#include <glib.h>
#include <string.h>

bool
failures_add(struct failures *failures, uint32_t run_number)
{
    if (failures->count >= FAILURES_MAX ||
        run_number <= failures->counted_up_to) {
        return false;
    }
    for (uint32_t i = 0; i < failures->run_count; i++) {
        if (failures->runs[i] == run_number) {
            return false;
        }
    }
    failures->runs =
        g_renew(uint32_t, failures->runs, failures->run_count + 1);
    failures->runs[failures->run_count++] = run_number;
    failures->count++;
    return true;
}

uint32_t
failures_highest_run(const struct failures *failures)
{
    uint32_t highest = failures->counted_up_to;

    for (uint32_t i = 0; i < failures->run_count; i++) {
        highest = MAX(highest, failures->runs[i]);
    }
    return highest;
}

void
failures_copy(struct failures *to, const struct failures *from)
{
    *to = *from;
    to->runs = g_memdup2(from->runs, from->run_count * sizeof(*from->runs));
}

void
failures_clear(struct failures *failures)
{
    g_free(failures->runs);
    memset(failures, 0, sizeof(*failures));
}
