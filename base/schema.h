/* schema.h -- typed records described by tables, to and from msgpack and JSON
 *
 * Every message between hosts, every log entry and every JSON body is a plain
 * struct plus one table of fields. The table bounds every field, so decoding
 * never trusts a length that came from outside. Encoding is a msgpack array
 * [type, version, field...]; a decoder ignores fields past those it knows and
 * leaves absent ones zero, so that hosts of neighbouring versions can talk.
 */
#ifndef FP_SCHEMA_H
#define FP_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

#define FP_SCHEMA_VERSION 1u

enum fp_kind {
    FP_U32,  /* uint32_t, at most max */
    FP_U64,  /* uint64_t, at most max (0: any) */
    FP_BOOL, /* bool */
    FP_STR,  /* char[max], NUL-terminated */
    FP_BLOB, /* struct fp_blob of at most max bytes */
    FP_LIST, /* struct fp_list of at most max items of schema sub */
    FP_ENUM  /* uint32_t index into names[], max entries */
};

/* Bytes on the heap; owned by the record that holds them. */
struct fp_blob {
    uint8_t *data;
    uint32_t size_bytes;
};

/* An array of records on the heap; owned by the record that holds it. */
struct fp_list {
    void *items;
    uint32_t count;
};

struct fp_schema;

struct fp_field {
    const char *name;            /* JSON name */
    enum fp_kind kind;           /* how it is stored */
    size_t offset;               /* offsetof in the struct */
    uint64_t max;                /* bound; see enum fp_kind */
    const struct fp_schema *sub; /* FP_LIST: schema of an item */
    const char *const *names;    /* FP_ENUM: names of the values */
    const char *doc;             /* one line with unit, for --help */
};

struct fp_schema {
    const char *name;              /* JSON name of the record */
    uint32_t type;                 /* number on the wire */
    size_t size_bytes;             /* sizeof the struct */
    const struct fp_field *fields; /* in wire order */
    uint32_t field_count;
};

#define FP_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

/* Copies size_bytes into a fresh blob; an empty blob for size 0. */
struct fp_blob fp_blob_copy(const void *data, uint32_t size_bytes);

/* Frees the bytes and empties the blob. */
void fp_blob_free(struct fp_blob *blob);

/* Adds one zeroed item to the list and returns it. */
void *fp_list_add(struct fp_list *list, size_t item_bytes);

/* Encodes a record; out is replaced by a blob that the caller frees. */
void fp_encode(const struct fp_schema *schema, const void *record,
               struct fp_blob *out);

/* Reads the type number of an encoded record.
 * Returns FP_OK, or FP_ERR_CORRUPT when the bytes are no record.
 */
enum fp_err fp_peek_type(const uint8_t *data, size_t size_bytes,
                         uint32_t *type);

/* Decodes into a zeroed record. On FP_ERR_CORRUPT the record is empty and
 * nothing needs freeing; on FP_OK the caller calls fp_record_free().
 */
enum fp_err fp_decode(const struct fp_schema *schema, const uint8_t *data,
                      size_t size_bytes, void *record);

/* Frees the blobs and lists inside a record and zeroes it. */
void fp_record_free(const struct fp_schema *schema, void *record);

/* Copies a record, with blobs and lists, by way of its encoding. */
void fp_record_copy(const struct fp_schema *schema, void *to,
                    const void *from);

/* Returns a new JSON object of the record. */
json_t *fp_to_json(const struct fp_schema *schema, const void *record);

/* Fills a zeroed record from a JSON object. Unknown members, wrong types and
 * values out of range are refused: why (at least why_bytes) names the field,
 * the value and what would be accepted. Absent members stay zero.
 */
enum fp_err fp_from_json(const struct fp_schema *schema, const json_t *object,
                         void *record, char *why, size_t why_bytes);

/* Sets one field from text, as typed on a command line. */
enum fp_err fp_set_field(const struct fp_field *field, void *record,
                         const char *text, char *why, size_t why_bytes);

#endif /* FP_SCHEMA_H */
