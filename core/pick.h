/* pick.h -- chooses the owner host that a gateway sends a request to
 *
 * Runs at every host; does no I/O and reads no clock. Owners announce the free
 * capacity of each service in hints a few times a second; between two hints a
 * gateway counts the requests that it sent itself. It draws two owners at
 * random and takes the one with the shorter expected wait, because gateways
 * with equally old hints would otherwise all send to the same owner. Its own
 * host is taken instead when the expected wait there is not longer.
 */
#ifndef FP_PICK_H
#define FP_PICK_H

#include "core/msg.h"

/* An owner whose last hint is older than this is not chosen. */
#define PICKER_HINT_MAX_AGE_MS 1500u

struct picker;

struct picker *picker_new(const char *own_host, const char *own_data_centre);
void picker_free(struct picker *picker);

/* Replaces what is known of a host by its hint, which is copied. data_centre
 * is that of the host.
 */
void picker_update(struct picker *picker, const struct msg_hint *hint,
                   const char *data_centre, uint64_t now_ms);

/* Forgets a host that is leaving or unreachable; its next hint adds it again.
 */
void picker_remove(struct picker *picker, const char *host);

/* Chooses an owner of a service, leaving out the count hosts in tried. random
 * is a uniform 64-bit number; equal numbers give equal choices. Returns NULL
 * when no owner is known; the name is valid until the host is removed.
 */
const char *picker_choose(struct picker *picker, const char *service,
                          const char *const *tried, uint32_t count,
                          uint64_t random, uint64_t now_ms);

/* The same for a retry: the last refused_count hosts of tried have an instance
 * that did not accept the connection. They may have another, so one of them is
 * chosen if no other owner is left. */
const char *picker_choose_again(struct picker *picker, const char *service,
                                const char *const *tried, uint32_t count,
                                uint32_t refused_count, uint64_t random,
                                uint64_t now_ms);

/* Counts a request as sent to a host, or as ended there with any result. */
void picker_request_sent(struct picker *picker, const char *host,
                         const char *service);
void picker_request_ended(struct picker *picker, const char *host,
                          const char *service);

#endif /* FP_PICK_H */
