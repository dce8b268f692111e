/* members.c -- rules for adding and removing members of the cell */
#include "core/members.h"

#include <stddef.h>
#include <string.h>

#define JOINING_HEARD_WITHIN_MS 1000u /* else a replica isn't added */
#define VOTER_HEARD_WITHIN_MS 1000u   /* else a voter isn't counted alive */
#define VOTER_REPLACE_AFTER_MS 2500u  /* silence before it may be replaced */
#define VOTER_REMOVE_AFTER_MS 3500u   /* silence before it is just removed */
#define MIN_VOTERS 3u

static const struct replica_status *
find_joining_replica(const struct replica_status *replicas, uint32_t count,
                     uint64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!replicas[i].member &&
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

/* Returns whether the cell tolerates the failure of more of the voters that
 * are alive once a silent voter is removed.
 */
static bool
removal_tolerates_more_failures(const struct replica_status *replicas,
                                uint32_t count, uint64_t now_ms)
{
    uint32_t voters = 0;
    uint32_t silent = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (replicas[i].voter) {
            voters++;
            silent += replicas[i].heard_ms + VOTER_HEARD_WITHIN_MS < now_ms;
        }
    }
    return voters > MIN_VOTERS &&
           (voters % 2 == 0 ? silent == 1
                            : silent == 2 && voters > MIN_VOTERS + 1);
}

struct membership_change
membership_next_change(const struct replica_status *replicas, uint32_t count,
                       uint64_t now_ms)
{
    struct membership_change change = {MEMBER_NONE, 0, NULL};
    const struct replica_status *joining =
        find_joining_replica(replicas, count, now_ms);
    const struct replica_status *silent;

    silent = find_silent_voter(replicas, count, now_ms);
    if (joining == NULL && silent != NULL &&
        silent->heard_ms + VOTER_REMOVE_AFTER_MS < now_ms &&
        removal_tolerates_more_failures(replicas, count, now_ms)) {
        change.action = MEMBER_REMOVE;
        change.id = silent->id;
        change.host = silent->host;
    }
    if (joining == NULL) {
        return change;
    }
    if (silent != NULL && !host_has_member(replicas, count, joining->host)) {
        change.action = MEMBER_REMOVE;
        change.id = silent->id;
        change.host = silent->host;
        return change;
    }
    change.action = MEMBER_ADD;
    change.id = joining->id;
    change.host = joining->host;
    return change;
}

bool
membership_may_found(const struct founding_view *view)
{
    return !view->data_seen && view->empty_seeds * 2 > view->seeds;
}
