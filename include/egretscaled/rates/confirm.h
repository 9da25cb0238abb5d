#ifndef EGRET_EGRETSCALED_RATES_CONFIRM_H
#define EGRET_EGRETSCALED_RATES_CONFIRM_H

#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	confirm - asks the zone's nodes about keeper epochs
 *
 * DESCRIPTION
 *	Needed in two cases: a keeper whose lease cannot be renewed asks whether
 *	a newer epoch is known and may go on when more than half of the zone's
 *	nodes know none; a successor tells its epoch to so many nodes that an
 *	older keeper cannot find such a majority. Nodes that died lately count as
 *	not answering. Runs on the control thread.
 */

typedef struct confirm confirm_t;

confirm_t *confirm_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node);
void confirm_destroy(confirm_t *confirm);

/* Starts a round when one is needed and due. */
void confirm_step(confirm_t *confirm, usec_t now);

#endif
