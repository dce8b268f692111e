/* histogram.h -- histograms in the Prometheus text format */
#ifndef FP_HISTOGRAM_H
#define FP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BOUND_COUNT 14u

/* A histogram with fixed bounds, from 1 to 20000 in steps of 1, 2 and 5. The
 * metric's name gives the unit. A zeroed struct is an empty histogram. */
struct histogram {
    /* Values per bucket, not cumulative; the last is above all bounds. */
    uint64_t counts[HISTOGRAM_BOUND_COUNT + 1];
    uint64_t sum;
};

void histogram_add(struct histogram *histogram, uint64_t value);

/* Appends the metric filbertpath_NAME to out: buckets, sum and count. labels
 * is a list such as "kind=\"submit\"", of at most 125 bytes, or "". */
void histogram_append_text(const struct histogram *histogram, const char *name,
                           const char *labels, GString *out);

#endif /* FP_HISTOGRAM_H */
