#ifndef EGRET_PLATFORM_DIALECT_H
#define EGRET_PLATFORM_DIALECT_H

#include "egretscaled/dialect.h"

/*
 * NAME
 *	platform/dialect - heads of requests and answers as the platform names them
 *
 * SEE ALSO
 *	egretscaled/dialect.h
 */

const dialect_t *platform_dialect(void);

#endif
