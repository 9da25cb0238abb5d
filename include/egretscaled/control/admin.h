#ifndef EGRET_EGRETSCALED_CONTROL_ADMIN_H
#define EGRET_EGRETSCALED_CONTROL_ADMIN_H

#include "egretscaled/node/node.h"
#include "http/mhd_loop.h"

/*
 * NAME
 *	admin - GET /metrics, /status and /healthz; POST /drain
 *
 * DESCRIPTION
 *	On the control thread, on a loopback address. /metrics is Prometheus
 *	text, /status JSON, /healthz 200 once the node is ready and not draining
 *	and 503 otherwise. POST /drain begins a planned stop, as SIGTERM does.
 */

mhd_loop_t *admin_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			 GError **error);

/* A listener that answers every request with whether the node is ready. */
mhd_loop_t *readiness_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			     GError **error);

#endif
