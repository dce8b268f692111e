/* histogram.h -- counts of values by size, in the usual text format
 */
#ifndef FP_HISTOGRAM_H
#define FP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BOUNDS 14u

/* Values, in the unit that the metric's name says. All zero when empty. */
struct histogram {
    uint64_t counts[HISTOGRAM_BOUNDS + 1]; /* the last: over all bounds */
    uint64_t sum;
};

void histogram_add(struct histogram *histogram, uint64_t value);

/* Appends the metric filbertpath_NAME: buckets, sum and count. labels, such as
 * "kind=\"submit\"", may be "". */
void histogram_text(const struct histogram *histogram, const char *name,
                    const char *labels, GString *out);

#endif /* FP_HISTOGRAM_H */
