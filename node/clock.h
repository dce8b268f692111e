/* clock.h -- the monotonic and the wall clock, and periodic timers */
#ifndef FP_CLOCK_H
#define FP_CLOCK_H

#include <stdint.h>
#include <uv.h>

/* Returns milliseconds of a monotonic clock that keeps counting while the
 * machine is suspended.
 */
uint64_t clock_mono_ms(void);

/* Returns microseconds of the same clock as clock_mono_ms(). */
uint64_t clock_mono_us(void);

/* Returns milliseconds since 1970-01-01 00:00 UTC; steps with the system's
 * clock.
 */
uint64_t clock_wall_ms(void);

/* A timer callback; now_ms is clock_mono_ms(). */
typedef void (*timer_fn)(void *ctx, uint64_t now_ms);

struct timers;

/* Creates an empty set of timers on a loop. Release it by timers_free(). */
struct timers *timers_new(uv_loop_t *loop);

/* Calls fn every period_ms, first after period_ms, until timers_free(). A busy
 * loop delays calls, and doesn't make up for those it missed.
 */
void timers_subscribe(struct timers *timers, uint64_t period_ms, timer_fn fn,
                      void *ctx);

/* Stops all timers. Their memory is released once the loop has run their close
 * callbacks.
 */
void timers_free(struct timers *timers);

#endif /* FP_CLOCK_H */
