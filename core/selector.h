/* selector.h -- labels and the selectors that match them
 *
 * Labels are a text "key=value,key=value". A selector is a comma-separated
 * list of terms that must all hold: "key=a|b" (one of the values),
 * "key!=a|b" (none of them, or no such label), "key" (present), "!key"
 * (absent). An empty selector matches everything.
 */
#ifndef FP_SELECTOR_H
#define FP_SELECTOR_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"

struct selector;

/* Checks the form of labels; why names what is wrong. */
enum fp_err labels_validate(const char *labels, char *why, size_t why_bytes);

/* Finds the value of a key in labels; NULL when absent. length is its size.
 */
const char *labels_find(const char *labels, const char *key, size_t *length);

/* Parses a selector. On FP_ERR_BAD_REQUEST why names the term. */
enum fp_err selector_new(const char *text, struct selector **out, char *why,
                         size_t why_bytes);

void selector_free(struct selector *selector);

bool selector_match(const struct selector *selector, const char *labels);

/* Reports whether no labels at all can satisfy the selector. */
bool selector_has_conflict(const struct selector *selector);

#endif /* FP_SELECTOR_H */
