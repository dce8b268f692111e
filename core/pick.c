/* pick.c -- which owner a gateway hands a request to */
#include "core/pick.h"

#include <glib.h>
#include <string.h>

#define OTHER_DATA_CENTRE_MS 2.0 /* a request crosses there and back */
#define OTHER_HOST_MS 0.3        /* one more process on the way */
#define OWNERS_MAX 64u

/* One service at one host, as last hinted. */
struct offer {
    struct msg_hint_queue hint;
    uint32_t handed; /* handed there since the hint */
};

struct owner {
    char host[MSG_HOST_BYTES];
    bool own;
    bool near; /* in this host's data centre */
    uint64_t heard_ms;
    GHashTable *offers; /* service to struct offer */
};

struct picker {
    char own_host[MSG_HOST_BYTES];
    char own_data_centre[64];
    GHashTable *owners; /* host to struct owner */
};

static void
free_owner(void *item)
{
    struct owner *owner = item;

    g_hash_table_destroy(owner->offers);
    g_free(owner);
}

struct picker *
picker_new(const char *own_host, const char *own_data_centre)
{
    struct picker *pick = g_new0(struct picker, 1);

    g_strlcpy(pick->own_host, own_host, sizeof(pick->own_host));
    g_strlcpy(pick->own_data_centre, own_data_centre,
              sizeof(pick->own_data_centre));
    pick->owners =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_owner);
    return pick;
}

void
picker_free(struct picker *pick)
{
    if (pick != NULL) {
        g_hash_table_destroy(pick->owners);
        g_free(pick);
    }
}

void
picker_update(struct picker *pick, const struct msg_hint *hint,
              const char *data_centre, uint64_t now_ms)
{
    struct owner *owner = g_hash_table_lookup(pick->owners, hint->host);
    const struct msg_hint_queue *queues = hint->queues.items;

    if (owner == NULL) {
        owner = g_new0(struct owner, 1);
        g_strlcpy(owner->host, hint->host, sizeof(owner->host));
        owner->own = strcmp(hint->host, pick->own_host) == 0;
        owner->near = strcmp(data_centre, pick->own_data_centre) == 0;
        owner->offers =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        g_hash_table_insert(pick->owners, owner->host, owner);
    }
    owner->heard_ms = now_ms;
    g_hash_table_remove_all(owner->offers);
    for (uint32_t i = 0; i < hint->queues.count; i++) {
        struct offer *offer = g_new0(struct offer, 1);

        offer->hint = queues[i];
        g_hash_table_replace(owner->offers, offer->hint.queue, offer);
    }
}

void
picker_remove(struct picker *pick, const char *host)
{
    g_hash_table_remove(pick->owners, host);
}

static struct offer *
find_offer(const struct picker *pick, const char *host, const char *service)
{
    const struct owner *owner = g_hash_table_lookup(pick->owners, host);

    return owner == NULL ? NULL : g_hash_table_lookup(owner->offers, service);
}

/* Expected time until a request handed there now would get its slot. */
static double
expected_ms(const struct owner *owner, const struct offer *offer)
{
    double ahead = (double)offer->hint.waiting + offer->handed -
                   (double)offer->hint.free_slots + 1;
    double wait = 0;

    if (ahead > 0) {
        wait = ahead * offer->hint.service_ms /
               (8.0 * MAX(offer->hint.instances, 1));
    }
    if (!owner->near) {
        wait += OTHER_DATA_CENTRE_MS;
    }
    return owner->own ? wait : wait + OTHER_HOST_MS;
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
by_host(gconstpointer a, gconstpointer b)
{
    return strcmp((*(const struct owner *const *)a)->host,
                  (*(const struct owner *const *)b)->host);
}

/* In order of names, so that equal random numbers give equal choices. */
static GPtrArray *
candidates(const struct picker *pick, const char *service,
           const char *const *tried, uint32_t count, uint64_t now_ms)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    struct owner *owner;

    g_hash_table_iter_init(&iter, pick->owners);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner)) {
        const struct offer *offer =
            g_hash_table_lookup(owner->offers, service);

        if (offer != NULL && offer->hint.instances > 0 &&
            now_ms <= owner->heard_ms + PICKER_HINT_MAX_AGE_MS &&
            !was_tried(owner->host, tried, count)) {
            g_ptr_array_add(list, owner);
        }
    }
    g_ptr_array_sort(list, by_host);
    return list;
}

static double
expected_of(const struct owner *owner, const char *service)
{
    return expected_ms(owner, g_hash_table_lookup(owner->offers, service));
}

const char *
picker_choose(struct picker *pick, const char *service,
              const char *const *tried, uint32_t count, uint64_t random,
              uint64_t now_ms)
{
    GPtrArray *list = candidates(pick, service, tried, count, now_ms);
    const struct owner *first = NULL;
    const struct owner *second;

    if (list->len > 0) {
        uint32_t one = (uint32_t)(random % list->len);
        uint32_t two = (uint32_t)((random >> 32) % list->len);

        first = list->pdata[one];
        second = list->pdata[two];
        if (expected_of(second, service) < expected_of(first, service)) {
            first = second;
        }
        /* The own host saves a hop while it has a slot to give. */
        for (guint i = 0; i < list->len; i++) {
            const struct owner *owner = list->pdata[i];

            if (owner->own &&
                expected_of(owner, service) <= expected_of(first, service)) {
                first = owner;
            }
        }
    }
    g_ptr_array_free(list, TRUE);
    return first == NULL ? NULL : first->host;
}

void
picker_request_sent(struct picker *pick, const char *host, const char *service)
{
    struct offer *offer = find_offer(pick, host, service);

    if (offer != NULL) {
        offer->handed++;
    }
}

void
picker_request_ended(struct picker *pick, const char *host,
                     const char *service)
{
    struct offer *offer = find_offer(pick, host, service);

    if (offer != NULL && offer->handed > 0) {
        offer->handed--;
    }
}
