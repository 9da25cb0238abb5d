#ifndef EGRET_EGRETSCALED_ANNOUNCE_H
#define EGRET_EGRETSCALED_ANNOUNCE_H

#include "egretscaled/http_request.h"

/*
 * NAME
 *	announce - the own target announces itself, repeats and leaves
 *
 * DESCRIPTION
 *	PUT /v1/target with {"service", "address", "slots", "connections",
 *	"cold_slots"} and POST /v1/target/leave.
 */

#define ANNOUNCE_PREFIX "/v1/"

void announce_begin(http_request_t *request);

#endif
