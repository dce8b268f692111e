/* memberwatch.c -- the leader's care for the members of its cell */
#include "node/memberwatch.h"

#include <glib.h>

#include "base/event.h"
#include "base/log.h"
#include "core/members.h"

#define REPLICAS_MAX 64u
/* How long a replica counts as leaving after it has said so. Longer than it
 * counts as heard, so that it is not added again as it ends. */
#define LEAVING_HEARD_MS 2000u

struct member_watch {
    struct replica *replica;
    const char *host;
    GHashTable *leaving; /* identity to when it last said so */
};

struct member_watch *
member_watch_new(struct replica *replica, const char *host)
{
    struct member_watch *watch = g_new0(struct member_watch, 1);

    watch->replica = replica;
    watch->host = host;
    watch->leaving =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return watch;
}

void
member_watch_free(struct member_watch *watch)
{
    if (watch != NULL) {
        g_hash_table_destroy(watch->leaving);
        g_free(watch);
    }
}

void
member_watch_on_hello(struct member_watch *watch, const struct msg_hello *msg,
                      uint64_t now_ms)
{
    if (!msg->leaves) {
        g_hash_table_remove(watch->leaving, &msg->from_id);
        return;
    }
    if (!g_hash_table_contains(watch->leaving, &msg->from_id)) {
        EVENT(EVENT_MEMBER_LEAVING, EVENT_STR("host", msg->host),
              EVENT_INT("replica", msg->from_id));
    }
    g_hash_table_replace(watch->leaving,
                         g_memdup2(&msg->from_id, sizeof(msg->from_id)),
                         g_memdup2(&now_ms, sizeof(now_ms)));
}

static bool
is_leaving(const struct member_watch *watch, uint64_t id, uint64_t now_ms)
{
    const uint64_t *said_ms = g_hash_table_lookup(watch->leaving, &id);

    return said_ms != NULL && now_ms < *said_ms + LEAVING_HEARD_MS;
}

/* What the leader knows of the replicas, its own included. */
struct status_list {
    struct replica_status replicas[REPLICAS_MAX];
    uint32_t count;
    const struct member_watch *watch;
    const struct raft *raft;
    uint64_t now_ms;
};

static void
add_follower_status(void *ctx, uint64_t id, const char *host, uint64_t match,
                    uint64_t applied, uint64_t heard_ms)
{
    struct status_list *list = ctx;
    const struct fp_list *members = &raft_members(list->raft)->list;
    const struct raft_member *member = members->items;
    struct replica_status *status;

    (void)match;
    (void)applied;
    if (list->count == REPLICAS_MAX) {
        return;
    }
    status = &list->replicas[list->count++];
    status->id = id;
    status->host = host;
    status->heard_ms = heard_ms;
    status->leaving = is_leaving(list->watch, id, list->now_ms);
    for (uint32_t i = 0; i < members->count; i++) {
        if (member[i].id == id) {
            status->member = true;
            status->voter = member[i].role == RAFT_VOTER;
        }
    }
}

void
member_watch_tick(struct member_watch *watch, uint64_t now_ms)
{
    struct status_list list = {.watch = watch, .now_ms = now_ms};
    struct membership_change change;
    char why[200] = "";
    enum fp_err err = FP_OK;

    if (!replica_is_leader(watch->replica)) {
        return;
    }
    list.raft = replica_raft(watch->replica);
    list.replicas[list.count++] =
        (struct replica_status){.id = raft_id(list.raft),
                                .host = watch->host,
                                .member = true,
                                .voter = true,
                                .heard_ms = now_ms};
    raft_for_each_follower(list.raft, add_follower_status, &list);
    change = membership_next_change(list.replicas, list.count, now_ms);
    if (change.action == MEMBER_ADD) {
        err =
            replica_member_add(watch->replica, change.host, why, sizeof(why));
    }
    else if (change.action == MEMBER_REMOVE) {
        err = replica_member_remove(watch->replica, change.host);
    }
    if (change.action != MEMBER_NONE && err == FP_OK) {
        EVENT(change.action == MEMBER_ADD ? EVENT_MEMBER_ADDED
                                          : EVENT_MEMBER_REMOVED,
              EVENT_STR("host", change.host), EVENT_INT("replica", change.id));
    }
}
