/* pick.c -- chooses the owner host that a gateway sends a request to */
#include "core/pick.h"

#include <glib.h>
#include <string.h>

#define CROSS_DATA_CENTRE_MS 2.0 /* round trip to another data centre */
#define EXTRA_HOP_MS 0.3         /* relay through another host's process */
#define OWNERS_MAX 64u

/* Capacity of one service at one host, from the last hint. */
struct service_capacity {
    struct msg_hint_queue hint;
    /* Requests sent there since the hint less those ended since. */
    uint32_t sent_since_hint;
};

struct owner_host {
    char host[MSG_HOST_BYTES];
    bool is_own_host;
    bool in_own_data_centre;
    uint64_t hint_received_ms;
    GHashTable *services; /* name to struct service_capacity */
};

struct picker {
    char own_host[MSG_HOST_BYTES];
    char own_data_centre[64];
    GHashTable *owners; /* host to struct owner_host */
};

static void
free_owner(void *item)
{
    struct owner_host *owner = item;

    g_hash_table_destroy(owner->services);
    g_free(owner);
}

struct picker *
picker_new(const char *own_host, const char *own_data_centre)
{
    struct picker *picker = g_new0(struct picker, 1);

    g_strlcpy(picker->own_host, own_host, sizeof(picker->own_host));
    g_strlcpy(picker->own_data_centre, own_data_centre,
              sizeof(picker->own_data_centre));
    picker->owners =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_owner);
    return picker;
}

void
picker_free(struct picker *picker)
{
    if (picker != NULL) {
        g_hash_table_destroy(picker->owners);
        g_free(picker);
    }
}

void
picker_update(struct picker *picker, const struct msg_hint *hint,
              const char *data_centre, uint64_t now_ms)
{
    struct owner_host *owner = g_hash_table_lookup(picker->owners, hint->host);
    const struct msg_hint_queue *queues = hint->queues.items;

    if (owner == NULL) {
        owner = g_new0(struct owner_host, 1);
        g_strlcpy(owner->host, hint->host, sizeof(owner->host));
        owner->is_own_host = strcmp(hint->host, picker->own_host) == 0;
        owner->in_own_data_centre =
            strcmp(data_centre, picker->own_data_centre) == 0;
        owner->services =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        g_hash_table_insert(picker->owners, owner->host, owner);
    }
    owner->hint_received_ms = now_ms;
    g_hash_table_remove_all(owner->services);
    for (uint32_t i = 0; i < hint->queues.count; i++) {
        struct service_capacity *capacity = g_new0(struct service_capacity, 1);

        capacity->hint = queues[i];
        g_hash_table_replace(owner->services, capacity->hint.queue, capacity);
    }
}

void
picker_remove(struct picker *picker, const char *host)
{
    g_hash_table_remove(picker->owners, host);
}

static struct service_capacity *
find_capacity(const struct picker *picker, const char *host,
              const char *service)
{
    const struct owner_host *owner = g_hash_table_lookup(picker->owners, host);

    return owner == NULL ? NULL
                         : g_hash_table_lookup(owner->services, service);
}

/* Expected time until a request sent to the owner now gets a slot. Hints do
 * not give the number of slots: 8 per instance, the default, is assumed.
 */
static double
expected_delay_ms(const struct owner_host *owner,
                  const struct service_capacity *capacity)
{
    double backlog = (double)capacity->hint.waiting +
                     capacity->sent_since_hint -
                     (double)capacity->hint.free_slots + 1;
    double delay_ms = 0;

    if (backlog > 0) {
        delay_ms = backlog * capacity->hint.service_ms /
                   (8.0 * MAX(capacity->hint.instances, 1));
    }
    if (!owner->in_own_data_centre) {
        delay_ms += CROSS_DATA_CENTRE_MS;
    }
    return owner->is_own_host ? delay_ms : delay_ms + EXTRA_HOP_MS;
}

static bool
was_tried(const char *host, const char *const *tried, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(tried[i], host) == 0) {
            return true;
        }
    }
    return false;
}

static gint
compare_hosts(gconstpointer a, gconstpointer b)
{
    return strcmp((*(const struct owner_host *const *)a)->host,
                  (*(const struct owner_host *const *)b)->host);
}

/* Sorted by name, so that equal random numbers give equal choices. */
static GPtrArray *
eligible_owners(const struct picker *picker, const char *service,
                const char *const *tried, uint32_t count, uint64_t now_ms)
{
    GPtrArray *owners = g_ptr_array_new();
    GHashTableIter iter;
    struct owner_host *owner;

    g_hash_table_iter_init(&iter, picker->owners);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner)) {
        const struct service_capacity *capacity =
            g_hash_table_lookup(owner->services, service);

        if (capacity != NULL && capacity->hint.instances > 0 &&
            now_ms <= owner->hint_received_ms + PICKER_HINT_MAX_AGE_MS &&
            !was_tried(owner->host, tried, count)) {
            g_ptr_array_add(owners, owner);
        }
    }
    g_ptr_array_sort(owners, compare_hosts);
    return owners;
}

static double
owner_delay_ms(const struct owner_host *owner, const char *service)
{
    return expected_delay_ms(owner,
                             g_hash_table_lookup(owner->services, service));
}

const char *
picker_choose(struct picker *picker, const char *service,
              const char *const *tried, uint32_t count, uint64_t random,
              uint64_t now_ms)
{
    GPtrArray *owners = eligible_owners(picker, service, tried, count, now_ms);
    const struct owner_host *best = NULL;
    const struct owner_host *other;

    if (owners->len > 0) {
        uint32_t first = (uint32_t)(random % owners->len);
        uint32_t second = (uint32_t)((random >> 32) % owners->len);

        best = owners->pdata[first];
        other = owners->pdata[second];
        if (owner_delay_ms(other, service) < owner_delay_ms(best, service)) {
            best = other;
        }
        /* This host saves a hop, so it is preferred at an equal delay. */
        for (guint i = 0; i < owners->len; i++) {
            const struct owner_host *owner = owners->pdata[i];

            if (owner->is_own_host && owner_delay_ms(owner, service) <=
                                          owner_delay_ms(best, service)) {
                best = owner;
            }
        }
    }
    g_ptr_array_free(owners, TRUE);
    return best == NULL ? NULL : best->host;
}

const char *
picker_choose_again(struct picker *picker, const char *service,
                    const char *const *tried, uint32_t count,
                    uint32_t refused_count, uint64_t random, uint64_t now_ms)
{
    const char *host =
        picker_choose(picker, service, tried, count, random, now_ms);

    return host != NULL || refused_count == 0
               ? host
               : picker_choose(picker, service, tried, count - refused_count,
                               random, now_ms);
}

void
picker_request_sent(struct picker *picker, const char *host,
                    const char *service)
{
    struct service_capacity *capacity = find_capacity(picker, host, service);

    if (capacity != NULL) {
        capacity->sent_since_hint++;
    }
}

void
picker_request_ended(struct picker *picker, const char *host,
                     const char *service)
{
    struct service_capacity *capacity = find_capacity(picker, host, service);

    if (capacity != NULL && capacity->sent_since_hint > 0) {
        capacity->sent_since_hint--;
    }
}
