/* selector.h -- labels and the selectors that match them
 *
 * Labels are a text "key=value,key=value". A selector is a comma-separated
 * list of terms that must all hold: "key=a|b" (one of the values),
 * "key!=a|b" (none of them, or no such label), "key" (present), "!key"
 * (absent). Keys and values consist of letters, digits and "-_./:". An empty
 * selector matches everything.
 */
#ifndef FP_SELECTOR_H
#define FP_SELECTOR_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"

struct selector;

/* Checks the syntax of labels. On FP_ERR_BAD_REQUEST message names the label
 * that is malformed.
 */
enum fp_err labels_validate(const char *labels, char *message,
                            size_t message_bytes);

/* Finds the value of a key. Returns a pointer into labels, not terminated, and
 * sets length; NULL when the key is absent.
 */
const char *labels_find(const char *labels, const char *key, size_t *length);

/* Parses a selector, to be freed with selector_free(). On FP_ERR_BAD_REQUEST
 * out is NULL and message names the term that is malformed.
 */
enum fp_err selector_new(const char *text, struct selector **out,
                         char *message, size_t message_bytes);

void selector_free(struct selector *selector);

bool selector_match(const struct selector *selector, const char *labels);

/* Reports whether two terms contradict each other, so that no labels match.
 * Contradictions that take more than two terms are not found, such as
 * "a=1|2,a!=1,a!=2".
 */
bool selector_has_conflict(const struct selector *selector);

#endif /* FP_SELECTOR_H */
