/* schema.c -- records described by tables of fields; msgpack and JSON codecs
 */
#include "base/schema.h"

#include <glib.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

/* msgpack bounds the depth of nested arrays. Item counts are checked against
 * the schema before memory for the items is allocated.
 */

static void *
field_ptr(const struct fp_field *field, const void *record)
{
    return (char *)record + field->offset;
}

static void pack_fields(msgpack_packer *pk, const struct fp_schema *schema,
                        const void *record);

static void
pack_list(msgpack_packer *pk, const struct fp_field *field,
          const struct fp_list *list)
{
    msgpack_pack_array(pk, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        const char *item = (const char *)list->items +
                           (size_t)i * field->item_schema->size_bytes;

        msgpack_pack_array(pk, field->item_schema->field_count);
        pack_fields(pk, field->item_schema, item);
    }
}

static void
pack_field(msgpack_packer *pk, const struct fp_field *field,
           const void *record)
{
    const void *ptr = field_ptr(field, record);
    size_t length;

    switch (field->kind) {
    case FP_U32:
    case FP_ENUM:
        msgpack_pack_uint32(pk, *(const uint32_t *)ptr);
        break;
    case FP_U64:
        msgpack_pack_uint64(pk, *(const uint64_t *)ptr);
        break;
    case FP_BOOL:
        if (*(const bool *)ptr) {
            msgpack_pack_true(pk);
        }
        else {
            msgpack_pack_false(pk);
        }
        break;
    case FP_STR:
        length = strlen(ptr);
        msgpack_pack_str(pk, length);
        if (length > 0) {
            msgpack_pack_str_body(pk, ptr, length);
        }
        break;
    case FP_BLOB:
        length = ((const struct fp_blob *)ptr)->size_bytes;
        msgpack_pack_bin(pk, length);
        if (length > 0) {
            msgpack_pack_bin_body(pk, ((const struct fp_blob *)ptr)->data,
                                  length);
        }
        break;
    case FP_LIST:
        pack_list(pk, field, ptr);
        break;
    }
}

static void
pack_fields(msgpack_packer *pk, const struct fp_schema *schema,
            const void *record)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        pack_field(pk, &schema->fields[i], record);
    }
}

static bool unpack_fields(const struct fp_schema *schema,
                          const msgpack_object *values, uint32_t count,
                          void *record);

/* Lists have a capacity of the next power of two, as fp_list_add() assumes. */
static size_t
list_capacity(uint32_t count)
{
    size_t capacity = 1;

    while (capacity < count) {
        capacity *= 2;
    }
    return capacity;
}

static bool
unpack_list(const struct fp_field *field, const msgpack_object *value,
            struct fp_list *list)
{
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > field->max) {
        return false;
    }
    if (value->via.array.size == 0) {
        return true;
    }
    list->items = g_malloc0_n(list_capacity(value->via.array.size),
                              field->item_schema->size_bytes);
    list->count = value->via.array.size;
    for (uint32_t i = 0; i < list->count; i++) {
        const msgpack_object *item = &value->via.array.ptr[i];
        char *ptr =
            (char *)list->items + (size_t)i * field->item_schema->size_bytes;

        if (item->type != MSGPACK_OBJECT_ARRAY ||
            !unpack_fields(field->item_schema, item->via.array.ptr,
                           item->via.array.size, ptr)) {
            return false;
        }
    }
    return true;
}

static bool
unpack_integer(const struct fp_field *field, const msgpack_object *value,
               void *ptr)
{
    if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    if (field->max != 0 && value->via.u64 > field->max) {
        return false;
    }
    if (field->kind == FP_U64) {
        *(uint64_t *)ptr = value->via.u64;
        return true;
    }
    if (value->via.u64 > UINT32_MAX) {
        return false;
    }
    *(uint32_t *)ptr = (uint32_t)value->via.u64;
    return true;
}

static bool
unpack_string(const struct fp_field *field, const msgpack_object *value,
              char *ptr)
{
    if (value->type != MSGPACK_OBJECT_STR ||
        value->via.str.size >= field->max) {
        return false;
    }
    if (value->via.str.size == 0) {
        return true; /* via.str.ptr may be NULL */
    }
    if (memchr(value->via.str.ptr, 0, value->via.str.size) != NULL) {
        return false;
    }
    memcpy(ptr, value->via.str.ptr, value->via.str.size);
    return true;
}

static bool
unpack_field(const struct fp_field *field, const msgpack_object *value,
             void *record)
{
    void *ptr = field_ptr(field, record);

    switch (field->kind) {
    case FP_U32:
    case FP_U64:
        return unpack_integer(field, value, ptr);
    case FP_ENUM:
        return unpack_integer(field, value, ptr) &&
               *(uint32_t *)ptr < field->max;
    case FP_BOOL:
        if (value->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)ptr = value->via.boolean;
        return true;
    case FP_STR:
        return unpack_string(field, value, ptr);
    case FP_BLOB:
        if (value->type != MSGPACK_OBJECT_BIN ||
            value->via.bin.size > field->max) {
            return false;
        }
        *(struct fp_blob *)ptr =
            fp_blob_copy(value->via.bin.ptr, value->via.bin.size);
        return true;
    case FP_LIST:
        return unpack_list(field, value, ptr);
    }
    return false;
}

static bool
unpack_fields(const struct fp_schema *schema, const msgpack_object *values,
              uint32_t count, void *record)
{
    uint32_t known_count = MIN(count, schema->field_count);

    for (uint32_t i = 0; i < known_count; i++) {
        if (!unpack_field(&schema->fields[i], &values[i], record)) {
            return false;
        }
    }
    return true;
}

struct fp_blob
fp_blob_copy(const void *data, uint32_t size_bytes)
{
    struct fp_blob blob = {NULL, 0};

    if (size_bytes > 0) {
        blob.data = g_memdup2(data, size_bytes);
        blob.size_bytes = size_bytes;
    }
    return blob;
}

void
fp_blob_free(struct fp_blob *blob)
{
    g_free(blob->data);
    blob->data = NULL;
    blob->size_bytes = 0;
}

void *
fp_list_add(struct fp_list *list, size_t item_bytes)
{
    char *item;

    /* The capacity doubles, so that appending n items costs O(n). */
    if ((list->count & (list->count - 1)) == 0) {
        size_t capacity = list->count == 0 ? 1 : (size_t)list->count * 2;

        list->items = g_realloc_n(list->items, capacity, item_bytes);
    }
    item = (char *)list->items + (size_t)list->count * item_bytes;
    memset(item, 0, item_bytes);
    list->count++;
    return item;
}

void
fp_encode(const struct fp_schema *schema, const void *record,
          struct fp_blob *out)
{
    msgpack_sbuffer sbuf;
    msgpack_packer pk;

    msgpack_sbuffer_init(&sbuf);
    msgpack_packer_init(&pk, &sbuf, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, schema->field_count + 2);
    msgpack_pack_uint32(&pk, schema->type);
    msgpack_pack_uint32(&pk, FP_SCHEMA_VERSION);
    pack_fields(&pk, schema, record);
    *out = fp_blob_copy(sbuf.data, (uint32_t)sbuf.size);
    msgpack_sbuffer_destroy(&sbuf);
}

enum fp_err
fp_peek_type(const uint8_t *data, size_t size_bytes, uint32_t *type)
{
    size_t offset;

    /* The record is a fixarray (up to 15 items) or an array 16. The type is a
     * fixint or a uint 8, as msgpack encodes numbers in the shortest form.
     */
    if (size_bytes < 3) {
        return FP_ERR_CORRUPT;
    }
    if ((data[0] & 0xf0) == 0x90) {
        offset = 1;
    }
    else if (data[0] == 0xdc && size_bytes >= 5) {
        offset = 3;
    }
    else {
        return FP_ERR_CORRUPT;
    }
    if (data[offset] < 0x80) {
        *type = data[offset];
        return FP_OK;
    }
    if (data[offset] == 0xcc) {
        *type = data[offset + 1];
        return FP_OK;
    }
    return FP_ERR_CORRUPT;
}

/* Parses the header of a msgpack item. Sets the size of the item in bytes,
 * without the elements of an array, and the number of elements that follow.
 * Returns false for an incomplete header and for types that are never encoded
 * here.
 */
static bool
parse_item_header(const uint8_t *data, size_t size, size_t *bytes,
                  uint64_t *elements)
{
    static const struct {
        uint8_t first_byte;  /* of the item */
        uint8_t count_size;  /* size of the count, big-endian; 0: none */
        uint8_t number_size; /* 0: no number */
        bool is_array;       /* count is in elements, not bytes */
    } formats[] = {
        {0xc2, 0, 0, false}, {0xc3, 0, 0, false}, {0xc4, 1, 0, false},
        {0xc5, 2, 0, false}, {0xc6, 4, 0, false}, {0xcc, 0, 1, false},
        {0xcd, 0, 2, false}, {0xce, 0, 4, false}, {0xcf, 0, 8, false},
        {0xd9, 1, 0, false}, {0xda, 2, 0, false}, {0xdb, 4, 0, false},
        {0xdc, 2, 0, true},  {0xdd, 4, 0, true},
    };
    uint64_t count = 0;

    *bytes = 1;
    *elements = 0;
    if (data[0] < 0x80) {
        return true;
    }
    if ((data[0] & 0xf0) == 0x90) {
        *elements = data[0] & 0x0f;
        return true;
    }
    if ((data[0] & 0xe0) == 0xa0) {
        *bytes += data[0] & 0x1f;
        return true;
    }
    for (size_t i = 0; i < sizeof(formats) / sizeof(formats[0]); i++) {
        if (formats[i].first_byte != data[0]) {
            continue;
        }
        if (size < 1u + formats[i].count_size) {
            return false;
        }
        for (uint8_t k = 0; k < formats[i].count_size; k++) {
            count = count << 8 | data[1 + k];
        }
        *bytes += formats[i].count_size + formats[i].number_size;
        *bytes += formats[i].is_array ? 0 : count;
        *elements = formats[i].is_array ? count : 0;
        return true;
    }
    return false;
}

/* Returns whether data is exactly one msgpack item and no array claims more
 * elements than there are bytes left. The msgpack library allocates arrays by
 * the count in their header; with this check, memory is bounded by the size of
 * the data. Takes time linear in the number of items.
 */
static bool
item_counts_are_valid(const uint8_t *data, size_t size)
{
    uint64_t pending = 1;
    size_t offset = 0;

    while (pending > 0 && offset < size) {
        size_t bytes;
        uint64_t elements;

        if (!parse_item_header(data + offset, size - offset, &bytes,
                               &elements) ||
            bytes > size - offset) {
            return false;
        }
        offset += bytes;
        pending += elements;
        pending--;
        if (pending > size - offset) {
            return false;
        }
    }
    return pending == 0 && offset == size;
}

enum fp_err
fp_decode(const struct fp_schema *schema, const uint8_t *data,
          size_t size_bytes, void *record)
{
    enum fp_err err = FP_ERR_CORRUPT;
    msgpack_unpacked unpacked;
    const msgpack_object *root;
    size_t offset = 0;

    memset(record, 0, schema->size_bytes);
    if (!item_counts_are_valid(data, size_bytes)) {
        return FP_ERR_CORRUPT;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)data, size_bytes,
                            &offset) != MSGPACK_UNPACK_SUCCESS ||
        offset != size_bytes) {
        goto done;
    }
    root = &unpacked.data;
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 2 ||
        root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        root->via.array.ptr[0].via.u64 != schema->type ||
        root->via.array.ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        root->via.array.ptr[1].via.u64 != FP_SCHEMA_VERSION) {
        goto done;
    }
    if (!unpack_fields(schema, root->via.array.ptr + 2,
                       root->via.array.size - 2, record)) {
        fp_record_free(schema, record);
        goto done;
    }
    err = FP_OK;

done:
    msgpack_unpacked_destroy(&unpacked);
    return err;
}

static void
free_list(const struct fp_schema *item_schema, struct fp_list *list)
{
    for (uint32_t i = 0; i < list->count; i++) {
        fp_record_free(item_schema, (char *)list->items +
                                        (size_t)i * item_schema->size_bytes);
    }
    g_free(list->items);
}

void
fp_record_free(const struct fp_schema *schema, void *record)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        const struct fp_field *field = &schema->fields[i];

        if (field->kind == FP_BLOB) {
            fp_blob_free(field_ptr(field, record));
        }
        else if (field->kind == FP_LIST) {
            free_list(field->item_schema, field_ptr(field, record));
        }
    }
    memset(record, 0, schema->size_bytes);
}

void
fp_record_copy(const struct fp_schema *schema, void *to, const void *from)
{
    struct fp_blob blob;
    enum fp_err err;

    fp_encode(schema, from, &blob);
    err = fp_decode(schema, blob.data, blob.size_bytes, to);
    g_assert(err == FP_OK);
    fp_blob_free(&blob);
}

static json_t *
list_to_json(const struct fp_schema *item_schema, const struct fp_list *list)
{
    json_t *array = json_array();

    for (uint32_t i = 0; i < list->count; i++) {
        const char *item =
            (const char *)list->items + (size_t)i * item_schema->size_bytes;

        json_array_append_new(array, fp_to_json(item_schema, item));
    }
    return array;
}

static json_t *
blob_to_json(const struct fp_blob *blob)
{
    json_t *text = json_stringn(blob->data == NULL ? "" : (char *)blob->data,
                                blob->size_bytes);
    char size_text[48];

    if (text != NULL) {
        return text;
    }
    snprintf(size_text, sizeof(size_text), "(%u bytes)", blob->size_bytes);
    return json_string(size_text);
}

static json_t *
field_to_json(const struct fp_field *field, const void *record)
{
    const void *ptr = field_ptr(field, record);

    switch (field->kind) {
    case FP_U32:
        return json_integer(*(const uint32_t *)ptr);
    case FP_U64:
        return json_integer((json_int_t) * (const uint64_t *)ptr);
    case FP_BOOL:
        return json_boolean(*(const bool *)ptr);
    case FP_STR:
        return json_string(ptr);
    case FP_BLOB:
        return blob_to_json(ptr);
    case FP_LIST:
        return list_to_json(field->item_schema, ptr);
    case FP_ENUM:
        return json_string(field->names[*(const uint32_t *)ptr]);
    }
    return json_null();
}

json_t *
fp_to_json(const struct fp_schema *schema, const void *record)
{
    json_t *object = json_object();

    for (uint32_t i = 0; i < schema->field_count; i++) {
        json_object_set_new(object, schema->fields[i].name,
                            field_to_json(&schema->fields[i], record));
    }
    return object;
}

/* Writes to why what the field accepts. Returns FP_ERR_BAD_REQUEST. */
static enum fp_err
reject_value(const struct fp_field *field, const char *value, char *why,
             size_t why_bytes)
{
    GString *choices = g_string_new(NULL);

    switch (field->kind) {
    case FP_ENUM:
        for (uint64_t i = 0; i < field->max; i++) {
            g_string_append_printf(choices, "%s%s", i == 0 ? "" : ", ",
                                   field->names[i]);
        }
        snprintf(why, why_bytes, "field %s: '%.80s' is not one of: %s",
                 field->name, value, choices->str);
        break;
    case FP_STR:
        snprintf(why, why_bytes,
                 "field %s: '%.80s' is not a text of at most %llu bytes",
                 field->name, value, (unsigned long long)field->max - 1);
        break;
    case FP_BLOB:
        snprintf(why, why_bytes, "field %s: not a text of at most %llu bytes",
                 field->name, (unsigned long long)field->max);
        break;
    case FP_BOOL:
        snprintf(why, why_bytes, "field %s: '%.80s' is not true or false",
                 field->name, value);
        break;
    case FP_LIST:
        snprintf(why, why_bytes,
                 "field %s: not a list of at most %llu records", field->name,
                 (unsigned long long)field->max);
        break;
    default:
        snprintf(why, why_bytes,
                 "field %s: '%.80s' is not a whole number from 0 to %llu",
                 field->name, value,
                 field->max == 0 ? (unsigned long long)INT64_MAX
                                 : (unsigned long long)field->max);
    }
    g_string_free(choices, TRUE);
    return FP_ERR_BAD_REQUEST;
}

static enum fp_err
list_from_json(const struct fp_field *field, const json_t *value,
               struct fp_list *list, char *why, size_t why_bytes)
{
    size_t index;
    json_t *item;

    if (!json_is_array(value) || json_array_size(value) > field->max) {
        return reject_value(field, "", why, why_bytes);
    }
    json_array_foreach(value, index, item)
    {
        enum fp_err err = fp_from_json(
            field->item_schema, item,
            fp_list_add(list, field->item_schema->size_bytes), why, why_bytes);
        if (err != FP_OK) {
            return err;
        }
    }
    return FP_OK;
}

static enum fp_err
field_from_json(const struct fp_field *field, const json_t *value,
                void *record, char *why, size_t why_bytes)
{
    void *ptr = field_ptr(field, record);
    char number[32];

    if (field->kind == FP_LIST) {
        return list_from_json(field, value, ptr, why, why_bytes);
    }
    if (json_is_boolean(value) && field->kind == FP_BOOL) {
        *(bool *)ptr = json_is_true(value);
        return FP_OK;
    }
    if (json_is_integer(value) && field->kind != FP_STR &&
        field->kind != FP_BLOB) {
        snprintf(number, sizeof(number), "%lld",
                 (long long)json_integer_value(value));
        return fp_set_field(field, record, number, why, why_bytes);
    }
    if (json_is_string(value) &&
        (field->kind == FP_STR || field->kind == FP_BLOB ||
         field->kind == FP_ENUM) &&
        strlen(json_string_value(value)) == json_string_length(value)) {
        return fp_set_field(field, record, json_string_value(value), why,
                            why_bytes);
    }
    return reject_value(field, "", why, why_bytes);
}

static const struct fp_field *
find_field(const struct fp_schema *schema, const char *name)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        if (strcmp(schema->fields[i].name, name) == 0) {
            return &schema->fields[i];
        }
    }
    return NULL;
}

enum fp_err
fp_from_json(const struct fp_schema *schema, const json_t *object,
             void *record, char *why, size_t why_bytes)
{
    const char *name;
    json_t *value;

    if (!json_is_object(object)) {
        snprintf(why, why_bytes, "%s: not a JSON object", schema->name);
        return FP_ERR_BAD_REQUEST;
    }
    json_object_foreach((json_t *)object, name, value)
    {
        const struct fp_field *field = find_field(schema, name);
        enum fp_err err;

        if (field == NULL) {
            snprintf(why, why_bytes, "%s has no field '%.80s'", schema->name,
                     name);
            return FP_ERR_BAD_REQUEST;
        }
        err = field_from_json(field, value, record, why, why_bytes);
        if (err != FP_OK) {
            return err;
        }
    }
    return FP_OK;
}

static bool
parse_number(const struct fp_field *field, const char *text, uint64_t *number)
{
    uint64_t max = field->max == 0 ? (uint64_t)INT64_MAX : field->max;

    if (field->kind == FP_U32 && max > UINT32_MAX) {
        max = UINT32_MAX;
    }
    return g_ascii_string_to_unsigned(text, 10, 0, max, number, NULL);
}

static bool
parse_enum(const struct fp_field *field, const char *text, uint32_t *number)
{
    for (uint32_t i = 0; i < field->max; i++) {
        if (strcmp(field->names[i], text) == 0) {
            *number = i;
            return true;
        }
    }
    return false;
}

enum fp_err
fp_set_field(const struct fp_field *field, void *record, const char *text,
             char *why, size_t why_bytes)
{
    void *ptr = field_ptr(field, record);
    size_t length = strlen(text);
    uint64_t number;
    bool ok = false;

    switch (field->kind) {
    case FP_U32:
        ok = parse_number(field, text, &number);
        if (ok) {
            *(uint32_t *)ptr = (uint32_t)number;
        }
        break;
    case FP_U64:
        ok = parse_number(field, text, &number);
        if (ok) {
            *(uint64_t *)ptr = number;
        }
        break;
    case FP_ENUM:
        ok = parse_enum(field, text, ptr);
        break;
    case FP_BOOL:
        ok = strcmp(text, "true") == 0 || strcmp(text, "false") == 0;
        if (ok) {
            *(bool *)ptr = text[0] == 't';
        }
        break;
    case FP_STR:
        ok = length < field->max;
        if (ok) {
            memset(ptr, 0, field->max);
            memcpy(ptr, text, length);
        }
        break;
    case FP_BLOB:
        ok = length <= field->max;
        if (ok) {
            fp_blob_free(ptr);
            *(struct fp_blob *)ptr = fp_blob_copy(text, (uint32_t)length);
        }
        break;
    case FP_LIST:
        break;
    }
    return ok ? FP_OK : reject_value(field, text, why, why_bytes);
}
