/* fleetoutage.c -- targets that do not answer, and what may run on them
 *
 * Workload: some targets are unreachable when a leader is lost. What a target
 * runs is not in the log, so that the next leader would have to hold back all
 * inherited work until their leases are over. The record of an outage names
 * the tasks that may run there: the others go on at once. See
 * docs/design/takeover.md.
 */
#include <string.h>

#include "core/fleetpriv.h"

static void
set_outage(struct fleet_target *target, bool is_out,
           const struct fp_list *tasks)
{
    g_free(target->held.items);
    memset(&target->held, 0, sizeof(target->held));
    target->is_out = is_out;
    if (is_out && tasks->count > 0) {
        target->held.items = g_memdup2(
            tasks->items, tasks->count * sizeof(struct fleet_task_id));
        target->held.count = tasks->count;
    }
}

void
fleet_end_outage(struct fleet_target *target)
{
    set_outage(target, false, NULL);
}

void
fleet_apply_outage(struct fleet *fleet, const struct fleet_outage *outage)
{
    struct fleet_target *target = fleet_find_target(fleet, outage->id);

    if (target != NULL && target->rec.born_ms == outage->born_ms) {
        set_outage(target, !outage->is_over, &outage->tasks);
    }
}

void
fleet_save_outages(const struct fleet *fleet, struct fleet_snapshot *snap)
{
    GHashTableIter iter;
    const struct fleet_target *target;

    g_hash_table_iter_init(&iter, fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        struct fleet_outage outage = {.born_ms = target->rec.born_ms,
                                      .tasks = target->held};
        struct fleet_snapshot_item *item;

        if (!target->is_out) {
            continue;
        }
        g_strlcpy(outage.id, target->rec.id, sizeof(outage.id));
        item = fp_list_add(&snap->outages, sizeof(*item));
        fp_encode(&FLEET_OUTAGE_SCHEMA, &outage, &item->record);
    }
}

enum fp_err
fleet_load_outages(struct fleet *fleet, const struct fleet_snapshot *snap)
{
    const struct fleet_snapshot_item *item = snap->outages.items;

    for (uint32_t i = 0; i < snap->outages.count; i++) {
        struct fleet_outage outage;
        enum fp_err err = fp_decode(&FLEET_OUTAGE_SCHEMA, item[i].record.data,
                                    item[i].record.size_bytes, &outage);

        if (err != FP_OK) {
            return err;
        }
        fleet_apply_outage(fleet, &outage);
        fp_record_free(&FLEET_OUTAGE_SCHEMA, &outage);
    }
    return FP_OK;
}
