/* pick.h -- which owner a gateway hands a request to
 *
 * A pure module at every host. Owners tell a few times a second how much of
 * each service is free with them; between two such hints a gateway counts
 * what it handed out itself. Two owners are drawn at random and the one with
 * the shorter expected wait is taken, so that gateways with equally old hints
 * do not all run to the same owner.
 */
#ifndef FP_PICK_H
#define FP_PICK_H

#include "core/msg.h"

#define PICKER_HINT_MAX_AGE_MS 1500u

struct picker;

struct picker *picker_new(const char *own_host, const char *own_data_centre);
void picker_free(struct picker *pick);

/* Takes a host's hint. data_centre is that of the host. */
void picker_update(struct picker *pick, const struct msg_hint *hint,
                   const char *data_centre, uint64_t now_ms);

/* A host is leaving or unreachable: no requests until its next hint. */
void picker_remove(struct picker *pick, const char *host);

/* Chooses an owner of a service; NULL when none is known. tried is a list of
 * count hosts to leave out; random a uniform number.
 */
const char *picker_choose(struct picker *pick, const char *service,
                          const char *const *tried, uint32_t count,
                          uint64_t random, uint64_t now_ms);

/* A request was handed to the owner, or came back from it. */
void picker_request_sent(struct picker *pick, const char *host,
                         const char *service);
void picker_request_ended(struct picker *pick, const char *host,
                          const char *service);

#endif /* FP_PICK_H */
