/* members.h -- which replica joins or leaves the cell next
 *
 * Members follow the hosts: an empty data folder joins in place of the one
 * that its host had, a new host joins, and a voter that has been silent makes
 * room for it. Without a newcomer a silent voter is removed only where the
 * rest then bears more losses: from an even number, or one of two out of five.
 * Otherwise it stays, since it may come back.
 */
#ifndef FP_MEMBERS_H
#define FP_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

/* One replica that the leader knows. */
struct member_view {
    uint64_t id;
    const char *host;
    bool member; /* in the list of members, voter or not */
    bool voter;
    uint64_t heard_ms; /* now for the leader itself */
};

enum member_action { MEMBER_NONE, MEMBER_ADD, MEMBER_REMOVE };

struct member_step {
    enum member_action action;
    uint64_t id;
    const char *host; /* borrowed from the view */
};

/* The next change, one at a time. */
struct member_step members_next(const struct member_view *views,
                                uint32_t count, uint64_t now_ms);

#endif /* FP_MEMBERS_H */
