/* selector.c -- labels and the selectors that match them */
#include "core/selector.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct term {
    char *key;
    char **values; /* NULL-terminated; NULL: any value */
    bool negated;
};

struct selector {
    struct term *terms;
    unsigned count;
};

static bool
is_valid_token(const char *text, size_t length)
{
    if (length == 0) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(text[i]) && strchr("-_./:", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

enum fp_err
labels_validate(const char *labels, char *message, size_t message_bytes)
{
    char **parts = g_strsplit(labels, ",", -1);
    enum fp_err err = FP_OK;

    for (char **part = parts; *part != NULL && labels[0] != '\0'; part++) {
        const char *equals = strchr(*part, '=');

        if (equals == NULL ||
            !is_valid_token(*part, (size_t)(equals - *part)) ||
            !is_valid_token(equals + 1, strlen(equals + 1))) {
            snprintf(message, message_bytes,
                     "field labels: '%.60s' is not key=value", *part);
            err = FP_ERR_BAD_REQUEST;
            break;
        }
    }
    g_strfreev(parts);
    return err;
}

const char *
labels_find(const char *labels, const char *key, size_t *length)
{
    size_t key_length = strlen(key);
    const char *label = labels;

    while (*label != '\0') {
        const char *end = strchrnul(label, ',');

        if ((size_t)(end - label) > key_length && label[key_length] == '=' &&
            strncmp(label, key, key_length) == 0) {
            *length = (size_t)(end - label) - key_length - 1;
            return label + key_length + 1;
        }
        label = *end == ',' ? end + 1 : end;
    }
    return NULL;
}

/* On false the term may be filled in part; selector_free() frees that. */
static bool
parse_term(const char *text, struct term *term)
{
    const char *equals = strchr(text, '=');
    size_t key_length =
        equals == NULL ? strlen(text) : (size_t)(equals - text);

    if (equals == NULL && text[0] == '!') {
        term->negated = true;
        text++;
        key_length--;
    }
    else if (equals != NULL && equals > text && equals[-1] == '!') {
        term->negated = true;
        key_length--;
    }
    if (!is_valid_token(text, key_length)) {
        return false;
    }
    term->key = g_strndup(text, key_length);
    if (equals == NULL) {
        return true;
    }
    term->values = g_strsplit(equals + 1, "|", -1);
    for (char **value = term->values; *value != NULL; value++) {
        if (!is_valid_token(*value, strlen(*value))) {
            return false;
        }
    }
    return term->values[0] != NULL;
}

enum fp_err
selector_new(const char *text, struct selector **out, char *message,
             size_t message_bytes)
{
    struct selector *selector = g_new0(struct selector, 1);
    char **parts = g_strsplit(text, ",", -1);
    unsigned count = g_strv_length(parts);
    enum fp_err err = FP_OK;

    selector->terms = g_new0(struct term, count);
    for (unsigned i = 0; i < count && text[0] != '\0'; i++) {
        selector->count++;
        if (!parse_term(parts[i], &selector->terms[i])) {
            snprintf(message, message_bytes,
                     "field selector: '%.60s' is not key, !key, key=a|b or "
                     "key!=a|b",
                     parts[i]);
            err = FP_ERR_BAD_REQUEST;
            break;
        }
    }
    g_strfreev(parts);
    if (err != FP_OK) {
        selector_free(selector);
        selector = NULL;
    }
    *out = selector;
    return err;
}

void
selector_free(struct selector *selector)
{
    if (selector == NULL) {
        return;
    }
    for (unsigned i = 0; i < selector->count; i++) {
        g_free(selector->terms[i].key);
        g_strfreev(selector->terms[i].values);
    }
    g_free(selector->terms);
    g_free(selector);
}

static bool
term_has_value(const struct term *term, const char *value, size_t length)
{
    for (char **candidate = term->values; *candidate != NULL; candidate++) {
        if (strlen(*candidate) == length &&
            strncmp(*candidate, value, length) == 0) {
            return true;
        }
    }
    return false;
}

bool
selector_match(const struct selector *selector, const char *labels)
{
    for (unsigned i = 0; i < selector->count; i++) {
        const struct term *term = &selector->terms[i];
        size_t length = 0;
        const char *value = labels_find(labels, term->key, &length);
        bool matches = value != NULL && (term->values == NULL ||
                                         term_has_value(term, value, length));

        if (matches == term->negated) {
            return false;
        }
    }
    return true;
}

/* Reports whether a is not negated, b has the same key, and no labels satisfy
 * both. The caller tries both orders of two terms.
 */
static bool
terms_conflict(const struct term *a, const struct term *b)
{
    if (strcmp(a->key, b->key) != 0 || a->negated) {
        return false;
    }
    if (b->negated && b->values == NULL) {
        return true;
    }
    if (a->values == NULL || b->values == NULL) {
        return false;
    }
    for (char **value = a->values; *value != NULL; value++) {
        if (term_has_value(b, *value, strlen(*value)) != b->negated) {
            return false;
        }
    }
    return true;
}

bool
selector_has_conflict(const struct selector *selector)
{
    for (unsigned i = 0; i < selector->count; i++) {
        for (unsigned j = 0; j < selector->count; j++) {
            if (i != j &&
                terms_conflict(&selector->terms[i], &selector->terms[j])) {
                return true;
            }
        }
    }
    return false;
}
