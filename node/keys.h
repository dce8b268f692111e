/* keys.h -- secrets and their hashes
 *
 * Secrets are 256 random bits, so a plain hash of one tells nothing about it.
 */
#ifndef FP_KEYS_H
#define FP_KEYS_H

#define KEY_SECRET_BYTES 65 /* 64 hexadecimal digits and NUL */
#define KEY_HASH_BYTES 65

/* Draws a fresh secret. */
void key_draw(char secret[KEY_SECRET_BYTES]);

/* BLAKE2b-256 of a text, in hexadecimal. */
void key_hash(const char *secret, char hash[KEY_HASH_BYTES]);

/* The same of several texts, each with its length. */
void key_digest(const char *const *texts, unsigned count, const void *body,
                unsigned long body_bytes, char hash[KEY_HASH_BYTES]);

#endif /* FP_KEYS_H */
