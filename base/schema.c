/* schema.c -- typed records described by tables, to and from msgpack and JSON
 */
#include "base/schema.h"

#include <glib.h>
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

/* Decoded arrays of one message never nest deeper than msgpack's own bound;
 * item counts are checked against the table before anything is allocated.
 */

static void *
field_at(const struct fp_field *field, const void *record)
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
        const char *item =
            (const char *)list->items + (size_t)i * field->sub->size_bytes;

        msgpack_pack_array(pk, field->sub->field_count);
        pack_fields(pk, field->sub, item);
    }
}

static void
pack_field(msgpack_packer *pk, const struct fp_field *field,
           const void *record)
{
    const void *at = field_at(field, record);
    size_t length;

    switch (field->kind) {
    case FP_U32:
    case FP_ENUM:
        msgpack_pack_uint32(pk, *(const uint32_t *)at);
        break;
    case FP_U64:
        msgpack_pack_uint64(pk, *(const uint64_t *)at);
        break;
    case FP_BOOL:
        if (*(const bool *)at) {
            msgpack_pack_true(pk);
        }
        else {
            msgpack_pack_false(pk);
        }
        break;
    case FP_STR:
        length = strlen(at);
        msgpack_pack_str(pk, length);
        if (length > 0) {
            msgpack_pack_str_body(pk, at, length);
        }
        break;
    case FP_BLOB:
        length = ((const struct fp_blob *)at)->size_bytes;
        msgpack_pack_bin(pk, length);
        if (length > 0) {
            msgpack_pack_bin_body(pk, ((const struct fp_blob *)at)->data,
                                  length);
        }
        break;
    case FP_LIST:
        pack_list(pk, field, at);
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

/* Lists have room for the next power of two; fp_list_add() relies on it. */
static size_t
list_room(uint32_t count)
{
    size_t room = 1;

    while (room < count) {
        room *= 2;
    }
    return room;
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
    list->items =
        g_malloc0_n(list_room(value->via.array.size), field->sub->size_bytes);
    list->count = value->via.array.size;
    for (uint32_t i = 0; i < list->count; i++) {
        const msgpack_object *item = &value->via.array.ptr[i];
        char *at = (char *)list->items + (size_t)i * field->sub->size_bytes;

        if (item->type != MSGPACK_OBJECT_ARRAY ||
            !unpack_fields(field->sub, item->via.array.ptr,
                           item->via.array.size, at)) {
            return false;
        }
    }
    return true;
}

static bool
unpack_integer(const struct fp_field *field, const msgpack_object *value,
               void *at)
{
    if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    if (field->max != 0 && value->via.u64 > field->max) {
        return false;
    }
    if (field->kind == FP_U64) {
        *(uint64_t *)at = value->via.u64;
        return true;
    }
    if (value->via.u64 > UINT32_MAX) {
        return false;
    }
    *(uint32_t *)at = (uint32_t)value->via.u64;
    return true;
}

static bool
unpack_text(const struct fp_field *field, const msgpack_object *value,
            char *at)
{
    if (value->type != MSGPACK_OBJECT_STR ||
        value->via.str.size >= field->max) {
        return false;
    }
    if (value->via.str.size == 0) {
        return true; /* its pointer may be NULL */
    }
    if (memchr(value->via.str.ptr, 0, value->via.str.size) != NULL) {
        return false;
    }
    memcpy(at, value->via.str.ptr, value->via.str.size);
    return true;
}

static bool
unpack_field(const struct fp_field *field, const msgpack_object *value,
             void *record)
{
    void *at = field_at(field, record);

    switch (field->kind) {
    case FP_U32:
    case FP_U64:
        return unpack_integer(field, value, at);
    case FP_ENUM:
        return unpack_integer(field, value, at) &&
               *(uint32_t *)at < field->max;
    case FP_BOOL:
        if (value->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)at = value->via.boolean;
        return true;
    case FP_STR:
        return unpack_text(field, value, at);
    case FP_BLOB:
        if (value->type != MSGPACK_OBJECT_BIN ||
            value->via.bin.size > field->max) {
            return false;
        }
        *(struct fp_blob *)at =
            fp_blob_copy(value->via.bin.ptr, value->via.bin.size);
        return true;
    case FP_LIST:
        return unpack_list(field, value, at);
    }
    return false;
}

static bool
unpack_fields(const struct fp_schema *schema, const msgpack_object *values,
              uint32_t count, void *record)
{
    uint32_t known = MIN(count, schema->field_count);

    for (uint32_t i = 0; i < known; i++) {
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

    /* Doubles at powers of two, so that adding n items costs O(n). */
    if ((list->count & (list->count - 1)) == 0) {
        size_t room = list->count == 0 ? 1 : (size_t)list->count * 2;

        list->items = g_realloc_n(list->items, room, item_bytes);
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
    size_t at;

    /* Arrays of at most 15 items, then array 16; the type is a fixint, a
     * uint 8 or a uint 16, as msgpack packs numbers in the shortest form.
     */
    if (size_bytes < 3) {
        return FP_ERR_CORRUPT;
    }
    if ((data[0] & 0xf0) == 0x90) {
        at = 1;
    }
    else if (data[0] == 0xdc && size_bytes >= 5) {
        at = 3;
    }
    else {
        return FP_ERR_CORRUPT;
    }
    if (data[at] < 0x80) {
        *type = data[at];
        return FP_OK;
    }
    if (data[at] == 0xcc) {
        *type = data[at + 1];
        return FP_OK;
    }
    return FP_ERR_CORRUPT;
}

/* One item's head: how many bytes it takes, its body included, and how many
 * items follow as its elements. False for types that are never packed here.
 */
static bool
item_extent(const uint8_t *at, size_t left, size_t *bytes, uint64_t *items)
{
    static const struct {
        uint8_t first;      /* first byte of the item */
        uint8_t count_size; /* bytes of its count, big-endian */
        uint8_t fixed;      /* bytes of a number's body */
        bool is_array;
    } kinds[] = {
        {0xc2, 0, 0, false}, {0xc3, 0, 0, false}, {0xc4, 1, 0, false},
        {0xc5, 2, 0, false}, {0xc6, 4, 0, false}, {0xcc, 0, 1, false},
        {0xcd, 0, 2, false}, {0xce, 0, 4, false}, {0xcf, 0, 8, false},
        {0xd9, 1, 0, false}, {0xda, 2, 0, false}, {0xdb, 4, 0, false},
        {0xdc, 2, 0, true},  {0xdd, 4, 0, true},
    };
    uint64_t count = 0;

    *bytes = 1;
    *items = 0;
    if (at[0] < 0x80) {
        return true;
    }
    if ((at[0] & 0xf0) == 0x90) {
        *items = at[0] & 0x0f;
        return true;
    }
    if ((at[0] & 0xe0) == 0xa0) {
        *bytes += at[0] & 0x1f;
        return true;
    }
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (kinds[i].first != at[0]) {
            continue;
        }
        if (left < 1u + kinds[i].count_size) {
            return false;
        }
        for (uint8_t k = 0; k < kinds[i].count_size; k++) {
            count = count << 8 | at[1 + k];
        }
        *bytes += kinds[i].count_size + kinds[i].fixed;
        *bytes += kinds[i].is_array ? 0 : count;
        *items = kinds[i].is_array ? count : 0;
        return true;
    }
    return false;
}

/* The library allocates an array by the count that its head claims. So no
 * head may claim more items than there are bytes left; memory is then bounded
 * by the size of what came. Costs one step for each item.
 */
static bool
counts_are_sound(const uint8_t *data, size_t size)
{
    uint64_t due = 1;
    size_t at = 0;

    while (due > 0 && at < size) {
        size_t bytes;
        uint64_t items;

        if (!item_extent(data + at, size - at, &bytes, &items) ||
            bytes > size - at) {
            return false;
        }
        at += bytes;
        due += items;
        due--;
        if (due > size - at) {
            return false;
        }
    }
    return due == 0 && at == size;
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
    if (!counts_are_sound(data, size_bytes)) {
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
free_list(const struct fp_schema *sub, struct fp_list *list)
{
    for (uint32_t i = 0; i < list->count; i++) {
        fp_record_free(sub, (char *)list->items + (size_t)i * sub->size_bytes);
    }
    g_free(list->items);
}

void
fp_record_free(const struct fp_schema *schema, void *record)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        const struct fp_field *field = &schema->fields[i];

        if (field->kind == FP_BLOB) {
            fp_blob_free(field_at(field, record));
        }
        else if (field->kind == FP_LIST) {
            free_list(field->sub, field_at(field, record));
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
list_to_json(const struct fp_schema *sub, const struct fp_list *list)
{
    json_t *array = json_array();

    for (uint32_t i = 0; i < list->count; i++) {
        const char *item =
            (const char *)list->items + (size_t)i * sub->size_bytes;

        json_array_append_new(array, fp_to_json(sub, item));
    }
    return array;
}

static json_t *
blob_to_json(const struct fp_blob *blob)
{
    json_t *text = json_stringn(blob->data == NULL ? "" : (char *)blob->data,
                                blob->size_bytes);
    char note[48];

    if (text != NULL) {
        return text;
    }
    snprintf(note, sizeof(note), "(%u bytes)", blob->size_bytes);
    return json_string(note);
}

static json_t *
field_to_json(const struct fp_field *field, const void *record)
{
    const void *at = field_at(field, record);

    switch (field->kind) {
    case FP_U32:
        return json_integer(*(const uint32_t *)at);
    case FP_U64:
        return json_integer((json_int_t) * (const uint64_t *)at);
    case FP_BOOL:
        return json_boolean(*(const bool *)at);
    case FP_STR:
        return json_string(at);
    case FP_BLOB:
        return blob_to_json(at);
    case FP_LIST:
        return list_to_json(field->sub, at);
    case FP_ENUM:
        return json_string(field->names[*(const uint32_t *)at]);
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

static enum fp_err
refuse(const struct fp_field *field, const char *value, char *why,
       size_t why_bytes)
{
    GString *names = g_string_new(NULL);

    switch (field->kind) {
    case FP_ENUM:
        for (uint64_t i = 0; i < field->max; i++) {
            g_string_append_printf(names, "%s%s", i == 0 ? "" : ", ",
                                   field->names[i]);
        }
        snprintf(why, why_bytes, "field %s: '%.80s' is not one of: %s",
                 field->name, value, names->str);
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
    g_string_free(names, TRUE);
    return FP_ERR_BAD_REQUEST;
}

static enum fp_err
list_from_json(const struct fp_field *field, const json_t *value,
               struct fp_list *list, char *why, size_t why_bytes)
{
    size_t index;
    json_t *item;

    if (!json_is_array(value) || json_array_size(value) > field->max) {
        return refuse(field, "", why, why_bytes);
    }
    json_array_foreach(value, index, item)
    {
        enum fp_err err = fp_from_json(
            field->sub, item, fp_list_add(list, field->sub->size_bytes), why,
            why_bytes);
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
    void *at = field_at(field, record);
    char number[32];

    if (field->kind == FP_LIST) {
        return list_from_json(field, value, at, why, why_bytes);
    }
    if (json_is_boolean(value) && field->kind == FP_BOOL) {
        *(bool *)at = json_is_true(value);
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
    return refuse(field, "", why, why_bytes);
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
    void *at = field_at(field, record);
    size_t length = strlen(text);
    uint64_t number;
    bool ok = false;

    switch (field->kind) {
    case FP_U32:
        ok = parse_number(field, text, &number);
        if (ok) {
            *(uint32_t *)at = (uint32_t)number;
        }
        break;
    case FP_U64:
        ok = parse_number(field, text, &number);
        if (ok) {
            *(uint64_t *)at = number;
        }
        break;
    case FP_ENUM:
        ok = parse_enum(field, text, at);
        break;
    case FP_BOOL:
        ok = strcmp(text, "true") == 0 || strcmp(text, "false") == 0;
        if (ok) {
            *(bool *)at = text[0] == 't';
        }
        break;
    case FP_STR:
        ok = length < field->max;
        if (ok) {
            memset(at, 0, field->max);
            memcpy(at, text, length);
        }
        break;
    case FP_BLOB:
        ok = length <= field->max;
        if (ok) {
            fp_blob_free(at);
            *(struct fp_blob *)at = fp_blob_copy(text, (uint32_t)length);
        }
        break;
    case FP_LIST:
        break;
    }
    return ok ? FP_OK : refuse(field, text, why, why_bytes);
}
