/* memberwatch.h -- the leader's care for the members of its cell
 *
 * Collects what is known of each replica (when it was heard, whether its host
 * is being stopped) and makes the changes that core/members.c decides on, one
 * at a time. Every host collects, since any of them may lead next.
 */
#ifndef FP_MEMBERWATCH_H
#define FP_MEMBERWATCH_H

#include "node/replica.h"

struct member_watch;

/* Creates a watch over the members of a replica's cell. host is the name of
 * this host. Both must outlive it. */
struct member_watch *member_watch_new(struct replica *replica,
                                      const char *host);
void member_watch_free(struct member_watch *watch);

/* A replica has announced itself. */
void member_watch_on_hello(struct member_watch *watch,
                           const struct msg_hello *msg, uint64_t now_ms);

/* Makes the next change, if this host leads and one is due. */
void member_watch_tick(struct member_watch *watch, uint64_t now_ms);

#endif /* FP_MEMBERWATCH_H */
