/* crashes.c -- the crashes of targets that a task may have caused */
#include "core/crashes.h"

#include <glib.h>

const char *const CRASH_EVIDENCE_NAMES[CRASH_EVIDENCE_COUNT] = {
    "present", "open", "unsure", "shared", "alone", "withdrawn", "cleared"};

static void
clear_entries(struct crashes *crashes, uint32_t run)
{
    crashes->count = 0;
    crashes->ran_ms = 0;
    crashes->cleared_run = run;
}

/* Returns the index of the entry of a run; crashes->count: none. */
static uint32_t
find_entry(const struct crashes *crashes, uint32_t run)
{
    uint32_t index = 0;

    while (index < crashes->count && crashes->entries[index].run != run) {
        index++;
    }
    return index;
}

/* Replaces an open or unsure entry by what is now known of it, or removes it.
 */
static bool
settle_entry(struct crashes *crashes, uint32_t index,
             enum crash_evidence evidence)
{
    const enum crash_evidence old = crashes->entries[index].evidence;

    if ((old != CRASH_OPEN && old != CRASH_UNSURE) || evidence == CRASH_OPEN ||
        evidence == old) {
        return false;
    }
    crashes->entries[index].evidence = evidence;
    if (evidence == CRASH_WITHDRAWN) {
        crashes->entries[index] = crashes->entries[--crashes->count];
    }
    return true;
}

bool
crashes_add(struct crashes *crashes, uint32_t run,
            enum crash_evidence evidence, uint32_t ran_ms)
{
    uint32_t index;

    if (run <= crashes->cleared_run) {
        return false;
    }
    if (evidence == CRASH_CLEARED) {
        clear_entries(crashes, run);
        return true;
    }
    index = find_entry(crashes, run);
    if (index < crashes->count) {
        crashes->ran_ms = MAX(crashes->ran_ms, ran_ms);
        return settle_entry(crashes, index, evidence);
    }
    if (crashes->count >= CRASHES_MAX || evidence == CRASH_WITHDRAWN ||
        (evidence == CRASH_PRESENT &&
         crashes_count(crashes, CRASH_PRESENT) >= CRASHES_PRESENT_MAX)) {
        return false;
    }
    crashes->entries[crashes->count++] = (struct crash_entry){run, evidence};
    crashes->ran_ms = MAX(crashes->ran_ms, ran_ms);
    return true;
}

uint32_t
crashes_count(const struct crashes *crashes, enum crash_evidence evidence)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < crashes->count; i++) {
        count += crashes->entries[i].evidence == evidence;
    }
    return count;
}

uint32_t
crashes_at_start(const struct crashes *crashes)
{
    return crashes->count - crashes_count(crashes, CRASH_PRESENT);
}

enum crash_verdict
crashes_verdict(const struct crashes *crashes)
{
    uint32_t alone;
    uint32_t at_start;
    uint32_t started; /* of them, those that the target had started */
    uint32_t confirmed;

    if (crashes == NULL || crashes->count == 0) {
        return CRASH_NOT_SUSPECTED;
    }
    alone = crashes_count(crashes, CRASH_ALONE);
    at_start = crashes_at_start(crashes);
    started = at_start - crashes_count(crashes, CRASH_UNSURE);
    confirmed = started - crashes_count(crashes, CRASH_OPEN);
    if (alone > 0 &&
        (confirmed >= CRASHES_PROVEN_MIN || started >= CRASHES_OPEN_MAX)) {
        return CRASH_PROVEN;
    }
    if (confirmed >= CRASHES_PROVEN_MIN &&
        crashes->count >= CRASHES_SHARED_MAX) {
        return CRASH_PROVEN;
    }
    return at_start > 0 || crashes->count >= CRASHES_PRESENT_MAX
               ? CRASH_SUSPECTED
               : CRASH_NOT_SUSPECTED;
}
