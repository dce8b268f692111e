/* schema.h -- records described by tables of fields; msgpack and JSON codecs
 *
 * Messages between hosts, log entries and JSON bodies are plain structs, each
 * with a schema: a table of its fields. The table bounds the size of every
 * field, so that decoding never trusts a length that was received. A record is
 * encoded as a msgpack array [type, version, field...]. A decoder ignores
 * fields after those that it knows and leaves absent ones zero, so that hosts
 * of adjacent versions interoperate.
 */
#ifndef FP_SCHEMA_H
#define FP_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

#define FP_SCHEMA_VERSION 1u

enum fp_field_kind {
    FP_U32,  /* uint32_t, at most max (0: any) */
    FP_U64,  /* uint64_t, at most max (0: any) */
    FP_BOOL, /* bool */
    FP_STR,  /* char[max], NUL-terminated */
    FP_BLOB, /* struct fp_blob of at most max bytes */
    FP_LIST, /* struct fp_list of at most max items of item_schema */
    FP_ENUM  /* uint32_t, index into names[], which has max entries */
};

/* Bytes on the heap; owned by the record that holds them. */
struct fp_blob {
    uint8_t *data;
    uint32_t size_bytes;
};

/* An array of records on the heap; owned by the record that holds it.
 * fp_list_add() assumes a capacity of the next power of two of count, which
 * the decoder allocates as well. */
struct fp_list {
    void *items;
    uint32_t count;
};

struct fp_schema;

struct fp_field {
    const char *name;                    /* JSON name */
    enum fp_field_kind kind;             /* type in the struct */
    size_t offset;                       /* offsetof in the struct */
    uint64_t max;                        /* bound; see enum fp_field_kind */
    const struct fp_schema *item_schema; /* FP_LIST */
    const char *const *names; /* FP_ENUM: JSON names of the values */
    const char *doc;          /* one line of help; NULL: not an option */
};

struct fp_schema {
    const char *name;              /* name in API paths and error messages */
    uint32_t type;                 /* type number on the wire */
    size_t size_bytes;             /* sizeof the struct */
    const struct fp_field *fields; /* in wire order; append only */
    uint32_t field_count;
};

#define FP_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

/* Returns a copy of data, which the caller frees; an empty blob for size 0. */
struct fp_blob fp_blob_copy(const void *data, uint32_t size_bytes);

/* Frees the data and empties the blob. */
void fp_blob_free(struct fp_blob *blob);

/* Appends a zeroed item of item_bytes to the list and returns it. Pointers to
 * earlier items become invalid. */
void *fp_list_add(struct fp_list *list, size_t item_bytes);

/* Encodes a record. *out is overwritten by a blob that the caller frees. */
void fp_encode(const struct fp_schema *schema, const void *record,
               struct fp_blob *out);

/* Reads the type number, at most 255, of an encoded record. Returns FP_OK, or
 * FP_ERR_CORRUPT if data does not begin like a record.
 */
enum fp_err fp_peek_type(const uint8_t *data, size_t size_bytes,
                         uint32_t *type);

/* Decodes data into record, which is overwritten. On FP_OK the caller frees
 * the record with fp_record_free(); on FP_ERR_CORRUPT the record is zeroed and
 * needs no freeing.
 */
enum fp_err fp_decode(const struct fp_schema *schema, const uint8_t *data,
                      size_t size_bytes, void *record);

/* Frees the blobs and lists inside a record and zeroes it. */
void fp_record_free(const struct fp_schema *schema, void *record);

/* Makes a deep copy of a record by encoding and decoding it. *to is
 * overwritten; the caller frees it with fp_record_free(). */
void fp_record_copy(const struct fp_schema *schema, void *to,
                    const void *from);

/* Returns a new JSON object with all fields of the record. A blob that is not
 * valid UTF-8 is given as its size only. */
json_t *fp_to_json(const struct fp_schema *schema, const void *record);

/* Fills a zeroed record from a JSON object. Absent members stay zero. Unknown
 * members, wrong types and values out of range give FP_ERR_BAD_REQUEST; why,
 * of why_bytes, then names the field, the value and what is accepted. The
 * caller frees the record with fp_record_free() in either case.
 */
enum fp_err fp_from_json(const struct fp_schema *schema, const json_t *object,
                         void *record, char *why, size_t why_bytes);

/* Sets a field of a record from text, as given on a command line. Errors are
 * those of fp_from_json(). A list cannot be set. */
enum fp_err fp_set_field(const struct fp_field *field, void *record,
                         const char *text, char *why, size_t why_bytes);

#endif /* FP_SCHEMA_H */
