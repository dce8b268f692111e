/* members.h -- rules for adding and removing members of the cell
 *
 * Each host is to have one member. A replica with a new identity joins: on a
 * host that has a member already (whose data folder was emptied) it replaces
 * that member, otherwise it replaces a silent voter, if there is one. Without
 * a replica to add, a voter is removed only where the cell then tolerates more
 * failures: one of an even number that is silent or says that it is being
 * stopped, or two of five or more. Otherwise it stays, as it may come back.
 *
 * Load pattern: hosts are replaced, the new one first, and another one is lost
 * as soon as the old one has gone. While that one is still a voter, the loss
 * leaves two of four. One that is stopped leaves before it ends. One that is
 * killed cannot: until its silence is noticed it cannot be told from one that
 * is cut off with another.
 *
 * A cell is founded by the first of its seeds, once more than half of them say
 * that they hold nothing. Load pattern: the first seed loses its disk while
 * all other hosts lose power. A seed that founds a cell then takes the others
 * into it as they come back, and what they hold is gone.
 */
#ifndef FP_MEMBERS_H
#define FP_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

/* What the leader knows of one replica, itself included. */
struct replica_status {
    uint64_t id;
    const char *host;
    bool member; /* in the member list, voter or not */
    bool voter;
    uint64_t heard_ms; /* last message from it; the leader itself: now */
    bool leaving;      /* its host says that it is being stopped */
};

/* What a host that may found a cell knows of the seeds, itself included. */
struct founding_view {
    uint32_t seeds;
    uint32_t empty_seeds; /* that have said lately that they hold nothing */
    bool data_seen;       /* some host has said that it holds data */
};

enum membership_action { MEMBER_NONE, MEMBER_ADD, MEMBER_REMOVE };

struct membership_change {
    enum membership_action action;
    uint64_t id;
    const char *host; /* owned by the replica_status */
};

/* Returns the next change to make, or MEMBER_NONE. Call it again for the
 * change after that.
 */
struct membership_change
membership_next_change(const struct replica_status *replicas, uint32_t count,
                       uint64_t now_ms);

bool membership_may_found(const struct founding_view *view);

#endif /* FP_MEMBERS_H */
