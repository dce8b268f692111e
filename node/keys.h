/* keys.h -- API key secrets, hashes of secrets and of requests
 *
 * A secret is 256 random bits, so it needs neither a salt nor a slow hash: it
 * cannot be found from its hash by trial.
 */
#ifndef FP_KEYS_H
#define FP_KEYS_H

#define KEY_SECRET_BYTES 65 /* 64 hexadecimal digits and NUL */
#define KEY_HASH_BYTES 65   /* 64 hexadecimal digits and NUL */

/* Generates a random secret, as hexadecimal text. */
void key_generate(char secret[KEY_SECRET_BYTES]);

/* Computes the BLAKE2b-256 hash of a secret, as hexadecimal text. */
void key_hash_secret(const char *secret, char hash[KEY_HASH_BYTES]);

/* Computes the BLAKE2b-256 hash of a request: of count strings, each with its
 * NUL, followed by the body.
 */
void digest_request(const char *const *fields, unsigned count,
                    const void *body, unsigned long body_bytes,
                    char hash[KEY_HASH_BYTES]);

#endif /* FP_KEYS_H */
