/* dispatchevac.c -- orders to evacuate data centres */
#include <string.h>

#include "base/log.h"
#include "node/dispatchpriv.h"

#define HOSTS_PING_MS 3000u /* all hosts have called a new leader by then */

void
dispatch_note_data_centre(struct dispatch *dispatch, const char *data_centre)
{
    if (data_centre[0] != '\0' &&
        !g_hash_table_contains(dispatch->host_data_centres, data_centre)) {
        g_hash_table_add(dispatch->host_data_centres, g_strdup(data_centre));
    }
}

/* Whether a data centre exists: one of its targets announced itself at any
 * time, an order on it was accepted, or one of this system's hosts is there.
 */
static bool
is_data_centre(const struct dispatch *dispatch, const char *name)
{
    return fleet_knows_data_centre(dispatch->deps.fleet, name) ||
           strcmp(dispatch->deps.settings->fleet->data_centre, name) == 0 ||
           g_hash_table_contains(dispatch->host_data_centres, name);
}

/* A new leader does not know yet where the other hosts are. */
void
dispatch_on_evacuate(struct dispatch *dispatch,
                     const struct relay_caller *caller,
                     struct fleet_evacuation *order)
{
    bool is_new = clock_mono_ms() < dispatch->term_start_ms + HOSTS_PING_MS;

    if (!is_data_centre(dispatch, order->data_centre)) {
        log_notice(
            LOG_SCHED, "an evacuation of '%.63s': %s", order->data_centre,
            is_new ? "not a known data centre so far" : "no such data centre");
        dispatch_answer_err(dispatch, caller,
                            is_new ? FP_ERR_CONFIG_STALE : FP_ERR_NOT_FOUND);
        return;
    }
    /* Proposed even if it changes nothing now: an earlier order may not be
     * committed yet. */
    dispatch_propose(dispatch, caller, &FLEET_EVACUATION_SCHEMA, order);
}

void
dispatch_on_read_evacuations(struct dispatch *dispatch,
                             const struct relay_caller *caller)
{
    struct call_answer answer = {.err = FP_OK};
    GHashTableIter iter;
    const struct fleet_data_centre *data_centre;

    g_hash_table_iter_init(&iter, dispatch->deps.fleet->data_centres);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&data_centre)) {
        struct call_evacuation *row;

        if (!data_centre->evacuated) {
            continue;
        }
        row = fp_list_add(&answer.evacuations, sizeof(*row));
        g_strlcpy(row->data_centre, data_centre->name,
                  sizeof(row->data_centre));
        row->ordered_ms = data_centre->ordered_ms;
        plan_count_in_data_centre(dispatch->plan, row);
    }
    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
    g_free(answer.evacuations.items);
}

void
dispatch_evacuation_changed(struct dispatch *dispatch)
{
    plan_evacuation_changed(dispatch->plan);
}
