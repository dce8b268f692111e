/* serve.h -- the process of one host of a cell, from start to exit */
#ifndef FP_SERVE_H
#define FP_SERVE_H

#include "node/settings.h"

/* Serves until SIGTERM or SIGINT, then drains and returns FP_OK. If the start
 * fails, returns the error at once, with the reason in why.
 */
enum fp_err serve_run(const struct settings *settings, char *why,
                      unsigned why_bytes);

#endif /* FP_SERVE_H */
