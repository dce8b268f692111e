/* clock.h -- the two clocks, and the timer service
 *
 * Parts subscribe to the timer service; they hold no timers of their own.
 */
#ifndef FP_CLOCK_H
#define FP_CLOCK_H

#include <stdint.h>
#include <uv.h>

/* Milliseconds of a monotonic clock that counts suspension. */
uint64_t clock_mono_ms(void);

/* Microseconds of the same clock. */
uint64_t clock_mono_us(void);

/* Milliseconds since 1970. */
uint64_t clock_wall_ms(void);

/* Called with clock_mono_ms(). */
typedef void (*timer_fn)(void *ctx, uint64_t now_ms);

struct timers;

/* Creates the service on a loop. */
struct timers *timers_new(uv_loop_t *loop);

/* Calls fn about every period_ms until the service is freed. */
void timers_subscribe(struct timers *timers, uint64_t period_ms, timer_fn fn,
                      void *ctx);

/* Stops all timers; memory goes when the loop has closed them. */
void timers_free(struct timers *timers);

#endif /* FP_CLOCK_H */
