#ifndef EGRET_PLATFORM_DIALECT_H
#define EGRET_PLATFORM_DIALECT_H

#include "egretscaled/node/dialect.h"

/*
 * NAME
 *	platform/dialect - heads of requests and answers as the platform names them
 *
 * SEE ALSO
 *	egretscaled/node/dialect.h
 */

const dialect_t *platform_dialect(void);

#endif
