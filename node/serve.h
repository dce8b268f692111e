/* serve.h -- one host's process, from its settings to its exit */
#ifndef FP_SERVE_H
#define FP_SERVE_H

#include "node/settings.h"

/* Runs until SIGTERM or SIGINT has been followed by a whole drain. Returns
 * FP_OK, or the error that kept it from starting, with why.
 */
enum fp_err serve_run(const struct settings *settings, char *why,
                      unsigned why_bytes);

#endif /* FP_SERVE_H */
