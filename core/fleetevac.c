/* fleetevac.c -- the data centres of a fleet and their evacuation */
#include <string.h>

#include "core/fleetpriv.h"

void
fleet_free_data_centre(void *item)
{
    struct fleet_data_centre *data_centre = item;

    g_queue_clear_full(&data_centre->orders, g_free);
    g_free(data_centre);
}

static struct fleet_data_centre *
ensure_data_centre(struct fleet *fleet, const char *name)
{
    struct fleet_data_centre *found =
        g_hash_table_lookup(fleet->data_centres, name);

    if (found == NULL) {
        found = g_new0(struct fleet_data_centre, 1);
        g_strlcpy(found->name, name, sizeof(found->name));
        g_queue_init(&found->orders);
        g_hash_table_insert(fleet->data_centres, found->name, found);
    }
    return found;
}

void
fleet_remember_data_centre(struct fleet *fleet, const char *name)
{
    if (name[0] != '\0' &&
        g_hash_table_size(fleet->data_centres) < FLEET_DATA_CENTRES_MAX) {
        ensure_data_centre(fleet, name);
    }
}

bool
fleet_is_evacuated(const struct fleet *fleet, const char *data_centre)
{
    const struct fleet_data_centre *found =
        g_hash_table_lookup(fleet->data_centres, data_centre);

    return found != NULL && found->evacuated;
}

bool
fleet_knows_data_centre(const struct fleet *fleet, const char *data_centre)
{
    return g_hash_table_contains(fleet->data_centres, data_centre);
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

/* Records an order. Returns false for a copy of an earlier one: a copy that
 * was held back must not undo what was ordered after it. */
static bool
record_order(struct fleet_data_centre *data_centre, const char *change_id)
{
    if (change_id[0] == '\0') {
        return true;
    }
    if (g_queue_find_custom(&data_centre->orders, change_id, compare_ids) !=
        NULL) {
        return false;
    }
    g_queue_push_tail(&data_centre->orders, g_strdup(change_id));
    if (data_centre->orders.length > FLEET_EVACUATION_ORDERS_MAX) {
        g_free(g_queue_pop_head(&data_centre->orders));
    }
    return true;
}

void
fleet_apply_evacuation(struct fleet *fleet,
                       const struct fleet_evacuation *order)
{
    struct fleet_data_centre *data_centre =
        ensure_data_centre(fleet, order->data_centre);

    if (!record_order(data_centre, order->head.change_id) ||
        data_centre->evacuated == !order->withdrawn) {
        return;
    }
    data_centre->evacuated = !order->withdrawn;
    data_centre->ordered_ms = fleet->now_ms;
    if (fleet->ops.evacuation_changed != NULL) {
        fleet->ops.evacuation_changed(fleet->ops.ctx, data_centre);
    }
}

void
fleet_save_data_centres(const struct fleet *fleet, struct fleet_snapshot *snap)
{
    GHashTableIter iter;
    const struct fleet_data_centre *data_centre;

    g_hash_table_iter_init(&iter, fleet->data_centres);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&data_centre)) {
        struct fleet_data_centre_saved *saved =
            fp_list_add(&snap->data_centres, sizeof(*saved));

        saved->evacuated = data_centre->evacuated;
        saved->ordered_ms = data_centre->ordered_ms;
        g_strlcpy(saved->name, data_centre->name, sizeof(saved->name));
        for (GList *link = data_centre->orders.head; link != NULL;
             link = link->next) {
            struct fleet_evacuation_order *order =
                fp_list_add(&saved->orders, sizeof(*order));

            g_strlcpy(order->change_id, link->data, sizeof(order->change_id));
        }
    }
}

void
fleet_load_data_centre(struct fleet *fleet,
                       const struct fleet_data_centre_saved *saved)
{
    struct fleet_data_centre *data_centre =
        ensure_data_centre(fleet, saved->name);
    const struct fleet_evacuation_order *order = saved->orders.items;

    data_centre->evacuated = saved->evacuated;
    data_centre->ordered_ms = saved->ordered_ms;
    for (uint32_t i = 0; i < saved->orders.count; i++) {
        record_order(data_centre, order[i].change_id);
    }
}
