#ifndef EGRET_PLATFORM_DIALECT_H
#define EGRET_PLATFORM_DIALECT_H

#include "egretscaled/node/dialect.h"

/*
 * NAME
 *	platform/dialect - HTTP headers and status codes of the platform's protocol
 *
 * SEE ALSO
 *	egretscaled/node/dialect.h
 */

/* Constant; may be used from any thread. */
const dialect_t *platform_dialect(void);

#endif
