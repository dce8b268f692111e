/* keys.c -- API key secrets, hashes of secrets and of requests */
#include "node/keys.h"

#include <sodium.h>
#include <string.h>

#define HASH_BINARY_BYTES 32u

void
key_generate(char secret[KEY_SECRET_BYTES])
{
    unsigned char bytes[HASH_BINARY_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(secret, KEY_SECRET_BYTES, bytes, sizeof(bytes));
    sodium_memzero(bytes, sizeof(bytes));
}

void
key_hash_secret(const char *secret, char hash[KEY_HASH_BYTES])
{
    unsigned char bytes[HASH_BINARY_BYTES];

    crypto_generichash(bytes, sizeof(bytes), (const unsigned char *)secret,
                       strlen(secret), NULL, 0);
    sodium_bin2hex(hash, KEY_HASH_BYTES, bytes, sizeof(bytes));
}

void
digest_request(const char *const *fields, unsigned count, const void *body,
               unsigned long body_bytes, char hash[KEY_HASH_BYTES])
{
    crypto_generichash_state state;
    unsigned char bytes[HASH_BINARY_BYTES];

    crypto_generichash_init(&state, NULL, 0, sizeof(bytes));
    for (unsigned i = 0; i < count; i++) {
        /* Including its NUL: otherwise "ab", "c" and "a", "bc" would have the
         * same hash. */
        crypto_generichash_update(&state, (const unsigned char *)fields[i],
                                  strlen(fields[i]) + 1);
    }
    crypto_generichash_update(&state, body, body_bytes);
    crypto_generichash_final(&state, bytes, sizeof(bytes));
    sodium_bin2hex(hash, KEY_HASH_BYTES, bytes, sizeof(bytes));
}
