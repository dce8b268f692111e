/* members.c -- rules for adding and removing members of the cell */
#include "core/members.h"

#include <stddef.h>
#include <string.h>

#define JOINING_HEARD_WITHIN_MS 1000u /* else a replica isn't added */
#define VOTER_HEARD_WITHIN_MS 1000u   /* else a voter isn't counted alive */
#define VOTER_REPLACE_AFTER_MS 2500u  /* silence before it may be replaced */
/* Silence before a voter is removed without a replica in its place. It joins
 * again when it is heard, and meanwhile the cell tolerates more. */
#define VOTER_GONE_AFTER_MS 700u
#define MIN_VOTERS 3u

/* A replica whose host has a member that was heard later is the former one of
 * a host that lost its disk: it does not join.
 */
static bool
is_former_replica(const struct replica_status *replicas, uint32_t count,
                  const struct replica_status *replica)
{
    for (uint32_t i = 0; i < count; i++) {
        if (replicas[i].member &&
            strcmp(replicas[i].host, replica->host) == 0 &&
            replicas[i].heard_ms > replica->heard_ms) {
            return true;
        }
    }
    return false;
}

static const struct replica_status *
find_joining_replica(const struct replica_status *replicas, uint32_t count,
                     uint64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!replicas[i].member && !replicas[i].leaving &&
            !is_former_replica(replicas, count, &replicas[i]) &&
            replicas[i].heard_ms + JOINING_HEARD_WITHIN_MS >= now_ms) {
            return &replicas[i];
        }
    }
    return NULL;
}

static bool
host_has_member(const struct replica_status *replicas, uint32_t count,
                const char *host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (replicas[i].member && strcmp(replicas[i].host, host) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the voter that has been silent longest, or NULL if none has been for
 * VOTER_REPLACE_AFTER_MS or the others would have no majority alive.
 */
static const struct replica_status *
find_silent_voter(const struct replica_status *replicas, uint32_t count,
                  uint64_t now_ms)
{
    const struct replica_status *silent = NULL;
    uint32_t voters = 0;
    uint32_t alive = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (!replicas[i].voter) {
            continue;
        }
        voters++;
        alive += replicas[i].heard_ms + VOTER_HEARD_WITHIN_MS >= now_ms;
        if (replicas[i].heard_ms + VOTER_REPLACE_AFTER_MS < now_ms &&
            (silent == NULL || replicas[i].heard_ms < silent->heard_ms)) {
            silent = &replicas[i];
        }
    }
    return voters > 1 && alive > (voters - 1) / 2 ? silent : NULL;
}

static bool
is_silent(const struct replica_status *replica, uint64_t now_ms)
{
    return replica->heard_ms + VOTER_GONE_AFTER_MS < now_ms;
}

/* Returns a voter that is gone or about to go, if the others tolerate more
 * losses without those that are; NULL: none. One that is silent comes before
 * one that can still vote.
 */
static const struct replica_status *
find_surplus_voter(const struct replica_status *replicas, uint32_t count,
                   uint64_t now_ms)
{
    const struct replica_status *surplus = NULL;
    uint32_t voters = 0;
    uint32_t staying = 0;
    uint32_t heard = 0;

    for (uint32_t i = 0; i < count; i++) {
        const bool silent = is_silent(&replicas[i], now_ms);

        if (!replicas[i].voter) {
            continue;
        }
        voters++;
        heard += !silent;
        if (!silent && !replicas[i].leaving) {
            staying++;
        }
        else if (surplus == NULL || replicas[i].heard_ms < surplus->heard_ms) {
            surplus = &replicas[i];
        }
    }
    if (staying < MIN_VOTERS || staying / 2 >= voters / 2) {
        return NULL;
    }
    heard -= !is_silent(surplus, now_ms);
    return heard > (voters - 1) / 2 ? surplus : NULL;
}

struct membership_change
membership_next_change(const struct replica_status *replicas, uint32_t count,
                       uint64_t now_ms)
{
    struct membership_change change = {MEMBER_NONE, 0, NULL};
    const struct replica_status *joining =
        find_joining_replica(replicas, count, now_ms);
    const struct replica_status *to_remove =
        find_surplus_voter(replicas, count, now_ms);

    if (to_remove == NULL && joining != NULL &&
        !host_has_member(replicas, count, joining->host)) {
        to_remove = find_silent_voter(replicas, count, now_ms);
    }
    /* Adding a replica removes another one on its host first. */
    if (to_remove != NULL &&
        (joining == NULL || strcmp(joining->host, to_remove->host) != 0)) {
        change.action = MEMBER_REMOVE;
        change.id = to_remove->id;
        change.host = to_remove->host;
    }
    else if (joining != NULL) {
        change.action = MEMBER_ADD;
        change.id = joining->id;
        change.host = joining->host;
    }
    return change;
}

bool
membership_may_found(const struct founding_view *view)
{
    return !view->data_seen && view->empty_seeds * 2 > view->seeds;
}
