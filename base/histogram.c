/* histogram.c -- histograms in the Prometheus text format */
#include "base/histogram.h"

static const uint64_t BOUNDS[HISTOGRAM_BOUND_COUNT] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};

void
histogram_add(struct histogram *histogram, uint64_t value)
{
    uint32_t bucket = 0;

    while (bucket < HISTOGRAM_BOUND_COUNT && value > BOUNDS[bucket]) {
        bucket++;
    }
    histogram->counts[bucket]++;
    histogram->sum += value;
}

void
histogram_append_text(const struct histogram *histogram, const char *name,
                      const char *labels, GString *out)
{
    const char *comma = labels[0] == '\0' ? "" : ",";
    char label_set[128] = "";
    unsigned long long count = 0;

    if (labels[0] != '\0') {
        g_snprintf(label_set, sizeof(label_set), "{%s}", labels);
    }
    for (uint32_t i = 0; i < HISTOGRAM_BOUND_COUNT; i++) {
        count += histogram->counts[i];
        g_string_append_printf(
            out, "filbertpath_%s_bucket{%s%sle=\"%llu\"} %llu\n", name, labels,
            comma, (unsigned long long)BOUNDS[i], count);
    }
    count += histogram->counts[HISTOGRAM_BOUND_COUNT];
    g_string_append_printf(out,
                           "filbertpath_%s_bucket{%s%sle=\"+Inf\"} %llu\n"
                           "filbertpath_%s_sum%s %llu\n"
                           "filbertpath_%s_count%s %llu\n",
                           name, labels, comma, count, name, label_set,
                           (unsigned long long)histogram->sum, name, label_set,
                           count);
}
